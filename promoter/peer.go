package promoter

import (
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// peer holds the latest report of an instance and the state of the calls to it.
type peer struct {
	Member
	report instance.Report
	// known reports that the instance has sent a report.
	known bool
	// heardAt is when the instance last answered or pushed a report.
	heardAt time.Time
	// probedAt is when the last probe was sent; probing reports that it is in
	// flight.
	probedAt time.Time
	probing  bool
	// missed counts the probes without an answer since heardAt.
	missed int
	// refused reports that the instance's VM refused the last connection.
	refused bool
	// fresh requests a new connection for the next probe.
	fresh bool
	// progressAt is when the instance's FreshAt last rose.
	progressAt time.Time
	// notFollowingSince is when the instance was first seen not to follow the
	// primary, zero while it follows.
	notFollowingSince time.Time
	// followSentAt is when the last follow call was sent.
	followSentAt time.Time
	// leavingAt is when the instance was first known to be leaving.
	leavingAt time.Time
	// quiesceAnswered reports that the last quiesce call has returned.
	quiesceAnswered bool
	// baseline is FreshAt in the first report after the primary missed a probe.
	// It is valid if hasBaseline is set. receiving reports that FreshAt has risen
	// since: the instance still receives from the primary.
	baseline    int64
	hasBaseline bool
	receiving   bool
	latency     latencyStats
}

// alive reports whether the instance answered the last probe.
func (q *peer) alive() bool {
	return q.known && q.missed == 0 && !q.refused
}

// granted reports whether the instance granted the term to the proposer.
func (q *peer) granted(term unit.Term, proposer string) bool {
	return q.known && q.report.Term == term && q.report.GrantedTo == proposer
}

// cannotGrant reports whether the instance can no longer grant the term to the
// proposer, because it is in a later term or granted this one to another proposer.
func (q *peer) cannotGrant(term unit.Term, proposer string) bool {
	if !q.known || q.report.Term < term {
		return false
	}
	return q.report.Term > term || q.report.GrantedTo != proposer
}

// follows reports whether the instance names the primary as its own in the
// primary's term.
func (q *peer) follows(primary Primary) bool {
	return q.report.Term == primary.Term && q.report.Primary == primary.Instance
}

// reported records a report, unless a later one of the instance has arrived
// before it.
func (p *Promoter) reported(e Reported) {
	q := p.find(e.Report.Instance)
	if q == nil {
		return
	}
	if e.Call == ProbeCall {
		q.probing = false
		q.latency.add(e.Took)
	}
	if q.known && q.report.Supersedes(e.Report) {
		return
	}
	if !q.known || e.Report.Boot != q.report.Boot || e.Report.FreshAt > q.report.FreshAt {
		q.progressAt = p.now
	}
	q.trackFreshness(e.Report)
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
	p.resetBaselines(q)
	if p.attempt != nil {
		p.attempt.failed(e)
	}
	if p.change != nil && e.Call == QuiesceCall {
		p.endChange(errNotQuiesced)
	}
}

// disconnected makes a probe on a fresh connection due at once.
func (p *Promoter) disconnected(e Disconnected) {
	if q := p.find(e.Instance); q != nil {
		q.fresh = true
		q.heardAt = time.Time{}
	}
}

// probe sends a probe to each instance whose probe is due.
func (p *Promoter) probe() {
	for _, q := range p.peers {
		if q.probing || p.now.Before(p.probeDue(q)) {
			continue
		}
		q.probing, q.probedAt = true, p.now
		p.do(Probe{Instance: q.Name, Fresh: q.fresh, Timeout: p.probeTimeout(q)})
	}
}

// probeTimeout returns how long a probe may take. A probe on a new connection gets
// half as much again, because connecting takes more round trips.
func (p *Promoter) probeTimeout(q *peer) time.Duration {
	timeout := p.detection.timeout(&q.latency)
	if q.fresh || !q.known {
		return timeout * 3 / 2
	}
	return timeout
}

// probeDue returns when the instance is to be probed next.
func (p *Promoter) probeDue(q *peer) time.Time {
	interval := p.probeInterval(q)
	if q.missed == 0 {
		return nextProbeAt(q.heardAt, q.probedAt, interval)
	}
	if q.missed < p.timing.MissedProbes {
		return q.probedAt
	}
	return q.probedAt.Add(p.timing.ProbeInterval)
}

// probeInterval returns how long after its last answer an instance is probed. The
// interval is shorter while the primary is unknown, suspected or not yet confirmed
// by a majority.
func (p *Promoter) probeInterval(q *peer) time.Duration {
	primary := p.find(p.primary.Instance)
	switch {
	case primary != nil && q == primary && p.confirmed == p.primary.Term:
		return p.timing.ProbeInterval
	case primary != nil && q == primary:
		return p.timing.Stagger / 2
	case primary == nil, p.pendingChange != nil, primary.missed > 0, p.suspicion.reason != noReason:
		return p.timing.Stagger / 2
	}
	return p.timing.ReplicaInterval
}

// nextProbeAt returns when the interval since heardAt ends. If heardAt is zero,
// because nothing was heard yet or the connection broke, it returns probedAt, which
// makes the probe due at once.
func nextProbeAt(heardAt, probedAt time.Time, interval time.Duration) time.Time {
	if heardAt.IsZero() {
		return probedAt
	}
	return heardAt.Add(interval)
}

// countHeardSince counts the instances that answered or pushed a report after t.
func (p *Promoter) countHeardSince(t time.Time) int {
	heard := 0
	for _, q := range p.peers {
		if q.heardAt.After(t) {
			heard++
		}
	}
	return heard
}

// countAliveExcept counts the instances that answer, other than the named one.
func (p *Promoter) countAliveExcept(except unit.InstanceName) int {
	alive := 0
	for _, q := range p.peers {
		if q.Name != except && q.alive() {
			alive++
		}
	}
	return alive
}

// redirectFollowers sends a follow call to each instance that answers and does not
// follow the primary.
func (p *Promoter) redirectFollowers() {
	primary := p.find(p.primary.Instance)
	if primary == nil || p.attempt != nil || p.highestTerm() > p.primary.Term {
		return
	}
	for _, q := range p.peers {
		if q == primary || !q.alive() {
			continue
		}
		if q.follows(p.primary) {
			q.notFollowingSince = time.Time{}
			continue
		}
		if q.notFollowingSince.IsZero() {
			q.notFollowingSince = p.now
		}
		if p.now.Before(p.followDue(q)) {
			continue
		}
		p.sendFollow(q)
	}
}

func (p *Promoter) sendFollow(q *peer) {
	primary := p.find(p.primary.Instance)
	q.followSentAt = p.now
	p.do(Follow{
		Instance: q.Name, Term: p.primary.Term, Primary: primary.Name, Address: primary.Address, Timeout: p.timing.CallTimeout,
	})
}

// followDue returns when the next follow call to the instance is due. It is delayed
// by the rank of this Promoter and repeated every [Timing.FollowInterval].
func (p *Promoter) followDue(q *peer) time.Time {
	due := q.notFollowingSince.Add(time.Duration(p.rank) * p.timing.Stagger)
	if again := q.followSentAt.Add(p.timing.FollowInterval); due.Before(again) {
		return again
	}
	return due
}
