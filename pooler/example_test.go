package pooler_test

import (
	"fmt"
	"time"

	"tarragonshed.example/pooler"
)

// A connection is opened for the first request and reused for the second. Meanwhile a
// warm connection is opened.
func Example() {
	now := time.Unix(0, 0)
	p := pooler.New(pooler.Limits{Share: 4, Warm: 1, Opening: 1, Rate: 50})
	show := func(effects []pooler.Effect) {
		for _, effect := range effects {
			switch e := effect.(type) {
			case pooler.Open:
				fmt.Println("open")
			case pooler.Assign:
				fmt.Println("connection", e.Conn, "for request", e.Ticket)
			}
		}
	}
	show(p.Step(pooler.Acquire{Ticket: 1, Now: now}))
	show(p.Step(pooler.Opened{Conn: 7, Now: now}))
	show(p.Step(pooler.Returned{Conn: 7, Now: now}))
	show(p.Step(pooler.Acquire{Ticket: 2, Now: now}))
	// Output:
	// open
	// connection 7 for request 1
	// open
	// connection 7 for request 2
}
