package authorizer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// fault is a deliberate defect in the protocol. The simulation must detect each.
type fault string

const (
	none                  fault = ""
	checkOnSend           fault = "authority is checked only when the request is sent"
	noWait                fault = "a change does not wait for the end of authorities"
	someVouch             fault = "an extension needs the vouch of one daemon only"
	vouchInChange         fault = "a daemon vouches while its transaction is in flight"
	newDaemonWaitsLease   fault = "a recently listed daemon waits for one lease only"
	unlistedChanges       fault = "a daemon that is not on the list changes a row"
	unboundedExtension    fault = "extensions have no limit"
	extendExpired         fault = "an expired authority is extended"
	confirmAtReceipt      fault = "a lease starts when the confirmation is received"
	monotonicClock        fault = "leases are measured by a clock that stops during suspensions"
	forgetRemoved         fault = "a change does not wait for recently removed daemons"
	staleHolders          fault = "a change waits for the daemons on a list read before the claim"
	minorityWaits         fault = "a change waits for one lease whichever daemons have dropped the group"
	majorityFullExtension fault = "extensions by a majority end as late as those by all daemons"
	hiddenDrop            fault = "a daemon does not report the groups that it has dropped"
	vouchAhead            fault = "a daemon with newer rows counts towards a majority"
	relayWithoutAge       fault = "a relayed confirmation counts as new"
	vouchRestarted        fault = "a restarted daemon counts towards a majority"
	countNewDaemons       fault = "recently listed daemons count as withdrawn from a majority"
)

const (
	modelLease     = time.Second
	modelMajority  = 3 * time.Second
	modelExtension = 5 * time.Second
	modelStep      = 20 * time.Millisecond
	modelLength    = 40 * time.Second
	modelDaemons   = 4
	// partitionDaemons is the number of daemons in a simulation with network partitions.
	partitionDaemons = 5
)

// world simulates a deployment in virtual time: daemons with an [authorizer.Authorizer]
// each, a store, and one group whose primaries are numbered by promotion.
type world struct {
	random *rand.Rand
	fault  fault
	now    time.Duration
	queue  []timed

	rows           authorizer.View
	versions       map[string]int
	version        int
	copies         []storeCopy            // Copies of the store, if it is restored now and then.
	storeDownUntil time.Duration          // Until when the store is unreachable for all daemons.
	partitions     bool                   // Whether network partitions occur.
	relays         bool                   // Whether daemons obtain rows from each other.
	partitionUntil time.Duration          // End of the current partition.
	isolated       map[unit.DaemonID]bool // Daemons that don't reach the store during the partition.
	bridge         unit.DaemonID          // Daemon that reaches both sides, if any.
	promotions     int                    // Number of promotions that took effect.
	primary        map[int]unit.InstanceName

	daemons   []*node
	used      int
	claims    int
	opened    int // Number of eras that were opened.
	violation string
}

// timed is a function that is due at a time.
type timed struct {
	at time.Duration
	f  func()
}

// node is one daemon.
type node struct {
	world          *world
	id             unit.DaemonID
	incarnation    unit.Incarnation
	auth           *authorizer.Authorizer
	versions       map[string]int
	alive          bool
	joinsLater     bool
	suspendedUntil time.Duration // Until when the daemon is suspended.
	suspendedFor   time.Duration // Total time suspended, for the fault monotonicClock.
	cutOffUntil    time.Duration // Until when the daemon does not reach the store.
	changing       bool
	pending        pendingEra
	deafUntil      time.Duration         // Until when no messages from or to other daemons arrive.
	unknownSince   time.Duration         // Since when the row has named no primary after a restore, or zero.
	claimEra       unit.Era              // Era of the current change.
	claimRow       authorizer.Leadership // Row of the current change.
	confirmedClaim authorizer.Leadership // The same row once the claim is known to have taken effect.
}

