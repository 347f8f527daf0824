// Package locator finds the lines of a TOML document on which its keys stand, for
// messages about their values.
//
// # Paths
//
// A path joins the names of tables and keys by dots, and counts the elements of arrays
// of tables from 0: "groups[0].instances[2].slots".
//
// # Usage
//
//	lines := locator.New(document)
//	fmt.Printf("line %d: callers.listen: is missing", lines.Line("callers.listen"))
package locator

import (
	"fmt"
	"strings"
)

// Lines maps the paths of a document's keys to line numbers, from 1.
type Lines map[string]int

// New finds the lines of headers and keys. The document is known to be valid TOML.
// Keys inside of inline tables and arrays are not found; [Lines.Line] falls back to
// what holds them.
func New(document string) Lines {
	found := make(Lines)
	counts := make(map[string]int)
	table := ""
	closing := ""
	depth := 0
	for number, line := range strings.Split(document, "\n") {
		line = strings.TrimSpace(line)
		if closing != "" {
			if strings.Contains(line, closing) {
				closing = ""
			}
			continue
		}
		if depth > 0 {
			depth += nesting(line)
			continue
		}
		switch {
		case line == "" || line[0] == '#':
		case strings.HasPrefix(line, "[["):
			table = element(counts, header(line, "[[", "]]"))
			found[table] = number + 1
		case line[0] == '[':
			table = resolve(counts, header(line, "[", "]"))
			found[table] = number + 1
		default:
			key, value, _ := strings.Cut(line, "=")
			found[Join(table, unquote(key))] = number + 1
			closing = openString(value)
			if closing == "" {
				depth = nesting(value)
			}
		}
	}
	return found
}

// Line returns the line of the path or of the nearest key that holds it, or zero when
// the document has neither.
func (l Lines) Line(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		cut := max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['))
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 0
}

// header returns the name in the header of a table.
func header(line, left, right string) string {
	inner, _, _ := strings.Cut(strings.TrimPrefix(line, left), right)
	parts := strings.Split(inner, ".")
	for i := range parts {
		parts[i] = unquote(parts[i])
	}
	return strings.Join(parts, ".")
}

// element counts one more element of the array of tables and returns its path.
func element(counts map[string]int, name string) string {
	parent := ""
	if cut := strings.LastIndexByte(name, '.'); cut >= 0 {
		parent = resolve(counts, name[:cut])
		name = name[cut+1:]
	}
	array := Join(parent, name)
	counts[array]++
	return fmt.Sprintf("%s[%d]", array, counts[array]-1)
}

// resolve puts the index of the latest element behind each array in the name.
func resolve(counts map[string]int, name string) string {
	path := ""
	for _, part := range strings.Split(name, ".") {
		path = Join(path, part)
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// Join returns the path of a key in the table parent; the empty parent is the document.
func Join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func unquote(key string) string {
	return strings.Trim(strings.TrimSpace(key), `"'`)
}

// openString returns what closes a string of several lines that the value begins.
func openString(value string) string {
	for _, quote := range []string{`"""`, "'''"} {
		if strings.Count(value, quote) == 1 {
			return quote
		}
	}
	return ""
}

// nesting returns how many brackets the text opens more than it closes, outside of
// strings and comments.
func nesting(text string) int {
	depth := 0
	quote := byte(0)
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case quote != 0:
			if c == '\\' && quote == '"' {
				i++
			} else if c == quote {
				quote = 0
			}
		case c == '"' || c == '\'':
			quote = c
		case c == '#':
			return depth
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
	}
	return depth
}
