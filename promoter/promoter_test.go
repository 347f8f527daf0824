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
	s := newSimulation(1, 3)
	s.run(2 * time.Second)
	expectWorking(t, s, 1)
}

func TestReplacesPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		inject func(s *simulation, g *target)
		limit  time.Duration
	}{
		"that crashed":   {func(_ *simulation, g *target) { g.down = true }, 600 * time.Millisecond},
		"that is paused": {func(_ *simulation, g *target) { g.paused = true }, 1200 * time.Millisecond},
		"that is partitioned from callers": {func(s *simulation, g *target) {
			for _, name := range s.names {
				g.unreachable[name] = true
			}
		}, 1500 * time.Millisecond},
		"that is partitioned from its replicas": {func(_ *simulation, g *target) {
			g.unreachable["a"], g.unreachable["b"], g.unreachable["c"] = true, true, true
		}, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(2, 2)
			s.run(2 * time.Second)
			old := s.primary()
			is.True(old != nil)
			term := old.term
			c.inject(s, old)
			s.run(c.limit)
			expectWorking(t, s, term+1)
			is.True(s.primary() != old)
		})
	}
}

func TestReturningPrimaryFollows(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, 2)
	s.run(2 * time.Second)
	old := s.primary()
	old.unreachable["a"], old.unreachable["b"], old.unreachable["c"] = true, true, true
	s.write(old)
	s.run(2 * time.Second)
	clear(old.unreachable)
	s.run(2 * time.Second)
	now := s.primary()
	is.True(now != old)
	is.Equal(old.role, instance.Replica)
	is.Equal(old.log, now.log) // The unconfirmed record was truncated.
}

func TestMinorityRequestsNoTerm(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4, 1)
	s.run(2 * time.Second)
	term := s.primary().term
	for _, g := range s.targets {
		g.unreachable["p0"] = g.name != "c"
	}
	s.run(5 * time.Second)
	for _, g := range s.targets {
		is.Equal(g.term, term)
	}
}

func TestRecoversTermWithoutPrimary(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5, 1)
	s.run(2 * time.Second)
	term := s.primary().term
	for _, g := range s.targets {
		g.grant(term+3, "a failed proposer")
	}
	s.run(3 * time.Second)
	is.True(s.primary() != nil)
	is.True(s.primary().term > term+3)
}

func TestPlannedChange(t *testing.T) {
	t.Run("moves to the target without losing the tail", func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(6, 1)
		s.run(2 * time.Second)
		old := s.primary()
		s.write(old)
		target := s.other(old)
		s.handle(0, promoter.ChangeRequested{Moment: s.moment(), Target: target.name})
		s.run(300 * time.Millisecond)
		is.Equal(len(s.ended), 1)
		is.NoErr(s.ended[0].Err)
		is.Equal(s.primary(), target)
		is.True(len(target.log) >= 3)
	})
	t.Run("waits until the target is known to follow", func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(6, 1)
		s.run(2 * time.Second)
		target := s.other(s.primary())
		target.unreachable["p0"] = true
		s.run(2 * time.Second)
		s.handle(0, promoter.ChangeRequested{Moment: s.moment(), Target: target.name})
		clear(target.unreachable)
		s.run(500 * time.Millisecond)
		is.Equal(len(s.ended), 1)
		is.NoErr(s.ended[0].Err)
		is.Equal(s.primary(), target)
	})
	t.Run("ends with an error and lifts the quiesce when the target lags", func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(7, 1)
		s.run(2 * time.Second)
		old := s.primary()
		target := s.other(old)
		target.unreachable[string(old.name)] = true
		s.write(old)
		s.handle(0, promoter.ChangeRequested{Moment: s.moment(), Target: target.name})
		s.run(1500 * time.Millisecond)
		is.Equal(len(s.ended), 1)
		is.True(s.ended[0].Err != nil)
		is.Equal(s.primary(), old)
		is.True(!old.quiesced)
	})
	t.Run("is begun for a leaving primary", func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(8, 1)
		s.run(2 * time.Second)
		old := s.primary()
		var members []promoter.Member
		for _, g := range s.targets {
			members = append(members, promoter.Member{Name: g.name, Leaving: g == old})
		}
		s.handle(0, promoter.Reconfigured{Moment: s.moment(), Members: members})
		s.run(time.Second)
		is.True(s.primary() != old)
	})
}

