package authorizer

import (
	"slices"

	"tarragonshed.example/unit"
)

// Vouch is a daemon's response to a request for an extension of authority.
type Vouch struct {
	Daemon      unit.DaemonID
	Incarnation unit.Incarnation
	// Idle means that the daemon is not changing any row.
	Idle bool
	// Ahead means that the daemon has newer rows than the requester.
	Ahead bool
	// Dropped lists the groups that the daemon has dropped for a change whose outcome has
	// not been confirmed to it yet.
	Dropped []unit.GroupName
}

// Vouch returns the response to a daemon whose newest row has the given revision. A daemon
// with the rows of a later era may change rows that the other one does not know, so it does not
// vouch.
func (a *Authorizer) Vouch(known unit.Revision) Vouch {
	idle := len(a.changing) == 0 && known.Era >= a.view.Era
	v := Vouch{Daemon: a.self, Incarnation: a.incarnation, Idle: idle, Ahead: known.Before(a.view.Revision())}
	for group := range a.dropped {
		if a.hasDropped(group) {
			v.Dropped = append(v.Dropped, group)
		}
	}
	slices.Sort(v.Dropped)
	return v
}

// extensionRound is one round of requests to the other daemons for an extension.
type extensionRound struct {
	sent        unit.Instant
	confirmedAt unit.Instant // When the request was sent that confirmed the list in use.
	pending     map[unit.DaemonID]unit.Incarnation
	listSize    int           // Daemons on the list, including this one.
	votes       int           // Daemons that count towards a majority, including this one.
	first       unit.DaemonID // First daemon on the list by name.
	hasFirst    bool          // Whether first counts towards a majority.
}

// addVote counts a daemon towards a majority.
func (r *extensionRound) addVote(daemon unit.DaemonID) {
	r.votes++
	r.hasFirst = r.hasFirst || daemon == r.first
}

// hasMajority reports whether the daemons that vouch are more than half of the list, or
// exactly half of it including the first.
func (r *extensionRound) hasMajority() bool {
	return 2*r.votes > r.listSize || 2*r.votes == r.listSize && r.hasFirst
}

// BeginExtension begins a round of requests for an extension and returns the daemons to
// ask. It returns false if an extension is not possible. An authority that has ended is not
// extended, because the rows may have changed since.
func (a *Authorizer) BeginExtension(now unit.Instant) ([]Member, bool) {
	if !a.IsListed() || now >= a.expiry() || now >= a.confirmedAt.Add(a.config.Extension) {
		return nil, false
	}
	listed := a.view.Listed()
	a.round = &extensionRound{
		sent: now, confirmedAt: a.confirmedAt, pending: make(map[unit.DaemonID]unit.Incarnation),
		listSize: len(listed), first: listed[0].Daemon,
	}
	a.round.addVote(a.self)
	var recipients []Member
	for _, m := range listed {
		if m.Daemon != a.self {
			a.round.pending[m.Daemon] = m.Incarnation
			recipients = append(recipients, m)
		}
	}
	a.extend()
	return recipients, true
}

// RecordVouch records the response of a daemon to the round whose requests were sent at the
// given time. A response counts only if it arrives while the authority lasts: a change that
// waited for its end may have been made before a later response was sent.
//
// A daemon that has restarted since the list was read counts towards an extension by all
// daemons, because its earlier incarnation has ended together with any change in progress.
// It does not count towards a majority, because the earlier incarnation may have dropped a
// group.
func (a *Authorizer) RecordVouch(v Vouch, sent, now unit.Instant) {
	for _, group := range v.Dropped {
		a.Drop(group, now)
	}
	r := a.round
	if r == nil || r.sent != sent || !v.Idle || now >= a.expiry() {
		return
	}
	incarnation, pending := r.pending[v.Daemon]
	if !pending || v.Incarnation < incarnation {
		return
	}
	delete(r.pending, v.Daemon)
	if v.Incarnation == incarnation && !v.Ahead {
		r.addVote(v.Daemon)
	}
	a.extend()
}

// extend extends the authority according to the responses so far.
func (a *Authorizer) extend() {
	r := a.round
	end := r.confirmedAt
	switch {
	case len(r.pending) == 0:
		end = end.Add(a.config.Extension)
	case r.hasMajority():
		end = end.Add(a.config.Majority)
	}
	a.extendedUntil = max(a.extendedUntil, min(r.sent.Add(a.config.Lease), end))
}
