package engine

import (
	"time"

	"tarragonshed.example/result"
)

const (
	// strainStatements is the number of statements within strainWindow that must have been
	// slow or refused before a group counts as strained. Single ones occur in normal
	// operation.
	strainStatements = 3
	strainWindow     = 4 * time.Second
	// strainLatency is the latency from which a statement counts as slow. Callers wait for
	// it noticeably, and the statements of an instance with free slots take a fraction of it.
	strainLatency = 350 * time.Millisecond
	// strainLagDuration is how long all replicas must have been far behind. A shorter lag
	// costs callers less than a change of the primary.
	strainLagDuration = time.Second
)

// strain holds the times of the last statements of a group that were slow or refused. The
// zero strain has none.
type strain struct {
	times [strainStatements]time.Time
	next  int
}

// record records a slow or refused statement.
func (s *strain) record(now time.Time) {
	s.times[s.next] = now
	s.next = (s.next + 1) % strainStatements
}

// present reports whether strainStatements statements were recorded within strainWindow.
func (s *strain) present(now time.Time) bool {
	oldest := s.times[s.next]
	return !oldest.IsZero() && now.Sub(oldest) < strainWindow
}

// recordOutcome records the outcome of a statement outside of a transaction that began at
// the given time.
func (g *group) recordOutcome(began time.Time, err *result.Error) {
	now := time.Now()
	slow := now.Sub(began) > strainLatency
	if err != nil {
		switch err.Code {
		case result.Overloaded, result.DeadlinePassed, result.StatementTimeout, result.InstanceBehind:
			slow = true
		}
	}
	if slow {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.strain.record(now)
	}
}

// strained reports whether callers of the group are served late or refused while all
// replicas are too far behind to serve reads. The primary then has to serve all reads.
func (g *group) strained(primary *target, now time.Time) bool {
	g.mu.Lock()
	present := g.strain.present(now)
	g.mu.Unlock()
	if !present {
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
