package engine

import (
	"context"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/unit"
)

// localLease is a lease over this daemon's own connections.
type localLease struct {
	ctx     context.Context
	target  *target
	request LeaseRequest
	// forwarded is true if the statements come from another daemon. The slot of a BEGIN is then
	// not kept for the statement that follows, because it would be unused meanwhile.
	forwarded bool

	conn *pooledConn // Nil before the first statement has been admitted.
	// state is the state of the connection after the last reply. It is Failed while a reply is
	// awaited or has not arrived.
	state TransactionState
	wrote bool // Whether a write may have run in the transaction.
}

// newLease returns a lease of the target over this daemon's own connections.
func (t *target) newLease(ctx context.Context, r LeaseRequest) *localLease {
	return &localLease{ctx: ctx, target: t, request: r, state: Idle}
}

// Run implements [Lease].
func (l *localLease) Run(c Call, deadline time.Time) (Reply, *result.Error) {
	if _, executes := c.Statement.(Execute); executes {
		c.digest = digestOf(c.Definition)
	}
	if err := l.admit(c, deadline); err != nil {
		return Reply{}, err
	}
	if err := l.abandoned(deadline); err != nil {
		return Reply{}, err
	}
	begins := isBegin(c)
	preparation := l.conn.link.preparation(c, l.state != Idle)
	if len(preparation) > 0 && !begins {
		if reply, err := l.prepare(preparation, deadline); err != nil || reply.Err != nil {
			return reply, err
		}
	}
	if l.commits(c) && !l.mayWrite() {
		return Reply{}, result.New(result.NotPrimary, "instance %s may no longer be the primary", l.target.name())
	}
	leadership, leads := l.target.leadership()
	sentAt := l.target.engine.now()
	l.state, l.wrote = Failed, l.wrote || c.writes()
	reply, err := l.send(c, preparation, deadline)
	if err != nil {
		return Reply{}, err
	}
	l.state = reply.State
	if reply.Err != nil && reply.Err.Code == result.UnknownStatement {
		// The session has prepared it, so the connection has not kept it.
		reply.Err = l.conn.unprepared(reply.Err)
	}
	if !begins || l.forwarded || reply.Err != nil {
		l.conn.releaseSlot()
	}
	if l.forwarded && leads && l.target.engine.authority.Holds(leadership) {
		l.target.group.observe(reply.Position, sentAt)
	}
	reply.Load = l.target.report()
	l.target.group.observeLoad(l.target.name(), reply.Load)
	return reply, nil
}

// isBegin reports whether the call opens a transaction.
func isBegin(c Call) bool {
	_, begins := c.Statement.(Begin)
	return begins
}

// send sends the statement and returns the reply. BEGIN is sent together with its preparation.
func (l *localLease) send(c Call, preparation []Request, deadline time.Time) (Reply, *result.Error) {
	if isBegin(c) {
		return l.conn.begin(deadline, preparation, l.conn.link.request(c))
	}
	return l.conn.roundTrip(deadline, l.conn.link.request(c))
}

// prepare gives the connection the state that the statement needs. An error in the reply is the reason
// why the statement can't be sent now; the connection is still usable.
func (l *localLease) prepare(preparation []Request, deadline time.Time) (Reply, *result.Error) {
	before := l.state
	l.state = Failed
	l.target.engine.meters.preparations.Inc(1)
	reply, err := l.conn.prepare(deadline, before != Idle, preparation)
	if err != nil {
		return Reply{}, err
	}
	if reply.Err == nil && reply.State != before {
		// Outside of its transaction the statement would be committed at once.
		reply.Err = result.New(result.ConnectionUnprepared, "the state of the connection to instance %s became %c", l.target.name(), reply.State)
	}
	l.state = reply.State
	if reply.Err != nil {
		l.conn.releaseSlot()
		return reply, nil
	}
	return Reply{}, l.abandoned(deadline)
}

// abandoned reports that nobody waits for the statement any more. A free slot and connection are
// granted without regard to that.
func (l *localLease) abandoned(deadline time.Time) *result.Error {
	if err := l.ctx.Err(); err != nil {
		return result.New(result.CancelledUnsent, "the statement was not sent to instance %s: %v", l.target.name(), err)
	}
	if !time.Now().Before(deadline) {
		return result.New(result.DeadlinePassed, "the deadline passed before the statement was sent to instance %s", l.target.name())
	}
	return nil
}

