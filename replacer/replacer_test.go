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
		Group: "g", Primary: "a", Term: 3, Replicas: []unit.InstanceName{"b", "c"},
		Revocation: settlement(2 * time.Second),
	}
}

// settlement is that of a daemon with two others. It waits for a lease when one of them
// has dropped the group.
func settlement(majority time.Duration) *authorizer.Revocation {
	a := authorizer.New("d-1", 1, authorizer.Config{Lease: time.Second, Majority: majority, Extension: 5 * time.Second})
	v := authorizer.View{Members: make(map[unit.DaemonID]authorizer.Member), Now: time.Minute}
	for _, d := range []unit.DaemonID{"d-1", "d-2", "d-3"} {
		v.Members[d] = authorizer.Member{Daemon: d, Incarnation: 1}
	}
	a.Confirm(v, 0)
	return a.BeginRevocation(0, 0)
}

// player drives a Replacer in virtual time.
type player struct {
	t       *testing.T
	r       *Replacer
	now     unit.Instant
	effects []Effect
}

func play(t *testing.T, p Plan) *player {
	r, effects := New(p, 0)
	return &player{t: t, r: r, effects: effects}
}

// step hands events over.
func (p *player) step(events ...Event) {
	for _, e := range events {
		p.effects = append(p.effects, p.r.Step(e, p.now)...)
	}
}

// pass lets time pass in ticks.
func (p *player) pass(d time.Duration) {
	for end := p.now.Add(d); p.now < end; p.now = p.now.Add(10 * time.Millisecond) {
		p.step(Tick{})
	}
}

// does checks that the effects so far are as given, and forgets them.
func (p *player) does(want ...Effect) {
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
	p := play(t, plan())
	p.does()
	p.step(Dropped{"d-2"})
	p.does()
	p.step(Dropped{"d-3"})
	p.does(StepDown{Term: 4}, survey)
	p.step(replica("b", pos(3, 10)))
	p.does() // The other one may have more.
	p.step(replica("c", pos(3, 11)))
	p.does(Promote{"c"})
	p.step(Promoted{"c", Accepted})
	p.does(Verify{"c"})
	p.step(Verified{Status{Instance: "c", Term: 3}})
	p.does()
	p.pass(2 * verifyPause)
	p.does(Verify{"c"})
	p.step(Verified{Status{Instance: "c", Primary: true, Term: 4}})
	p.does(Publish{Primary: "c", Term: 4})
	p.step(Published{Done: true})
	p.does(Stop{})
}

