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

// variant is one way to detect that a primary is silent.
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

func (v variant) world(seed uint64) *world {
	timing := promoter.DefaultTiming
	timing.AliveDelay = v.alive
	w := newWorld(seed, 3, promoter.WithDetection(v.detection), promoter.WithTiming(timing))
	w.run(3 * time.Second)
	return w
}

// gaps returns how long it took in each of a number of seeded runs until a
// majority confirmed the next primary, shortest first.
func (v variant) gaps(runs int, strike func(w *world, g *target)) []time.Duration {
	var gaps []time.Duration
	for seed := range runs {
		w := v.world(uint64(seed))
		w.run(time.Duration(w.random.IntN(500)) * time.Millisecond)
		old := w.primary()
		strike(w, old)
		start := w.now
		for !w.confirmed(old) && w.now.Sub(start) < 20*time.Second {
			w.run(time.Millisecond)
		}
		gaps = append(gaps, w.now.Sub(start))
	}
	slices.Sort(gaps)
	return gaps
}

// confirmed reports whether a primary other than the old one has a record of its
// term on a majority.
func (w *world) confirmed(old *target) bool {
	g := w.primary()
	if g == nil || g == old {
		return false
	}
	for _, f := range w.targets {
		if f != g && f.term == g.term && f.last().Term == g.term {
			return true
		}
	}
	return false
}

// falsePromotions counts the terms that were begun while nothing was wrong but
// latency at five times the normal one, or more now and then.
func (v variant) falsePromotions(seed uint64, d time.Duration, spikes bool) int {
	w := v.world(seed)
	term := w.primary().term
	w.latency = func() time.Duration {
		latency := time.Duration(8+w.random.IntN(38)) * time.Millisecond
		if spikes && w.random.IntN(50) == 0 {
			latency += time.Duration(w.random.IntN(300)) * time.Millisecond
		}
		return latency
	}
	w.run(d)
	last := term
	for _, g := range w.targets {
		last = max(last, g.term)
	}
	return int(last - term)
}

func TestDetection(t *testing.T) {
	runs, quiet := 6, 30*time.Second
	if *full {
		runs, quiet = 200, 10*time.Minute
	}
	crash := func(_ *world, g *target) { g.down = true }
	pause := func(_ *world, g *target) { g.paused = true }
	cut := func(w *world, g *target) { w.isolate(g) }
	stall := func(_ *world, g *target) { g.cut["a"], g.cut["b"], g.cut["c"] = true, true, true }
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			line := ""
			for _, c := range []struct {
				name   string
				strike func(*world, *target)
				limit  time.Duration
			}{{"crash", crash, 500 * time.Millisecond}, {"pause", pause, 1500 * time.Millisecond}, {"cut", cut, 1500 * time.Millisecond}, {"stall", stall, 2 * time.Second}} {
				gaps := v.gaps(runs, c.strike)
				line += fmt.Sprintf("%s %v/%v ", c.name, gaps[len(gaps)/2], gaps[len(gaps)-1])
				is.True(gaps[len(gaps)-1] <= c.limit) // The gap is within its limit.
			}
			jitter, spikes := v.falsePromotions(1, quiet, false), v.falsePromotions(2, quiet, true)
			t.Logf("median/maximum gap: %sfalse promotions: jitter %d, spikes %d", line, jitter, spikes)
			if v.detection == promoter.DefaultDetection && v.alive > 0 {
				is.Equal(jitter+spikes, 0) // No false promotion.
			}
		})
	}
}
