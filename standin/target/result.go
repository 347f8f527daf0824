package target

import (
	"context"
	"database/sql"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"tarragonshed.example/unit"
)

const statusChannel = "tarragon_status"

// resultWriter sends the result of one statement, up to CommandComplete.
type resultWriter struct {
	session *session
	// sendsDescription reports whether RowDescription precedes the rows.
	sendsDescription bool
	// fields are the result columns, or nil if they are not yet known.
	fields       []field
	formats      []int16
	positionSent bool
	rows         int
	unflushed    int
	// limit is the maximum number of rows to send; further rows are added to
	// suspended. Zero means no limit.
	limit     int
	suspended []*pgproto3.DataRow
}

// position sends the current term and the position that the statement sees, unless
// they were already sent.
func (w *resultWriter) position(current unit.Term, p unit.Position) {
	if !w.positionSent {
		w.positionSent = true
		w.session.sendPosition(current, p)
	}
}

// ensurePosition sends the applied position if no position was sent yet, as for a
// statement without a snapshot.
func (w *resultWriter) ensurePosition() {
	if !w.positionSent {
		w.position(w.session.target.log.appliedPosition())
	}
}

func (w *resultWriter) describe(fields []field) {
	if w.fields == nil {
		w.fields = fields
	}
	if w.sendsDescription {
		w.session.backend.Send(describe(w.fields, w.formats))
	}
}

func (w *resultWriter) row(values []any) error {
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		encoded, err := encode(w.session.types, w.fields[i].oid, formatAt(w.formats, i), v)
		if err != nil {
			return fail("22P02", "column %s: %v", w.fields[i].name, err)
		}
		row.Values[i] = encoded
		w.unflushed += len(encoded)
	}
	w.rows++
	if w.limit > 0 && w.rows > w.limit {
		w.suspended = append(w.suspended, row)
		return nil
	}
	w.session.backend.Send(row)
	return nil
}

// single sends one row with one text column.
func (w *resultWriter) single(name, value string) error {
	w.ensurePosition()
	w.describe([]field{{name, pgtype.TextOID}})
	return w.row([]any{value})
}

