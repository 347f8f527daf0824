// Package authorizer decides whether a daemon may use the response of a primary.
//
// # Why
//
// Where the platform promotes instances, a replaced primary keeps responding until it
// steps down. Its later responses must not reach a caller: its reads lack newer
// writes, and its own writes are lost. Therefore a row in the platform's store names the
// primary of each group, and a daemon uses a response only while it has authority: a
// confirmation by the store that the row is unchanged, whose request was sent less than
// one lease before the response arrived. A daemon that replaces a primary first changes
// the row and then waits until the authority of every other daemon has ended.
//
// Leases are measured with [unit.Instant], which includes the time that the machine is
// suspended, and start when the request is sent. A daemon that was suspended therefore
// finds its authority expired, and clocks of different machines are never compared.
//
// # While the store is unreachable
//
// No row can change while no daemon reaches the store, but a single daemon can't
// distinguish an outage of the store from a failure of its own network path. Before its
// authority expires, it asks the daemons on the member list of its last confirmation to
// vouch, that is, to respond that they are changing no row. A response counts only if the
// request was sent less than one lease ago. The authority then lasts for one lease from
// the sending of the request, but no longer than one of two limits:
//
//   - All daemons vouch, so no daemon is changing a row: [Config.Extension] after the last
//     confirmation.
//   - The daemon and those that vouch are a majority: more than half of the list, or
//     exactly half of it including its first daemon by name. A daemon outside the majority
//     may have claimed a row, so the limit is [Config.Majority] after the last
//     confirmation. The larger side of a network partition thus continues without the
//     store.
//
// A daemon that has dropped its authority over a group lists the group when it vouches. A
// daemon that has newer rows than the requester does not count towards a majority.
//
// Between [Authorizer.BeginChange] and [Authorizer.EndChange] a daemon does not vouch,
// because a call to the store whose response was lost may still be executed. A daemon may
// begin a change right after it has vouched: the change waits for one lease, which is
// longer than the response can extend the authority of the requester.
//
// # How long a change waits
//
// A change waits until no other daemon can have authority, see [Revocation].
//
// # When the store is restored
//
// A store that comes back from an older copy begins a new era. Rows, and promises that rest on
// them, have gone back. The era is opened with rows that a [Restoration] determines from what
// the daemons know, and only then do its rows confirm anything. A daemon does not vouch for one
// with the rows of an earlier era than its own.
//
// # Usage
//
//	a := authorizer.New("daemon-1", 7, authorizer.Config{Lease: time.Second, Majority: 7 * time.Second, Extension: 10 * time.Second})
//	a.Confirm(authorizer.View{Leaderships: rows, Members: members}, sent)
//	l, ok := a.Primary("pulp-ledger-1", now)
//	...
//	if !a.Holds(l, received) {
//		return // The response must not be used.
//	}
package authorizer

