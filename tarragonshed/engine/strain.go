package engine

import (
	"time"

	"tarragonshed.example/result"
)

const (
	// A group counts as strained if at least minStrained statements and one in
	// strainedDivisor have been slow or refused in the present and the last strainPeriod.
	// Some statements take long in normal operation.
	minStrained     = 3
	strainedDivisor = 5
	strainPeriod    = 2 * time.Second
	// strainLatency is the latency from which a statement counts as slow. Callers wait for
	// it noticeably, and the statements of an instance with free slots take a fraction of it.
	strainLatency = 350 * time.Millisecond
	// strainLagDuration is how long all replicas must have been far behind. A shorter lag
	// costs callers less than a change of the primary.
	strainLagDuration = time.Second
)

// outcomes counts statements and those of them that were slow or refused.
type outcomes struct{ all, strained int }

// strain counts the outcomes of a group's statements in the present and the last strainPeriod.
// The zero strain has none.
type strain struct {
	last, present outcomes
	since         time.Time // When the present period began.
}

// record records a statement that ended at now.
func (s *strain) record(strained bool, now time.Time) {
	s.advance(now)
	s.present.all++
	if strained {
		s.present.strained++
	}
}

// advance begins a new period if the present one has ended.
func (s *strain) advance(now time.Time) {
	age := now.Sub(s.since)
	if age < strainPeriod {
		return
	}
	s.last = s.present
	if age >= 2*strainPeriod {
		s.last = outcomes{}
	}
	s.present, s.since = outcomes{}, now
}

// exists reports whether enough statements were slow or refused.
func (s *strain) exists(now time.Time) bool {
	s.advance(now)
	strained := s.last.strained + s.present.strained
	return strained >= minStrained && strained*strainedDivisor >= s.last.all+s.present.all
}

// recordOutcome records the outcome of a statement outside of a transaction that began at
// the given time.
func (g *group) recordOutcome(began time.Time, err *result.Error) {
	now := time.Now()
	strained := now.Sub(began) > strainLatency
	if err != nil {
		switch err.Code {
		case result.Overloaded, result.DeadlinePassed, result.StatementTimeout, result.InstanceBehind:
			strained = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.strain.record(strained, now)
}

// strained reports whether callers of the group are served late or refused while all
// replicas are too far behind to serve reads. The primary then has to serve all reads.
func (g *group) strained(primary *target, now time.Time) bool {
	g.mu.Lock()
	exists := g.strain.exists(now)
	g.mu.Unlock()
	if !exists {
		return false
	}
	behind := 0
	for _, t := range g.allTargets() {
		h := t.health(now)
		switch {
		case t == primary || h.leaving || h.unreachable:
		case t.farBehindFor(now) < strainLagDuration:
			return false
		default:
			behind++
		}
	}
	return behind > 0
}
