package limiter_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonshed.example/limiter"
	"tarragonshed.example/unit"
)

// ranked returns a request with a rank. Its deadline is a second after the start.
func ranked(id limiter.ID, caller unit.CallerName, route int, target time.Duration) limiter.Request {
	r := request(id, caller, limiter.Write)
	r.Rank.Route = route
	if target > 0 {
		r.Target = start.Add(target)
	}
	return r
}

// newBusy returns a ranked Limiter with one slot, which is in use, and the mean duration of
// a statement.
func newBusy(queue int, mean time.Duration) *limiter.Limiter {
	l := limiter.New(limiter.Limits{Slots: 1, Connections: 99, Queue: queue, Ranked: true})
	l.Step(ranked(1, "x", 0, 0))
	l.Step(finished(mean))
	l.Step(ranked(1, "x", 0, 0))
	return l
}

func TestRankedOrder(t *testing.T) {
	const ms = time.Millisecond
	t.Run("open transactions, route, caller", func(t *testing.T) {
		l := newBusy(9, ms)
		expect(t, l, ranked(2, "x", 2, 0))
		low := ranked(3, "y", 1, 0)
		low.Rank.Caller = 1
		expect(t, l, low)
		expect(t, l, ranked(4, "z", 1, 0))
		expect(t, l, request(5, "x", limiter.OpenTransaction))
		expect(t, l, finished(ms), "admit 5")
		expect(t, l, finished(ms), "admit 4")
		expect(t, l, finished(ms), "admit 3")
		expect(t, l, finished(ms), "admit 2")
	})
	t.Run("callers by turns, then earliest target", func(t *testing.T) {
		l := newBusy(9, ms)
		expect(t, l, ranked(2, "x", 0, 500*ms))
		expect(t, l, ranked(3, "x", 0, 300*ms))
		expect(t, l, ranked(4, "y", 0, 0))
		expect(t, l, ranked(5, "y", 0, 800*ms))
		expect(t, l, finished(ms), "admit 3")
		expect(t, l, finished(ms), "admit 5")
		expect(t, l, finished(ms), "admit 2")
		expect(t, l, finished(ms), "admit 4")
	})
	t.Run("what misses its target goes behind", func(t *testing.T) {
		l := newBusy(9, 10*ms)
		expect(t, l, ranked(2, "x", 0, 5*ms))
		expect(t, l, ranked(3, "x", 0, 40*ms))
		expect(t, l, ranked(4, "x", 0, 500*ms))
		later := start.Add(100 * ms)
		expect(t, l, limiter.Finished{Now: later, Took: 10 * ms}, "admit 4")
		expect(t, l, limiter.Finished{Now: later, Took: 10 * ms}, "admit 2")
		expect(t, l, limiter.Finished{Now: later, Took: 10 * ms}, "admit 3")
	})
	t.Run("open transactions are never late", func(t *testing.T) {
		l := newBusy(9, 10*ms)
		first := request(2, "x", limiter.OpenTransaction)
		first.Target = start.Add(5 * ms)
		expect(t, l, first)
		expect(t, l, request(3, "x", limiter.OpenTransaction))
		expect(t, l, finished(10*ms), "admit 2")
	})
	t.Run("no rank is starved", func(t *testing.T) {
		is := is.New(t)
		l := newBusy(99, 0)
		expect(t, l, ranked(1000, "x", 1, 0))
		expect(t, l, ranked(2000, "x", 2, 0))
		served := map[limiter.ID]int{}
		for id := limiter.ID(2); id < 42; id++ {
			expect(t, l, ranked(id, "x", 0, 0))
			served[l.Step(finished(0))[0].(limiter.Admit).ID] = int(id)
		}
		is.True(served[1000] > 0)
		is.True(served[2000] > served[1000])
	})
	t.Run("the order may change", func(t *testing.T) {
		l := newBusy(9, ms)
		expect(t, l, ranked(2, "x", 1, 0))
		expect(t, l, ranked(3, "x", 0, 0))
		expect(t, l, limiter.Resize{Limits: limiter.Limits{Slots: 1, Connections: 9, Queue: 9}, Now: start})
		expect(t, l, finished(ms), "admit 2")
	})
}

