package promoter_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
	"tarragonshed.example/instance"
	"tarragonshed.example/promoter"
	"tarragonshed.example/unit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func TestElectsFirstPrimary(t *testing.T) {
	w := newWorld(1, 3)
	w.run(2 * time.Second)
	expectWorking(t, w, 1)
}

func TestReplacesPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		strike func(w *world, g *target)
		limit  time.Duration
	}{
		"that crashed":   {func(_ *world, g *target) { g.down = true }, 600 * time.Millisecond},
		"that is paused": {func(_ *world, g *target) { g.paused = true }, 1200 * time.Millisecond},
		"that callers are cut from": {func(w *world, g *target) {
			for _, name := range w.names {
				g.cut[name] = true
			}
		}, 1500 * time.Millisecond},
		"that is cut from its replicas": {func(_ *world, g *target) {
			g.cut["a"], g.cut["b"], g.cut["c"] = true, true, true
		}, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2, 2)
			w.run(2 * time.Second)
			old := w.primary()
			is.True(old != nil)
			term := old.term
			c.strike(w, old)
			w.run(c.limit)
			expectWorking(t, w, term+1)
			is.True(w.primary() != old)
		})
	}
}

func TestReturningPrimaryFollows(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 2)
	w.run(2 * time.Second)
	old := w.primary()
	old.cut["a"], old.cut["b"], old.cut["c"] = true, true, true
	w.write(old)
	w.run(2 * time.Second)
	clear(old.cut)
	w.run(2 * time.Second)
	now := w.primary()
	is.True(now != old)
	is.Equal(old.role, instance.Replica)
	is.Equal(old.log, now.log) // The tail was dropped.
}

func TestMinorityRequestsNoTerm(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 1)
	w.run(2 * time.Second)
	term := w.primary().term
	for _, g := range w.targets {
		g.cut["p0"] = g.name != "c"
	}
	w.run(5 * time.Second)
	for _, g := range w.targets {
		is.Equal(g.term, term)
	}
}

func TestRecoversTermLeftBehind(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 1)
	w.run(2 * time.Second)
	term := w.primary().term
	for _, g := range w.targets {
		g.grant(term+3, "a proposer that died")
	}
	w.run(3 * time.Second)
	is.True(w.primary() != nil)
	is.True(w.primary().term > term+3)
}

func TestPlannedChange(t *testing.T) {
	t.Run("moves to the target without losing the tail", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(6, 1)
		w.run(2 * time.Second)
		old := w.primary()
		w.write(old)
		target := w.other(old)
		w.handle(0, promoter.ChangeRequested{Moment: w.moment(), Target: target.name})
		w.run(300 * time.Millisecond)
		is.Equal(len(w.ended), 1)
		is.NoErr(w.ended[0].Err)
		is.Equal(w.primary(), target)
		is.True(len(target.log) >= 3)
	})
	t.Run("waits until the target is known to follow", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(6, 1)
		w.run(2 * time.Second)
		target := w.other(w.primary())
		target.cut["p0"] = true
		w.run(2 * time.Second)
		w.handle(0, promoter.ChangeRequested{Moment: w.moment(), Target: target.name})
		clear(target.cut)
		w.run(500 * time.Millisecond)
		is.Equal(len(w.ended), 1)
		is.NoErr(w.ended[0].Err)
		is.Equal(w.primary(), target)
	})
	t.Run("gives up and lifts the quiet when the target lags", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(7, 1)
		w.run(2 * time.Second)
		old := w.primary()
		target := w.other(old)
		target.cut[string(old.name)] = true
		w.write(old)
		w.handle(0, promoter.ChangeRequested{Moment: w.moment(), Target: target.name})
		w.run(1500 * time.Millisecond)
		is.Equal(len(w.ended), 1)
		is.True(w.ended[0].Err != nil)
		is.Equal(w.primary(), old)
		is.True(!old.quiesced)
	})
	t.Run("is begun for a leaving primary", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(8, 1)
		w.run(2 * time.Second)
		old := w.primary()
		var members []promoter.Member
		for _, g := range w.targets {
			members = append(members, promoter.Member{Name: g.name, Leaving: g == old})
		}
		w.handle(0, promoter.Reconfigured{Moment: w.moment(), Members: members})
		w.run(time.Second)
		is.True(w.primary() != old)
	})
}

