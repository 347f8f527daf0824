// Package classifier determines from the text of a query how it is handled under
// transaction pooling: whether a replica may run it, whether it opens or ends a
// transaction, and whether it concerns only the session and needs no instance.
//
// # Rules
//
// A lexer skips comments, strings and quoted names, and statements are classified
// by their keywords, without a grammar. The classification is conservative: a
// statement that is not recognized is a [Write], which the primary runs. A SELECT
// that calls a function that writes is classified as [Read]; a replica rejects it
// without effect.
//
// # Marks
//
// Marks are options of a request. They are written as key-value pairs in a
// comment of the sqlcommenter form:
//
//	SELECT price FROM stock /*tarragon_max_staleness='5s'*/
//	INSERT INTO charges VALUES (7) /*tarragon_request_key='charge-7'*/
//
// # Usage
//
//	q := classifier.Parse("BEGIN; INSERT INTO t VALUES (1); COMMIT")
//	for _, s := range q.Statements {
//		switch s.Kind {
//		case classifier.Write:
//			...
//		}
//	}
package classifier

import (
	"net/url"
	"strings"
)

// Kind classifies what a statement does.
type Kind int

// The kinds of statements.
const (
	// Write may change data, or is not recognized.
	Write Kind = iota
	// Read changes nothing unless it calls a function that does.
	Read
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a read-only transaction.
	BeginRead
	// Commit ends a transaction.
	Commit
	// Rollback ends a transaction and discards its changes.
	Rollback
	// Set changes a setting of the session.
	Set
	// Reset sets a setting back to its default; without a name, all settings.
	Reset
	// Show returns the value of a setting.
	Show
	// Discard is DISCARD ALL.
	Discard
	// Deallocate drops a prepared statement; without a name, all of them.
	Deallocate
	// Copy is COPY.
	Copy
	// NotCarried is not supported, because it needs a dedicated connection.
	NotCarried
)

// Statement is one statement of a query.
type Statement struct {
	Kind Kind
	// Name is the setting of Set, Reset and Show in lower case, or the prepared
	// statement of Deallocate.
	Name string
	// Value is the new value of Set, without quotes.
	Value string
	// Local is true for SET LOCAL, which lasts until the end of the transaction.
	Local bool
	// ToDefault is true if the value of Set is the keyword DEFAULT.
	ToDefault bool
	// Start and End are byte offsets in the query: of the first byte of the
	// statement and of the byte after its last one.
	Start, End int
	// NameStart is the byte offset in the query of the name of a Set or Reset.
	NameStart int
}

// Query is a parsed query of zero or more statements.
type Query struct {
	Statements []Statement
	// Marks are the marks in all comments, by their names, which begin with
	// [MarkPrefix].
	Marks map[string]string
}

// MarkPrefix is the prefix of the name of each mark.
const MarkPrefix = "tarragon_"

// Parse splits a query into its statements and classifies them.
func Parse(query string) Query {
	lexer := lexer{text: query}
	var parsed Query
	var words []token
	for {
		t := lexer.next()
		if t.kind == end || t.kind == semicolon {
			if len(words) > 0 {
				s := classify(words)
				last := words[len(words)-1]
				s.End = last.offset + len(last.text)
				parsed.Statements = append(parsed.Statements, s)
			}
			words = words[:0]
		} else {
			words = append(words, t)
		}
		if t.kind == end {
			break
		}
	}
	parsed.Marks = lexer.marks
	return parsed
}

func classify(words []token) Statement {
	s := Statement{Kind: Write, Start: words[0].offset}
	switch words[0].word {
	case "select", "values", "table":
		s.Kind = classifyRead(words)
	case "with":
		s.Kind = classifyRead(words)
	case "explain":
		s.Kind = classifyExplain(words)
	case "begin", "start":
		s.Kind = classifyBegin(words)
	case "commit", "end":
		s.Kind = Commit
		if secondWord(words) == "prepared" {
			s.Kind = NotCarried
		}
	case "rollback", "abort":
		s.Kind = classifyRollback(words)
	case "set":
		return classifySet(words)
	case "reset":
		return classifyReset(words)
	case "show":
		s.Kind = Show
		s.Name = settingName(words[1:])
	case "discard":
		s.Kind = NotCarried
		if secondWord(words) == "all" {
			s.Kind = Discard
		}
	case "deallocate":
		return classifyDeallocate(words)
	case "copy":
		s.Kind = Copy
	case "prepare", "execute", "listen", "unlisten", "load", "declare":
		s.Kind = NotCarried
		if words[0].word == "declare" && !containsWord(words, "hold") {
			s.Kind = Read
		}
	case "fetch", "move", "close":
		s.Kind = Read
	case "create":
		if word := secondWord(words); word == "temp" || word == "temporary" {
			s.Kind = NotCarried
		}
		if third := wordAt(words, 2); third == "temp" || third == "temporary" {
			s.Kind = NotCarried
		}
	}
	return s
}

