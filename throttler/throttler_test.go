package throttler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// calmWorld returns a world without failures whose daemons have been listed for long.
func calmWorld(nodes int, limits map[unit.CallerName]manifest.RateLimit) *world {
	w := newWorld(1, nodes, limits)
	w.calm = true
	return w
}

// admittedIn returns how many operations of the caller are admitted within the time, after the
// daemons no longer have to allow for an earlier limit.
func (w *world) admittedIn(c unit.CallerName, d time.Duration) int {
	w.startAll()
	w.runUntil(w.now + limitDelay + time.Second)
	before := w.admitted[c]
	w.runUntil(w.now + d)
	return w.admitted[c] - before
}

func TestLoneBusyDaemonUsesMostOfTheLimit(t *testing.T) {
	for c, limit := range modelLimits {
		t.Run(string(c), func(t *testing.T) {
			is := is.New(t)
			w := calmWorld(24, modelLimits)
			w.nodes[3].rates[c] = 3 * limit.PerSecond
			admitted := w.admittedIn(c, 20*time.Second)
			t.Log(admitted)
			is.Equal(w.violation, "")
			want := 0.8
			if limit.Burst == 1 {
				want = 0.5 // Nothing is saved up until the next operation arrives.
			}
			is.True(float64(admitted) >= want*20*limit.PerSecond)
		})
	}
}

// TestHotCaller checks that a caller far above its limit gets what the limit allows, through
// many daemons, and that its refusals cost few requests.
func TestHotCaller(t *testing.T) {
	is := is.New(t)
	limit := manifest.RateLimit{PerSecond: 40, Burst: 40}
	w := calmWorld(24, map[unit.CallerName]manifest.RateLimit{"hot": limit})
	for _, n := range w.nodes {
		n.rates["hot"] = 7 * limit.PerSecond / 24
	}
	admitted := w.admittedIn("hot", 20*time.Second)
	t.Log(admitted, w.asked)
	is.Equal(w.violation, "")
	is.True(admitted >= 640) // 80%
	is.True(w.asked < w.requested)
}

func TestSmallCallersOverManyDaemons(t *testing.T) {
	is := is.New(t)
	limits := make(map[unit.CallerName]manifest.RateLimit)
	for i := range 20 {
		limits[unit.CallerName(fmt.Sprintf("c-%d", i))] = manifest.RateLimit{PerSecond: 2, Burst: 4}
	}
	w := calmWorld(24, limits)
	for _, n := range w.nodes {
		for c := range limits {
			n.rates[c] = 1.2 / 24
		}
	}
	w.startAll()
	w.runUntil(w.now + 60*time.Second)
	total := 0
	for _, n := range w.admitted {
		total += n
	}
	t.Log(total, w.requested)
	is.Equal(w.violation, "")
	is.True(float64(total) > 0.9*float64(w.requested))
}

func TestCutOffDaemonUsesItsFloor(t *testing.T) {
	is := is.New(t)
	limit := manifest.RateLimit{PerSecond: 100, Burst: 200}
	w := calmWorld(8, map[unit.CallerName]manifest.RateLimit{"c": limit})
	cutOff := w.nodes[0]
	cutOff.rates["c"] = 50
	w.startAll()
	w.runUntil(w.now + limitDelay + time.Second)
	cutOff.cutUntil = w.now + time.Hour
	w.runUntil(w.now + time.Second) // Grants lapse.
	before := w.admitted["c"]
	w.runUntil(w.now + 10*time.Second)
	floor := limit.PerSecond * floorFraction / 8 * 10
	is.True(float64(w.admitted["c"]-before) >= 0.9*floor)
	w.runUntil(w.now + FloorLease)
	before = w.admitted["c"]
	w.runUntil(w.now + 10*time.Second)
	is.Equal(w.admitted["c"], before) // Others may have taken over its floor.
}

