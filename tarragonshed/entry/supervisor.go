package entry

import (
	"time"

	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	// superviseAfter is how long a batch may run before its instance is
	// watched, at the interval.
	superviseAfter    = 200 * time.Millisecond
	superviseInterval = 50 * time.Millisecond
	// readSilence is how long an instance may leave questions for its report
	// unanswered before a read on it is given up.
	readSilence = 600 * time.Millisecond
	// cancelGrace is how long an instance may take to end a statement that is
	// cancelled at its deadline.
	cancelGrace = 5 * time.Second
	// overtakenGrace is how long the home of a replaced primary may take to
	// find out what became of a write.
	overtakenGrace = 250 * time.Millisecond
)

// supervise watches a batch that takes long. It is cancelled at its deadline. A
// read is given up when its instance answers nothing any more. A write is
// cancelled when another instance has become the primary: if it was not sent it is
// free to go there, otherwise the home has a moment to find out its outcome.
func (r *run) supervise(lane carrier.Stream) (end func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(min(superviseAfter, time.Until(r.deadline)), func() { r.observe(lane, done) })
	return func() {
		timer.Stop()
		close(done)
	}
}

func (r *run) observe(lane carrier.Stream, done <-chan struct{}) {
	defer r.group.observe()()
	began := time.Now()
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		switch {
		case !time.Now().Before(r.deadline):
			r.revoke(lane, cancelGrace, done)
			return
		case !r.use.Primary && r.group.silence(r.use.Instance, began) > readSilence:
			lane.Close()
			return
		case r.use.Primary && r.group.replaced(r.use.Instance):
			r.overtaken.Store(true)
			r.revoke(lane, overtakenGrace, done)
			return
		}
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

// revoke cancels what runs on the lane, and closes the lane if it goes on for
// longer than the grace.
func (r *run) revoke(lane carrier.Stream, grace time.Duration, done <-chan struct{}) {
	// An error breaks the lane, of which the relay learns too.
	_ = r.transmit(lane, &peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}})
	select {
	case <-time.After(grace):
		lane.Close()
	case <-done:
	}
}

// silence returns for how long the instance has not answered, at most since
// the time.
func (g *group) silence(name unit.InstanceName, since time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked := g.seen[name].asked; asked.After(since) {
		since = asked
	}
	return time.Since(since)
}

// replaced reports whether another instance is known to be the primary.
func (g *group) replaced(name unit.InstanceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.refresh() {
		return false
	}
	primary, _, known := router.Primary(g.candidates(nil))
	return known && primary != name
}
