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

// fault is a way to break the protocol. Each must be found out.
type fault string

const (
	none             fault = ""
	checkOnSend      fault = "authority is checked when the request leaves only"
	noWait           fault = "a change waits for nobody"
	someVouch        fault = "an extension needs some of the daemons only"
	vouchInChange    fault = "a daemon vouches while its transaction is under way"
	youngWaitsLease  fault = "a daemon new on the list waits for a lease only"
	unlistedChanges  fault = "a daemon that is off the list changes a row"
	endless          fault = "extensions have no end"
	reviveAuthority  fault = "an authority that has ended is extended"
	confirmAtReceipt fault = "a confirmation counts from its receipt"
	monotonicClock   fault = "leases are measured by a clock that stands still in suspensions"
	forgetRemoved    fault = "daemons just taken off the list are not waited for"
	staleHolders     fault = "the list from before the claim says who is to be waited for"
	minorityWaits    fault = "a change waits for a lease whoever has dropped the group"
	majorityEndless  fault = "extensions by a majority end as late as those by all"
	hiddenDrop       fault = "a daemon vouches for a group that it has dropped"
	vouchAhead       fault = "a daemon vouches to a majority that knows newer rows"
	vouchRestarted   fault = "a daemon restarted since vouches to a majority"
	unsteadyCounts   fault = "daemons new on the list count against a majority"
)

const (
	modelLease     = time.Second
	modelMajority  = 3 * time.Second
	modelExtension = 5 * time.Second
	modelStep      = 20 * time.Millisecond
	modelLength    = 40 * time.Second
	modelDaemons   = 4
	// splitDaemons is the number of daemons in a world with partitions.
	splitDaemons = 5
)

// world is a deployment in virtual time: daemons with an [authorizer.Authorizer]
// each, a store, and one group whose primaries are numbered by their reign.
type world struct {
	random *rand.Rand
	fault  fault
	now    time.Duration
	queue  []timed

	rows     authorizer.View
	versions map[string]int
	version  int
	down     time.Duration          // Until when the store is away for all.
	splits   bool                   // Whether there are partitions.
	split    time.Duration          // Until when there is one.
	beyond   map[unit.DaemonID]bool // Daemons that don't reach the store then.
	bridge   unit.DaemonID          // One that reaches both sides.
	reign    int                    // Counts the promotions that took effect.
	primary  map[int]unit.InstanceName

	daemons []*node
	used    int
	changed int
	broken  string
}

// timed is what happens at a time.
type timed struct {
	at time.Duration
	f  func()
}

// node is one daemon.
type node struct {
	world       *world
	id          unit.DaemonID
	incarnation unit.Incarnation
	auth        *authorizer.Authorizer
	versions    map[string]int
	alive       bool
	absent      bool          // Not there yet.
	frozen      time.Duration // Until when it stands still.
	lost        time.Duration // Time spent frozen, for the wrong clock.
	cut         time.Duration // Until when it does not reach the store.
	changing    bool
	claiming    authorizer.Leadership // The row of the present change.
	settling    authorizer.Leadership // The same once its claim is known to be carried out.
}

func newWorld(seed uint64, f fault, splits bool) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 11)), fault: f, splits: splits,
		versions: make(map[string]int), primary: map[int]unit.InstanceName{0: "i-0"},
		rows: authorizer.View{
			Leaderships: map[unit.GroupName]authorizer.Leadership{
				"g": {Group: "g", State: authorizer.Leading, Primary: "i-0", Term: 1},
			},
			Members: make(map[unit.DaemonID]authorizer.Member),
		},
	}
	daemons := modelDaemons
	if splits {
		daemons = splitDaemons - w.random.IntN(2) // Ties need an even number.
	}
	for n := range daemons {
		d := &node{world: w, id: unit.DaemonID(fmt.Sprintf("d-%d", n))}
		w.daemons = append(w.daemons, d)
		d.start()
	}
	if daemons == splitDaemons && w.random.IntN(2) == 0 {
		w.joinLate(w.daemons[daemons-2:])
	}
	return w
}

// joinLate lets the daemons begin right after a partition.
func (w *world) joinLate(late []*node) {
	joins := time.Duration(2000+w.random.IntN(6000)) * time.Millisecond
	for _, d := range late {
		d.alive, d.absent = false, true
	}
	w.after(joins, func() {
		w.partition([]int{2, 0, 1}, 2)
		for _, d := range late {
			d.absent = false
			d.start()
		}
	})
}

