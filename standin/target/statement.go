package target

import (
	"strconv"
	"strings"
	"time"
)

// kind classifies statements by how a session executes them.
type kind int

const (
	emptyKind kind = iota
	readKind
	writeKind
	lockKind // SELECT ... FOR UPDATE: acquires the write lock but writes nothing.
	sleepKind
	functionKind
	beginKind
	commitKind
	rollbackKind
	savepointKind
	releaseKind
	rollbackToKind
	setKind
	resetKind
	showKind
	discardKind
	activityKind
	deallocateKind
	listenKind
	unlistenKind
)

// parsed is one statement of a query, split into tokens and classified.
type parsed struct {
	kind      kind
	tag       string // The command tag without a count.
	source    string
	tokens    []token
	params    int
	returning int // The index of the token after RETURNING, or zero.
	volatile  bool
}

// split parses the statements of a query.
func split(sql string) []parsed {
	var list []parsed
	var part []token
	for _, t := range lex(sql) {
		if t.is(";") {
			if len(part) > 0 {
				list = append(list, parse(sql, part))
			}
			part = nil
			continue
		}
		part = append(part, t)
	}
	if len(part) > 0 {
		list = append(list, parse(sql, part))
	}
	return list
}

func parse(sql string, tokens []token) parsed {
	base := tokens[0].start
	p := parsed{source: sql[base:tokens[len(tokens)-1].end]}
	for _, t := range tokens {
		t.start, t.end = t.start-base, t.end-base
		p.tokens = append(p.tokens, t)
	}
	depth := 0
	for i, t := range p.tokens {
		switch {
		case t.kind == paramToken:
			n, _ := strconv.Atoi(t.text)
			p.params = max(p.params, n)
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case t.is("returning") && depth == 0:
			p.returning = i + 1
		case t.is("now", "current_timestamp", "random", "clock_timestamp", "transaction_timestamp"):
			p.volatile = true
		}
	}
	p.classify()
	return p
}

func (p *parsed) at(i int) token {
	if i >= len(p.tokens) {
		return token{kind: symbolToken}
	}
	return p.tokens[i]
}

func (p *parsed) classify() {
	first, second := p.at(0), p.at(1)
	p.tag = strings.ToUpper(first.text)
	switch {
	case first.is("select", "values", "table", "("):
		p.classifySelect()
	case first.is("with"):
		p.classifyWith()
	case first.is("explain"):
		p.kind = readKind
	case first.is("show"):
		p.kind = showKind
	case first.is("begin"):
		p.kind = beginKind
	case first.is("start") && second.is("transaction"):
		p.kind, p.tag = beginKind, "START TRANSACTION"
	case first.is("commit", "end"):
		p.kind, p.tag = commitKind, "COMMIT"
	case first.is("rollback", "abort"):
		p.kind, p.tag = rollbackKind, "ROLLBACK"
		if p.has("to") {
			p.kind = rollbackToKind
		}
	case first.is("savepoint"):
		p.kind = savepointKind
	case first.is("release"):
		p.kind = releaseKind
	case first.is("set"):
		p.kind = setKind
	case first.is("reset"):
		p.kind = resetKind
	case first.is("discard"):
		p.kind, p.tag = discardKind, "DISCARD ALL"
	case first.is("deallocate"):
		p.kind = deallocateKind
	case first.is("listen"):
		p.kind = listenKind
	case first.is("unlisten"):
		p.kind = unlistenKind
	case first.is("insert", "replace"):
		p.kind, p.tag = writeKind, "INSERT 0"
	case first.is("create", "drop", "alter"):
		p.kind = writeKind
		p.tag += " " + strings.ToUpper(p.objectType())
	default:
		p.kind = writeKind // UPDATE, DELETE, and statements that SQLite rejects.
	}
}

func (p *parsed) has(word string) bool {
	for _, t := range p.tokens {
		if t.is(word) {
			return true
		}
	}
	return false
}

func (p *parsed) objectType() string {
	for _, t := range p.tokens[1:] {
		if t.is("table", "index", "view", "trigger") {
			return t.text
		}
	}
	return p.at(1).text
}

