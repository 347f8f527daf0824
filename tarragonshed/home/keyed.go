package home

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

// A request with a key leaves a row in tarragon_requests, written by the same
// transaction. The key is the arbiter: of a request and a claim that it is
// cancelled, or of two runs of a request, the one whose row is committed first
// stands and the other one conflicts.

const (
	uniqueViolation  = "23505"
	readOnlyError    = "25006"
	doneOutcome      = "done"
	cancelledOutcome = "cancelled"
	// keyAttempts bounds how often a key is asked for that comes and goes.
	keyAttempts = 3
)

// wrap is what is to be done about a request key when the batch is settled.
type wrap int

const (
	noWrap wrap = iota
	// commitWrap commits the transaction that the home has put around a batch.
	commitWrap
	// insertWrap writes the key into the transaction that the batch has begun.
	insertWrap
)

// executes reports whether the batch runs anything.
func executes(messages []byte) bool {
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return false
		}
		if f.kind == 'Q' || f.kind == 'E' {
			return true
		}
		rest = after
	}
	return false
}

func insertKey(key, outcome, tag string) string {
	return "INSERT INTO tarragon_requests (key, outcome, tag) VALUES (" +
		quoteLiteral(key) + ", " + quoteLiteral(outcome) + ", " + quoteLiteral(tag) + ")"
}

// claim writes the request key before the batch is sent. It returns false when
// the request has been answered instead.
func (t *transaction) claim(ctx context.Context, b *peer.Batch) bool {
	t.claimed = true
	switch {
	case t.request.ClaimKey:
		t.cancelKey(ctx, b)
		return false
	case t.request.Begins:
		t.wraps = insertWrap
		return true
	}
	for range keyAttempts {
		_, err := t.query(ctx, "BEGIN; "+insertKey(t.request.RequestKey, doneOutcome, ""))
		if err == nil {
			t.wraps = commitWrap
			t.relay.keepTag = true
			return true
		}
		if !conflicts(err) {
			t.refuse(t.keyError(err))
			return false
		}
		if t.recorded(ctx, b) {
			return false
		}
	}
	t.refuse(result.New(result.KeyUndetermined, "the request key comes and goes"))
	return false
}

// cancelKey claims the key as cancelled, so that the request can't run any more,
// or answers with what has been recorded.
func (t *transaction) cancelKey(ctx context.Context, b *peer.Batch) {
	for range keyAttempts {
		done, err := t.query(ctx, insertKey(t.request.RequestKey, cancelledOutcome, ""))
		if err == nil {
			s := settlement{seen: done.seen, wrote: done.wrote}
			if refusal := t.confirm(ctx, &s); refusal != nil {
				t.refuse(result.New(result.KeyUndetermined, "the claim is not confirmed: %s", refusal.Detail))
				return
			}
			t.refuse(result.New(result.RequestCancelled, "the request key was claimed before the request ran"))
			return
		}
		if !conflicts(err) {
			t.refuse(result.New(result.KeyUndetermined, "the request key could not be claimed: %v", err))
			return
		}
		if t.recorded(ctx, b) {
			return
		}
	}
	t.refuse(result.New(result.KeyUndetermined, "the request key comes and goes"))
}

// recorded answers with the outcome that the key has. It returns false when the
// key is gone.
func (t *transaction) recorded(ctx context.Context, b *peer.Batch) bool {
	if _, err := t.query(ctx, "ROLLBACK"); err != nil {
		t.refuse(t.keyError(err))
		return true
	}
	found, err := t.query(ctx, "SELECT outcome, tag FROM tarragon_requests WHERE key = "+quoteLiteral(t.request.RequestKey))
	if err != nil {
		t.refuse(t.keyError(err))
		return true
	}
	if len(found.row) != 2 {
		return false
	}
	s := settlement{seen: found.seen, status: idleStatus}
	if refusal := t.confirm(ctx, &s); refusal != nil {
		t.refuse(result.New(result.KeyUndetermined, "the recorded outcome is not confirmed: %s", refusal.Detail))
		return true
	}
	switch {
	case found.row[0] != doneOutcome:
		t.refuse(result.New(result.RequestCancelled, "the request key was claimed as cancelled"))
	case t.request.Begins:
		t.refuse(result.New(result.RequestDone, "the transaction with the request key has been committed"))
	default:
		t.release()
		t.lane.open = nil
		s.messages = replay(b.Messages, found.row[1])
		t.lane.settle(t, s)
	}
	return true
}