func (w *world) after(d time.Duration, f func()) {
	w.queue = append(w.queue, timed{at: w.now + d, f: f})
}

// latency is that of one message. A few are slow.
func (w *world) latency() time.Duration {
	if w.random.IntN(30) == 0 {
		return time.Duration(w.random.IntN(1500)) * time.Millisecond
	}
	return time.Duration(1+w.random.IntN(40)) * time.Millisecond
}

func (w *world) clock(d *node) unit.Instant {
	if w.fault == monotonicClock {
		return unit.Instant(w.now - d.lost)
	}
	return unit.Instant(w.now)
}

// run plays a whole schedule.
func (w *world) run() {
	for w.now = 0; w.now < modelLength && w.broken == ""; w.now += modelStep {
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
		if w.splits && w.now >= w.split && w.random.IntN(400) == 0 {
			w.partition(w.random.Perm(len(w.daemons)), 1+w.random.IntN(len(w.daemons)-2))
		}
		if w.random.IntN(250) == 0 {
			w.down = w.now + time.Duration(w.random.IntN(8000))*time.Millisecond
		}
		for _, d := range w.daemons {
			d.step()
		}
	}
}

// partition separates so many daemons from the store and the others for a while: those
// that follow the first of the order, which changes the primary. All reach the
// instances, and some time one that is cut off reaches all daemons.
func (w *world) partition(order []int, beyond int) {
	w.split = w.now + time.Duration(1000+w.random.IntN(7000))*time.Millisecond
	w.beyond, w.bridge = make(map[unit.DaemonID]bool), ""
	for _, n := range order[1 : 1+beyond] {
		w.beyond[w.daemons[n].id] = true
	}
	if w.random.IntN(2) == 0 {
		w.bridge = w.daemons[order[1]].id
	}
	changer := w.daemons[order[0]]
	w.after(time.Duration(w.random.IntN(2500))*time.Millisecond, func() {
		if changer.alive && w.now >= changer.frozen && !changer.changing {
			changer.change()
		}
	})
}

// apart reports whether the two daemons are on different sides.
func (w *world) apart(a, b *node) bool {
	return w.now < w.split && w.beyond[a.id] != w.beyond[b.id] && a.id != w.bridge && b.id != w.bridge
}

// Messages between daemons are lost, one of so many.
const (
	loseVouch    = 12
	loseWithdraw = 2
)

// tell is deliver for a message to another daemon, one in so many of which is
// lost.
func (d *node) tell(other *node, lost int, f func()) {
	if d.world.random.IntN(lost) > 0 && !d.world.apart(d, other) {
		other.deliver(f)
	}
}

// deliver lets the daemon take a message in, once it is not frozen.
func (d *node) deliver(f func()) {
	incarnation := d.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case !d.alive || d.incarnation != incarnation:
		case d.world.now < d.frozen:
			d.world.after(d.frozen-d.world.now, attempt)
		default:
			f()
		}
	}
	d.world.after(d.world.latency(), attempt)
}

func (d *node) start() {
	w := d.world
	d.incarnation++
	d.alive, d.changing, d.settling = true, false, authorizer.Leadership{}
	config := authorizer.Config{Lease: modelLease, Majority: modelMajority, Extension: modelExtension}
	switch w.fault {
	case endless:
		config.Extension = time.Hour
	case majorityEndless:
		config.Majority = modelExtension
	}
	d.auth = authorizer.New(d.id, d.incarnation, config)
	d.versions = make(map[string]int)
}

// step lets a daemon do what it may do at any time.
func (d *node) step() {
	w := d.world
	if !d.alive {
		if !d.absent && w.random.IntN(50) == 0 {
			d.start()
		}
		return
	}
	if w.now < d.frozen {
		d.lost += modelStep
		return
	}
	failures, changes := 2000, 300
	if w.splits { // A daemon that is changing a row vouches for nothing.
		failures, changes = 10_000, 3000
	}
	switch w.random.IntN(failures) {
	case 0, 1, 2:
		d.alive = false
		return
	case 3, 4, 5, 6:
		d.frozen = w.now + time.Duration(w.random.IntN(3000))*time.Millisecond
	case 7, 8, 9, 10:
		d.cut = w.now + time.Duration(w.random.IntN(12000))*time.Millisecond
	case 11, 12, 13, 14, 15, 16:
		d.unlist()
	}
	if w.random.IntN(12) == 0 {
		d.confirm()
	}
	if w.random.IntN(12) == 0 {
		d.ask()
	}
	if w.random.IntN(4) == 0 {
		d.use()
	}
	if w.random.IntN(changes) == 0 && !d.changing {
		d.change()
	}
}

