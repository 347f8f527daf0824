package experimenter

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/tarragonbench/loader"
)

func TestCommittedExperimentsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../experiments/*.toml")
	is.New(t).NoErr(err)
	is.New(t).True(len(paths) > 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			e, err := Read(path)
			is.NoErr(err)
			is.Equal(e.Name+".toml", filepath.Base(path))
			is.True(e.About != "")
		})
	}
}

func TestParseRejectsInvalidExperiments(t *testing.T) {
	for document, want := range map[string]string{
		`colour = "red"`:         "unknown keys",
		`mode = "dream"`:         "unknown mode",
		`deployments = ["moon"]`: `deployer: unknown deployment "moon"`,
		"cycle = \"1s\"\n[[faults]]\nafter = \"2s\"\nkind = \"heal\"": "not within the cycle length",
	} {
		_, err := Parse([]byte(document))
		is.New(t).True(err != nil && strings.Contains(err.Error(), want))
	}
}

func TestSweepSetsKeys(t *testing.T) {
	is := is.New(t)
	values, err := ParseSweep("load.callers=6,12")
	is.NoErr(err)
	is.Equal(len(values), 2)
	e, err := Read("../../experiments/failover-stop.toml", values[1])
	is.NoErr(err)
	is.Equal(e.Load.Callers, 12)
	_, err = ParseSweep("callers")
	is.True(err != nil)
}

func TestQuantile(t *testing.T) {
	is := is.New(t)
	values := []float64{5, 1, 4, 2, 3}
	is.Equal([]float64{quantile(values, 0.5), quantile(values, 0.99), quantile(values, 1), quantile(nil, 1)}, []float64{3, 5, 5, 0})
}

func TestResultIsWritten(t *testing.T) {
	is := is.New(t)
	e, err := Read("../../experiments/failover-stop.toml")
	is.NoErr(err)
	load := &loader.Report{Classes: map[loader.Class]*loader.Figures{loader.Write: {Arrived: 7}}, Violations: []string{"item 3 is lost"}}
	runs := []Run{
		{Deployment: "trust", Seed: 4, Gaps: []float64{100, 300}, Load: load, Timeline: []string{"<first>"}},
		{Deployment: "umusego", Seed: 9, Error: "no primary"},
	}
	result := Result{Experiment: e, Runs: runs, Summary: Summarize(e, runs)}
	is.True(!result.Passed())
	is.Equal(result.Summary[0].FailingSeeds, []uint64{4})
	is.Equal(result.Summary[0].GapMax, 300.0)
	is.Equal(result.Summary[1].Failed, 1)
	document, err := json.Marshal(result)
	is.NoErr(err)
	var again Result
	is.NoErr(json.Unmarshal(document, &again))
	var page, table, comparison bytes.Buffer
	is.NoErr(WritePage(&page, []Result{again}))
	is.True(strings.Contains(page.String(), "median 100, p99 300, max 300 ms") && strings.Contains(page.String(), "&lt;first&gt;"))
	is.NoErr(result.WriteTable(&table))
	is.True(strings.Contains(table.String(), "7 arrived"))
	is.NoErr(WriteComparison(&comparison, result, again))
	is.True(strings.Contains(comparison.String(), "1.00"))
}

// A history on a whole deployment, whose primary stops and is started again, has no
// violations.
func TestHistoryOfAFailover(t *testing.T) {
	is := is.New(t)
	e, err := Parse([]byte(`
mode = "history"
warmup = "300ms"
cycle = "2500ms"
[history]
callers = 6
pause = "10ms"
[[faults]]
after = "200ms"
kind = "stop-target"
target = "{primary}"`))
	is.NoErr(err)
	result, err := Perform(t.Context(), e, func(string) {})
	is.NoErr(err)
	r := result.Runs[0]
	is.Equal(r.Error, "")
	is.Equal(r.Violations(), nil)
	is.Equal(len(r.InjectedFaults), 1)
	is.True(r.Verdict.Operations[historian.Insert][historian.Done] > 0)
	is.Equal(e.duration(), 2800*time.Millisecond)
}
