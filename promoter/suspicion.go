package promoter

import (
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
)

// reason tells why a term is requested.
type reason int

const (
	noReason reason = iota
	// noPrimary: no report names a primary, or it is no member any more.
	noPrimary
	// refused: the primary's machine refuses connections.
	refused
	// silent: the primary misses probes.
	silent
	// stalled: no majority confirms the primary.
	stalled
	// leftBehind: an instance has a higher term than the primary, or the primary
	// does not know that it is one.
	leftBehind
	// planned: a change was asked for.
	planned
)

var reasonTexts = [...]string{
	noPrimary:  "the group has no primary",
	refused:    "the primary refuses connections",
	silent:     "the primary does not answer",
	stalled:    "no majority confirms the primary",
	leftBehind: "a granted term has no primary",
	planned:    "planned change of primary",
}

func (r reason) String() string { return reasonTexts[r] }

// avoidsPrimary reports whether the present primary is the problem.
func (r reason) avoidsPrimary() bool {
	return r == refused || r == silent || r == stalled
}

// suspicion is a reason for another term and the time since when it holds.
type suspicion struct {
	reason reason
	since  time.Time
	delay  time.Duration
}

// suspect starts an attempt when there has been a reason for long enough.
func (p *Promoter) suspect() {
	if p.attempt != nil || p.change != nil {
		return
	}
	found := p.findReason()
	if found != p.suspicion.reason {
		p.suspicion = suspicion{reason: found, since: p.now, delay: p.suspicionDelay(found)}
		if found.avoidsPrimary() {
			p.emit(recorder.Event{
				Kind: recorder.PrimarySuspected, Instance: p.primary.Instance, Term: p.primary.Term, Detail: found.String(),
			})
		}
	}
	if found == noReason || p.now.Before(p.attemptDue()) || !p.mayAttempt(found) {
		return
	}
	p.start(found)
}

func (p *Promoter) findReason() reason {
	q := p.find(p.primary.Instance)
	switch {
	case q == nil && p.now.Before(p.startedAt.Add(p.timing.StartDelay)):
		return noReason
	case q == nil:
		return noPrimary
	case q.refused:
		return refused
	case q.missed >= p.timing.MissedProbes:
		return silent
	case q.missed > 0:
		return noReason
	case p.top() > p.primary.Term, q.known && !q.leads(p.primary):
		return leftBehind
	case q.alive() && !p.now.Before(q.progressAt.Add(p.timing.StallTimeout)):
		return stalled
	}
	return noReason
}

// leads reports whether the instance takes itself for the primary.
func (q *peer) leads(primary Primary) bool {
	return q.report.Term == primary.Term && q.report.Role == instance.Primary
}

func (p *Promoter) suspicionDelay(r reason) time.Duration {
	delay := time.Duration(p.rank) * p.timing.Stagger
	if p.rank > 0 {
		delay += time.Duration(p.random * float64(p.timing.Jitter))
	}
	if r == leftBehind {
		delay += p.timing.RecoverDelay
	}
	return delay
}

// attemptDue returns when the present suspicion leads to an attempt.
func (p *Promoter) attemptDue() time.Time {
	due := p.suspicion.since.Add(p.suspicion.delay)
	if p.suspicion.reason == silent && p.replicatesStill() {
		due = due.Add(p.timing.AliveDelay)
	}
	if due.Before(p.retryAt) {
		return p.retryAt
	}
	return due
}

// replicatesStill reports whether a replica has received from the primary since
// the primary missed a probe.
func (p *Promoter) replicatesStill() bool {
	for _, q := range p.peers {
		if q.Name != p.primary.Instance && q.alive() && q.evidence {
			return true
		}
	}
	return false
}

// mayAttempt reports whether enough instances answer to grant a term. A
// Promoter that is not the first one looks again before it acts: an earlier one
// may have promoted.
func (p *Promoter) mayAttempt(r reason) bool {
	if p.rank > 0 && p.heardSince(p.suspicion.since) < p.majority() {
		return false
	}
	if r.avoidsPrimary() {
		return p.aliveOthers(p.primary.Instance) >= p.majority()
	}
	return p.aliveOthers("") >= p.majority()
}

// doubt notes what the other instances have received when the primary first
// misses a probe, so that later reports show whether they still receive.
func (p *Promoter) doubt(primary *peer) {
	if primary.Name != p.primary.Instance || primary.missed != 1 {
		return
	}
	for _, q := range p.peers {
		q.compared, q.evidence = false, false
	}
}

// compare notes whether an instance still receives from the primary.
func (q *peer) compare(report instance.Report) {
	if q.compared && report.FreshAt > q.baseline {
		q.evidence = true
	}
	if !q.compared {
		q.compared, q.baseline = true, report.FreshAt
	}
}
