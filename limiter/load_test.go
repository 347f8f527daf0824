package limiter_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/limiter"
	"tarragonshed.example/unit"
)

// class is a kind of operation in a [load].
type class struct {
	name      string
	priority  limiter.Priority
	route     int // The priority of its route.
	perSecond float64
	service   time.Duration // The mean for one statement.
	target    time.Duration
	deadline  time.Duration
	// transactions is the share of operations that are transactions of statements
	// statements each. The others have one.
	transactions float64
}

const statements = 3

// Rates for one instance with four slots, of which they use about three quarters.
var (
	edits  = class{"edits", limiter.Write, 0, 60, 5 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second, 0.4}
	status = class{"status", limiter.StaleRead, 1, 120, 14 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 0}
	views  = class{"views", limiter.StaleRead, 2, 45, 20 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 0}
)

var everyClass = []class{edits, status, views}

// load is what callers ask of some daemons, which send it to the limiters of the instances.
// The excess lasts for the middle third of the time.
type load struct {
	classes   []class
	callers   int // Caller i has a share of operations in proportion to 1/(i+1).
	instances int
	// excess multiplies the rate of a class or of a caller.
	excess    func(class string, caller int) float64
	retries   int
	impatient bool // Callers ignore when they should try again.
}

const (
	daemons    = 6
	playedTime = 18 * time.Second
	hop        = time.Millisecond // To the nearest daemon; the others are farther.
	impatience = 20 * time.Millisecond
	// refusalDelay is a wait after which a refusal is late.
	refusalDelay = 250 * time.Millisecond
)

// outcome counts operations by what their callers got.
type outcome struct{ asked, inTime, late int }

func (o outcome) share() float64  { return float64(o.inTime) / float64(max(1, o.asked)) }
func (o outcome) served() float64 { return float64(o.inTime+o.late) / float64(max(1, o.asked)) }

// operation is an operation of a caller.
type operation struct {
	class    class
	caller   int
	begun    time.Time
	left     int // Statements that have not ended.
	retries  int
	daemon   int // Through which it is sent.
	limiter  int
	open     bool
	sent     time.Time // When the last request was queued.
	outcomes []*outcome
}

type timer struct {
	at time.Time
	id int // Orders timers of the same time.
	do func()
}

type timers []timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return cmp.Or(h[i].at.Compare(h[j].at), h[i].id-h[j].id) < 0 }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// player plays a load in virtual time. It counts operations that begin in the excess.
type player struct {
	load     load
	ranked   bool
	random   *rand.Rand
	now      time.Time
	timers   timers
	next     int // The ID of the next timer or statement.
	limiters []*limiter.Limiter
	waiting  map[limiter.ID]*operation
	classes  map[string]*outcome
	callers  []outcome
	refused  map[limiter.Reason]int
	// refusedLate counts refusals of requests that had waited for longer than refusalDelay.
	refusedLate int
	brokenOff   int // Transactions of which a later statement was refused.
}

// play plays the load with the ranked order, or else with the order by priority and
// anonymous callers.
func play(l load, ranked bool) *player {
	p := &player{
		load: l, ranked: ranked, random: rand.New(rand.NewPCG(1, 2)), now: start,
		waiting: make(map[limiter.ID]*operation), classes: make(map[string]*outcome), callers: make([]outcome, l.callers), refused: make(map[limiter.Reason]int),
	}
	for range l.instances {
		p.limiters = append(p.limiters, limiter.New(limiter.Limits{Slots: 4, Connections: 70, Queue: 400, Ranked: ranked}))
	}
	weights := 0.0
	for i := range l.callers {
		weights += 1 / float64(i+1)
	}
	for _, c := range l.classes {
		p.classes[c.name] = &outcome{}
		for i := range l.callers {
			p.arrive(c, i, c.perSecond*float64(l.instances)/float64(i+1)/weights)
		}
	}
	for len(p.timers) > 0 {
		t := heap.Pop(&p.timers).(timer)
		p.now = t.at
		t.do()
	}
	return p
}

func (p *player) after(d time.Duration, do func()) {
	p.next++
	heap.Push(&p.timers, timer{p.now.Add(d), p.next, do})
}

func (p *player) exponential(mean time.Duration) time.Duration {
	return time.Duration(p.random.ExpFloat64() * float64(mean))
}

