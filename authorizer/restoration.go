package authorizer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// Recollection is what a daemon knows when the store has been restored: the rows as it last
// read them, which the store may have lost, and its authority.
type Recollection struct {
	Daemon      unit.DaemonID
	Incarnation unit.Incarnation
	// View holds the rows of its last confirmation. It has no rows if there was none.
	View View
	// Age is the time since the request of that confirmation was sent.
	Age time.Duration
	// Held are the groups whose primary the daemon has authority to use.
	Held []unit.GroupName
	// Unsettled are the groups in whose change the daemon may have given orders: to step down,
	// or to promote an instance. The row of the change has not been replaced since.
	Unsettled []unit.GroupName
	// Claimed are the groups of its other changes, in which it has given no order.
	Claimed []unit.GroupName
}

// claim is the change of a primary by this daemon.
type claim struct {
	row     Leadership // The claimed row.
	ordered bool       // Whether orders may have been given.
}

// RecordClaim records the row with which this daemon claims a change, before it does. Takeover
// means that another daemon may have given orders in the change.
func (a *Authorizer) RecordClaim(row Leadership, takeover bool) {
	a.claims[row.Group] = claim{row: row, ordered: takeover}
}

// RecordOrder records that this daemon is about to give an order in its change of the group.
func (a *Authorizer) RecordOrder(group unit.GroupName) {
	c := a.claims[group]
	c.ordered = true
	a.claims[group] = c
}

// settle forgets the changes whose row has been replaced.
func (a *Authorizer) settle() {
	for name, c := range a.claims {
		if !a.changing[name] && a.view.Leaderships[name] != c.row {
			delete(a.claims, name)
		}
	}
}

// Recollect returns what the daemon knows at now.
func (a *Authorizer) Recollect(now unit.Instant) Recollection {
	r := Recollection{Daemon: a.self, Incarnation: a.incarnation, View: a.view, Age: now.Sub(a.confirmedAt)}
	for name, l := range a.view.Leaderships {
		if a.Holds(l, now) {
			r.Held = append(r.Held, name)
		}
	}
	for name, c := range a.claims {
		if c.ordered {
			r.Unsettled = append(r.Unsettled, name)
		} else {
			r.Claimed = append(r.Claimed, name)
		}
	}
	slices.Sort(r.Held)
	slices.Sort(r.Unsettled)
	slices.Sort(r.Claimed)
	return r
}

// Restoration determines the rows with which a new era of the store is opened.
//
// The rows of the copy that the store was restored from may be older than what the daemons
// have acted on. No daemon uses them. Until the era is opened, the daemons keep the authority
// that they had and extend it among themselves, as while the store is unavailable: no row of
// the earlier era can change any more. One daemon asks all others for their recollections, and
// writes the rows that follow from them:
//
//   - If all daemons have responded, and none of them may have given orders whose outcome is not
//     in the rows, the primary of a group is still the one that the newest row names.
//   - If a daemon still has authority to use a primary one lease after the restore, it is still
//     the primary. A change of the earlier era that another daemon has in progress has not
//     promoted another instance, because it waits for this authority, and it no longer will,
//     because its duty holder needs a confirmation that is younger than one lease.
//   - Otherwise the primary is not known. The row names no primary until a daemon has asked the
//     instances.
//   - The member list has all daemons of all recollections, so that later changes wait for the
//     daemons that may have authority from the earlier era. A list that was confirmed shortly
//     before the restore lacks at most daemons that had just been added, and changes wait until
//     their lease has ended. Otherwise they wait until an authority that daemons extend among
//     themselves has ended.
//
// A Restoration is not safe for concurrent use.
type Restoration struct {
	config    Config
	found     View
	seenAt    unit.Instant
	responses map[unit.DaemonID]Recollection
}

// NewRestoration returns the Restoration for an era whose first response arrived at seenAt. The
// restored rows are found. Own is the recollection of the daemon that opens the era.
func NewRestoration(config Config, found View, seenAt unit.Instant, own Recollection) *Restoration {
	r := &Restoration{config: config, found: found, seenAt: seenAt, responses: make(map[unit.DaemonID]Recollection)}
	r.Record(own)
	return r
}

// Record records the recollection of a daemon. It replaces an earlier one of the same daemon.
func (r *Restoration) Record(c Recollection) { r.responses[c.Daemon] = c }

// views returns all known views: the restored one, and then those of the daemons, the most recent
// last.
func (r *Restoration) views() []View {
	var views []View
	for _, d := range slices.Sorted(maps.Keys(r.responses)) {
		views = append(views, r.responses[d].View)
	}
	slices.SortStableFunc(views, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Epoch, b.Epoch))
	})
	return append([]View{r.found}, views...)
}

