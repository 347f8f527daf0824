package engine

import (
	"cmp"
	"context"
	"errors"
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
)

const (
	// drainTimeout is how long a connection waits for replies that the caller no longer
	// waits for.
	drainTimeout = 5 * time.Second
	// shedPenalty is added to the recorded time of a statement for which an instance had
	// no slot, so that reads prefer other instances for a short time.
	shedPenalty = 50 * time.Millisecond
)

// pooledConn is a connection of a target, acquired for one statement or for a transaction.
// While a statement runs, it also holds a slot.
type pooledConn struct {
	target *target
	link   *link
	slot   bool
	// shed is true if the instance had no slot for the last statement.
	shed      bool
	startedAt time.Time
}

// acquire waits for a slot and a connection, preferably one that needs no preparation for the call.
func (t *target) acquire(ctx context.Context, r LeaseRequest, c Call) (*pooledConn, *result.Error) {
	pc := &pooledConn{target: t}
	if err := pc.acquireSlot(ctx, r); err != nil {
		return nil, err
	}
	if err := pc.acquireConn(ctx, r, c); err != nil {
		pc.releaseSlot()
		t.EndTransaction()
		return nil, err
	}
	return pc, nil
}

// acquireSlot waits for a slot. After overdueAfter, a statement of an open transaction no
// longer waits behind the running statements, because they may be waiting for a lock that
// its transaction holds.
func (pc *pooledConn) acquireSlot(ctx context.Context, r LeaseRequest) *result.Error {
	t := pc.target
	pc.startedAt = time.Now()
	t.beginLoad()
	request := limiter.Request{
		Caller: r.Caller, Priority: r.Priority, Rank: r.Rank, Deadline: r.Deadline, Target: r.Target,
	}
	if t.TryAdmit(request) {
		pc.slot = true
		return nil
	}
	id, answer := t.Admit(request)
	if r.Priority == limiter.OpenTransaction {
		defer time.AfterFunc(overdueAfter, func() { t.Overdue(id) }).Stop()
	}
	err, ok := await(ctx, r.Deadline, answer)
	switch {
	case ok:
	case t.Withdraw(id):
		err = result.New(result.DeadlinePassed, "no slot of instance %s became free in time", t.name())
	default:
		err = <-answer
	}
	pc.slot = err == nil
	if !pc.slot {
		t.cancelLoad()
	}
	return err
}

