package router

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

func nameOf(i int) unit.InstanceName { return unit.InstanceName(fmt.Sprint("i", i)) }

func TestSpreaderWithoutReports(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	s := NewSpreader()
	_, ok := s.Choose(nil, ReadRequest{}, now, 0)
	is.True(!ok)
	for range 1000 {
		var candidates []ReadCandidate
		for i := range 1 + random.IntN(4) {
			candidates = append(candidates, ReadCandidate{
				Instance: nameOf(i), Distance: Distance(random.IntN(3)), Primary: random.IntN(3) == 0,
				Behind: random.IntN(3) == 0, FarBehind: random.IntN(3) == 0, ExpectedLatency: time.Duration(random.IntN(200)) * time.Millisecond,
			})
		}
		want, _ := LowestCost(candidates)
		got, ok := s.Choose(candidates, ReadRequest{Target: time.Duration(random.IntN(1000)) * time.Millisecond}, now, random.Float64())
		is.True(ok)
		is.Equal(got, want)
		if random.IntN(2) == 0 {
			s.Record(got.Instance, Outcome{Sent: true, Failed: random.IntN(4) == 0}, now)
		}
	}
}

func TestSpreaderForgetsInstances(t *testing.T) {
	is := is.New(t)
	s := NewSpreader()
	var candidates []ReadCandidate
	for i := range 3 {
		candidates = append(candidates, ReadCandidate{Instance: nameOf(i)})
	}
	s.Observe(nameOf(0), Report{Slots: 2}, now)
	s.Choose(candidates, ReadRequest{}, now, 0)
	is.True(s.Overview(nameOf(2), 0, now).Share > 0) // It was not chosen and has not reported.
	s.Retain(map[unit.InstanceName]bool{nameOf(0): true})
	is.Equal(len(s.Shares(0)), 1)
	is.Equal(len(s.instances), 1)
}

// partAt returns the part of reads that go to the second instance, 10 s after the reports began.
func partAt(target time.Duration, candidates []ReadCandidate, reports []Report) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	s := NewSpreader()
	second := 0
	for at := range 1200 {
		now := now.Add(time.Duration(at) * 10 * time.Millisecond)
		for i, r := range reports {
			s.Observe(candidates[i].Instance, r, now)
		}
		chosen, _ := s.Choose(candidates, ReadRequest{Target: target}, now, random.Float64())
		s.Record(chosen.Instance, Outcome{Sent: true}, now)
		if at >= 1000 && chosen.Instance == candidates[1].Instance {
			second++
		}
	}
	return float64(second) / 200
}

func TestSpreaderChoice(t *testing.T) {
	candidates := []ReadCandidate{{Instance: "near"}, {Instance: "far", Distance: SameRegion}}
	idle := Report{Slots: 4, Mean: 15 * time.Millisecond}
	busy := Report{Slots: 4, Running: 4, Queued: 11, Mean: 15 * time.Millisecond} // A wait of 41 ms, and about 115 ms to come.
	for _, c := range []struct {
		name      string
		target    time.Duration
		far       ReadCandidate
		near      Report
		low, high float64
	}{
		{"near at half load", 0, candidates[1], Report{Slots: 4, Running: 2, Mean: idle.Mean}, 0, 0},
		{"far if the near one is busy", 0, candidates[1], busy, 0.9, 1},
		{"near if the target latency leaves room for the wait", 4 * time.Second, candidates[1], busy, 0, 0.1},
		{"far if the target latency would be missed", 60 * time.Millisecond, ReadCandidate{Instance: "far", Distance: OtherRegion}, busy, 0.9, 1},
		{"not the primary for a short wait", 0, ReadCandidate{Instance: "far", Primary: true}, Report{Slots: 4, Running: 3, Queued: 0, Mean: idle.Mean}, 0, 0},
		{"not an instance that is behind", 0, ReadCandidate{Instance: "far", Distance: SameRegion, Behind: true}, busy, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			part := partAt(c.target, []ReadCandidate{candidates[0], c.far}, []Report{c.near, idle})
			t.Logf("%.3f go to the second instance", part)
			is.New(t).True(part >= c.low && part <= c.high)
		})
	}
}

// Parameters of the simulated field.
const (
	fieldSlots    = 4
	fieldWork     = 15 * time.Millisecond
	fieldDeciders = 79
	fieldTarget   = 500 * time.Millisecond
	fieldWarmup   = 8 * time.Second
	fieldDuration = 30 * time.Second
)

// fieldInstance simulates an instance with one queue.
type fieldInstance struct {
	distance [2]Distance // From the deciders of both domains.
	work     time.Duration
	failing  float64 // Probability of a failure.
	queue    []fieldRead
	running  []fieldRead
	busy     time.Duration // Sum over the slots in the current second.
	usage    []float64     // By second.
}