// TestLenders checks for how long a caller is limited to a part while its lenders change. All
// daemons but the lenders serve the caller.
func TestLenders(t *testing.T) {
	limit := manifest.RateLimit{PerSecond: 20, Burst: 20}
	served := func(change func(w *world, lender *node)) float64 {
		w := calmWorld(6, map[unit.CallerName]manifest.RateLimit{"c": limit})
		w.startAll()
		w.runUntil(w.now + limitDelay)
		m, _ := w.nodes[0].throttler.roster.lender(partitionOf("c", 0), w.nodes[0].clock())
		var lender *node
		for _, n := range w.nodes {
			if n.id == m.Daemon {
				lender = n
				continue
			}
			n.rates["c"] = 6
			n.load("c")
		}
		w.runUntil(w.now + 3*time.Second)
		change(w, lender)
		before := w.admitted["c"]
		w.runUntil(w.now + 10*time.Second)
		if w.violation != "" {
			t.Error(w.violation)
		}
		return float64(w.admitted["c"]-before) / (limit.PerSecond * 10)
	}
	check := func(name string, atLeast float64, change func(w *world, lender *node)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			share := served(change)
			t.Logf("%.2f of the limit", share)
			is.True(share >= atLeast)
		})
	}
	check("nothing happens", 0.8, func(*world, *node) {})
	check("the store is away", 0.75, func(w *world, _ *node) {
		for _, n := range w.nodes {
			n.refusedUntil = w.now + 9*time.Second
		}
	})
	check("a lender restarts", 0.7, func(w *world, lender *node) {
		lender.up = false
		w.after(time.Second, lender.start)
	})
	check("a lender leaves", 0.7, func(w *world, lender *node) {
		lender.up = false
		w.remove(lender, true)
	})
	check("a lender is lost", 0.5, func(w *world, lender *node) {
		lender.up = false
		w.after(6*time.Second, func() { w.remove(lender, false) })
	})
	check("a lender is suspended", 0.5, func(w *world, lender *node) {
		lender.frozenUntil = w.now + 5*time.Second
	})
}

// TestLendable checks the bucket of a lender against grants that are made as early, and used
// as late, as possible.
func TestLendable(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		limit := allotment{rate: random.Float64() * 100, burst: 1 + random.Float64()*30}
		part := limit.lendable()
		b := bound{tokens: limit.burst}
		granting := bucket{tokens: part.burst}
		last := time.Duration(0)
		for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
			granting.fill(part, unit.Instant(now))
			for range granting.take(1 + random.IntN(3)) {
				used := max(last, now+time.Duration(random.Int64N(int64(limit.validity()))))
				if now < 2*time.Second {
					used = max(last, now+limit.validity()-1)
				}
				last = used
				if !b.admit(limit, used) {
					t.Fatalf("%+v is exceeded at %v with %+v", limit, used, part)
				}
			}
		}
	}
}

// TestPartsOfTwoLimits checks that daemons of which some apply an earlier limit, and some have
// started since, stay within the larger limit.
func TestPartsOfTwoLimits(t *testing.T) {
	for earlier := 1.0; earlier < 40; earlier += 0.5 {
		for later := 1.0; later < 40; later += 0.5 {
			before, after := allotment{rate: earlier, burst: earlier}, allotment{rate: later, burst: later}
			started := allowance{current: after, earlier: []earlierLimit{{unknown: true}}}
			for choice := range 1 << MaxShares {
				sum := allotment{}
				for s := range Share(MaxShares) {
					part := before.share(s)
					if choice>>s&1 == 1 {
						part = started.share(s, MaxShares*int(later+earlier))
					}
					sum.rate += part.rate
					sum.burst += part.burst
				}
				if limit := max(earlier, later) + 1e-9; sum.burst > limit || sum.rate > limit {
					t.Fatalf("bursts %v and then %v, started %b: %+v", earlier, later, choice, sum)
				}
			}
		}
	}
}

func TestChangedLimits(t *testing.T) {
	now := unit.Instant(time.Hour)
	few, many := allotment{rate: 4, burst: 4}, allotment{rate: 40, burst: 400}
	t.Run("a lower limit applies at once", func(t *testing.T) {
		is := is.New(t)
		a := allowance{current: many}
		a.replace(few, now)
		is.True(a.share(0, 24).burst <= few.burst)
		is.Equal(a.share(1, 24), allotment{})
	})
	t.Run("a higher limit that is divided differently applies once all know it", func(t *testing.T) {
		is := is.New(t)
		a := allowance{current: few}
		a.replace(many, now)
		is.True(a.share(0, 24).burst <= few.burst)
		is.Equal(a.share(2, 24).burst, 0.0)
		is.Equal(a.floor(10).burst, 0.0)
		a.expire(now.Add(limitDelay))
		is.True(a.share(2, 24).burst > 100)
		is.Equal(a.floor(10).burst, 5.0)
	})
}

