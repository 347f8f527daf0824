package experimenter

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
)

// The dimensions of a plot, in pixels.
const (
	plotWidth  = 820
	plotLeft   = 320
	plotRow    = 26
	plotBottom = 28
)

// The range of the plots' logarithmic axis, in milliseconds.
const (
	axisFrom = 0.1
	axisTo   = 20000
)

// mark is the center of a dot in a plot.
type mark struct{ X, Y float64 }

// strip is a row of a plot: the values of one series.
type strip struct {
	Label  string
	Y      int
	Marks  []mark
	Median float64
	Text   string
}

// tick is a labeled grid line of the axis.
type tick struct {
	X     float64
	Label string
}

// plot is a diagram with one strip for each series.
type plot struct {
	Title  string
	Width  int
	Height int
	Strips []strip
	Ticks  []tick
}

// axis returns the x coordinate of a time in milliseconds. Times outside the axis are
// drawn at its ends.
func axis(ms float64) float64 {
	ms = min(max(ms, axisFrom), axisTo)
	return plotLeft + (plotWidth-plotLeft-10)*math.Log(ms/axisFrom)/math.Log(axisTo/axisFrom)
}

func newPlot(title string) plot {
	p := plot{Title: title, Width: plotWidth}
	for _, ms := range []float64{0.1, 1, 10, 100, 1000, 9000} {
		p.Ticks = append(p.Ticks, tick{axis(ms), fmt.Sprintf("%v ms", ms)})
	}
	return p
}

// add adds a strip of values in milliseconds.
func (p *plot) add(label, text string, values []float64) {
	y := plotRow*len(p.Strips) + plotRow/2
	s := strip{Label: label, Y: y, Median: axis(quantile(values, 0.5)), Text: text}
	for i, v := range values {
		s.Marks = append(s.Marks, mark{axis(v), float64(y) + float64(i%5-2)*2})
	}
	p.Strips = append(p.Strips, s)
	p.Height = plotRow*len(p.Strips) + plotBottom
}

// plots returns the plots of the gaps and the latencies, without those that are empty.
func plots(results []Result) []plot {
	gaps := newPlot("Failover gap: each dot is one gap, the bar the median; the axis ends beyond 9 s")
	latencies := newPlot("Latency from arrival: p50, p99, p99.9 and maximum")
	for _, r := range results {
		for _, s := range r.Summary {
			var values []float64
			for _, run := range r.Runs {
				if run.Deployment == s.Deployment {
					values = append(values, run.Gaps...)
				}
			}
			name := r.Experiment.Name + ", " + s.Deployment
			if len(values) > 0 {
				gaps.add(name, fmt.Sprintf("median %.0f, p99 %.0f, max %.0f ms", s.GapMedian, s.GapP99, s.GapMax), values)
			}
			for _, class := range sortedKeys(s.Classes) {
				f := s.Classes[class]
				latencies.add(name+", "+string(class), fmt.Sprintf("p50 %.2f, p99 %.2f ms", f.P50, f.P99), []float64{f.P50, f.P99, f.P999, f.Max})
			}
		}
	}
	return slices.DeleteFunc([]plot{gaps, latencies}, func(p plot) bool { return len(p.Strips) == 0 })
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"longest": longest,
}).Parse(pageTemplate))

// longest returns the run with the longest gap, whose timeline is shown.
func longest(r Result) *Run {
	var found *Run
	for i := range r.Runs {
		if run := &r.Runs[i]; len(run.Timeline) > 0 && (found == nil || quantile(run.Gaps, 1) > quantile(found.Gaps, 1)) {
			found = run
		}
	}
	return found
}

// WritePage writes results as one self-contained HTML page.
func WritePage(out io.Writer, results []Result) error {
	return page.Execute(out, map[string]any{"Results": results, "Plots": plots(results)})
}

const pageTemplate = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>tarragonbench report</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:78rem;margin:2rem auto;padding:0 1rem;color:#1b2430}
h1{font-size:1.6rem}h2{font-size:1.2rem;margin-top:2.2rem;border-bottom:1px solid #cfd8e3;padding-bottom:.2rem}
table{border-collapse:collapse;margin:.6rem 0}td,th{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #e4eaf1}
td:first-child,th:first-child{text-align:left}th{color:#51606f;font-weight:600}
.bad{color:#a3180d;font-weight:700}.good{color:#1c6b2f}svg text{font:12px system-ui,sans-serif;fill:#33404d}
pre{background:#f3f6fa;padding:.7rem;overflow-x:auto;font-size:12px}
</style></head><body>
<h1>tarragonbench report</h1>
{{range .Plots}}<h2>{{.Title}}</h2>
<svg width="{{.Width}}" height="{{.Height}}" viewBox="0 0 1160 {{.Height}}" style="width:100%;height:auto" role="img">
{{$h := .Height}}{{range .Ticks}}<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{$h}}" stroke="#dbe3ec"/><text x="{{.X}}" y="{{$h}}" dy="-6" text-anchor="middle">{{.Label}}</text>{{end}}
{{range .Strips}}<text x="0" y="{{.Y}}" dy="4">{{.Label}}</text>
{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="3" fill="#2b6cb0" fill-opacity=".45"/>{{end}}
<rect x="{{.Median}}" y="{{.Y}}" width="2" height="16" transform="translate(-1,-8)" fill="#c05621"/>
<text x="835" y="{{.Y}}" dy="4">{{.Text}}</text>{{end}}
</svg>{{end}}
{{range .Results}}<h2>{{.Experiment.Name}}</h2><p>{{.Experiment.About}}</p>
<p>Commit {{.Commit}}, begun {{.Began.Format "2006-01-02 15:04:05"}} UTC; {{.Experiment.Daemons}} daemons in each failure domain, {{.Experiment.Groups}} groups under load, {{.Experiment.Homes}} homes.</p>
{{range .Summary}}<h3>{{.Deployment}}</h3>
<p>{{.Runs}} runs, {{.Failed}} failed, <span class="{{if .Violations}}bad{{else}}good{{end}}">{{.Violations}} violations</span>{{if .FailingSeeds}}, failing seeds {{.FailingSeeds}}{{end}}.
{{if .Gaps}}{{.Gaps}} gaps: median {{ms .GapMedian}} ms, p99 {{ms .GapP99}} ms, maximum {{ms .GapMax}} ms.{{end}}</p>
{{if .Classes}}<table><tr><th>class</th><th>arrived</th><th>done</th><th>not run</th><th>unknown</th><th>shed</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>max ms</th></tr>
{{range $class, $f := .Classes}}<tr><td>{{$class}}</td><td>{{.Arrived}}</td><td>{{.Done}}</td><td>{{.NotRun}}</td><td>{{.Unknown}}</td><td>{{.Shed}}</td><td>{{ms .P50}}</td><td>{{ms .P99}}</td><td>{{ms .P999}}</td><td>{{ms .Max}}</td></tr>{{end}}</table>{{end}}
{{if .Replicas}}<p>Reads served by replicas:{{range $class, $share := .Replicas}} {{$class}} {{percent $share}}{{end}}.</p>{{end}}
{{if .Operations}}<p>Operations:{{range $name, $n := .Operations}} {{$name}} {{$n}};{{end}}</p>{{end}}
{{if .Codes}}<p>Codes of requests that are not done:{{range $code, $n := .Codes}} {{$code}} {{$n}};{{end}}</p>{{end}}
{{end}}
{{with longest .}}<details><summary>Timeline of the longest gap ({{.Deployment}}, seed {{.Seed}})</summary><pre>{{range .Timeline}}{{.}}
{{end}}</pre></details>{{end}}
{{end}}</body></html>
`
