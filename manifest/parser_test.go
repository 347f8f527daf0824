package manifest_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
)

const secret = "SCRAM-SHA-256$4096:c2FsdA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

const validDocument = `[[domains]]
name = "lautoka-shed"
region = "viti-west"

[[domains]]
name = "labasa-loft"
region = "vanua-north"

[[domains]]
name = "suva-office"
region = "suva-central"

[[callers]]
name = "demo"
scram-secret = "` + secret + `"
groups = ["pulp-ledger-1"]

[[groups]]
name = "pulp-ledger-1"
homes = 3
max-staleness = "1.5s"

[[groups.instances]]
name = "pulp-ledger-1-a"
domain = "lautoka-shed"
address = "127.0.0.1:5511"
slots = 3
connections = 20

[[groups.instances]]
name = "pulp-ledger-1-b"
domain = "labasa-loft"
address = "127.0.0.1:5512"
slots = 3
connections = 20

[[groups.instances]]
name = "pulp-ledger-1-c"
domain = "suva-office"
address = "127.0.0.1:5513"
slots = 3
connections = 20
leaving = true
`

func lineOf(t *testing.T, document, part string) int {
	t.Helper()
	before, _, ok := strings.Cut(document, part)
	if !ok {
		t.Fatalf("the document does not contain %q", part)
	}
	return strings.Count(before, "\n") + 1
}

func assertProblem(t *testing.T, problems manifest.Problems, code result.Code, line int) {
	t.Helper()
	for _, p := range problems {
		if p.Code == code && p.Line == line {
			return
		}
	}
	t.Fatalf("no problem %v in line %d; problems: %v", code, line, problems)
}

func TestParse(t *testing.T) {
	t.Run("a valid document has no problems", func(t *testing.T) {
		is := is.New(t)
		m, problems := manifest.Parse([]byte(validDocument))
		is.Equal(len(problems), 0)
		g, ok := m.Group("pulp-ledger-1")
		is.True(ok)
		is.Equal(g.Homes, 3)
		is.Equal(len(g.Instances), 3)
		is.True(g.Instances[2].Leaving)
	})
	t.Run("an encoded manifest parses to an equal one", func(t *testing.T) {
		is := is.New(t)
		m, _ := manifest.Parse([]byte(validDocument))
		document, err := manifest.Encode(m)
		is.NoErr(err)
		again, problems := manifest.Parse(document)
		is.Equal(len(problems), 0)
		is.True(reflect.DeepEqual(m, again))
	})
	faults := []struct {
		name, old, new string
		code           result.Code
		at             string
	}{
		{"unknown key", "homes = 3", "hoems = 3", result.ManifestUnknownKey, "hoems"},
		{"unknown table", "[[callers]]", "[surplus]\n[[callers]]", result.ManifestUnknownKey, "[surplus]"},
		{"wrong type", "homes = 3", `homes = "3"`, result.ManifestWrongType, "homes"},
		{"missing key", "region = \"viti-west\"\n", "", result.ManifestMissing, "[[domains]]"},
		{"bad name", `name = "demo"`, `name = "De mo"`, result.ManifestName, `name = "De mo"`},
		{"duplicate instance", `"pulp-ledger-1-b"`, `"pulp-ledger-1-a"`, result.ManifestDuplicate, "\"pulp-ledger-1-a\"\ndomain = \"labasa"},
		{"duplicate address", "127.0.0.1:5512", "127.0.0.1:5511", result.ManifestDuplicate, "address = \"127.0.0.1:5511\"\nslots = 3\nconnections = 20\n\n[[groups.instances]]\nname = \"pulp-ledger-1-c\""},
		{"unknown domain", `domain = "suva-office"`, `domain = "suva"`, result.ManifestUnknownName, `domain = "suva"`},
		{"unknown group", `groups = ["pulp-ledger-1"]`, `groups = ["pulp"]`, result.ManifestUnknownName, "groups ="},
		{"slots out of range", "slots = 3", "slots = 0", result.ManifestRange, "slots = 0"},
		{"fewer connections than slots", "connections = 20", "connections = 2", result.ManifestRange, "connections = 2"},
		{"bad address", "127.0.0.1:5511", "127.0.0.1", result.ManifestAddress, `"127.0.0.1"`},
		{"bad secret", "$4096:", "$1:", result.ManifestSecret, "scram-secret"},
		{"bad duration", `"1.5s"`, `"soon"`, result.ManifestDuration, "max-staleness"},
		{"negative staleness", `"1.5s"`, `"-1s"`, result.ManifestDuration, "max-staleness"},
		{"syntax", "homes = 3", "homes = = 3", result.ManifestSyntax, "homes"},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			document := strings.Replace(validDocument, f.old, f.new, 1)
			m, problems := manifest.Parse([]byte(document))
			is.New(t).True(m == nil)
			assertProblem(t, problems, f.code, lineOf(t, document, f.at))
		})
	}
	t.Run("all problems are reported at once", func(t *testing.T) {
		document := validDocument
		for _, f := range faults[:4] {
			document = strings.Replace(document, f.old, f.new, 1)
		}
		document = strings.Replace(document, "slots = 3", "slots = 0", 1)
		_, problems := manifest.Parse([]byte(document))
		is.New(t).Equal(len(problems), 4) // The second fault in homes has nothing left to replace.
	})
	t.Run("a majority of instances in one domain gives a warning", func(t *testing.T) {
		is := is.New(t)
		document := strings.ReplaceAll(validDocument, `domain = "labasa-loft"`, `domain = "lautoka-shed"`)
		m, problems := manifest.Parse([]byte(document))
		is.True(m != nil)
		assertProblem(t, problems, result.ManifestSpread, lineOf(t, document, "[[groups]]"))
	})
	t.Run("a document that is too large is refused", func(t *testing.T) {
		m, problems := manifest.Parse(make([]byte, manifest.MaxDocumentBytes+1))
		is.New(t).True(m == nil)
		assertProblem(t, problems, result.ManifestTooLarge, 0)
	})
	t.Run("inline tables are read and located by their key", func(t *testing.T) {
		document := "domains = [\n  {name = \"a\", region = \"r\"},\n  {name = \"a\", region = \"r\"},\n]\nextra = 1\n"
		_, problems := manifest.Parse([]byte(document))
		assertProblem(t, problems, result.ManifestDuplicate, 1)
		assertProblem(t, problems, result.ManifestUnknownKey, 5)
	})
}

// FuzzParse checks that every document is either accepted or refused with a problem, and
// that an accepted one is unchanged by encoding and parsing it again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("groups = 1\ndomains = [[1]]\n[[callers]]\nname = \"\"\"\na\"\"\"\n"))
	f.Add([]byte("[a.b]\n[[a.b.c]]\n\"x.y\" = [1,\n2]\n"))
	f.Add([]byte("[[groups]]\n[[groups.instances]]\nslots = 99999999999\n"))
	f.Fuzz(func(t *testing.T, document []byte) {
		m, problems := manifest.Parse(document)
		if m == nil && !problems.HasErrors() {
			t.Fatal("Parse returned neither a manifest nor an error")
		}
		for _, p := range problems {
			if p.Line < 0 || p.Line > strings.Count(string(document), "\n")+1 {
				t.Fatalf("line %d is outside of the document", p.Line)
			}
		}
		if m == nil {
			return
		}
		encoded, err := manifest.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		again, problems := manifest.Parse(encoded)
		if again == nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("round trip changed the manifest: %v", problems)
		}
	})
}