// Members returns the daemons on any member list, sorted by name. A daemon on several lists is
// returned as listed in its latest incarnation and at the latest time.
func (r *Restoration) Members() []Member {
	members := make(map[unit.DaemonID]Member)
	for _, v := range r.views() {
		for id, m := range v.Members {
			known, ok := members[id]
			if !ok || compareMembers(known, m) < 0 {
				members[id] = m
			}
		}
	}
	sorted := View{Members: members}.members()
	for n := range sorted {
		// The store's clock may go back when it is restored.
		sorted[n].Listed = min(sorted[n].Listed, r.found.Now)
		sorted[n].Removed = min(sorted[n].Removed, r.found.Now)
	}
	return sorted
}

// compareMembers orders the entries of one daemon on several lists. An entry of a listed daemon
// follows one of a removed daemon, because changes wait longer for it.
func compareMembers(a, b Member) int {
	listed := func(m Member) int {
		if m.Removed == 0 {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(listed(a), listed(b)),
		cmp.Compare(a.Listed, b.Listed), cmp.Compare(a.Removed, b.Removed),
	)
}

// Ready reports whether the rows can be determined from recollections that were requested at
// asked or later.
func (r *Restoration) Ready(asked unit.Instant) bool {
	return r.first() || asked.Sub(r.seenAt) >= r.config.Lease || r.complete()
}

// first reports whether the era is the first one. Then no rows were lost.
func (r *Restoration) first() bool { return r.found.Era <= 1 }

// complete reports whether all daemons on the member lists have responded with what they knew
// when they were listed.
func (r *Restoration) complete() bool {
	members := r.Members()
	for _, m := range members {
		c, responded := r.responses[m.Daemon]
		if m.Removed == 0 && (!responded || c.Incarnation != m.Incarnation || len(c.View.Members) == 0) {
			return false
		}
	}
	return len(members) > 0 // Otherwise there may be daemons that this one does not know.
}

// unsettled reports whether a daemon may have given orders in the group whose outcome is not
// in the rows.
func (r *Restoration) unsettled(name unit.GroupName) bool {
	for _, c := range r.responses {
		if slices.Contains(c.Unsettled, name) {
			return true
		}
	}
	return false
}

// holder returns the row of the group according to a daemon that has authority over it.
func (r *Restoration) holder(name unit.GroupName) (Leadership, bool) {
	for _, c := range r.responses {
		if slices.Contains(c.Held, name) {
			return c.View.Leaderships[name], true
		}
	}
	return Leadership{}, false
}

// unlistedFor returns for how long daemons that are not on the list may have authority.
func (r *Restoration) unlistedFor(now unit.Instant) time.Duration {
	longest := r.config.Extension
	for _, c := range r.responses {
		switch {
		case len(c.View.Members) == 0:
		case c.Age <= now.Sub(r.seenAt)+2*r.config.Lease:
			return r.config.Lease
		default:
			longest = r.config.Majority
		}
	}
	return longest
}

// Rows returns the rows to open the era with at now. They may be written if Ready.
func (r *Restoration) Rows(now unit.Instant) View {
	v := View{
		Leaderships: make(map[unit.GroupName]Leadership), Members: make(map[unit.DaemonID]Member),
		Now: r.found.Now, Era: r.found.Era, Opened: r.found.Era,
	}
	for _, m := range r.Members() {
		v.Members[m.Daemon] = m
	}
	for _, known := range r.views() {
		if known.Duty.Fence > v.Duty.Fence {
			v.Duty = known.Duty
		}
		for name, l := range known.Leaderships {
			if latest, ok := v.Leaderships[name]; !ok || compareLeaderships(latest, l) <= 0 {
				v.Leaderships[name] = l
			}
		}
	}
	if r.first() {
		return v
	}
	v.UnlistedUntil = v.Now + r.unlistedFor(now)
	for name, l := range v.Leaderships {
		v.Leaderships[name] = r.row(l)
	}
	return v
}

// row returns the row to open the era with, given the newest one.
func (r *Restoration) row(newest Leadership) Leadership {
	row := newest
	row.State, row.Changer = Changing, ""
	held, ok := r.holder(newest.Group)
	switch {
	case r.unsettled(newest.Group):
	case ok:
		return held
	case r.complete() && (newest.State == Leading || r.onlyClaimed(newest)):
		row.State = Leading
	}
	return row
}

// onlyClaimed reports whether the daemon that claimed the row has given no order.
func (r *Restoration) onlyClaimed(row Leadership) bool {
	c, responded := r.responses[row.Changer]
	return responded && slices.Contains(c.Claimed, row.Group)
}

// compareLeaderships orders the rows of one group by the time at which they were written, as far
// as they show it.
func compareLeaderships(a, b Leadership) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Fence, b.Fence))
}