func TestRankedRefusals(t *testing.T) {
	const ms = time.Millisecond
	reason := func(effects []limiter.Effect) string {
		refuse := effects[0].(limiter.Refuse)
		return fmt.Sprint(refuse.ID, " ", refuse.Reason)
	}
	t.Run("the lowest rank gives way", func(t *testing.T) {
		is := is.New(t)
		l := newBusy(2, ms)
		expect(t, l, ranked(2, "x", 1, 0))
		expect(t, l, ranked(3, "x", 1, 0))
		is.Equal(reason(l.Step(ranked(4, "x", 0, 0))), "3 displaced")
		is.Equal(reason(l.Step(ranked(5, "x", 2, 0))), "5 queue-full")
		is.Equal(l.Queued(), 2)
	})
	t.Run("the largest caller gives way", func(t *testing.T) {
		is := is.New(t)
		l := newBusy(4, ms)
		for id := range limiter.ID(4) {
			expect(t, l, ranked(2+id, "x", 0, 0))
		}
		is.Equal(reason(l.Step(ranked(6, "y", 1, 0))), "5 caller-share")
		is.Equal(reason(l.Step(ranked(7, "x", 1, 0))), "7 caller-share")
		is.Equal(reason(l.Step(ranked(8, "z", 0, 0))), "4 caller-share")
	})
	t.Run("statements of open transactions stay", func(t *testing.T) {
		is := is.New(t)
		l := newBusy(2, ms)
		expect(t, l, request(2, "x", limiter.OpenTransaction))
		expect(t, l, request(3, "x", limiter.OpenTransaction))
		is.Equal(reason(l.Step(ranked(4, "y", 0, 0))), "4 queue-full")
		is.Equal(reason(l.Step(request(5, "y", limiter.OpenTransaction))), "5 queue-full")
	})
	t.Run("the wait is of those that go before", func(t *testing.T) {
		l := newBusy(99, 100*ms)
		for id := range limiter.ID(9) {
			expect(t, l, ranked(10+id, "x", 1, 0))
		}
		expect(t, l, ranked(30, "x", 1, 0), "refuse 30 overloaded")
		expect(t, l, ranked(31, "y", 1, 0))
		expect(t, l, ranked(32, "x", 0, 0), "refuse 18 overloaded") // It is overtaken.
	})
	t.Run("what is passed over isn't kept until its deadline", func(t *testing.T) {
		l := newBusy(99, 10*ms)
		expect(t, l, ranked(2, "x", 1, 0))
		expect(t, l, ranked(3, "x", 0, 0))
		expect(t, l, ranked(4, "x", 0, 0))
		expect(t, l, limiter.Finished{Now: start.Add(600 * ms), Took: 10 * ms}, "admit 3", "refuse 2 deadline-passed")
	})
	t.Run("callers return apart", func(t *testing.T) {
		is := is.New(t)
		l := newBusy(10, 10*ms)
		after := map[time.Duration]bool{}
		for id := range limiter.ID(110) {
			for _, effect := range l.Step(ranked(10+id, "x", 0, 0)) {
				refuse := effect.(limiter.Refuse)
				is.True(refuse.RetryAfter >= 100*ms && refuse.RetryAfter <= 200*ms)
				after[refuse.RetryAfter] = true
			}
		}
		is.True(len(after) > 50)
	})
}

// TestEqualRanks plays random events in both orders: with one caller, equal ranks, no targets
// and deadlines that the queue doesn't reach, they have the same effects. The exception is that
// a full queue makes room for a statement of an open transaction.
func TestEqualRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limits{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Queue: 8}
		byPriority := limiter.New(limits)
		limits.Ranked = true
		ranked := limiter.New(limits)
		now := start
		for id := range limiter.ID(100) {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "elapsed")) * time.Microsecond)
			event := drawEvent(t, id, now, byPriority)
			r, isRequest := event.(limiter.Request)
			if event == nil || isRequest && r.Priority == limiter.OpenTransaction && byPriority.Queued() == limits.Queue {
				continue
			}
			want, got := withoutReason(byPriority.Step(event)), withoutReason(ranked.Step(event))
			if !reflect.DeepEqual(want, got) {
				t.Fatalf("%T %+v: by priority %v, ranked %v", event, event, want, got)
			}
		}
	})
}

