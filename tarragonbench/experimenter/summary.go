package experimenter

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"

	"tarragonshed.example/tarragonbench/loader"
)

// Summary aggregates the runs of one deployment.
type Summary struct {
	Deployment string `json:"deployment"`
	Runs       int    `json:"runs"`
	Failed     int    `json:"failed"`
	Violations int    `json:"violations"`
	// FailingSeeds are the seeds of runs that failed or had violations.
	FailingSeeds []uint64 `json:"failing-seeds"`
	Gaps         int      `json:"gaps"`
	GapMedian    float64  `json:"gap-median-ms"`
	GapP99       float64  `json:"gap-p99-ms"`
	GapMax       float64  `json:"gap-max-ms"`
	Goodput      float64  `json:"goodput"`
	// Classes holds the measurements by class, merged over all runs.
	Classes  map[loader.Class]*loader.Figures `json:"classes,omitempty"`
	Replicas map[string]float64               `json:"replica-shares,omitempty"`
	Codes    map[string]int                   `json:"codes"`
	// Operations counts the operations of histories by outcome.
	Operations map[string]int `json:"operations,omitempty"`
}

// Summarize aggregates the runs of each deployment.
func Summarize(e Experiment, runs []Run) []Summary {
	var list []Summary
	for _, deployment := range e.Deployments {
		s := Summary{
			Deployment: deployment, Classes: map[loader.Class]*loader.Figures{}, Replicas: map[string]float64{},
			Codes: map[string]int{}, Operations: map[string]int{},
		}
		var gaps []float64
		for _, r := range runs {
			if r.Deployment == deployment {
				s.add(r)
				gaps = append(gaps, r.Gaps...)
			}
		}
		for name := range s.Replicas {
			s.Replicas[name] /= float64(max(1, s.Runs-s.Failed))
		}
		s.Goodput /= float64(max(1, s.Runs-s.Failed))
		s.Gaps, s.GapMedian, s.GapP99, s.GapMax = len(gaps), quantile(gaps, 0.5), quantile(gaps, 0.99), quantile(gaps, 1)
		list = append(list, s)
	}
	return list
}

// add adds the figures of a run.
func (s *Summary) add(r Run) {
	s.Runs++
	s.Violations += len(r.Violations())
	if r.Error != "" {
		s.Failed++
	}
	if r.Error != "" || len(r.Violations()) > 0 {
		s.FailingSeeds = append(s.FailingSeeds, r.Seed)
	}
	for name, share := range r.Replicas {
		s.Replicas[name] += share
	}
	if r.Load != nil {
		s.Goodput += r.Load.Goodput
		for code, n := range r.Load.Codes {
			s.Codes[code] += n
		}
		for class, f := range r.Load.Classes {
			if s.Classes[class] == nil {
				s.Classes[class] = &loader.Figures{}
			}
			s.Classes[class].Merge(f)
		}
	}
	if r.Verdict != nil {
		for code, n := range r.Verdict.Codes {
			s.Codes[code] += n
		}
		for _, outcomes := range r.Verdict.Operations {
			for outcome, n := range outcomes {
				s.Operations[string(outcome)] += n
			}
		}
	}
}

// quantile returns the smallest value that at least the share q of values do not
// exceed, or zero without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// Passed reports whether no run failed and no run had violations.
func (r Result) Passed() bool {
	for _, s := range r.Summary {
		if s.Failed > 0 || s.Violations > 0 {
			return false
		}
	}
	return true
}

// WriteTable writes the result as a plain-text table.
func (r Result) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s\t%s", r.Experiment.Name, r.Experiment.About)
	line("commit\t%s", r.Commit)
	for _, s := range r.Summary {
		line("\n%s\t%d runs, %d failed, %d violations", s.Deployment, s.Runs, s.Failed, s.Violations)
		if s.Gaps > 0 {
			line("failover gap\t%d samples\tmedian %.0f ms\tp99 %.0f ms\tmax %.0f ms", s.Gaps, s.GapMedian, s.GapP99, s.GapMax)
		}
		if s.Goodput > 0 {
			line("goodput\t%.0f requests/s", s.Goodput)
		}
		for _, class := range sortedKeys(s.Classes) {
			f := s.Classes[class]
			line("%s\t%d arrived, %d done, %d not run, %d unknown, %d shed\tp50 %.2f ms\tp99 %.2f ms\tp99.9 %.2f ms\tmax %.0f ms",
				class, f.Arrived, f.Done, f.NotRun, f.Unknown, f.Shed, f.P50, f.P99, f.P999, f.Max)
		}
		for _, name := range sortedKeys(s.Replicas) {
			line("replica share, %s\t%.1f%%", name, 100*s.Replicas[name])
		}
		line("operations\t%s", counts(s.Operations))
		line("codes\t%s", counts(s.Codes))
		if len(s.FailingSeeds) > 0 {
			line("failing seeds\t%v", s.FailingSeeds)
		}
	}
	return w.Flush()
}

// counts formats counts, sorted by name, or returns "none".
func counts[K ~string](m map[K]int) string {
	var parts []string
	for _, name := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