// commits reports whether the call makes writes permanent.
func (l *localLease) commits(c Call) bool {
	if _, ok := c.Statement.(Commit); ok {
		return l.wrote
	}
	return l.state == Idle && c.writes()
}

// admit waits for a slot and, before the first statement, for a connection.
func (l *localLease) admit(c Call, deadline time.Time) *result.Error {
	if l.conn != nil && l.conn.slot {
		return nil
	}
	ctx, stop := l.whileWaiting()
	defer stop()
	if l.conn != nil {
		open := l.request
		open.Priority, open.Deadline = limiter.OpenTransaction, deadline
		return l.conn.acquireSlot(ctx, open)
	}
	conn, err := l.target.acquire(ctx, l.request, c)
	l.conn = conn
	return err
}

// whileWaiting returns the context of a wait. It ends with that of the lease, and when statements
// no longer wait.
func (l *localLease) whileWaiting() (context.Context, context.CancelFunc) {
	waiting := l.target.engine.waiting
	if !l.forwarded {
		return waiting, func() {} // The engine's own leases end with it.
	}
	ctx, cancel := context.WithCancel(l.ctx)
	stop := context.AfterFunc(waiting, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// End implements [Lease].
func (l *localLease) End() {
	if l.conn == nil {
		return
	}
	if l.state == Idle && len(l.conn.link.awaited) == 0 {
		l.conn.release()
		return
	}
	l.conn.drainAndRelease(l.state)
}

// writes reports whether the call may write outside of a transaction.
func (c Call) writes() bool {
	switch c.Statement.(type) {
	case Write:
		return true
	case Execute:
		return c.Definition.Writes
	}
	return false
}

// mayWrite reports whether a write may be sent. The daemon of the session decides with its own
// authority whether the reply may be used, so a home that has no authority at the moment need not
// refuse.
func (l *localLease) mayWrite() bool {
	if _, known := l.target.engine.authority.Primary(l.target.group.name); !known && l.forwarded {
		return true
	}
	_, leads := l.target.leadership()
	return leads
}

// leadership returns the leadership under which the target is the primary. The result is false if
// it isn't, or if this daemon may not use it now. An earlier incarnation of the primary is not the
// primary.
func (t *target) leadership() (authorizer.Leadership, bool) {
	l, ok := t.engine.authority.Primary(t.group.name)
	return l, ok && l.Primary == t.name() && l.Incarnation == t.instance.Incarnation
}

// report returns the load of the instance, or nil unless this daemon is its home. Other daemons
// see a part of it only.
func (t *target) report() *router.Report {
	t.mu.Lock()
	isHome := len(t.homes) > 0 && t.homes[0] == t.engine.self
	t.mu.Unlock()
	if !isHome {
		return nil
	}
	load := t.Load()
	return &router.Report{Slots: t.instance.Slots, Running: load.Running, Queued: load.Queued, Mean: load.Mean}
}

// Lease implements [Local].
func (e *Engine) Lease(ctx context.Context, r LeaseRequest) (Lease, *result.Error) {
	t, err := e.findTarget(r.Group, r.Instance)
	if err != nil {
		return nil, err
	}
	if t.instance.Incarnation != r.Incarnation {
		return nil, result.New(result.InstanceUnreachable, "this daemon knows another incarnation of instance %s", r.Instance)
	}
	if t.health(time.Now()).unreachable {
		return nil, result.New(result.InstanceUnreachable, "this daemon does not reach instance %s", r.Instance)
	}
	l := t.newLease(ctx, r)
	l.forwarded = true
	return l, nil
}

// findTarget returns the target of the instance.
func (e *Engine) findTarget(group unit.GroupName, name unit.InstanceName) (*target, *result.Error) {
	g, ok := e.current.Load().groups[group]
	if !ok {
		return nil, result.New(result.InstanceUnreachable, "no group %s is known", group)
	}
	t, ok := g.find(name)
	if !ok {
		return nil, result.New(result.InstanceUnreachable, "group %s has no instance %s", group, name)
	}
	return t, nil
}
