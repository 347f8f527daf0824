package classifier

import "strings"

type tokenKind int

const (
	end tokenKind = iota
	semicolon
	word
	quoted
	symbol
)

type token struct {
	kind   tokenKind
	text   string
	offset int
	// word is the text in lower case if kind is word, and empty otherwise.
	word string
}

// unquoted returns the text without the quotes that enclose a string or name.
func (t token) unquoted() string {
	if t.kind != quoted || len(t.text) < 2 {
		return t.text
	}
	quote := t.text[:1]
	return strings.ReplaceAll(t.text[1:len(t.text)-1], quote+quote, quote)
}

// lexer splits the text of a query into tokens and collects the marks of its
// comments.
type lexer struct {
	text   string
	offset int
	marks  map[string]string
}

func (l *lexer) next() token {
	l.skip()
	start := l.offset
	if start >= len(l.text) {
		return token{kind: end, offset: start}
	}
	switch c := l.text[start]; {
	case c == ';':
		l.offset++
		return token{kind: semicolon, offset: start}
	case c == '\'':
		l.quoted('\'', false)
		return l.token(quoted, start)
	case c == '"':
		l.quoted('"', false)
		return l.token(quoted, start)
	case c == '$' && l.dollar():
		return l.token(quoted, start)
	case isWordByte(c):
		return l.word(start)
	}
	l.offset++
	return l.token(symbol, start)
}

func (l *lexer) word(start int) token {
	for l.offset < len(l.text) && (isWordByte(l.text[l.offset]) || l.text[l.offset] == '$') {
		l.offset++
	}
	if l.offset-start == 1 && l.offset < len(l.text) && l.text[l.offset] == '\'' && (l.text[start] == 'e' || l.text[start] == 'E') {
		l.quoted('\'', true)
		return l.token(quoted, start)
	}
	t := l.token(word, start)
	t.word = strings.ToLower(t.text)
	return t
}

func (l *lexer) token(kind tokenKind, start int) token {
	return token{kind: kind, text: l.text[start:l.offset], offset: start}
}

// skip advances past white space and comments.
func (l *lexer) skip() {
	for l.offset < len(l.text) {
		rest := l.text[l.offset:]
		switch {
		case strings.ContainsRune(" \t\r\n\f\v", rune(rest[0])):
			l.offset++
		case strings.HasPrefix(rest, "--"):
			newline := strings.IndexByte(rest, '\n')
			if newline < 0 {
				newline = len(rest)
			}
			l.offset += newline
		case strings.HasPrefix(rest, "/*"):
			l.comment()
		default:
			return
		}
	}
}

// comment advances past a comment, which may contain nested comments.
func (l *lexer) comment() {
	start, depth := l.offset, 0
	for l.offset < len(l.text) {
		switch rest := l.text[l.offset:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.offset += 2
		default:
			l.offset++
		}
		if depth == 0 {
			l.marks = readMarks(l.marks, l.text[start+2:l.offset-2])
			return
		}
	}
}

// quoted advances past a quoted text, in which a doubled quote denotes one quote.
// If escapes is true, a backslash escapes the next byte.
func (l *lexer) quoted(quote byte, escapes bool) {
	l.offset++
	for l.offset < len(l.text) {
		c := l.text[l.offset]
		l.offset++
		if escapes && c == '\\' && l.offset < len(l.text) {
			l.offset++
			continue
		}
		if c != quote {
			continue
		}
		if l.offset >= len(l.text) || l.text[l.offset] != quote {
			return
		}
		l.offset++
	}
}

// dollar advances past a dollar-quoted text. It returns false if there is none.
func (l *lexer) dollar() bool {
	closing := strings.IndexByte(l.text[l.offset+1:], '$')
	if closing < 0 {
		return false
	}
	tag := l.text[l.offset : l.offset+closing+2]
	for i := 1; i < len(tag)-1; i++ {
		if !isWordByte(tag[i]) || (i == 1 && tag[i] >= '0' && tag[i] <= '9') {
			return false
		}
	}
	body := l.offset + len(tag)
	length := strings.Index(l.text[body:], tag)
	if length < 0 {
		l.offset = len(l.text)
		return true
	}
	l.offset = body + length + len(tag)
	return true
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}
