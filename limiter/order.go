package limiter

import (
	"cmp"
	"time"
)

// laneKey orders the lanes of a queue. A lower key goes first.
type laneKey struct {
	priority Priority
	rank     Rank
}

func (k laneKey) compare(other laneKey) int {
	return cmp.Or(
		cmp.Compare(k.priority, other.priority),
		cmp.Compare(k.rank.Route, other.rank.Route),
		cmp.Compare(k.rank.Caller, other.rank.Caller),
	)
}

// laneOf returns the lane of a request. In the ranked order, all requests that don't
// belong to an open transaction have the same priority.
func laneOf(r Request, ranked bool) laneKey {
	switch {
	case !ranked:
		return laneKey{priority: r.Priority}
	case r.Priority == OpenTransaction:
		return laneKey{priority: OpenTransaction}
	}
	return laneKey{priority: Write, rank: r.Rank}
}

// waiting is a request in a queue.
type waiting struct {
	Request
	key      laneKey
	sequence uint64 // Orders requests by arrival.
	late     bool   // The request is not expected to meet its target.
	// Target is ignored if this is false.
	hasTarget bool
	// The places in the queue. They are nil before it is pushed.
	lane   *lane
	caller *callerQueue
}

// missesTarget reports whether a statement that ends at the given time misses its target.
func (w *waiting) missesTarget(end time.Time) bool {
	return w.hasTarget && end.After(w.Target)
}

// goesBefore reports whether w goes before other because of its rank, or because it can
// meet its target.
func (w *waiting) goesBefore(other *waiting) bool {
	if c := w.key.compare(other.key); c != 0 {
		return c < 0
	}
	return !w.late && other.late
}

// byTarget orders the requests of one caller that can meet their target.
func byTarget(a, b *waiting) int {
	switch {
	case a.hasTarget && b.hasTarget:
		return cmp.Or(a.Target.Compare(b.Target), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
	case a.hasTarget:
		return -1
	case b.hasTarget:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
}

// byDeadline orders late requests.
func byDeadline(a, b *waiting) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// paceDivisor is the inverse of the weight that the latest admission has in the moving
// average of the time between admissions.
const paceDivisor = 4

// pace is the pace at which requests are admitted that others may pass. It counts those
// others before they arrive, which their number in the queue doesn't.
type pace struct {
	since    time.Time // The last admission, or the begin of the waiting.
	interval time.Duration
}

func (p *pace) admitted(now time.Time) {
	elapsed := now.Sub(p.since)
	p.since = now
	if p.interval == 0 {
		p.interval = elapsed
		return
	}
	p.interval += (elapsed - p.interval) / paceDivisor
}

// wait returns the expected time until n+1 requests are admitted.
func (p *pace) wait(n int, now time.Time) time.Duration {
	return max(p.interval, now.Sub(p.since)) * time.Duration(n+1)
}
