package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/limiter"
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
	// silence is how long an instance may owe replies without sending any
	// before a fresh connection asks whether it lives.
	silence = 250 * time.Millisecond
	// probeTimeout bounds that question. An instance with all slots busy takes
	// some hundred milliseconds to accept a connection.
	probeTimeout = 400 * time.Millisecond
	// condemnation is how long after the first sign of trouble an instance that
	// answers neither a probe nor any statement is taken to be unreachable.
	condemnation = 350 * time.Millisecond
	// linkSilence is how long one connection may owe a reply while the
	// instance answers others. A longer silence is a lost connection.
	linkSilence = 4 * time.Second
	// drainLimit is how long a reply is waited for that the caller doesn't wait
	// for any more.
	drainLimit = 5 * time.Second
	// shedCost is added to the time of a statement for which an instance had no
	// slot, so that reads prefer others for a moment.
	shedCost = 50 * time.Millisecond
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

// suspect notes a sign of trouble and asks the instance whether it lives.
func (t *target) suspect(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trouble.IsZero() {
		t.trouble = time.Now()
		t.engine.logger.Info("instance in trouble", "instance", t.instance.Name, "group", t.group.name, "cause", cause)
	}
	if !t.probing {
		t.probing = true
		go t.probe()
	}
}

// probe asks the instance by fresh connections until it answers or is taken to be
// unreachable.
func (t *target) probe() {
	for {
		ctx, stop := context.WithTimeout(t.engine.ctx, probeTimeout)
		asked := time.Now()
		conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, "")
		stop()
		if conn != nil {
			conn.Close()
		}
		alive := err == nil || err.Code == result.ConnectionsExhausted
		if t.probed(alive, err) || t.engine.ctx.Err() != nil {
			return
		}
		// An instance that refuses connections is asked again after a pause.
		time.Sleep(probePause - min(probePause, time.Since(asked)))
	}
}

// probePause is the time between two probes.
const probePause = 200 * time.Millisecond

// probed takes the answer to a probe in, and reports whether it was the last.
func (t *target) probed(alive bool, cause *result.Error) bool {
	t.mu.Lock()
	now := time.Now()
	alive = alive || time.Unix(0, t.heard.Load()).After(t.trouble)
	refused := cause != nil && cause.Code == result.InstanceRefuses
	condemned := false
	switch {
	case alive:
		if t.unreachable {
			t.engine.logger.Info("instance reachable again", "instance", t.instance.Name, "after", now.Sub(t.trouble))
		}
		t.trouble, t.unreachable, t.probing, t.via = time.Time{}, false, false, ""
	case !t.unreachable && (refused || now.Sub(t.trouble) >= condemnation):
		t.unreachable, condemned = true, true
		t.engine.logger.Warn("instance unreachable", "instance", t.instance.Name, "group", t.group.name, "since", now.Sub(t.trouble), "cause", cause)
	}
	detour := t.unreachable && t.via == ""
	t.mu.Unlock()
	if condemned {
		t.abandon()
	}
	if detour {
		t.seekDetour()
	}
	return alive
}

// seekDetour looks for a daemon through which the instance is reached.
func (t *target) seekDetour() {
	if t.engine.others == nil {
		return
	}
	ctx, stop := context.WithTimeout(t.engine.ctx, openTimeout)
	defer stop()
	for _, via := range t.engine.others.Reaching(ctx, t.group.name, t.instance.Name) {
		conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, via)
		if conn != nil {
			conn.Close()
		}
		if err != nil && err.Code != result.ConnectionsExhausted {
			continue
		}
		t.mu.Lock()
		if t.unreachable {
			t.via = via
		}
		t.mu.Unlock()
		t.engine.logger.Info("instance reached through another daemon", "instance", t.instance.Name, "group", t.group.name, "via", via)
		return
	}
}

// abandon closes the connections that owe replies, so that those who wait learn
// at once that none will come.
func (t *target) abandon() {
	t.Each(func(_ pooler.Conn, l *link) { l.Close() })
}

