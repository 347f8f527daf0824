package home

import (
	"context"
	"errors"
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

const (
	// eventRoom is the number of events that a batch can give rise to.
	eventRoom = 4
	// drainTimeout is how long a cancelled statement may take to end before its
	// connection is closed.
	drainTimeout = time.Second
	idleStatus   = 'I'
)

func newRelay(ctx context.Context, t *transaction) *relay {
	return &relay{class: t.request.Class, floor: t.floor, transaction: t, ctx: ctx, events: make(chan event, eventRoom)}
}

// run sends a batch. It returns when the batch is settled, or at once when more
// of it is to come.
func (t *transaction) run(ctx context.Context, b *peer.Batch) {
	l := t.lane
	l.home.metrics.batches.Inc(1)
	if !t.slot {
		if timeout := t.timeout(); time.Until(t.deadline) < timeout {
			t.deadline = time.Now().Add(timeout)
		}
		if err := t.admit(ctx, limiter.OpenTransaction); err != nil {
			t.refuse(err)
			return
		}
	}
	if t.request.RequestKey != "" && !t.claimed && executes(b.Messages) && !t.claim(ctx, b) {
		return
	}
	t.partial = !b.Last
	sent, err := t.conn.send(b)
	t.sent = t.sent || sent
	if err != nil {
		t.sendFailed(err)
		return
	}
	if b.Last {
		t.settle(ctx)
	}
}

func (t *transaction) sendFailed(err error) {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		t.refuse(refusal)
		return
	}
	t.conn.Close()
	t.refuse(t.lossError(err))
}

// lossError tells what the loss of the connection means for the request.
func (t *transaction) lossError(err error) *result.Error {
	switch {
	case !t.sent && !t.progressed:
		return result.New(result.InstanceUnreachable, "instance %s: %v", t.target.name, err)
	case !t.sent:
		return result.New(result.TransactionEnded, "the connection to instance %s was lost between statements: %v", t.target.name, err)
	}
	return result.New(result.ConnectionLost, "the connection to instance %s was lost: %v", t.target.name, err)
}

// settle waits for the end of the answer to what has been sent.
func (t *transaction) settle(ctx context.Context) {
	l := t.lane
	cancelling := false
	for l.open == t && t.sent && !l.lost {
		select {
		case event := <-t.relay.events:
			t.handle(ctx, event)
		case request, ok := <-l.readable():
			l.note(request, ok)
		case <-ctx.Done():
			l.lost = true
		}
		if l.cancelled && !cancelling && l.open == t {
			cancelling = true
			t.conn.startCancel()
		}
	}
}

// handle takes in what the connection tells.
func (t *transaction) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case violation:
		t.violated = e.err
	case settlement:
		t.settled(ctx, e)
	case loss:
		t.lane.home.metrics.lost.Inc(1)
		err := t.lossError(e.err)
		answered := t.relay.answered.Load()
		t.release()
		t.lane.refuse(t, err, answered)
	}
}

// settled ends a batch: the slot goes back, and so does the connection when the
// transaction is over; then the answer is given, if it may be.
func (t *transaction) settled(ctx context.Context, s settlement) {
	if t.wraps != noWrap && !t.unwrap(ctx, &s) {
		return
	}
	t.finishSlot()
	t.sent, t.progressed = false, true
	over := s.status == idleStatus
	if over {
		t.release()
	}
	if t.violated != nil {
		t.refuse(t.violated)
		return
	}
	if !t.isRead() || s.doubtful {
		if err := t.confirm(ctx, &s); err != nil {
			t.refuse(err)
			return
		}
	}
	if over {
		t.lane.open = nil
	}
	if s.wrote {
		t.target.group.acknowledged(t.target.name, s.seen.position)
	}
	t.lane.settle(t, s)
}

// confirm waits until a majority holds what the batch wrote or saw. The position
// becomes the one that the session has to see.
func (t *transaction) confirm(ctx context.Context, s *settlement) *result.Error {
	if !s.wrote {
		return t.confirmSeen(s.seen, func(deadline time.Time) *result.Error {
			return t.wait(ctx, s, deadline)
		})
	}
	if t.target.group.covers(s.seen.position) {
		return nil
	}
	return t.wait(ctx, s, t.answerDeadline())
}

// confirmSeen checks what a read at the primary saw.
func (t *transaction) confirmSeen(s seen, wait func(time.Time) *result.Error) *result.Error {
	if !s.position.IsZero() && s.position.Before(t.floor) {
		return result.New(result.NotPrimary, "instance %s is at %v and the session at %v", t.target.name, s.position, t.floor)
	}
	if t.target.group.covers(s.position) {
		return nil
	}
	return wait(t.answerDeadline())
}

func (t *transaction) wait(ctx context.Context, s *settlement, deadline time.Time) *result.Error {
	asked := time.Now()
	id, answer := t.target.group.await(s.seen, s.wrote, deadline)
	released, ok := await(ctx, t.lane, deadline, answer)
	t.lane.home.metrics.withheld.UpdateSince(asked)
	if !ok {
		t.target.group.abandon(id)
		if s.wrote {
			return result.New(result.Unconfirmed, "no majority was known to hold %v in time", s.seen.position)
		}
		return result.New(result.NoMajority, "no majority was known to hold %v in time", s.seen.position)
	}
	if released.err == nil {
		s.seen.position = released.position
	}
	return released.err
}

// confirmRead waits on the reading goroutine before a part of an answer.
func (t *transaction) confirmRead(ctx context.Context, s seen) *result.Error {
	return t.confirmSeen(s, func(deadline time.Time) *result.Error {
		id, answer := t.target.group.await(s, false, deadline)
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		select {
		case released := <-answer:
			return released.err
		case <-timer.C:
		case <-ctx.Done():
		}
		t.target.group.abandon(id)
		return result.New(result.NoMajority, "no majority was known to hold %v in time", s.position)
	})
}

func (t *transaction) timeout() time.Duration {
	if timeout := time.Duration(t.request.TimeoutMicroseconds) * time.Microsecond; timeout > 0 {
		return timeout
	}
	return defaultTimeout
}

// answerDeadline is until when an answer is withheld at the longest.
func (t *transaction) answerDeadline() time.Time { return time.Now().Add(t.timeout()) }

// refuse ends the transaction: what is open is rolled back.
func (t *transaction) refuse(err *result.Error) {
	answered := t.relay.answered.Load()
	t.abort()
	t.lane.refuse(t, err, answered)
}

// abort rolls back what is open and gives everything back, in the background
// when the instance has to be waited for.
func (t *transaction) abort() {
	if t.conn == nil {
		t.release()
		return
	}
	t.relay.dropping.Store(true)
	go func() {
		if !t.rollBack() {
			t.conn.Close()
		}
		t.release()
	}()
}

// rollBack brings the connection to a state in which it can be handed on.
func (t *transaction) rollBack() bool {
	if t.partial {
		return false // The end of the batch would commit it.
	}
	ctx, stop := context.WithTimeout(context.Background(), drainTimeout)
	defer stop()
	if t.sent && !t.drain(ctx) {
		return false
	}
	return t.conn.endCancel(ctx) == nil && t.conn.run(ctx, "ROLLBACK") == nil
}

// drain cancels what runs and waits for the end of its answer.
func (t *transaction) drain(ctx context.Context) bool {
	t.conn.startCancel()
	for {
		select {
		case event := <-t.relay.events:
			switch event.(type) {
			case settlement:
				return true
			case loss:
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
}
