package throttler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/placer"
	"tarragonshed.example/unit"
)

const (
	// LendingLease is how long after a confirmation of the member list a daemon may lend.
	// It is longer than the usual outages of the store.
	LendingLease = 10 * time.Second
	// FloorLease is how long after a confirmation of the member list a daemon may use its
	// floors. It is shorter than the time for which the list keeps removed daemons.
	FloorLease = 20 * time.Second
	// listingDelay is the longest time between a reading of the store's clock and the
	// transaction that adds a daemon to the list at that time.
	listingDelay = 2 * time.Second
	// partitions is the number of partitions of the callers. It bounds the work after a
	// change of the member list.
	partitions = 256
	// shareStride is the distance between the partitions of the shares of a caller.
	shareStride = partitions/MaxShares + 1
	// lenderKind is the kind of work in the weights of [placer].
	lenderKind = "rate-lender"
)

// partition is a set of shares of callers that have the same lender.
type partition int

// partitionOf returns the partition of a share.
func partitionOf(caller unit.CallerName, s Share) partition {
	return partition((xxhash.Sum64String(string(caller)) + uint64(s)*shareStride) % partitions)
}

// timing holds the durations that the roster's rules rest on.
type timing struct {
	lend      time.Duration // How long a confirmation lets a daemon lend.
	lendWait  time.Duration // How long a new lender waits for the earlier one.
	floor     time.Duration // How long a confirmation lets a daemon use its floors.
	floorWait time.Duration // How long a new member has no floors.
}

var standardTiming = timing{lend: LendingLease, lendWait: LendingLease, floor: FloorLease, floorWait: FloorLease}

// sighting records since when a row of the member list is known.
type sighting struct {
	listed, removed time.Duration // As in the row.
	gone            bool          // Whether the row has been deleted.
	at              unit.Instant  // When the row was first seen, or an earlier time since when it has certainly been valid.
}

func (s sighting) onList() bool { return s.removed == 0 && !s.gone }

// roster decides from the member list which daemon lends, and how many have floors.
type roster struct {
	self        unit.DaemonID
	incarnation unit.Incarnation
	timing      timing

	hasView bool
	view    authorizer.View
	listed  []authorizer.Member
	bases   []uint64     // Of the listed daemons.
	sent    unit.Instant // When the request of the last confirmation was sent.
	seen    map[unit.DaemonID]sighting
	starts  [partitions]unit.Instant // From when on this daemon may lend, if it is the lender.
	// floorStart is from when on this daemon may use its floors.
	floorStart unit.Instant
}

func newRoster(self unit.DaemonID, incarnation unit.Incarnation) *roster {
	return &roster{self: self, incarnation: incarnation, timing: standardTiming, seen: make(map[unit.DaemonID]sighting)}
}

// observe records a confirmation of the member list. It reports whether the list may have
// changed.
func (r *roster) observe(view authorizer.View, sent, now unit.Instant) bool {
	if r.hasView && sent <= r.sent {
		return false
	}
	first := !r.hasView
	gap := first || sent.Sub(r.sent) >= r.timing.lend
	unchanged := !first && view.Revision() == r.view.Revision()
	if !first && view.Era != r.view.Era {
		clear(r.seen) // The store was restored, and its rows have gone back.
	}
	r.hasView, r.view, r.sent = true, view, sent
	if unchanged && !gap {
		return false
	}
	r.sight(first, now)
	r.delay(gap, now)
	r.listed = view.Listed()
	r.bases = make([]uint64, len(r.listed))
	for i, m := range r.listed {
		r.bases[i] = base(m.Daemon)
	}
	return true
}

// sight updates the sightings. In the first view a row is trusted to be as old as it says, but
// not older than the time until which daemons may act on rows from before a restore of the store.
func (r *roster) sight(trusted bool, now unit.Instant) {
	for d, m := range r.view.Members {
		s, known := r.seen[d]
		if known && !s.gone && s.listed == m.Listed && s.removed == m.Removed {
			continue
		}
		missed := known && s.onList() // It was removed and listed again since.
		// Others stop lending by the time in the row, which the store's clock may not show yet.
		s = sighting{listed: m.Listed, removed: m.Removed, at: now.Add(max(0, m.Listed-r.view.Now))}
		if age := r.view.Now - max(m.Listed, r.view.UnlistedUntil) - listingDelay; trusted && m.Removed == 0 && age > 0 {
			s.at = now.Add(-age)
		}
		r.seen[d] = s
		if missed || m.Removed != 0 {
			r.awaitEnd(m, now)
		}
	}
	for d, s := range r.seen {
		if _, ok := r.view.Members[d]; !ok && !s.gone {
			s.gone, s.at = true, now
			r.seen[d] = s
		}
	}
}

