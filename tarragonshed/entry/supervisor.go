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
	batch := supervised{stream: stream, use: r.use, deadline: r.deadline, done: done}
	timer := time.AfterFunc(min(superviseDelay, time.Until(r.deadline)), func() { r.watch(batch) })
	return func() {
		timer.Stop()
		close(done)
	}
}

// supervised is a batch that is supervised. The run may go on with the next one before its supervision
// has ended.
type supervised struct {
	stream   carrier.Stream
	use      router.Use
	deadline time.Time
	done     <-chan struct{} // Closed when the batch has ended.
}

func (r *run) watch(b supervised) {
	defer r.group.startSlowPolling()()
	began := time.Now()
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.done:
			return
		default:
		}
		switch {
		case !time.Now().Before(b.deadline):
			r.cancelStream(b, cancelGrace)
			return
		case !b.use.Primary && r.group.unresponsiveFor(b.use.Instance, began) > readUnresponsiveTimeout:
			b.stream.Close()
			return
		case b.use.Primary && r.group.replaced(b.use.Instance):
			r.superseded.Store(true)
			r.cancelStream(b, supersededGrace)
			return
		}
		select {
		case <-ticker.C:
		case <-b.done:
		}
	}
}

// cancelStream cancels the batch on its stream, and closes the stream if the
// batch has not ended after the grace period.
func (r *run) cancelStream(b supervised, grace time.Duration) {
	// After an error the stream is broken, which the relaying goroutine
	// detects.
	_ = r.transmit(b.stream, &peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}})
	select {
	case <-time.After(grace):
		b.stream.Close()
	case <-b.done:
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
