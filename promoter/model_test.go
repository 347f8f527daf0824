package promoter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/promoter"
	"tarragonshed.example/unit"
)

// target is a model of one database instance.
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
	// unreachable holds the names of the instances and proposers that it cannot
	// exchange messages with.
	unreachable map[string]bool
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

// simulation holds three instances, promoters and the messages in flight between
// them, in simulated time.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	latency   func() time.Duration
	targets   []*target
	promoters []*promoter.Promoter
	names     []string
	queue     []message
	emitted   []promoter.Emit
	ended     []promoter.ChangeEnded
	// leaders holds the primary of each term, acknowledged the positions of the
	// writes that a majority has held.
	leaders      map[unit.Term]unit.InstanceName
	acknowledged map[int]unit.Position
	writes       int
	// connectTime is the time to open a connection for the call that is being made.
	connectTime time.Duration
	// violation describes the last violation of an invariant, empty without one.
	violation string
}

type message struct {
	at time.Time
	do func()
	// timeout marks the caller's own timer, which cannot be lost.
	timeout bool
}

func newSimulation(seed uint64, promoters int, options ...promoter.Option) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		leaders: make(map[unit.Term]unit.InstanceName), acknowledged: make(map[int]unit.Position),
	}
	s.latency = usualLatency(s)
	var members []promoter.Member
	for _, name := range []unit.InstanceName{"a", "b", "c"} {
		s.targets = append(s.targets, &target{name: name, role: instance.Detached, unreachable: make(map[string]bool)})
		members = append(members, promoter.Member{Name: name, Address: string(name) + ":1"})
	}
	for i := range promoters {
		name := fmt.Sprintf("p%d", i)
		s.names = append(s.names, name)
		s.promoters = append(s.promoters, promoter.New(name, members, append(options, promoter.WithRank(i))...))
	}
	return s
}

func usualLatency(s *simulation) func() time.Duration {
	return func() time.Duration { return time.Duration(8+s.random.IntN(3)) * time.Millisecond }
}

func (s *simulation) moment() promoter.Moment {
	return promoter.Moment{At: s.now, Random: s.random.Float64()}
}

func (s *simulation) target(name unit.InstanceName) *target {
	for _, g := range s.targets {
		if g.name == name {
			return g
		}
	}
	return nil
}

