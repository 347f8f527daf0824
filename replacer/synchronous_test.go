package replacer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

// synchronousPlan returns a plan for a group with one synchronous replica.
func synchronousPlan() Plan {
	p := plan()
	p.Synchronous = 1
	return p
}

// promotions returns the instances that were to be promoted since the last call.
func (p *harness) promotions() []unit.InstanceName {
	var names []unit.InstanceName
	for _, e := range p.effects {
		if e, ok := e.(Promote); ok {
			names = append(names, e.Instance)
		}
	}
	p.effects = nil
	return names
}

// expectPromotions checks the instances that were to be promoted since the last call.
func (p *harness) expectPromotions(want ...unit.InstanceName) {
	p.t.Helper()
	is := is.NewRelaxed(p.t)
	is.Equal(p.promotions(), want)
}

// withAuthorityEnded returns a change whose old primary may not be used any more. The daemon d-2
// has reported the acknowledged position.
func withAuthorityEnded(t *testing.T, change Plan, acknowledged unit.Position) *harness {
	p := newHarness(t, change)
	p.step(Reported{"d-2", acknowledged}, Dropped{"d-2"}, Dropped{"d-3"})
	return p
}

// TestBusySynchronousReplicaIsAwaited guards against the loss of acknowledged writes: the only
// replica that had received them was too busy to report its status, and another one was promoted
// (review/2).
func TestBusySynchronousReplicaIsAwaited(t *testing.T) {
	p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
	p.step(replica("b", pos(3, 10)))
	p.advance(2 * time.Second)
	p.expectPromotions()
	p.step(replica("c", pos(3, 20)))
	p.expectPromotions("c")
}

func TestSynchronous(t *testing.T) {
	t.Run("the instances are asked again", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(replica("b", pos(3, 10)))
		p.effects = nil
		p.advance(synchronousSurveyTimeout + surveyInterval)
		is := is.New(t)
		is.True(len(p.effects) >= 3)
		for _, e := range p.effects {
			is.Equal(e, Survey{Instances: []unit.InstanceName{"b", "c", "a"}})
		}
	})
	t.Run("a replica with all reported writes is promoted without the others", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 10))
		p.step(Reported{"d-3", pos(3, 9)}, replica("b", pos(3, 10)))
		p.advance(synchronousSurveyTimeout - 10*time.Millisecond)
		p.expectPromotions()
		p.advance(20 * time.Millisecond)
		p.expectPromotions("b")
		is.New(t).True(!p.r.Unproven())
	})
	t.Run("a write that one daemon reports is not lost", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(Reported{"d-3", pos(3, 9)}, replica("b", pos(3, 10)))
		p.advance(lossTimeout - 10*time.Millisecond)
		p.expectPromotions()
		p.advance(20 * time.Millisecond)
		p.expectPromotions("b")
		is.New(t).True(p.r.Unproven())
	})
	t.Run("a daemon did not report: the group waits for a shorter time", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 10))
		p.step(replica("b", pos(3, 10)))
		p.advance(unprovenTimeout - 10*time.Millisecond)
		p.expectPromotions()
		p.advance(20 * time.Millisecond)
		p.expectPromotions("b")
		is.New(t).True(p.r.Unproven())
	})
	t.Run("a daemon did not report, but another one reports a write that is missing", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(replica("b", pos(3, 10)))
		p.advance(lossTimeout - 10*time.Millisecond)
		p.expectPromotions()
		p.advance(20 * time.Millisecond)
		p.expectPromotions("b")
	})
	t.Run("an earlier daemon has waited already", func(t *testing.T) {
		takeover := synchronousPlan()
		takeover.VacantSince = unit.Instant(-5 * time.Second)
		p := withAuthorityEnded(t, takeover, pos(3, 10))
		p.step(replica("b", pos(3, 10)))
		p.advance(synchronousSurveyTimeout + 10*time.Millisecond)
		p.expectPromotions("b")
	})
	t.Run("the old primary answers and leads again", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(replica("b", pos(3, 10)))
		p.advance(time.Second)
		p.effects = nil
		p.step(Surveyed{Status{Instance: "a", Primary: true, Term: 3, Received: pos(3, 20)}})
		p.advance(surveyInterval)
		is.New(t).Equal(p.effects[0], StepDown{Term: 4})
		p.step(SteppedDown{pos(3, 20)})
		p.expectPromotions("a")
	})
	t.Run("a second replica shows which writes were acknowledged", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 99)) // A position that was not acknowledged.
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.expectPromotions("c")
	})
	t.Run("two of three replicas are not enough", func(t *testing.T) {
		change := synchronousPlan()
		change.Replicas = []unit.InstanceName{"b", "c", "d"}
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.advance(time.Second)
		p.expectPromotions()
		p.step(replica("d", pos(3, 20)))
		p.expectPromotions("d")
	})
	t.Run("two synchronous replicas", func(t *testing.T) {
		change := synchronousPlan()
		change.Replicas, change.Synchronous = []unit.InstanceName{"b", "c", "d"}, 2
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 20)))
		p.advance(synchronousSurveyTimeout + 10*time.Millisecond)
		p.expectPromotions("c")
	})
	t.Run("a replica that leads already takes precedence", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(Surveyed{Status{Instance: "b", Primary: true, Term: 4, Received: pos(3, 10)}})
		p.expectPromotions("b")
	})
	t.Run("an instance that is not running is not promoted at once again", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 20)))
		p.expectPromotions("c")
		p.step(Promoted{"c", NotRunning}, replica("b", pos(3, 10)), replica("c", pos(3, 20)))
		p.expectPromotions()
		p.advance(time.Second)
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 20)))
		p.expectPromotions("c")
	})
}

