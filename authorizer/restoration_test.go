package authorizer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

// restorationConfig has leases of 10 ns.
var restorationConfig = Config{Lease: 10, Majority: 40, Extension: 60}

// era returns a view of the daemons and of the row of one group.
func eraView(era unit.Era, l Leadership, members ...Member) View {
	v := View{Era: era, Opened: era, Now: 100, Leaderships: map[unit.GroupName]Leadership{"g": l}, Members: make(map[unit.DaemonID]Member)}
	for _, m := range members {
		v.Members[m.Daemon] = m
	}
	return v
}

var (
	copied   = Leadership{Group: "g", State: Leading, Primary: "old", Term: 1}
	replaced = Leadership{Group: "g", State: Leading, Primary: "new", Term: 2, Fence: 1}
	memberA  = Member{Daemon: "a", Incarnation: 1}
	memberB  = Member{Daemon: "b", Incarnation: 1}
)

// recollects returns the recollection of a daemon in its first incarnation.
func recollects(d unit.DaemonID, v View, held, unsettled []unit.GroupName) Recollection {
	return Recollection{Daemon: d, Incarnation: 1, View: v, Held: held, Unsettled: unsettled}
}

// checkRow checks the row of the group with which the era is opened.
func checkRow(t *testing.T, r *Restoration, want Leadership) {
	t.Helper()
	is.New(t).Equal(r.Rows(20).Leaderships["g"], want)
}

func TestRestoration(t *testing.T) {
	g := []unit.GroupName{"g"}
	found := eraView(2, copied, memberA, memberB)
	found.Opened = 1
	known := eraView(1, replaced, memberA, memberB)
	unknown := replaced
	unknown.State = Changing
	t.Run("keeps a primary over which a daemon has authority", func(t *testing.T) {
		is := is.New(t)
		r := NewRestoration(restorationConfig, found, 5, recollects("a", known, g, nil))
		is.True(!r.Ready(14)) // b may be replacing the primary.
		r.Record(recollects("b", known, g, nil))
		is.True(r.Ready(6))
		checkRow(t, r, replaced)
		is.Equal(r.Rows(20).Opened, unit.Era(2))
	})
	t.Run("waits for a lease if a daemon does not respond", func(t *testing.T) {
		is := is.New(t)
		r := NewRestoration(restorationConfig, found, 5, recollects("a", known, g, nil))
		is.True(r.Ready(15))
		checkRow(t, r, replaced)
	})
	t.Run("waits for a lease if a daemon has restarted", func(t *testing.T) {
		is := is.New(t)
		r := NewRestoration(restorationConfig, found, 5, recollects("a", known, g, nil))
		r.Record(Recollection{Daemon: "b", Incarnation: 2, View: known})
		is.True(!r.Ready(14))
		is.True(r.Ready(15))
	})
	t.Run("names no primary if orders may have been given in a held group", func(t *testing.T) {
		is := is.New(t)
		r := NewRestoration(restorationConfig, found, 5, recollects("a", known, g, nil))
		r.Record(recollects("b", known, nil, g))
		is.True(r.Ready(6))
		checkRow(t, r, unknown)
	})
	t.Run("keeps the primary if nobody may have given an order", func(t *testing.T) {
		is := is.New(t)
		changing := replaced
		changing.State, changing.Changer = Changing, "b"
		r := NewRestoration(restorationConfig, found, 5, recollects("a", known, nil, nil))
		c := recollects("b", eraView(1, changing, memberA, memberB), nil, nil)
		c.View.Epoch++
		c.Claimed = g
		r.Record(c)
		is.True(r.Ready(6))
		checkRow(t, r, replaced)
	})
	t.Run("names no primary if the daemon that claimed the change does not know of it", func(t *testing.T) {
		is := is.New(t)
		changing := replaced
		changing.State, changing.Changer = Changing, "b"
		latest := eraView(1, changing, memberA, memberB)
		latest.Epoch++
		r := NewRestoration(restorationConfig, found, 5, recollects("a", latest, nil, nil))
		r.Record(recollects("b", known, nil, nil)) // It has restarted since.
		is.True(r.Ready(6))
		checkRow(t, r, unknown)
	})
	t.Run("names no primary if orders may have been given", func(t *testing.T) {
		is := is.New(t)
		r := NewRestoration(restorationConfig, found, 5, recollects("a", known, nil, g))
		r.Record(recollects("b", known, nil, nil))
		is.True(r.Ready(6))
		checkRow(t, r, unknown)
	})
	t.Run("names no primary if a daemon that has not responded may have given orders", func(t *testing.T) {
		r := NewRestoration(restorationConfig, found, 5, recollects("a", known, nil, nil))
		checkRow(t, r, unknown)
	})
	t.Run("names no primary if none was known before", func(t *testing.T) {
		r := NewRestoration(restorationConfig, found, 5, recollects("a", eraView(1, unknown, memberA), nil, nil))
		r.Record(recollects("b", eraView(1, unknown, memberA, memberB), nil, nil))
		checkRow(t, r, unknown)
	})
	t.Run("names no primary if only the restored rows are left", func(t *testing.T) {
		r := NewRestoration(restorationConfig, found, 5, Recollection{Daemon: "a", Incarnation: 2})
		want := copied
		want.State = Changing
		checkRow(t, r, want)
	})
	t.Run("does not wait in the first era", func(t *testing.T) {
		is := is.New(t)
		first := eraView(1, copied, memberA)
		first.Opened = 0
		r := NewRestoration(restorationConfig, first, 5, Recollection{Daemon: "b", Incarnation: 1})
		is.True(r.Ready(5))
		checkRow(t, r, copied)
	})
	t.Run("waits for a lease if nothing is known", func(t *testing.T) {
		is := is.New(t)
		r := NewRestoration(restorationConfig, View{Era: 2}, 5, Recollection{Daemon: "b", Incarnation: 1})
		is.True(!r.Ready(14))
		is.True(r.Ready(15))
	})
}

