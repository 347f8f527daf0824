package promoter_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"tarragonshed.example/promoter"
)

var full = flag.Bool("full", false, "compare the detections over 200 seeded runs of each fault and ten minutes of jitter")

// variant is one of the compared ways to detect that a primary has failed.
type variant struct {
	name      string
	detection promoter.Detection
	alive     time.Duration
}

var variants = []variant{
	{"fixed 250 ms", promoter.Fixed{Timeout: 250 * time.Millisecond}, 300 * time.Millisecond},
	{"fixed 120 ms", promoter.Fixed{Timeout: 120 * time.Millisecond}, 300 * time.Millisecond},
	{"fixed 120 ms, own evidence only", promoter.Fixed{Timeout: 120 * time.Millisecond}, 0},
	{"accrual from 120 ms", promoter.DefaultDetection, 300 * time.Millisecond},
	{"accrual from 120 ms, own evidence only", promoter.DefaultDetection, 0},
	{"accrual from 60 ms", promoter.Accrual{Deviations: 8, Floor: 60 * time.Millisecond, Ceiling: 250 * time.Millisecond}, 300 * time.Millisecond},
}

func (v variant) simulation(seed uint64) *simulation {
	timing := promoter.DefaultTiming
	timing.AliveDelay = v.alive
	s := newSimulation(seed, 3, promoter.WithDetection(v.detection), promoter.WithTiming(timing))
	s.run(3 * time.Second)
	return s
}

// gaps returns, for each of a number of seeded runs, the time from a fault of the
// primary until a majority confirmed the next primary, in ascending order.
func (v variant) gaps(runs int, inject func(s *simulation, g *target)) []time.Duration {
	var gaps []time.Duration
	for seed := range runs {
		s := v.simulation(uint64(seed))
		s.run(time.Duration(s.random.IntN(500)) * time.Millisecond)
		old := s.primary()
		inject(s, old)
		start := s.now
		for !s.confirmed(old) && s.now.Sub(start) < 20*time.Second {
			s.run(time.Millisecond)
		}
		gaps = append(gaps, s.now.Sub(start))
	}
	slices.Sort(gaps)
	return gaps
}

// confirmed reports whether a majority holds a record of the term of a primary
// other than the old one.
func (s *simulation) confirmed(old *target) bool {
	g := s.primary()
	if g == nil || g == old {
		return false
	}
	for _, f := range s.targets {
		if f != g && f.term == g.term && f.last().Term == g.term {
			return true
		}
	}
	return false
}

// falsePromotions counts the terms that were started over the period d without a
// fault, at a latency of up to five times the usual one. With spikes, one message
// in fifty takes up to 300 ms longer.
func (v variant) falsePromotions(seed uint64, d time.Duration, spikes bool) int {
	s := v.simulation(seed)
	term := s.primary().term
	s.latency = func() time.Duration {
		latency := time.Duration(8+s.random.IntN(38)) * time.Millisecond
		if spikes && s.random.IntN(50) == 0 {
			latency += time.Duration(s.random.IntN(300)) * time.Millisecond
		}
		return latency
	}
	s.run(d)
	last := term
	for _, g := range s.targets {
		last = max(last, g.term)
	}
	return int(last - term)
}

func TestDetection(t *testing.T) {
	runs, jitterPeriod := 6, 30*time.Second
	if *full {
		runs, jitterPeriod = 200, 10*time.Minute
	}
	crash := func(_ *simulation, g *target) { g.down = true }
	pause := func(_ *simulation, g *target) { g.paused = true }
	partition := func(s *simulation, g *target) { s.isolate(g) }
	stall := func(_ *simulation, g *target) {
		g.unreachable["a"], g.unreachable["b"], g.unreachable["c"] = true, true, true
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			line := ""
			for _, c := range []struct {
				name   string
				inject func(*simulation, *target)
				limit  time.Duration
			}{{"crash", crash, 500 * time.Millisecond}, {"pause", pause, 1500 * time.Millisecond}, {"partition", partition, 1500 * time.Millisecond}, {"stall", stall, 2 * time.Second}} {
				gaps := v.gaps(runs, c.inject)
				line += fmt.Sprintf("%s %v/%v ", c.name, gaps[len(gaps)/2], gaps[len(gaps)-1])
				is.True(gaps[len(gaps)-1] <= c.limit) // The gap is within its limit.
			}
			jitter, spikes := v.falsePromotions(1, jitterPeriod, false), v.falsePromotions(2, jitterPeriod, true)
			t.Logf("median/maximum gap: %sfalse promotions: jitter %d, spikes %d", line, jitter, spikes)
			if v.detection == promoter.DefaultDetection && v.alive > 0 {
				is.Equal(jitter+spikes, 0) // No false promotion.
			}
		})
	}
}
