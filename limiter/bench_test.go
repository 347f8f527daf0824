package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/unit"
)

// BenchmarkFullQueue admits and queues one request each, with 400 waiting requests of 72
// callers and three ranks.
func BenchmarkFullQueue(b *testing.B) {
	for _, ranked := range []bool{false, true} {
		b.Run(fmt.Sprint("ranked ", ranked), func(b *testing.B) {
			l := limiter.New(limiter.Limits{Slots: 4, Connections: 1000, Queue: 400, Ranked: ranked})
			now, id := start, limiter.ID(0)
			send := func() {
				id++
				now = now.Add(time.Microsecond)
				r := limiter.Request{ID: id, Caller: unit.CallerName(fmt.Sprint("caller-", id%72)), Priority: limiter.Write, Now: now}
				r.Rank.Route, r.Deadline, r.Target = int(id%3), now.Add(time.Hour), now.Add(time.Minute)
				l.Step(r)
			}
			for l.Queued() < 400 {
				send()
			}
			for b.Loop() {
				send()
				l.Step(limiter.Finished{Now: now, Took: time.Millisecond})
				l.Step(limiter.TransactionEnded{Now: now})
			}
		})
	}
}
