package replacer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

func pos(term unit.Term, index unit.Index) unit.Position {
	return unit.Position{Term: term, Index: index}
}

func plan() Plan {
	return Plan{
		Group: "g", Primary: "a", Term: 3, Roster: Roster{Replicas: []unit.InstanceName{"b", "c"}},
		Revocation: revocation(2 * time.Second),
	}
}

// revocation returns the revocation for a daemon with two others. It completes one lease
// after one of them has dropped the group.
func revocation(majority time.Duration) *authorizer.Revocation {
	a := authorizer.New("d-1", 1, authorizer.Config{Lease: time.Second, Majority: majority, Extension: 5 * time.Second})
	v := authorizer.View{Members: make(map[unit.DaemonID]authorizer.Member), Now: time.Minute}
	for _, d := range []unit.DaemonID{"d-1", "d-2", "d-3"} {
		v.Members[d] = authorizer.Member{Daemon: d, Incarnation: 1}
	}
	a.Confirm(v, 0)
	return a.BeginRevocation(0, 0)
}

// harness drives a Replacer in virtual time.
type harness struct {
	t       *testing.T
	r       *Replacer
	now     unit.Instant
	effects []Effect
}

func newHarness(t *testing.T, p Plan) *harness {
	r, effects := New(p, 0)
	return &harness{t: t, r: r, effects: effects}
}

// step passes events to the Replacer.
func (p *harness) step(events ...Event) {
	for _, e := range events {
		p.effects = append(p.effects, p.r.Step(e, p.now)...)
	}
}

// advance advances the time in ticks.
func (p *harness) advance(d time.Duration) {
	for end := p.now.Add(d); p.now < end; p.now = p.now.Add(10 * time.Millisecond) {
		p.step(Tick{})
	}
}

// expect checks the effects since the last call.
func (p *harness) expect(want ...Effect) {
	p.t.Helper()
	is := is.NewRelaxed(p.t)
	is.Equal(p.effects, want)
	p.effects = nil
}

var survey = Survey{Instances: []unit.InstanceName{"b", "c"}}

func replica(name unit.InstanceName, received unit.Position) Surveyed {
	return Surveyed{Status{Instance: name, Received: received, Term: 3}}
}

func TestChange(t *testing.T) {
	p := newHarness(t, plan())
	p.expect()
	p.step(Dropped{"d-2"})
	p.expect()
	p.step(Dropped{"d-3"})
	p.expect(StepDown{Term: 4}, survey)
	p.step(replica("b", pos(3, 10)))
	p.expect() // The other one may have received more.
	p.step(replica("c", pos(3, 11)))
	p.expect(Promote{"c"})
	p.step(Promoted{"c", Accepted})
	p.expect(Verify{"c"})
	p.step(Verified{Status{Instance: "c", Term: 3}})
	p.expect()
	p.advance(2 * verifyInterval)
	p.expect(Verify{"c"})
	p.step(Verified{Status{Instance: "c", Primary: true, Term: 4}})
	p.expect(Publish{Primary: "c", Term: 4})
	p.step(Published{Done: true})
	p.expect(Stop{})
}