// run executes one statement and returns its command tag.
func (s *session) run(p *parsed, args []any, out *resultWriter) (string, error) {
	ctx, done := s.statementContext()
	defer done()
	if s.tx.failed && p.kind != rollbackKind && p.kind != commitKind && p.kind != rollbackToKind {
		return "", fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch p.kind {
	case readKind:
		return s.read(ctx, p, args, out)
	case writeKind, lockKind:
		return s.write(ctx, p, args, out)
	case sleepKind:
		return s.sleep(ctx, p, args, out)
	}
	tag, err := s.runControl(ctx, p, out)
	out.ensurePosition()
	return tag, err
}

// runControl executes a statement that accesses no table data.
func (s *session) runControl(ctx context.Context, p *parsed, out *resultWriter) (string, error) {
	switch p.kind {
	case functionKind:
		name := p.at(1).text
		value, err := s.target.call(ctx, name, p.literals())
		if err != nil {
			return "", err
		}
		return "SELECT 1", out.single(name, value)
	case activityKind:
		return s.activity(p, out)
	case beginKind:
		return p.tag, s.begin(p)
	case commitKind:
		if s.tx.failed {
			s.rollback()
			return "ROLLBACK", nil
		}
		return p.tag, s.commit()
	case rollbackKind:
		s.rollback()
		return p.tag, nil
	case savepointKind:
		return p.tag, s.savepoint(ctx, p.at(1).text)
	case releaseKind:
		return p.tag, s.endSavepoint(ctx, p.at(len(p.tokens)-1).text, false)
	case rollbackToKind:
		return p.tag, s.endSavepoint(ctx, p.at(len(p.tokens)-1).text, true)
	case showKind:
		return s.show(p, out)
	default:
		return s.runSetting(p)
	}
}

func (s *session) runSetting(p *parsed) (string, error) {
	switch p.kind {
	case setKind:
		return p.tag, s.set(p)
	case resetKind:
		s.reset(lower(p.at(1).text))
	case discardKind:
		s.reset("all")
		s.prepared = map[string]*prepared{}
		s.listening = false
	case deallocateKind:
		name := p.at(len(p.tokens) - 1)
		if name.is("all") {
			s.prepared = map[string]*prepared{}
		}
		delete(s.prepared, name.text)
	case listenKind:
		if p.at(1).text == statusChannel {
			s.listen()
		}
	case unlistenKind:
		s.listening = false
	}
	return p.tag, nil
}

// acquireSlot waits for a slot and returns the function that releases it after the
// service time. Control connections need no slot.
func (s *session) acquireSlot(ctx context.Context) (func(), error) {
	if s.control {
		return func() {}, nil
	}
	select {
	case s.target.slots <- struct{}{}:
		return func() {
			sleep(ctx, s.target.serviceTime)
			<-s.target.slots
		}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *session) sleep(ctx context.Context, p *parsed, args []any, out *resultWriter) (string, error) {
	seconds := 0.0
	if list := p.literals(); len(list) > 0 {
		seconds, _ = strconv.ParseFloat(list[0], 64)
	} else if len(args) > 0 {
		seconds, _ = strconv.ParseFloat(toString(args[0]), 64)
	}
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return "", err
	}
	defer release()
	out.ensurePosition()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	if err := ctx.Err(); err != nil {
		return "", err
	}
	return "SELECT 1", out.single("pg_sleep", "")
}

// read executes a read statement. The first read of a repeatable transaction that
// may write opens a write transaction if the instance accepts writes, because its
// reads and writes have to share one snapshot.
func (s *session) read(ctx context.Context, p *parsed, args []any, out *resultWriter) (string, error) {
	if s.tx.repeatable && !s.tx.readOnly && s.tx.write == nil && s.tx.read == nil {
		if _, err := s.target.log.writable(); err == nil {
			if _, err := s.ensureWrite(ctx); err != nil {
				return "", err
			}
		}
	}
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return "", err
	}
	defer release()
	query := p.sqlite(time.Now(), randomNumber())
	if w := s.tx.write; w != nil {
		err = w.do(ctx, func(ctx context.Context, conn *sql.Conn) error {
			out.position(w.snapshot.term, w.snapshot.position)
			return s.rows(ctx, conn, p, query, args, out, false)
		})
		return out.tag(p), err
	}
	snap, err := s.snapshot(ctx)
	if err != nil {
		return "", err
	}
	if snap != s.tx.read {
		defer snap.end()
	}
	out.position(snap.term, snap.position)
	err = s.rows(ctx, snap.conn, p, query, args, out, true)
	return out.tag(p), err
}

// snapshot returns the transaction's snapshot if it holds one, otherwise a new one.
func (s *session) snapshot(ctx context.Context) (*snapshot, error) {
	if s.tx.read != nil {
		if !s.target.database.isCurrent(s.tx.read) {
			return nil, fail("40001", "canceling statement due to conflict with recovery")
		}
		return s.tx.read, nil
	}
	snap, err := s.target.database.begin(ctx, false, s.target.log.currentTerm)
	if err == nil && s.tx.explicit && s.tx.repeatable {
		s.tx.read = snap
	}
	return snap, err
}

func (w *resultWriter) tag(p *parsed) string {
	if w.rows > 0 || p.tag == "SELECT" || strings.HasPrefix(p.tag, "INSERT") {
		return fmt.Sprintf("%s %d", p.tag, w.rows)
	}
	return p.tag
}