// drawEvent returns a possible event. Deadlines have passed or are far.
func drawEvent(t *rapid.T, id limiter.ID, now time.Time, l *limiter.Limiter) limiter.Event {
	switch action := rapid.IntRange(0, 11).Draw(t, "action"); {
	case action <= 5:
		deadline := now.Add(rapid.SampledFrom([]time.Duration{-time.Millisecond, time.Hour}).Draw(t, "deadline"))
		return limiter.Request{ID: id, Caller: "x", Priority: limiter.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), Now: now, Deadline: deadline}
	case action <= 7 && l.Running() > 0:
		return limiter.Finished{Now: now, Took: time.Duration(rapid.IntRange(1, 20).Draw(t, "took")) * time.Millisecond}
	case action == 8 && l.Running() > 0:
		return limiter.Shed{Now: now}
	case action == 9 && l.Open() > 0:
		return limiter.TransactionEnded{Now: now}
	case action == 10:
		return limiter.Withdraw{ID: limiter.ID(rapid.IntRange(0, int(id)).Draw(t, "withdrawn"))}
	case action == 11:
		return limiter.Overdue{ID: limiter.ID(rapid.IntRange(0, int(id)).Draw(t, "overdue"))}
	}
	return nil
}

// withoutReason removes what only the ranked order tells apart.
func withoutReason(effects []limiter.Effect) (list []string) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.Admit:
			list = append(list, fmt.Sprint("admit ", effect.ID))
		case limiter.Refuse:
			list = append(list, fmt.Sprint("refuse ", effect.ID, " ", effect.Err.Code))
		}
	}
	return list
}

// TestRankedInvariants applies random events. It checks that no more than the slots are in
// use, except by overdue statements; that each request is answered once; that none waits
// while a slot is free for it, or is refused unless its deadline came near while it waited; and
// that the queue is bounded.
func TestRankedInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limits{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Queue: 6, Ranked: true}
		l := limiter.New(limits)
		waiting, overdue, now := make(map[limiter.ID]limiter.Priority), 0, start
		for id := range limiter.ID(120) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "elapsed")) * time.Millisecond)
			event := drawEvent(t, id, now, l)
			switch e := event.(type) {
			case limiter.Request:
				e.Caller = rapid.SampledFrom([]unit.CallerName{"x", "y", "z"}).Draw(t, "caller")
				e.Rank = limiter.Rank{Route: rapid.IntRange(0, 2).Draw(t, "route"), Caller: rapid.IntRange(0, 1).Draw(t, "rank")}
				e.Deadline = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "until")) * time.Millisecond)
				e.Target = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "target")) * time.Millisecond)
				event, waiting[e.ID] = e, e.Priority
			case limiter.Withdraw:
				delete(waiting, e.ID)
			case limiter.Shed, nil:
				continue // The window isn't part of the limits.
			}
			free := func(p limiter.Priority) bool {
				return l.Running() < limits.Slots && (p == limiter.OpenTransaction || l.Open() < limits.Connections)
			}
			arrived, isRequest := event.(limiter.Request)
			mustAdmit := isRequest && free(arrived.Priority)
			for _, effect := range l.Step(event) {
				switch effect := effect.(type) {
				case limiter.Admit:
					if _, found := waiting[effect.ID]; !found {
						t.Fatalf("%d was admitted twice", effect.ID)
					}
					if _, ok := event.(limiter.Overdue); ok {
						overdue++
					}
					delete(waiting, effect.ID)
				case limiter.Refuse:
					p, found := waiting[effect.ID]
					if !found || effect.Reason == 0 || effect.RetryAfter <= 0 {
						t.Fatalf("%d was refused twice, or without a reason: %+v", effect.ID, effect)
					}
					if mustAdmit && effect.ID == arrived.ID || free(p) && effect.Reason != limiter.Deadline {
						t.Fatalf("%d was refused although a slot is free", effect.ID)
					}
					delete(waiting, effect.ID)
				}
			}
			if l.Running() > limits.Slots+overdue || l.Open() > limits.Connections || l.Queued() != len(waiting) || l.Queued() > limits.Queue {
				t.Fatalf("limits exceeded or request lost: %d running, %d open, %d queued, %d waiting", l.Running(), l.Open(), l.Queued(), len(waiting))
			}
			for id, p := range waiting {
				if free(p) {
					t.Fatalf("%d waits although a slot is free", id)
				}
			}
		}
	})
}