// arrive lets operations of a class and a caller begin at a rate per second.
func (p *player) arrive(c class, caller int, rate float64) {
	elapsed := p.now.Sub(start)
	inExcess := elapsed > playedTime/3 && elapsed < 2*playedTime/3
	current := rate
	if inExcess {
		current *= p.load.excess(c.name, caller)
	}
	p.after(p.exponential(time.Duration(float64(time.Second)/current)), func() {
		if p.now.Sub(start) > playedTime {
			return
		}
		op := &operation{class: c, caller: caller, begun: p.now, left: 1, retries: p.load.retries}
		if p.random.Float64() < c.transactions {
			op.left = statements
		}
		if inExcess {
			op.outcomes = []*outcome{p.classes[c.name], &p.callers[caller]}
		}
		for _, o := range op.outcomes {
			o.asked++
		}
		p.send(op)
		p.arrive(c, caller, rate)
	})
}

// send sends the next statement of an operation through the next daemon.
func (p *player) send(op *operation) {
	if !op.open {
		op.daemon = p.next % daemons
		op.limiter = p.next % len(p.limiters)
	}
	p.after(time.Duration(op.daemon+1)*hop, func() {
		p.next++
		r := limiter.Request{ID: limiter.ID(p.next), Priority: op.class.priority, Now: p.now, Deadline: op.begun.Add(op.class.deadline)}
		if op.open {
			r.Priority = limiter.OpenTransaction
		}
		if p.ranked {
			r.Caller, r.Rank.Route = unit.CallerName(fmt.Sprint(op.caller)), op.class.route
			r.Target = op.begun.Add(op.class.target)
		}
		op.sent, p.waiting[r.ID] = p.now, op
		p.apply(p.limiters[op.limiter].Step(r))
	})
}

func (p *player) apply(effects []limiter.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.Admit:
			op := p.waiting[effect.ID]
			took := p.exponential(op.class.service)
			p.after(took, func() { p.finish(op, took) })
		case limiter.Refuse:
			p.refused[effect.Reason]++
			p.refuse(p.waiting[effect.ID], effect.RetryAfter)
		}
	}
}

func (p *player) finish(op *operation, took time.Duration) {
	l := p.limiters[op.limiter]
	op.left--
	p.apply(l.Step(limiter.Finished{Now: p.now, Took: took}))
	if op.left > 0 {
		op.open = true
		p.send(op)
		return
	}
	p.apply(l.Step(limiter.TransactionEnded{Now: p.now}))
	elapsed := p.now.Sub(op.begun)
	for _, o := range op.outcomes {
		switch {
		case elapsed <= op.class.target:
			o.inTime++
		case elapsed <= op.class.deadline:
			o.late++
		}
	}
}

func (p *player) refuse(op *operation, after time.Duration) {
	if p.now.Sub(op.sent) > refusalDelay {
		p.refusedLate++
	}
	if op.open {
		p.apply(p.limiters[op.limiter].Step(limiter.TransactionEnded{Now: p.now}))
		p.brokenOff++
		return
	}
	if p.load.impatient {
		after = impatience
	}
	op.retries--
	if op.retries >= 0 && p.now.Add(after).Before(op.begun.Add(op.class.deadline)) {
		p.after(after, func() { p.send(op) })
	}
}

// small returns the outcome of the smaller half of the callers together.
func (p *player) small() (sum outcome) {
	for _, o := range p.callers[len(p.callers)/2:] {
		sum.asked += o.asked
		sum.inTime += o.inTime
		sum.late += o.late
	}
	return sum
}

func (p *player) String() string {
	s := fmt.Sprintf("ranked %-5v", p.ranked)
	for _, c := range p.load.classes {
		o := p.classes[c.name]
		s += fmt.Sprintf(" | %s in time %.3f served %.3f of %d", c.name, o.share(), o.served(), o.asked)
	}
	small := p.small()
	return s + fmt.Sprintf(" | small callers %.3f %.3f, largest %.3f %.3f", small.share(), small.served(), p.callers[0].share(), p.callers[0].served()) + fmt.Sprint(" | refused ", p.refused, ", late ", p.refusedLate)
}

