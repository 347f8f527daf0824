package target

import (
	"context"
	"database/sql"
	"maps"

	"tarragonshed.example/unit"
)

// transaction is the state of a session's transaction. The zero transaction is
// none.
type transaction struct {
	explicit   bool
	failed     bool
	readOnly   bool
	repeatable bool
	savepoints []savepoint
	// read is the snapshot that a repeatable transaction reads.
	read *snapshot
	// write is the open write transaction, explicit or of the batch.
	write *writing
	// settings are those to go back to on rollback, local those on commit.
	settings map[string]string
	local    map[string]string
	// committed is the last record that the batch has committed.
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

// begin opens an explicit transaction with the modes of BEGIN.
func (s *session) begin(p *parsed) error {
	if s.tx.explicit {
		return nil // PostgreSQL warns.
	}
	if err := s.endBatch(); err != nil {
		return err
	}
	s.tx.explicit = true
	s.tx.readOnly = s.settings["default_transaction_read_only"] == "on"
	s.tx.repeatable = repeatable(s.settings["default_transaction_isolation"])
	s.tx.settings = maps.Clone(s.settings)
	s.tx.local = map[string]string{}
	s.modes(p)
	return nil
}

// modes takes READ ONLY, READ WRITE and ISOLATION LEVEL from a statement.
func (s *session) modes(p *parsed) {
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

// endBatch commits what a batch without BEGIN has written.
func (s *session) endBatch() error {
	if s.tx.explicit {
		return nil
	}
	return s.commit()
}

// commit commits the transaction. After an error it is rolled back.
func (s *session) commit() error {
	w := s.tx.write
	s.tx.write = nil
	var err error
	var p unit.Position
	if w != nil {
		p, err = w.commit(s.life)
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

// rollback rolls the transaction back.
func (s *session) rollback() {
	if s.tx.settings != nil {
		s.settings = s.tx.settings
	}
	s.releaseTransaction()
}

// releaseTransaction ends what is open and forgets the transaction.
func (s *session) releaseTransaction() {
	if s.tx.write != nil {
		s.tx.write.rollback()
	}
	if s.tx.read != nil {
		s.tx.read.end()
	}
	s.tx = transaction{committed: s.tx.committed}
}

// failTransaction marks the transaction as failed. Nothing of it can be used any
// more unless there is a savepoint to go back to.
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

// writing returns the session's write transaction and opens it at need.
func (s *session) writing(ctx context.Context) (*writing, error) {
	if s.tx.readOnly || (!s.tx.explicit && s.settings["default_transaction_read_only"] == "on") {
		return nil, fail("25006", "cannot write in a read-only transaction")
	}
	if s.tx.write != nil {
		return s.tx.write, nil
	}
	w, err := s.target.openWriting(ctx)
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

// restore goes back to a savepoint, or only forgets it.
func (s *session) restore(ctx context.Context, name string, back bool) error {
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
	if back {
		verb, keep = "ROLLBACK TO ", at+1
	}
	if w := s.tx.write; w != nil {
		if err := w.do(ctx, execute(verb+quote(name))); err != nil {
			return err
		}
		if back {
			w.statements = w.statements[:s.tx.savepoints[at].statements]
		}
	}
	s.tx.savepoints = s.tx.savepoints[:keep]
	if back {
		s.tx.failed = false
	}
	return nil
}
