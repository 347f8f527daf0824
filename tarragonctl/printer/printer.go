// Package printer writes answers as tables for people or as JSON for programs.
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
	"strings"
	"text/tabwriter"
)

// Format is how answers are written.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// padding is the number of spaces between columns.
const padding = 2

// Printer writes answers.
type Printer struct {
	writer io.Writer
	format Format
}

// New returns a Printer that writes to w.
func New(w io.Writer, format Format) *Printer {
	return &Printer{writer: w, format: format}
}

// Row writes one row of a table.
type Row func(cells ...any)

// Print writes value as JSON, or the columns and the rows that the function writes as
// a table.
func (p *Printer) Print(value any, columns []string, rows func(Row)) error {
	if p.format == JSON {
		return p.json(value)
	}
	table := tabwriter.NewWriter(p.writer, 0, 0, padding, ' ', 0)
	fmt.Fprintln(table, strings.Join(columns, "\t"))
	rows(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
			if texts[i] == "" {
				texts[i] = "-"
			}
		}
		fmt.Fprintln(table, strings.Join(texts, "\t"))
	})
	return table.Flush()
}

// PrintLine writes value as JSON, or the line.
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
	return encoder.Encode(kebab(reflect.ValueOf(value)))
}

// Columns returns the names of columns.
func Columns(names ...string) []string { return names }
