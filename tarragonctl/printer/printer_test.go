package printer_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonctl/printer"
)

type inner struct{ PushID *string }

type outer struct {
	ManifestSince int64
	Records       []*inner
	Named         string `json:"other-name"`
	Absent        *string
}

func TestJSONIsKebabCase(t *testing.T) {
	is := is.New(t)
	id := "p"
	var b bytes.Buffer
	value := &outer{ManifestSince: 3, Records: []*inner{{PushID: &id}}, Named: "n"}
	is.NoErr(printer.New(&b, printer.JSON).PrintLine(value, ""))
	is.Equal(b.String(), `{
  "manifest-since": 3,
  "other-name": "n",
  "records": [
    {
      "push-id": "p"
    }
  ]
}
`)
}

func TestTable(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(printer.New(&b, printer.Table).Print(nil, printer.Columns("A", "LONG"), func(row printer.Row) {
		row("xyz", "")
	}))
	is.Equal(b.String(), "A    LONG\nxyz  -\n")
}

// TestOddCells guards against a cell with a line end or a tab that looks like another row or column.
func TestOddCells(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	err := printer.New(&out, printer.Table).Print(nil, printer.Columns("ID", "CAUSE"), func(row printer.Row) {
		row("a\nb\tc", errors.New("x\x1b[2J \xff"))
		row("c \"d\"", "é")
	})
	is.NoErr(err)
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	is.Equal(len(lines), 3)
	is.Equal(strings.Fields(lines[1]), []string{`a\nb\tc`, `x\x1b[2J`, `\xff`})
	is.Equal(strings.Fields(lines[2]), []string{"c", `"d"`, "é"})
}