func newWorld(seed uint64, f fault, partitions bool) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 11)), fault: f, partitions: partitions,
		versions: map[string]int{eraKey(1): 1}, version: 1, primary: map[int]unit.InstanceName{0: "i-0"},
		rows: authorizer.View{
			Era: 1, Opened: 1,
			Leaderships: map[unit.GroupName]authorizer.Leadership{
				"g": {Group: "g", State: authorizer.Leading, Primary: "i-0", Term: 1},
			},
			Members: make(map[unit.DaemonID]authorizer.Member),
		},
	}
	daemons := modelDaemons
	if partitions {
		daemons = partitionDaemons - w.random.IntN(2) // Ties need an even number.
	}
	for n := range daemons {
		d := &node{world: w, id: unit.DaemonID(fmt.Sprintf("d-%d", n))}
		w.daemons = append(w.daemons, d)
		d.start()
	}
	if daemons == partitionDaemons && w.random.IntN(2) == 0 {
		w.joinLate(w.daemons[daemons-2:])
	}
	return w
}

// joinLate starts the given daemons right after a partition has begun.
func (w *world) joinLate(late []*node) {
	joins := time.Duration(2000+w.random.IntN(6000)) * time.Millisecond
	for _, d := range late {
		d.alive, d.joinsLater = false, true
	}
	w.after(joins, func() {
		w.partition([]int{2, 0, 1}, 2)
		for _, d := range late {
			d.joinsLater = false
			d.start()
		}
	})
}

func (w *world) after(d time.Duration, f func()) {
	w.queue = append(w.queue, timed{at: w.now + d, f: f})
}

// latency returns the delay of one message. One in 30 takes up to 1.5 s.
func (w *world) latency() time.Duration {
	if w.random.IntN(30) == 0 {
		return time.Duration(w.random.IntN(1500)) * time.Millisecond
	}
	return time.Duration(1+w.random.IntN(40)) * time.Millisecond
}

func (w *world) clock(d *node) unit.Instant {
	if w.fault == monotonicClock {
		return unit.Instant(w.now - d.suspendedFor)
	}
	return unit.Instant(w.now)
}

// run executes one whole schedule.
func (w *world) run() {
	for w.now = 0; w.now < modelLength && w.violation == ""; w.now += modelStep {
		slices.SortStableFunc(w.queue, func(a, b timed) int { return int(a.at - b.at) })
		due := 0
		for due < len(w.queue) && w.queue[due].at <= w.now {
			due++
		}
		events := slices.Clone(w.queue[:due])
		w.queue = w.queue[due:]
		for _, e := range events {
			e.f()
		}
		if w.partitions && w.now >= w.partitionUntil && w.random.IntN(400) == 0 {
			w.partition(w.random.Perm(len(w.daemons)), 1+w.random.IntN(len(w.daemons)-2))
		}
		if w.random.IntN(250) == 0 {
			w.storeDownUntil = w.now + time.Duration(w.random.IntN(8000))*time.Millisecond
		}
		if w.copies != nil {
			w.restoreSometimes()
		}
		for _, d := range w.daemons {
			d.step()
		}
	}
}

// partition separates the given number of daemons from the store and from the others for a
// while: those that follow the first in order, which replaces the primary. All daemons reach
// the instances. In half of the partitions one isolated daemon reaches all other daemons.
func (w *world) partition(order []int, isolated int) {
	w.partitionUntil = w.now + time.Duration(1000+w.random.IntN(7000))*time.Millisecond
	w.isolated, w.bridge = make(map[unit.DaemonID]bool), ""
	for _, n := range order[1 : 1+isolated] {
		w.isolated[w.daemons[n].id] = true
	}
	if w.random.IntN(2) == 0 {
		w.bridge = w.daemons[order[1]].id
	}
	changer := w.daemons[order[0]]
	w.after(time.Duration(w.random.IntN(2500))*time.Millisecond, func() {
		if changer.alive && w.now >= changer.suspendedUntil && !changer.changing {
			changer.change()
		}
	})
}

// apart reports whether a partition separates the two daemons.
func (w *world) apart(a, b *node) bool {
	return w.now < w.partitionUntil && w.isolated[a.id] != w.isolated[b.id] && a.id != w.bridge && b.id != w.bridge
}

// Of the messages between daemons, one in this many is lost.
const (
	loseVouch    = 12
	loseWithdraw = 2
)

// sendTo delivers a message to another daemon unless a partition separates the two. One in
// lost messages is dropped.
func (d *node) sendTo(other *node, lost int, f func()) {
	deaf := max(d.deafUntil, other.deafUntil) > d.world.now
	if d.world.random.IntN(lost) > 0 && !d.world.apart(d, other) && !deaf {
		other.deliver(f)
	}
}

