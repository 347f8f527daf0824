package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

const (
	// firstPenalty and maxPenalty are how long no read waits at a replica that
	// did not catch up in time.
	firstPenalty = 250 * time.Millisecond
	maxPenalty   = 4 * time.Second
)

// backlog tells that reads waited in vain for a replica to catch up.
type backlog struct {
	penalty time.Duration
	until   time.Time
}

// lag returns how long a read is expected to wait.
func (b backlog) lag() time.Duration {
	return max(0, time.Until(b.until))
}

// learnWait takes note of whether an instance had caught up with what a read had
// to see. While it has not, reads that it can't serve yet go elsewhere at once.
func (g *group) learnWait(name unit.InstanceName, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		if len(g.behind) > 0 {
			delete(g.behind, name)
		}
		return
	}
	if result.CodeOf(err) != result.InstanceBehind {
		return
	}
	b := g.behind[name]
	if b.lag() > 0 {
		return
	}
	b.penalty = min(max(firstPenalty, 2*b.penalty), maxPenalty)
	b.until = time.Now().Add(b.penalty)
	g.behind[name] = b
}
