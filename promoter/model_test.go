package promoter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/promoter"
	"tarragonshed.example/unit"
)

// target is a model of one instance: its log is the list of the records' terms.
type target struct {
	name      unit.InstanceName
	sequence  uint64
	role      instance.Role
	term      unit.Term
	grantedTo string
	primary   unit.InstanceName
	log       []record
	quiesced  bool
	freshAt   int64

	down, paused bool
	// cut holds the names of instances and proposers it can't talk to.
	cut map[string]bool
}

type record struct {
	term unit.Term
	id   int
}

func (g *target) last() unit.Position {
	if len(g.log) == 0 {
		return unit.Position{}
	}
	return unit.Position{Term: g.log[len(g.log)-1].term, Index: unit.Index(len(g.log))}
}

func (g *target) report(followers []instance.Follower) instance.Report {
	g.sequence++
	r := instance.Report{
		Instance: g.name, Boot: 1, Sequence: g.sequence, Role: g.role, Term: g.term, GrantedTo: g.grantedTo,
		Last: g.last(), Applied: g.last(), Primary: g.primary, FreshAt: g.freshAt, Quiesced: g.quiesced,
	}
	if g.role == instance.Primary {
		r.Followers = followers
	}
	return r
}

func (g *target) grant(term unit.Term, proposer string) {
	if term <= g.term {
		return
	}
	g.term, g.grantedTo, g.role, g.primary, g.quiesced = term, proposer, instance.Detached, "", false
}

func (g *target) promote(term unit.Term, proposer string) {
	if g.term != term || g.grantedTo != proposer || g.role == instance.Primary {
		return
	}
	g.role, g.primary = instance.Primary, g.name
	g.log = append(g.log, record{term: term})
}

func (g *target) follow(term unit.Term, primary unit.InstanceName) {
	if term < g.term || term == g.term && g.role == instance.Primary {
		return
	}
	if term > g.term {
		g.grantedTo = ""
	}
	g.term, g.role, g.primary, g.quiesced = term, instance.Replica, primary, false
}

// world holds three instances, promoters and the messages between them. Calls
// take latency in simulated time.
type world struct {
	now       time.Time
	random    *rand.Rand
	latency   func() time.Duration
	targets   []*target
	promoters []*promoter.Promoter
	names     []string
	queue     []message
	emitted   []promoter.Emit
	ended     []promoter.ChangeEnded
	// leaders holds who was primary in each term; acknowledged the writes that
	// a majority held.
	leaders      map[unit.Term]unit.InstanceName
	acknowledged map[int]unit.Position
	writes       int
	// opening is added to the call that is being made.
	opening time.Duration
	fault   string
}

type message struct {
	at time.Time
	do func()
	// timeout marks the caller's own timer, which can't be lost.
	timeout bool
}

func newWorld(seed uint64, promoters int, options ...promoter.Option) *world {
	w := &world{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		leaders: make(map[unit.Term]unit.InstanceName), acknowledged: make(map[int]unit.Position),
	}
	w.latency = usualLatency(w)
	var members []promoter.Member
	for _, name := range []unit.InstanceName{"a", "b", "c"} {
		w.targets = append(w.targets, &target{name: name, role: instance.Detached, cut: make(map[string]bool)})
		members = append(members, promoter.Member{Name: name, Address: string(name) + ":1"})
	}
	for i := range promoters {
		name := fmt.Sprintf("p%d", i)
		w.names = append(w.names, name)
		w.promoters = append(w.promoters, promoter.New(name, members, append(options, promoter.WithRank(i))...))
	}
	return w
}

func usualLatency(w *world) func() time.Duration {
	return func() time.Duration { return time.Duration(8+w.random.IntN(3)) * time.Millisecond }
}

func (w *world) moment() promoter.Moment {
	return promoter.Moment{At: w.now, Random: w.random.Float64()}
}

func (w *world) target(name unit.InstanceName) *target {
	for _, g := range w.targets {
		if g.name == name {
			return g
		}
	}
	return nil
}

