package target

import (
	"context"
	"database/sql"
	"maps"

	"tarragonshed.example/unit"
)

// transaction is the state of a session's transaction. The zero value means that no
// transaction is open.
type transaction struct {
	explicit   bool
	failed     bool
	readOnly   bool
	repeatable bool
	savepoints []savepoint
	// read is the snapshot of a repeatable transaction, or nil.
	read *snapshot
	// write is the open write transaction, explicit or implicit, or nil.
	write *writeTransaction
	// settings holds the settings to restore on rollback. local holds the values that
	// SET LOCAL replaced, which are restored on commit.
	settings map[string]string
	local    map[string]string
	// committed is the position of the last record that the batch has committed.
	committed unit.Position
}

type savepoint struct {
	name       string
	statements int
}

func (x *transaction) status() byte {
	switch {
	case x.failed:
		return 'E'
	case x.explicit:
		return 'T'
	default:
		return 'I'
	}
}

// begin starts an explicit transaction with the modes of BEGIN.
func (s *session) begin(p *parsed) error {
	if s.tx.explicit {
		return nil // PostgreSQL only sends a warning.
	}
	if err := s.endBatch(); err != nil {
		return err
	}
	s.tx.explicit = true
	s.tx.readOnly = s.settings["default_transaction_read_only"] == "on"
	s.tx.repeatable = repeatable(s.settings["default_transaction_isolation"])
	s.tx.settings = maps.Clone(s.settings)
	s.tx.local = map[string]string{}
	s.applyModes(p)
	return nil
}

// applyModes applies READ ONLY, READ WRITE and ISOLATION LEVEL of a statement.
func (s *session) applyModes(p *parsed) {
	for i, t := range p.tokens {
		switch {
		case t.is("read") && p.at(i+1).is("only"):
			s.tx.readOnly = true
		case t.is("read") && p.at(i+1).is("write"):
			s.tx.readOnly = false
		case t.is("level"):
			s.tx.repeatable = repeatable(p.at(i + 1).text)
		}
	}
}

func repeatable(level string) bool {
	return level == "repeatable" || level == "serializable" || level == "repeatable read"
}

// endBatch commits the implicit transaction of a batch without BEGIN.
func (s *session) endBatch() error {
	if s.tx.explicit {
		return nil
	}
	return s.commit()
}

// commit commits the transaction, or rolls it back if the commit fails.
func (s *session) commit() error {
	w := s.tx.write
	s.tx.write = nil
	var err error
	var p unit.Position
	if w != nil {
		p, err = w.commit(s.ctx)
	}
	if err == nil {
		maps.Copy(s.settings, s.tx.local)
	} else if s.tx.settings != nil {
		s.settings = s.tx.settings
	}
	s.releaseTransaction()
	if !p.IsZero() {
		s.tx.committed = p
	}
	return err
}

// rollback rolls back the transaction and restores its settings.
func (s *session) rollback() {
	if s.tx.settings != nil {
		s.settings = s.tx.settings
	}
	s.releaseTransaction()
}

// releaseTransaction ends the open write transaction and snapshot and clears the
// transaction's state, except for the committed position.
func (s *session) releaseTransaction() {
	if s.tx.write != nil {
		s.tx.write.rollback()
	}
	if s.tx.read != nil {
		s.tx.read.end()
	}
	s.tx = transaction{committed: s.tx.committed}
}

// failTransaction marks the transaction as failed. An implicit transaction is rolled
// back. An explicit one ends its snapshot and write transaction at once unless there
// is a savepoint that it can roll back to.
func (s *session) failTransaction() {
	if !s.tx.explicit {
		s.rollback()
		return
	}
	s.tx.failed = true
	if len(s.tx.savepoints) > 0 {
		return
	}
	if s.tx.write != nil {
		s.tx.write.rollback()
	}
	if s.tx.read != nil {
		s.tx.read.end()
		s.tx.read = nil
	}
}

// ensureWrite returns the session's write transaction and opens it if needed.
func (s *session) ensureWrite(ctx context.Context) (*writeTransaction, error) {
	if s.tx.readOnly || (!s.tx.explicit && s.settings["default_transaction_read_only"] == "on") {
		return nil, fail("25006", "cannot write in a read-only transaction")
	}
	if s.tx.write != nil {
		return s.tx.write, nil
	}
	w, err := s.target.beginWrite(ctx)
	if err != nil {
		return nil, err
	}
	s.tx.write = w
	for _, point := range s.tx.savepoints {
		if err := w.do(ctx, execute("SAVEPOINT "+quote(point.name))); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func execute(sqlText string) func(context.Context, *sql.Conn) error {
	return func(ctx context.Context, conn *sql.Conn) error {
		_, err := conn.ExecContext(ctx, sqlText)
		return err
	}
}

func quote(name string) string { return `"` + name + `"` }

func (s *session) savepoint(ctx context.Context, name string) error {
	if !s.tx.explicit {
		return fail("25P01", "SAVEPOINT can only be used in transaction blocks")
	}
	point := savepoint{name: name}
	if w := s.tx.write; w != nil {
		point.statements = len(w.statements)
		if err := w.do(ctx, execute("SAVEPOINT "+quote(name))); err != nil {
			return err
		}
	}
	s.tx.savepoints = append(s.tx.savepoints, point)
	return nil
}

// endSavepoint rolls back to the savepoint if rollback is set, otherwise it releases
// the savepoint.
func (s *session) endSavepoint(ctx context.Context, name string, rollback bool) error {
	at := -1
	for i, point := range s.tx.savepoints {
		if point.name == name {
			at = i
		}
	}
	if at < 0 {
		return fail("3B001", "savepoint %q does not exist", name)
	}
	verb, keep := "RELEASE ", at
	if rollback {
		verb, keep = "ROLLBACK TO ", at+1
	}
	if w := s.tx.write; w != nil {
		if err := w.do(ctx, execute(verb+quote(name))); err != nil {
			return err
		}
		if rollback {
			w.statements = w.statements[:s.tx.savepoints[at].statements]
		}
	}
	s.tx.savepoints = s.tx.savepoints[:keep]
	if rollback {
		s.tx.failed = false
	}
	return nil
}
