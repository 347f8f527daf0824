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

// A request with a key leaves a row in tarragon_requests, written by the same
// transaction. Package resolver decides what follows from it.

const (
	uniqueViolation = "23505"
	readOnlyError   = "25006"
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

func insertKey(key string, outcome resolver.Outcome, tag string) string {
	return "INSERT INTO tarragon_requests (key, outcome, tag) VALUES (" +
		quoteLiteral(key) + ", " + quoteLiteral(string(outcome)) + ", " + quoteLiteral(tag) + ")"
}

// claim resolves the request key before the batch is sent. It returns false when
// the request has been answered instead.
func (t *transaction) claim(ctx context.Context, b *peer.Batch) bool {
	t.claimed = true
	if t.request.Begins && !t.request.ClaimKey {
		t.wraps = insertWrap
		return true
	}
	purpose := resolver.Run
	if t.request.ClaimKey {
		purpose = resolver.Claim
	}
	r, effect := resolver.New(purpose)
	return t.resolve(ctx, b, r, effect)
}

// resolve carries out what the resolver asks for. It returns true when the
// request is to be executed in the transaction that holds the key.
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
			t.wraps = commitWrap
			t.relay.keepTag = true
			return true
		case resolver.Answer:
			t.answerKey(b, e, s)
			return false
		}
	}
}

// insertRow writes the key's row: a claim commits it, a request leaves its
// transaction open.
func (t *transaction) insertRow(ctx context.Context, outcome resolver.Outcome, s *settlement) resolver.Event {
	text := insertKey(t.request.RequestKey, outcome, "")
	if outcome == resolver.Done {
		text = "BEGIN; " + text
	}
	done, err := t.query(ctx, text)
	switch {
	case err == nil:
		*s = settlement{seen: done.seen, wrote: done.wrote}
		return resolver.Inserted{}
	case conflicts(err):
		return resolver.Conflicted{}
	}
	return resolver.Failed{Err: err}
}

func (t *transaction) lookUp(ctx context.Context, s *settlement) resolver.Event {
	if _, err := t.query(ctx, "ROLLBACK"); err != nil {
		return resolver.Failed{Err: err}
	}
	found, err := t.query(ctx, "SELECT outcome, tag FROM tarragon_requests WHERE key = "+quoteLiteral(t.request.RequestKey))
	switch {
	case err != nil:
		return resolver.Failed{Err: err}
	case len(found.row) != 2:
		return resolver.Absent{}
	}
	*s = settlement{seen: found.seen, status: idleStatus}
	return resolver.Found{Outcome: resolver.Outcome(found.row[0]), Tag: found.row[1]}
}

func (t *transaction) confirmRow(ctx context.Context, s *settlement) resolver.Event {
	if refusal := t.confirm(ctx, s); refusal != nil {
		return resolver.Failed{Err: refusal}
	}
	return resolver.Confirmed{}
}

// answerKey tells the caller what became of the request.
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
		t.lane.open = nil
		s.messages = replay(b.Messages, a.Tag)
		t.lane.settle(t, s)
	case a.Err == nil:
		t.refuse(result.New(result.KeyUndetermined, "the request key comes and goes"))
	default:
		t.refuse(result.New(result.KeyUndetermined, "the outcome of the request key is not known: %v", a.Err))
	}
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
	_, err := t.query(ctx, insertKey(t.request.RequestKey, resolver.Done, "COMMIT"))
	if err == nil {
		return true
	}
	if !conflicts(err) {
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
	t.refuse(t.keyError(err)) // The key is gone, and with it the transaction.
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