import (
	"maps"
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// State is the state of a [Leadership] row.
type State string

// The states of a row.
const (
	// Leading means that the primary of the row may be used.
	Leading State = "leading"
	// Changing means that no primary may be used: it is being replaced, or, without a changer,
	// it is not known since the store was restored.
	Changing State = "changing"
)

// Leadership is the row of a group. It names the primary instance.
type Leadership struct {
	Group   unit.GroupName    `json:"group"`
	State   State             `json:"state"`
	Primary unit.InstanceName `json:"primary"`
	// Incarnation is the incarnation of the primary. Another incarnation of the same
	// instance has none of its data.
	Incarnation unit.Incarnation `json:"life"`
	Term        unit.Term        `json:"term"`
	// Fence is the fencing token of the duty holder that wrote the row.
	Fence unit.Fence `json:"fence"`
	// Changer is the daemon that is replacing the primary.
	Changer unit.DaemonID `json:"changer,omitempty"`
}

// Duty is the row that names the daemon with the right to promote instances, the duty
// holder, and its fencing token.
type Duty struct {
	Holder      unit.DaemonID    `json:"holder"`
	Incarnation unit.Incarnation `json:"incarnation"`
	Fence       unit.Fence       `json:"fence"`
}

// fencesPerEra is the number of fencing tokens of one era of the store. No era has as many
// holders of the duty.
const fencesPerEra = 1 << 32

// Next returns the duty of a new holder. Its fencing token exceeds all that were given out in
// this era, as far as the row shows, and in earlier ones, of which the store may have lost the
// newest.
func (d Duty) Next(holder unit.DaemonID, incarnation unit.Incarnation, era unit.Era) Duty {
	return Duty{Holder: holder, Incarnation: incarnation, Fence: max(d.Fence, lastEarlierFence(era)) + 1}
}

// HeldBy reports whether the daemon took the duty in this era.
func (d Duty) HeldBy(holder unit.DaemonID, incarnation unit.Incarnation, era unit.Era) bool {
	return d.Holder == holder && d.Incarnation == incarnation && d.Fence > lastEarlierFence(era)
}

// lastEarlierFence returns the highest fencing token that earlier eras may have given out.
func lastEarlierFence(era unit.Era) unit.Fence {
	if era <= 1 {
		return 0
	}
	return unit.Fence(era-1) * fencesPerEra
}

// Member is the row of a daemon on the member list.
type Member struct {
	Daemon      unit.DaemonID    `json:"daemon"`
	Incarnation unit.Incarnation `json:"incarnation"`
	Domain      unit.DomainName  `json:"domain"`
	// Address is where other daemons reach the daemon, as host:port.
	Address string `json:"address"`
	// Speed is the speed of the daemon's VM in processor cores, or zero if it is unknown.
	Speed float64 `json:"speed,omitempty"`
	// Bandwidth is the bandwidth of the VM's link in Mbit/s, or zero if it is unknown.
	Bandwidth float64 `json:"bandwidth,omitempty"`
	// Listed is the store's clock when the daemon was added to the list. A restart of the
	// daemon does not change it.
	Listed time.Duration `json:"listed"`
	// Removed is the store's clock when the daemon was removed from the list, or zero if
	// it is on the list.
	Removed time.Duration `json:"removed,omitempty"`
	// Left reports whether the daemon removed itself, after it had stopped serving.
	Left bool `json:"left,omitempty"`
}

// View is a snapshot of all rows.
type View struct {
	Leaderships map[unit.GroupName]Leadership
	Duty        Duty
	Members     map[unit.DaemonID]Member
	// Now is the store's clock at the snapshot.
	Now time.Duration
	// Epoch is the version of the newest row.
	Epoch uint64
	// Era is the era of the store that the rows were read in.
	Era unit.Era
	// Opened is the latest era that was opened with these rows, see [Restoration]. If it is
	// not Era, the store was restored and the rows may be older than those that daemons have
	// acted on.
	Opened unit.Era
	// UnlistedUntil is the store's clock until which daemons that are not on the list may have
	// authority from an earlier era.
	UnlistedUntil time.Duration
}

// Revision returns the revision of the newest row.
func (v View) Revision() unit.Revision { return unit.Revision{Era: v.Era, Version: v.Epoch} }

// Config holds the durations of an [Authorizer]. They must be the same in all daemons.
type Config struct {
	// Lease is how long a confirmation lasts.
	Lease time.Duration
	// Majority is how long after its last confirmation by the store a daemon may keep its
	// authority if a majority of the daemons vouches. It is at least Lease.
	Majority time.Duration
	// Extension is the same limit if all daemons vouch. It is at least Majority.
	Extension time.Duration
}

// Authorizer tracks the authority of one daemon. It is not safe for concurrent use.
type Authorizer struct {
	self        unit.DaemonID
	incarnation unit.Incarnation
	config      Config

	view          View
	confirmedAt   unit.Instant // When the request of the last confirmation was sent.
	hasView       bool         // Whether there has been a confirmation.
	extendedUntil unit.Instant // End of the extension by the other daemons.
	dropped       map[unit.GroupName]unit.Instant

	changing map[unit.GroupName]bool  // Groups whose row this daemon is changing.
	claims   map[unit.GroupName]claim // Changes of this daemon whose row may still be the claimed one.
	round    *extensionRound
}

// New returns an Authorizer without authority.
func New(self unit.DaemonID, incarnation unit.Incarnation, config Config) *Authorizer {
	return &Authorizer{
		self: self, incarnation: incarnation, config: config,
		dropped:  make(map[unit.GroupName]unit.Instant),
		changing: make(map[unit.GroupName]bool),
		claims:   make(map[unit.GroupName]claim),
	}
}

// Confirm records all rows as returned by the store for a request sent at the given time.
func (a *Authorizer) Confirm(view View, sent unit.Instant) {
	if a.hasView && sent < a.confirmedAt {
		return
	}
	a.view = view
	a.hasView = true
	a.confirmedAt = sent
	a.settle()
}

// Reconfirm records that no row has changed, as confirmed by the store for a request sent
// at the given time. The store's clock was at now.
func (a *Authorizer) Reconfirm(sent unit.Instant, now time.Duration) {
	if a.hasView && sent > a.confirmedAt {
		a.confirmedAt = sent
		a.view.Now = now
	}
}

// Config returns the durations.
func (a *Authorizer) Config() Config { return a.config }

// View returns the rows of the last confirmation. The caller must not modify them.
func (a *Authorizer) View() View { return a.view }

// Confirmed returns when the request of the last confirmation was sent, or false if there
// has been no confirmation.
func (a *Authorizer) Confirmed() (unit.Instant, bool) { return a.confirmedAt, a.hasView }

// Primary returns the row of the group. The result is false if the row names no primary
// that the daemon has authority to use.
func (a *Authorizer) Primary(group unit.GroupName, now unit.Instant) (Leadership, bool) {
	l, ok := a.view.Leaderships[group]
	return l, ok && a.Holds(l, now)
}

// Holds reports whether a response of l's primary that arrived at now may be used.
func (a *Authorizer) Holds(l Leadership, now unit.Instant) bool {
	if a.view.Leaderships[l.Group] != l || l.State != Leading || a.changing[l.Group] || !a.IsListed() {
		return false
	}
	return !a.hasDropped(l.Group) && now < a.expiry()
}

// Active reports whether the daemon has authority over any group that has a primary.
func (a *Authorizer) Active(now unit.Instant) bool { return a.IsListed() && now < a.expiry() }

// expiry returns when the authority ends.
func (a *Authorizer) expiry() unit.Instant {
	return max(a.confirmedAt.Add(a.config.Lease), a.extendedUntil)
}

// IsListed reports whether the daemon is on the member list of its own view. Only then do
// changes by other daemons wait for the end of its authority.
func (a *Authorizer) IsListed() bool {
	m, ok := a.view.Members[a.self]
	return ok && a.hasView && m.Incarnation == a.incarnation && m.Removed == 0
}

// Drop ends the authority over a group until the store confirms a request sent after now.
// It returns false while a change of this daemon is outstanding, see
// [Authorizer.BeginChange]: its call to the store may still be executed.
func (a *Authorizer) Drop(group unit.GroupName, now unit.Instant) bool {
	a.dropped[group] = now
	return len(a.changing) == 0
}

// hasDropped reports whether the daemon has dropped the group since the request of the last
// confirmation was sent.
func (a *Authorizer) hasDropped(group unit.GroupName) bool {
	at, ok := a.dropped[group]
	return ok && a.confirmedAt <= at
}

// HoldsDuty reports whether the store has confirmed within one lease before now that the
// daemon holds the duty. An extension by other daemons does not count.
func (a *Authorizer) HoldsDuty(fence unit.Fence, now unit.Instant) bool {
	d := a.view.Duty
	return a.hasView && d.Holder == a.self && d.Incarnation == a.incarnation && d.Fence == fence &&
		now < a.confirmedAt.Add(a.config.Lease)
}

// BeginChange records that a transaction is about to be sent that takes the primary of the
// group out of use. It returns false if the transaction must not be sent. The daemon has no
// authority over the group until [Authorizer.EndChange], because the store may still confirm
// the old row to it while the transaction is in flight.
func (a *Authorizer) BeginChange(group unit.GroupName) bool {
	if !a.IsListed() {
		return false
	}
	a.changing[group] = true
	return true
}

// EndChange records that the outcome of the transaction is known and that no call of this
// daemon under the duty is outstanding.
func (a *Authorizer) EndChange(group unit.GroupName, now unit.Instant) {
	delete(a.changing, group)
	a.Drop(group, now)
}

// RecentlyListed reports whether the daemon was added to the list less than
// [Config.Extension] ago.
func (a *Authorizer) RecentlyListed(m Member) bool { return a.view.Now-m.Listed < a.config.Extension }

// Holders returns the other daemons that may have authority: those on the list, and those
// removed from it less than [Config.Extension] ago. A change must use the list of a
// confirmation that was requested after the row was claimed, because daemons may have been
// added since an earlier one.
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

// Listed returns the daemons on the list, sorted by name.
func (v View) Listed() []Member {
	return slices.DeleteFunc(v.members(), func(m Member) bool { return m.Removed != 0 })
}

// members returns the daemons on the list and those removed from it, sorted by name.
func (v View) members() []Member {
	members := make([]Member, 0, len(v.Members))
	for _, d := range slices.Sorted(maps.Keys(v.Members)) {
		members = append(members, v.Members[d])
	}
	return members
}