func TestJitterCausesNoPromotion(t *testing.T) {
	for _, detection := range []promoter.Detection{
		promoter.DefaultDetection,
		promoter.Fixed{Timeout: 250 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%T", detection), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(9, 3, promoter.WithDetection(detection))
			w.run(2 * time.Second)
			term := w.primary().term
			w.latency = func() time.Duration { return time.Duration(8+w.random.IntN(40)) * time.Millisecond }
			w.run(2 * time.Minute)
			is.Equal(w.primary().term, term)
		})
	}
}

// TestSafety lets several promoters work on three instances through random
// faults and checks I1 and I2 after each step of an instance.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "promoters"))
		pick := func() *target { return w.targets[rapid.IntRange(0, 2).Draw(t, "instance")] }
		name := func() string {
			return rapid.SampledFrom(append([]string{"a", "b", "c"}, w.names...)).Draw(t, "peer")
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash or restart": func(*rapid.T) {
				g := pick()
				g.down = !g.down
			},
			"pause or wake": func(*rapid.T) {
				g := pick()
				g.paused = !g.paused
			},
			"cut or join": func(*rapid.T) {
				g, n := pick(), name()
				g.cut[n] = !g.cut[n]
			},
			"heal": func(*rapid.T) { w.heal() },
			"duel": func(t *rapid.T) {
				for i := range w.promoters {
					w.handle(i, promoter.Ranked{Moment: w.moment(), Rank: rapid.IntRange(0, 1).Draw(t, "rank")})
				}
			},
			"isolate the primary, which goes on writing": func(*rapid.T) {
				if g := w.primary(); g != nil {
					w.isolate(g)
					for range 4 {
						w.write(g)
					}
					w.run(1500 * time.Millisecond)
				}
			},
			"write to all and confirm": func(*rapid.T) {
				for _, g := range w.targets {
					w.write(g)
				}
				w.run(30 * time.Millisecond)
			},
			"crash the primary as the others return": func(*rapid.T) {
				g := w.primary()
				w.heal()
				if g != nil {
					g.down = true
				}
			},
			"change the latency": func(t *rapid.T) {
				limit := rapid.IntRange(1, 120).Draw(t, "milliseconds")
				w.latency = func() time.Duration { return time.Duration(1+w.random.IntN(limit)) * time.Millisecond }
			},
			"lose":      func(*rapid.T) { w.lose() },
			"write":     func(*rapid.T) { w.write(pick()) },
			"replicate": func(*rapid.T) { w.replicate(pick()) },
			"foreign grant": func(*rapid.T) {
				g := pick()
				g.grant(g.term+1, "foreign")
			},
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if w.fault != "" {
					t.Fatal(w.fault)
				}
			},
		})
		w.heal()
		w.latency = usualLatency(w)
		w.run(9 * time.Second)
		if w.fault != "" {
			t.Fatal(w.fault)
		}
		if w.primary() == nil {
			t.Fatal("no primary within nine seconds of the last fault")
		}
	})
}

// lose drops a random half of the messages under way.
func (w *world) lose() {
	kept := w.queue[:0]
	for _, m := range w.queue {
		if m.timeout || w.random.IntN(2) == 0 {
			kept = append(kept, m)
		}
	}
	w.queue = kept
}

func (w *world) heal() {
	for _, g := range w.targets {
		g.down, g.paused = false, false
		clear(g.cut)
	}
}

// isolate cuts the instance from all others and from the promoters.
func (w *world) isolate(g *target) {
	for _, name := range append([]string{"a", "b", "c"}, w.names...) {
		g.cut[name] = true
	}
}

func (w *world) other(than *target) *target {
	for _, g := range w.targets {
		if g != than {
			return g
		}
	}
	return nil
}

func expectWorking(t *testing.T, w *world, term unit.Term) {
	t.Helper()
	is := is.New(t)
	g := w.primary()
	is.True(g != nil)
	is.Equal(g.term, term)
	is.Equal(w.fault, "")
	before := len(w.acknowledged)
	w.write(g)
	w.run(100 * time.Millisecond)
	is.Equal(len(w.acknowledged), before+1) // A write is acknowledged.
}
