package promoter

import (
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// peer is what is known of one instance.
type peer struct {
	Member
	report instance.Report
	known  bool
	// heardAt is when the instance was last heard of.
	heardAt time.Time
	// probedAt is when the call that is under way was made.
	probedAt time.Time
	probing  bool
	// missed counts the probes without an answer since heardAt.
	missed  int
	refused bool
	// fresh asks for the next probe on a new connection.
	fresh bool
	// progressAt is when the instance's FreshAt last rose.
	progressAt time.Time
	// misledAt is when the instance was first seen not to follow the primary.
	misledAt time.Time
	toldAt   time.Time
	// leavingAt is when the instance was first known to be leaving.
	leavingAt time.Time
	// quiesceAnswered tells that the last quiesce call has returned.
	quiesceAnswered bool
	// baseline is FreshAt in the first report after the primary missed a probe,
	// once compared is set; evidence tells that it has risen since.
	baseline int64
	compared bool
	evidence bool
	history  history
}

// alive reports whether the instance answered the last probe.
func (q *peer) alive() bool {
	return q.known && q.missed == 0 && !q.refused
}

// granted reports whether the instance granted the term to the proposer.
func (q *peer) granted(term unit.Term, proposer string) bool {
	return q.known && q.report.Term == term && q.report.GrantedTo == proposer
}

// lost reports whether the instance can't grant the term to the proposer any
// more.
func (q *peer) lost(term unit.Term, proposer string) bool {
	if !q.known || q.report.Term < term {
		return false
	}
	return q.report.Term > term || q.report.GrantedTo != proposer
}

// follows reports whether the instance is led by the primary in its term.
func (q *peer) follows(primary Primary) bool {
	return q.report.Term == primary.Term && q.report.Primary == primary.Instance
}

func (p *Promoter) reported(e Reported) {
	q := p.find(e.Report.Instance)
	if q == nil {
		return
	}
	if e.Call == ProbeCall {
		q.probing = false
		q.history.add(e.Took)
	}
	if q.known && q.report.Supersedes(e.Report) {
		return
	}
	if !q.known || e.Report.Boot != q.report.Boot || e.Report.FreshAt > q.report.FreshAt {
		q.progressAt = p.now
	}
	q.compare(e.Report)
	q.report, q.known, q.heardAt = e.Report, true, p.now
	q.missed, q.refused, q.fresh = 0, false, false
	if e.Call == QuiesceCall {
		q.quiesceAnswered = true
	}
}

func (p *Promoter) failed(e Failed) {
	q := p.find(e.Instance)
	if q == nil {
		return
	}
	if e.Call == ProbeCall {
		q.probing = false
	}
	q.fresh = true
	switch {
	case e.Cause == Denied:
		q.heardAt, q.missed, q.refused = p.now, 0, false
	case e.Cause == Refused:
		q.refused = true
		q.missed++
	case e.Call == ProbeCall:
		q.missed++
	}
	p.doubt(q)
	if p.attempt != nil {
		p.attempt.failed(e)
	}
	if p.change != nil && e.Call == QuiesceCall {
		p.endChange(errQuiesce)
	}
}

// disconnected makes a probe on a fresh connection due at once.
func (p *Promoter) disconnected(e Disconnected) {
	if q := p.find(e.Instance); q != nil {
		q.fresh = true
		q.heardAt = time.Time{}
	}
}

// probe asks the instances that are due for their status.
func (p *Promoter) probe() {
	for _, q := range p.peers {
		if q.probing || p.now.Before(p.probeDue(q)) {
			continue
		}
		q.probing, q.probedAt = true, p.now
		p.do(Probe{Instance: q.Name, Fresh: q.fresh, Timeout: p.probeTimeout(q)})
	}
}

// probeTimeout returns how long a probe may take. One on a fresh connection takes
// more round trips.
func (p *Promoter) probeTimeout(q *peer) time.Duration {
	timeout := p.detect.timeout(&q.history)
	if q.fresh || !q.known {
		return timeout * 3 / 2
	}
	return timeout
}

// probeDue returns when the instance is to be probed next.
func (p *Promoter) probeDue(q *peer) time.Time {
	interval := p.probeInterval(q)
	if q.missed == 0 {
		return later(q.heardAt, q.probedAt, interval)
	}
	if q.missed < p.timing.MissedProbes {
		return q.probedAt
	}
	return q.probedAt.Add(p.timing.ProbeInterval)
}

// probeInterval returns how long the instance may go unheard.
func (p *Promoter) probeInterval(q *peer) time.Duration {
	primary := p.find(p.primary.Instance)
	switch {
	case primary != nil && q == primary && p.confirmed == p.primary.Term:
		return p.timing.ProbeInterval
	case primary != nil && q == primary:
		return p.timing.Stagger / 2
	case primary == nil, p.wanted != nil, primary.missed > 0, p.suspicion.reason != noReason:
		return p.timing.Stagger / 2
	}
	return p.timing.ReplicaInterval
}

// later returns when an interval has passed since an instance was heard, unless
// it has not been heard at all.
func later(heardAt, probedAt time.Time, interval time.Duration) time.Time {
	if heardAt.IsZero() {
		return probedAt
	}
	return heardAt.Add(interval)
}

// heardSince counts the instances heard of after t.
func (p *Promoter) heardSince(t time.Time) int {
	heard := 0
	for _, q := range p.peers {
		if q.heardAt.After(t) {
			heard++
		}
	}
	return heard
}

// aliveOthers counts the instances that answer, without the named one.
func (p *Promoter) aliveOthers(except unit.InstanceName) int {
	alive := 0
	for _, q := range p.peers {
		if q.Name != except && q.alive() {
			alive++
		}
	}
	return alive
}

// tellFollowers makes each instance that answers follow the primary.
func (p *Promoter) tellFollowers() {
	primary := p.find(p.primary.Instance)
	if primary == nil || p.attempt != nil || p.top() > p.primary.Term {
		return
	}
	for _, q := range p.peers {
		if q == primary || !q.alive() {
			continue
		}
		if q.follows(p.primary) {
			q.misledAt = time.Time{}
			continue
		}
		if q.misledAt.IsZero() {
			q.misledAt = p.now
		}
		if p.now.Before(p.tellDue(q)) {
			continue
		}
		p.tell(q)
	}
}

func (p *Promoter) tell(q *peer) {
	primary := p.find(p.primary.Instance)
	q.toldAt = p.now
	p.do(Follow{
		Instance: q.Name, Term: p.primary.Term, Primary: primary.Name, Address: primary.Address, Timeout: p.timing.CallTimeout,
	})
}

func (p *Promoter) tellDue(q *peer) time.Time {
	due := q.misledAt.Add(time.Duration(p.rank) * p.timing.Stagger)
	if again := q.toldAt.Add(p.timing.FollowInterval); due.Before(again) {
		return again
	}
	return due
}
