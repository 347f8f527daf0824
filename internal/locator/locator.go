// Package locator maps the keys of a TOML document to line numbers, for error
// messages about their values.
//
// # Paths
//
// A path joins the names of tables and keys with dots. The elements of arrays of tables
// are numbered from 0: "groups[0].instances[2].slots".
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

// Lines maps the paths of a document's keys to line numbers, which start at 1.
type Lines map[string]int

// New returns the line numbers of the table headers and keys of document, which must
// be valid TOML. Keys inside inline tables and arrays are not included; for them,
// [Lines.Line] falls back to the enclosing key.
func New(document string) Lines {
	found := make(Lines)
	counts := make(map[string]int)
	table := ""
	delimiter := ""
	depth := 0
	for number, line := range strings.Split(document, "\n") {
		line = strings.TrimSpace(line)
		if delimiter != "" {
			if strings.Contains(line, delimiter) {
				delimiter = ""
			}
			continue
		}
		if depth > 0 {
			depth += bracketDepth(line)
			continue
		}
		switch {
		case line == "" || line[0] == '#':
		case strings.HasPrefix(line, "[["):
			table = nextElement(counts, tableName(line, "[[", "]]"))
			found[table] = number + 1
		case line[0] == '[':
			table = resolveArrays(counts, tableName(line, "[", "]"))
			found[table] = number + 1
		default:
			key, value, _ := strings.Cut(line, "=")
			found[Join(table, unquote(key))] = number + 1
			delimiter = openDelimiter(value)
			if delimiter == "" {
				depth = bracketDepth(value)
			}
		}
	}
	return found
}

// Line returns the line number of path or else of its nearest enclosing key or table,
// or zero if the document has none of them.
func (l Lines) Line(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		separator := max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['))
		if separator < 0 {
			break
		}
		path = path[:separator]
	}
	return 0
}

// tableName returns the table name in a header line, with unquoted parts.
func tableName(line, left, right string) string {
	inner, _, _ := strings.Cut(strings.TrimPrefix(line, left), right)
	parts := strings.Split(inner, ".")
	for i := range parts {
		parts[i] = unquote(parts[i])
	}
	return strings.Join(parts, ".")
}

// nextElement adds an element to the count of the array of tables and returns its path.
func nextElement(counts map[string]int, name string) string {
	parent := ""
	if separator := strings.LastIndexByte(name, '.'); separator >= 0 {
		parent = resolveArrays(counts, name[:separator])
		name = name[separator+1:]
	}
	array := Join(parent, name)
	counts[array]++
	return fmt.Sprintf("%s[%d]", array, counts[array]-1)
}

// resolveArrays returns name with the index of the latest element after each array of tables.
func resolveArrays(counts map[string]int, name string) string {
	path := ""
	for _, part := range strings.Split(name, ".") {
		path = Join(path, part)
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// Join returns the path of the key name in the table parent. An empty parent stands for
// the root of the document.
func Join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func unquote(key string) string {
	return strings.Trim(strings.TrimSpace(key), `"'`)
}

// openDelimiter returns the closing delimiter of a multi-line string that value begins but
// does not end, or an empty string.
func openDelimiter(value string) string {
	for _, quote := range []string{`"""`, "'''"} {
		if strings.Count(value, quote) == 1 {
			return quote
		}
	}
	return ""
}

// bracketDepth returns the number of opening brackets in text minus the number of closing
// ones, without those in strings and comments.
func bracketDepth(text string) int {
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
