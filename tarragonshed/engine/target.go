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
	// openingLimit is the number of connections that are opened at a time.
	openingLimit = 3
	// refillRate is in connections a second.
	refillRate = 40
	// queueLimit bounds the statements that wait for an instance.
	queueLimit = 400
	// leavingPrimaryUse is how long a leaving primary is used while another one
	// is promoted.
	leavingPrimaryUse = 5 * time.Second
)

// target is one life of an instance with the connections to it.
type target struct {
	*lender.Lender[*link]
	engine   *Engine
	group    *group
	instance manifest.Instance
	distance router.Distance
	stop     context.CancelFunc

	mu   sync.Mutex
	load router.Load
	// left is when the instance was first known to be leaving, zero if it isn't.
	left time.Time
	// trouble is when the present trouble began, zero without one.
	trouble time.Time
	probing bool
	// unreachable tells that the instance answers no probe.
	unreachable bool
	// via is the daemon through which the instance is reached meanwhile, empty
	// if none is known.
	via string
	lag router.Lag

	heard atomic.Int64 // When the last reply came, in nanoseconds since the Unix epoch.
}

func newTarget(e *Engine, g *group, i manifest.Instance) *target {
	ctx, stop := context.WithCancel(e.ctx)
	t := &target{engine: e, group: g, instance: i, stop: stop, distance: e.distance(i.Domain)}
	t.leave(i.Leaving)
	limits, pool := e.limits(i)
	t.Lender = lender.New(ctx, t.open, limits, pool, lender.WithOpenTimeout[*link](openTimeout))
	return t
}

func (t *target) open(ctx context.Context, id pooler.Conn, gone func()) (*link, bool, *result.Error) {
	t.engine.figures.opened.Inc(1)
	conn, err := t.connect(ctx)
	if err != nil {
		return nil, err.Code == result.ConnectionsExhausted, err
	}
	return newLink(id, conn, &t.heard, gone), false, nil
}

// leave notes whether the instance is leaving. It never comes back in its life.
func (t *target) leave(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving && t.left.IsZero() {
		t.left = time.Now()
	}
}

// connect opens a connection, through another daemon if the instance is not reached
// directly.
func (t *target) connect(ctx context.Context) (Conn, *result.Error) {
	t.mu.Lock()
	via := t.via
	t.mu.Unlock()
	conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, via)
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

// close closes all connections for good.
func (t *target) close() {
	t.stop()
	t.Close()
}

// health is what a target is known to be fit for.
type health struct {
	// unreachable tells that the instance is not reached, not even through
	// another daemon.
	unreachable, leaving bool
	// cut tells that it is not reached directly.
	cut bool
	// mustLeave tells that a leaving instance may not be used as the primary
	// any more either.
	mustLeave bool
	troubled  bool
	expected  time.Duration
}

func (t *target) health(now time.Time) health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return health{
		unreachable: t.unreachable && t.via == "",
		cut:         t.unreachable,
		leaving:     !t.left.IsZero(),
		mustLeave:   !t.left.IsZero() && now.Sub(t.left) > leavingPrimaryUse,
		troubled:    !t.trouble.IsZero(),
		expected:    t.load.ExpectedLatency(),
	}
}

// learnLag notes what the outcome of a read tells about the instance's lag that accepts
// data of the age.
func (t *target) learnLag(age time.Duration, err *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.lag.RecordCaughtUp(age)
	case err.Code == result.InstanceBehind:
		t.lag.RecordBehind(age, time.Now())
	}
}

// behind reports whether such reads pass the instance over.
func (t *target) behind(age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Behind(age, now)
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

// endLoad ends a statement in the load.
func (t *target) endLoad(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.End(took, time.Now())
}

// name is the name of the target's instance.
func (t *target) name() unit.InstanceName { return t.instance.Name }
