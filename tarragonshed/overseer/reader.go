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
	// readerDoubt is how long a daemon reads for itself after a reader has failed it.
	readerDoubt = 3 * time.Second
)

// readers are the daemons of a region that read the store for the others. The zero value
// is that of a daemon that knows no list.
type readers []member.Daemon

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
	return placer.RegionRelays(view, o.region, o.domains, 1+len(view.Daemons)/readerServes)
}

// has reports whether the daemon reads the store, or knows none that reads it.
func (r readers) has(d unit.DaemonID) bool {
	return len(r) == 0 || slices.ContainsFunc(r, func(m member.Daemon) bool { return m.ID == d })
}

// choose returns whom the daemon asks for a confirmation, at each turn the next one, or
// false if it reads the store itself: it is a reader, or doubts the one whose turn it is.
func (r readers) choose(self unit.DaemonID, turn int, doubts func(unit.DaemonID) bool) (member.Daemon, bool) {
	if r.has(self) {
		return member.Daemon{}, false
	}
	m := r[turn%len(r)]
	return m, !doubts(m.ID)
}
