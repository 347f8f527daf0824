package authorizer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

const (
	lease     = time.Second
	majority  = 4 * time.Second
	extension = 10 * time.Second
)

var config = Config{Lease: lease, Majority: majority, Extension: extension}

func at(d time.Duration) unit.Instant { return unit.Instant(time.Hour + d) }

// view is a list of daemons with one group.
func view(now time.Duration, daemons ...unit.DaemonID) View {
	v := View{
		Leaderships: map[unit.GroupName]Leadership{
			"g": {Group: "g", State: Leading, Primary: "a", Term: 1},
			"h": {Group: "h", State: Leading, Primary: "x", Term: 1},
		},
		Members: make(map[unit.DaemonID]Member),
		Now:     now,
		Epoch:   7,
	}
	for _, d := range daemons {
		v.Members[d] = Member{Daemon: d, Incarnation: 1}
	}
	return v
}

func confirmed(daemons ...unit.DaemonID) *Authorizer {
	a := New("me", 1, config)
	a.Confirm(view(time.Minute, append(daemons, "me")...), at(0))
	return a
}

func holds(t *testing.T, a *Authorizer, now time.Duration, want bool) {
	t.Helper()
	is := is.NewRelaxed(t)
	_, ok := a.Primary("g", at(now))
	is.Equal(ok, want)
}

// vouches is the answer of a daemon that is changing no row.
func vouches(daemon unit.DaemonID, incarnation unit.Incarnation) Vouch {
	return Vouch{Daemon: daemon, Incarnation: incarnation, Idle: true}
}

func TestLeaseCountsFromTheSendingOfTheRequest(t *testing.T) {
	a := confirmed("other")
	holds(t, a, lease-1, true)
	holds(t, a, lease, false)
	a.Reconfirm(at(500*time.Millisecond), time.Minute)
	holds(t, a, lease, true)
}

func TestActive(t *testing.T) {
	is := is.New(t)
	a := New("me", 1, config)
	is.True(!a.Active(at(0)))
	a.Confirm(view(0, "me"), at(0))
	is.True(a.Active(at(lease - 1)))
	is.True(!a.Active(at(lease)))
}

func TestNoAuthority(t *testing.T) {
	t.Run("before a confirmation", func(t *testing.T) {
		holds(t, New("me", 1, config), 0, false)
	})
	t.Run("off the list", func(t *testing.T) {
		a := New("me", 1, config)
		a.Confirm(view(0, "other"), at(0))
		holds(t, a, 0, false)
	})
	t.Run("in another incarnation", func(t *testing.T) {
		a := New("me", 2, config)
		a.Confirm(view(0, "me"), at(0))
		holds(t, a, 0, false)
	})
	t.Run("while the row is changing", func(t *testing.T) {
		a := confirmed()
		v := view(0, "me")
		v.Leaderships["g"] = Leadership{Group: "g", State: Changing, Primary: "a"}
		a.Confirm(v, at(1))
		holds(t, a, 2, false)
	})
	t.Run("under a row that was replaced", func(t *testing.T) {
		is := is.New(t)
		a := confirmed()
		old, _ := a.Primary("g", at(0))
		v := view(0, "me")
		v.Leaderships["g"] = Leadership{Group: "g", State: Leading, Primary: "b", Term: 2}
		a.Confirm(v, at(1))
		is.True(!a.Holds(old, at(2)))
	})
}

func TestDrop(t *testing.T) {
	is := is.New(t)
	a := confirmed()
	is.True(a.Drop("g", at(100)))
	holds(t, a, 101, false)
	_, other := a.Primary("h", at(101))
	is.True(other)
	a.Reconfirm(at(99), 0) // Asked for before the drop.
	holds(t, a, 102, false)
	a.Reconfirm(at(103), 0)
	holds(t, a, 104, true)
}

func TestDropIsNotFinalDuringAChange(t *testing.T) {
	is := is.New(t)
	a := confirmed()
	is.True(a.BeginChange("h"))
	is.True(!a.Drop("g", at(2)))
	a.EndChange("h", at(3))
	is.True(a.Drop("g", at(4)))
}

// TestChangerHasNoAuthority is what the model found: the store confirmed the old
// row to the changer while its own transaction was on its way.
func TestChangerHasNoAuthority(t *testing.T) {
	is := is.New(t)
	a := confirmed("b")
	is.True(a.BeginChange("g"))
	a.Reconfirm(at(2), time.Minute)
	holds(t, a, 3, false)
	a.EndChange("g", at(4))
	holds(t, a, 5, false)
	a.Reconfirm(at(5), time.Minute)
	holds(t, a, 6, true)
}

