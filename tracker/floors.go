package tracker

import (
	"time"

	"tarragonshed.example/unit"
)

const (
	// minFloorInterval is the minimum time between the requests of two stored floors.
	minFloorInterval = 20 * time.Millisecond
	// maxFloors is the maximum number of stored floors.
	maxFloors = 256
)

// floor is an upper bound: every write acknowledged before requestedAt is at or below
// position.
type floor struct {
	position    unit.Position
	requestedAt unit.Instant
}

// Floors holds the positions that a replica of a group must have reached to satisfy
// reads with a staleness bound.
//
// An answer of the group's primary with position P, to a request that was sent at
// time t, proves that every write acknowledged before t is at or below P. A read that
// begins at s with the staleness bound m may therefore be served by any replica that
// has reached the P of a request sent at s-m or later. The oldest such position is the
// lowest one, so the most replicas qualify.
//
// Positions of a lower term are discarded once a higher term is known: they may have
// been rolled back, and no replica would ever reach them. The zero Floors is empty. It
// is not safe for concurrent use.
type Floors struct {
	// base is the first position observed in the current term.
	base    unit.Position
	entries []floor // In ascending order of both fields.
	start   int     // Index of the oldest valid entry.
}

// Observe records the position in an answer of the primary to a request that was
// sent at requestedAt.
func (f *Floors) Observe(p unit.Position, requestedAt unit.Instant) {
	switch {
	case p.IsZero() || p.Term < f.base.Term:
		return
	case p.Term > f.base.Term:
		f.base, f.entries, f.start = p, f.entries[:0], 0
	}
	if n := len(f.entries); n > f.start {
		last := &f.entries[n-1]
		if requestedAt <= last.requestedAt {
			return
		}
		if requestedAt.Sub(last.requestedAt) < minFloorInterval && n-f.start > 1 && last.requestedAt.Sub(f.entries[n-2].requestedAt) < minFloorInterval {
			*last = floor{position: last.position.Max(p), requestedAt: requestedAt}
			return
		}
		p = p.Max(last.position)
	}
	f.entries = append(f.entries, floor{position: p, requestedAt: requestedAt})
	f.trim()
}

// trim removes the oldest entry beyond maxFloors and compacts the slice.
func (f *Floors) trim() {
	if len(f.entries)-f.start > maxFloors {
		f.start++
	}
	if f.start > maxFloors {
		f.entries = append(f.entries[:0], f.entries[f.start:]...)
		f.start = 0
	}
}

// Oldest returns the lowest known position whose request was sent at since or later.
// It returns false if there is none.
func (f *Floors) Oldest(since unit.Instant) (unit.Position, bool) {
	for _, e := range f.entries[f.start:] {
		if e.requestedAt >= since {
			return e.position, true
		}
	}
	return unit.Position{}, false
}

// Newest returns the position whose request was sent last, and when that was. It returns
// false if no position is known.
func (f *Floors) Newest() (unit.Position, unit.Instant, bool) {
	if len(f.entries) == f.start {
		return unit.Position{}, 0, false
	}
	last := f.entries[len(f.entries)-1]
	return last.position, last.requestedAt, true
}

// RequiredPosition returns the position that the reads of a session whose last write is
// at p must have reached. A write of a term earlier than the current one is either
// below the first position of the current term, or it was rolled back.
func (f *Floors) RequiredPosition(p unit.Position) unit.Position {
	if p.Term < f.base.Term && !p.IsZero() {
		return f.base
	}
	return p
}

// Term returns the highest known term.
func (f *Floors) Term() unit.Term { return f.base.Term }