// TestValidityOfLateResponse guards against counting the validity from a later request: one
// response carried grants for several callers, the first of which wanted more at once. The
// model found the fault in 1 of 4,070 seeds.
func TestValidityOfLateResponse(t *testing.T) {
	is := is.New(t)
	limits := make(map[unit.CallerName]manifest.RateLimit)
	for i := range 10 {
		limits[callerName(i)] = manifest.RateLimit{PerSecond: 4, Burst: 4} // One share.
	}
	w := calmWorld(2, limits)
	w.startAll()
	w.runUntil(w.now + time.Second)
	n, lender := w.nodes[0], w.nodes[1].id
	var ask Ask
	for i := range 10 {
		caller := callerName(i)
		for _, effect := range n.throttler.Step(Request{ID: ID(i), Caller: caller, Now: n.clock()}) {
			if e, ok := effect.(Ask); ok {
				ask = e
			}
		}
	}
	is.Equal(ask.Lender, lender)
	grants := []Grant{{Granted: 1, Validity: MaxValidity}}
	for _, effect := range n.throttler.Step(Answered{Lender: lender, Number: 1, Grants: grants, Now: n.clock()}) {
		if e, ok := effect.(Ask); ok {
			ask = e // With the wants of the callers that waited for the first request to end.
		}
	}
	is.True(len(ask.Wants) > 1)
	grants = make([]Grant, len(ask.Wants))
	for i := range grants {
		grants[i] = Grant{Granted: 1, Validity: MaxValidity}
	}
	late := n.clock().Add(MaxValidity)
	for _, effect := range n.throttler.Step(Answered{Lender: lender, Number: ask.Number, Grants: grants, Now: late}) {
		_, admitted := effect.(Admit)
		is.True(!admitted)
	}
}

func TestOddLimits(t *testing.T) {
	for _, l := range []manifest.RateLimit{
		{}, {PerSecond: -1, Burst: -1}, {PerSecond: math.NaN(), Burst: math.NaN()}, {PerSecond: math.Inf(1), Burst: math.Inf(1)},
	} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			is := is.New(t)
			w := calmWorld(2, map[unit.CallerName]manifest.RateLimit{"c": l})
			w.nodes[0].rates["c"] = 10
			w.admittedIn("c", 5*time.Second)
			is.Equal(w.violation, "")
			is.Equal(w.admitted["c"] > 1, l.PerSecond > 0)
		})
	}
}

// TestLimitThatComesBack checks that a caller does not get its burst once more when its limit
// is removed and comes back.
func TestLimitThatComesBack(t *testing.T) {
	is := is.New(t)
	limit := manifest.RateLimit{PerSecond: 1, Burst: 20}
	w := calmWorld(1, map[unit.CallerName]manifest.RateLimit{"c": limit})
	n := w.nodes[0]
	n.rates["c"] = 100
	is.True(w.admittedIn("c", time.Second) < 3)
	before := w.admitted["c"]
	n.step(Limits{Now: n.clock()})
	n.step(Limits{Callers: w.callers(0), Now: n.clock()})
	w.runUntil(w.now + 5*time.Second)
	is.True(w.admitted["c"]-before <= 6)
}

func TestRequestsOfUnlimitedCallersAreAdmitted(t *testing.T) {
	is := is.New(t)
	x := New("a", 1)
	is.Equal(x.Step(Request{ID: 7, Caller: "c"}), []Effect{Admit{ID: 7, Source: Unlimited}})
	x.Step(Limits{Callers: []manifest.Caller{{Name: "d"}}})
	is.Equal(len(x.limits), 0)
}

// TestSlowLender checks that an operation does not wait for a lender again and again that
// responds after the grants have lapsed.
func TestSlowLender(t *testing.T) {
	is := is.New(t)
	w := calmWorld(2, map[unit.CallerName]manifest.RateLimit{"c": {PerSecond: 4, Burst: 4}})
	w.startAll()
	w.runUntil(w.now + time.Second)
	m, _ := w.nodes[0].throttler.roster.lender(partitionOf("c", 0), w.nodes[0].clock())
	n := w.nodes[0]
	if m.Daemon == n.id {
		n = w.nodes[1]
	}
	ask := n.throttler.Step(Request{ID: 1, Caller: "c", Now: n.clock()})[0].(Ask)
	late := n.clock().Add(MaxValidity)
	effects := n.throttler.Step(Answered{
		Lender: m.Daemon, Number: ask.Number, Grants: []Grant{{Granted: 1, Validity: MaxValidity}}, Now: late,
	})
	is.Equal(effects, []Effect{Refuse{ID: 1, Caller: "c", RetryAfter: minRetry, Unreachable: true}})
}