// deliver calls f after the latency of a message, and not before the daemon resumes if it is
// suspended.
func (d *node) deliver(f func()) {
	incarnation := d.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case !d.alive || d.incarnation != incarnation:
		case d.world.now < d.suspendedUntil:
			d.world.after(d.suspendedUntil-d.world.now, attempt)
		default:
			f()
		}
	}
	d.world.after(d.world.latency(), attempt)
}

func (d *node) start() {
	w := d.world
	d.incarnation++
	d.alive, d.changing, d.confirmedClaim = true, false, authorizer.Leadership{}
	config := authorizer.Config{Lease: modelLease, Majority: modelMajority, Extension: modelExtension}
	switch w.fault {
	case unboundedExtension:
		config.Extension = time.Hour
	case majorityFullExtension:
		config.Majority = modelExtension
	}
	d.auth = authorizer.New(d.id, d.incarnation, config)
	d.pending, d.unknownSince = pendingEra{}, 0
	d.versions = make(map[string]int)
}

// step performs random actions of a daemon.
func (d *node) step() {
	w := d.world
	if !d.alive {
		if !d.joinsLater && w.random.IntN(50) == 0 {
			d.start()
		}
		return
	}
	if w.now < d.suspendedUntil {
		d.suspendedFor += modelStep
		return
	}
	failures, changes := 2000, 300
	if w.partitions { // A daemon that is changing a row does not vouch.
		failures, changes = 10_000, 3000
	}
	switch w.random.IntN(failures) {
	case 0, 1, 2:
		d.alive = false
		return
	case 3, 4, 5, 6:
		d.suspendedUntil = w.now + time.Duration(w.random.IntN(3000))*time.Millisecond
	case 7, 8, 9, 10:
		d.cutOffUntil = w.now + time.Duration(w.random.IntN(12000))*time.Millisecond
	case 11, 12, 13, 14, 15, 16:
		d.removeOther()
	}
	if w.random.IntN(12) == 0 {
		d.confirm()
	}
	if w.random.IntN(12) == 0 {
		d.ask()
	}
	if w.random.IntN(4) == 0 {
		d.query()
	}
	if w.random.IntN(changes) == 0 && !d.changing {
		d.change()
	}
	if w.relays && w.random.IntN(24) == 0 {
		d.relay()
	}
	if w.copies != nil {
		d.recover()
	}
}

// reachesStore reports whether a call of the daemon reaches the store now.
func (d *node) reachesStore() bool {
	w := d.world
	return w.now >= d.cutOffUntil && w.now >= w.storeDownUntil && (w.now >= w.partitionUntil || !w.isolated[d.id])
}

// confirm reads all rows, and adds the daemon to the list if it isn't on it.
func (d *node) confirm() {
	w := d.world
	sent := w.clock(d)
	w.after(w.latency(), func() {
		if !d.reachesStore() {
			return
		}
		view, versions := copyView(w.rows), maps.Clone(w.versions)
		view.Now, view.Epoch = w.now, uint64(w.version)
		d.deliver(func() {
			if w.fault == confirmAtReceipt {
				sent = w.clock(d)
			}
			if !d.adopt(view, versions, sent) {
				return
			}
			m, ok := view.Members[d.id]
			if ok && m.Removed == 0 && m.Incarnation == d.incarnation {
				return
			}
			if ok && m.Removed != 0 && w.fault == unlistedChanges {
				return
			}
			d.enlist(d.id, d.incarnation)
		})
	})
}

// enlist adds a daemon to the list, on condition that its row is as this daemon knows it.
func (d *node) enlist(id unit.DaemonID, incarnation unit.Incarnation) {
	w := d.world
	view := d.auth.View()
	wanted := authorizer.Member{Daemon: id, Incarnation: incarnation, Listed: view.Now}
	if m, ok := view.Members[id]; ok && m.Removed == 0 {
		wanted.Listed = m.Listed
	}
	expected := d.expect(string(id))
	w.after(w.latency(), func() {
		if w.hold(expected) && d.reachesStore() {
			w.put(string(id))
			w.rows.Members[id] = wanted
		}
	})
}

func (w *world) put(key string) {
	w.version++
	w.versions[key] = w.version
}