// acquireConn waits for a connection.
func (pc *pooledConn) acquireConn(ctx context.Context, r LeaseRequest, c Call) *result.Error {
	t := pc.target
	g, ok := t.TryAcquire(r.Caller, func(l *link) bool { return l.fits(c) })
	if !ok {
		ticket, answer := t.Acquire(r.Caller)
		g, ok = await(ctx, r.Deadline, answer)
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
	pc.link = g.Conn
	pc.startedAt = time.Now() // The time to open a connection isn't part of a statement's latency.
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

// releaseSlot returns the slot and records the statement's time.
func (pc *pooledConn) releaseSlot() {
	if !pc.slot {
		return
	}
	pc.slot = false
	took := time.Since(pc.startedAt)
	if pc.shed {
		pc.target.Shed()
		took += shedPenalty
	} else {
		pc.target.Finish(took)
	}
	pc.shed = false
	pc.target.endLoad(took)
}

// release returns the slot and the connection, which must be idle without requests in
// flight.
func (pc *pooledConn) release() {
	pc.releaseSlot()
	if pc.link != nil {
		pc.link.forgetLarge()
		pc.target.Release(pc.link.id)
		pc.link = nil
		pc.target.EndTransaction()
	}
}

// discard closes the connection and returns the slot.
func (pc *pooledConn) discard() {
	pc.releaseSlot()
	if pc.link != nil {
		pc.link.Close()
		pc.link = nil
		pc.target.EndTransaction()
	}
}

// lostReplyError returns the error of a statement whose reply will not arrive.
func (pc *pooledConn) lostReplyError() *result.Error {
	return result.New(result.ConnectionLost, "the connection to instance %s was lost before the reply", pc.target.instance.Name)
}

// prepare sends the requests that prepare the connection for a statement, and waits for all their
// replies, because the statement must not run if one is refused. The result is the last reply, with
// the first error of all. The outcome of each error is "not run". If the result is an error, the
// connection can't be used any more.
func (pc *pooledConn) prepare(deadline time.Time, inTransaction bool, requests []Request) (Reply, *result.Error) {
	last, refused, err := pc.exchange(deadline, inTransaction, requests)
	if err != nil {
		return Reply{}, pc.unprepared(err)
	}
	last.Err = cmp.Or(refused, last.Err)
	if last.Err != nil {
		last.Err = pc.unprepared(last.Err)
	}
	return last, pc.closeUncertain(last.Err)
}

// begin sends BEGIN together with the requests that prepare the connection for its transaction. If one
// of them is refused, the transaction must be rolled back; nothing has run in it.
func (pc *pooledConn) begin(deadline time.Time, preparation []Request, begin Request) (Reply, *result.Error) {
	last, refused, err := pc.exchange(deadline, false, append(preparation, begin))
	if err != nil {
		return Reply{}, err
	}
	if refused != nil {
		last.Err = pc.unprepared(refused)
	}
	return last, pc.closeUncertain(last.Err)
}

// closeUncertain closes the connection and returns the error if the state of the connection is not
// known.
func (pc *pooledConn) closeUncertain(err *result.Error) *result.Error {
	if !pc.link.uncertain {
		return nil
	}
	pc.link.Close()
	if err == nil {
		err = pc.unprepared(pc.lostReplyError())
	}
	return err
}

// exchange sends the requests and waits for all replies. The results are the last reply and the first
// error in the others.
func (pc *pooledConn) exchange(deadline time.Time, inTransaction bool, requests []Request) (last Reply, refused, err *result.Error) {
	if err := pc.send(inTransaction, requests...); err != nil {
		return Reply{}, nil, err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for range requests {
		refused = cmp.Or(refused, last.Err)
		if last, err = pc.receive(timer.C); err != nil {
			return Reply{}, nil, err
		}
	}
	first := cmp.Or(refused, last.Err)
	pc.shed = first != nil && first.Code == result.Overloaded
	return last, refused, nil
}

// unprepared returns the error of a statement that was not sent for the given reason.
func (pc *pooledConn) unprepared(cause *result.Error) *result.Error {
	pc.target.engine.meters.unprepared.Inc(1)
	switch cause.Code {
	case result.Overloaded, result.ProtocolViolation, result.StatementTooLarge:
		return cause
	case result.StatementTimeout:
		return result.New(result.DeadlinePassed, "the statement was not sent: %v", cause)
	}
	return result.New(result.ConnectionUnprepared, "the statement was not sent to instance %s: %v", pc.target.name(), cause)
}

// send sends the requests. After an error the connection is closed, because it would wait for
// replies that will not come.
func (pc *pooledConn) send(inTransaction bool, requests ...Request) *result.Error {
	pc.link.await(requests, inTransaction)
	err := pc.link.send(requests...)
	if err == nil {
		return nil
	}
	pc.link.Close()
	if refused, ok := errors.AsType[*result.Error](err); ok {
		return refused
	}
	return result.New(result.ConnectionLost, "instance %s: %v", pc.target.name(), err)
}

// roundTrip sends the request and returns the reply. If it fails, a reply may still be in flight.
func (pc *pooledConn) roundTrip(deadline time.Time, r Request) (Reply, *result.Error) {
	reply, _, err := pc.exchange(deadline, false, []Request{r})
	return reply, err
}

// receive waits for the next reply and settles its request.
func (pc *pooledConn) receive(timeout <-chan time.Time) (Reply, *result.Error) {
	select {
	case reply := <-pc.link.replies:
		pc.link.settle(reply)
		return reply, nil
	case <-pc.link.lost:
	case <-timeout:
		return Reply{}, result.New(result.StatementTimeout, "instance %s did not reply in time", pc.target.instance.Name)
	}
	select {
	case reply := <-pc.link.replies: // It arrived before the connection was lost.
		pc.link.settle(reply)
		return reply, nil
	default:
		return Reply{}, pc.lostReplyError()
	}
}

// drainAndRelease waits in the background for the replies in flight, rolls back an open
// transaction, and releases the slot and the connection. If that fails, the connection is
// closed.
func (pc *pooledConn) drainAndRelease(state TransactionState) {
	go func() {
		deadline := time.NewTimer(drainTimeout)
		defer deadline.Stop()
		for len(pc.link.awaited) > 0 {
			reply, err := pc.receive(deadline.C)
			if err != nil {
				pc.discard()
				return
			}
			state = reply.State
		}
		if pc.link.uncertain {
			pc.discard()
			return
		}
		pc.releaseSlot()
		if state != Idle {
			reply, err := pc.roundTrip(time.Now().Add(drainTimeout), Request{Statement: Rollback{}})
			if err != nil || reply.State != Idle {
				pc.discard()
				return
			}
		}
		pc.release()
	}()
}

// status requests the status of the instance without using a slot.
func (t *target) status(ctx context.Context, st Statement) (InstanceStatus, error) {
	reply, failure := t.requestOutOfBand(ctx, st)
	if failure != nil {
		return InstanceStatus{}, failure
	}
	if reply.Err != nil {
		return InstanceStatus{}, reply.Err
	}
	return t.engine.connector.Status(reply)
}

// requestOutOfBand sends a request without using a slot, over an idle connection of the
// pool if there is one.
func (t *target) requestOutOfBand(ctx context.Context, st Statement) (Reply, *result.Error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(openTimeout)
	}
	pc, failure := t.outOfBandConn(ctx)
	if failure != nil {
		return Reply{}, failure
	}
	reply, failure := pc.roundTrip(deadline, Request{Statement: st})
	if failure != nil {
		pc.link.Close()
		return Reply{}, failure
	}
	t.Release(pc.link.id)
	return reply, nil
}

// outOfBandConn returns a connection without a slot: an idle one of the pool, or a new one
// that is not part of the pool and is closed after use.
func (t *target) outOfBandConn(ctx context.Context) (*pooledConn, *result.Error) {
	if g, ok := t.TryAcquireAny(); ok {
		return &pooledConn{target: t, link: g.Conn}, nil
	}
	conn, failure := t.connect(ctx, "")
	if failure != nil {
		return nil, failure
	}
	l := newLink(0, conn, &t.lastReply, func() {})
	context.AfterFunc(ctx, l.Close)
	return &pooledConn{target: t, link: l}, nil
}
