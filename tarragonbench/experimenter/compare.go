package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteComparison writes a table of the measurements of two results, by deployment, with
// the ratio of after to before.
func WriteComparison(out io.Writer, before, after Result) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	row := func(name string, a, b float64) {
		ratio := "-"
		if a != 0 {
			ratio = fmt.Sprintf("%.2f", b/a)
		}
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t\n", name, a, b, ratio)
	}
	_, _ = fmt.Fprintf(w, "\t%s\t%s\tratio\t\n", before.Experiment.Name, after.Experiment.Name)
	for _, a := range before.Summary {
		for _, b := range after.Summary {
			if a.Deployment != b.Deployment {
				continue
			}
			p := a.Deployment + " "
			row(p+"violations", float64(a.Violations), float64(b.Violations))
			row(p+"failed runs", float64(a.Failed), float64(b.Failed))
			row(p+"gap median ms", a.GapMedian, b.GapMedian)
			row(p+"gap p99 ms", a.GapP99, b.GapP99)
			row(p+"gap max ms", a.GapMax, b.GapMax)
			row(p+"goodput/s", a.Goodput, b.Goodput)
			for _, class := range sortedKeys(a.Classes) {
				if f, g := a.Classes[class], b.Classes[class]; g != nil {
					row(p+string(class)+" p50 ms", f.P50, g.P50)
					row(p+string(class)+" p99 ms", f.P99, g.P99)
					row(p+string(class)+" p99.9 ms", f.P999, g.P999)
				}
			}
			for _, name := range sortedKeys(a.Replicas) {
				row(p+"replica share "+name, a.Replicas[name], b.Replicas[name])
			}
		}
	}
	return w.Flush()
}