func TestRevocation(t *testing.T) {
	t.Run("a daemon that does not drop the group delays the change", func(t *testing.T) {
		p := newHarness(t, plan())
		p.step(Dropped{"d-2"})
		p.advance(time.Second)
		p.expect()
		p.advance(20 * time.Millisecond)
		p.expect(StepDown{Term: 4}, survey)
	})
	t.Run("the change waits longer if the others may be a majority", func(t *testing.T) {
		p := newHarness(t, plan())
		p.advance(2 * time.Second)
		p.expect()
		p.advance(20 * time.Millisecond)
		p.expect(StepDown{Term: 4}, survey)
	})
	t.Run("a group without a primary needs no revocation", func(t *testing.T) {
		first := plan()
		first.Primary = ""
		p := newHarness(t, first)
		p.expect(survey)
	})
	t.Run("an earlier status of a replica does not count", func(t *testing.T) {
		p := newHarness(t, plan())
		p.step(replica("b", pos(3, 99)))
		p.step(Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(StepDown{Term: 4}, survey, Promote{"c"})
	})
}

// revoked returns a change whose old primary may not be used any more.
func revoked(t *testing.T, change Plan) *harness {
	p := newHarness(t, change)
	p.step(Dropped{"d-2"}, Dropped{"d-3"})
	p.expect(StepDown{Term: 4}, survey)
	return p
}

func TestChoosing(t *testing.T) {
	t.Run("a replica does not respond", func(t *testing.T) {
		p := revoked(t, plan())
		p.step(replica("b", pos(3, 10)))
		p.advance(surveyTimeout + 20*time.Millisecond)
		p.expect(Promote{"b"})
	})
	t.Run("no replica responds", func(t *testing.T) {
		p := revoked(t, plan())
		p.advance(surveyInterval + 20*time.Millisecond)
		p.expect(survey)
	})
	t.Run("a replica that already leads takes precedence", func(t *testing.T) {
		p := revoked(t, plan())
		p.step(Surveyed{Status{Instance: "b", Primary: true, Term: 4, Received: pos(3, 10)}}, replica("c", pos(3, 11)))
		p.expect(Promote{"b"})
	})
	t.Run("a primary of the old term does not count as leading", func(t *testing.T) {
		p := revoked(t, plan())
		p.step(Surveyed{Status{Instance: "b", Primary: true, Term: 3, Received: pos(3, 10)}}, replica("c", pos(3, 11)))
		p.expect(Promote{"c"})
	})
	t.Run("a planned change waits until a replica has caught up", func(t *testing.T) {
		planned := plan()
		planned.Planned = true
		p := newHarness(t, planned)
		p.step(SteppedDown{pos(3, 12)}, Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(StepDown{Term: 4}, survey)
		p.advance(surveyInterval/4 + 20*time.Millisecond)
		p.expect(survey)
		p.step(replica("b", pos(3, 12)), replica("c", pos(3, 11)))
		p.expect(Promote{"b"})
	})
	t.Run("a planned change does not wait forever", func(t *testing.T) {
		planned := plan()
		planned.Planned = true
		p := newHarness(t, planned)
		p.step(SteppedDown{pos(3, 12)}, Dropped{"d-2"}, Dropped{"d-3"})
		for p.now < unit.Instant(catchUpTimeout+100*time.Millisecond) {
			p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
			p.advance(20 * time.Millisecond)
		}
		promoted := false
		for _, e := range p.effects {
			_, ok := e.(Promote)
			promoted = promoted || ok
		}
		is.New(t).True(promoted)
	})
}

// TestVoluntaryChange checks that a change that nothing requires loses no write.
func TestVoluntaryChange(t *testing.T) {
	voluntary := func(t *testing.T) *harness {
		p := plan()
		p.Planned, p.Voluntary = true, true
		h := newHarness(t, p)
		h.step(Dropped{"d-2"}, Dropped{"d-3"})
		h.expect(StepDown{Term: 4}, survey)
		return h
	}
	t.Run("a replica that has received all writes", func(t *testing.T) {
		p := voluntary(t)
		p.step(SteppedDown{pos(3, 12)}, replica("b", pos(3, 12)), replica("c", pos(3, 11)))
		p.expect(Promote{"b"})
	})
	t.Run("the old primary is promoted again if no replica has", func(t *testing.T) {
		p := voluntary(t)
		p.step(SteppedDown{pos(3, 12)})
		for p.now < unit.Instant(catchUpTimeout) {
			p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
			p.advance(10 * time.Millisecond)
		}
		p.effects = nil
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(Promote{"a"})
		p.step(Promoted{"a", NotRunning}) // It has crashed since.
		p.expect(survey)
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(Promote{"c"})
	})
	t.Run("the request to step down is repeated", func(t *testing.T) {
		p := voluntary(t)
		p.step(replica("b", pos(3, 12)), replica("c", pos(3, 12)))
		p.expect()
		p.advance(surveyInterval + 20*time.Millisecond)
		p.expect(StepDown{Term: 4}, survey)
	})
	t.Run("a primary that does not respond is replaced", func(t *testing.T) {
		p := voluntary(t)
		for p.now < unit.Instant(stepDownTimeout) {
			p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
			p.advance(10 * time.Millisecond)
		}
		p.effects = nil
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(Promote{"c"})
	})
}

func TestRecovered(t *testing.T) {
	cancellable := func() Plan {
		p := plan()
		p.Cancellable = true
		return p
	}
	t.Run("the change is cancelled", func(t *testing.T) {
		p := newHarness(t, cancellable())
		p.step(Dropped{"d-2"}, Recovered{})
		p.expect(Publish{Primary: "a", Term: 3})
		p.step(Published{Done: true})
		p.expect(Stop{Cancelled: true})
	})
	t.Run("the old primary was requested to step down", func(t *testing.T) {
		p := revoked(t, cancellable())
		p.step(replica("b", pos(3, 10)), Recovered{})
		p.expect() // The row must name a replica.
	})
	t.Run("the change is cancelled after a partition", func(t *testing.T) {
		long := cancellable()
		long.Revocation = revocation(4 * time.Second)
		p := newHarness(t, long)
		p.now = unit.Instant(partitionThreshold + 1)
		p.step(Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), Recovered{})
		p.expect(survey, Publish{Primary: "a", Term: 3})
		p.step(Published{Done: true})
		p.expect(Stop{Cancelled: true})
	})
	t.Run("a promotion has been requested", func(t *testing.T) {
		p := revoked(t, cancellable())
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(Promote{"c"})
		p.step(Recovered{}, Promoted{"c", NotRunning})
		p.expect(survey)
		p.step(Recovered{})
		p.expect()
	})
	t.Run("the change waits for the old primary after a partition", func(t *testing.T) {
		long := cancellable()
		long.Revocation = revocation(4 * time.Second)
		p := newHarness(t, long)
		p.now = unit.Instant(partitionThreshold + 1)
		p.step(Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(survey)
		p.advance(recoveryTimeout + 20*time.Millisecond)
		p.expect(StepDown{Term: 4}, Promote{"c"})
	})
	t.Run("another instance may have been promoted", func(t *testing.T) {
		taken := cancellable()
		taken.Cancellable = false
		p := newHarness(t, taken)
		p.step(Recovered{})
		p.expect()
	})
}

// TestSuccessorOfSameTerm has an instance that took the place of the old primary and reports to
// lead its term. The platform accepts its promotion and changes nothing.
func TestSuccessorOfSameTerm(t *testing.T) {
	successor := func(received unit.Position) Surveyed {
		return Surveyed{Status: Status{Instance: "b", Primary: true, Term: 3, Received: received}}
	}
	t.Run("a replica that has received as much is promoted", func(t *testing.T) {
		p := newHarness(t, plan())
		p.step(Dropped{Daemon: "d-2"}, Dropped{Daemon: "d-3"})
		p.effects = nil
		p.step(successor(pos(3, 7)), replica("c", pos(3, 7)))
		p.expect(Promote{Instance: "c"})
	})
	t.Run("a replica is promoted after the promotion had no effect", func(t *testing.T) {
		p := newHarness(t, plan())
		p.step(Dropped{Daemon: "d-2"}, Dropped{Daemon: "d-3"})
		p.step(successor(pos(3, 8)), replica("c", pos(3, 7)))
		p.step(Promoted{Instance: "b"})
		p.effects = nil
		p.advance(verifyTimeout + time.Second)
		p.step(successor(pos(3, 8)), replica("c", pos(3, 7)))
		is.New(t).Equal(p.effects[len(p.effects)-1], Promote{Instance: "c"})
	})
}

func TestPromoting(t *testing.T) {
	promoting := func(t *testing.T) *harness {
		p := revoked(t, plan())
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(Promote{"c"})
		return p
	}
	t.Run("an unknown outcome: the call is retried", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", Unknown})
		p.expect()
		p.advance(promoteRetryInterval + 20*time.Millisecond)
		p.expect(Promote{"c"})
	})
	t.Run("not running: another instance is promoted", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", NotRunning})
		p.expect(survey)
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expect(Promote{"b"})
	})
	t.Run("the instance never leads: the replicas are surveyed again", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", Accepted})
		for p.now < unit.Instant(verifyTimeout+200*time.Millisecond) {
			p.step(Verified{Status{Instance: "c"}})
			p.advance(50 * time.Millisecond)
		}
		is.New(t).Equal(p.effects[len(p.effects)-1], survey)
	})
	t.Run("another daemon has taken over", func(t *testing.T) {
		is := is.New(t)
		p := promoting(t)
		p.step(Promoted{"c", Accepted}, Verified{Status{Instance: "c", Primary: true, Term: 4}}, Published{Refused: true})
		stop, ok := p.effects[len(p.effects)-1].(Stop)
		is.True(ok)
		is.True(stop.Err != nil)
		p.effects = nil
		p.advance(time.Second)
		p.expect() // No further effects.
	})
	t.Run("an unknown outcome of the publication: it is retried", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", Accepted}, Verified{Status{Instance: "c", Primary: true, Term: 4}}, Published{})
		p.effects = nil
		p.advance(publishRetryInterval + 20*time.Millisecond)
		p.expect(Publish{Primary: "c", Term: 4})
	})
	t.Run("the change times out", func(t *testing.T) {
		is := is.New(t)
		p := promoting(t)
		p.advance(Timeout + 20*time.Millisecond)
		stop, ok := p.effects[len(p.effects)-1].(Stop)
		is.True(ok)
		is.True(stop.Err != nil)
	})
}