type fieldRead struct {
	decider  int
	at, ends time.Time
}

type fieldReport struct {
	decider, instance int
	report            Report
	taken             time.Time
}

// field simulates reads of many deciders in two domains, which know of each other only through
// the load of the instances.
type field struct {
	spread    bool                                             // Use a Spreader instead of LowestCost.
	late      bool                                             // Reports are 0.1 to 1 s old.
	rate      func(passed time.Duration, domain int) float64   // Reads per second.
	change    func(passed time.Duration, first *fieldInstance) // Of the first instance.
	instances []*fieldInstance
	spreaders []*Spreader
	loads     [][]Load
	random    *rand.Rand
	now       time.Time
	reports   map[time.Time][]fieldReport

	reads, wait, failed, away float64 // After the warmup.
}

// The distances of the instances from the deciders of both domains: one instance in each
// domain, or none, and one in another region.
var (
	near    = [][2]Distance{{SameDomain, SameRegion}, {SameRegion, SameDomain}, {OtherRegion, OtherRegion}}
	without = [][2]Distance{{SameRegion, SameRegion}, {SameRegion, SameRegion}, {OtherRegion, OtherRegion}}
)

func (f field) run(distances [][2]Distance) *field {
	f.random, f.now, f.reports = rand.New(rand.NewPCG(1, 2)), now, make(map[time.Time][]fieldReport)
	for _, d := range distances {
		f.instances = append(f.instances, &fieldInstance{distance: d, work: fieldWork})
	}
	for range fieldDeciders {
		f.spreaders, f.loads = append(f.spreaders, NewSpreader()), append(f.loads, make([]Load, len(distances)))
	}
	const step = time.Millisecond
	for passed := time.Duration(0); passed < fieldDuration; passed += step {
		f.now = f.now.Add(step)
		for _, r := range f.reports[f.now] {
			f.spreaders[r.decider].Observe(nameOf(r.instance), r.report, r.taken)
		}
		delete(f.reports, f.now)
		if f.change != nil {
			f.change(passed, f.instances[0])
		}
		for i := range f.instances {
			f.serve(i, step, passed >= fieldWarmup)
		}
		for domain := range 2 {
			if f.random.Float64() < f.rate(passed, domain)*step.Seconds() {
				f.send(2*f.random.IntN(fieldDeciders/2)+domain, domain, passed >= fieldWarmup)
			}
		}
		if (passed+step)%time.Second == 0 {
			for _, in := range f.instances {
				in.usage, in.busy = append(in.usage, in.busy.Seconds()/fieldSlots), 0
			}
		}
	}
	return &f
}

// send lets a decider choose an instance for a read.
func (f *field) send(decider, domain int, counted bool) {
	var candidates []ReadCandidate
	for i, in := range f.instances {
		candidates = append(candidates, ReadCandidate{Instance: nameOf(i), Distance: in.distance[domain], ExpectedLatency: f.loads[decider][i].ExpectedLatency()})
	}
	chosen, _ := LowestCost(candidates)
	if f.spread {
		chosen, _ = f.spreaders[decider].Choose(candidates, ReadRequest{Target: fieldTarget}, f.now, f.random.Float64())
	}
	i := slices.Index(candidates, chosen)
	f.instances[i].queue = append(f.instances[i].queue, fieldRead{decider: decider, at: f.now})
	f.loads[decider][i].Begin()
	if counted && chosen.Distance != SameDomain {
		f.away++
	}
}

// serve ends and starts reads at an instance.
func (f *field) serve(i int, step time.Duration, counted bool) {
	in := f.instances[i]
	ended := slices.DeleteFunc(slices.Clone(in.running), func(r fieldRead) bool { return r.ends.After(f.now) })
	in.running = slices.DeleteFunc(in.running, func(r fieldRead) bool { return !r.ends.After(f.now) })
	for len(in.queue) > 0 && len(in.running) < fieldSlots {
		r := in.queue[0]
		in.queue = in.queue[1:]
		r.ends = f.now.Add(time.Duration(float64(in.work) * (0.5 + f.random.Float64())))
		in.running = append(in.running, r)
	}
	in.busy += step * time.Duration(len(in.running))
	for _, r := range ended {
		f.reply(i, r, counted)
	}
}

