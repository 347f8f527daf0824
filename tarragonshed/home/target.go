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
	// queuePerSlot is the number of statements per slot that may wait for an
	// instance.
	queuePerSlot = 200
	openingLimit = 3
	// refillRate is in connections per second.
	refillRate  = 50
	openTimeout = time.Second
	// stallTimeout is how long a primary may go without confirmation by a majority.
	// It is longer than the time between two reports of an idle instance.
	stallTimeout = 3 * time.Second
	// unusedTimeout is how long a daemon that is not a home keeps unused connections.
	unusedTimeout = time.Second
)

// target is one instance that this daemon is a home of, with its connections and
// limits.
type target struct {
	*lender.Lender[*conn]
	home    *Home
	group   *group
	name    unit.InstanceName
	control *control
	stop    context.CancelFunc

	endpoint endpoint

	mu sync.Mutex // Guards the fields below.

	report    instance.Report
	reported  chan struct{} // Closed when the next report arrives.
	reachable bool
	// confirmedAt is when this home last received evidence that a majority had
	// confirmed the instance's term at a later time than known before.
	confirmedAt time.Time
	// safe is the highest position that the instance is known to have applied as a
	// replica in the term of that position.
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
		lender.WithStopError[*conn](t.closedError),
		lender.WithObserver[*conn](
			func() { t.record(recorder.ConnectionOpened) },
			func() { t.record(recorder.ConnectionClosed) }),
		lender.WithProbe[*conn](t.probe))
	t.control = newControl(ctx, t.endpoint, t.receive, t.lost)
	return t
}

// bounds holds a home's limits for one instance.
type bounds struct{ slots, share int }

// boundsOf returns the limits of this daemon. A daemon that is not a home according
// to its own view gets those of one additional home.
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
func (t *target) open(ctx context.Context, _ unit.CallerName, id pooler.Conn, onClosed func()) (*conn, bool, *result.Error) {
	hijacked, err := t.endpoint.connect(ctx)
	if err != nil {
		failure, exhausted := connectError(t.name, err)
		return nil, exhausted, failure
	}
	return newConn(id, t.endpoint, hijacked, onClosed), false, nil
}

func (t *target) record(kind recorder.Kind) {
	t.home.recorder.Record(recorder.Event{Kind: kind, Group: t.group.name, Instance: t.name})
}

// tick runs the time-dependent work of the pool and the limiter.
func (t *target) tick(now time.Time) {
	t.mu.Lock()
	reachable := t.reachable
	t.mu.Unlock()
	t.Tick(now, reachable)
}

// close closes the control connection and the pool.
func (t *target) close() {
	t.stop()
	t.Close()
}

// receive processes a report of the instance.
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

// isStalled reports whether reports continue to arrive while no majority confirms the
// primary. Writes committed there could not be acknowledged.
func (t *target) isStalled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachable && t.report.Role == instance.Primary && now.Sub(t.confirmedAt) > stallTimeout
}

// lost records that the control connection was lost.
func (t *target) lost() {
	t.mu.Lock()
	t.reachable = false
	t.mu.Unlock()
	t.group.lost(t.name)
}

// last returns the latest report and a channel that is closed when the next one
// arrives.
func (t *target) last() (r instance.Report, reachable bool, next <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report, t.reachable, t.reported
}

// isSafe reports whether reads may return records up to the position although the
// instance holds no record of its current term yet. A primary that was replaced and
// now follows the new one may still show its unreplicated tail, which is not safe.
func (t *target) isSafe(p unit.Position) bool {
	t.mu.Lock()
	safe := t.safe
	t.mu.Unlock()
	if p.Term == safe.Term && p.Index <= safe.Index && t.group.size() <= 3 {
		return true
	}
	return t.group.covers(p)
}

// isReplicated reports whether a read that observed o can be answered without
// confirmation. Its primary holds everything that a replica holds, and the two are a
// majority of three; an instance that is a replica in a term is never the primary of
// that term. Records that only a primary holds may be lost, even if other instances
// report a later position.
func (t *target) isReplicated(o observation) bool {
	report, _, _ := t.last()
	if report.Role == instance.Replica && report.Term == o.term && t.group.size() <= 3 {
		return true
	}
	return t.group.covers(o.position)
}

// closedError returns the error of requests that reach a closed target.
func (t *target) closedError() *result.Error {
	return result.New(result.HomeUnreachable, "the daemon is no longer a home of instance %s", t.name)
}

// unused reports whether no transaction has been open for unusedTimeout.
func (t *target) unused() bool { return t.IdleFor(unusedTimeout) }
