package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

var now = time.Unix(1000, 0)

// group returns the primary "a" and the replicas "b" and "c", all at 1/10.
func group() []Candidate {
	list := make([]Candidate, 3)
	for i, name := range []unit.InstanceName{"a", "b", "c"} {
		list[i] = Candidate{Instance: name, Slots: 2, Known: true, Report: instance.Report{
			Role: instance.Replica, Term: 1, Applied: at(10), Primary: "a", FreshAt: now.UnixNano(),
		}}
	}
	list[0].Report.Role = instance.Primary
	return list
}

func at(index unit.Index) unit.Position {
	return unit.Position{Term: 1, Index: index}
}

func mustUse(t *testing.T, effect Effect, name unit.InstanceName) {
	t.Helper()
	is := is.New(t)
	use, ok := effect.(Use)
	is.True(ok)
	is.Equal(use.Instance, name)
	is.Equal(use.Primary, name == "a")
}

func TestPrimary(t *testing.T) {
	t.Run("the primary of the highest term", func(t *testing.T) {
		is := is.New(t)
		list := group()
		list[1].Report.Term, list[1].Report.Role = 2, instance.Primary
		name, term, ok := Primary(list)
		is.True(ok)
		is.Equal(name, unit.InstanceName("b"))
		is.Equal(term, unit.Term(2))
	})
	t.Run("the instance that a replica follows", func(t *testing.T) {
		is := is.New(t)
		list := group()
		list[2].Report.Term, list[2].Report.Primary = 2, "b"
		name, _, _ := Primary(list)
		is.Equal(name, unit.InstanceName("b"))
	})
	t.Run("no primary known in the highest term", func(t *testing.T) {
		is := is.New(t)
		list := group()
		list[2].Report.Term, list[2].Report.Role = 2, instance.Detached
		_, _, ok := Primary(list)
		is.True(!ok)
		is.Equal(Choose(Request{Write: true}, list), WaitForReports{})
	})
}

func TestChoose(t *testing.T) {
	read := Request{Floor: at(10), Now: now, WaitLimit: time.Second}
	t.Run("the primary for a write", func(t *testing.T) {
		mustUse(t, Choose(Request{Write: true}, group()), "a")
	})
	t.Run("the less loaded of two replicas", func(t *testing.T) {
		list := group()
		list[1].Outstanding = 1
		mustUse(t, Choose(read, list), "c")
		list[2].Outstanding = 3
		mustUse(t, Choose(read, list), "b")
	})
	t.Run("the nearer of two replicas", func(t *testing.T) {
		list := group()
		list[1].Distance = OtherRegion
		mustUse(t, Choose(read, list), "c")
	})
	t.Run("the replica that has applied the floor", func(t *testing.T) {
		list := group()
		list[1].Report.Applied = at(9)
		list[2].Outstanding = 9
		mustUse(t, Choose(read, list), "c")
		list[2].Excluded = true
		mustUse(t, Choose(read, list), "b") // It is expected to catch up in time.
		list[1].CatchUp = 2 * time.Second
		mustUse(t, Choose(read, list), "a")
	})
	t.Run("the replica within the staleness bound", func(t *testing.T) {
		list := group()
		list[1].Report.FreshAt = now.Add(-time.Minute).UnixNano()
		list[2].Outstanding = 9
		mustUse(t, Choose(Request{MaxStaleness: time.Second, Now: now}, list), "c")
	})
	t.Run("no replica that is leaving", func(t *testing.T) {
		list := group()
		list[1].Leaving, list[2].Leaving = true, true
		mustUse(t, Choose(read, list), "a")
	})
	t.Run("the replica that the policy selects", func(t *testing.T) {
		is := is.New(t)
		r := read
		r.Policy = RoundRobin
		mustUse(t, Choose(r, group()), "b")
		r.Sequence = 1
		mustUse(t, Choose(r, group()), "c")
		r.Policy, r.Random[0] = Random, 0.4
		mustUse(t, Choose(r, group()), "b")
		r.Policy = PrimaryOnly
		mustUse(t, Choose(r, group()), "a")
		_, err := ParsePolicy("unknown")
		is.True(err != nil)
	})
	t.Run("no primary on which the request has failed", func(t *testing.T) {
		is := is.New(t)
		list := group()
		list[0].Excluded = true
		is.Equal(Choose(Request{Write: true}, list), WaitForReports{})
	})
}