// reply sends a reply, and the report with it or later.
func (f *field) reply(i int, r fieldRead, counted bool) {
	in := f.instances[i]
	failed := f.random.Float64() < in.failing
	f.loads[r.decider][i].End(f.now.Sub(r.at), f.now)
	f.spreaders[r.decider].Record(nameOf(i), Outcome{Sent: true, Failed: failed}, f.now)
	arrives := f.now.Add(time.Millisecond)
	if f.late {
		arrives = f.now.Add(time.Duration(100+f.random.IntN(900)) * time.Millisecond)
	}
	report := Report{Slots: fieldSlots, Running: len(in.running), Queued: len(in.queue), Mean: in.work}
	f.reports[arrives] = append(f.reports[arrives], fieldReport{decider: r.decider, instance: i, report: report, taken: f.now})
	if !counted {
		return
	}
	f.reads++
	f.wait += f.now.Sub(r.at).Seconds()*1000 - in.work.Seconds()*1000
	if failed {
		f.failed++
	}
}

// play plays the field with LowestCost and with spreaders whose reports are fresh or late.
func play(t *testing.T, f field, distances [][2]Distance) (lowest, fresh, late *field) {
	t.Helper()
	lowest = f.run(distances)
	f.spread = true
	fresh = f.run(distances)
	f.late = true
	late = f.run(distances)
	for _, f := range []*field{lowest, fresh, late} {
		t.Logf("spread %t late %t: mean wait %.1f ms, left the domain %.3f, failed %.3f", f.spread, f.late, f.wait/f.reads, f.away/f.reads, f.failed/f.reads)
		for _, in := range f.instances {
			t.Logf("  %.2f", in.usage)
		}
	}
	return lowest, fresh, late
}

func steady(perDomain float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return perDomain }
}

// waves has the same mean in both domains, with opposite phases and a period of 8 s.
func waves(mean, amplitude float64) func(time.Duration, int) float64 {
	return func(passed time.Duration, domain int) float64 {
		return mean + amplitude*math.Sin(2*math.Pi*(passed.Seconds()/8+float64(domain)/2))
	}
}

// fault changes the first instance from 10 s to 20 s.
func fault(work time.Duration, failing float64) func(time.Duration, *fieldInstance) {
	return func(passed time.Duration, first *fieldInstance) {
		first.work, first.failing = fieldWork, 0
		if passed >= 10*time.Second && passed < 20*time.Second {
			first.work, first.failing = work, failing
		}
	}
}

// TestSpreaderField simulates 79 daemons before the instances of a group. An instance serves
// 266 reads per second.
func TestSpreaderField(t *testing.T) {
	t.Run("at half load nothing leaves the domain", func(t *testing.T) {
		is := is.New(t)
		lowest, fresh, late := play(t, field{rate: steady(133)}, near)
		is.True(fresh.away/fresh.reads < 0.01)
		is.True(late.away/late.reads < 0.025) // What remains are choices from before the reports.
		is.True(late.away < lowest.away)
	})
	t.Run("an overload settles", func(t *testing.T) {
		is := is.New(t)
		for _, rate := range []float64{400, 480} { // All of it comes from the first domain.
			_, fresh, late := play(t, field{rate: func(_ time.Duration, domain int) float64 { return rate * float64(1-domain) }}, near)
			for _, f := range []*field{fresh, late} {
				for _, in := range f.instances[:2] {
					usage := in.usage[8:]
					is.True(slices.Min(usage) > 0.4)
					is.True(slices.Max(usage)-slices.Min(usage) < 0.6)
				}
			}
		}
	})
	t.Run("waves with opposite phases have a shorter wait", func(t *testing.T) {
		is := is.New(t)
		lowest, fresh, _ := play(t, field{rate: waves(250, 150)}, near)
		is.True(fresh.wait/fresh.reads < lowest.wait/lowest.reads)
	})
	t.Run("a domain without instances uses all of its region", func(t *testing.T) {
		is := is.New(t)
		_, fresh, late := play(t, field{rate: steady(200)}, without)
		for _, f := range []*field{fresh, late} {
			for s := 8; s < 30; s++ {
				is.True(math.Abs(f.instances[0].usage[s]-f.instances[1].usage[s]) < 0.4)
			}
		}
	})
	t.Run("a slow instance is left and returned to", func(t *testing.T) {
		is := is.New(t)
		lowest, fresh, _ := play(t, field{rate: steady(150), change: fault(8*fieldWork, 0)}, near)
		is.True(fresh.wait/fresh.reads < lowest.wait/lowest.reads)
		is.True(slices.Min(fresh.instances[0].usage[27:]) > 0.3)
	})
	t.Run("a failing instance is left and returned to", func(t *testing.T) {
		is := is.New(t)
		lowest, fresh, _ := play(t, field{rate: steady(100), change: fault(fieldWork, 0.5)}, near)
		is.True(fresh.failed/fresh.reads < lowest.failed/lowest.reads/2)
		is.True(slices.Min(fresh.instances[0].usage[27:]) > 0.2)
	})
}
