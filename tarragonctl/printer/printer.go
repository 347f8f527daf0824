// Package printer writes the results of commands as aligned tables or as JSON.
//
// # Usage
//
//	p := printer.New(os.Stdout, printer.Table)
//	p.Print(rows, printer.Columns("ID", "DOMAIN"), func(row printer.Row) {
//		row("lautoka-shed-1", "lautoka-shed")
//	})
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Format is an output format.
type Format string

// Output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// columnPadding is the number of spaces between columns.
const columnPadding = 2

// Printer writes results in one output format. It is not safe for concurrent use.
type Printer struct {
	writer io.Writer
	format Format
}

// New returns a Printer that writes to w.
func New(w io.Writer, format Format) *Printer {
	return &Printer{writer: w, format: format}
}

// Escape replaces line ends and other characters that can't be seen by escapes as in Go, so that a
// text stays in its line and sends no commands to the terminal.
func Escape(text string) string {
	quoted := strconv.Quote(text)
	if quoted == `"`+text+`"` {
		return text
	}
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}

// Row writes one row of a table. An empty cell is written as "-".
type Row func(cells ...any)

// Print writes value as JSON in format [JSON]. In other formats it writes a table with
// the column headings and the rows that the function rows passes to its argument.
func (p *Printer) Print(value any, columns []string, rows func(Row)) error {
	if p.format == JSON {
		return p.json(value)
	}
	table := tabwriter.NewWriter(p.writer, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, strings.Join(columns, "\t"))
	rows(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = Escape(fmt.Sprint(cell))
			if texts[i] == "" {
				texts[i] = "-"
			}
		}
		fmt.Fprintln(table, strings.Join(texts, "\t"))
	})
	return table.Flush()
}

// PrintLine writes value as JSON in format [JSON]. In other formats it writes the
// formatted line; the newline is added.
func (p *Printer) PrintLine(value any, format string, args ...any) error {
	if p.format == JSON {
		return p.json(value)
	}
	_, err := fmt.Fprintf(p.writer, format+"\n", args...)
	return err
}

func (p *Printer) json(value any) error {
	encoder := json.NewEncoder(p.writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(toKebabKeys(reflect.ValueOf(value)))
}

// Columns returns the column headings of a table as a slice.
func Columns(names ...string) []string { return names }
