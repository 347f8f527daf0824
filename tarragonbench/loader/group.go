package loader

import (
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/unit"
)

// group holds what the callers know of a group's data: the outcome of each insert, the
// times of acknowledged writes, and the callers' own rows.
type group struct {
	name     unit.GroupName
	nextItem atomic.Int64
	acks     acknowledgements
	rows     []*row

	mu      sync.Mutex
	inserts map[int64]historian.Outcome
}

// row is a caller's own row. It holds the values in the order of their acknowledgement.
type row struct {
	mu    sync.Mutex
	acked []ackedValue
}

// ackedValue is a value and the time of its acknowledgement since the start of the load.
type ackedValue struct {
	value int64
	at    time.Duration
}

// lastAckedBefore returns the last value acknowledged before a time, or zero.
func (r *row) lastAckedBefore(at time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.acked) - 1; i >= 0; i-- {
		if r.acked[i].at < at {
			return r.acked[i].value
		}
	}
	return 0
}

// recordAck records the acknowledgement of a value.
func (r *row) recordAck(value int64, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, ackedValue{value, at})
}

// recordOutcome records the outcome of the inserts of items.
func (g *group) recordOutcome(err error, items ...int64) {
	outcome, _ := historian.Classify(err)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, item := range items {
		g.inserts[item] = outcome
	}
}