// watch looks for connections that owe a reply for long.
func (t *target) watch(now time.Time) {
	silent := false
	var old []*link
	t.Each(func(_ pooler.Conn, l *link) {
		asked, owes := l.waiting()
		silent = silent || owes && now.Sub(asked) > silence
		if owes && now.Sub(asked) > linkSilence {
			old = append(old, l)
		}
	})
	t.mu.Lock()
	troubled := !t.trouble.IsZero()
	t.mu.Unlock()
	if silent && !troubled && now.Sub(time.Unix(0, t.heard.Load())) > silence {
		t.suspect(result.New(result.InstanceUnreachable, "replies are owed for %v", silence))
	}
	for _, l := range old {
		t.engine.logger.Warn("connection closed: its reply is overdue", "instance", t.instance.Name, "owed-for", linkSilence)
		l.Close()
	}
	t.Tick(now, !troubled)
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
		expected:    t.load.Expected(),
	}
}

// learnLag notes what the outcome of a read tells about the instance's lag that accepts
// data of the age.
func (t *target) learnLag(age time.Duration, err *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.lag.Had(age)
	case err.Code == result.InstanceBehind:
		t.lag.Lacked(age, time.Now())
	}
}

// behind reports whether such reads pass the instance over.
func (t *target) behind(age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Behind(age, now)
}

// loan is a slot and a connection of a target, held for one statement or for a
// transaction.
type loan struct {
	target *target
	link   *link
	slot   bool
	// shed tells that the instance had no slot for the statement.
	shed  bool
	begun time.Time
}

// borrow waits for a slot and a connection.
func (t *target) borrow(ctx context.Context, p limiter.Priority, deadline time.Time) (*loan, *result.Error) {
	t.beginLoad()
	b := &loan{target: t}
	if err := b.admit(ctx, p, deadline); err != nil {
		t.cancelLoad()
		return nil, err
	}
	if err := b.take(ctx, deadline); err != nil {
		b.finish()
		t.EndTransaction()
		return nil, err
	}
	return b, nil
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

// admit waits for a slot.
func (b *loan) admit(ctx context.Context, p limiter.Priority, deadline time.Time) *result.Error {
	b.begun = time.Now()
	if b.target.TryAdmit(p) {
		b.slot = true
		return nil
	}
	id, answer := b.target.Admit("", p, deadline)
	err, ok := await(ctx, deadline, answer)
	if !ok {
		if b.target.Withdraw(id) {
			return result.New(result.DeadlinePassed, "no slot of instance %s became free in time", b.target.instance.Name)
		}
		err = <-answer
	}
	b.slot = err == nil
	return err
}

// take waits for a connection.
func (b *loan) take(ctx context.Context, deadline time.Time) *result.Error {
	t := b.target
	g, ok := t.TryTake()
	if !ok {
		ticket, answer := t.Take()
		g, ok = await(ctx, deadline, answer)
		if !ok && t.WithdrawTake(ticket) {
			return result.New(result.DeadlinePassed, "no connection to instance %s became free in time", t.instance.Name)
		}
		if !ok {
			g = <-answer
		}
	}
	if g.Err != nil {
		return g.Err
	}
	b.link = g.Conn
	b.begun = time.Now() // The opening of a connection tells nothing about statements.
	return nil
}

// await waits for a value until the deadline.
func await[T any](ctx context.Context, deadline time.Time, values <-chan T) (value T, ok bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case value = <-values:
		return value, true
	case <-timer.C:
		return value, false
	case <-ctx.Done():
		return value, false
	}
}

// finish gives the slot back.
func (b *loan) finish() {
	if !b.slot {
		return
	}
	b.slot = false
	took := time.Since(b.begun)
	if b.shed {
		b.shed = false
		b.target.Shed()
		b.target.endLoad(took + shedCost)
		return
	}
	b.target.Finish(took)
	b.target.endLoad(took)
}

// release gives everything back. The connection is idle and owes nothing.
func (b *loan) release() {
	b.finish()
	if b.link != nil {
		b.target.Put(b.link.id)
		b.link = nil
		b.target.EndTransaction()
	}
}