// reaches reports whether a call of the daemon reaches the store now.
func (d *node) reaches() bool {
	w := d.world
	return w.now >= d.cut && w.now >= w.down && (w.now >= w.split || !w.beyond[d.id])
}

// confirm reads all rows, and puts the daemon on the list if it isn't.
func (d *node) confirm() {
	w := d.world
	asked := w.clock(d)
	w.after(w.latency(), func() {
		if !d.reaches() {
			return
		}
		view, versions := copied(w.rows), maps.Clone(w.versions)
		view.Now, view.Epoch = w.now, uint64(w.version)
		d.deliver(func() {
			if w.fault == confirmAtReceipt {
				asked = w.clock(d)
			}
			d.auth.Confirm(view, asked)
			d.versions = versions
			m, ok := view.Members[d.id]
			if ok && m.Removed == 0 && m.Incarnation == d.incarnation {
				return
			}
			if ok && m.Removed != 0 && w.fault == unlistedChanges {
				return
			}
			wanted := authorizer.Member{Daemon: d.id, Incarnation: d.incarnation, Listed: view.Now}
			if ok && m.Removed == 0 {
				wanted.Listed = m.Listed
			}
			expected := versions[string(d.id)]
			w.after(w.latency(), func() {
				if w.versions[string(d.id)] == expected && d.reaches() {
					w.put(string(d.id))
					w.rows.Members[d.id] = wanted
				}
			})
		})
	})
}

func (w *world) put(key string) {
	w.version++
	w.versions[key] = w.version
}

// unlist takes another daemon off the list, as after a long silence.
func (d *node) unlist() {
	w := d.world
	other := w.daemons[w.random.IntN(len(w.daemons))]
	m, ok := w.rows.Members[other.id]
	if other == d || !ok || m.Removed != 0 || !d.reaches() {
		return
	}
	m.Removed = w.now
	w.rows.Members[other.id] = m
	w.put(string(other.id))
	w.after(time.Duration(w.random.IntN(2500))*time.Millisecond, func() {
		if other.alive && w.now >= other.frozen && !other.changing {
			other.change()
		}
	})
}

// ask asks all daemons to vouch.
func (d *node) ask() {
	w := d.world
	asked := w.clock(d)
	if w.fault == reviveAuthority {
		// As if the last confirmation were younger than it is.
		if at, ok := d.auth.Confirmed(); ok && asked.Sub(at) < modelExtension {
			d.auth.Reconfirm(asked-unit.Instant(modelLease)+1, w.now)
		}
	}
	members, ok := d.auth.BeginExtension(asked)
	if !ok {
		return
	}
	epoch := d.auth.View().Epoch
	for n, m := range members {
		if w.fault == someVouch && n > 0 {
			d.auth.RecordVouch(authorizer.Vouch{Daemon: m.Daemon, Incarnation: m.Incarnation, Idle: true}, asked, asked)
			continue
		}
		other := w.find(m.Daemon)
		d.tell(other, loseVouch, func() {
			v := other.vouch(epoch, m)
			d.deliver(func() { d.auth.RecordVouch(v, asked, w.clock(d)) })
		})
	}
}