// TestSynchronousPlannedChange checks that planned work loses no acknowledged write.
func TestSynchronousPlannedChange(t *testing.T) {
	planned := func(t *testing.T) *harness {
		change := synchronousPlan()
		change.Planned = true
		return withAuthorityEnded(t, change, pos(3, 11))
	}
	t.Run("a replica receives all that the old primary had", func(t *testing.T) {
		p := planned(t)
		p.step(SteppedDown{pos(3, 12)}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.advance(catchUpTimeout / 2)
		p.expectPromotions()
		p.step(replica("b", pos(3, 12)))
		p.expectPromotions("b")
	})
	t.Run("a replica receives all that was acknowledged", func(t *testing.T) {
		p := planned(t)
		p.step(SteppedDown{pos(3, 12)}, replica("b", pos(3, 10)), replica("c", pos(3, 11)))
		p.advance(catchUpTimeout + 20*time.Millisecond)
		p.expectPromotions("c")
	})
	t.Run("no replica does: the old primary leads again", func(t *testing.T) {
		p := planned(t)
		p.step(SteppedDown{pos(3, 12)}, replica("b", pos(3, 10)))
		p.advance(catchUpTimeout + 20*time.Millisecond)
		p.expectPromotions("a")
	})
}

// TestLeavingReplicaIsSurveyed guards against the loss of acknowledged writes: the replica that had
// received them was leaving and not asked (review/3).
func TestLeavingReplicaIsSurveyed(t *testing.T) {
	leaving := func(t *testing.T) *harness {
		change := synchronousPlan()
		change.Replicas, change.Leaving = []unit.InstanceName{"b"}, []unit.InstanceName{"c"}
		p := withAuthorityEnded(t, change, pos(3, 20))
		is.New(t).Equal(p.effects[1], Survey{Instances: []unit.InstanceName{"b", "c", "a"}})
		return p
	}
	t.Run("it is promoted if no other replica has the writes", func(t *testing.T) {
		p := leaving(t)
		p.step(replica("b", pos(3, 10)))
		p.expectPromotions()
		p.step(replica("c", pos(3, 20)))
		p.expectPromotions("c")
	})
	t.Run("another replica is preferred", func(t *testing.T) {
		p := leaving(t)
		p.step(replica("c", pos(3, 20)), replica("b", pos(3, 20)))
		p.expectPromotions("b")
	})
	t.Run("only leaving replicas are left", func(t *testing.T) {
		change := synchronousPlan()
		change.Replicas, change.Leaving = nil, []unit.InstanceName{"b", "c"}
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(replica("c", pos(3, 20)), replica("b", pos(3, 10)))
		p.expectPromotions("c")
	})
	t.Run("it is not promoted without synchronous replicas", func(t *testing.T) {
		change := plan()
		change.Replicas, change.Leaving = []unit.InstanceName{"b"}, []unit.InstanceName{"c"}
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(replica("c", pos(3, 20)), replica("b", pos(3, 10)))
		p.expectPromotions("b")
	})
}

// TestUnlistedHolders guards against the loss of acknowledged writes that only an instance had
// received that is no longer listed, or has restarted.
func TestUnlistedHolders(t *testing.T) {
	t.Run("a departed instance is asked and waited for", func(t *testing.T) {
		change := synchronousPlan()
		change.Replicas, change.Departed = []unit.InstanceName{"b"}, []unit.InstanceName{"c"}
		p := withAuthorityEnded(t, change, pos(3, 20))
		is.New(t).Equal(p.effects[1], Survey{Instances: []unit.InstanceName{"b", "c", "a"}})
		p.step(replica("b", pos(3, 10)))
		p.advance(time.Second)
		p.expectPromotions()
		p.step(replica("c", pos(3, 20)))
		p.expectPromotions() // It can't be promoted yet.
		p.step(Relisted{Roster: Roster{Replicas: []unit.InstanceName{"b", "c"}}})
		p.expectPromotions("c")
	})
	t.Run("a departed instance shows that nothing is missing", func(t *testing.T) {
		change := synchronousPlan()
		change.Replicas, change.Departed = []unit.InstanceName{"b"}, []unit.InstanceName{"c"}
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 9)))
		p.expectPromotions("b")
	})
	t.Run("a restarted replica does not speak for its earlier incarnation", func(t *testing.T) {
		change := synchronousPlan()
		change.Forgotten = 1
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 1)))
		p.advance(time.Second)
		p.expectPromotions()
	})
	t.Run("a replica restarts during the change", func(t *testing.T) {
		change := synchronousPlan()
		change.Replicas = []unit.InstanceName{"b", "c", "d"}
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(replica("b", pos(3, 10)), replica("c", pos(3, 10)))
		change.Roster.Forgotten = 1
		p.step(Relisted{Roster: change.Roster, Restarted: []unit.InstanceName{"c"}}, replica("d", pos(3, 9)))
		p.advance(time.Second)
		p.expectPromotions()
	})
	t.Run("an empty log shows nothing", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(replica("b", pos(3, 10)), replica("c", unit.Position{}))
		p.advance(time.Second)
		p.expectPromotions()
	})
	t.Run("planned: a replica with the whole log is promoted without the silent ones", func(t *testing.T) {
		change := synchronousPlan()
		change.Planned = true
		p := withAuthorityEnded(t, change, pos(3, 20))
		p.step(SteppedDown{pos(3, 20)}, replica("b", pos(3, 20)))
		p.expectPromotions("b")
	})
}

