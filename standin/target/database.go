package target

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	_ "modernc.org/sqlite" // Registers the database driver.

	"tarragonshed.example/unit"
)

const baseSchema = `
CREATE TABLE tarragon_applied (term INTEGER NOT NULL, position INTEGER NOT NULL);
INSERT INTO tarragon_applied VALUES (0, 0);
CREATE TABLE tarragon_requests (key text PRIMARY KEY, outcome text, tag text);`

const recordsPerApply = 256

// column is a column of a table with its declared type.
type column struct {
	name, declared string
}

// database is the SQLite database that the log is applied to. It survives a
// crash of the process.
type database struct {
	folder string

	// mu is read-locked while a snapshot is taken and write-locked while the file
	// is replaced.
	mu         sync.RWMutex
	db         *sql.DB
	generation uint64
	valid      bool
	replaced   chan struct{}

	// writer is a semaphore of size one that serializes write transactions. A
	// channel is used so that waiting for it can be cancelled.
	writer chan struct{}

	schemaMu      sync.Mutex
	schema        map[string][]column
	schemaVersion int64
}

func newDatabase() (*database, error) {
	folder, err := os.MkdirTemp("", "target-")
	if err != nil {
		return nil, err
	}
	d := &database{folder: folder, writer: make(chan struct{}, 1), replaced: make(chan struct{}), schemaVersion: -1}
	d.db, err = d.open(0)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	d.valid = true
	return d, nil
}

func (d *database) open(generation uint64) (*sql.DB, error) {
	path := filepath.Join(d.folder, fmt.Sprintf("%d.db", generation))
	db, err := sql.Open("sqlite", "file:"+path+"?_pragma=busy_timeout(5000)&_pragma=journal_mode(WAL)&_pragma=synchronous(0)")
	if err != nil {
		return nil, err
	}
	db.SetMaxIdleConns(32)
	if _, err := db.Exec(baseSchema); err != nil {
		return nil, err
	}
	return db, nil
}

// invalidate prevents new snapshots until the next rebuild.
func (d *database) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.valid = false
}

func (d *database) stale() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.valid
}