// unwrap ends what was put around the batch. It returns false when the request
// has been answered.
func (t *transaction) unwrap(ctx context.Context, s *settlement) bool {
	wraps := t.wraps
	t.wraps = noWrap
	t.sent = false
	switch {
	case s.status == idleStatus:
		return true // The batch ended the transaction by itself.
	case wraps == insertWrap:
		return s.status != 'T' || t.insert(ctx)
	case s.status == 'T' && t.violated == nil:
		return t.commit(ctx, s)
	}
	if err := t.conn.run(ctx, "ROLLBACK"); err != nil {
		t.refuse(t.keyError(err))
		return false
	}
	s.status = idleStatus
	return true
}

// insert writes the key into the transaction that the batch has begun.
func (t *transaction) insert(ctx context.Context) bool {
	_, err := t.query(ctx, insertKey(t.request.RequestKey, doneOutcome, "COMMIT"))
	if err == nil {
		return true
	}
	if !conflicts(err) || !t.recorded(ctx, nil) {
		t.refuse(t.keyError(err))
	}
	return false
}

// commit records the command tag and commits.
func (t *transaction) commit(ctx context.Context, s *settlement) bool {
	t.sent = true
	done, err := t.query(ctx, "UPDATE tarragon_requests SET tag = "+quoteLiteral(s.tag)+
		" WHERE key = "+quoteLiteral(t.request.RequestKey)+"; COMMIT")
	if err != nil {
		var failure *queryError
		if errors.As(err, &failure) {
			t.sent = false
		}
		t.refuse(t.keyError(err))
		return false
	}
	t.sent = false
	s.status, s.seen, s.wrote = idleStatus, done.seen, done.wrote
	return true
}

// query runs a statement about the key within the request's time.
func (t *transaction) query(ctx context.Context, text string) (injection, error) {
	ctx, stop := context.WithDeadline(ctx, t.deadline.Add(time.Second))
	defer stop()
	return t.conn.inject(ctx, text)
}

// keyError tells what an error of a statement about the key means. Unless COMMIT
// was sent, nothing has been committed.
func (t *transaction) keyError(err error) *result.Error {
	var failure *queryError
	switch {
	case !errors.As(err, &failure) && t.sent:
		return result.New(result.ConnectionLost, "the connection to instance %s was lost during COMMIT: %v", t.target.name, err)
	case !errors.As(err, &failure):
		return result.New(result.InstanceUnreachable, "instance %s: %v", t.target.name, err)
	case failure.code == readOnlyError:
		return result.New(result.NotPrimary, "instance %s: %s", t.target.name, failure.message)
	}
	return result.New(result.NotCarried, "the request key could not be written: %v", failure)
}

func conflicts(err error) bool {
	var failure *queryError
	return errors.As(err, &failure) && failure.code == uniqueViolation
}

// replay returns the answer to a batch whose outcome has been recorded. Rows are
// not recorded.
func replay(messages []byte, tag string) []byte {
	var out []byte
	add := func(m pgproto3.BackendMessage) {
		if b, err := m.Encode(out); err == nil {
			out = b
		}
	}
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			break
		}
		switch f.kind {
		case 'P':
			add(&pgproto3.ParseComplete{})
		case 'B':
			add(&pgproto3.BindComplete{})
		case 'C':
			add(&pgproto3.CloseComplete{})
		case 'D':
			if f.body()[0] == 'S' {
				add(&pgproto3.ParameterDescription{})
			}
			add(&pgproto3.NoData{})
		case 'E', 'Q':
			add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		}
		rest = after
	}
	return out
}
