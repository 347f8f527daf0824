package authorizer

import (
	"maps"
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// Revocation tracks when no other daemon can have authority any more over a group whose row
// was claimed. That is the case
//
//   - when all daemons that may have authority have dropped the group, or
//   - one lease after so many have dropped it that the remaining daemons can't be a majority
//     of any member list in use, or
//   - [Config.Majority] after the row first named no primary.
//
// The last two hold only for a daemon that is on all lists in use: no daemon gets an
// extension by all daemons after this one has begun the change. A daemon that was added to
// the list recently waits for all, or for [Config.Extension]. After a restore of the store, the
// list may lack daemons, and every change waits until their authority has ended. A Revocation
// is not safe for concurrent use.
type Revocation struct {
	lease          time.Duration
	notBefore      unit.Instant // Until when daemons that are not on the list may have authority.
	deadline       unit.Instant // When no daemon has authority, whether or not it has dropped the group.
	recentlyListed bool

	remaining map[unit.DaemonID]Member // Daemons that may still have authority.
	// onAllLists are the daemons that are on every list in use.
	onAllLists map[unit.DaemonID]bool
	// withdrawn are the daemons on all lists that have dropped the group.
	withdrawn     map[unit.DaemonID]bool
	minority      bool         // Whether the remaining daemons can't be a majority.
	minoritySince unit.Instant // Since when minority is set.
}

// BeginRevocation returns the Revocation for a claim whose response arrived at claimed.
// Vacant is since when the row is known to name no primary, because of this claim or an
// earlier one. The rows must have been confirmed after the claim, because daemons may have
// been added to the list before it.
func (a *Authorizer) BeginRevocation(claimed, vacant unit.Instant) *Revocation {
	r := &Revocation{
		lease:          a.config.Lease,
		notBefore:      claimed.Add(max(0, a.view.UnlistedUntil-a.view.Now)),
		deadline:       max(claimed.Add(a.config.Lease), vacant.Add(a.config.Majority)),
		recentlyListed: !a.IsListed() || a.RecentlyListed(a.view.Members[a.self]),
		remaining:      make(map[unit.DaemonID]Member), onAllLists: make(map[unit.DaemonID]bool),
		withdrawn: make(map[unit.DaemonID]bool),
	}
	if r.recentlyListed {
		r.deadline = claimed.Add(a.config.Extension)
	}
	for _, m := range a.view.Listed() {
		r.onAllLists[m.Daemon] = a.view.Now-m.Listed >= a.config.Majority
	}
	for _, m := range a.Holders() {
		r.remaining[m.Daemon] = m
	}
	r.recordWithdrawal(a.self, claimed)
	return r
}

// RecordDrop records that a daemon has dropped the group, as learned at now.
func (r *Revocation) RecordDrop(daemon unit.DaemonID, now unit.Instant) {
	if _, ok := r.remaining[daemon]; !ok {
		return
	}
	delete(r.remaining, daemon)
	r.recordWithdrawal(daemon, now)
}

// recordWithdrawal counts a daemon that no longer vouches for the group.
func (r *Revocation) recordWithdrawal(daemon unit.DaemonID, now unit.Instant) {
	if r.onAllLists[daemon] {
		r.withdrawn[daemon] = true
	}
	if !r.minority && r.remainingIsMinority() {
		r.minority, r.minoritySince = true, now
	}
}

// remainingIsMinority reports whether the remaining daemons are no majority of any list
// that contains all withdrawn daemons.
func (r *Revocation) remainingIsMinority() bool {
	if len(r.withdrawn) != len(r.remaining) {
		return len(r.withdrawn) > len(r.remaining)
	}
	sorted := slices.Sorted(maps.Keys(r.withdrawn))
	return len(sorted) == 0 || !slices.ContainsFunc(r.Remaining(), func(m Member) bool { return m.Daemon < sorted[0] })
}

// Complete reports whether no other daemon can have authority at now.
func (r *Revocation) Complete(now unit.Instant) bool {
	switch {
	case now < r.notBefore:
		return false
	case len(r.remaining) == 0, now >= r.deadline:
		return true
	case r.recentlyListed || !r.minority:
		return false
	}
	return now.Sub(r.minoritySince) >= r.lease
}

// Remaining returns the daemons that may have authority and have not dropped the group,
// sorted by name.
func (r *Revocation) Remaining() []Member {
	remaining := make([]Member, 0, len(r.remaining))
	for _, d := range slices.Sorted(maps.Keys(r.remaining)) {
		remaining = append(remaining, r.remaining[d])
	}
	return remaining
}
