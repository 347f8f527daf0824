package entry

import (
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonshed/translator"
)

// odd is a text that is not UTF-8. An instance whose encoding accepts any bytes runs it.
const odd = "a\xff\xfe\r\nb"

// TestTextsThatAreNotUTF8 guards against texts of callers that end the stream to another daemon, or
// arrive there changed, because its messages carry only UTF-8.
func TestTextsThatAreNotUTF8(t *testing.T) {
	t.Run("a prepared statement", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		query := "INSERT '" + odd + "'"
		_, err := conn.Prepare(b.context(), "p", query)
		is.NoErr(err)
		for range 2 { // The home of another instance has to prepare it anew.
			b.fake.takeRecorded()
			_, err = conn.Exec(b.context(), "p")
			is.NoErr(err)
			_, executed := b.fake.takeRecorded()
			is.Equal(executed, []string{query})
		}
	})
	t.Run("the values of settings and the request key", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("&options=" + strings.ReplaceAll(url.QueryEscape("-c work_mem=1"+odd[:3]+"\\ x"), "+", "%20"))
		_, err := conn.Exec(b.context(), "SET search_path = '"+odd+"'")
		is.NoErr(err)
		_, err = conn.Exec(b.context(), "SET tarragon.request_key = '"+odd+"'")
		is.NoErr(err)
		_, err = conn.Exec(b.context(), "INSERT x")
		is.NoErr(err)
		opened, _ := b.fake.takeRecorded()
		is.Equal(translator.FromSettings(opened[0].Settings), map[string]string{"search_path": odd, "work_mem": "1" + odd[:3] + " x"})
		is.Equal(string(opened[0].RequestKey), odd)
	})
}
