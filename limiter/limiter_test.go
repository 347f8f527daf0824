package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonshed.example/limiter"
	"tarragonshed.example/unit"
)

var start = time.Unix(1000, 0)

func request(id limiter.ID, caller unit.CallerName, p limiter.Priority) limiter.Request {
	return limiter.Request{ID: id, Caller: caller, Priority: p, Now: start, Deadline: start.Add(time.Second)}
}

func expect(t *testing.T, l *limiter.Limiter, event limiter.Event, want ...string) {
	t.Helper()
	is := is.New(t)
	got := []string{}
	for _, effect := range l.Step(event) {
		switch effect := effect.(type) {
		case limiter.Admit:
			got = append(got, fmt.Sprint("admit ", effect.ID))
		case limiter.Refuse:
			got = append(got, fmt.Sprint("refuse ", effect.ID, " ", effect.Err.Code.Entry().Name))
		}
	}
	is.Equal(got, append([]string{}, want...))
}

func finished(took time.Duration) limiter.Event {
	return limiter.Finished{Now: start, Took: took}
}

func TestOrder(t *testing.T) {
	t.Run("by priority", func(t *testing.T) {
		l := limiter.New(limiter.Limits{Slots: 1, Connections: 9, Queue: 9})
		expect(t, l, request(1, "x", limiter.StaleRead), "admit 1")
		expect(t, l, request(2, "x", limiter.StaleRead))
		expect(t, l, request(3, "x", limiter.Write))
		expect(t, l, request(4, "x", limiter.OpenTransaction))
		expect(t, l, finished(0), "admit 4")
		expect(t, l, finished(0), "admit 3")
		expect(t, l, finished(0), "admit 2")
	})
	t.Run("callers are served round-robin", func(t *testing.T) {
		l := limiter.New(limiter.Limits{Slots: 1, Connections: 9, Queue: 9})
		expect(t, l, request(1, "x", limiter.Write), "admit 1")
		expect(t, l, request(2, "x", limiter.Write))
		expect(t, l, request(3, "x", limiter.Write))
		expect(t, l, request(4, "y", limiter.Write))
		expect(t, l, finished(0), "admit 2")
		expect(t, l, finished(0), "admit 4")
		expect(t, l, finished(0), "admit 3")
	})
	t.Run("only open transactions are admitted when all connections are in use", func(t *testing.T) {
		l := limiter.New(limiter.Limits{Slots: 2, Connections: 1, Queue: 9})
		expect(t, l, request(1, "x", limiter.Write), "admit 1")
		expect(t, l, request(2, "x", limiter.Write))
		expect(t, l, finished(0))
		expect(t, l, request(3, "x", limiter.OpenTransaction), "admit 3")
		expect(t, l, limiter.TransactionEnded{Now: start}, "admit 2")
	})
}

// TestWindow checks that fewer concurrent statements are admitted after the instance has
// rejected one because other daemons use its slots, and that the window grows to the full
// number of slots as statements end.
func TestWindow(t *testing.T) {
	l := limiter.New(limiter.Limits{Slots: 4, Connections: 999, Queue: 9})
	for id := range limiter.ID(4) {
		expect(t, l, request(id, "x", limiter.StaleRead), fmt.Sprint("admit ", id))
	}
	for id := range limiter.ID(2) {
		expect(t, l, request(10+id, "x", limiter.StaleRead))
	}
	expect(t, l, limiter.Shed{Now: start}) // 3 are running, no more are admitted.
	expect(t, l, limiter.Shed{Now: start}) // 2 are running.
	expect(t, l, finished(time.Millisecond), "admit 10")
	expect(t, l, limiter.Shed{Now: start})
	expect(t, l, limiter.Shed{Now: start}, "admit 11") // The window is at least one.
	expect(t, l, limiter.Shed{Now: start})
	is := is.New(t)
	is.True(l.TryAdmit(request(0, "x", limiter.StaleRead)))
	is.True(!l.TryAdmit(request(0, "x", limiter.StaleRead)))
	for range 200 {
		l.Step(finished(time.Millisecond))
		is.True(l.TryAdmit(request(0, "x", limiter.StaleRead)))
	}
	is.True(l.TryAdmit(request(0, "x", limiter.StaleRead))) // All four slots are available again.
	is.True(l.TryAdmit(request(0, "x", limiter.StaleRead)))
	is.True(l.TryAdmit(request(0, "x", limiter.StaleRead)))
	is.True(!l.TryAdmit(request(0, "x", limiter.StaleRead)))
}

