package entry

import (
	"time"

	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	// superviseDelay is how long a batch may run before it is supervised, which
	// is done every superviseInterval.
	superviseDelay    = 200 * time.Millisecond
	superviseInterval = 50 * time.Millisecond
	// readUnresponsiveTimeout is how long an instance may not answer requests
	// for its report before a read on it is abandoned.
	readUnresponsiveTimeout = 600 * time.Millisecond
	// cancelGrace is how long an instance may take to end a statement that is
	// cancelled at its deadline.
	cancelGrace = 5 * time.Second
	// supersededGrace is how long the home of a replaced primary may take to
	// determine the outcome of a write.
	supersededGrace = 250 * time.Millisecond
)

// supervise watches a batch that runs for long. The batch is cancelled at its
// deadline. A read is abandoned when its instance is unresponsive. A write is
// cancelled when another instance has become the primary: if it was not sent,
// it can be sent to the new primary; otherwise the home has supersededGrace to
// determine its outcome.
func (r *run) supervise(stream carrier.Stream) (end func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(min(superviseDelay, time.Until(r.deadline)), func() { r.watch(stream, done) })
	return func() {
		timer.Stop()
		close(done)
	}
}

func (r *run) watch(stream carrier.Stream, done <-chan struct{}) {
	defer r.group.startSlowPolling()()
	began := time.Now()
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		switch {
		case !time.Now().Before(r.deadline):
			r.cancelStream(stream, cancelGrace, done)
			return
		case !r.use.Primary && r.group.unresponsiveFor(r.use.Instance, began) > readUnresponsiveTimeout:
			stream.Close()
			return
		case r.use.Primary && r.group.replaced(r.use.Instance):
			r.superseded.Store(true)
			r.cancelStream(stream, supersededGrace, done)
			return
		}
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

// cancelStream cancels the batch on the stream, and closes the stream if the
// batch has not ended after the grace period.
func (r *run) cancelStream(stream carrier.Stream, grace time.Duration, done <-chan struct{}) {
	// After an error the stream is broken, which the relaying goroutine
	// detects.
	_ = r.transmit(stream, &peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}})
	select {
	case <-time.After(grace):
		stream.Close()
	case <-done:
	}
}

// unresponsiveFor returns the time since the latest request that the instance
// answered, and at most the time since the given time.
func (g *group) unresponsiveFor(name unit.InstanceName, since time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if requestedAt := g.reports[name].requestedAt; requestedAt.After(since) {
		since = requestedAt
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
