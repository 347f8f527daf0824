package authorizer

import (
	"slices"

	"tarragonshed.example/unit"
)

// Vouch is the answer of a daemon that is asked for an extension.
type Vouch struct {
	Daemon      unit.DaemonID
	Incarnation unit.Incarnation
	// Idle says that the daemon is changing no row.
	Idle bool
	// Ahead says that the daemon knows newer rows than the asker.
	Ahead bool
	// Dropped are the groups that the daemon has dropped for a change whose outcome
	// it does not know yet.
	Dropped []unit.GroupName
}

// Vouch answers a daemon that knows the rows up to the epoch.
func (a *Authorizer) Vouch(epoch uint64) Vouch {
	v := Vouch{Daemon: a.self, Incarnation: a.incarnation, Idle: len(a.own) == 0, Ahead: a.view.Epoch > epoch}
	for group := range a.dropped {
		if a.gaveUp(group) {
			v.Dropped = append(v.Dropped, group)
		}
	}
	slices.Sort(v.Dropped)
	return v
}

// question asks the other daemons for an extension.
type question struct {
	asked     unit.Instant
	confirmed unit.Instant // When the list of those asked was confirmed.
	missing   map[unit.DaemonID]unit.Incarnation
	listed    int           // Daemons on the list, this one included.
	vouching  int           // Those that count to a majority, this one included.
	first     unit.DaemonID // The first on the list by name.
	decided   bool          // Whether it counts to a majority.
}

// count counts a daemon to a majority.
func (q *question) count(daemon unit.DaemonID) {
	q.vouching++
	q.decided = q.decided || daemon == q.first
}

// majority reports whether those that vouch are more than half of the list, or half of it
// with the first.
func (q *question) majority() bool {
	return 2*q.vouching > q.listed || 2*q.vouching == q.listed && q.decided
}

// BeginExtension begins a question for an extension and returns whom to ask. It returns
// false if none can succeed. An authority that has ended is not extended: the
// rows may have been changed since.
func (a *Authorizer) BeginExtension(now unit.Instant) ([]Member, bool) {
	if !a.listed() || now >= a.until() || now >= a.confirmed.Add(a.config.Extension) {
		return nil, false
	}
	listed := a.view.Listed()
	a.question = &question{
		asked: now, confirmed: a.confirmed, missing: make(map[unit.DaemonID]unit.Incarnation),
		listed: len(listed), first: listed[0].Daemon,
	}
	a.question.count(a.self)
	var asked []Member
	for _, m := range listed {
		if m.Daemon != a.self {
			a.question.missing[m.Daemon] = m.Incarnation
			asked = append(asked, m)
		}
	}
	a.settle()
	return asked, true
}

// RecordVouch takes in how a daemon answered the question that was asked at the moment
// given. An answer counts only while the authority holds: a change that waited for
// its end may have been made before a later answer was given.
//
// A later incarnation than that of the list counts to all daemons, because the earlier
// one, with whatever it was changing, has ended. It does not count to a majority: the
// earlier one may have dropped a group.
func (a *Authorizer) RecordVouch(v Vouch, asked, now unit.Instant) {
	for _, group := range v.Dropped {
		a.Drop(group, now)
	}
	q := a.question
	if q == nil || q.asked != asked || !v.Idle || now >= a.until() {
		return
	}
	incarnation, missing := q.missing[v.Daemon]
	if !missing || v.Incarnation < incarnation {
		return
	}
	delete(q.missing, v.Daemon)
	if v.Incarnation == incarnation && !v.Ahead {
		q.count(v.Daemon)
	}
	a.settle()
}

// settle extends the authority by the answers so far.
func (a *Authorizer) settle() {
	q := a.question
	end := q.confirmed
	switch {
	case len(q.missing) == 0:
		end = end.Add(a.config.Extension)
	case q.majority():
		end = end.Add(a.config.Majority)
	}
	a.extended = max(a.extended, min(q.asked.Add(a.config.Lease), end))
}