// removeOther removes another daemon from the list, as is done with one that has been
// unresponsive for long.
func (d *node) removeOther() {
	w := d.world
	other := w.daemons[w.random.IntN(len(w.daemons))]
	m, ok := w.rows.Members[other.id]
	if other == d || !ok || m.Removed != 0 || !d.reachesStore() || w.rows.Opened != w.rows.Era {
		return
	}
	m.Removed = w.now
	w.rows.Members[other.id] = m
	w.put(string(other.id))
	w.after(time.Duration(w.random.IntN(2500))*time.Millisecond, func() {
		if other.alive && w.now >= other.suspendedUntil && !other.changing {
			other.change()
		}
	})
}

// ask asks all daemons to vouch.
func (d *node) ask() {
	w := d.world
	sent := w.clock(d)
	if w.fault == extendExpired {
		// This makes the last confirmation look more recent than it is.
		if at, ok := d.auth.Confirmed(); ok && sent.Sub(at) < modelExtension {
			d.auth.Reconfirm(sent-unit.Instant(modelLease)+1, w.now)
		}
	}
	members, ok := d.auth.BeginExtension(sent)
	if !ok {
		return
	}
	known := d.auth.View().Revision()
	for n, m := range members {
		if w.fault == someVouch && n > 0 {
			d.auth.RecordVouch(authorizer.Vouch{Daemon: m.Daemon, Incarnation: m.Incarnation, Idle: true}, sent, sent)
			continue
		}
		other := w.find(m.Daemon)
		d.sendTo(other, loseVouch, func() {
			v := other.vouch(known, m)
			d.deliver(func() { d.auth.RecordVouch(v, sent, w.clock(d)) })
		})
	}
}

// vouch responds to a daemon that has this one on its list as m.
func (d *node) vouch(known unit.Revision, m authorizer.Member) authorizer.Vouch {
	v := d.auth.Vouch(known)
	switch d.world.fault {
	case vouchInChange:
		v.Idle = true
	case hiddenDrop:
		v.Dropped = nil
	case vouchAhead:
		v.Ahead, v.Dropped = false, nil
	case vouchRestarted:
		v.Incarnation = m.Incarnation
	case vouchForLost:
		v.Idle, v.Ahead, v.Dropped = !d.changing, false, nil
	}
	return v
}

