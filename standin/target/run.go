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

// answer collects what one statement sends before CommandComplete.
type answer struct {
	session *session
	// describes tells that RowDescription precedes the rows.
	describes bool
	// fields are those described before, if any.
	fields     []field
	formats    []int16
	positioned bool
	rows       int
	unsent     int
	// limit is the number of rows to be sent now; the others are kept. Zero
	// means all.
	limit int
	kept  []*pgproto3.DataRow
}

// position sends the position that the statement sees, once.
func (a *answer) position(current unit.Term, p unit.Position) {
	if !a.positioned {
		a.positioned = true
		a.session.sendPosition(current, p)
	}
}

// ensurePosition sends the applied position if the statement had no snapshot.
func (a *answer) ensurePosition() {
	if !a.positioned {
		a.position(a.session.target.ledger.standing())
	}
}

func (a *answer) describe(fields []field) {
	if a.fields == nil {
		a.fields = fields
	}
	if a.describes {
		a.session.backend.Send(describe(a.fields, a.formats))
	}
}

func (a *answer) row(values []any) error {
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		encoded, err := encode(a.session.types, a.fields[i].oid, formatAt(a.formats, i), v)
		if err != nil {
			return fail("22P02", "column %s: %v", a.fields[i].name, err)
		}
		row.Values[i] = encoded
		a.unsent += len(encoded)
	}
	a.rows++
	if a.limit > 0 && a.rows > a.limit {
		a.kept = append(a.kept, row)
		return nil
	}
	a.session.backend.Send(row)
	return nil
}

// single answers with one row of one text column.
func (a *answer) single(name, value string) error {
	a.ensurePosition()
	a.describe([]field{{name, pgtype.TextOID}})
	return a.row([]any{value})
}

// run carries out one statement and returns its command tag.
func (s *session) run(p *parsed, args []any, out *answer) (string, error) {
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

// runControl carries out statements that touch no data.
func (s *session) runControl(ctx context.Context, p *parsed, out *answer) (string, error) {
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
		return p.tag, s.restore(ctx, p.at(len(p.tokens)-1).text, false)
	case rollbackToKind:
		return p.tag, s.restore(ctx, p.at(len(p.tokens)-1).text, true)
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
		s.listens = false
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
		s.listens = false
	}
	return p.tag, nil
}

// takeSlot waits for a slot and returns the function that gives it back after
// the service time.
func (s *session) takeSlot(ctx context.Context) (func(), error) {
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

func (s *session) sleep(ctx context.Context, p *parsed, args []any, out *answer) (string, error) {
	seconds := 0.0
	if list := p.literals(); len(list) > 0 {
		seconds, _ = strconv.ParseFloat(list[0], 64)
	} else if len(args) > 0 {
		seconds, _ = strconv.ParseFloat(plain(args[0]), 64)
	}
	free, err := s.takeSlot(ctx)
	if err != nil {
		return "", err
	}
	defer free()
	out.ensurePosition()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	if err := ctx.Err(); err != nil {
		return "", err
	}
	return "SELECT 1", out.single("pg_sleep", "")
}

// read carries out a statement that reads.
func (s *session) read(ctx context.Context, p *parsed, args []any, out *answer) (string, error) {
	if s.tx.repeatable && !s.tx.readOnly && s.tx.write == nil && s.tx.read == nil {
		if _, err := s.target.ledger.writable(); err == nil {
			if _, err := s.writing(ctx); err != nil {
				return "", err
			}
		}
	}
	free, err := s.takeSlot(ctx)
	if err != nil {
		return "", err
	}
	defer free()
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

// snapshot returns the transaction's snapshot if it keeps one, otherwise a new one.
func (s *session) snapshot(ctx context.Context) (*snapshot, error) {
	if s.tx.read != nil {
		if !s.target.database.current(s.tx.read) {
			return nil, fail("40001", "canceling statement due to conflict with recovery")
		}
		return s.tx.read, nil
	}
	snap, err := s.target.database.begin(ctx, false, s.target.ledger.currentTerm)
	if err == nil && s.tx.explicit && s.tx.repeatable {
		s.tx.read = snap
	}
	return snap, err
}

func (a *answer) tag(p *parsed) string {
	if a.rows > 0 || p.tag == "SELECT" || strings.HasPrefix(p.tag, "INSERT") {
		return fmt.Sprintf("%s %d", p.tag, a.rows)
	}
	return p.tag
}

// rows runs a query and sends its rows.
func (s *session) rows(ctx context.Context, conn *sql.Conn, p *parsed, query string, args []any, out *answer, streams bool) error {
	fields := out.fields
	var tables map[string][]column
	if fields == nil {
		var err error
		if tables, err = s.target.database.tables(ctx, conn, streams); err != nil {
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
		if streams && out.unsent > flushSize {
			out.unsent = 0
			if err := s.backend.Flush(); err != nil {
				return err
			}
		}
	}
	return rows.Err()
}

// columnsOf describes the columns of an open query.
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
		fields[i] = field{t.Name(), orText(oid)}
		if len(items) == len(types) {
			fields[i].name = p.columnName(items[i], t.Name())
		}
	}
	return fields, nil
}

// columnName names a column without an alias as PostgreSQL does.
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

// selected returns the items of a SELECT or RETURNING list.
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

// write carries out a statement that writes.
func (s *session) write(ctx context.Context, p *parsed, args []any, out *answer) (string, error) {
	w, err := s.writing(ctx)
	if err != nil {
		return "", err
	}
	free, err := s.takeSlot(ctx)
	if err != nil {
		return "", err
	}
	defer free()
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
			if n, err := result.RowsAffected(); err == nil && p.counts() {
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

func (p *parsed) counts() bool {
	return strings.HasPrefix(p.tag, "INSERT") || p.tag == "UPDATE" || p.tag == "DELETE"
}
