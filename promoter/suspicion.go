package promoter

import (
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
)

// reason is the reason for which a term is requested.
type reason int

const (
	noReason reason = iota
	// noPrimary: no report names a primary, or the primary is no longer a member.
	noPrimary
	// refused: the primary's VM refuses connections.
	refused
	// unresponsive: the primary missed [Timing.MissedProbes] probes in a row.
	unresponsive
	// stalled: no majority has confirmed the primary for [Timing.StallTimeout].
	stalled
	// termWithoutPrimary: an instance has a higher term than the primary, or the
	// primary does not report itself as primary of its term.
	termWithoutPrimary
	// planned: a change of primary was requested, or the primary is leaving.
	planned
)

var reasonTexts = [...]string{
	noPrimary:          "the group has no primary",
	refused:            "the primary refuses connections",
	unresponsive:       "the primary does not answer",
	stalled:            "no majority confirms the primary",
	termWithoutPrimary: "a granted term has no primary",
	planned:            "planned change of primary",
}

func (r reason) String() string { return reasonTexts[r] }

// avoidsPrimary reports whether the present primary has failed, so that its grant
// is not requested at first.
func (r reason) avoidsPrimary() bool {
	return r == refused || r == unresponsive || r == stalled
}

// suspicion is a reason for another term, the time since which it holds and the
// delay before an attempt.
type suspicion struct {
	reason reason
	since  time.Time
	delay  time.Duration
}

// suspect starts an attempt when the same reason has held for its delay.
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
	p.startAttempt(found)
}

// findReason returns the reason that the reports and the missed probes give for
// another term.
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
		return unresponsive
	case q.missed > 0:
		return noReason
	case p.highestTerm() > p.primary.Term, q.known && !q.leads(p.primary):
		return termWithoutPrimary
	case q.alive() && !p.now.Before(q.progressAt.Add(p.timing.StallTimeout)):
		return stalled
	}
	return noReason
}

// leads reports whether the instance reports itself as the primary of the term.
func (q *peer) leads(primary Primary) bool {
	return q.report.Term == primary.Term && q.report.Role == instance.Primary
}

// suspicionDelay returns how long a reason must hold before an attempt. The delay
// grows with the rank, so that one Promoter of the group acts first.
func (p *Promoter) suspicionDelay(r reason) time.Duration {
	delay := time.Duration(p.rank) * p.timing.Stagger
	if p.rank > 0 {
		delay += time.Duration(p.random * float64(p.timing.Jitter))
	}
	if r == termWithoutPrimary {
		delay += p.timing.RecoverDelay
	}
	return delay
}

// attemptDue returns when the present suspicion leads to an attempt.
func (p *Promoter) attemptDue() time.Time {
	due := p.suspicion.since.Add(p.suspicion.delay)
	if p.suspicion.reason == unresponsive && p.stillReplicating() {
		due = due.Add(p.timing.AliveDelay)
	}
	if due.Before(p.retryAt) {
		return p.retryAt
	}
	return due
}

// stillReplicating reports whether a replica has received from the primary since
// the primary missed a probe.
func (p *Promoter) stillReplicating() bool {
	for _, q := range p.peers {
		if q.Name != p.primary.Instance && q.alive() && q.receiving {
			return true
		}
	}
	return false
}

// mayAttempt reports whether enough instances answer to grant a term. A Promoter
// with a rank above zero also needs reports of a majority that are newer than the
// suspicion, because a Promoter of lower rank may have promoted an instance in the
// meantime.
func (p *Promoter) mayAttempt(r reason) bool {
	if p.rank > 0 && p.countHeardSince(p.suspicion.since) < p.majority() {
		return false
	}
	if r.avoidsPrimary() {
		return p.countAliveExcept(p.primary.Instance) >= p.majority()
	}
	return p.countAliveExcept("") >= p.majority()
}

// resetBaselines discards the baselines of all instances when the primary first
// misses a probe. The next report of each sets a new one, from which later reports
// show whether the instance still receives from the primary.
func (p *Promoter) resetBaselines(primary *peer) {
	if primary.Name != p.primary.Instance || primary.missed != 1 {
		return
	}
	for _, q := range p.peers {
		q.hasBaseline, q.receiving = false, false
	}
}

// trackFreshness sets the baseline, or records that the instance still receives
// from the primary.
func (q *peer) trackFreshness(report instance.Report) {
	if q.hasBaseline && report.FreshAt > q.baseline {
		q.receiving = true
	}
	if !q.hasBaseline {
		q.hasBaseline, q.baseline = true, report.FreshAt
	}
}
