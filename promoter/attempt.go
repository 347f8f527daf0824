package promoter

import (
	"fmt"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// attempt is one term requested by this Promoter.
type attempt struct {
	term   unit.Term
	reason reason
	// avoid is the suspected primary. It is asked for its grant only when the
	// others make no majority.
	avoid unit.InstanceName
	// preferred is promoted if no granter has a higher log.
	preferred unit.InstanceName
	// candidate is the instance to promote, once one is chosen. It is never
	// chosen again: a second one could become another primary of the term.
	candidate unit.InstanceName
	asked     map[unit.InstanceName]bool
	refused   map[unit.InstanceName]bool
	widenAt   time.Time
	deadline  time.Time
	abandoned bool
}

// start requests the next term.
func (p *Promoter) start(r reason) {
	a := &attempt{
		term:     p.top() + 1,
		reason:   r,
		asked:    make(map[unit.InstanceName]bool),
		refused:  make(map[unit.InstanceName]bool),
		widenAt:  p.now.Add(p.timing.GrantWait),
		deadline: p.now.Add(p.timing.AttemptTimeout),
	}
	if r.avoidsPrimary() {
		a.avoid = p.primary.Instance
	}
	if p.change != nil {
		a.preferred = p.change.target
	}
	p.attempt = a
	p.emit(recorder.Event{Kind: recorder.TermRequested, Term: a.term, Detail: r.String()})
	p.ask()
}

// ask requests the grant of every instance that has not been asked and is not to
// be avoided.
func (p *Promoter) ask() {
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
		a.abandoned = a.abandoned || e.Instance == a.candidate
	}
}

// advanceAttempt takes the attempt as far as the reports allow.
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
	case a.abandoned:
		p.abandon("the candidate did not answer")
	case !p.now.Before(a.deadline):
		p.abandon("no answer in time")
	case a.candidate == "":
		p.advanceRequest()
	case p.find(a.candidate) == nil || p.find(a.candidate).lost(a.term, p.proposer):
		p.abandon("the term was overtaken")
	}
}

// advanceRequest promotes once a majority has granted the term.
func (p *Promoter) advanceRequest() {
	a := p.attempt
	granted, pending := 0, 0
	for _, q := range p.peers {
		switch {
		case q.granted(a.term, p.proposer):
			granted++
		case a.asked[q.Name] && !a.refused[q.Name] && !q.lost(a.term, p.proposer):
			pending++
		}
	}
	waited := !p.now.Before(a.widenAt)
	switch {
	case granted >= p.majority() && (pending == 0 || a.avoid != "" || waited):
		p.promote()
	case granted+pending < p.majority() && a.avoid == "":
		p.abandon("a majority did not grant the term")
	case a.avoid != "" && (waited || granted+pending < p.majority()):
		a.avoid = ""
		a.widenAt = p.now.Add(p.timing.GrantWait)
		p.ask()
	}
}

// promote chooses the granter with the highest log.
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
		Detail: fmt.Sprintf("the highest log of the granters, as %s", p.proposer),
	})
	p.do(Promote{Instance: best.Name, Term: a.term, Proposer: p.proposer, Timeout: p.timing.CallTimeout})
}

// better orders granters by their logs. Everything after that is preference.
func (p *Promoter) better(q, than *peer) bool {
	if q.report.Last != than.report.Last {
		return than.report.Last.Before(q.report.Last)
	}
	return p.preference(q) > p.preference(than)
}

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
		// The others follow at once, whatever this Promoter's rank is.
		q.misledAt, q.toldAt = p.now.Add(-time.Duration(p.rank)*p.timing.Stagger), time.Time{}
		if q.Name != a.candidate && !q.alive() {
			p.tell(q)
		}
	}
	if p.change != nil {
		p.endChange(nil)
	}
}

func (p *Promoter) abandon(why string) {
	a := p.attempt
	p.attempt, p.suspicion = nil, suspicion{}
	limit := min(p.timing.RetryDelay<<min(p.failures, 8), p.timing.RetryLimit)
	p.retryAt = p.now.Add(time.Duration(p.random * float64(limit)))
	p.failures++
	p.emit(recorder.Event{Kind: recorder.TermRequested, Term: a.term, Detail: "given up: " + why})
	if p.change != nil {
		p.endChange(errAttempt)
	}
}

// Next returns when the next [Tick] is due.
func (p *Promoter) Next() time.Time {
	if p.attempt != nil || p.change != nil || p.wanted != nil || p.suspicion.reason != noReason {
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
			earlier(p.tellDue(q))
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

const activeInterval = 10 * time.Millisecond
