package target

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

const timeFormat = "2006-01-02 15:04:05.999999-07:00"

// oidOf returns the type OID for a type name in a column declaration or a cast.
func oidOf(declared string) uint32 {
	name, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(declared)), "(")
	switch strings.TrimSpace(name) {
	case "int", "int8", "integer", "bigint", "serial", "bigserial", "int4", "int2", "smallint", "smallserial":
		return pgtype.Int8OID
	case "bool", "boolean":
		return pgtype.BoolOID
	case "real", "float8", "float4", "float", "double precision", "double":
		return pgtype.Float8OID
	case "bytea", "blob":
		return pgtype.ByteaOID
	case "timestamptz", "timestamp with time zone":
		return pgtype.TimestamptzOID
	case "timestamp", "datetime", "timestamp without time zone":
		return pgtype.TimestampOID
	case "date":
		return pgtype.DateOID
	case "numeric", "decimal":
		return pgtype.NumericOID
	case "json":
		return pgtype.JSONOID
	case "jsonb":
		return pgtype.JSONBOID
	default:
		return pgtype.TextOID
	}
}

// scope resolves column names in the tables of the database.
type scope struct {
	tables map[string][]column
}

// lookup returns the declared type of the first column with the name in the tables
// that the statement names, in the order in which it names them.
func (s scope) lookup(p *parsed, name string) (uint32, bool) {
	name = strings.ToLower(name)
	for _, t := range p.tokens {
		if !t.isName() {
			continue
		}
		for _, c := range s.tables[strings.ToLower(t.text)] {
			if strings.ToLower(c.name) == name {
				return oidOf(c.declared), true
			}
		}
	}
	return 0, false
}

// paramTypes returns the types of the parameters. Types that the caller has given take
// precedence over inferred ones; the default is text.
func (s scope) paramTypes(p *parsed, given []uint32) []uint32 {
	types := make([]uint32, max(p.params, len(given)))
	copy(types, given)
	inserted := s.insertedTypes(p)
	for i, t := range p.tokens {
		if t.kind != paramToken {
			continue
		}
		n, _ := strconv.Atoi(t.text)
		if n == 0 || types[n-1] != 0 {
			continue
		}
		if oid, ok := inserted[i]; ok {
			types[n-1] = oid
			continue
		}
		types[n-1] = s.paramType(p, i)
	}
	for i := range types {
		if types[i] == 0 {
			types[i] = pgtype.TextOID
		}
	}
	return types
}

// paramType infers the type of the parameter at token i from the adjacent tokens.
// It returns zero if the type is unknown.
func (s scope) paramType(p *parsed, i int) uint32 {
	if p.at(i + 1).is("::") {
		return oidOf(p.source[p.tokens[i+2].start:p.tokens[p.typeEnd(i+2)].end])
	}
	if i > 0 && p.at(i-1).is("limit", "offset") {
		return pgtype.Int8OID
	}
	if p.at(i+1).is("=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "/") && p.at(i+2).isName() {
		if oid, ok := s.lookup(p, p.name(i+2)); ok {
			return oid
		}
	}
	for j := i - 1; j > 0 && i-j < 64; j-- {
		t := p.at(j)
		if t.is("like", "ilike", "||") {
			return pgtype.TextOID
		}
		if t.isName() && !t.is("in", "between", "and", "not", "set", "where", "or", "any") {
			oid, _ := s.lookup(p, t.text)
			return oid
		}
		if t.is(")") {
			return 0
		}
	}
	return 0
}

// name returns the name at token i, or the last part of a qualified name.
func (p *parsed) name(i int) string {
	for p.at(i+1).is(".") && p.at(i+2).isName() {
		i += 2
	}
	return p.at(i).text
}

// insertedTypes returns, by token index, the types of the columns that the parameters
// of an INSERT are assigned to.
func (s scope) insertedTypes(p *parsed) map[int]uint32 {
	types := map[int]uint32{}
	i := 0
	for i < len(p.tokens) && !p.at(i).is("into") {
		i++
	}
	if i >= len(p.tokens) || !strings.HasPrefix(p.tag, "INSERT") {
		return types
	}
	i++
	for p.at(i + 1).is(".") {
		i += 2
	}
	var columns []uint32
	table := s.tables[strings.ToLower(p.at(i).text)]
	i++
	if p.at(i).is("(") {
		for i++; i < len(p.tokens) && !p.at(i).is(")"); i++ {
			if p.at(i).isName() {
				columns = append(columns, columnType(table, p.at(i).text))
			}
		}
	} else {
		for _, c := range table {
			columns = append(columns, oidOf(c.declared))
		}
	}
	for i < len(p.tokens) && !p.at(i).is("values", "select") {
		i++
	}
	depth, at, base := 0, 0, 1
	if p.at(i).is("select") {
		base = 0
	}
	for i++; i < len(p.tokens); i++ {
		t := p.at(i)
		switch {
		case t.is("("):
			depth++
			if depth == 1 && base == 1 {
				at = 0
			}
		case t.is(")"):
			depth--
		case t.is(",") && depth == base:
			at++
		case depth == 0 && t.is("on", "returning", "where", "from"):
			return types
		case t.kind == paramToken && depth == base && at < len(columns) && !p.at(i+1).is("::"):
			types[i] = columns[at]
		}
	}
	return types
}

