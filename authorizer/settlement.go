package authorizer

import (
	"maps"
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// Revocation tells when no other daemon can have authority any more over a group whose
// row was claimed. That is so
//
//   - when all that may have it have dropped the group, or
//   - a lease after so many have dropped it that the rest can't be a majority of any
//     list that may be in use, or
//   - [Config.Majority] after the row first named no primary.
//
// The last two hold for a daemon that all lists in use have, because nobody extends its
// authority by all daemons after this one has begun. One that came on the list lately
// waits for all, or for [Config.Extension]. A Revocation is not safe for concurrent use.
type Revocation struct {
	lease time.Duration
	end   unit.Instant // When nobody has authority, whoever has dropped the group.
	young bool

	holding map[unit.DaemonID]Member // Those that may have authority.
	// steady are the daemons that are on every list in use.
	steady map[unit.DaemonID]bool
	// withdrawn are the steady daemons that have dropped the group.
	withdrawn map[unit.DaemonID]bool
	outvoted  bool         // Whether the rest can't be a majority.
	since     unit.Instant // Since when.
}

// BeginRevocation returns the settlement of a claim whose answer came at the moment given. Vacant
// is since when the row is known to name no primary, by this claim or an earlier one. The
// rows must have been confirmed since the claim: daemons may have come on the list
// before it.
func (a *Authorizer) BeginRevocation(claimed, vacant unit.Instant) *Revocation {
	s := &Revocation{
		lease:   a.config.Lease,
		end:     max(claimed.Add(a.config.Lease), vacant.Add(a.config.Majority)),
		young:   !a.listed() || a.RecentlyListed(a.view.Members[a.self]),
		holding: make(map[unit.DaemonID]Member), steady: make(map[unit.DaemonID]bool),
		withdrawn: make(map[unit.DaemonID]bool),
	}
	if s.young {
		s.end = claimed.Add(a.config.Extension)
	}
	for _, m := range a.view.Listed() {
		s.steady[m.Daemon] = a.view.Now-m.Listed >= a.config.Majority
	}
	for _, m := range a.Holders() {
		s.holding[m.Daemon] = m
	}
	s.withdraw(a.self, claimed)
	return s
}

// RecordDrop records that a daemon has dropped the group, as this one learned now.
func (s *Revocation) RecordDrop(daemon unit.DaemonID, now unit.Instant) {
	if _, ok := s.holding[daemon]; !ok {
		return
	}
	delete(s.holding, daemon)
	s.withdraw(daemon, now)
}

// withdraw counts a daemon that vouches no more for the group.
func (s *Revocation) withdraw(daemon unit.DaemonID, now unit.Instant) {
	if s.steady[daemon] {
		s.withdrawn[daemon] = true
	}
	if !s.outvoted && s.outvote() {
		s.outvoted, s.since = true, now
	}
}

// outvote reports whether the daemons that may have authority are no majority of any
// list that has all of the withdrawn ones.
func (s *Revocation) outvote() bool {
	if len(s.withdrawn) != len(s.holding) {
		return len(s.withdrawn) > len(s.holding)
	}
	first := slices.Sorted(maps.Keys(s.withdrawn))
	return len(first) == 0 || !slices.ContainsFunc(s.Remaining(), func(m Member) bool { return m.Daemon < first[0] })
}

// Complete reports whether no other daemon can have authority at now.
func (s *Revocation) Complete(now unit.Instant) bool {
	switch {
	case len(s.holding) == 0, now >= s.end:
		return true
	case s.young || !s.outvoted:
		return false
	}
	return now.Sub(s.since) >= s.lease
}

// Remaining returns the daemons that may have authority and have not dropped the group,
// in the order of names.
func (s *Revocation) Remaining() []Member {
	holding := make([]Member, 0, len(s.holding))
	for _, d := range slices.Sorted(maps.Keys(s.holding)) {
		holding = append(holding, s.holding[d])
	}
	return holding
}