// vouch answers a daemon that has this one on its list as m.
func (d *node) vouch(epoch uint64, m authorizer.Member) authorizer.Vouch {
	v := d.auth.Vouch(epoch)
	switch d.world.fault {
	case vouchInChange:
		v.Idle = true
	case hiddenDrop:
		v.Dropped = nil
	case vouchAhead:
		v.Ahead, v.Dropped = false, nil
	case vouchRestarted:
		v.Incarnation = m.Incarnation
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

// use sends a statement to the primary and uses its answer if it may.
func (d *node) use() {
	w := d.world
	l, ok := d.auth.Primary("g", w.clock(d))
	if !ok {
		return
	}
	w.after(w.latency(), func() {
		reign := w.reign // The instance runs it.
		d.deliver(func() {
			if w.fault != checkOnSend && !d.auth.Holds(l, w.clock(d)) {
				return
			}
			w.used++
			if w.primary[reign] != l.Primary {
				w.broken = fmt.Sprintf("at %v %s used an answer of %s in the reign of %s", w.now, d.id, l.Primary, w.primary[reign])
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
	w.changed++
	expected := map[string]int{"g": d.versions["g"], string(d.id): d.versions[string(d.id)]}
	if w.fault == unlistedChanges {
		delete(expected, string(d.id))
	}
	claimed := row
	claimed.State, claimed.Changer, claimed.Fence = authorizer.Changing, d.id, unit.Fence(w.changed)
	d.claiming = claimed
	d.claim(claimed, expected, func() { d.settle(claimed) })
}

// claim sends the transaction until its outcome is certain.
func (d *node) claim(row authorizer.Leadership, expected map[string]int, claimed func()) {
	w := d.world
	late := w.latency()
	if w.random.IntN(4) == 0 {
		late += time.Duration(w.random.IntN(3000)) * time.Millisecond // Carried out late.
	}
	lost := w.random.IntN(4) == 0
	done := func() bool {
		if w.rows.Leaderships["g"] == row {
			return true // An earlier call was carried out.
		}
		for key, version := range expected {
			if w.versions[key] != version {
				return false
			}
		}
		w.put("g")
		w.rows.Leaderships["g"] = row
		return true
	}
	w.after(late, func() {
		if !d.reaches() {
			lost = true
			return
		}
		ok := done()
		if lost {
			return
		}
		d.deliver(func() {
			if ok {
				claimed()
				return
			}
			d.endChange(row)
		})
	})
	d.deliver(func() { d.awaitClaim(row, expected, claimed, 600*time.Millisecond) })
}

// awaitClaim repeats the transaction while the row neither shows it nor forbids
// it.
func (d *node) awaitClaim(row authorizer.Leadership, expected map[string]int, claimed func(), wait time.Duration) {
	w := d.world
	w.after(wait, func() {
		d.deliver(func() {
			if !d.changing || d.claiming != row || d.claims(row) {
				return
			}
			d.claim(row, expected, claimed)
		})
	})
}

// claims reports whether the outcome of the claim has become known.
func (d *node) claims(row authorizer.Leadership) bool { return d.settling == row }

func (d *node) endChange(row authorizer.Leadership) {
	if d.changing && d.claiming == row {
		d.changing = false
		d.auth.EndChange("g", d.world.clock(d))
	}
}

// settle waits until nobody may use the old primary, promotes and publishes.
func (d *node) settle(row authorizer.Leadership) {
	if !d.changing || d.claiming != row || d.claims(row) {
		return
	}
	d.settling = row
	claimed := d.world.clock(d)
	if d.world.fault == staleHolders {
		d.withdraw(row, claimed)
		return
	}
	d.reread(func() { d.withdraw(row, claimed) })
}

// reread reads the rows again until that succeeds.
func (d *node) reread(then func()) {
	w := d.world
	asked := w.clock(d)
	w.after(w.latency(), func() {
		if !d.reaches() {
			d.deliver(func() { d.reread(then) })
			return
		}
		view, versions := copied(w.rows), maps.Clone(w.versions)
		view.Now, view.Epoch = w.now, uint64(w.version)
		d.deliver(func() {
			d.auth.Confirm(view, asked)
			d.versions = versions
			then()
		})
	})
}

// withdraw asks all who may have authority to give it up, and waits.
func (d *node) withdraw(row authorizer.Leadership, claimed unit.Instant) {
	w := d.world
	settlement := d.settlement(claimed)
	d.askToDrop(settlement, 0)
	var poll func()
	poll = func() {
		d.deliver(func() {
			if !settlement.Complete(w.clock(d)) && !d.hasty(claimed) {
				poll()
				return
			}
			d.promote(row)
		})
	}
	poll()
}

// dropTries is how often a daemon that has not dropped the group is asked again in a
// world with partitions.
const dropTries = 4

// askToDrop asks those who may have authority to give it up.
func (d *node) askToDrop(s *authorizer.Revocation, try int) {
	w := d.world
	for _, m := range s.Remaining() {
		other := w.find(m.Daemon)
		if w.fault == forgetRemoved && m.Removed != 0 {
			s.RecordDrop(m.Daemon, w.clock(d))
			continue
		}
		d.tell(other, loseWithdraw, func() {
			if other.auth.Drop("g", w.clock(other)) {
				d.deliver(func() { s.RecordDrop(m.Daemon, w.clock(d)) })
			}
			if w.splits && w.random.IntN(2) == 0 {
				other.start() // It has crashed and is back at once.
			}
		})
	}
	if w.splits && try < dropTries {
		w.after(300*time.Millisecond, func() { d.deliver(func() { d.askToDrop(s, try+1) }) })
	}
}

// settlement returns the settlement of the claim.
func (d *node) settlement(claimed unit.Instant) *authorizer.Revocation {
	w := d.world
	if w.fault != unsteadyCounts {
		return d.auth.BeginRevocation(claimed, claimed)
	}
	view := copied(d.auth.View())
	for id, m := range view.Members {
		if id != d.id {
			m.Listed = 0
			view.Members[id] = m
		}
	}
	asked, _ := d.auth.Confirmed()
	d.auth.Confirm(view, asked)
	return d.auth.BeginRevocation(claimed, claimed)
}

// hasty reports whether a broken daemon makes the change before it is settled.
func (d *node) hasty(claimed unit.Instant) bool {
	waited := d.world.clock(d).Sub(claimed)
	young := d.auth.RecentlyListed(d.auth.View().Members[d.id])
	switch d.world.fault {
	case noWait:
		return true
	case youngWaitsLease:
		return young && waited >= modelLease
	case unlistedChanges, minorityWaits, endless: // Whatever a young daemon waits is too short.
		return waited >= modelLease
	case majorityEndless:
		return !young && waited >= modelMajority // The others know a longer bound.
	}
	return false
}

func (d *node) promote(row authorizer.Leadership) {
	w := d.world
	w.after(w.latency(), func() {
		if w.rows.Leaderships["g"] != row {
			d.deliver(func() { d.endChange(row) })
			return // Another change has taken over: the duty is not held any more.
		}
		w.reign++
		w.primary[w.reign] = unit.InstanceName(fmt.Sprintf("i-%d", w.reign))
		next := row
		next.State, next.Primary, next.Term = authorizer.Leading, w.primary[w.reign], row.Term+1
		version := w.versions["g"]
		w.after(w.latency(), func() {
			if w.versions["g"] == version {
				w.put("g")
				w.rows.Leaderships["g"] = next
			}
			d.deliver(func() { d.endChange(row) })
		})
	})
}

// outcome plays many schedules and returns the first violation, and how much was
// done.
func outcome(f fault, splits bool, seeds int) (broken string, used, changed int) {
	for seed := range seeds {
		w := newWorld(uint64(seed), f, splits)
		w.run()
		used += w.used
		changed += w.reign
		if w.broken != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.broken), used, changed
		}
	}
	return "", used, changed
}

func TestNoAnswerOfAReplacedPrimaryIsUsed(t *testing.T) {
	for name, splits := range map[string]bool{"store and daemons fail": false, "and the network is partitioned": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken, used, changed := outcome(none, splits, 500)
			is.Equal(broken, "")
			is.True(used > 50_000) // The schedules leave room for work
			is.True(changed > 500) // and for changes.
		})
	}
}

func TestBrokenProtocolsAreFoundOut(t *testing.T) {
	found := func(t *testing.T, f fault, splits bool) {
		t.Helper()
		t.Parallel()
		is := is.New(t)
		broken, _, _ := outcome(f, splits, 3000)
		t.Log(broken)
		is.True(broken != "")
	}
	for _, f := range []fault{
		checkOnSend, noWait, someVouch, vouchInChange, youngWaitsLease, unlistedChanges,
		endless, reviveAuthority, confirmAtReceipt, monotonicClock, forgetRemoved, staleHolders,
	} {
		t.Run(string(f), func(t *testing.T) { found(t, f, false) })
	}
	for _, f := range []fault{
		minorityWaits, majorityEndless, hiddenDrop, vouchAhead, vouchRestarted, unsteadyCounts,
	} {
		t.Run(string(f), func(t *testing.T) { found(t, f, true) })
	}
}

// copied returns a copy of the rows.
func copied(v authorizer.View) authorizer.View {
	v.Leaderships = maps.Clone(v.Leaderships)
	v.Members = maps.Clone(v.Members)
	return v
}
