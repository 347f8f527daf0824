package target

import (
	"context"
	"database/sql"
	"sync"
	"sync/atomic"

	"tarragonshed.example/unit"
)

// writeTransaction is an open write transaction. It is rolled back early when the
// instance is no longer the primary in the transaction's term.
type writeTransaction struct {
	target *Target
	term   unit.Term

	revoked atomic.Bool
	cancel  atomic.Pointer[context.CancelFunc]

	mu         sync.Mutex
	snapshot   *snapshot
	statements []statement
	ended      bool
}

// beginWrite waits for the write lock and opens a write transaction. It returns
// errNotPrimary if the instance does not accept writes.
func (t *Target) beginWrite(ctx context.Context) (*writeTransaction, error) {
	for {
		w, changed, err := t.tryBeginWrite(ctx)
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

// tryBeginWrite opens a write transaction. If records of the log are not yet applied,
// it returns a channel that is closed on the next change instead.
func (t *Target) tryBeginWrite(ctx context.Context) (*writeTransaction, <-chan struct{}, error) {
	if _, err := t.log.writable(); err != nil {
		return nil, nil, err
	}
	if err := t.database.lockWriter(ctx); err != nil {
		return nil, nil, err
	}
	changed := t.log.watch()
	term, err := t.log.writable()
	if err != nil {
		t.database.unlockWriter()
		return nil, nil, err
	}
	if !t.log.caughtUp() {
		t.database.unlockWriter()
		return nil, changed, nil
	}
	s, err := t.database.begin(ctx, true, t.log.currentTerm)
	if err != nil {
		t.database.unlockWriter()
		return nil, nil, err
	}
	w := &writeTransaction{target: t, term: term, snapshot: s}
	t.mu.Lock()
	t.openWrite = w
	t.mu.Unlock()
	if t.log.currentTerm() != term {
		w.rollback()
		return nil, nil, errNotPrimary
	}
	return w, nil, nil
}

// revokeWrite rolls back the open write transaction after the instance has lost its
// term or was closed.
func (t *Target) revokeWrite() {
	t.mu.Lock()
	w := t.openWrite
	t.mu.Unlock()
	if w == nil {
		return
	}
	w.revoked.Store(true)
	if cancel := w.cancel.Load(); cancel != nil {
		(*cancel)()
	}
	t.wait.Go(w.rollback)
}

// do runs f in the transaction. It returns errNotPrimary if the transaction has ended
// or was revoked.
func (w *writeTransaction) do(ctx context.Context, f func(context.Context, *sql.Conn) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.cancel.Store(&cancel)
	if w.ended || w.revoked.Load() {
		return errNotPrimary
	}
	err := f(ctx, w.snapshot.conn)
	if err != nil && w.revoked.Load() {
		return errNotPrimary
	}
	return err
}

// rollback rolls back the transaction unless it has ended.
func (w *writeTransaction) rollback() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.snapshot.end()
	w.finish()
}

// finish marks the transaction as ended and releases the write lock. The caller holds
// mu.
func (w *writeTransaction) finish() {
	w.ended = true
	w.target.mu.Lock()
	if w.target.openWrite == w {
		w.target.openWrite = nil
	}
	w.target.mu.Unlock()
	w.target.database.unlockWriter()
}

// commit appends the transaction's record and returns its position, which is
// zero if the transaction wrote nothing.
func (w *writeTransaction) commit(ctx context.Context) (unit.Position, error) {
	w.target.gate.wait(ctx)
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
	p, err := w.target.log.commit(w.term, w.statements, w.snapshot.commit)
	if err != nil {
		w.snapshot.end()
	}
	return p, err
}
