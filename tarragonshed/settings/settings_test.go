package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"tarragonshed.example/tarragonshed/settings"
)

const valid = `id = "lautoka-shed-1"
domain = "lautoka-shed"

[callers]
listen = "127.0.0.1:6432"

[peers]
listen = "127.0.0.1:8432"
plaintext = true

[operator]
listen = "127.0.0.1:7432"
token = "secret"

[platform]
url = "http://127.0.0.1:7300"
`

func expectProblems(t *testing.T, document string, want ...string) {
	t.Helper()
	is := is.New(t)
	_, problems := settings.Parse([]byte(document))
	is.Equal(len(problems), len(want))
	text := problems.Error()
	for _, w := range want {
		is.True(strings.Contains(text, w)) // The problem is reported.
	}
}

func TestParse(t *testing.T) {
	t.Run("a minimal document gets the defaults", func(t *testing.T) {
		is := is.New(t)
		s, problems := settings.Parse([]byte(valid))
		is.Equal(len(problems), 0)
		is.Equal(s.Callers.MaxConnections, settings.Default().Callers.MaxConnections)
		is.Equal(string(s.Domain), "lautoka-shed")
	})
	t.Run("unknown keys are rejected with their line", func(t *testing.T) {
		expectProblems(t, strings.Replace(valid, "token =", "colour = 1\ntoken =", 1), "line 13: operator.colour: unknown key")
	})
	t.Run("all problems are reported together", func(t *testing.T) {
		document := strings.NewReplacer(
			`id = "lautoka-shed-1"`, `id = ""`,
			"127.0.0.1:6432", "nonsense",
			"http://127.0.0.1:7300", "ftp://x",
		).Replace(valid)
		expectProblems(t, document, "line 1: id: is missing", `line 5: callers.listen: "nonsense"`, "line 16: platform.url")
	})
	t.Run("problems are ordered by line, a missing key has the line of its table", func(t *testing.T) {
		is := is.New(t)
		document := strings.Replace(valid, "plaintext = true\n", "[peers.tls]\ncertificate = \"/none/c\"\nkey = \"/none/k\"\n", 1)
		_, problems := settings.Parse([]byte(document))
		is.Equal(len(problems), 3)
		for i, want := range []string{"line 9: peers.tls.authorities", "line 10: peers.tls.certificate", "line 11: peers.tls.key"} {
			is.True(strings.Contains(problems[i].String(), want)) // The problem is in the order of its line.
		}
	})
	t.Run("plaintext between daemons has to be allowed explicitly", func(t *testing.T) {
		expectProblems(t, strings.Replace(valid, "plaintext = true\n", "", 1), "peers.plaintext")
	})
	t.Run("authorities for callers are rejected, because client certificates are not supported", func(t *testing.T) {
		expectProblems(t, strings.Replace(valid, "[peers]", "[callers.tls]\nauthorities = \"settings_test.go\"\n[peers]", 1), "callers.tls.authorities: client certificates are not supported for callers; they authenticate with SCRAM")
	})
	t.Run("a syntax error has its line", func(t *testing.T) {
		expectProblems(t, "id = \"x\"\ndomain = \n", "line 2")
	})
}
