// Package authorizer decides whether a daemon may use the answer of a primary.
//
// # Why
//
// Where the platform promotes instances, a primary that has been replaced goes on
// answering until somebody tells it. What it answers after that must not reach a
// caller: its reads lack later writes and its writes are lost. So a row in the
// platform's store names the primary of each group, and a daemon uses an answer
// only while it has authority: a confirmation that the row is unchanged, whose
// request was sent less than a lease before the answer came in. Who replaces a
// primary first changes the row, and then waits until every authority has ended.
//
// Leases are measured with [unit.Instant], which counts suspensions of the
// machine, from the sending of the request. So a daemon that was frozen finds its
// authority ended, and no clocks are compared between machines.
//
// # While the store is away
//
// No row can change while nobody reaches the store, but a daemon can't tell that
// from a failure of its own path. It asks the daemons of the list that came with its
// last confirmation to vouch, before its authority ends. Each answer that it counts
// was given to a question sent less than a lease ago, so the authority lasts for a
// lease from the sending of the question, and it ends in two cases at the latest:
//
//   - When all of them vouch, nobody is changing a row: [Config.Extension] after the last
//     confirmation.
//   - When the daemon and those that vouch are more than half of the list, or half of
//     it with its first by name, somebody may have claimed a row: [Config.Majority] after
//     the last confirmation. So the larger side of a network partition goes on without
//     the store.
//
// A daemon that has dropped a group names it when it vouches, and one that knows newer
// rows than the asker is not counted to a majority.
//
// From [Authorizer.BeginChange] to [Authorizer.EndChange] a daemon vouches for
// nothing, because a call to the store whose answer was lost may still be carried
// out. A daemon that vouches may begin a change right after: the change waits for a
// lease, which is longer than what the asker can make of the answer.
//
// # Who waits how long
//
// A change waits until nobody can have authority any more, see [Revocation].
//
// # Usage
//
//	a := authorizer.New("daemon-1", 7, authorizer.Config{Lease: time.Second, Extension: 10 * time.Second})
//	a.Confirm(authorizer.View{Leaderships: rows, Members: members}, asked)
//	l, ok := a.Primary("pulp-ledger-1", now)
//	...
//	if !a.Holds(l, arrived) {
//		return // The answer must not be used.
//	}
package authorizer

