package home

import (
	"context"
	"sync"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/placer"
	"tarragonshed.example/pooler"
	"tarragonshed.example/recorder"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/lender"
	"tarragonshed.example/unit"
)

const (
	// queuePerSlot bounds the statements that wait for an instance.
	queuePerSlot = 200
	openingLimit = 3
	// refillRate is in connections a second.
	refillRate  = 50
	openTimeout = time.Second
	// stallLimit is above the time between two reports of an idle instance.
	stallLimit = 3 * time.Second
	// keepUnused is how long a daemon that is no home keeps its connections.
	keepUnused = time.Second
)

// target is one instance that this daemon is a home of.
type target struct {
	*lender.Lender[*conn]
	home    *Home
	group   *group
	name    unit.InstanceName
	control *control
	stop    context.CancelFunc

	endpoint endpoint

	mu sync.Mutex // Guards what follows.

	report    instance.Report
	reported  chan struct{} // Closed at the next report.
	reachable bool
	// confirmedAt is when this home learned that a majority confirmed the
	// instance's term later than it had known.
	confirmedAt time.Time
	// safe is the highest position that the instance was known to have
	// applied as a replica in the position's own term.
	safe unit.Position
}

func newTarget(h *Home, g *group, i manifest.Instance, limits bounds) *target {
	ctx, stop := context.WithCancel(h.ctx)
	t := &target{
		home: h, group: g, name: i.Name, stop: stop,
		endpoint: h.endpoint(g.name, i.Address),
		reported: make(chan struct{}),
	}
	t.Lender = lender.New(ctx, t.open, limits.limiter(), limits.pooler(),
		lender.WithOpenTimeout[*conn](openTimeout),
		lender.WithStopError[*conn](t.givenUp),
		lender.WithObserver[*conn](
			func() { t.record(recorder.ConnectionOpened) },
			func() { t.record(recorder.ConnectionClosed) }),
		lender.WithProbe[*conn](t.probe))
	t.control = newControl(ctx, t.endpoint, t.receive, t.lost)
	return t
}

// bounds are a home's limits for one instance.
type bounds struct{ slots, share int }

// boundsOf returns the limits of this daemon, which takes the place of one
// further home when it is none by its own view.
func boundsOf(now holder.Snapshot, g manifest.Group, i manifest.Instance) bounds {
	homes := placer.HomeCount(g, i)
	chosen := placer.Homes(now.View, i, homes)
	rank := len(chosen) - 1
	for r, d := range chosen {
		if d.ID == now.View.Self {
			rank = r
		}
	}
	return bounds{
		slots: max(1, limiter.Share(i.Slots, max(1, len(chosen)), max(0, rank))),
		share: pooler.Share(i.Connections, homes),
	}
}

func (b bounds) limiter() limiter.Limits {
	return limiter.Limits{Slots: b.slots, Connections: b.share, Queue: b.slots * queuePerSlot}
}

func (b bounds) pooler() pooler.Limits {
	return pooler.Limits{Share: b.share, Warm: min(b.slots+1, b.share), Opening: openingLimit, Rate: refillRate}
}

// open opens one connection.
func (t *target) open(ctx context.Context, id pooler.Conn, gone func()) (*conn, bool, *result.Error) {
	hijacked, err := t.endpoint.connect(ctx)
	if err != nil {
		failure, exhausted := connectError(t.name, err)
		return nil, exhausted, failure
	}
	return newConn(id, t.endpoint, hijacked, gone), false, nil
}

func (t *target) record(kind recorder.Kind) {
	t.home.recorder.Record(recorder.Event{Kind: kind, Group: t.group.name, Instance: t.name})
}

// tick lets time pass.
func (t *target) tick(now time.Time) {
	t.mu.Lock()
	reachable := t.reachable
	t.mu.Unlock()
	t.Tick(now, reachable)
}

// close closes everything.
func (t *target) close() {
	t.stop()
	t.Close()
}

// receive takes a report of the instance in.
func (t *target) receive(r instance.Report) {
	t.mu.Lock()
	if r.Supersedes(t.report) || !t.reachable {
		if !t.reachable || r.FreshAt > t.report.FreshAt || r.Term > t.report.Term {
			t.confirmedAt = time.Now()
		}
		t.report = r
		close(t.reported)
		t.reported = make(chan struct{})
	}
	t.reachable = true
	if r.Role == instance.Replica && r.Applied.Term == r.Term {
		t.safe = t.safe.Max(r.Applied)
	}
	t.mu.Unlock()
	t.group.receive(r)
}

// stalled reports whether reports keep coming while no majority confirms the
// primary any more. What would be committed there could not be acknowledged.
func (t *target) stalled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachable && t.report.Role == instance.Primary && now.Sub(t.confirmedAt) > stallLimit
}

// lost notes that the control connection was lost.
func (t *target) lost() {
	t.mu.Lock()
	t.reachable = false
	t.mu.Unlock()
	t.group.lost(t.name)
}

// last returns the latest report and a channel that is closed at the next one.
func (t *target) last() (r instance.Report, reachable bool, next <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report, t.reachable, t.reported
}

// isSafe reports whether reads may show the position although the instance has no
// record of its current term yet. A primary that was replaced and now follows
// may still show its tail, which is not.
func (t *target) isSafe(p unit.Position) bool {
	t.mu.Lock()
	safe := t.safe
	t.mu.Unlock()
	if p.Term == safe.Term && p.Index <= safe.Index && t.group.size() <= 3 {
		return true
	}
	return t.group.covers(p)
}

// isCopied reports whether a read that saw s can be answered at once. What a
// replica has is on its primary too, which makes a majority of three; an instance
// that is a replica in a term is never the primary of that term. What a primary
// has may be lost, also when others know of a later one.
func (t *target) isCopied(s seen) bool {
	report, _, _ := t.last()
	if report.Role == instance.Replica && report.Term == s.term && t.group.size() <= 3 {
		return true
	}
	return t.group.covers(s.position)
}

// givenUp is the error of requests that find the target closed.
func (t *target) givenUp() *result.Error {
	return result.New(result.HomeUnreachable, "the daemon is no home of instance %s any more", t.name)
}

// unused reports whether no transaction has been open for a while.
func (t *target) unused() bool { return t.IdleFor(keepUnused) }