func TestExtension(t *testing.T) {
	is := is.New(t)
	a := confirmed("b", "c")
	asked := at(900 * time.Millisecond)
	members, ok := a.BeginExtension(asked)
	is.True(ok)
	is.Equal(len(members), 2)
	answered := at(950 * time.Millisecond)
	a.RecordVouch(vouches("b", 2), asked, answered) // It has restarted since the list was made.
	holds(t, a, lease, false)                       // One has not answered.
	a.RecordVouch(vouches("c", 0), asked, answered)
	holds(t, a, lease, false) // That was one that has ended since.
	a.RecordVouch(vouches("c", 1), asked, answered)
	holds(t, a, lease, true)
	holds(t, a, 900*time.Millisecond+lease, false)
}

// TestLateVouch is what the model found in 1 of 16,000 schedules: a daemon vouched
// after it had made a change that began before the question.
func TestLateVouch(t *testing.T) {
	is := is.New(t)
	a := confirmed("b")
	asked := at(900 * time.Millisecond)
	_, ok := a.BeginExtension(asked)
	is.True(ok)
	a.RecordVouch(vouches("b", 1), asked, at(lease))
	holds(t, a, lease, false)
}

func TestExtensionEnds(t *testing.T) {
	t.Run("after the whole extension", func(t *testing.T) {
		a := confirmed("b")
		now := 500 * time.Millisecond
		for ; now < extension; now += 500 * time.Millisecond {
			if _, ok := a.BeginExtension(at(now)); ok {
				a.RecordVouch(vouches("b", 1), at(now), at(now))
			}
		}
		holds(t, a, extension-1, true)
		holds(t, a, extension, false)
	})
	t.Run("an authority that has ended is not extended", func(t *testing.T) {
		is := is.New(t)
		a := confirmed("b")
		_, ok := a.BeginExtension(at(lease))
		is.True(!ok)
	})
	t.Run("answers to an earlier question do not count", func(t *testing.T) {
		a := confirmed("b")
		a.BeginExtension(at(100 * time.Millisecond))
		a.BeginExtension(at(900 * time.Millisecond))
		a.RecordVouch(vouches("b", 1), at(100*time.Millisecond), at(950*time.Millisecond))
		holds(t, a, lease, false)
	})
}

func TestVouch(t *testing.T) {
	is := is.New(t)
	a := confirmed("b")
	is.True(a.Vouch(7).Idle)
	is.True(a.BeginChange("g"))
	is.True(!a.Vouch(7).Idle)
	a.EndChange("g", at(1))
	is.Equal(a.Vouch(7), Vouch{Daemon: "me", Incarnation: 1, Idle: true, Dropped: []unit.GroupName{"g"}})
	a.Reconfirm(at(2), time.Minute)
	is.Equal(a.Vouch(7), vouches("me", 1)) // It knows the outcome of the change.
	is.True(a.Vouch(6).Ahead)
}

func TestMajority(t *testing.T) {
	// ask returns a daemon of a list of four that has asked for an extension.
	asked := at(900 * time.Millisecond)
	ask := func() *Authorizer {
		a := confirmed("a", "b", "c")
		a.BeginExtension(asked)
		a.RecordVouch(vouches("b", 1), asked, asked)
		return a
	}
	t.Run("half of the list is none", func(t *testing.T) {
		holds(t, ask(), lease, false)
	})
	t.Run("half of it with the first by name", func(t *testing.T) {
		a := confirmed("a", "b", "c")
		a.BeginExtension(asked)
		a.RecordVouch(vouches("a", 1), asked, asked)
		holds(t, a, lease, true)
	})
	t.Run("more than half", func(t *testing.T) {
		a := ask()
		a.RecordVouch(vouches("c", 1), asked, asked)
		holds(t, a, 900*time.Millisecond+lease-1, true)
		holds(t, a, 900*time.Millisecond+lease, false)
	})
	t.Run("the same daemon twice counts once", func(t *testing.T) {
		a := ask()
		a.RecordVouch(vouches("b", 1), asked, asked)
		holds(t, a, lease, false)
	})
	t.Run("one that was restarted may have dropped a group", func(t *testing.T) {
		a := ask()
		a.RecordVouch(vouches("c", 2), asked, asked)
		holds(t, a, lease, false)
	})
	t.Run("one that knows newer rows does not count", func(t *testing.T) {
		a := ask()
		ahead := vouches("c", 1)
		ahead.Ahead = true
		a.RecordVouch(ahead, asked, asked)
		holds(t, a, lease, false)
	})
	t.Run("one that is changing a row does not count", func(t *testing.T) {
		a := ask()
		a.RecordVouch(Vouch{Daemon: "c", Incarnation: 1}, asked, asked)
		holds(t, a, lease, false)
	})
	t.Run("groups that one has dropped are not used", func(t *testing.T) {
		is := is.New(t)
		a := ask()
		dropped := vouches("c", 1)
		dropped.Dropped = []unit.GroupName{"g"}
		a.RecordVouch(dropped, asked, asked)
		holds(t, a, lease, false)
		_, other := a.Primary("h", at(lease))
		is.True(other)
	})
	t.Run("it ends earlier than that of all", func(t *testing.T) {
		a := confirmed("b", "c")
		for now := 500 * time.Millisecond; now < extension; now += 500 * time.Millisecond {
			if _, ok := a.BeginExtension(at(now)); ok {
				a.RecordVouch(vouches("b", 1), at(now), at(now))
			}
		}
		holds(t, a, majority-1, true)
		holds(t, a, majority, false)
	})
}