// handle gives promoter i an event and carries out the effects.
func (w *world) handle(i int, event promoter.Event) {
	for _, effect := range w.promoters[i].Handle(event) {
		switch e := effect.(type) {
		case promoter.Probe:
			w.probe(i, e)
		case promoter.Grant:
			w.call(i, e.Instance, promoter.GrantCall, e.Timeout, func(g *target) { g.grant(e.Term, e.Proposer) })
		case promoter.Promote:
			w.call(i, e.Instance, promoter.PromoteCall, e.Timeout, func(g *target) { g.promote(e.Term, e.Proposer) })
		case promoter.Follow:
			w.call(i, e.Instance, promoter.FollowCall, e.Timeout, func(g *target) { g.follow(e.Term, e.Primary) })
		case promoter.Quiesce:
			w.call(i, e.Instance, promoter.QuiesceCall, e.Timeout, func(g *target) {
				g.quiesced = e.Period > 0 && g.role == instance.Primary && g.term == e.Term
			})
		case promoter.Emit:
			w.emitted = append(w.emitted, e)
		case promoter.ChangeEnded:
			w.ended = append(w.ended, e)
		}
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.queue = append(w.queue, message{at: w.now.Add(d), do: do})
}

// probe makes a probe, on a fresh connection if asked to: two more round trips
// and the time that the instance takes to open it.
func (w *world) probe(i int, e promoter.Probe) {
	w.opening = 0
	if e.Fresh {
		w.opening = connectDelay + w.latency() + w.latency() + w.latency() + w.latency()
	}
	w.call(i, e.Instance, promoter.ProbeCall, e.Timeout, func(*target) {})
	w.opening = 0
}

const connectDelay = 10 * time.Millisecond

// call carries a call to an instance and its answer, or the lack of one, back.
func (w *world) call(i int, name unit.InstanceName, call promoter.Call, timeout time.Duration, effect func(*target)) {
	g, start, answered := w.target(name), w.now, false
	fail := func(cause promoter.Cause) {
		if !answered {
			answered = true
			w.handle(i, promoter.Failed{Moment: w.moment(), Instance: name, Call: call, Cause: cause})
		}
	}
	w.queue = append(w.queue, message{at: w.now.Add(timeout), do: func() { fail(promoter.TimedOut) }, timeout: true})
	var arrive func()
	arrive = func() {
		switch {
		case g.cut[w.names[i]]:
		case g.down:
			w.after(w.latency(), func() { fail(promoter.Refused) })
		case g.paused:
			w.after(50*time.Millisecond, arrive) // It takes the call when it wakes.
		default:
			effect(g)
			w.check(g)
			report := g.report(w.followers(g))
			w.after(w.latency(), func() {
				if answered || g.cut[w.names[i]] {
					return
				}
				answered = true
				w.handle(i, promoter.Reported{Moment: w.moment(), Call: call, Report: report, Took: w.now.Sub(start)})
			})
		}
	}
	w.after(w.opening+w.latency(), arrive)
}

func (w *world) followers(g *target) []instance.Follower {
	var followers []instance.Follower
	for _, f := range w.targets {
		if f != g && f.primary == g.name {
			followers = append(followers, instance.Follower{Instance: f.name, Term: f.term, Last: f.last()})
		}
	}
	return followers
}

// check notes faults against the invariants after an instance's step.
func (w *world) check(g *target) {
	if g.role != instance.Primary {
		return
	}
	if before, ok := w.leaders[g.term]; ok {
		if before != g.name {
			w.fault = fmt.Sprintf("I2: %s and %s are primaries in term %d", before, g.name, g.term)
		}
		return
	}
	w.leaders[g.term] = g.name
	for id, p := range w.acknowledged {
		if p.Term < g.term && (len(g.log) < int(p.Index) || g.log[p.Index-1].id != id) {
			w.fault = fmt.Sprintf("I1: primary %s of term %d lacks the acknowledged write %d at %v", g.name, g.term, id, p)
		}
	}
}

// replicate hands the log of the instance's primary to it.
func (w *world) replicate(g *target) {
	from := w.target(g.primary)
	if from == nil || from == g || g.role != instance.Replica || from.role != instance.Primary || from.term != g.term ||
		g.down || g.paused || from.down || from.paused || g.cut[string(from.name)] || from.cut[string(g.name)] {
		return
	}
	g.log = append([]record(nil), from.log...)
	g.freshAt = w.now.UnixNano()
	from.freshAt = w.now.UnixNano()
}

// write appends a write to an instance that takes itself for the primary.
func (w *world) write(g *target) {
	if g.role == instance.Primary && !g.down && !g.paused && !g.quiesced {
		w.writes++
		g.log = append(g.log, record{term: g.term, id: w.writes})
	}
}

// acknowledge acknowledges what a majority holds by the instances' reports.
func (w *world) acknowledge() {
	for _, g := range w.targets {
		for i, r := range g.log {
			p := unit.Position{Term: r.term, Index: unit.Index(i + 1)}
			if r.id == 0 || g.role != instance.Primary || r.term != g.term {
				continue
			}
			held := 0
			for _, other := range w.targets {
				if other.report(nil).Holds(p) {
					held++
				}
			}
			if held >= 2 {
				w.acknowledged[r.id] = p
			}
		}
	}
}

// run advances simulated time by steps of a millisecond.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		w.step()
	}
}

func (w *world) step() {
	due := w.queue
	w.queue = nil
	for _, m := range due {
		if m.at.After(w.now) {
			w.queue = append(w.queue, m)
			continue
		}
		m.do()
	}
	for i, p := range w.promoters {
		if !p.Next().After(w.now) {
			w.handle(i, promoter.Tick{Moment: w.moment()})
		}
	}
	if w.now.UnixMilli()%10 == 0 {
		for _, g := range w.targets {
			w.replicate(g)
		}
		w.acknowledge()
	}
}

// primary returns the working primary of the highest term, nil without one.
func (w *world) primary() *target {
	var best *target
	for _, g := range w.targets {
		if g.role == instance.Primary && !g.down && !g.paused && (best == nil || g.term > best.term) {
			best = g
		}
	}
	return best
}