func TestRestoredMemberList(t *testing.T) {
	// checkMembers checks the member list after a restore of which two lists are known.
	checkMembers := func(t *testing.T, found, known []Member, want ...Member) {
		t.Helper()
		r := NewRestoration(restorationConfig, eraView(2, copied, found...), 5, recollects("a", eraView(1, copied, known...), nil, nil))
		is.New(t).Equal(r.Members(), want)
	}
	t.Run("has daemons that the store has lost", func(t *testing.T) {
		checkMembers(t, []Member{memberA}, []Member{memberA, memberB}, memberA, memberB)
	})
	t.Run("has daemons that are only in the store", func(t *testing.T) {
		checkMembers(t, []Member{memberA, memberB}, []Member{memberA}, memberA, memberB)
	})
	t.Run("has the latest incarnations", func(t *testing.T) {
		restarted := Member{Daemon: "b", Incarnation: 2, Listed: 3}
		checkMembers(t, []Member{memberA, memberB}, []Member{memberA, restarted}, memberA, restarted)
	})
	t.Run("has a daemon that one list has removed", func(t *testing.T) {
		removed := memberB
		removed.Removed = 50
		checkMembers(t, []Member{memberA, memberB}, []Member{memberA, removed}, memberA, memberB)
	})
	t.Run("has no times after the store's clock", func(t *testing.T) {
		late := Member{Daemon: "b", Incarnation: 1, Listed: time.Hour}
		checkMembers(t, []Member{memberA}, []Member{memberA, late}, memberA, Member{Daemon: "b", Incarnation: 1, Listed: 100})
	})
}

func TestRecollect(t *testing.T) {
	a := New("a", 1, restorationConfig)
	a.Confirm(eraView(1, replaced, memberA), 5)
	t.Run("authority", func(t *testing.T) {
		is := is.New(t)
		is.Equal(a.Recollect(6).Held, []unit.GroupName{"g"})
		is.Equal(len(a.Recollect(20).Held), 0) // It has expired.
	})
	claimed := replaced
	claimed.State, claimed.Changer = Changing, "a"
	t.Run("a change without orders", func(t *testing.T) {
		is := is.New(t)
		is.True(a.BeginChange("g"))
		a.RecordClaim(claimed, false)
		is.Equal(len(a.Recollect(8).Held), 0)
		is.Equal(len(a.Recollect(8).Unsettled), 0)
		is.Equal(a.Recollect(8).Claimed, []unit.GroupName{"g"})
	})
	t.Run("a change with orders", func(t *testing.T) {
		is := is.New(t)
		a.RecordOrder("g")
		a.EndChange("g", 9)
		a.Confirm(eraView(1, claimed, memberA), 10)
		is.Equal(a.Recollect(11).Unsettled, []unit.GroupName{"g"}) // Its outcome is not in the row.
		a.Confirm(eraView(1, replaced, memberA), 12)
		is.Equal(len(a.Recollect(13).Unsettled), 0)
	})
	t.Run("a change that was taken over", func(t *testing.T) {
		is := is.New(t)
		is.True(a.BeginChange("g"))
		a.RecordClaim(claimed, true)
		is.Equal(a.Recollect(14).Unsettled, []unit.GroupName{"g"})
	})
}

func TestNoVouchForEarlierEra(t *testing.T) {
	is := is.New(t)
	a := New("a", 1, restorationConfig)
	a.Confirm(eraView(2, replaced, memberA), 5)
	is.True(!a.Vouch(unit.Revision{Era: 1, Version: 90}).Idle)
	is.True(a.Vouch(unit.Revision{Era: 2}).Idle)
	is.True(a.Vouch(unit.Revision{Era: 3}).Idle)
}

func TestChangeWaitsForDaemonsThatTheStoreHasLost(t *testing.T) {
	found := eraView(2, copied)
	// check checks how long changes wait after an era was opened at 20. It was seen at 5.
	check := func(t *testing.T, own Recollection, want time.Duration) {
		t.Helper()
		is := is.New(t)
		rows := NewRestoration(restorationConfig, found, 5, own).Rows(20)
		is.Equal(rows.UnlistedUntil-rows.Now, want)
	}
	known := recollects("a", eraView(1, copied, memberA), nil, nil)
	t.Run("known from a recent list", func(t *testing.T) { check(t, known, restorationConfig.Lease) })
	t.Run("known from an old list", func(t *testing.T) {
		old := known
		old.Age = 36
		check(t, old, restorationConfig.Majority)
	})
	t.Run("without a list", func(t *testing.T) {
		check(t, Recollection{Daemon: "a", Incarnation: 2}, restorationConfig.Extension)
	})
	t.Run("although all daemons on the list have dropped the group", func(t *testing.T) {
		is := is.New(t)
		a := New("a", 1, restorationConfig)
		v := eraView(2, copied, memberA)
		v.UnlistedUntil = v.Now + 30
		a.Confirm(v, 5)
		r := a.BeginRevocation(6, 6)
		is.True(!r.Complete(35))
		is.True(r.Complete(36))
	})
}
