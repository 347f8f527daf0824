package home

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/resolver"
	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

// A request with a key inserts a row into tarragon_requests in the same transaction.
// Package resolver decides how to proceed from the state of that row.

const (
	uniqueViolation = "23505"
	readOnlyError   = "25006"
)

// keyAction is what to do about a request key when the batch is settled.
type keyAction int

const (
	noKeyAction keyAction = iota
	// commitKey commits the transaction in which the home has enclosed the batch.
	commitKey
	// addKey inserts the key into the transaction that the batch has begun.
	addKey
)

// executes reports whether the batch executes a statement.
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

func insertKey(key string, outcome resolver.Outcome, tag string) string {
	return "INSERT INTO tarragon_requests (key, outcome, tag) VALUES (" +
		quoteLiteral(key) + ", " + quoteLiteral(string(outcome)) + ", " + quoteLiteral(tag) + ")"
}

// claim resolves the request key before the batch is sent. It returns false when the
// request has already been answered.
func (t *transaction) claim(ctx context.Context, b *peer.Batch) bool {
	t.claimed = true
	if t.request.Begins && !t.request.ClaimKey {
		t.keyAction = addKey
		return true
	}
	purpose := resolver.Run
	if t.request.ClaimKey {
		purpose = resolver.Claim
	}
	r, effect := resolver.New(purpose)
	return t.resolve(ctx, b, r, effect)
}

// resolve executes the effects of the resolver. It returns true when the request is
// to be executed in the transaction that holds the key.
func (t *transaction) resolve(ctx context.Context, b *peer.Batch, r *resolver.Resolver, effect resolver.Effect) bool {
	var s settlement
	for {
		switch e := effect.(type) {
		case resolver.Insert:
			effect = r.Step(t.insertRow(ctx, e.Outcome, &s))
		case resolver.LookUp:
			effect = r.Step(t.lookUp(ctx, &s))
		case resolver.Confirm:
			effect = r.Step(t.confirmRow(ctx, &s))
		case resolver.Execute:
			t.keyAction = commitKey
			t.relay.keepTag = true
			return true
		case resolver.Answer:
			t.answerKey(b, e, s)
			return false
		}
	}
}

// insertRow inserts the key's row. A claim commits the row; a request leaves its
// transaction open.
func (t *transaction) insertRow(ctx context.Context, outcome resolver.Outcome, s *settlement) resolver.Event {
	text := insertKey(string(t.request.RequestKey), outcome, "")
	if outcome == resolver.Done {
		text = "BEGIN; " + text
	}
	done, err := t.query(ctx, text)
	switch {
	case err == nil:
		*s = settlement{observed: done.observed, wrote: done.wrote}
		return resolver.Inserted{}
	case isUniqueViolation(err):
		return resolver.Conflicted{}
	}
	return resolver.Failed{Err: err}
}

func (t *transaction) lookUp(ctx context.Context, s *settlement) resolver.Event {
	if _, err := t.query(ctx, "ROLLBACK"); err != nil {
		return resolver.Failed{Err: err}
	}
	found, err := t.query(ctx, "SELECT outcome, tag FROM tarragon_requests WHERE key = "+quoteLiteral(string(t.request.RequestKey)))
	switch {
	case err != nil:
		return resolver.Failed{Err: err}
	case len(found.row) != 2:
		return resolver.Absent{}
	}
	*s = settlement{observed: found.observed, status: idleStatus}
	return resolver.Found{Outcome: resolver.Outcome(found.row[0]), Tag: found.row[1]}
}

func (t *transaction) confirmRow(ctx context.Context, s *settlement) resolver.Event {
	if refusal := t.confirm(ctx, s); refusal != nil {
		return resolver.Failed{Err: refusal}
	}
	return resolver.Confirmed{}
}

// answerKey answers the request with the outcome recorded for its key.
func (t *transaction) answerKey(b *peer.Batch, a resolver.Answer, s settlement) {
	switch {
	case a.Verdict == resolver.Refused:
		t.refuse(t.keyError(a.Err))
	case a.Verdict == resolver.NotRun:
		t.refuse(result.New(result.RequestCancelled, "the request key was claimed as cancelled"))
	case a.Verdict == resolver.Ran && t.request.Begins:
		t.refuse(result.New(result.RequestDone, "the transaction with the request key has been committed"))
	case a.Verdict == resolver.Ran:
		t.release()
		t.stream.open = nil
		s.messages = replay(b.Messages, a.Tag)
		t.stream.settle(t, s)
	case a.Err == nil:
		t.refuse(result.New(result.KeyUndetermined, "the row of the request key repeatedly appeared and disappeared"))
	default:
		t.refuse(result.New(result.KeyUndetermined, "the outcome of the request key is unknown: %v", a.Err))
	}
}

// finishKey executes the keyAction of a settled batch. It returns false when the
// request has been answered.
func (t *transaction) finishKey(ctx context.Context, s *settlement) bool {
	action := t.keyAction
	t.keyAction = noKeyAction
	t.sent = false
	switch {
	case s.status == idleStatus:
		return true // The batch ended the transaction itself.
	case action == addKey:
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

// insert inserts the key into the transaction that the batch has begun.
func (t *transaction) insert(ctx context.Context) bool {
	_, err := t.query(ctx, insertKey(string(t.request.RequestKey), resolver.Done, "COMMIT"))
	if err == nil {
		return true
	}
	if !isUniqueViolation(err) {
		t.refuse(t.keyError(err))
		return false
	}
	var s settlement
	r, _ := resolver.New(resolver.Run)
	_ = r.Step(resolver.Conflicted{})
	effect := r.Step(t.lookUp(ctx, &s))
	if effect == (resolver.Confirm{}) {
		effect = r.Step(t.confirmRow(ctx, &s))
	}
	if a, ok := effect.(resolver.Answer); ok {
		t.answerKey(nil, a, s)
		return false
	}
	t.refuse(t.keyError(err)) // The key's row no longer exists, and the transaction has been rolled back.
	return false
}

// commit records the command tag in the key's row and commits.
func (t *transaction) commit(ctx context.Context, s *settlement) bool {
	t.sent = true
	done, err := t.query(ctx, "UPDATE tarragon_requests SET tag = "+quoteLiteral(s.tag)+
		" WHERE key = "+quoteLiteral(string(t.request.RequestKey))+"; COMMIT")
	if err != nil {
		var failure *queryError
		if errors.As(err, &failure) {
			t.sent = false
		}
		t.refuse(t.keyError(err))
		return false
	}
	t.sent = false
	s.status, s.observed, s.wrote = idleStatus, done.observed, done.wrote
	return true
}

// query runs a statement on the key's row until one second after the request's
// deadline.
func (t *transaction) query(ctx context.Context, text string) (injectedResult, error) {
	ctx, stop := context.WithDeadline(ctx, t.deadline.Add(time.Second))
	defer stop()
	return t.conn.inject(ctx, text)
}

// keyError returns the error that a failed statement on the key's row means for the
// request. Unless COMMIT was sent, nothing has been committed.
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

func isUniqueViolation(err error) bool {
	var failure *queryError
	return errors.As(err, &failure) && failure.code == uniqueViolation
}

// replay returns the answer to a batch whose outcome has been recorded. It has no
// rows, because rows are not recorded.
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
