package throttler

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// fault is a rule that a variant of the model breaks on purpose.
type fault string

const (
	noFault            fault = ""
	grantReturned      fault = "the lender takes back a grant whose response is late"
	validityFromAnswer fault = "the validity is counted from the response"
	fullAfterRestart   fault = "the buckets of a restarted daemon are full"
	floorAtOnce        fault = "a new member has floors before the others' have shrunk"
	noLendingLease     fault = "a lender needs no recent confirmation"
	noLendingWait      fault = "a new lender does not wait for its predecessor"
)

const (
	modelTimeout  = 150 * time.Millisecond
	modelDuration = 60 * time.Second
)

// kind is a kind of disturbance.
type kind int

const (
	suspend kind = iota
	cut
	remove
	restart
	change
	refuse
)

// mixes are the kinds of disturbances that the seeds simulate.
var mixes = [][]kind{
	{suspend, cut, remove, restart, change, refuse},
	{suspend},
	{cut, remove, refuse},
	{restart},
}

// world is a model of some daemons, their network and the store, in virtual time.
type world struct {
	random   *rand.Rand
	fault    fault
	now      time.Duration
	queue    eventQueue
	nodes    []*node
	members  map[unit.DaemonID]authorizer.Member
	epoch    uint64
	version  int
	versions []map[unit.CallerName]manifest.RateLimit
	kinds    []kind
	slow     bool // Whether messages take long.
	calm     bool // Whether no failures are simulated.

	bounds    map[unit.CallerName]*bound // Of all admissions.
	floors    map[unit.CallerName]*bound // Of those from floors.
	admitted  map[unit.CallerName]int
	requested int
	asked     int // Requests to lenders.
	wants     int // Of these requests.
	violation string
}

// bound checks that all admissions so far are within the limit in each window. It is a token
// bucket that starts full.
type bound struct {
	tokens float64
	at     time.Duration
}

func (b *bound) admit(a allotment, now time.Duration) bool {
	b.advance(a, now)
	b.tokens--
	return b.tokens > -1e-6
}

func (b *bound) advance(a allotment, now time.Duration) {
	b.tokens = min(a.burst, b.tokens+a.rate*(now-b.at).Seconds())
	b.at = now
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue struct {
	events []event
	seq    int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

func (w *world) after(d time.Duration, run func()) {
	w.queue.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.queue.seq, run: run})
}

func (w *world) runUntil(end time.Duration) {
	for w.queue.Len() > 0 && w.queue.events[0].at <= end && w.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)))
}

// node is one daemon.
type node struct {
	world        *world
	id           unit.DaemonID
	offset       time.Duration // Of its clock.
	incarnation  unit.Incarnation
	throttler    *Throttler
	up           bool
	frozenUntil  time.Duration
	cutUntil     time.Duration
	refusedUntil time.Duration // By the store.
	version      int           // Of the limits in force.
	oldest       int           // Of the limits whose grants may still be used.
	nextID       ID
	callers      map[ID]unit.CallerName
	rates        map[unit.CallerName]float64 // Of its operations.
}

func (n *node) clock() unit.Instant { return unit.Instant(n.world.now + n.offset) }

func (n *node) isCut() bool { return n.world.now < n.cutUntil }

// deliver runs f on the node, after it wakes if it is suspended, unless it has restarted.
func (n *node) deliver(d time.Duration, f func()) {
	incarnation := n.incarnation
	var run func()
	run = func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.world.now < n.frozenUntil:
			n.world.after(n.frozenUntil-n.world.now, run)
		default:
			f()
		}
	}
	n.world.after(d, run)
}

func (n *node) start() {
	n.up = true
	n.incarnation++
	n.throttler = New(n.id, n.incarnation)
	n.version = -1
	n.callers = make(map[ID]unit.CallerName)
	switch n.world.fault {
	case floorAtOnce:
		n.throttler.roster.timing.floorWait = 0
	case noLendingLease:
		n.throttler.roster.timing.lend = time.Hour
	case noLendingWait:
		n.throttler.roster.timing.lendWait = 0
	}
	n.confirmLoop()
	for _, c := range slices.Sorted(maps.Keys(n.rates)) {
		n.load(c)
	}
}

