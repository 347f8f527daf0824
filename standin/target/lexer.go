package target

import (
	"strings"
)

type tokenKind int

const (
	wordToken tokenKind = iota
	quotedToken
	stringToken
	numberToken
	paramToken
	symbolToken
)

// token is a lexical element of SQL. Its text is in lower case for words and
// unquoted for strings and quoted identifiers.
type token struct {
	kind       tokenKind
	text       string
	start, end int
}

func (t token) is(words ...string) bool {
	if t.kind != wordToken && t.kind != symbolToken {
		return false
	}
	for _, w := range words {
		if t.text == w {
			return true
		}
	}
	return false
}

func (t token) isName() bool { return t.kind == wordToken || t.kind == quotedToken }

// lex splits SQL into tokens and discards comments and white space.
func lex(sql string) []token {
	var tokens []token
	for i := 0; i < len(sql); {
		c := sql[i]
		start := i
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
			i++
			continue
		case strings.HasPrefix(sql[i:], "--"):
			i = lineEnd(sql, i)
			continue
		case strings.HasPrefix(sql[i:], "/*"):
			i = commentEnd(sql, i)
			continue
		case c == '\'':
			i = quoteEnd(sql, i, '\'')
			tokens = append(tokens, token{stringToken, unquote(sql[start:i], '\''), start, i})
		case c == '"':
			i = quoteEnd(sql, i, '"')
			tokens = append(tokens, token{quotedToken, unquote(sql[start:i], '"'), start, i})
		case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
			for i++; i < len(sql) && isDigit(sql[i]); i++ {
			}
			tokens = append(tokens, token{paramToken, sql[start+1 : i], start, i})
		case c == '$' && dollarTag(sql[i:]) != "":
			tag := dollarTag(sql[i:])
			body := sql[i+len(tag):]
			end := strings.Index(body, tag)
			if end < 0 {
				end = len(body)
				i = len(sql)
			} else {
				i += 2*len(tag) + end
			}
			tokens = append(tokens, token{stringToken, body[:end], start, i})
		case isDigit(c) || (c == '.' && i+1 < len(sql) && isDigit(sql[i+1])):
			for i++; i < len(sql) && (isDigit(sql[i]) || sql[i] == '.' || sql[i] == 'e' || sql[i] == 'E'); i++ {
			}
			tokens = append(tokens, token{numberToken, sql[start:i], start, i})
		case isLetter(c):
			for i++; i < len(sql) && (isLetter(sql[i]) || isDigit(sql[i]) || sql[i] == '$'); i++ {
			}
			tokens = append(tokens, token{wordToken, strings.ToLower(sql[start:i]), start, i})
		default:
			i += symbolLength(sql[i:])
			tokens = append(tokens, token{symbolToken, sql[start:i], start, i})
		}
	}
	return tokens
}

func lineEnd(sql string, i int) int {
	end := strings.IndexByte(sql[i:], '\n')
	if end < 0 {
		return len(sql)
	}
	return i + end + 1
}

func commentEnd(sql string, i int) int {
	end := strings.Index(sql[i+2:], "*/")
	if end < 0 {
		return len(sql)
	}
	return i + 2 + end + 2
}

func quoteEnd(sql string, i int, quote byte) int {
	for i++; i < len(sql); i++ {
		if sql[i] != quote {
			continue
		}
		if i+1 < len(sql) && sql[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(sql)
}

func unquote(text string, quote byte) string {
	q := string(quote)
	text = strings.TrimSuffix(strings.TrimPrefix(text, q), q)
	return strings.ReplaceAll(text, q+q, q)
}

// dollarTag returns the opening tag of a dollar-quoted string, or "".
func dollarTag(sql string) string {
	for i := 1; i < len(sql); i++ {
		if sql[i] == '$' {
			return sql[:i+1]
		}
		if !isLetter(sql[i]) && !isDigit(sql[i]) {
			return ""
		}
	}
	return ""
}

func symbolLength(sql string) int {
	for _, s := range []string{"::", "<=", ">=", "<>", "!=", "||", "->>", "->"} {
		if strings.HasPrefix(sql, s) {
			return len(s)
		}
	}
	return 1
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c == '_' || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c >= 0x80
}
