package authorizer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

const (
	lease     = time.Second
	extension = 10 * time.Second
)

var config = Config{Lease: lease, Extension: extension}

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
	members, ok := a.Ask(asked)
	is.True(ok)
	is.Equal(len(members), 2)
	answered := at(950 * time.Millisecond)
	a.Vouched("b", 2, asked, answered) // It has restarted since the list was made.
	holds(t, a, lease, false)          // One has not answered.
	a.Vouched("c", 0, asked, answered)
	holds(t, a, lease, false) // That was one that has ended since.
	a.Vouched("c", 1, asked, answered)
	holds(t, a, lease, true)
	holds(t, a, 900*time.Millisecond+lease, false)
}

// TestLateVouch is what the model found in 1 of 16,000 schedules: a daemon vouched
// after it had made a change that began before the question.
func TestLateVouch(t *testing.T) {
	is := is.New(t)
	a := confirmed("b")
	asked := at(900 * time.Millisecond)
	_, ok := a.Ask(asked)
	is.True(ok)
	a.Vouched("b", 1, asked, at(lease))
	holds(t, a, lease, false)
}

func TestExtensionEnds(t *testing.T) {
	t.Run("after the whole extension", func(t *testing.T) {
		a := confirmed("b")
		now := 500 * time.Millisecond
		for ; now < extension; now += 500 * time.Millisecond {
			if _, ok := a.Ask(at(now)); ok {
				a.Vouched("b", 1, at(now), at(now))
			}
		}
		holds(t, a, extension-1, true)
		holds(t, a, extension, false)
	})
	t.Run("an authority that has ended is not extended", func(t *testing.T) {
		is := is.New(t)
		a := confirmed("b")
		_, ok := a.Ask(at(lease))
		is.True(!ok)
	})
	t.Run("answers to an earlier question do not count", func(t *testing.T) {
		a := confirmed("b")
		a.Ask(at(100 * time.Millisecond))
		a.Ask(at(900 * time.Millisecond))
		a.Vouched("b", 1, at(100*time.Millisecond), at(950*time.Millisecond))
		holds(t, a, lease, false)
	})
}

func TestVouch(t *testing.T) {
	is := is.New(t)
	a := confirmed("b")
	is.True(a.Vouch())
	is.True(a.BeginChange("g"))
	is.True(!a.Vouch())
	a.EndChange("g", at(1))
	is.True(a.Vouch())
}

func TestWait(t *testing.T) {
	is := is.New(t)
	a := New("me", 1, config)
	v := view(20*time.Second, "me")
	v.Members["me"] = Member{Daemon: "me", Incarnation: 1, Listed: 11 * time.Second}
	a.Confirm(v, at(0))
	is.Equal(a.Wait(), extension) // Lists older than this daemon may be in use.
	v.Now = 21 * time.Second
	a.Confirm(v, at(1))
	is.Equal(a.Wait(), lease)
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
