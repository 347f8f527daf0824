package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

const (
	// The report of an instance that failed is requested after
	// minRecoveryDelay, then after delays that double up to maxRecoveryDelay.
	minRecoveryDelay = 20 * time.Millisecond
	maxRecoveryDelay = 2 * time.Second
)

// recordFailure marks an instance as down if the error means that it could not
// be reached or was lost. New requests are not sent to it until it has answered
// a request for its report.
func (g *group) recordFailure(name unit.InstanceName, err error) {
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
	_, recovering := g.down[name]
	g.down[name] = time.Now()
	if !recovering {
		go g.awaitRecovery(name)
	}
}

// awaitRecovery requests the report of an instance until it answers or leaves
// the group.
func (g *group) awaitRecovery(name unit.InstanceName) {
	for delay := minRecoveryDelay; !g.recovered(name); delay = min(2*delay, maxRecoveryDelay) {
		select {
		case <-time.After(delay):
		case <-g.entry.ctx.Done():
			return
		}
		// A failed request leaves requestedAt of the latest report unchanged,
		// which recovered checks.
		_, _ = g.requestReport(g.entry.ctx, name)
	}
}

// recovered reports whether the instance has answered since its failure or has
// left the group, and then removes the mark.
func (g *group) recovered(name unit.InstanceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := false
	if g.refresh() {
		for _, config := range g.config.Instances {
			listed = listed || config.Name == name
		}
	}
	if listed && !g.reports[name].requestedAt.After(g.down[name]) {
		return false
	}
	delete(g.down, name)
	g.notifyWaiters()
	return true
}

// notifyWaiters wakes the goroutines that wait for an update. The caller holds
// the lock.
func (g *group) notifyWaiters() {
	close(g.updated)
	g.updated = make(chan struct{})
}