// classifyRead returns Read unless the statement has a keyword or function that
// writes, takes locks or needs a dedicated connection.
func classifyRead(words []token) Kind {
	for i, t := range words {
		switch t.word {
		case "insert", "update", "delete", "merge", "into", "nextval", "setval":
			return Write
		case "for":
			if next := wordAt(words, i+1); next == "share" || next == "no" || next == "key" {
				return Write
			}
		case "pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock", "pg_try_advisory_lock_shared",
			"pg_advisory_unlock", "pg_advisory_unlock_shared", "pg_advisory_unlock_all":
			return NotCarried
		case "pg_notify", "pg_advisory_xact_lock", "pg_try_advisory_xact_lock", "txid_current", "set_config":
			return Write
		case "temp", "temporary":
			if i > 0 && words[i-1].word == "into" {
				return NotCarried
			}
		}
	}
	return Read
}

func classifyExplain(words []token) Kind {
	if containsWord(words, "analyze") || containsWord(words, "analyse") {
		return classifyRead(words)
	}
	return Read
}

func classifyBegin(words []token) Kind {
	if words[0].word == "start" && secondWord(words) != "transaction" {
		return Write
	}
	if containsWord(words, "serializable") {
		return Begin
	}
	for i, t := range words {
		if t.word == "read" && wordAt(words, i+1) == "only" {
			return BeginRead
		}
	}
	return Begin
}

func classifyRollback(words []token) Kind {
	switch {
	case secondWord(words) == "prepared":
		return NotCarried
	case containsWord(words, "to"):
		return Read
	}
	return Rollback
}

func classifySet(words []token) Statement {
	s := Statement{Kind: Set, Start: words[0].offset}
	rest := words[1:]
	switch wordAt(rest, 0) {
	case "transaction", "constraints":
		s.Kind = Read
		return s
	case "local":
		s.Local = true
		rest = rest[1:]
	case "session":
		rest = rest[1:]
	}
	switch wordAt(rest, 0) {
	case "characteristics", "authorization", "role":
		s.Kind = NotCarried
		return s
	}
	if len(rest) == 0 {
		s.Kind = Write
		return s
	}
	s.NameStart = rest[0].offset
	if wordAt(rest, 0) == "time" && wordAt(rest, 1) == "zone" {
		s.Name, rest = "timezone", rest[2:]
	} else {
		s.Name, rest = cutName(rest)
	}
	if len(rest) > 0 && (rest[0].text == "=" || rest[0].word == "to") {
		rest = rest[1:]
	}
	s.ToDefault = len(rest) == 1 && rest[0].word == "default"
	s.Value = joinValue(rest)
	return s
}

func classifyReset(words []token) Statement {
	s := Statement{Kind: Reset, Start: words[0].offset}
	rest := words[1:]
	if len(rest) == 0 {
		s.Kind = Write
		return s
	}
	s.NameStart = rest[0].offset
	s.Name = settingName(rest)
	switch s.Name {
	case "all":
		s.Name = ""
	case "role", "session":
		s.Kind = NotCarried
	}
	return s
}

func classifyDeallocate(words []token) Statement {
	s := Statement{Kind: Deallocate, Start: words[0].offset}
	rest := words[1:]
	if wordAt(rest, 0) == "prepare" {
		rest = rest[1:]
	}
	if len(rest) == 1 && rest[0].word != "all" {
		s.Name = rest[0].unquoted()
	}
	return s
}

func settingName(words []token) string {
	if wordAt(words, 0) == "time" && wordAt(words, 1) == "zone" {
		return "timezone"
	}
	name, _ := cutName(words)
	return name
}

// cutName returns the name at the start of words, whose parts are joined by dots,
// in lower case, and the words after it.
func cutName(words []token) (string, []token) {
	var name strings.Builder
	for i := 0; i < len(words); i++ {
		if words[i].text == "." {
			name.WriteByte('.')
			continue
		}
		if i > 0 && words[i-1].text != "." {
			return name.String(), words[i:]
		}
		name.WriteString(strings.ToLower(words[i].unquoted()))
	}
	return name.String(), nil
}

func joinValue(words []token) string {
	var value strings.Builder
	for i, t := range words {
		if i > 0 && t.text != "," && words[i-1].offset+len(words[i-1].text) < t.offset {
			value.WriteByte(' ')
		}
		value.WriteString(t.unquoted())
	}
	return value.String()
}

func secondWord(words []token) string {
	return wordAt(words, 1)
}

func wordAt(words []token, i int) string {
	if i < len(words) {
		return words[i].word
	}
	return ""
}

func containsWord(words []token, word string) bool {
	for _, t := range words {
		if t.word == word {
			return true
		}
	}
	return false
}

// readMarks adds the marks in the text of a comment to marks, and returns them.
func readMarks(marks map[string]string, comment string) map[string]string {
	if !strings.Contains(comment, MarkPrefix) {
		return marks
	}
	for _, pair := range strings.Split(comment, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		value, quoted := strings.CutPrefix(value, "'")
		if !ok || !quoted || !strings.HasPrefix(name, MarkPrefix) {
			continue
		}
		value = strings.TrimSuffix(value, "'")
		if decoded, err := url.PathUnescape(value); err == nil {
			value = decoded
		}
		if marks == nil {
			marks = make(map[string]string)
		}
		marks[name] = value
	}
	return marks
}
