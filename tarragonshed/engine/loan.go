package engine

import (
	"context"
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
)

const (
	// drainLimit is how long a reply is waited for that the caller doesn't wait
	// for any more.
	drainLimit = 5 * time.Second
	// shedCost is added to the time of a statement for which an instance had no
	// slot, so that reads prefer others for a moment.
	shedCost = 50 * time.Millisecond
)

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
	b := &loan{target: t}
	if err := b.admit(ctx, p, deadline); err != nil {
		return nil, err
	}
	if err := b.take(ctx, deadline); err != nil {
		b.finish()
		t.EndTransaction()
		return nil, err
	}
	return b, nil
}

// admit waits for a slot. A statement of an open transaction does not wait for long: what
// runs may be waiting for a lock that its transaction holds.
func (b *loan) admit(ctx context.Context, p limiter.Priority, deadline time.Time) *result.Error {
	t := b.target
	b.begun = time.Now()
	t.beginLoad()
	if t.TryAdmit(p) {
		b.slot = true
		return nil
	}
	id, answer := t.Admit("", p, deadline)
	if p == limiter.OpenTransaction {
		defer time.AfterFunc(lockPatience, func() { t.Overdue(id) }).Stop()
	}
	err, ok := await(ctx, deadline, answer)
	switch {
	case ok:
	case t.Withdraw(id):
		err = result.New(result.DeadlinePassed, "no slot of instance %s became free in time", t.name())
	default:
		err = <-answer
	}
	b.slot = err == nil
	if !b.slot {
		t.cancelLoad()
	}
	return err
}

// take waits for a connection.
func (b *loan) take(ctx context.Context, deadline time.Time) *result.Error {
	t := b.target
	g, ok := t.TryAcquire()
	if !ok {
		ticket, answer := t.Acquire()
		g, ok = await(ctx, deadline, answer)
		if !ok && t.WithdrawAcquire(ticket) {
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
		b.target.Shed()
		took += shedCost
	} else {
		b.target.Finish(took)
	}
	b.shed = false
	b.target.endLoad(took)
}

// release gives everything back. The connection is idle and owes nothing.
func (b *loan) release() {
	b.finish()
	if b.link != nil {
		b.target.Release(b.link.id)
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
	t.Release(b.link.id)
	return reply, nil
}

// aside returns a connection without a slot: an idle one, or a new one that the
// pool does not know and that is closed after use.
func (t *target) aside(ctx context.Context) (*loan, *result.Error) {
	if g, ok := t.TryAcquire(); ok {
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