// TestAnyOrder passes events in random order: no instance is promoted before the revocation
// is complete, the old primary is not restored after a step-down or a promotion, and every
// change ends.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(500) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 5))
			change := plan()
			change.Cancellable = seed%2 == 0
			p := newHarness(t, change)
			dropped := make(map[unit.DaemonID]bool)
			promoted, steppedDown, stopped := false, false, false
			for !stopped && p.now < unit.Instant(Timeout+time.Minute) {
				names := []unit.InstanceName{"a", "b", "c"}
				name := names[random.IntN(len(names))]
				status := Status{
					Instance: name, Primary: random.IntN(3) == 0, Term: unit.Term(3 + random.IntN(2)),
					Received: pos(3, unit.Index(random.IntN(20))),
				}
				events := []Event{
					Tick{},
					Dropped{"d-2"},
					Dropped{"d-3"},
					Surveyed{status},
					Verified{status},
					Promoted{name, PromotionResult(random.IntN(3))},
					Published{},
					SteppedDown{pos(3, 9)},
					Recovered{},
				}
				event := events[random.IntN(len(events))]
				if d, ok := event.(Dropped); ok {
					dropped[d.Daemon] = true
				}
				for _, e := range p.r.Step(event, p.now) {
					switch e := e.(type) {
					case Publish:
						if e.Primary == "a" {
							is.True(!promoted && !steppedDown) // It is still the primary.
						}
					case StepDown:
						steppedDown = true
					case Promote:
						promoted = true
						is.True(len(dropped) == 2 || p.now >= unit.Instant(time.Second))
						is.True(e.Instance != "a")
					case Stop:
						stopped = true
					}
				}
				p.now = p.now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			is.True(stopped)
		})
	}
}

func TestRank(t *testing.T) {
	is := is.New(t)
	claimants := []Claimant{{Daemon: "c"}, {Daemon: "a", RecentlyListed: true}, {Daemon: "b"}, {Daemon: "d"}}
	is.Equal(Rank("c", "c", claimants), 0) // The duty holder,
	is.Equal(Rank("b", "c", claimants), 1) // the others by name,
	is.Equal(Rank("d", "c", claimants), 2)
	is.Equal(Rank("a", "c", claimants), 3) // and a daemon whose change would have to wait longer.
	is.Equal(Rank("a", "a", claimants), 3)
	is.Equal(Rank("x", "c", claimants), 4)
}