// awaitEnd delays the start of this daemon where a removed one may still lend. One that left
// the list by itself, or is on it again, had stopped before.
func (r *roster) awaitEnd(m authorizer.Member, now unit.Instant) {
	end := now
	if m.Removed != 0 && !m.Left {
		end = now.Add(r.timing.lendWait)
	}
	own, other := base(r.self), base(m.Daemon)
	for p := range r.starts {
		if m.Daemon != r.self && mix(other, partition(p)) > mix(own, partition(p)) {
			r.starts[p] = max(r.starts[p], end)
		}
	}
}

// delay delays the start of this daemon in all partitions and that of its floors after
// changes of its own row, and after views that it has missed.
func (r *roster) delay(gap bool, now unit.Instant) {
	listed := r.seen[r.self].at
	start, floorStart := listed.Add(r.timing.lendWait), listed.Add(r.timing.floorWait)
	if gap { // Other daemons may have used this one's parts, or its earlier incarnation has.
		start, floorStart = max(start, now), max(floorStart, now)
	}
	r.floorStart = max(r.floorStart, floorStart)
	for p := range r.starts {
		r.starts[p] = max(r.starts[p], start)
	}
}

// base returns the hash from which the weights of a daemon are computed.
func base(d unit.DaemonID) uint64 { return placer.Hash(lenderKind, "", d) }

// mix returns the weight of a daemon in the partition. All daemons compute those of all others in
// all partitions after each change of the member list, so it is cheaper than a hash of names: it is
// the output function of splitmix64.
func mix(base uint64, p partition) uint64 {
	z := base + (uint64(p)+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// latest returns the latest time that the store's clock may show.
func (r *roster) latest(now unit.Instant) time.Duration { return r.view.Now + now.Sub(r.sent) }

// isListed reports whether this daemon is on the member list. An earlier incarnation's row
// counts, because that incarnation has ended.
func (r *roster) isListed() bool {
	m, ok := r.view.Members[r.self]
	return r.hasView && ok && m.Removed == 0 && m.Incarnation <= r.incarnation
}

// lender returns the daemon that lends in the partition: the one with the greatest weight of those
// that have been on the list for [LendingLease].
func (r *roster) lender(p partition, now unit.Instant) (authorizer.Member, bool) {
	latest := r.latest(now)
	best, weight := -1, uint64(0)
	for i, m := range r.listed {
		if !r.eligible(m, latest) {
			continue
		}
		if w := mix(r.bases[i], p); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	if best < 0 {
		return authorizer.Member{}, false
	}
	return r.listed[best], true
}

// eligible reports whether the daemon has been listed for long enough to lend.
func (r *roster) eligible(m authorizer.Member, latest time.Duration) bool {
	return m.Listed+r.timing.lendWait <= latest
}

// lends reports whether this daemon lends in the partition.
func (r *roster) lends(p partition, now unit.Instant) bool {
	if !r.isListed() || now >= r.sent.Add(r.timing.lend) || now < r.starts[p] {
		return false
	}
	m, ok := r.lender(p, now)
	return ok && m.Daemon == r.self
}

// hasFloors reports whether this daemon may use its floors.
func (r *roster) hasFloors(now unit.Instant) bool {
	return r.isListed() && now < r.sent.Add(r.timing.floor) && now >= r.floorStart
}

// census counts the daemons on the member list.
type census struct {
	floors int // Daemons that may have floors: on the list, or removed less than FloorLease ago.
	stable int // Daemons that every view in use lists.
	next   unit.Instant
}

// count returns the census, which is valid until its next field or a change of the list.
func (r *roster) count(now unit.Instant) census {
	c := census{next: now.Add(FloorLease)}
	for d, s := range r.seen {
		settled := s.at.Add(FloorLease)
		switch {
		case now < settled:
			c.floors++
			c.next = min(c.next, settled)
		case s.onList():
			c.floors++
			c.stable++
		case s.gone:
			delete(r.seen, d)
		}
	}
	return c
}