func columnType(table []column, name string) uint32 {
	for _, c := range table {
		if strings.EqualFold(c.name, name) {
			return oidOf(c.declared)
		}
	}
	return 0
}

// field is a result column.
type field struct {
	name string
	oid  uint32
}

// items splits the tokens from index from on at commas outside of parentheses, up to
// the first of the words in until or to the end. It returns the token ranges of the
// items.
func (p *parsed) items(from int, until ...string) [][2]int {
	var list [][2]int
	depth, start := 0, from
	i := from
	for ; i < len(p.tokens); i++ {
		t := p.at(i)
		if depth == 0 && t.is(until...) {
			break
		}
		switch {
		case t.is("(", "case"):
			depth++
		case t.is(")", "end"):
			depth--
		case t.is(",") && depth == 0:
			list = append(list, [2]int{start, i})
			start = i + 1
		}
	}
	return append(list, [2]int{start, i})
}

// expressionType infers the type of the expression in tokens [from, to). It returns
// zero if the type is unknown.
func (s scope) expressionType(p *parsed, from, to int, params []uint32) uint32 {
	if from >= to {
		return 0
	}
	t := p.at(from)
	if from+1 < to && p.at(to-2).is("::") {
		return oidOf(p.at(to - 1).text)
	}
	for i, depth := from, 0; i < to; i++ {
		switch {
		case p.at(i).is("("):
			depth++
		case p.at(i).is(")"):
			depth--
		case depth == 0 && p.at(i).is("=", "<", ">", "<=", ">=", "<>", "!=", "like", "is", "in", "and", "or"):
			return pgtype.BoolOID
		case depth == 0 && p.at(i).is("||", "->>"):
			return pgtype.TextOID
		}
	}
	switch {
	case p.isTimeCall(from):
		return pgtype.TimestamptzOID
	case t.is("count", "length", "changes", "pg_backend_pid", "random") && p.at(from+1).is("("):
		return pgtype.Int8OID
	case t.is("avg", "round") && p.at(from+1).is("("):
		return pgtype.Float8OID
	case t.is("exists", "not", "true", "false"):
		return pgtype.BoolOID
	case t.is("sum", "min", "max", "coalesce", "abs", "total", "nullif") && p.at(from+1).is("("):
		return s.expressionType(p, from+2, p.argumentEnd(from+2, to), params)
	case t.is("("):
		if p.at(from + 1).is("select") {
			return s.expressionType(p, from+2, p.argumentEnd(from+2, to), params)
		}
		return s.expressionType(p, from+1, to-1, params)
	case t.is("-", "distinct"):
		return s.expressionType(p, from+1, to, params)
	case t.kind == numberToken && strings.ContainsAny(t.text, ".eE"):
		return pgtype.Float8OID
	case t.kind == numberToken:
		return pgtype.Int4OID
	case t.kind == paramToken:
		if n, _ := strconv.Atoi(t.text); n > 0 && n <= len(params) {
			return params[n-1]
		}
	case t.isName() && !p.at(from+1).is("("):
		oid, _ := s.lookup(p, p.name(from))
		return oid
	}
	return 0
}

func (p *parsed) argumentEnd(from, to int) int {
	depth := 0
	for i := from; i < to; i++ {
		switch {
		case p.at(i).is("("):
			depth++
		case p.at(i).is(")") && depth == 0, p.at(i).is(",", "from") && depth == 0:
			return i
		case p.at(i).is(")"):
			depth--
		}
	}
	return to
}

// returningFields returns the result columns of a write with RETURNING.
func (s scope) returningFields(p *parsed, params []uint32) []field {
	var fields []field
	for _, item := range p.items(p.returning) {
		from, to := item[0], item[1]
		if p.at(from).is("*") {
			for _, c := range s.writtenTable(p) {
				fields = append(fields, field{c.name, oidOf(c.declared)})
			}
			continue
		}
		name := p.name(from)
		if to-from > 1 && p.at(to-1).isName() {
			name = p.at(to - 1).text
		}
		oid := s.expressionType(p, from, to, params)
		fields = append(fields, field{name, textIfUnknown(oid)})
	}
	return fields
}

func (s scope) writtenTable(p *parsed) []column {
	for _, t := range p.tokens[1:] {
		if table, ok := s.tables[strings.ToLower(t.text)]; ok && t.isName() {
			return table
		}
	}
	return nil
}

func textIfUnknown(oid uint32) uint32 {
	if oid == 0 {
		return pgtype.TextOID
	}
	return oid
}

func describe(fields []field, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, f := range fields {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(f.name), DataTypeOID: f.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	return d
}

func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgtype.TextFormatCode
	}
}