// settle returns the settlement of a claim at zero by a daemon that came on the list
// at listed, as the others did at theirs. The store's clock is at one minute.
func settle(listed time.Duration, others map[unit.DaemonID]time.Duration) *Revocation {
	a := New("me", 1, config)
	v := view(time.Minute, "me")
	v.Members["me"] = Member{Daemon: "me", Incarnation: 1, Listed: listed}
	for d, at := range others {
		v.Members[d] = Member{Daemon: d, Incarnation: 1, Listed: at}
	}
	a.Confirm(v, at(0))
	return a.BeginRevocation(at(0), at(0))
}

// settles checks when the settlement is reached if nobody else answers.
func settles(t *testing.T, s *Revocation, when time.Duration) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.True(!s.Complete(at(when - 1)))
	is.True(s.Complete(at(when)))
}

func TestSettlement(t *testing.T) {
	old := time.Duration(0)
	four := map[unit.DaemonID]time.Duration{"b": old, "c": old, "d": old}
	t.Run("all have dropped the group", func(t *testing.T) {
		is := is.New(t)
		s := settle(old, four)
		for _, d := range []unit.DaemonID{"b", "c", "d"} {
			is.True(!s.Complete(at(1)))
			s.RecordDrop(d, at(1))
		}
		is.True(s.Complete(at(1)))
	})
	t.Run("half of the daemons are a majority with the first", func(t *testing.T) {
		s := settle(old, four)
		s.RecordDrop("c", at(1))
		settles(t, s, majority)
	})
	t.Run("the rest is no majority", func(t *testing.T) {
		s := settle(old, four)
		s.RecordDrop("c", at(100*time.Millisecond))
		s.RecordDrop("d", at(300*time.Millisecond))
		settles(t, s, 300*time.Millisecond+lease)
	})
	t.Run("half of them is none without the first", func(t *testing.T) {
		s := settle(old, four)
		s.RecordDrop("b", at(300*time.Millisecond))
		settles(t, s, 300*time.Millisecond+lease)
	})
	t.Run("one alone is none from the start", func(t *testing.T) {
		settles(t, settle(old, map[unit.DaemonID]time.Duration{"z": old}), lease)
	})
	t.Run("a row that named no primary before the claim", func(t *testing.T) {
		a := confirmed("b", "c", "d")
		settles(t, a.BeginRevocation(at(0), at(-2*time.Second)), majority-2*time.Second)
		settles(t, a.BeginRevocation(at(0), at(-time.Minute)), lease)
	})
	t.Run("the same daemon twice counts once", func(t *testing.T) {
		s := settle(old, map[unit.DaemonID]time.Duration{"b": old, "c": old, "d": old, "e": old, "f": old})
		s.RecordDrop("c", at(1))
		s.RecordDrop("c", at(2))
		settles(t, s, majority)
	})
	t.Run("one that came on the list lately is not on all lists in use", func(t *testing.T) {
		s := settle(old, map[unit.DaemonID]time.Duration{"b": time.Minute - majority + 1, "c": old, "d": old})
		s.RecordDrop("b", at(1))
		settles(t, s, majority)
	})
	t.Run("one long enough on the list is", func(t *testing.T) {
		s := settle(old, map[unit.DaemonID]time.Duration{"b": time.Minute - majority, "c": old, "d": old})
		s.RecordDrop("b", at(1))
		settles(t, s, lease+1)
	})
	t.Run("lists older than this daemon may be in use", func(t *testing.T) {
		s := settle(time.Minute-extension+1, four)
		s.RecordDrop("b", at(1))
		s.RecordDrop("c", at(1))
		settles(t, s, extension)
	})
}

func TestHoldersIncludeThoseJustRemoved(t *testing.T) {
	is := is.New(t)
	a := confirmed("b")
	v := view(time.Minute, "me", "b", "c", "d")
	v.Members["c"] = Member{Daemon: "c", Removed: time.Minute - extension + 1}
	v.Members["d"] = Member{Daemon: "d", Removed: time.Minute - extension}
	a.Confirm(v, at(1))
	is.Equal(len(a.Holders()), 2) // b and c.
}

func TestDuty(t *testing.T) {
	is := is.New(t)
	a := confirmed("b")
	v := view(time.Minute, "me", "b")
	v.Duty = Duty{Holder: "me", Incarnation: 1, Fence: 3}
	a.Confirm(v, at(1))
	is.True(a.HoldsDuty(3, at(2)))
	is.True(!a.HoldsDuty(2, at(2)))
	is.True(!a.HoldsDuty(3, at(lease+1))) // An extension would not help.
}
