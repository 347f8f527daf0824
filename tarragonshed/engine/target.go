package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/lender"
	"tarragonshed.example/unit"
)

const (
	// openTimeout bounds the opening of a connection to an instance.
	openTimeout = 1500 * time.Millisecond
	// openingLimit bounds the connections to an instance that are being opened at a time.
	openingLimit = 3
	// refillRate bounds the rate of opened connections, in connections per second.
	refillRate = 40
	// queueLimit bounds the statements that wait for an instance.
	queueLimit = 400
	// leavingPrimaryTimeout is how long a leaving primary is used while another instance
	// is promoted.
	leavingPrimaryTimeout = 5 * time.Second
)

// target is one incarnation of an instance with the connections to it.
type target struct {
	*lender.Lender[*link]
	engine   *Engine
	group    *group
	instance manifest.Instance
	distance router.Distance
	stop     context.CancelFunc

	mu   sync.Mutex
	load router.Load
	// leavingSince is when the instance was first known to be leaving. It is zero if it
	// isn't.
	leavingSince time.Time
	// suspectSince is when the instance became suspected. It is zero if it isn't.
	suspectSince time.Time
	probing      bool
	// unreachable is true if the instance doesn't answer probes.
	unreachable bool
	// via is the address of the daemon through which an unreachable instance is reached.
	// It is empty if none is known.
	via string
	lag router.Lag
	// homes are the daemons through which the instance is reached, the first one first. It is
	// empty if each daemon uses its own connections.
	homes []unit.DaemonID

	lastReply atomic.Int64 // When the last reply arrived, in nanoseconds since the Unix epoch.
}

func newTarget(e *Engine, g *group, i manifest.Instance, homes []unit.DaemonID) *target {
	ctx, stop := context.WithCancel(e.ctx)
	t := &target{engine: e, group: g, instance: i, stop: stop, distance: e.distance(i.Domain)}
	t.setLeaving(i.Leaving)
	t.setHomes(homes)
	limits, pool := t.limits()
	t.Lender = lender.New(ctx, t.open, limits, pool,
		lender.WithOpenTimeout[*link](openTimeout), lender.WithRefusals[*link](e.meters.recordLimiterRefusal))
	return t
}

func (t *target) open(ctx context.Context, caller unit.CallerName, id pooler.Conn, gone func()) (*link, bool, *result.Error) {
	t.engine.meters.connectionsOpened.Inc(1)
	conn, err := t.connect(ctx, caller)
	if err != nil {
		return nil, err.Code == result.ConnectionsExhausted, err
	}
	return newLink(id, conn, &t.lastReply, gone), false, nil
}

// setLeaving records that the instance is leaving. This can't be undone within an
// incarnation.
func (t *target) setLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving && t.leavingSince.IsZero() {
		t.leavingSince = time.Now()
	}
}

// connect opens a connection of the caller, through another daemon if there is no direct path to the
// instance.
func (t *target) connect(ctx context.Context, caller unit.CallerName) (Conn, *result.Error) {
	t.mu.Lock()
	via := t.via
	t.mu.Unlock()
	conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, caller, via)
	if err == nil || err.Code == result.ConnectionsExhausted {
		return conn, err
	}
	if via == "" {
		t.suspect(err)
		return nil, err
	}
	t.mu.Lock()
	if t.via == via {
		t.via = ""
	}
	t.mu.Unlock()
	return nil, err
}

// close closes all connections permanently.
func (t *target) close() {
	t.stop()
	t.Close()
}

// health describes what a target can be used for.
type health struct {
	// unreachable is true if the instance can't be reached, not even through another
	// daemon.
	unreachable, leaving bool
	// noDirectPath is true if the instance isn't reached directly.
	noDirectPath bool
	// unusableAsPrimary is true if a leaving instance may no longer be used as the
	// primary.
	unusableAsPrimary bool
	suspected         bool
	expectedLatency   time.Duration
}

func (t *target) health(now time.Time) health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return health{
		unreachable:       t.unreachable && t.via == "",
		noDirectPath:      t.unreachable,
		leaving:           !t.leavingSince.IsZero(),
		unusableAsPrimary: !t.leavingSince.IsZero() && now.Sub(t.leavingSince) > leavingPrimaryTimeout,
		suspected:         !t.suspectSince.IsZero(),
		expectedLatency:   t.load.ExpectedLatency(),
	}
}

// recordLag records the outcome of a read with the given staleness bound, from which the
// lag of the instance is estimated.
func (t *target) recordLag(bound time.Duration, err *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.lag.RecordCaughtUp(bound)
	case err.Code == result.InstanceBehind:
		t.lag.RecordBehind(bound, time.Now())
	}
}

// behind reports whether reads with the given staleness bound avoid the instance.
func (t *target) behind(bound time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Behind(bound, now)
}

// farBehindFor returns for how long the instance has been too far behind to serve reads.
func (t *target) farBehindFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.FarBehindFor(now)
}

func (t *target) beginLoad() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Begin()
}

func (t *target) cancelLoad() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Cancel()
}

// endLoad removes a statement that took the given time from the load.
func (t *target) endLoad(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.End(took, time.Now())
}

// name returns the name of the instance.
func (t *target) name() unit.InstanceName { return t.instance.Name }