// discard closes the connection and gives the rest back.
func (b *loan) discard() {
	b.finish()
	if b.link != nil {
		b.link.Close()
		b.link = nil
		b.target.EndTransaction()
	}
}

// lostReply is the error of a statement whose reply will not come.
func (b *loan) lostReply() *result.Error {
	return result.New(result.ConnectionLost, "the connection to instance %s was lost before the reply", b.target.instance.Name)
}

// roundTrip sends requests and returns the reply to the last one. Replies may be
// owed still when it fails.
func (b *loan) roundTrip(deadline time.Time, requests ...Request) (Reply, *result.Error) {
	b.link.pending += len(requests)
	if err := b.link.send(requests...); err != nil {
		return Reply{}, result.New(result.ConnectionLost, "instance %s: %v", b.target.instance.Name, err)
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var refused *result.Error
	for range len(requests) - 1 {
		reply, err := b.receive(timer.C)
		if err != nil {
			return Reply{}, err
		}
		if reply.Err != nil {
			refused = reply.Err
		}
	}
	reply, err := b.receive(timer.C)
	b.shed = err == nil && reply.Err != nil && reply.Err.Code == result.Overloaded
	if err == nil && refused != nil {
		// The connection is not in the state that the statement needs.
		b.link.Close()
		return Reply{}, result.New(result.ConnectionLost, "instance %s refused to prepare the connection: %v", b.target.instance.Name, refused)
	}
	return reply, err
}

// receive waits for the next reply.
func (b *loan) receive(timeout <-chan time.Time) (Reply, *result.Error) {
	select {
	case reply := <-b.link.replies:
		b.link.pending--
		return reply, nil
	case <-b.link.lost:
	case <-timeout:
		return Reply{}, result.New(result.StatementTimeout, "instance %s did not reply in time", b.target.instance.Name)
	}
	select {
	case reply := <-b.link.replies: // It came before the loss.
		b.link.pending--
		return reply, nil
	default:
		return Reply{}, b.lostReply()
	}
}

// settle waits in the background until the connection owes nothing, rolls back
// what is open, and gives everything back.
func (b *loan) settle(state TransactionState) {
	go func() {
		deadline := time.NewTimer(drainLimit)
		defer deadline.Stop()
		for b.link.pending > 0 {
			reply, err := b.receive(deadline.C)
			if err != nil {
				b.discard()
				return
			}
			state = reply.State
		}
		b.finish()
		if state != Idle {
			reply, err := b.roundTrip(time.Now().Add(drainLimit), Request{Statement: Rollback{}})
			if err != nil || reply.State != Idle {
				b.discard()
				return
			}
		}
		b.release()
	}()
}

// status asks the instance about itself, beside its slots.
func (t *target) status(ctx context.Context, st Statement) (InstanceStatus, error) {
	reply, failure := t.askAside(ctx, st)
	if failure != nil {
		return InstanceStatus{}, failure
	}
	if reply.Err != nil {
		return InstanceStatus{}, reply.Err
	}
	return t.engine.connector.Status(reply)
}

// askAside makes a request beside the slots: over a connection of the pool if one
// is idle.
func (t *target) askAside(ctx context.Context, st Statement) (Reply, *result.Error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(openTimeout)
	}
	b, failure := t.aside(ctx)
	if failure != nil {
		return Reply{}, failure
	}
	reply, failure := b.roundTrip(deadline, Request{Statement: st})
	if failure != nil {
		b.link.Close()
		return Reply{}, failure
	}
	t.Put(b.link.id)
	return reply, nil
}

// aside returns a connection without a slot: an idle one, or a new one that the
// pool does not know and that is closed after use.
func (t *target) aside(ctx context.Context) (*loan, *result.Error) {
	if g, ok := t.TryTake(); ok {
		return &loan{target: t, link: g.Conn}, nil
	}
	conn, failure := t.connect(ctx)
	if failure != nil {
		return nil, failure
	}
	l := newLink(0, conn, &t.heard, func() {})
	context.AfterFunc(ctx, l.Close)
	return &loan{target: t, link: l}, nil
}

// name is the name of the target's instance.
func (t *target) name() unit.InstanceName { return t.instance.Name }
