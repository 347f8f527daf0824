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
	// word is the text in lower case if kind is word.
	word string
}

// unquoted returns the text without the quotes of a string or name.
func (t token) unquoted() string {
	if t.kind != quoted || len(t.text) < 2 {
		return t.text
	}
	quote := t.text[:1]
	return strings.ReplaceAll(t.text[1:len(t.text)-1], quote+quote, quote)
}

type lexer struct {
	text  string
	at    int
	marks map[string]string
}

func (l *lexer) next() token {
	l.skip()
	start := l.at
	if start >= len(l.text) {
		return token{kind: end, offset: start}
	}
	switch c := l.text[start]; {
	case c == ';':
		l.at++
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
	l.at++
	return l.token(symbol, start)
}

func (l *lexer) word(start int) token {
	for l.at < len(l.text) && (isWordByte(l.text[l.at]) || l.text[l.at] == '$') {
		l.at++
	}
	if l.at-start == 1 && l.at < len(l.text) && l.text[l.at] == '\'' && (l.text[start] == 'e' || l.text[start] == 'E') {
		l.quoted('\'', true)
		return l.token(quoted, start)
	}
	t := l.token(word, start)
	t.word = strings.ToLower(t.text)
	return t
}

func (l *lexer) token(kind tokenKind, start int) token {
	return token{kind: kind, text: l.text[start:l.at], offset: start}
}

// skip passes white space and comments.
func (l *lexer) skip() {
	for l.at < len(l.text) {
		rest := l.text[l.at:]
		switch {
		case strings.ContainsRune(" \t\r\n\f\v", rune(rest[0])):
			l.at++
		case strings.HasPrefix(rest, "--"):
			newline := strings.IndexByte(rest, '\n')
			if newline < 0 {
				newline = len(rest)
			}
			l.at += newline
		case strings.HasPrefix(rest, "/*"):
			l.comment()
		default:
			return
		}
	}
}

// comment passes a comment, which may hold others.
func (l *lexer) comment() {
	start, depth := l.at, 0
	for l.at < len(l.text) {
		switch rest := l.text[l.at:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
		default:
			l.at++
		}
		if depth == 0 {
			l.marks = readMarks(l.marks, l.text[start+2:l.at-2])
			return
		}
	}
}

// quoted passes a quoted text, in which a doubled quote stands for one.
func (l *lexer) quoted(quote byte, escapes bool) {
	l.at++
	for l.at < len(l.text) {
		c := l.text[l.at]
		l.at++
		if escapes && c == '\\' && l.at < len(l.text) {
			l.at++
			continue
		}
		if c != quote {
			continue
		}
		if l.at >= len(l.text) || l.text[l.at] != quote {
			return
		}
		l.at++
	}
}

// dollar passes a dollar-quoted text, and reports whether there is one.
func (l *lexer) dollar() bool {
	closing := strings.IndexByte(l.text[l.at+1:], '$')
	if closing < 0 {
		return false
	}
	tag := l.text[l.at : l.at+closing+2]
	for i := 1; i < len(tag)-1; i++ {
		if !isWordByte(tag[i]) || (i == 1 && tag[i] >= '0' && tag[i] <= '9') {
			return false
		}
	}
	body := l.at + len(tag)
	length := strings.Index(l.text[body:], tag)
	if length < 0 {
		l.at = len(l.text)
		return true
	}
	l.at = body + length + len(tag)
	return true
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}
