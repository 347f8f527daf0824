package throttler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// BenchmarkTraffic counts the requests to lenders of daemons that share callers, in virtual
// time. Caller number i has a load in proportion to 1/i, and a limit of 1.6 times that with a
// burst of one second. The load is spread evenly over the daemons.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct {
		daemons, callers, perSecond int
		hot                         float64 // Times the load of the tenth caller.
	}{
		{24, 72, 700, 1},
		{24, 72, 700, 7},
		{24, 10_000, 700, 1},
		{460, 72, 13_400, 1},
		{460, 10_000, 13_400, 1},
		{460, 10_000, 13_400, 7},
	} {
		b.Run(fmt.Sprintf("%d-daemons/%d-callers/hot-%v", size.daemons, size.callers, size.hot), func(b *testing.B) {
			for range b.N {
				w, loads := trafficWorld(size.daemons, size.callers, float64(size.perSecond))
				loads[9] *= size.hot
				w.arrive(loads)
				w.runUntil(w.now + 5*time.Second)
				asked, wants, requested := w.asked, w.wants, w.requested
				before := w.total()
				w.runUntil(w.now + 10*time.Second)
				b.ReportMetric(float64(w.asked-asked)/10, "requests/s")
				b.ReportMetric(float64(w.wants-wants)/10, "wants/s")
				b.ReportMetric(float64(w.requested-requested)/10, "operations/s")
				b.ReportMetric(float64(w.total()-before)/10, "admitted/s")
				if w.violation != "" {
					b.Error(w.violation)
				}
			}
		})
	}
}

// total returns the number of admitted operations.
func (w *world) total() int {
	total := 0
	for _, n := range w.admitted {
		total += n
	}
	return total
}

// trafficWorld returns daemons with limits in force, and the loads of the callers.
func trafficWorld(daemons, callers int, perSecond float64) (*world, []float64) {
	sum := 0.0
	for i := range callers {
		sum += 1 / float64(i+1)
	}
	loads := make([]float64, callers)
	limits := make(map[unit.CallerName]manifest.RateLimit)
	for i := range loads {
		loads[i] = perSecond / float64(i+1) / sum
		limits[callerName(i)] = manifest.RateLimit{PerSecond: 1.6 * loads[i], Burst: max(1, 1.6*loads[i])}
	}
	w := calmWorld(daemons, limits)
	w.startAll()
	shared := make(map[unit.CallerName]*limit)
	for c, l := range limits {
		shared[c] = &limit{allowance: allowance{current: allotmentOf(l)}}
	}
	for _, n := range w.nodes {
		n.version, n.oldest = 0, 0
		n.throttler.limits = shared
	}
	return w, loads
}

func callerName(i int) unit.CallerName { return unit.CallerName(fmt.Sprintf("caller-%d", i)) }

// arrive requests operations with the loads, each at a random daemon.
func (w *world) arrive(loads []float64) {
	cumulated := make([]float64, len(loads))
	sum := 0.0
	for i, load := range loads {
		sum += load
		cumulated[i] = sum
	}
	var next func()
	next = func() {
		i, _ := slices.BinarySearch(cumulated, w.random.Float64()*sum)
		w.nodes[w.random.IntN(len(w.nodes))].request(callerName(i))
		w.after(time.Duration(w.random.ExpFloat64()*float64(time.Second)/sum), next)
	}
	next()
}