// compare plays a load in both orders. In the ranked one, no transaction may be broken off.
func compare(t *testing.T, l load) (before, ranked *player) {
	t.Helper()
	before, ranked = play(l, false), play(l, true)
	t.Log(before)
	t.Log(ranked)
	is.New(t).Equal(ranked.brokenOff, 0)
	return before, ranked
}

func excessOf(name string, factor float64) func(string, int) float64 {
	return func(class string, _ int) float64 {
		if class == name || name == "" {
			return factor
		}
		return 1
	}
}

// TestBurstOfOneClass checks that a burst doesn't delay the classes of higher priority, and
// that a lower class isn't starved.
func TestBurstOfOneClass(t *testing.T) {
	for _, burst := range []class{edits, status, views} {
		for _, factor := range []float64{1.7, 2.5} {
			t.Run(fmt.Sprintf("%s x%v", burst.name, factor), func(t *testing.T) {
				is := is.New(t)
				before, ranked := compare(t, load{classes: everyClass, callers: 72, instances: 2, excess: excessOf(burst.name, factor), retries: 2})
				is.True(ranked.classes["edits"].share() >= max(0.99, before.classes["edits"].share()))
				is.True(ranked.classes["status"].share() >= min(0.99, before.classes["status"].share()))
				is.True(ranked.classes["views"].share() >= 0.3)
				is.True(ranked.small().share() >= 0.95)
			})
		}
	}
}

// TestHotCaller checks that small callers don't pay for a large one.
func TestHotCaller(t *testing.T) {
	for _, hot := range []int{0, 5, 40} {
		t.Run(fmt.Sprint("caller ", hot), func(t *testing.T) {
			is := is.New(t)
			before, ranked := compare(t, load{classes: everyClass, callers: 72, instances: 2, retries: 2, excess: func(_ string, caller int) float64 {
				if caller == hot {
					return 7.5
				}
				return 1
			}})
			is.True(ranked.classes["edits"].share() >= before.classes["edits"].share())
			is.True(ranked.small().share() >= 0.9)
			is.True(ranked.callers[hot].served() >= 0.4) // It still gets what the others leave.
		})
	}
}

// TestRetryStorm checks that callers that try again up to eight times, also too early, don't
// take the slots from statements that are in time.
func TestRetryStorm(t *testing.T) {
	for _, impatient := range []bool{false, true} {
		t.Run(fmt.Sprint("impatient ", impatient), func(t *testing.T) {
			is := is.New(t)
			l := load{classes: everyClass, callers: 72, instances: 2, retries: 8, impatient: impatient, excess: excessOf("", 2)}
			before, ranked := compare(t, l)
			is.True(ranked.classes["edits"].share() >= 0.99)
			is.True(ranked.classes["status"].share() >= 2*before.classes["status"].share())
			is.True(ranked.small().share() >= 0.85)
		})
	}
}

// TestManyCallers checks an excess of all callers, of which a few are large: the small ones,
// which ask for less than an equal share, are served.
func TestManyCallers(t *testing.T) {
	is := is.New(t)
	_, ranked := compare(t, load{classes: everyClass, callers: 72, instances: 2, retries: 2, excess: excessOf("", 1.5)})
	is.True(ranked.small().share() >= 0.95)
	for _, o := range ranked.callers {
		is.True(o.served() >= 0.5)
	}
}

// TestOneCaller checks a deployment without callers of its own.
func TestOneCaller(t *testing.T) {
	is := is.New(t)
	before, ranked := compare(t, load{classes: everyClass, callers: 1, instances: 2, retries: 2, excess: excessOf("", 2.5)})
	is.True(ranked.classes["edits"].share() >= 0.99)
	for _, c := range everyClass {
		is.True(ranked.classes[c.name].share() >= before.classes[c.name].share())
	}
}

// TestOverloadedPrimary checks transactions of three statements, of which the later ones go
// first.
func TestOverloadedPrimary(t *testing.T) {
	is := is.New(t)
	writes := status
	writes.priority, writes.transactions = limiter.Write, 0.3
	before, ranked := compare(t, load{classes: []class{edits, writes}, callers: 72, instances: 1, retries: 2, excess: excessOf("", 2.5)})
	is.True(ranked.classes["edits"].share() >= 0.99)
	is.True(ranked.classes["status"].share() >= before.classes["status"].share())
	is.True(ranked.small().share() >= 0.85)
}