// TestLoss checks that a promotion that loses acknowledged writes is recognized as such.
func TestLoss(t *testing.T) {
	expect := func(t *testing.T, p *harness, end unit.Position, lost bool) {
		t.Helper()
		is := is.New(t)
		gotEnd, gotLost := p.r.Loss()
		is.Equal(gotEnd, end)
		is.Equal(gotLost, lost)
	}
	t.Run("a write is reported after the promotion", func(t *testing.T) {
		p := withAuthorityEnded(t, plan(), pos(3, 10))
		p.step(replica("b", pos(3, 9)), replica("c", pos(3, 10)))
		expect(t, p, pos(3, 10), false)
		p.step(Reported{"d-3", pos(3, 12)})
		expect(t, p, pos(3, 10), true)
	})
	t.Run("nothing shows which instance has the writes", func(t *testing.T) {
		p := withAuthorityEnded(t, synchronousPlan(), pos(3, 20))
		p.step(replica("b", pos(3, 10)))
		p.advance(lossTimeout + 20*time.Millisecond)
		expect(t, p, pos(3, 10), true)
	})
	t.Run("the old primary leads again", func(t *testing.T) {
		change := synchronousPlan()
		change.Planned = true
		p := withAuthorityEnded(t, change, pos(3, 12))
		p.step(SteppedDown{pos(3, 12)}, replica("b", pos(3, 10)))
		p.advance(catchUpTimeout + 20*time.Millisecond)
		expect(t, p, pos(3, 12), false)
	})
}