// handle passes an event to promoter i and carries out the effects.
func (s *simulation) handle(i int, event promoter.Event) {
	for _, effect := range s.promoters[i].Handle(event) {
		switch e := effect.(type) {
		case promoter.Probe:
			s.probe(i, e)
		case promoter.Grant:
			s.call(i, e.Instance, promoter.GrantCall, e.Timeout, func(g *target) { g.grant(e.Term, e.Proposer) })
		case promoter.Promote:
			s.call(i, e.Instance, promoter.PromoteCall, e.Timeout, func(g *target) { g.promote(e.Term, e.Proposer) })
		case promoter.Follow:
			s.call(i, e.Instance, promoter.FollowCall, e.Timeout, func(g *target) { g.follow(e.Term, e.Primary) })
		case promoter.Quiesce:
			s.call(i, e.Instance, promoter.QuiesceCall, e.Timeout, func(g *target) {
				g.quiesced = e.Period > 0 && g.role == instance.Primary && g.term == e.Term
			})
		case promoter.Emit:
			s.emitted = append(s.emitted, e)
		case promoter.ChangeEnded:
			s.ended = append(s.ended, e)
		}
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.queue = append(s.queue, message{at: s.now.Add(d), do: do})
}

// probe makes a probe. A new connection takes two more round trips and the time
// that the instance needs to accept it.
func (s *simulation) probe(i int, e promoter.Probe) {
	s.connectTime = 0
	if e.Fresh {
		s.connectTime = connectDelay + s.latency() + s.latency() + s.latency() + s.latency()
	}
	s.call(i, e.Instance, promoter.ProbeCall, e.Timeout, func(*target) {})
	s.connectTime = 0
}

const connectDelay = 10 * time.Millisecond

// call delivers a call to an instance and its answer, or a failure, to promoter i.
// The effect is applied to the instance when the call arrives.
func (s *simulation) call(i int, name unit.InstanceName, call promoter.Call, timeout time.Duration, effect func(*target)) {
	g, start, answered := s.target(name), s.now, false
	fail := func(cause promoter.Cause) {
		if !answered {
			answered = true
			s.handle(i, promoter.Failed{Moment: s.moment(), Instance: name, Call: call, Cause: cause})
		}
	}
	s.queue = append(s.queue, message{at: s.now.Add(timeout), do: func() { fail(promoter.TimedOut) }, timeout: true})
	var arrive func()
	arrive = func() {
		switch {
		case g.unreachable[s.names[i]]:
		case g.down:
			s.after(s.latency(), func() { fail(promoter.Refused) })
		case g.paused:
			s.after(50*time.Millisecond, arrive) // The call stays pending until the instance resumes.
		default:
			effect(g)
			s.check(g)
			report := g.report(s.followers(g))
			s.after(s.latency(), func() {
				if answered || g.unreachable[s.names[i]] {
					return
				}
				answered = true
				s.handle(i, promoter.Reported{Moment: s.moment(), Call: call, Report: report, Took: s.now.Sub(start)})
			})
		}
	}
	s.after(s.connectTime+s.latency(), arrive)
}

func (s *simulation) followers(g *target) []instance.Follower {
	var followers []instance.Follower
	for _, f := range s.targets {
		if f != g && f.primary == g.name {
			followers = append(followers, instance.Follower{Instance: f.name, Term: f.term, Last: f.last()})
		}
	}
	return followers
}

// check records violations of the invariants after a call to an instance. I1: a
// primary holds every write that was acknowledged in an earlier term. I2: a term
// has at most one primary.
func (s *simulation) check(g *target) {
	if g.role != instance.Primary {
		return
	}
	if before, ok := s.leaders[g.term]; ok {
		if before != g.name {
			s.violation = fmt.Sprintf("I2: %s and %s are primaries in term %d", before, g.name, g.term)
		}
		return
	}
	s.leaders[g.term] = g.name
	for id, p := range s.acknowledged {
		if p.Term < g.term && (len(g.log) < int(p.Index) || g.log[p.Index-1].id != id) {
			s.violation = fmt.Sprintf("I1: primary %s of term %d lacks the acknowledged write %d at %v", g.name, g.term, id, p)
		}
	}
}

// replicate copies the log of its primary to the instance.
func (s *simulation) replicate(g *target) {
	from := s.target(g.primary)
	if from == nil || from == g || g.role != instance.Replica || from.role != instance.Primary || from.term != g.term ||
		g.down || g.paused || from.down || from.paused || g.unreachable[string(from.name)] || from.unreachable[string(g.name)] {
		return
	}
	g.log = append([]record(nil), from.log...)
	g.freshAt = s.now.UnixNano()
	from.freshAt = s.now.UnixNano()
}

// write appends a write to an instance if it is in the role of primary and not
// quiesced.
func (s *simulation) write(g *target) {
	if g.role == instance.Primary && !g.down && !g.paused && !g.quiesced {
		s.writes++
		g.log = append(g.log, record{term: g.term, id: s.writes})
	}
}

// acknowledge records the writes that a majority holds by the instances' reports.
func (s *simulation) acknowledge() {
	for _, g := range s.targets {
		for i, r := range g.log {
			p := unit.Position{Term: r.term, Index: unit.Index(i + 1)}
			if r.id == 0 || g.role != instance.Primary || r.term != g.term {
				continue
			}
			held := 0
			for _, other := range s.targets {
				if other.report(nil).Holds(p) {
					held++
				}
			}
			if held >= 2 {
				s.acknowledged[r.id] = p
			}
		}
	}
}

// run advances simulated time by d in steps of 1 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.step()
	}
}

func (s *simulation) step() {
	due := s.queue
	s.queue = nil
	for _, m := range due {
		if m.at.After(s.now) {
			s.queue = append(s.queue, m)
			continue
		}
		m.do()
	}
	for i, p := range s.promoters {
		if !p.Next().After(s.now) {
			s.handle(i, promoter.Tick{Moment: s.moment()})
		}
	}
	if s.now.UnixMilli()%10 == 0 {
		for _, g := range s.targets {
			s.replicate(g)
		}
		s.acknowledge()
	}
}

// primary returns the primary of the highest term that is neither down nor paused,
// or nil if there is none.
func (s *simulation) primary() *target {
	var best *target
	for _, g := range s.targets {
		if g.role == instance.Primary && !g.down && !g.paused && (best == nil || g.term > best.term) {
			best = g
		}
	}
	return best
}