func (w *world) find(id unit.DaemonID) *node {
	for _, d := range w.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// query sends a statement to the primary and uses the response if it has authority.
func (d *node) query() {
	w := d.world
	l, ok := d.auth.Primary("g", w.clock(d))
	if !ok {
		return
	}
	w.after(w.latency(), func() {
		promotion := w.promotions // The instance executes the statement.
		d.deliver(func() {
			if w.fault != checkOnSend && !d.auth.Holds(l, w.clock(d)) {
				return
			}
			w.used++
			if w.primary[promotion] != l.Primary {
				w.violation = fmt.Sprintf("at %v %s used a response of %s while %s was the primary", w.now, d.id, l.Primary, w.primary[promotion])
			}
		})
	})
}

// change replaces the primary.
func (d *node) change() {
	w := d.world
	row, ok := d.auth.View().Leaderships["g"]
	if !ok {
		return
	}
	if !d.auth.BeginChange("g") && w.fault != unlistedChanges {
		return
	}
	d.changing = true
	w.claims++
	expected := d.expect("g", string(d.id))
	if w.fault == unlistedChanges {
		delete(expected, string(d.id))
	}
	claimed := row
	claimed.State, claimed.Changer, claimed.Fence = authorizer.Changing, d.id, unit.Fence(w.claims)
	d.claimRow, d.claimEra = claimed, d.auth.View().Era
	d.auth.RecordClaim(claimed, row.State != authorizer.Leading)
	d.claim(claimed, expected, func() { d.awaitRevocation(claimed) })
}

// claim sends the transaction that claims the row until its outcome is known.
func (d *node) claim(row authorizer.Leadership, expected map[string]int, claimed func()) {
	w := d.world
	late := w.latency()
	if w.random.IntN(4) == 0 {
		late += time.Duration(w.random.IntN(3000)) * time.Millisecond // The store executes it late.
	}
	lost := w.random.IntN(4) == 0
	done := func() bool {
		if w.rows.Leaderships["g"] == row {
			return true // An earlier call took effect.
		}
		if !w.hold(expected) {
			return false
		}
		w.put("g")
		w.rows.Leaderships["g"] = row
		return true
	}
	w.after(late, func() {
		if !d.reachesStore() {
			lost = true
			return
		}
		ok := done()
		if lost {
			return
		}
		era := w.rows.Era
		d.deliver(func() {
			if ok && era == d.auth.View().Era {
				claimed()
				return
			}
			d.endChange(row)
		})
	})
	d.deliver(func() { d.awaitClaim(row, expected, claimed, 600*time.Millisecond) })
}

// awaitClaim repeats the transaction until its outcome is known.
func (d *node) awaitClaim(row authorizer.Leadership, expected map[string]int, claimed func(), wait time.Duration) {
	w := d.world
	w.after(wait, func() {
		d.deliver(func() {
			if !d.changing || d.claimRow != row || d.claimConfirmed(row) {
				return
			}
			d.claim(row, expected, claimed)
		})
	})
}

// claimConfirmed reports whether the claim is known to have taken effect.
func (d *node) claimConfirmed(row authorizer.Leadership) bool { return d.confirmedClaim == row }

func (d *node) endChange(row authorizer.Leadership) {
	if d.changing && d.claimRow == row {
		d.changing = false
		d.auth.EndChange("g", d.world.clock(d))
	}
}

// awaitRevocation waits until no daemon may use the old primary, then promotes an instance
// and updates the row.
func (d *node) awaitRevocation(row authorizer.Leadership) {
	if !d.changing || d.claimRow != row || d.claimConfirmed(row) {
		return
	}
	d.confirmedClaim = row
	claimed := d.world.clock(d)
	if d.world.fault == staleHolders {
		d.withdraw(row, claimed)
		return
	}
	d.reread(func() { d.withdraw(row, claimed) })
}

// reread reads the rows and retries until it succeeds.
func (d *node) reread(then func()) {
	w := d.world
	sent := w.clock(d)
	w.after(w.latency(), func() {
		if !d.reachesStore() {
			d.deliver(func() { d.reread(then) })
			return
		}
		view, versions := copyView(w.rows), maps.Clone(w.versions)
		view.Now, view.Epoch = w.now, uint64(w.version)
		d.deliver(func() {
			if !d.adopt(view, versions, sent) || d.lost() {
				d.endChange(d.claimRow)
				return
			}
			then()
		})
	})
}

// withdraw asks all daemons that may have authority to drop the group, and waits for the
// revocation.
func (d *node) withdraw(row authorizer.Leadership, claimed unit.Instant) {
	w := d.world
	revocation := d.revocation(claimed)
	d.askToDrop(revocation, 0)
	var poll func()
	poll = func() {
		d.deliver(func() {
			if d.lost() {
				d.endChange(row)
				return
			}
			if !revocation.Complete(w.clock(d)) && !d.promotesEarly(claimed) {
				poll()
				return
			}
			d.promote(row)
		})
	}
	poll()
}

// dropTries is the number of further requests to a daemon that has not dropped the group,
// in a simulation with partitions.
const dropTries = 4

// askToDrop asks the daemons that may have authority to drop the group.
func (d *node) askToDrop(r *authorizer.Revocation, try int) {
	w := d.world
	for _, m := range r.Remaining() {
		other := w.find(m.Daemon)
		if w.fault == forgetRemoved && m.Removed != 0 {
			r.RecordDrop(m.Daemon, w.clock(d))
			continue
		}
		lost := loseWithdraw
		if w.copies != nil {
			lost = loseVouch
		}
		d.sendTo(other, lost, func() {
			if other.auth.Drop("g", w.clock(other)) {
				d.deliver(func() { r.RecordDrop(m.Daemon, w.clock(d)) })
			}
			if w.partitions && w.random.IntN(2) == 0 {
				other.start() // It crashes and restarts at once.
			}
		})
	}
	if w.partitions && try < dropTries {
		w.after(300*time.Millisecond, func() { d.deliver(func() { d.askToDrop(r, try+1) }) })
	}
}

// revocation returns the revocation for the claim.
func (d *node) revocation(claimed unit.Instant) *authorizer.Revocation {
	w := d.world
	if w.fault != countNewDaemons {
		return d.auth.BeginRevocation(claimed, claimed)
	}
	view := copyView(d.auth.View())
	for id, m := range view.Members {
		if id != d.id {
			m.Listed = 0
			view.Members[id] = m
		}
	}
	sent, _ := d.auth.Confirmed()
	d.auth.Confirm(view, sent)
	return d.auth.BeginRevocation(claimed, claimed)
}

// promotesEarly reports whether a faulty daemon promotes before the revocation is complete.
func (d *node) promotesEarly(claimed unit.Instant) bool {
	waited := d.world.clock(d).Sub(claimed)
	recent := d.auth.RecentlyListed(d.auth.View().Members[d.id])
	switch d.world.fault {
	case noWait:
		return true
	case newDaemonWaitsLease:
		return recent && waited >= modelLease
	case unlistedChanges, minorityWaits, unboundedExtension: // Whatever a recently listed daemon waits is too short.
		return waited >= modelLease
	case majorityFullExtension:
		return !recent && waited >= modelMajority // The others have a longer limit.
	}
	return false
}

func (d *node) promote(row authorizer.Leadership) {
	w := d.world
	if w.copies != nil && !d.orders(row) {
		return
	}
	era, latency := w.rows.Era, w.latency()
	if w.copies != nil && w.random.IntN(4) == 0 {
		latency += w.milliseconds(1000) // The platform is slow.
	}
	w.after(latency, func() {
		if w.rows.Era == era && w.rows.Leaderships["g"] != row {
			d.deliver(func() { d.endChange(row) })
			return // Another change has replaced the row: the daemon no longer holds the duty.
		}
		w.promotions++
		w.primary[w.promotions] = unit.InstanceName(fmt.Sprintf("i-%d", w.promotions))
		next := row
		next.State, next.Primary, next.Term = authorizer.Leading, w.primary[w.promotions], row.Term+1
		expected := map[string]int{"g": w.versions["g"], eraKey(era): w.versions[eraKey(era)]}
		if w.fault == lateCalls {
			delete(expected, eraKey(era))
		}
		latency := w.latency()
		if w.copies != nil && w.random.IntN(4) == 0 {
			latency += w.milliseconds(3000) // The store executes it late.
		}
		w.after(latency, func() {
			if w.hold(expected) {
				w.put("g")
				w.rows.Leaderships["g"] = next
			}
			d.deliver(func() { d.endChange(row) })
		})
	})
}

// simulate runs many schedules and returns the first violation, and the number of responses
// used and of promotions.
func simulate(f fault, partitions bool, seeds int, options ...func(*world)) (violation string, used, changed int) {
	for seed := range seeds {
		w := newWorld(uint64(seed), f, partitions)
		for _, option := range options {
			option(w)
		}
		w.run()
		used += w.used
		changed += w.promotions
		if w.violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.violation), used, changed
		}
	}
	return "", used, changed
}

