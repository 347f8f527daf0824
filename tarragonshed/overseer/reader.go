package overseer

import (
	"slices"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/member"
	"tarragonshed.example/placer"
	"tarragonshed.example/unit"
)

const (
	// readerServes is the number of daemons of a region for which one of them reads
	// the store: a read costs more than passing its answer on within the region,
	// but each daemon that is served costs the reader about 1 kB a second.
	readerServes = 40
	// readerDoubt is how long a daemon that gave no confirmation is not asked for one.
	readerDoubt = 3 * time.Second
	// readerTries is the number of daemons that may fail before a daemon reads the
	// store for itself.
	readerTries = 3
)

// readers are the daemons of a region in the order in which they read the store for the
// others: the first ones do, the next ones when those fail. All daemons of the region
// have the same order, so those whose reader fails agree on the next one. The zero
// value is that of a daemon that knows no list.
type readers struct {
	order []member.Daemon
	count int // Of those that read while none fails.
}

// readersOf returns the readers of the own region.
func (o *Overseer) readersOf(v authorizer.View) readers {
	view := member.View{Self: o.self.Daemon}
	for _, m := range v.Listed() {
		if slices.Contains(o.domains, m.Domain) {
			view.Daemons = append(view.Daemons, member.Daemon{
				ID: m.Daemon, Incarnation: m.Incarnation, Domain: m.Domain, State: member.Live, PeerAddress: m.Address,
			})
		}
	}
	count := 1 + len(view.Daemons)/readerServes
	return readers{order: placer.RelaysOf(view, o.region, o.domains, count+readerTries), count: count}
}

// has reports whether the daemon reads the store while nobody fails, or knows none that
// reads it.
func (r readers) has(d unit.DaemonID) bool {
	first := r.order[:min(r.count, len(r.order))]
	return len(first) == 0 || slices.ContainsFunc(first, func(m member.Daemon) bool { return m.ID == d })
}

// choose returns whom the daemon asks for a confirmation, or false if it reads the store
// itself. Each turn begins with the next of the first readers; those that are doubted
// are passed over.
func (r readers) choose(self unit.DaemonID, turn int, doubts func(unit.DaemonID) bool) (member.Daemon, bool) {
	if r.has(self) {
		return member.Daemon{}, false
	}
	first := min(r.count, len(r.order))
	start := turn % first
	for _, m := range slices.Concat(r.order[start:first], r.order[:start], r.order[first:]) {
		if m.ID == self {
			break
		}
		if !doubts(m.ID) {
			return m, true
		}
	}
	return member.Daemon{}, false
}