// confirmLoop reads the store again and again.
func (n *node) confirmLoop() {
	w := n.world
	sent := n.clock()
	if !n.isCut() && w.now >= n.refusedUntil && (w.calm || w.random.IntN(10) > 0) {
		w.after(w.between(0, 100*time.Millisecond), func() {
			view, version := w.view(), w.version
			n.deliver(w.between(0, 100*time.Millisecond), func() { n.confirm(view, version, sent) })
		})
	}
	n.deliver(w.between(300*time.Millisecond, 600*time.Millisecond), n.confirmLoop)
}

func (w *world) view() authorizer.View {
	return authorizer.View{Members: maps.Clone(w.members), Now: w.now, Epoch: w.epoch, Era: 1}
}

func (n *node) confirm(view authorizer.View, version int, sent unit.Instant) {
	w := n.world
	first := !n.throttler.roster.hasView
	n.step(Confirmed{View: view, Sent: sent, Now: n.clock()})
	if first && w.fault == fullAfterRestart {
		for p := range n.throttler.roster.starts {
			n.throttler.roster.starts[p] -= unit.Instant(time.Hour)
		}
	}
	if n.version < version {
		lag := time.Duration(0)
		if n.version >= 0 {
			lag = w.between(0, 2*time.Second)
		}
		n.deliver(lag, func() { n.adopt(version) })
	}
	m, known := view.Members[n.id]
	if known && m.Removed == 0 && m.Incarnation == n.incarnation || n.isCut() {
		return
	}
	listed := view.Now + n.clock().Sub(sent) // The store's clock may have got as far.
	if known && m.Removed == 0 {
		listed = m.Listed
	}
	row := authorizer.Member{Daemon: n.id, Incarnation: n.incarnation, Address: string(n.id), Listed: listed}
	w.after(w.between(0, 300*time.Millisecond), func() { w.commit(m, row) })
}

// commit replaces a row if it has not changed.
func (w *world) commit(expected, row authorizer.Member) {
	if w.members[row.Daemon] == expected {
		w.members[row.Daemon] = row
		w.epoch++
	}
}

func (n *node) adopt(version int) {
	if version <= n.version {
		return
	}
	if n.version < 0 {
		n.setOldest(version)
	}
	n.version = version
	n.world.after(MaxValidity, func() { n.setOldest(version) })
	n.step(Limits{Callers: n.world.callers(version), Now: n.clock()})
	if n.world.fault == floorAtOnce {
		for _, l := range n.throttler.limits {
			l.earlier = nil
		}
	}
}

// setOldest changes the version whose grants may still be used. The bounds of the earlier
// one hold until now.
func (n *node) setOldest(version int) {
	w := n.world
	for c := range w.bounds {
		w.bounds[c].advance(w.allowed(c), w.now)
		w.floors[c].advance(w.allowed(c).scale(floorFraction), w.now)
	}
	n.oldest = version
}

func (w *world) callers(version int) []manifest.Caller {
	var callers []manifest.Caller
	for _, c := range slices.Sorted(maps.Keys(w.versions[version])) {
		l := w.versions[version][c]
		callers = append(callers, manifest.Caller{Name: c, RateLimit: &l})
	}
	return callers
}

// allowed returns the largest limit that a daemon may know.
func (w *world) allowed(c unit.CallerName) allotment {
	oldest := w.version
	for _, n := range w.nodes {
		oldest = min(oldest, n.oldest)
	}
	a := allotmentOf(w.versions[oldest][c])
	for _, v := range w.versions[oldest:] {
		b := allotmentOf(v[c])
		a = allotment{rate: max(a.rate, b.rate), burst: max(a.burst, b.burst)}
	}
	return a
}

// load requests operations of a caller at random times.
func (n *node) load(c unit.CallerName) {
	interval := time.Duration(n.world.random.ExpFloat64() * float64(time.Second) / n.rates[c])
	n.deliver(interval, func() {
		if n.version >= 0 {
			n.request(c)
		}
		n.load(c)
	})
}

func (n *node) request(c unit.CallerName) {
	n.nextID++
	n.world.requested++
	n.callers[n.nextID] = c
	n.step(Request{ID: n.nextID, Caller: c, Now: n.clock()})
}

