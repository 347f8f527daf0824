package promoter

import (
	"fmt"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// attempt is the request for one term and the promotion that follows it.
type attempt struct {
	term   unit.Term
	reason reason
	// avoid is the suspected primary, empty if there is none. Its grant is
	// requested only when the other instances cannot form a majority.
	avoid unit.InstanceName
	// preferred is promoted unless another granter has a higher log.
	preferred unit.InstanceName
	// candidate is the instance to promote, empty until one is chosen. It is
	// chosen only once, because a second candidate could become another primary
	// of the same term.
	candidate unit.InstanceName
	// asked holds the instances whose grant has been requested, refused those
	// whose grant call failed.
	asked   map[unit.InstanceName]bool
	refused map[unit.InstanceName]bool
	// waitUntil is when the attempt no longer waits for the grants of all
	// instances that it has asked: it promotes if a majority has granted the
	// term, and otherwise asks the avoided instance too.
	waitUntil time.Time
	// deadline bounds the current phase: the grants, then the promotion.
	deadline time.Time
	// promoteFailed reports that the promotion call to the candidate failed.
	promoteFailed bool
}

// startAttempt requests the next term.
func (p *Promoter) startAttempt(r reason) {
	a := &attempt{
		term:      p.highestTerm() + 1,
		reason:    r,
		asked:     make(map[unit.InstanceName]bool),
		refused:   make(map[unit.InstanceName]bool),
		waitUntil: p.now.Add(p.timing.GrantWait),
		deadline:  p.now.Add(p.timing.AttemptTimeout),
	}
	if r.avoidsPrimary() {
		a.avoid = p.primary.Instance
	}
	if p.change != nil {
		a.preferred = p.change.target
	}
	p.attempt = a
	p.emit(recorder.Event{Kind: recorder.TermRequested, Term: a.term, Detail: r.String()})
	p.requestGrants()
}

// requestGrants requests the grant of every instance that has not been asked yet
// and is not to be avoided.
func (p *Promoter) requestGrants() {
	a := p.attempt
	for _, q := range p.peers {
		if a.asked[q.Name] || q.Name == a.avoid {
			continue
		}
		a.asked[q.Name] = true
		p.do(Grant{Instance: q.Name, Term: a.term, Proposer: p.proposer, Timeout: p.timing.CallTimeout})
	}
}

func (a *attempt) failed(e Failed) {
	switch e.Call {
	case GrantCall:
		a.refused[e.Instance] = true
	case PromoteCall:
		a.promoteFailed = a.promoteFailed || e.Instance == a.candidate
	}
}

// advanceAttempt moves the attempt to the next phase, or ends it, as the reports
// and the deadline require.
func (p *Promoter) advanceAttempt() {
	a := p.attempt
	if a == nil {
		return
	}
	switch {
	case p.primary.Term == a.term && p.primary.Instance == a.candidate:
		p.succeed()
	case p.primary.Term >= a.term:
		p.abandon("another primary was promoted")
	case a.promoteFailed:
		p.abandon("the promotion call to the candidate failed")
	case !p.now.Before(a.deadline):
		p.abandon("the attempt timed out")
	case a.candidate == "":
		p.advanceGrants()
	case p.find(a.candidate) == nil || p.find(a.candidate).cannotGrant(a.term, p.proposer):
		p.abandon("the candidate left the group or the term was superseded")
	}
}

// advanceGrants promotes an instance once a majority has granted the term. It
// waits up to [Timing.GrantWait] for further grants, unless a primary is avoided,
// because a later granter may have a higher log or be the preferred instance.
func (p *Promoter) advanceGrants() {
	a := p.attempt
	granted, pending := 0, 0
	for _, q := range p.peers {
		switch {
		case q.granted(a.term, p.proposer):
			granted++
		case a.asked[q.Name] && !a.refused[q.Name] && !q.cannotGrant(a.term, p.proposer):
			pending++
		}
	}
	waitOver := !p.now.Before(a.waitUntil)
	switch {
	case granted >= p.majority() && (pending == 0 || a.avoid != "" || waitOver):
		p.promote()
	case granted+pending < p.majority() && a.avoid == "":
		p.abandon("a majority did not grant the term")
	case a.avoid != "" && (waitOver || granted+pending < p.majority()):
		a.avoid = ""
		a.waitUntil = p.now.Add(p.timing.GrantWait)
		p.requestGrants()
	}
}

// promote promotes the granter with the highest log.
func (p *Promoter) promote() {
	a := p.attempt
	var best *peer
	for _, q := range p.peers {
		if q.granted(a.term, p.proposer) && (best == nil || p.better(q, best)) {
			best = q
		}
	}
	a.candidate = best.Name
	a.deadline = p.now.Add(p.timing.AttemptTimeout)
	p.emit(recorder.Event{
		Kind: recorder.TermGranted, Instance: best.Name, Term: a.term, Position: best.report.Last,
		Detail: fmt.Sprintf("highest log among the granters, proposer %s", p.proposer),
	})
	p.do(Promote{Instance: best.Name, Term: a.term, Proposer: p.proposer, Timeout: p.timing.CallTimeout})
}

// better reports whether q is to be promoted rather than the other granter. The
// higher log decides, because a lower one may lack acknowledged writes. Among
// equal logs the higher preference decides.
func (p *Promoter) better(q, than *peer) bool {
	if q.report.Last != than.report.Last {
		return than.report.Last.Before(q.report.Last)
	}
	return p.preference(q) > p.preference(than)
}

// preference ranks granters with equal logs: first the preferred instance, then
// the present primary, then the other instances, last those that are leaving.
func (p *Promoter) preference(q *peer) int {
	switch {
	case q.Name == p.attempt.preferred:
		return 3
	case q.Leaving:
		return 0
	case q.Name == p.primary.Instance:
		return 2
	}
	return 1
}

func (p *Promoter) succeed() {
	a := p.attempt
	p.attempt, p.failures, p.retryAt = nil, 0, time.Time{}
	p.emit(recorder.Event{Kind: recorder.PrimaryPromoted, Instance: a.candidate, Term: a.term, Detail: a.reason.String()})
	for _, q := range p.peers {
		// The other instances follow the new primary without the delay of this
		// Promoter's rank, which is subtracted here.
		q.notFollowingSince, q.followSentAt = p.now.Add(-time.Duration(p.rank)*p.timing.Stagger), time.Time{}
		if q.Name != a.candidate && !q.alive() {
			p.sendFollow(q)
		}
	}
	if p.change != nil {
		p.endChange(nil)
	}
}

// abandon ends the attempt. The next attempt starts after a random delay, whose
// upper bound doubles with each failure, so that competing Promoters do not
// request terms in lockstep.
func (p *Promoter) abandon(why string) {
	a := p.attempt
	p.attempt, p.suspicion = nil, suspicion{}
	limit := min(p.timing.RetryDelay<<min(p.failures, 8), p.timing.RetryLimit)
	p.retryAt = p.now.Add(time.Duration(p.random * float64(limit)))
	p.failures++
	p.emit(recorder.Event{Kind: recorder.TermRequested, Term: a.term, Detail: "abandoned: " + why})
	if p.change != nil {
		p.endChange(errAttemptFailed)
	}
}

// Next returns when the next [Tick] is due.
func (p *Promoter) Next() time.Time {
	if p.attempt != nil || p.change != nil || p.pendingChange != nil || p.suspicion.reason != noReason {
		return p.now.Add(activeInterval)
	}
	next := p.now.Add(p.timing.ProbeInterval)
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for _, q := range p.peers {
		if !q.probing {
			earlier(p.probeDue(q))
		}
		if q.alive() && q.Name != p.primary.Instance && !q.follows(p.primary) {
			earlier(p.followDue(q))
		}
		if q.Name == p.primary.Instance && q.report.Role == instance.Primary {
			earlier(q.progressAt.Add(p.timing.StallTimeout))
		}
	}
	if !next.After(p.now) {
		return p.now.Add(activeInterval)
	}
	return next
}

// activeInterval is the time between two ticks while a term or a change is in
// progress or a primary is suspected.
const activeInterval = 10 * time.Millisecond