func TestNoResponseOfReplacedPrimaryIsUsed(t *testing.T) {
	for name, partitions := range map[string]bool{"failures of store and daemons": false, "failures and network partitions": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			violation, used, changed := simulate(none, partitions, 500)
			is.Equal(violation, "")
			is.True(used > 50_000) // The schedules leave time for queries
			is.True(changed > 500) // and for changes.
		})
	}
}

func TestSimulationDetectsFaults(t *testing.T) {
	check := func(t *testing.T, f fault, partitions bool) {
		t.Helper()
		t.Parallel()
		is := is.New(t)
		violation, _, _ := simulate(f, partitions, 3000)
		t.Log(violation)
		is.True(violation != "")
	}
	for _, f := range []fault{
		checkOnSend, noWait, someVouch, vouchInChange, newDaemonWaitsLease, unlistedChanges,
		unboundedExtension, extendExpired, confirmAtReceipt, monotonicClock, forgetRemoved, staleHolders,
	} {
		t.Run(string(f), func(t *testing.T) { check(t, f, false) })
	}
	for _, f := range []fault{
		minorityWaits, majorityFullExtension, hiddenDrop, vouchAhead, vouchRestarted, countNewDaemons,
	} {
		t.Run(string(f), func(t *testing.T) { check(t, f, true) })
	}
}

func copyView(v authorizer.View) authorizer.View {
	v.Leaderships = maps.Clone(v.Leaderships)
	v.Members = maps.Clone(v.Members)
	return v
}