func TestJitterCausesNoPromotion(t *testing.T) {
	for _, detection := range []promoter.Detection{
		promoter.DefaultDetection,
		promoter.Fixed{Timeout: 250 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%T", detection), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(9, 3, promoter.WithDetection(detection))
			s.run(2 * time.Second)
			term := s.primary().term
			s.latency = func() time.Duration { return time.Duration(8+s.random.IntN(40)) * time.Millisecond }
			s.run(2 * time.Minute)
			is.Equal(s.primary().term, term)
		})
	}
}

// TestSafety runs several promoters on three instances with random faults. It
// checks after each call to an instance that no acknowledged write is lost (I1) and
// that no term has two primaries (I2).
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "promoters"))
		pick := func() *target { return s.targets[rapid.IntRange(0, 2).Draw(t, "instance")] }
		name := func() string {
			return rapid.SampledFrom(append([]string{"a", "b", "c"}, s.names...)).Draw(t, "peer")
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash or restart": func(*rapid.T) {
				g := pick()
				g.down = !g.down
			},
			"pause or resume": func(*rapid.T) {
				g := pick()
				g.paused = !g.paused
			},
			"cut or restore a link": func(*rapid.T) {
				g, n := pick(), name()
				g.unreachable[n] = !g.unreachable[n]
			},
			"heal": func(*rapid.T) { s.heal() },
			"equal or swapped ranks": func(t *rapid.T) {
				for i := range s.promoters {
					s.handle(i, promoter.Ranked{Moment: s.moment(), Rank: rapid.IntRange(0, 1).Draw(t, "rank")})
				}
			},
			"isolate the primary, which continues to write": func(*rapid.T) {
				if g := s.primary(); g != nil {
					s.isolate(g)
					for range 4 {
						s.write(g)
					}
					s.run(1500 * time.Millisecond)
				}
			},
			"write to all and confirm": func(*rapid.T) {
				for _, g := range s.targets {
					s.write(g)
				}
				s.run(30 * time.Millisecond)
			},
			"crash the primary as the others recover": func(*rapid.T) {
				g := s.primary()
				s.heal()
				if g != nil {
					g.down = true
				}
			},
			"change the latency": func(t *rapid.T) {
				limit := rapid.IntRange(1, 120).Draw(t, "milliseconds")
				s.latency = func() time.Duration { return time.Duration(1+s.random.IntN(limit)) * time.Millisecond }
			},
			"lose messages": func(*rapid.T) { s.dropMessages() },
			"write":         func(*rapid.T) { s.write(pick()) },
			"replicate":     func(*rapid.T) { s.replicate(pick()) },
			"grant to another proposer": func(*rapid.T) {
				g := pick()
				g.grant(g.term+1, "foreign")
			},
			"run": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if s.violation != "" {
					t.Fatal(s.violation)
				}
			},
		})
		s.heal()
		s.latency = usualLatency(s)
		s.run(9 * time.Second)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if s.primary() == nil {
			t.Fatal("no primary within nine seconds of the last fault")
		}
	})
}

// dropMessages drops a random half of the messages in flight. Timeouts stay.
func (s *simulation) dropMessages() {
	kept := s.queue[:0]
	for _, m := range s.queue {
		if m.timeout || s.random.IntN(2) == 0 {
			kept = append(kept, m)
		}
	}
	s.queue = kept
}

// heal restarts and resumes all instances and restores all links.
func (s *simulation) heal() {
	for _, g := range s.targets {
		g.down, g.paused = false, false
		clear(g.unreachable)
	}
}

// isolate makes the instance unreachable for all others and for the promoters.
func (s *simulation) isolate(g *target) {
	for _, name := range append([]string{"a", "b", "c"}, s.names...) {
		g.unreachable[name] = true
	}
}

func (s *simulation) other(than *target) *target {
	for _, g := range s.targets {
		if g != than {
			return g
		}
	}
	return nil
}

// expectWorking checks that the group has a primary in the term, that a write to it
// is acknowledged and that no invariant is violated.
func expectWorking(t *testing.T, s *simulation, term unit.Term) {
	t.Helper()
	is := is.New(t)
	g := s.primary()
	is.True(g != nil)
	is.Equal(g.term, term)
	is.Equal(s.violation, "")
	before := len(s.acknowledged)
	s.write(g)
	s.run(100 * time.Millisecond)
	is.Equal(len(s.acknowledged), before+1) // A write is acknowledged.
}
