package target

import (
	"context"
	"database/sql"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// prepared is a prepared statement with its parameter and column types.
type prepared struct {
	parsed parsed
	params []uint32
	fields []field
}

// portal is a prepared statement bound to parameter values.
type portal struct {
	statement *prepared
	args      []any
	formats   []int16
	// suspended holds the rows that exceeded the row limit of earlier Executes.
	suspended []*pgproto3.DataRow
	tag       string
}

// extended handles a message of the extended query protocol.
func (s *session) extended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(msg)
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describe(msg)
	case *pgproto3.Execute:
		return s.execute(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.prepared, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	default:
		return fail("0A000", "%T is not supported", msg)
	}
}

func (s *session) parse(msg *pgproto3.Parse) error {
	list := split(msg.Query)
	if len(list) > 1 {
		return fail("42601", "cannot insert multiple commands into a prepared statement")
	}
	st := &prepared{}
	if len(list) == 1 {
		st.parsed = list[0]
	}
	if k := st.parsed.kind; s.tx.failed && k != rollbackKind && k != commitKind && k != rollbackToKind {
		return fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	if msg.Name != "" && s.prepared[msg.Name] != nil {
		return fail("42P05", "prepared statement %q already exists", msg.Name)
	}
	if err := s.analyze(st, msg.ParameterOIDs); err != nil {
		return err
	}
	s.prepared[msg.Name] = st
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// analyze determines the types of the statement's parameters and result columns.
func (s *session) analyze(st *prepared, given []uint32) error {
	p := &st.parsed
	switch p.kind {
	case functionKind, sleepKind:
		st.fields = []field{{p.at(1).text, pgtype.TextOID}}
	case showKind:
		st.fields = []field{{p.at(1).text, pgtype.TextOID}}
	}
	if p.kind == sleepKind && p.params > 0 {
		st.params = []uint32{pgtype.Float8OID}
	}
	if p.kind != readKind && p.kind != writeKind && p.kind != lockKind {
		return nil
	}
	ctx, done := s.statementContext()
	defer done()
	if w := s.tx.write; w != nil {
		return w.do(ctx, func(ctx context.Context, conn *sql.Conn) error { return s.analyzeOn(ctx, conn, st, given, false) })
	}
	snap, err := s.target.database.begin(ctx, false, s.target.log.currentTerm)
	if err != nil {
		return err
	}
	defer snap.end()
	return s.analyzeOn(ctx, snap.conn, st, given, true)
}

func (s *session) analyzeOn(ctx context.Context, conn *sql.Conn, st *prepared, given []uint32, cache bool) error {
	p := &st.parsed
	tables, err := s.target.database.tables(ctx, conn, cache)
	if err != nil {
		return err
	}
	names := scope{tables}
	st.params = names.paramTypes(p, given)
	query := strings.TrimSpace(p.sqlite(s.target.log.now(), 0))
	nulls := make([]any, len(st.params))
	switch {
	case p.at(0).is("create", "drop", "alter", "explain"):
		return nil
	case p.kind == writeKind:
		rows, err := conn.QueryContext(ctx, "EXPLAIN "+query, nulls...)
		if err != nil {
			return err
		}
		if p.returning > 0 {
			st.fields = names.returningFields(p, st.params)
		}
		return rows.Close()
	}
	rows, err := conn.QueryContext(ctx, "SELECT * FROM ("+query+"\n) LIMIT 0", nulls...)
	if err != nil {
		return err
	}
	defer rows.Close()
	st.fields, err = columnsOf(rows, names, p, st.params)
	return err
}

func (s *session) bind(msg *pgproto3.Bind) error {
	st := s.prepared[msg.PreparedStatement]
	if st == nil {
		return fail("26000", "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(st.params) {
		return fail("08P01", "bind message supplies %d parameters, but prepared statement %q requires %d", len(msg.Parameters), msg.PreparedStatement, len(st.params))
	}
	port := &portal{statement: st, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, src := range msg.Parameters {
		v, err := decode(s.types, st.params[i], formatAt(msg.ParameterFormatCodes, i), src)
		if err != nil {
			return fail("22P02", "invalid input for parameter $%d: %v", i+1, err)
		}
		port.args = append(port.args, v)
	}
	s.portals[msg.DestinationPortal] = port
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(msg *pgproto3.Describe) error {
	var st *prepared
	var formats []int16
	if msg.ObjectType == 'S' {
		if st = s.prepared[msg.Name]; st == nil {
			return fail("26000", "prepared statement %q does not exist", msg.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: st.params})
	} else {
		port := s.portals[msg.Name]
		if port == nil {
			return fail("34000", "portal %q does not exist", msg.Name)
		}
		st, formats = port.statement, port.formats
	}
	if st.fields == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(describe(st.fields, formats))
	return nil
}

func (s *session) execute(msg *pgproto3.Execute) error {
	port := s.portals[msg.Portal]
	if port == nil {
		return fail("34000", "portal %q does not exist", msg.Portal)
	}
	if port.tag != "" {
		return s.resume(port, int(msg.MaxRows))
	}
	out := &resultWriter{session: s, fields: port.statement.fields, formats: port.formats, limit: int(msg.MaxRows)}
	if len(port.statement.parsed.tokens) == 0 {
		out.ensurePosition()
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	tag, err := s.run(&port.statement.parsed, port.args, out)
	if err != nil {
		out.ensurePosition()
		return err
	}
	port.tag, port.suspended = tag, out.suspended
	if len(port.suspended) > 0 {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// resume sends the next rows of a suspended portal, at most limit unless limit is
// zero.
func (s *session) resume(port *portal, limit int) error {
	out := &resultWriter{session: s}
	out.ensurePosition()
	n := len(port.suspended)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range port.suspended[:n] {
		s.backend.Send(row)
	}
	port.suspended = port.suspended[n:]
	if len(port.suspended) > 0 {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", n)})
	return nil
}