// lockWriter acquires the write lock. It returns the context's error if ctx ends
// first.
func (d *database) lockWriter(ctx context.Context) error {
	select {
	case d.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *database) unlockWriter() { <-d.writer }

// snapshot is an open SQLite transaction.
type snapshot struct {
	conn       *sql.Conn
	generation uint64
	// term is the instance's term, read before the snapshot was taken.
	term unit.Term
	// position is the position of the last record that the snapshot contains.
	position unit.Position
}

// begin opens a transaction and pins its snapshot. It waits while the database is
// invalid.
func (d *database) begin(ctx context.Context, write bool, term func() unit.Term) (*snapshot, error) {
	for {
		s, replaced, err := d.tryBegin(ctx, write, term())
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-replaced:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (d *database) tryBegin(ctx context.Context, write bool, term unit.Term) (*snapshot, <-chan struct{}, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !d.valid {
		return nil, d.replaced, nil
	}
	conn, err := d.db.Conn(ctx)
	if err != nil {
		return nil, nil, err
	}
	s := &snapshot{conn: conn, generation: d.generation, term: term}
	verb := "BEGIN"
	if write {
		verb = "BEGIN IMMEDIATE"
	}
	if _, err := conn.ExecContext(ctx, verb); err != nil {
		s.end()
		return nil, nil, err
	}
	row := conn.QueryRowContext(ctx, "SELECT term, position FROM tarragon_applied")
	if err := row.Scan(&s.position.Term, &s.position.Index); err != nil {
		s.end()
		return nil, nil, err
	}
	return s, nil, nil
}

// isCurrent reports whether the snapshot belongs to the current database file.
func (d *database) isCurrent(s *snapshot) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.valid && d.generation == s.generation
}

// end rolls back the transaction and returns the connection to the pool.
func (s *snapshot) end() {
	_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
	_ = s.conn.Close()
}

// commit stores p as the applied position and commits the transaction.
func (s *snapshot) commit(p unit.Position) error {
	ctx := context.Background()
	if _, err := s.conn.ExecContext(ctx, "UPDATE tarragon_applied SET term = ?, position = ?", int64(p.Term), int64(p.Index)); err != nil {
		return err
	}
	if _, err := s.conn.ExecContext(ctx, "COMMIT"); err != nil {
		return err
	}
	return s.conn.Close()
}

// replay executes the statements of the records in order.
func (s *snapshot) replay(ctx context.Context, records []record) error {
	for _, r := range records {
		for _, st := range r.Statements {
			if _, err := s.conn.ExecContext(ctx, st.SQL, st.Args...); err != nil {
				return fmt.Errorf("target: replay of record %v: %w", r.position(), err)
			}
		}
	}
	return nil
}

// applyLoop applies records as they are appended to the log. It rebuilds the
// database when applied records have been truncated from the log.
func (t *Target) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := t.log.watch()
		t.gate.wait(ctx)
		records, truncations := t.log.pending(recordsPerApply)
		switch {
		case t.database.stale():
			t.logApplyError(t.rebuild(ctx))
			continue
		case len(records) > 0:
			records = t.dueRecords(ctx, records)
			t.logApplyError(t.applyRecords(ctx, records, truncations))
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// dueRecords waits until the apply lag of the first record has elapsed and returns
// the records whose apply lag has elapsed.
func (t *Target) dueRecords(ctx context.Context, records []record) []record {
	for {
		changed := t.log.watch()
		lag := time.Duration(t.applyLag.Load())
		if lag <= 0 || t.log.isPrimary() {
			return records
		}
		remaining := time.Until(records[0].receivedAt.Add(lag))
		if remaining <= 0 {
			n := 1
			for n < len(records) && time.Until(records[n].receivedAt.Add(lag)) <= 0 {
				n++
			}
			return records[:n]
		}
		timer := time.NewTimer(min(remaining, heartbeatInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		timer.Stop()
	}
}

func (t *Target) applyRecords(ctx context.Context, records []record, truncations uint64) error {
	if len(records) == 0 {
		return nil
	}
	if err := t.database.lockWriter(ctx); err != nil {
		return err
	}
	defer t.database.unlockWriter()
	if t.database.stale() {
		return errTruncated
	}
	if again, count := t.log.pending(1); count != truncations || len(again) == 0 || again[0].Index != records[0].Index {
		return errTruncated // Truncated concurrently, or already written by a transaction of the new primary.
	}
	s, err := t.database.begin(ctx, true, t.log.currentTerm)
	if err != nil {
		return err
	}
	if err := s.replay(ctx, records); err != nil {
		s.end()
		return err
	}
	last := records[len(records)-1]
	t.gate.wait(ctx)
	if err := t.log.apply(last.Index, truncations, func() error { return s.commit(last.position()) }); err != nil {
		s.end()
		return err
	}
	return nil
}

// rebuild creates a new database from the applied records of the log and replaces
// the current one with it.
func (t *Target) rebuild(ctx context.Context) error {
	d := t.database
	if err := d.lockWriter(ctx); err != nil {
		return err
	}
	defer d.unlockWriter()
	l := t.log
	l.mu.Lock()
	records, truncations := append([]record(nil), l.records[:l.applied]...), l.truncations
	l.mu.Unlock()
	d.mu.RLock()
	generation, old := d.generation+1, d.db
	d.mu.RUnlock()
	fresh, err := d.open(generation)
	if err != nil {
		return err
	}
	if err := replayAll(ctx, fresh, records); err != nil {
		_ = fresh.Close()
		_ = os.Remove(filepath.Join(d.folder, fmt.Sprintf("%d.db", generation)))
		return err
	}
	err = l.apply(unit.Index(len(records)), truncations, func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.db, d.generation, d.valid = fresh, generation, true
		close(d.replaced)
		d.replaced = make(chan struct{})
		return nil
	})
	if err != nil {
		_ = fresh.Close()
		return errors.Join(err, os.Remove(filepath.Join(d.folder, fmt.Sprintf("%d.db", generation))))
	}
	d.invalidateSchema()
	return old.Close()
}

func replayAll(ctx context.Context, db *sql.DB, records []record) error {
	if len(records) == 0 {
		return nil
	}
	conn, err := db.Conn(ctx)
	if err != nil {
		return err
	}
	s := &snapshot{conn: conn}
	if _, err := conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errors.Join(err, conn.Close())
	}
	if err := s.replay(ctx, records); err != nil {
		s.end()
		return err
	}
	return s.commit(records[len(records)-1].position())
}

func (d *database) invalidateSchema() {
	d.schemaMu.Lock()
	defer d.schemaMu.Unlock()
	d.schemaVersion = -1
}

// tables returns the columns of all tables by lower-case table name. The result is
// cached if cache is set; it must not be set if the connection can see uncommitted
// tables.
func (d *database) tables(ctx context.Context, conn *sql.Conn, cache bool) (map[string][]column, error) {
	d.schemaMu.Lock()
	defer d.schemaMu.Unlock()
	var version int64
	if err := conn.QueryRowContext(ctx, "PRAGMA schema_version").Scan(&version); err != nil {
		return nil, err
	}
	if version == d.schemaVersion {
		return d.schema, nil
	}
	rows, err := conn.QueryContext(ctx, "SELECT m.name, c.name, c.type FROM sqlite_master m, pragma_table_info(m.name) c WHERE m.type IN ('table', 'view') ORDER BY m.name, c.cid")
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	tables := map[string][]column{}
	for rows.Next() {
		var table string
		var c column
		if err := rows.Scan(&table, &c.name, &c.declared); err != nil {
			return nil, err
		}
		key := strings.ToLower(table)
		tables[key] = append(tables[key], c)
	}
	if err := rows.Err(); err != nil {
		return nil, err
	}
	if cache {
		d.schema, d.schemaVersion = tables, version
	}
	return tables, nil
}

func (d *database) destroy() error {
	return errors.Join(d.db.Close(), os.RemoveAll(d.folder))
}
