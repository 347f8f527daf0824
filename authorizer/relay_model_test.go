package authorizer_test

import (
	"maps"
	"testing"

	"github.com/matryer/is"
)

// withRelays makes the daemons of a world obtain rows from each other.
func withRelays(w *world) { w.relays = true }

// relay obtains the rows of another daemon's last confirmation. If they don't list this daemon,
// it requests the other one to add it to the list, as after a restart without access to the
// store.
func (d *node) relay() {
	w := d.world
	other := w.daemons[w.random.IntN(len(w.daemons))]
	if other == d {
		return
	}
	sent := w.clock(d)
	d.sendTo(other, loseVouch, func() {
		confirmed, ok := other.auth.Confirmed()
		age := w.clock(other).Sub(confirmed)
		if !ok || age > modelMajority {
			return
		}
		if w.fault == relayWithoutAge {
			age = 0
		}
		view, versions := copyView(other.auth.View()), maps.Clone(other.versions)
		d.deliver(func() {
			last, known := d.auth.Confirmed()
			if known && (sent.Add(-age) < last || view.Revision().Before(d.auth.View().Revision())) {
				return
			}
			d.auth.Confirm(view, sent.Add(-age))
			d.versions = versions
			if m, ok := view.Members[d.id]; !ok || m.Removed != 0 || m.Incarnation != d.incarnation {
				incarnation := d.incarnation
				d.sendTo(other, loseVouch, func() { other.enlist(d.id, incarnation) })
			}
		})
	})
}

// TestRelayedRows repeats the simulation with daemons that obtain rows from each other and add
// each other to the list.
func TestRelayedRows(t *testing.T) {
	t.Run("no response of a replaced primary is used", func(t *testing.T) {
		for _, partitions := range []bool{false, true} {
			is := is.New(t)
			violation, used, changed := simulate(none, partitions, 500, withRelays)
			is.Equal(violation, "")
			is.True(used > 50_000)
			is.True(changed > 500)
		}
	})
	for _, f := range []fault{relayWithoutAge, noWait, newDaemonWaitsLease} {
		t.Run(string(f), func(t *testing.T) {
			violation, _, _ := simulate(f, false, 3000, withRelays)
			t.Log(violation)
			is.New(t).True(violation != "")
		})
	}
}
