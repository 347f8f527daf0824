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
	// eventCapacity is the number of events that one batch can produce, and the
	// capacity of the event channel.
	eventCapacity = 4
	// drainTimeout is how long a cancelled statement may take to end before its
	// connection is closed.
	drainTimeout = time.Second
	idleStatus   = 'I'
)

func newRelay(ctx context.Context, t *transaction) *relay {
	return &relay{class: t.request.Class, floor: t.floor, transaction: t, ctx: ctx, events: make(chan event, eventCapacity)}
}

// run sends a batch. It returns when the batch is settled, or immediately when more
// of the batch is to follow.
func (t *transaction) run(ctx context.Context, b *peer.Batch) {
	s := t.stream
	s.home.metrics.batches.Inc(1)
	if !t.slot {
		if timeout := t.timeout(); time.Until(t.deadline) < timeout {
			t.deadline = time.Now().Add(timeout)
		}
		if err := t.admit(ctx, limiter.OpenTransaction); err != nil {
			t.refuse(err)
			return
		}
	}
	if len(t.request.RequestKey) > 0 && !t.claimed && executes(b.Messages) && !t.claim(ctx, b) {
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

// lossError returns the error that the loss of the connection means for the request.
func (t *transaction) lossError(err error) *result.Error {
	switch {
	case !t.sent && !t.progressed:
		return result.New(result.InstanceUnreachable, "instance %s: %v", t.target.name, err)
	case !t.sent:
		return result.New(result.TransactionEnded, "the connection to instance %s was lost between statements: %v", t.target.name, err)
	}
	return result.New(result.ConnectionLost, "the connection to instance %s was lost: %v", t.target.name, err)
}

// settle waits for the end of the answer to the messages sent so far.
func (t *transaction) settle(ctx context.Context) {
	s := t.stream
	cancelling := false
	for s.open == t && t.sent && !s.lost {
		select {
		case event := <-t.relay.events:
			t.handle(ctx, event)
		case request, ok := <-s.incoming():
			s.accept(request, ok)
		case <-ctx.Done():
			s.lost = true
		}
		if s.cancelled && !cancelling && s.open == t {
			cancelling = true
			t.conn.startCancel()
		}
	}
}

// handle processes an event of the connection.
func (t *transaction) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case violation:
		t.violated = e.err
	case settlement:
		t.settled(ctx, e)
	case loss:
		t.stream.home.metrics.lost.Inc(1)
		err := t.lossError(e.err)
		answered := t.relay.answered.Load()
		t.release()
		t.stream.refuse(t, err, answered)
	}
}

// settled ends a batch. It releases the slot, releases the connection if the
// transaction is over, and sends the answer unless it must be refused.
func (t *transaction) settled(ctx context.Context, s settlement) {
	if t.keyAction != noKeyAction && !t.finishKey(ctx, &s) {
		return
	}
	t.finishSlot()
	t.sent, t.progressed = false, true
	ended := s.status == idleStatus
	if ended {
		t.release()
	}
	if t.violated != nil {
		t.refuse(t.violated)
		return
	}
	if !t.isRead() || s.unconfirmed {
		if err := t.confirm(ctx, &s); err != nil {
			t.refuse(err)
			return
		}
	}
	if ended {
		t.stream.open = nil
	}
	if s.wrote {
		t.target.group.acknowledged(t.target.name, s.observed.position)
	}
	t.stream.settle(t, s)
}

// confirm waits until a majority holds the position that the batch wrote or read. It
// updates the settlement to the position that later requests of the session require.
func (t *transaction) confirm(ctx context.Context, s *settlement) *result.Error {
	if !s.wrote {
		return t.confirmObserved(s.observed, func(deadline time.Time) *result.Error {
			return t.wait(ctx, s, deadline)
		})
	}
	if t.target.group.covers(s.observed.position) {
		return nil
	}
	return t.wait(ctx, s, t.confirmationDeadline())
}

// confirmObserved confirms the position that a read at the primary returned.
func (t *transaction) confirmObserved(o observation, wait func(time.Time) *result.Error) *result.Error {
	if !o.position.IsZero() && o.position.Before(t.floor) {
		return result.New(result.NotPrimary, "instance %s is at %v and the session at %v", t.target.name, o.position, t.floor)
	}
	if t.target.group.covers(o.position) {
		return nil
	}
	return wait(t.confirmationDeadline())
}

func (t *transaction) wait(ctx context.Context, s *settlement, deadline time.Time) *result.Error {
	requestedAt := time.Now()
	id, answer := t.target.group.await(s.observed, s.wrote, deadline)
	outcome, ok := await(ctx, t.stream, deadline, answer)
	t.stream.home.metrics.withheld.UpdateSince(requestedAt)
	if !ok {
		t.target.group.abandon(id)
		if s.wrote {
			return result.New(result.Unconfirmed, "no majority was known to hold %v in time", s.observed.position)
		}
		return result.New(result.NoMajority, "no majority was known to hold %v in time", s.observed.position)
	}
	if outcome.err == nil {
		s.observed.position = outcome.position
	}
	return outcome.err
}

// confirmRead confirms the position of a read before a part of its answer is sent. It
// runs on the connection's reading goroutine.
func (t *transaction) confirmRead(ctx context.Context, o observation) *result.Error {
	return t.confirmObserved(o, func(deadline time.Time) *result.Error {
		id, answer := t.target.group.await(o, false, deadline)
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		select {
		case outcome := <-answer:
			return outcome.err
		case <-timer.C:
		case <-ctx.Done():
		}
		t.target.group.abandon(id)
		return result.New(result.NoMajority, "no majority was known to hold %v in time", o.position)
	})
}

func (t *transaction) timeout() time.Duration {
	if timeout := time.Duration(t.request.TimeoutMicroseconds) * time.Microsecond; timeout > 0 {
		return timeout
	}
	return defaultTimeout
}

// confirmationDeadline returns the time until which an answer is withheld for
// confirmation.
func (t *transaction) confirmationDeadline() time.Time { return time.Now().Add(t.timeout()) }

// refuse rolls back the transaction and refuses the request.
func (t *transaction) refuse(err *result.Error) {
	answered := t.relay.answered.Load()
	t.abort()
	t.stream.refuse(t, err, answered)
}

// abort rolls back the transaction and releases everything it holds. It waits for the
// instance in the background.
func (t *transaction) abort() {
	if t.conn == nil {
		t.release()
		return
	}
	t.relay.discarding.Store(true)
	go func() {
		if !t.rollBack() {
			t.conn.Close()
		}
		t.release()
	}()
}

// rollBack returns the connection to a state in which it can be reused. It returns
// false if that is not possible.
func (t *transaction) rollBack() bool {
	if t.partial {
		return false // Sending the missing end of the batch would commit it.
	}
	ctx, stop := context.WithTimeout(context.Background(), drainTimeout)
	defer stop()
	if t.sent && !t.drain(ctx) {
		return false
	}
	return t.conn.endCancel(ctx) == nil && t.conn.run(ctx, "ROLLBACK") == nil
}

// drain cancels the running statement and waits for the end of its answer.
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
