package result_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"tarragonshed.example/result"
)

var update = flag.Bool("update", false, "rewrite the table in docs/RESULTS.md")

const (
	resultsPath = "../docs/RESULTS.md"
	tableMarker = "<!-- table -->\n"
)

func table() string {
	var b strings.Builder
	b.WriteString("| code | name | outcome | SQLSTATE | meaning |\n|---|---|---|---|---|\n")
	for _, e := range result.Table() {
		fmt.Fprintf(&b, "| %v | %s | %s | %s | %s |\n", e.Code, e.Name, e.Outcome, e.SQLState, e.Meaning)
	}
	return b.String()
}

func TestPageListsEveryCode(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(resultsPath)
	is.NoErr(err)
	before, after, found := strings.Cut(string(text), tableMarker)
	is.True(found)
	if *update {
		is.NoErr(os.WriteFile(resultsPath, []byte(before+tableMarker+table()), 0o644))
		return
	}
	is.Equal(after, table()) // Run: go test ./result -update
}

func TestOutcomeOf(t *testing.T) {
	t.Run("a wrapped code keeps its outcome", func(t *testing.T) {
		is := is.New(t)
		err := fmt.Errorf("entry: %w", result.New(result.Overloaded, "full"))
		is.Equal(result.OutcomeOf(err), result.NotRun)
		is.Equal(result.CodeOf(err), result.Overloaded)
	})
	t.Run("an error without a code has an unknown outcome", func(t *testing.T) {
		is := is.New(t)
		is.Equal(result.OutcomeOf(errors.New("x")), result.Unknown)
	})
	t.Run("an error text contains the number and the outcome", func(t *testing.T) {
		is := is.New(t)
		is.Equal(result.New(result.Unconfirmed, "x").Error(), "TS3002 outcome unknown: x")
	})
}
