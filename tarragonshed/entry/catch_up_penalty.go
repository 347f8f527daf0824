package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

const (
	// A replica that did not catch up in time gets no reads that have to wait
	// for it, first for minPenalty, then for durations that double up to
	// maxPenalty.
	minPenalty = 250 * time.Millisecond
	maxPenalty = 4 * time.Second
)

// catchUpPenalty is the time during which no read waits for a replica, because
// the replica did not reach the position that an earlier read required.
type catchUpPenalty struct {
	duration time.Duration
	until    time.Time
}

// remaining returns the rest of the penalty.
func (b catchUpPenalty) remaining() time.Duration {
	return max(0, time.Until(b.until))
}

// recordReplicaWait records whether an instance had reached the position that a
// read requires. While it has not, reads that it can't serve yet are sent to
// other instances without waiting.
func (g *group) recordReplicaWait(name unit.InstanceName, err error) {
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
	if b.remaining() > 0 {
		return
	}
	b.duration = min(max(minPenalty, 2*b.duration), maxPenalty)
	b.until = time.Now().Add(b.duration)
	g.behind[name] = b
}