func (p *parsed) classifySelect() {
	p.kind, p.tag = readKind, "SELECT"
	if n := len(p.tokens); n > 2 && p.at(n-2).is("for") && p.at(n-1).is("update", "share") {
		p.kind = lockKind
	}
	if p.has("pg_stat_activity") {
		p.kind = activityKind
		return
	}
	name, open := p.at(1), p.at(2)
	if !open.is("(") || name.kind != wordToken {
		return
	}
	switch {
	case name.text == "pg_sleep":
		p.kind = sleepKind
	case strings.HasPrefix(name.text, "tarragon_") || name.text == "pg_terminate_backend":
		p.kind = functionKind
	}
}

func (p *parsed) classifyWith() {
	p.kind, p.tag = readKind, "SELECT"
	depth := 0
	for _, t := range p.tokens {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case depth == 0 && t.is("insert", "update", "delete", "replace"):
			p.kind, p.tag = writeKind, strings.ToUpper(t.text)
			if t.text == "insert" || t.text == "replace" {
				p.tag = "INSERT 0"
			}
			return
		}
	}
}

// literals returns the string and number literals among the arguments of the
// function call that the statement consists of.
func (p *parsed) literals() []string {
	var list []string
	for i := 3; i < len(p.tokens); i++ {
		t := p.tokens[i]
		if t.is(")") {
			break
		}
		if t.kind == stringToken || t.kind == numberToken {
			list = append(list, t.text)
		}
	}
	return list
}

// sqlite returns the statement in SQLite's dialect. Calls of time functions and of
// random() are replaced by now and random, so that a replay on a replica gives the same
// result.
func (p *parsed) sqlite(now time.Time, random int64) string {
	var b strings.Builder
	copied := 0
	replace := func(from, to int, text string) {
		b.WriteString(p.source[copied:from])
		b.WriteString(text)
		copied = to
	}
	creates := p.at(0).is("create", "alter")
	for i := 0; i < len(p.tokens); i++ {
		t := p.tokens[i]
		switch {
		case t.is("::"):
			end := p.typeEnd(i + 1)
			replace(t.start, p.tokens[end].end, "")
			i = end
		case t.kind == stringToken && p.source[t.start] == '$':
			replace(t.start, t.end, "'"+strings.ReplaceAll(t.text, "'", "''")+"'")
		case t.is("serial", "bigserial", "smallserial") && creates:
			replace(t.start, t.end, "INTEGER")
		case t.is("ilike"):
			replace(t.start, t.end, "LIKE")
		case t.is("public") && p.at(i+1).is("."):
			replace(t.start, p.tokens[i+1].end, "")
		case t.is("for") && p.kind == lockKind && i == len(p.tokens)-2:
			replace(t.start, p.tokens[i+1].end, "")
			i++
		case p.isTimeCall(i) && creates:
			end := p.callEnd(i)
			replace(t.start, p.tokens[end].end, "CURRENT_TIMESTAMP")
			i = end
		case p.isTimeCall(i):
			end := p.callEnd(i)
			replace(t.start, p.tokens[end].end, "'"+now.UTC().Format(timeFormat)+"'")
			i = end
		case t.is("random") && p.at(i+1).is("(") && p.at(i+2).is(")") && !creates:
			replace(t.start, p.tokens[i+2].end, strconv.FormatInt(random, 10))
			i += 2
		case t.is("version") && p.at(i+1).is("(") && p.at(i+2).is(")"):
			replace(t.start, p.tokens[i+2].end, "'PostgreSQL "+serverVersion+" (stand-in)'")
			i += 2
		}
	}
	b.WriteString(p.source[copied:])
	return b.String()
}

func (p *parsed) isTimeCall(i int) bool {
	t := p.at(i)
	if t.is("current_timestamp") {
		return true
	}
	return t.is("now", "clock_timestamp", "transaction_timestamp") && p.at(i+1).is("(") && p.at(i+2).is(")")
}

func (p *parsed) callEnd(i int) int {
	if p.at(i + 1).is("(") {
		return i + 2
	}
	return i
}

// typeEnd returns the index of the last token of the type name that begins at token i.
func (p *parsed) typeEnd(i int) int {
	if i >= len(p.tokens) {
		return len(p.tokens) - 1
	}
	end := i
	if p.at(i).is("double") && p.at(i+1).is("precision") {
		end++
	}
	if p.at(end + 1).is("(") {
		for end < len(p.tokens)-1 && !p.at(end).is(")") {
			end++
		}
	}
	for p.at(end+1).is("[") && p.at(end+2).is("]") {
		end += 2
	}
	return end
}
