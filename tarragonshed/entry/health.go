package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// An instance that failed is asked for its report after firstRecovery, then after
// delays that double up to maxRecovery.
const (
	firstRecovery = 20 * time.Millisecond
	maxRecovery   = 2 * time.Second
)

// learnFailure keeps new work away from an instance that could not be reached or
// has gone silent, until it answers again.
func (g *group) learnFailure(name unit.InstanceName, err error) {
	if err == nil {
		return
	}
	switch result.CodeOf(err) {
	case result.HomeUnreachable, result.InstanceUnreachable, result.HomeLost, result.ConnectionLost:
	default:
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, asking := g.down[name]
	g.down[name] = time.Now()
	if !asking {
		go g.recover(name)
	}
}

// recover asks an instance until it answers or leaves the group.
func (g *group) recover(name unit.InstanceName) {
	for delay := firstRecovery; !g.recovered(name); delay = min(2*delay, maxRecovery) {
		select {
		case <-time.After(delay):
		case <-g.entry.ctx.Done():
			return
		}
		// An error shows in the time of the last answer.
		_, _ = g.ask(g.entry.ctx, name)
	}
}

func (g *group) recovered(name unit.InstanceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := false
	if g.refresh() {
		for _, config := range g.config.Instances {
			listed = listed || config.Name == name
		}
	}
	if listed && !g.seen[name].asked.After(g.down[name]) {
		return false
	}
	delete(g.down, name)
	g.announce()
	return true
}

// announce tells those who wait that something is new. The caller holds the lock.
func (g *group) announce() {
	close(g.news)
	g.news = make(chan struct{})
}