// rows executes a query and sends its rows. If streaming is set, it flushes rows
// while the query runs and may cache the schema; it must not be set in a write
// transaction.
func (s *session) rows(ctx context.Context, conn *sql.Conn, p *parsed, query string, args []any, out *resultWriter, streaming bool) error {
	fields := out.fields
	var tables map[string][]column
	if fields == nil {
		var err error
		if tables, err = s.target.database.tables(ctx, conn, streaming); err != nil {
			return err
		}
	}
	rows, err := conn.QueryContext(ctx, query, args...)
	if err != nil {
		return err
	}
	defer rows.Close()
	if fields == nil {
		if fields, err = columnsOf(rows, scope{tables}, p, nil); err != nil {
			return err
		}
	}
	out.describe(fields)
	values := make([]any, len(fields))
	pointers := make([]any, len(fields))
	for i := range values {
		pointers[i] = &values[i]
	}
	for rows.Next() {
		if err := rows.Scan(pointers...); err != nil {
			return err
		}
		if err := out.row(values); err != nil {
			return err
		}
		if streaming && out.unflushed > flushSize {
			out.unflushed = 0
			if err := s.backend.Flush(); err != nil {
				return err
			}
		}
	}
	return rows.Err()
}

// columnsOf returns the names and types of the result columns of a query.
func columnsOf(rows *sql.Rows, names scope, p *parsed, params []uint32) ([]field, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	items := p.selected()
	fields := make([]field, len(types))
	for i, t := range types {
		var oid uint32
		if t.DatabaseTypeName() != "" {
			oid = oidOf(t.DatabaseTypeName())
		} else if len(items) == len(types) {
			oid = names.expressionType(p, items[i][0], items[i][1], params)
		}
		fields[i] = field{t.Name(), textIfUnknown(oid)}
		if len(items) == len(types) {
			fields[i].name = p.columnName(items[i], t.Name())
		}
	}
	return fields, nil
}

// columnName returns the name of a result column. A column without an alias gets the
// name that PostgreSQL gives it; name is the one that SQLite gives it.
func (p *parsed) columnName(item [2]int, name string) string {
	from, to := item[0], item[1]
	if to-from < 2 && p.at(from).isName() || p.at(from).is("*") || p.at(to-2).is("as") || p.at(from+1).is(".") {
		return name
	}
	switch {
	case p.at(from).isName() && p.at(from+1).is("("):
		return p.at(from).text
	case p.at(to - 1).isName():
		return name
	}
	return "?column?"
}

// selected returns the token ranges of the items of the SELECT or RETURNING list.
func (p *parsed) selected() [][2]int {
	if p.returning > 0 {
		return p.items(p.returning)
	}
	depth := 0
	for i, t := range p.tokens {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case t.is("select") && depth == 0:
			return p.items(i+1, "from", "where", "limit", "order", "group", "union", "having")
		}
	}
	return nil
}

// write executes a write or locking statement in the session's write transaction.
func (s *session) write(ctx context.Context, p *parsed, args []any, out *resultWriter) (string, error) {
	w, err := s.ensureWrite(ctx)
	if err != nil {
		return "", err
	}
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return "", err
	}
	defer release()
	query := p.sqlite(time.Now(), randomNumber())
	tag := p.tag
	err = w.do(ctx, func(ctx context.Context, conn *sql.Conn) error {
		out.position(w.snapshot.term, w.snapshot.position)
		if p.kind == lockKind || p.returning > 0 {
			if err := s.rows(ctx, conn, p, query, args, out, false); err != nil {
				return err
			}
			tag = fmt.Sprintf("%s %d", p.tag, out.rows)
		} else {
			result, err := conn.ExecContext(ctx, query, args...)
			if err != nil {
				return err
			}
			if n, err := result.RowsAffected(); err == nil && p.hasRowCount() {
				tag = fmt.Sprintf("%s %d", p.tag, n)
			}
		}
		if p.kind == writeKind {
			w.statements = append(w.statements, statement{SQL: query, Args: args})
		}
		return nil
	})
	return tag, err
}

func (p *parsed) hasRowCount() bool {
	return strings.HasPrefix(p.tag, "INSERT") || p.tag == "UPDATE" || p.tag == "DELETE"
}