// TestWithoutLender checks that a daemon that knows no lender refuses at once.
func TestWithoutLender(t *testing.T) {
	is := is.New(t)
	x := New("a", 1)
	x.Step(Limits{Callers: []manifest.Caller{{Name: "c", RateLimit: &manifest.RateLimit{PerSecond: 5, Burst: 5}}}})
	is.Equal(x.Step(Request{ID: 1, Caller: "c", Now: 1}), []Effect{Refuse{ID: 1, Caller: "c", RetryAfter: lenderRetry, Unreachable: true}})
	is.Equal(x.Lend([]Want{{Caller: "c", Waiting: 1}, {Caller: "unknown"}, {Caller: "c", Share: -1}}, 1),
		[]Grant{{NotLending: true}, {NotLending: true}, {NotLending: true}})
}

// TestNearLender checks that of several lenders a near one is asked first.
func TestNearLender(t *testing.T) {
	is := is.New(t)
	limit := manifest.RateLimit{PerSecond: 40, Burst: 40}
	w := calmWorld(6, map[unit.CallerName]manifest.RateLimit{"c": limit})
	w.startAll()
	w.runUntil(w.now + time.Second)
	borrower := w.nodes[0].throttler
	for s := range Share(MaxShares) {
		near, _ := borrower.roster.lender(partitionOf("c", s), w.nodes[0].clock())
		if near.Daemon == borrower.self {
			continue
		}
		a, _ := borrower.account("c", w.nodes[0].clock())
		for _, n := range w.nodes {
			m := borrower.roster.view.Members[n.id]
			m.Domain = unit.DomainName(n.id)
			borrower.roster.view.Members[n.id] = m
		}
		borrower.roster.listed = borrower.roster.view.Listed()
		borrower.distance = func(d unit.DomainName) int {
			if d == unit.DomainName(near.Daemon) {
				return 0
			}
			return 1
		}
		_, m, ok := borrower.choose(a, w.nodes[0].clock())
		is.True(ok)
		is.True(m.Daemon == near.Daemon || m.Daemon == borrower.self)
	}
}

// TestListedAhead checks that a new daemon begins to lend no earlier than the others stop. Its row
// may name a later time than the store's clock showed, if the requests of the new daemon take long.
func TestListedAhead(t *testing.T) {
	is := is.New(t)
	begin, ahead := unit.Instant(time.Hour), time.Second
	old, added := New("old", 1), New("added", 1)
	view := authorizer.View{Era: 1, Epoch: 1, Now: time.Hour, Members: map[unit.DaemonID]authorizer.Member{
		"old":   {Daemon: "old", Incarnation: 1, Listed: time.Minute},
		"added": {Daemon: "added", Incarnation: 1, Listed: time.Hour + ahead},
	}}
	for at := time.Duration(0); at < 2*LendingLease; at += 100 * time.Millisecond {
		view.Now = time.Hour + at
		now := begin.Add(at)
		old.Step(Confirmed{View: view, Sent: now, Now: now})
		added.Step(Confirmed{View: view, Sent: now.Add(-ahead), Now: now})
		for p := range partition(partitions) {
			is.True(!old.roster.lends(p, now) || !added.roster.lends(p, now))
		}
	}
	is.True(added.lending > 0)
}

// TestRaisedLimit checks that a higher limit does not wait until the time at which the lower one
// would have allowed the next operation.
func TestRaisedLimit(t *testing.T) {
	is := is.New(t)
	w := calmWorld(4, map[unit.CallerName]manifest.RateLimit{"c": {PerSecond: 0.02, Burst: 1}})
	for _, n := range w.nodes {
		n.rates["c"] = 4
	}
	is.True(w.admittedIn("c", 20*time.Second) <= 2)
	w.versions = append(w.versions, map[unit.CallerName]manifest.RateLimit{"c": {PerSecond: 4, Burst: 4}})
	w.version++
	w.runUntil(w.now + 4*time.Second) // The daemons learn of it at different times.
	before := w.admitted["c"]
	w.runUntil(w.now + 5*time.Second)
	is.Equal(w.violation, "")
	t.Log(w.admitted["c"] - before)
	is.True(w.admitted["c"]-before >= 10)
}