func TestSettling(t *testing.T) {
	t.Run("one that does not drop the group is waited for", func(t *testing.T) {
		p := play(t, plan())
		p.step(Dropped{"d-2"})
		p.pass(time.Second)
		p.does()
		p.pass(20 * time.Millisecond)
		p.does(StepDown{Term: 4}, survey)
	})
	t.Run("longer if the others may go on without the store", func(t *testing.T) {
		p := play(t, plan())
		p.pass(2 * time.Second)
		p.does()
		p.pass(20 * time.Millisecond)
		p.does(StepDown{Term: 4}, survey)
	})
	t.Run("a group without a primary has nobody to wait for", func(t *testing.T) {
		first := plan()
		first.Primary = ""
		p := play(t, first)
		p.does(survey)
	})
	t.Run("what a replica said before does not count", func(t *testing.T) {
		p := play(t, plan())
		p.step(replica("b", pos(3, 99)))
		p.step(Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.does(StepDown{Term: 4}, survey, Promote{"c"})
	})
}

// settled is a change whose primary nobody uses any more.
func settled(t *testing.T, change Plan) *player {
	p := play(t, change)
	p.step(Dropped{"d-2"}, Dropped{"d-3"})
	p.does(StepDown{Term: 4}, survey)
	return p
}

func TestChoosing(t *testing.T) {
	t.Run("a replica that does not answer is not waited for long", func(t *testing.T) {
		p := settled(t, plan())
		p.step(replica("b", pos(3, 10)))
		p.pass(surveyPatience + 20*time.Millisecond)
		p.does(Promote{"b"})
	})
	t.Run("none answers", func(t *testing.T) {
		p := settled(t, plan())
		p.pass(surveyPause + 20*time.Millisecond)
		p.does(survey)
	})
	t.Run("one that leads already by an earlier promotion goes first", func(t *testing.T) {
		p := settled(t, plan())
		p.step(Surveyed{Status{Instance: "b", Primary: true, Term: 4, Received: pos(3, 10)}}, replica("c", pos(3, 11)))
		p.does(Promote{"b"})
	})
	t.Run("the obsolete primary's word does not count as leading", func(t *testing.T) {
		p := settled(t, plan())
		p.step(Surveyed{Status{Instance: "b", Primary: true, Term: 3, Received: pos(3, 10)}}, replica("c", pos(3, 11)))
		p.does(Promote{"c"})
	})
	t.Run("a planned change waits for what the old primary has", func(t *testing.T) {
		planned := plan()
		planned.Planned = true
		p := play(t, planned)
		p.step(SteppedDown{pos(3, 12)}, Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.does(StepDown{Term: 4}, survey)
		p.pass(surveyPause/4 + 20*time.Millisecond)
		p.does(survey)
		p.step(replica("b", pos(3, 12)), replica("c", pos(3, 11)))
		p.does(Promote{"b"})
	})
	t.Run("but not for ever", func(t *testing.T) {
		planned := plan()
		planned.Planned = true
		p := play(t, planned)
		p.step(SteppedDown{pos(3, 12)}, Dropped{"d-2"}, Dropped{"d-3"})
		for p.now < unit.Instant(catchUpPatience+100*time.Millisecond) {
			p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
			p.pass(20 * time.Millisecond)
		}
		promoted := false
		for _, e := range p.effects {
			_, ok := e.(Promote)
			promoted = promoted || ok
		}
		is.New(t).True(promoted)
	})
}

func TestRegained(t *testing.T) {
	revocable := func() Plan {
		p := plan()
		p.Cancellable = true
		return p
	}
	t.Run("the change is called off", func(t *testing.T) {
		p := play(t, revocable())
		p.step(Dropped{"d-2"}, Recovered{})
		p.does(Publish{Primary: "a", Term: 3})
		p.step(Published{Done: true})
		p.does(Stop{Cancelled: true})
	})
	t.Run("it was told to step down", func(t *testing.T) {
		p := settled(t, revocable())
		p.step(replica("b", pos(3, 10)), Recovered{})
		p.does() // The row would name a replica.
	})
	t.Run("after a partition before another is promoted", func(t *testing.T) {
		long := revocable()
		long.Revocation = settlement(4 * time.Second)
		p := play(t, long)
		p.now = unit.Instant(partitionAge + 1)
		p.step(Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), Recovered{})
		p.does(survey, Publish{Primary: "a", Term: 3})
		p.step(Published{Done: true})
		p.does(Stop{Cancelled: true})
	})
	t.Run("too late", func(t *testing.T) {
		p := settled(t, revocable())
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.does(Promote{"c"})
		p.step(Recovered{}, Promoted{"c", NotRunning})
		p.does(survey)
		p.step(Recovered{})
		p.does()
	})
	t.Run("after a partition it is waited for", func(t *testing.T) {
		long := revocable()
		long.Revocation = settlement(4 * time.Second)
		p := play(t, long)
		p.now = unit.Instant(partitionAge + 1)
		p.step(Dropped{"d-2"}, Dropped{"d-3"}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.does(survey)
		p.pass(regainPatience + 20*time.Millisecond)
		p.does(StepDown{Term: 4}, Promote{"c"})
	})
	t.Run("another may have been promoted", func(t *testing.T) {
		taken := revocable()
		taken.Cancellable = false
		p := play(t, taken)
		p.step(Recovered{})
		p.does()
	})
}

func TestPromoting(t *testing.T) {
	promoting := func(t *testing.T) *player {
		p := settled(t, plan())
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.does(Promote{"c"})
		return p
	}
	t.Run("a lost answer: the same call again", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", Unknown})
		p.does()
		p.pass(promotePause + 20*time.Millisecond)
		p.does(Promote{"c"})
	})
	t.Run("not running: another instance", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", NotRunning})
		p.does(survey)
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.does(Promote{"b"})
	})
	t.Run("it never leads: look again", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", Accepted})
		for p.now < unit.Instant(verifyPatience+200*time.Millisecond) {
			p.step(Verified{Status{Instance: "c"}})
			p.pass(50 * time.Millisecond)
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
		p.pass(time.Second)
		p.does() // Nothing more is done.
	})
	t.Run("the outcome of the publication is not known: again", func(t *testing.T) {
		p := promoting(t)
		p.step(Promoted{"c", Accepted}, Verified{Status{Instance: "c", Primary: true, Term: 4}}, Published{})
		p.effects = nil
		p.pass(publishPause + 20*time.Millisecond)
		p.does(Publish{Primary: "c", Term: 4})
	})
	t.Run("it takes too long", func(t *testing.T) {
		is := is.New(t)
		p := promoting(t)
		p.pass(Timeout + 20*time.Millisecond)
		stop, ok := p.effects[len(p.effects)-1].(Stop)
		is.True(ok)
		is.True(stop.Err != nil)
	})
}

// TestAnyOrder feeds events in any order: no instance is promoted before the change
// is settled, and a change always ends.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(500) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 5))
			change := plan()
			change.Cancellable = seed%2 == 0
			p := play(t, change)
			dropped := make(map[unit.DaemonID]bool)
			promoted, toldOff, stopped := false, false, false
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
							is.True(!promoted && !toldOff) // It is the primary still.
						}
					case StepDown:
						toldOff = true
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
	is.Equal(Rank("c", "c", claimants), 0) // The holder,
	is.Equal(Rank("b", "c", claimants), 1) // the others by name,
	is.Equal(Rank("d", "c", claimants), 2)
	is.Equal(Rank("a", "c", claimants), 3) // and who would have to wait for long.
	is.Equal(Rank("a", "a", claimants), 3)
	is.Equal(Rank("x", "c", claimants), 4)
}