// TestEachRequestIsAnsweredOnce applies random events, also such as change the limits and the
// order. In the end everything is admitted, refused or withdrawn.
func TestEachRequestIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limits{Slots: 2, Connections: 3, Queue: 6, Ranked: true}
		l := limiter.New(limits)
		waiting, now := make(map[limiter.ID]bool), start
		step := func(event limiter.Event) {
			for _, effect := range l.Step(event) {
				id := limiter.ID(0)
				switch effect := effect.(type) {
				case limiter.Admit:
					id = effect.ID
				case limiter.Refuse:
					id = effect.ID
				}
				if !waiting[id] {
					t.Fatalf("%d was answered twice", id)
				}
				delete(waiting, id)
			}
		}
		for id := range limiter.ID(150) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "elapsed")) * time.Millisecond)
			switch e := drawEvent(t, id, now, l).(type) {
			case nil:
				limits.Slots, limits.Ranked = rapid.IntRange(1, 4).Draw(t, "slots"), rapid.Bool().Draw(t, "ranked")
				step(limiter.Resize{Limits: limits, Now: now})
				step(limiter.Expire{Now: now})
			case limiter.Request:
				e.Caller = rapid.SampledFrom([]unit.CallerName{"x", "y"}).Draw(t, "caller")
				e.Rank.Route = rapid.IntRange(0, 2).Draw(t, "route")
				e.Deadline, e.Target = now.Add(200*time.Millisecond), now.Add(50*time.Millisecond)
				waiting[id] = true
				step(e)
			case limiter.Withdraw:
				step(e)
				delete(waiting, e.ID)
			default:
				step(e)
			}
		}
		step(limiter.Expire{Now: now.Add(time.Hour)})
		if len(waiting) != 0 || l.Queued() != 0 {
			t.Fatalf("%d requests were not answered, %d are queued", len(waiting), l.Queued())
		}
	})
}

// TestNoCallerWaitsForEver checks that between two turns of a caller each other caller of its
// rank has at most one.
func TestNoCallerWaitsForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newBusy(400, 0)
		owners, waiting, passed := map[limiter.ID]unit.CallerName{}, map[unit.CallerName]int{}, map[unit.CallerName]map[unit.CallerName]int{}
		for id := limiter.ID(2); id < 200; id++ {
			if rapid.IntRange(0, 2).Draw(t, "action") > 0 {
				caller := unit.CallerName(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "caller") / 2 * 2))
				owners[id] = caller
				waiting[caller]++
				l.Step(ranked(id, caller, 0, time.Duration(rapid.IntRange(0, 900).Draw(t, "target"))*time.Millisecond))
				continue
			}
			for _, effect := range l.Step(finished(0)) {
				served := owners[effect.(limiter.Admit).ID]
				waiting[served]--
				delete(passed, served)
				for caller, n := range waiting {
					if n == 0 || caller == served {
						continue
					}
					if passed[caller] == nil {
						passed[caller] = map[unit.CallerName]int{}
					}
					passed[caller][served]++
					if passed[caller][served] > 1 {
						t.Fatalf("%s was served twice while %s waited", served, caller)
					}
				}
			}
			if l.Running() == 0 {
				l.Step(ranked(1, "x", 0, 0))
			}
		}
	})
}
