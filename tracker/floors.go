package tracker

import (
	"time"

	"tarragonshed.example/unit"
)

const (
	// floorSpacing is the least time between two floors that are kept.
	floorSpacing = 20 * time.Millisecond
	// maxFloors bounds the floors that are kept.
	maxFloors = 256
)

// floor says that every write acknowledged before Asked is at or below Position.
type floor struct {
	position unit.Position
	asked    unit.Instant
}

// Floors remembers which positions of a group a replica must have so that reads
// on it are fresh enough.
//
// An answer of the group's primary with position P, to a request that was sent
// at the moment t, shows that every write acknowledged before t is at or below
// P. A read that begins at s and accepts data of age m may therefore be served
// by any replica that has reached the P of a request sent at s-m or later. The
// oldest such position asks least of the replicas.
//
// Positions of a lower term are forgotten once a higher term is known: they may
// have been rolled back, and then no log will ever have them. The zero Floors is
// empty. It is not safe for concurrent use.
type Floors struct {
	// base is the first position seen in the present term.
	base  unit.Position
	kept  []floor // Ordered by both fields.
	start int     // Index of the oldest one that is kept.
}

// Observe records the position in an answer of the primary to a request that was
// sent at the moment asked.
func (f *Floors) Observe(p unit.Position, asked unit.Instant) {
	switch {
	case p.IsZero() || p.Term < f.base.Term:
		return
	case p.Term > f.base.Term:
		f.base, f.kept, f.start = p, f.kept[:0], 0
	}
	if n := len(f.kept); n > f.start {
		last := &f.kept[n-1]
		if asked <= last.asked {
			return
		}
		if asked.Sub(last.asked) < floorSpacing && n-f.start > 1 && last.asked.Sub(f.kept[n-2].asked) < floorSpacing {
			*last = floor{position: last.position.Max(p), asked: asked}
			return
		}
		p = p.Max(last.position)
	}
	f.kept = append(f.kept, floor{position: p, asked: asked})
	f.trim()
}

// trim keeps the number of floors bounded.
func (f *Floors) trim() {
	if len(f.kept)-f.start > maxFloors {
		f.start++
	}
	if f.start > maxFloors {
		f.kept = append(f.kept[:0], f.kept[f.start:]...)
		f.start = 0
	}
}

// Oldest returns the lowest known position of a request that was sent at since
// or later. It returns false if there is none.
func (f *Floors) Oldest(since unit.Instant) (unit.Position, bool) {
	for _, k := range f.kept[f.start:] {
		if k.asked >= since {
			return k.position, true
		}
	}
	return unit.Position{}, false
}

// RequiredPosition returns the position that reads of a session must reach whose last write
// is at p. A write of an earlier term than the present one is either below the
// first position of the present term, or it was rolled back.
func (f *Floors) RequiredPosition(p unit.Position) unit.Position {
	if p.Term < f.base.Term && !p.IsZero() {
		return f.base
	}
	return p
}

// Term returns the highest known term.
func (f *Floors) Term() unit.Term { return f.base.Term }
