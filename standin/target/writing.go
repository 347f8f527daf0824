package target

import (
	"context"
	"database/sql"
	"sync"
	"sync/atomic"

	"tarragonshed.example/unit"
)

// writing is an open write transaction. It ends early when the instance's term
// is taken from it.
type writing struct {
	target *Target
	term   unit.Term

	deposed atomic.Bool
	cancel  atomic.Pointer[context.CancelFunc]

	mu         sync.Mutex
	snapshot   *snapshot
	statements []statement
	ended      bool
}

// openWriting waits for the right to write and opens a transaction.
func (t *Target) openWriting(ctx context.Context) (*writing, error) {
	for {
		w, changed, err := t.tryWriting(ctx)
		if w != nil || err != nil {
			return w, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryWriting opens a transaction, or returns a channel to wait for while earlier
// records are still to be applied.
func (t *Target) tryWriting(ctx context.Context) (*writing, <-chan struct{}, error) {
	if _, err := t.ledger.writable(); err != nil {
		return nil, nil, err
	}
	if err := t.database.lockWriter(ctx); err != nil {
		return nil, nil, err
	}
	changed := t.ledger.watch()
	term, err := t.ledger.writable()
	if err != nil {
		t.database.unlockWriter()
		return nil, nil, err
	}
	if !t.ledger.caughtUp() {
		t.database.unlockWriter()
		return nil, changed, nil
	}
	s, err := t.database.begin(ctx, true, t.ledger.currentTerm)
	if err != nil {
		t.database.unlockWriter()
		return nil, nil, err
	}
	w := &writing{target: t, term: term, snapshot: s}
	t.mu.Lock()
	t.writing = w
	t.mu.Unlock()
	if t.ledger.currentTerm() != term {
		w.rollback()
		return nil, nil, errNotPrimary
	}
	return w, nil, nil
}

// depose ends the open write transaction after the term was taken away.
func (t *Target) depose() {
	t.mu.Lock()
	w := t.writing
	t.mu.Unlock()
	if w == nil {
		return
	}
	w.deposed.Store(true)
	if cancel := w.cancel.Load(); cancel != nil {
		(*cancel)()
	}
	t.wait.Go(w.rollback)
}

// do runs f inside of the transaction.
func (w *writing) do(ctx context.Context, f func(context.Context, *sql.Conn) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.cancel.Store(&cancel)
	if w.ended || w.deposed.Load() {
		return errNotPrimary
	}
	err := f(ctx, w.snapshot.conn)
	if err != nil && w.deposed.Load() {
		return errNotPrimary
	}
	return err
}

// rollback ends the transaction, if it has not ended.
func (w *writing) rollback() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.snapshot.end()
	w.finish()
}

// finish gives back the right to write. The caller holds the lock.
func (w *writing) finish() {
	w.ended = true
	w.target.mu.Lock()
	if w.target.writing == w {
		w.target.writing = nil
	}
	w.target.mu.Unlock()
	w.target.database.unlockWriter()
}

// commit appends the transaction's record and returns its position, which is
// zero if the transaction wrote nothing.
func (w *writing) commit(ctx context.Context) (unit.Position, error) {
	w.target.gate.pass(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return unit.Position{}, errNotPrimary
	}
	defer w.finish()
	if len(w.statements) == 0 {
		w.snapshot.end()
		return unit.Position{}, nil
	}
	p, err := w.target.ledger.commit(w.term, w.statements, w.snapshot.commit)
	if err != nil {
		w.snapshot.end()
	}
	return p, err
}