func TestOverdue(t *testing.T) {
	l := limiter.New(limiter.Limits{Slots: 1, Connections: 9, Queue: 9})
	expect(t, l, request(1, "x", limiter.Write), "admit 1") // It is blocked on a lock of the transaction of 2.
	expect(t, l, request(2, "x", limiter.OpenTransaction))
	expect(t, l, request(3, "x", limiter.Write))
	expect(t, l, limiter.Overdue{ID: 3}) // It begins a transaction and holds no locks.
	expect(t, l, limiter.Overdue{ID: 2}, "admit 2")
	expect(t, l, limiter.Overdue{ID: 2})
	expect(t, l, finished(0)) // One slot is still in use.
	expect(t, l, finished(0), "admit 3")
}

func TestRefusals(t *testing.T) {
	t.Run("when the queue is full", func(t *testing.T) {
		l := limiter.New(limiter.Limits{Slots: 1, Connections: 9, Queue: 1})
		expect(t, l, request(1, "x", limiter.Write), "admit 1")
		expect(t, l, request(2, "x", limiter.Write))
		expect(t, l, request(3, "x", limiter.Write), "refuse 3 overloaded")
	})
	t.Run("when the expected wait is too long for the deadline", func(t *testing.T) {
		l := limiter.New(limiter.Limits{Slots: 1, Connections: 9, Queue: 9})
		expect(t, l, request(1, "x", limiter.Write), "admit 1")
		expect(t, l, finished(400*time.Millisecond))
		expect(t, l, request(2, "x", limiter.Write), "admit 2")
		expect(t, l, request(3, "x", limiter.Write))
		expect(t, l, request(4, "x", limiter.Write), "refuse 4 overloaded")
		expect(t, l, limiter.Expire{Now: start.Add(time.Second)}, "refuse 3 deadline-passed")
	})
}

func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, homes := rapid.IntRange(0, 40).Draw(t, "n"), rapid.IntRange(1, 8).Draw(t, "homes")
		sum := 0
		for rank := range homes {
			sum += limiter.Share(n, homes, rank)
		}
		if sum != n {
			t.Fatalf("shares of %d slots over %d homes add up to %d", n, homes, sum)
		}
	})
}

// TestLimitsHold applies random events. It checks that the limits of statements and
// transactions are never exceeded, that no request is lost from the queue, and that no
// slot stays free while an admissible request waits.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limits{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Queue: 8}
		l := limiter.New(limits)
		running, open, waiting := 0, 0, make(map[limiter.ID]limiter.Priority)
		apply := func(effects []limiter.Effect) {
			for _, effect := range effects {
				switch effect := effect.(type) {
				case limiter.Admit:
					running++
					if waiting[effect.ID] != limiter.OpenTransaction {
						open++
					}
					delete(waiting, effect.ID)
				case limiter.Refuse:
					delete(waiting, effect.ID)
				}
			}
		}
		for id := limiter.ID(1); id < 60; id++ {
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action <= 1:
				p := limiter.Priority(rapid.IntRange(0, 3).Draw(t, "priority"))
				waiting[id] = p
				apply(l.Step(limiter.Request{ID: id, Caller: "x", Priority: p, Now: start, Deadline: start.Add(time.Minute)}))
			case action == 2 && running > 0:
				running--
				apply(l.Step(limiter.Finished{Now: start, Took: time.Millisecond}))
			case action == 3 && open > 0:
				open--
				apply(l.Step(limiter.TransactionEnded{Now: start}))
			}
			if running > limits.Slots || open > limits.Connections || len(waiting) != l.Queued() {
				t.Fatalf("limits exceeded or request lost: %d running, %d open, %d waiting", running, open, len(waiting))
			}
			if running < limits.Slots && open < limits.Connections && len(waiting) > 0 {
				t.Fatalf("%d requests wait although a slot is free", len(waiting))
			}
		}
	})
}

func ExampleLimiter() {
	l := limiter.New(limiter.Limits{Slots: 1, Connections: 2, Queue: 10})
	fmt.Println(len(l.Step(request(1, "demo", limiter.Write))), len(l.Step(request(2, "demo", limiter.Write))))
	// Output: 1 0
}