func (n *node) step(e Event) {
	for _, effect := range n.throttler.Step(e) {
		switch effect := effect.(type) {
		case Admit:
			n.world.admit(n, effect)
		case Refuse:
			delete(n.callers, effect.ID)
		case Ask:
			n.ask(effect)
		}
	}
}

func (w *world) admit(n *node, e Admit) {
	c := n.callers[e.ID]
	delete(n.callers, e.ID)
	w.admitted[c]++
	if !w.bounds[c].admit(w.allowed(c), w.now) {
		w.violation = fmt.Sprintf("%s exceeds its limit at %v", c, w.now)
	}
	if e.Source == FromFloor && !w.floors[c].admit(w.allowed(c).scale(floorFraction), w.now) {
		w.violation = fmt.Sprintf("%s exceeds its floors at %v", c, w.now)
	}
}

// ask carries a request to a lender and its response back.
func (n *node) ask(e Ask) {
	w := n.world
	w.asked++
	w.wants += len(e.Wants)
	n.deliver(modelTimeout, func() { n.step(Failed{Lender: e.Lender, Number: e.Number, Now: n.clock()}) })
	if n.isCut() || w.lost() {
		return
	}
	other := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == e.Lender })]
	incarnation := n.incarnation
	other.deliver(w.delay(), func() {
		if other.isCut() {
			return
		}
		grants := other.throttler.Lend(e.Wants, other.clock())
		if w.lost() { // The request arrives twice.
			other.throttler.Lend(e.Wants, other.clock())
		}
		late := w.lost()
		if late && w.fault == grantReturned {
			for i, want := range e.Wants {
				if a, ok := other.throttler.accounts[want.Caller]; ok {
					a.lent[want.Share].tokens += float64(grants[i].Granted)
				}
			}
		}
		if (late && w.fault != grantReturned) || n.incarnation != incarnation {
			return
		}
		n.deliver(w.delay(), func() { n.answer(e, grants) })
	})
}

func (n *node) answer(e Ask, grants []Grant) {
	if n.isCut() {
		return
	}
	if n.world.fault == validityFromAnswer {
		n.throttler.lenders[e.Lender].asked = n.clock()
	}
	n.step(Answered{Lender: e.Lender, Number: e.Number, Grants: grants, Now: n.clock()})
}

func (w *world) lost() bool { return !w.calm && w.random.IntN(20) == 0 }

func (w *world) delay() time.Duration {
	switch {
	case w.slow:
		return w.between(time.Millisecond, 80*time.Millisecond)
	case !w.calm && w.random.IntN(10) == 0:
		return w.between(0, 200*time.Millisecond)
	}
	return w.between(time.Millisecond, 12*time.Millisecond)
}

// disturb brings about a failure or an operator's request now and then.
func (w *world) disturb() {
	w.after(w.between(100*time.Millisecond, 2*time.Second), w.disturb)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.kinds[w.random.IntN(len(w.kinds))] {
	case suspend:
		for _, n := range w.nodes {
			if w.random.IntN(3) == 0 {
				n.frozenUntil = w.now + w.between(0, 14*time.Second)>>w.random.IntN(7)
			}
		}
	case cut:
		n.cutUntil = w.now + w.between(0, 30*time.Second)
	case remove:
		w.remove(n, false)
	case restart:
		if !n.up {
			break
		}
		n.stop()
		if w.random.IntN(2) == 0 {
			w.remove(n, true)
		}
	case change:
		w.changeLimits()
	case refuse:
		w.refuse()
	}
	for d, m := range w.members {
		if m.Removed != 0 && w.now-m.Removed > 24*time.Second {
			delete(w.members, d)
			w.epoch++
		}
	}
}

// refuse makes the store refuse most daemons, or all.
func (w *world) refuse() {
	until, all := w.now+w.between(0, 14*time.Second), w.random.IntN(2) == 0
	for _, n := range w.nodes {
		if all || w.random.IntN(4) > 0 {
			n.refusedUntil = until
		}
	}
}

func (n *node) stop() {
	n.up = false
	n.world.after(MaxValidity, func() {
		if !n.up {
			n.setOldest(math.MaxInt)
		}
	})
	n.world.after(n.world.between(500*time.Millisecond, 15*time.Second)>>n.world.random.IntN(5), func() {
		if !n.up {
			n.start()
		}
	})
}

