package loader

import (
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/unit"
)

// group is what is known of a group's data.
type group struct {
	name  unit.GroupName
	items atomic.Int64
	acks  acknowledgements
	rows  []*row

	mu      sync.Mutex
	inserts map[int64]historian.Outcome
}

// row is a caller's own row: the time at which each value was acknowledged.
type row struct {
	mu    sync.Mutex
	acked []stamp
}

// stamp is a value and when it was acknowledged, from the start of the load.
type stamp struct {
	value int64
	at    time.Duration
}

// atLeast returns the highest value acknowledged before a time.
func (r *row) atLeast(at time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.acked) - 1; i >= 0; i-- {
		if r.acked[i].at < at {
			return r.acked[i].value
		}
	}
	return 0
}

// add keeps that a value was acknowledged.
func (r *row) add(value int64, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, stamp{value, at})
}

// note keeps the outcome of the inserts of items.
func (g *group) note(err error, items ...int64) {
	outcome, _ := historian.Classify(err)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, item := range items {
		g.inserts[item] = outcome
	}
}
