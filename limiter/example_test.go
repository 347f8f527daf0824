package limiter_test

import (
	"fmt"
	"time"

	"tarragonshed.example/limiter"
)

// One slot serves one statement at a time. The others wait in the order of their
// priorities.
func Example() {
	now := time.Unix(0, 0)
	l := limiter.New(limiter.Limits{Slots: 1, Connections: 4, Queue: 10})
	request := func(id limiter.ID, p limiter.Priority) limiter.Request {
		return limiter.Request{ID: id, Caller: "demo", Priority: p, Now: now, Deadline: now.Add(time.Second)}
	}
	fmt.Println(l.Step(request(1, limiter.Write)))
	fmt.Println(l.Step(request(2, limiter.StaleRead)))
	fmt.Println(l.Step(request(3, limiter.Write)))
	fmt.Println(l.Step(limiter.Finished{Now: now, Took: time.Millisecond}))
	// Output:
	// [{1}]
	// []
	// []
	// [{3}]
}