// remove removes a daemon from the list, whether or not it works.
func (w *world) remove(n *node, left bool) {
	m, ok := w.members[n.id]
	if !ok || m.Removed != 0 {
		return
	}
	read, removed := m, m
	removed.Removed, removed.Left = w.now, left
	w.after(w.between(0, 300*time.Millisecond), func() {
		if !left || !n.up {
			w.commit(read, removed)
		}
	})
}

// changeLimits raises or lowers the limits.
func (w *world) changeLimits() {
	next := make(map[unit.CallerName]manifest.RateLimit)
	for _, c := range slices.Sorted(maps.Keys(w.versions[0])) {
		l := w.versions[0][c]
		f := []float64{0.2, 0.5, 1, 2}[w.random.IntN(4)]
		next[c] = manifest.RateLimit{PerSecond: l.PerSecond * f, Burst: l.Burst * f}
	}
	w.versions = append(w.versions, next)
	w.version++
}

var modelLimits = map[unit.CallerName]manifest.RateLimit{
	"large":  {PerSecond: 40, Burst: 40},
	"steep":  {PerSecond: 50, Burst: 10},
	"middle": {PerSecond: 12, Burst: 12},
	"bursty": {PerSecond: 2, Burst: 40},
	"small":  {PerSecond: 2, Burst: 2},
	"single": {PerSecond: 1, Burst: 1},
}

// newWorld returns a world with the daemons, of which all but some have been listed for long.
func newWorld(seed uint64, nodes int, limits map[unit.CallerName]manifest.RateLimit) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 5)), members: make(map[unit.DaemonID]authorizer.Member),
		versions: []map[unit.CallerName]manifest.RateLimit{limits}, now: time.Hour,
		bounds: make(map[unit.CallerName]*bound), floors: make(map[unit.CallerName]*bound),
		admitted: make(map[unit.CallerName]int),
	}
	for c, l := range limits {
		w.bounds[c] = &bound{tokens: l.Burst, at: w.now}
		w.floors[c] = &bound{tokens: l.Burst * floorFraction, at: w.now}
	}
	for i := range nodes {
		n := &node{
			world: w, id: unit.DaemonID(fmt.Sprintf("d-%02d", i)), rates: make(map[unit.CallerName]float64),
			offset: w.between(0, time.Hour),
		}
		w.nodes = append(w.nodes, n)
		w.members[n.id] = authorizer.Member{Daemon: n.id, Address: string(n.id), Listed: w.between(0, 30*time.Minute)}
	}
	return w
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
}

// simulate returns the first violation in the seeds, and the admissions.
func simulate(f fault, seeds int) (string, map[unit.CallerName]int) {
	total := make(map[unit.CallerName]int)
	for seed := range seeds {
		w := newWorld(uint64(seed), 3+seed%5, modelLimits)
		w.fault, w.kinds, w.slow = f, mixes[seed%len(mixes)], seed/len(mixes)%2 == 1
		for _, n := range w.nodes {
			for _, c := range slices.Sorted(maps.Keys(modelLimits)) {
				n.rates[c] = modelLimits[c].PerSecond * []float64{0.1, 1, 3}[w.random.IntN(3)]
			}
		}
		for _, n := range w.nodes[3:] { // These are added later.
			delete(w.members, n.id)
			w.after(w.between(0, 40*time.Second), n.start)
		}
		for _, n := range w.nodes[:3] {
			n.start()
		}
		w.disturb()
		w.runUntil(time.Hour + modelDuration)
		for c, n := range w.admitted {
			total[c] += n
		}
		if w.violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.violation), total
		}
	}
	return "", total
}

func TestModel(t *testing.T) {
	t.Run("no caller exceeds its limit", func(t *testing.T) {
		is := is.New(t)
		violation, admitted := simulate(noFault, 40)
		is.Equal(violation, "")
		t.Log(admitted)
	})
	for _, f := range []fault{grantReturned, validityFromAnswer, fullAfterRestart, floorAtOnce, noLendingLease, noLendingWait} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			violation, _ := simulate(f, 200)
			t.Log(violation)
			is.True(violation != "")
		})
	}
}
