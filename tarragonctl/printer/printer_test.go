package printer_test

import (
	"bytes"
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