import (
	"maps"
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// State tells how far the change of a primary is.
type State string

// The states.
const (
	// Leading says that the primary may be used.
	Leading State = "leading"
	// Changing says that no primary may be used.
	Changing State = "changing"
)

// Leadership is the row of a group: which instance is its primary.
type Leadership struct {
	Group   unit.GroupName    `json:"group"`
	State   State             `json:"state"`
	Primary unit.InstanceName `json:"primary"`
	// Incarnation is the life of the primary. Another life of the same instance has
	// nothing of what this one had.
	Incarnation unit.Incarnation `json:"life"`
	Term        unit.Term        `json:"term"`
	// Fence is that of the duty's holder who wrote the row.
	Fence unit.Fence `json:"fence"`
	// Changer is the daemon that changes the primary.
	Changer unit.DaemonID `json:"changer,omitempty"`
}

// Duty is the row of the duty to promote instances.
type Duty struct {
	Holder      unit.DaemonID    `json:"holder"`
	Incarnation unit.Incarnation `json:"incarnation"`
	Fence       unit.Fence       `json:"fence"`
}

// Member is the row of a daemon.
type Member struct {
	Daemon      unit.DaemonID    `json:"daemon"`
	Incarnation unit.Incarnation `json:"incarnation"`
	Domain      unit.DomainName  `json:"domain"`
	// Address is where other daemons reach it, as host:port.
	Address string `json:"address"`
	// Listed is the store's clock when the daemon came on the list. It stays
	// over restarts.
	Listed time.Duration `json:"listed"`
	// Removed is the store's clock when the daemon was taken off the list.
	// Zero says that it is on it.
	Removed time.Duration `json:"removed,omitempty"`
}

// View is all rows at one moment.
type View struct {
	Leaderships map[unit.GroupName]Leadership
	Duty        Duty
	Members     map[unit.DaemonID]Member
	// Now is the store's clock at that moment.
	Now time.Duration
	// Epoch is the version of the newest row.
	Epoch uint64
}

// Config holds the times of an [Authorizer]. All daemons must have the same.
type Config struct {
	// Lease is how long a confirmation lasts.
	Lease time.Duration
	// Majority is how long more than half of the daemons may keep their authority
	// without a confirmation by the store: no shorter than Lease.
	Majority time.Duration
	// Extension is the same for all of the daemons: no shorter than Majority.
	Extension time.Duration
}

// Authorizer holds the authority of one daemon. It is not safe for concurrent
// use.
type Authorizer struct {
	self        unit.DaemonID
	incarnation unit.Incarnation
	config      Config

	view      View
	confirmed unit.Instant // When the last confirmation was asked for.
	known     bool         // Whether there has been one.
	extended  unit.Instant // Until when the daemons have extended the authority.
	dropped   map[unit.GroupName]unit.Instant

	own      map[unit.GroupName]bool // Groups whose row this daemon is changing.
	question *question
}

// New returns an Authorizer without authority.
func New(self unit.DaemonID, incarnation unit.Incarnation, config Config) *Authorizer {
	return &Authorizer{
		self: self, incarnation: incarnation, config: config,
		dropped: make(map[unit.GroupName]unit.Instant),
		own:     make(map[unit.GroupName]bool),
	}
}

// Confirm records all rows, as the store gave them to a request sent at asked.
func (a *Authorizer) Confirm(view View, asked unit.Instant) {
	if a.known && asked < a.confirmed {
		return
	}
	a.view = view
	a.known = true
	a.confirmed = asked
}

// Reconfirm records that no row has changed, by a request sent at asked.
func (a *Authorizer) Reconfirm(asked unit.Instant, now time.Duration) {
	if a.known && asked > a.confirmed {
		a.confirmed = asked
		a.view.Now = now
	}
}

// View returns the rows as last confirmed. They must not be changed.
func (a *Authorizer) View() View { return a.view }

// Confirmed returns when the last confirmation was asked for, or false if there
// has been none.
func (a *Authorizer) Confirmed() (unit.Instant, bool) { return a.confirmed, a.known }

// Primary returns the row of the group, if it names a primary that the daemon
// has the authority to use.
func (a *Authorizer) Primary(group unit.GroupName, now unit.Instant) (Leadership, bool) {
	l, ok := a.view.Leaderships[group]
	return l, ok && a.Holds(l, now)
}

// Holds reports whether an answer of l's primary that came in at now may be
// used.
func (a *Authorizer) Holds(l Leadership, now unit.Instant) bool {
	if a.view.Leaderships[l.Group] != l || l.State != Leading || a.own[l.Group] || !a.listed() {
		return false
	}
	return !a.gaveUp(l.Group) && now < a.until()
}

// Active reports whether the daemon has authority over any group that has a primary.
func (a *Authorizer) Active(now unit.Instant) bool { return a.listed() && now < a.until() }

// until returns when the authority ends.
func (a *Authorizer) until() unit.Instant {
	return max(a.confirmed.Add(a.config.Lease), a.extended)
}

// listed reports whether the daemon itself is on the list that it knows: others
// reckon with its authority only then.
func (a *Authorizer) listed() bool {
	m, ok := a.view.Members[a.self]
	return ok && a.known && m.Incarnation == a.incarnation && m.Removed == 0
}

// Drop gives up the authority over a group until a confirmation is asked for
// after now. It returns false if the daemon may be about to use the store for
// the duty, see [Authorizer.BeginChange].
func (a *Authorizer) Drop(group unit.GroupName, now unit.Instant) bool {
	a.dropped[group] = now
	return len(a.own) == 0
}

// gaveUp reports whether the daemon has dropped the group since the last confirmation
// was asked for.
func (a *Authorizer) gaveUp(group unit.GroupName) bool {
	at, ok := a.dropped[group]
	return ok && a.confirmed <= at
}

// HoldsDuty reports whether the daemon is known to hold the duty at now. An
// extension by other daemons does not count.
func (a *Authorizer) HoldsDuty(fence unit.Fence, now unit.Instant) bool {
	d := a.view.Duty
	return a.known && d.Holder == a.self && d.Incarnation == a.incarnation && d.Fence == fence &&
		now < a.confirmed.Add(a.config.Lease)
}

// BeginChange tells that a transaction is about to be sent that takes a primary
// out of use. It returns false if it must not be sent. The daemon itself has no
// authority over the group until [Authorizer.EndChange]: the store may confirm the
// old row to it while the transaction is on its way.
func (a *Authorizer) BeginChange(group unit.GroupName) bool {
	if !a.listed() {
		return false
	}
	a.own[group] = true
	return true
}

// EndChange tells that the outcome of the transaction is known and that nothing
// is left that this daemon may do under the duty.
func (a *Authorizer) EndChange(group unit.GroupName, now unit.Instant) {
	delete(a.own, group)
	a.Drop(group, now)
}

// RecentlyListed reports whether the daemon came on the list less than the extension ago.
func (a *Authorizer) RecentlyListed(m Member) bool { return a.view.Now-m.Listed < a.config.Extension }

// Holders returns the daemons that may have authority: all on the list but this
// one, and those taken off it for less than the extension. To a change they matter
// as of a confirmation that was asked for after the row was claimed: daemons may
// have come on the list since an earlier one.
func (a *Authorizer) Holders() []Member {
	var holders []Member
	for _, m := range a.view.members() {
		if m.Daemon == a.self {
			continue
		}
		if m.Removed == 0 || a.view.Now-m.Removed < a.config.Extension {
			holders = append(holders, m)
		}
	}
	return holders
}

// Listed returns the daemons on the list in the order of names.
func (v View) Listed() []Member {
	return slices.DeleteFunc(v.members(), func(m Member) bool { return m.Removed != 0 })
}

// members returns the daemons on the list and those taken off it in the order of names.
func (v View) members() []Member {
	members := make([]Member, 0, len(v.Members))
	for _, d := range slices.Sorted(maps.Keys(v.Members)) {
		members = append(members, v.Members[d])
	}
	return members
}
