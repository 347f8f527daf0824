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
	// daemonsPerReader is the number of daemons of a region per reader. A read of the store
	// costs more than relaying its result within the region, but each daemon served costs
	// the reader about 1 kB/s.
	daemonsPerReader = 40
	// fastLinkShare is the bandwidth of a fast link as a share of the fastest one in the region.
	fastLinkShare = 0.5
	// readerRetryInterval is how long a daemon reads the store itself after a reader has
	// failed.
	readerRetryInterval = 3 * time.Second
)

// readers are the daemons of a region that read the store on behalf of the others. It is
// empty while the member list is unknown.
type readers []member.Daemon

// readersOf returns the readers of this daemon's region. Those with fast links come first, because a
// reader sends what it reads to many others.
func (o *Overseer) readersOf(v authorizer.View) readers {
	var listed []authorizer.Member
	fastest := 0.0
	for _, m := range v.Listed() {
		if slices.Contains(o.domains, m.Domain) {
			listed = append(listed, m)
			fastest = max(fastest, m.Bandwidth)
		}
	}
	fast, slow := member.View{Self: o.self.Daemon}, member.View{Self: o.self.Daemon}
	for _, m := range listed {
		view := &slow
		if m.Bandwidth >= fastLinkShare*fastest {
			view = &fast
		}
		view.Daemons = append(view.Daemons, member.Daemon{
			ID: m.Daemon, Incarnation: m.Incarnation, Domain: m.Domain, State: member.Live, PeerAddress: m.Address,
		})
	}
	n := 1 + len(listed)/daemonsPerReader
	chosen := placer.RegionRelays(fast, o.region, o.domains, n)
	return append(chosen, placer.RegionRelays(slow, o.region, o.domains, n-len(chosen))...)
}

// mustRead reports whether the daemon is a reader, or has to read the store because no
// readers are known.
func (r readers) mustRead(d unit.DaemonID) bool {
	return len(r) == 0 || slices.ContainsFunc(r, func(m member.Daemon) bool { return m.ID == d })
}

// choose returns the reader to request a confirmation from, rotating with turn among those
// that have not recently failed. It returns false if the daemon reads the store itself, because
// it is a reader or because all readers have recently failed.
func (r readers) choose(self unit.DaemonID, turn int, recentlyFailed func(unit.DaemonID) bool) (member.Daemon, bool) {
	if r.mustRead(self) {
		return member.Daemon{}, false
	}
	for n := range r {
		if m := r[(turn+n)%len(r)]; !recentlyFailed(m.ID) {
			return m, true
		}
	}
	return member.Daemon{}, false
}
