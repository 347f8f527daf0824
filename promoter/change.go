package promoter

import (
	"errors"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// The errors of [ChangeEnded].
var (
	errNotFollowing  = result.New(result.ChangeRefused, "the target is not a member of the group or does not follow the primary")
	errBusy          = result.New(result.ChangeRefused, "the group has no primary or another change is in progress")
	errNotQuiesced   = result.New(result.ChangeRefused, "the primary could not be quiesced")
	errTargetBehind  = result.New(result.ChangeRefused, "the target did not reach the primary's last position in time")
	errAttemptFailed = errors.New("promoter: the promotion attempt was abandoned")
	errOtherPromoted = errors.New("promoter: another instance had a higher log and was promoted")
)

// quiesceMargin is how much longer the primary stays quiesced than the change may
// take, so that it admits no write while the term is requested.
const quiesceMargin = 500 * time.Millisecond

// change is a planned change of primary.
type change struct {
	target unit.InstanceName
	// from is the primary that the change replaces.
	from     Primary
	quiesced bool
	// last is the last position of the quiesced primary.
	last     unit.Position
	deadline time.Time
	// requested is set for a change that was requested by [ChangeRequested] and
	// not for one that replaces a leaving primary.
	requested bool
	// pollAt is when the target is probed next for its last position.
	pollAt time.Time
}

// pendingChange is a requested change that has not begun.
type pendingChange struct {
	target   unit.InstanceName
	deadline time.Time
}

func (p *Promoter) changeRequested(e ChangeRequested) {
	if p.pendingChange != nil || p.change != nil && p.change.requested {
		p.do(ChangeEnded{Primary: p.primary, Err: errBusy})
		return
	}
	p.pendingChange = &pendingChange{target: e.Target, deadline: p.now.Add(p.timing.ChangeTimeout)}
}

// advancePendingChange begins the requested change as soon as the reports show
// that the primary leads and the target follows it. It ends the change with an
// error at the deadline.
func (p *Promoter) advancePendingChange() {
	c := p.pendingChange
	if c == nil {
		return
	}
	err := p.beginChange(c.target)
	switch {
	case err == nil:
		p.pendingChange = nil
		if p.change != nil {
			p.change.requested = true
		}
	case !p.now.Before(c.deadline):
		p.pendingChange = nil
		p.do(ChangeEnded{Primary: p.primary, Err: err})
	}
}

// beginChange begins a change by quiescing the primary. An empty target stands for
// the instance that [Promoter.successor] chooses. A change to the present primary
// ends at once without an error.
func (p *Promoter) beginChange(target unit.InstanceName) error {
	primary := p.find(p.primary.Instance)
	if primary == nil || !primary.leads(p.primary) || p.change != nil || p.attempt != nil {
		return errBusy
	}
	if target == "" {
		target = p.successor()
	}
	if target == primary.Name {
		p.do(ChangeEnded{Primary: p.primary})
		return nil
	}
	q := p.find(target)
	if q == nil || !q.alive() || !q.follows(p.primary) {
		return errNotFollowing
	}
	primary.quiesceAnswered = false
	p.change = &change{target: target, from: p.primary, deadline: p.now.Add(p.timing.ChangeTimeout)}
	p.emit(recorder.Event{Kind: recorder.PrimaryQuiesced, Instance: primary.Name, Term: p.primary.Term, Detail: "for " + string(target)})
	p.do(Quiesce{
		Instance: primary.Name, Term: p.primary.Term,
		Period: p.timing.ChangeTimeout + quiesceMargin, Timeout: p.timing.ChangeTimeout,
	})
	return nil
}

// successor returns the instance with the highest log among those that follow the
// primary and are not leaving, or an empty name if there is none.
func (p *Promoter) successor() unit.InstanceName {
	var best *peer
	for _, q := range p.peers {
		if q.Leaving || q.Name == p.primary.Instance || !q.alive() || !q.follows(p.primary) {
			continue
		}
		if best == nil || best.report.Last.Before(q.report.Last) {
			best = q
		}
	}
	if best == nil {
		return ""
	}
	return best.Name
}

// advanceChange requests the term once the target holds the last position of the
// quiesced primary.
func (p *Promoter) advanceChange() {
	p.replaceLeavingPrimary()
	c := p.change
	if c == nil || p.attempt != nil {
		return
	}
	if p.primary != c.from {
		p.endChange(errOtherPromoted)
		return
	}
	if !p.now.Before(c.deadline) {
		p.endChange(errTargetBehind)
		return
	}
	primary, target := p.find(c.from.Instance), p.find(c.target)
	if primary == nil || target == nil {
		p.endChange(errNotFollowing)
		return
	}
	if !c.quiesced && primary.leads(c.from) && primary.report.Quiesced && primary.quiesceAnswered {
		c.quiesced, c.last = true, primary.report.Last
	}
	if c.quiesced && (target.report.Holds(c.last) || holdsAt(primary.report, c.target, c.last)) {
		p.startAttempt(planned)
		return
	}
	p.poll(target)
}

// holdsAt reports whether the instance holds the position by the follower list of
// the primary's report.
func holdsAt(primary instance.Report, name unit.InstanceName, position unit.Position) bool {
	for _, f := range primary.Followers {
		if f.Instance == name {
			return f.Holds(position)
		}
	}
	return false
}

// poll probes the target for its last position, at most once per activeInterval.
func (p *Promoter) poll(target *peer) {
	c := p.change
	if !c.quiesced || target.probing || p.now.Before(c.pollAt) {
		return
	}
	c.pollAt = p.now.Add(activeInterval)
	target.probing, target.probedAt = true, p.now
	p.do(Probe{Instance: target.Name, Fresh: target.fresh, Timeout: p.probeTimeout(target)})
}

// replaceLeavingPrimary begins a change when the primary is leaving.
func (p *Promoter) replaceLeavingPrimary() {
	primary := p.find(p.primary.Instance)
	if primary == nil || !primary.Leaving || !primary.alive() {
		return
	}
	if p.change != nil || p.attempt != nil || p.suspicion.reason != noReason || p.now.Before(p.leavingChangeDue(primary)) {
		return
	}
	if target := p.successor(); target != "" && p.beginChange(target) == nil {
		p.leavingChangeAt = p.now
	}
}

// leavingChangeDue returns when a change away from a leaving primary is due.
func (p *Promoter) leavingChangeDue(primary *peer) time.Time {
	due := primary.leavingAt.Add(time.Duration(p.rank) * p.timing.ChangeTimeout)
	if again := p.leavingChangeAt.Add(p.timing.ChangeRetryDelay); !p.leavingChangeAt.IsZero() && due.Before(again) {
		return again
	}
	return due
}

// endChange ends the change. It lifts the quiesce if the old primary is still
// primary.
func (p *Promoter) endChange(err error) {
	c := p.change
	p.change = nil
	primary := p.find(p.primary.Instance)
	if primary != nil && p.primary == c.from && primary.report.Role == instance.Primary {
		p.do(Quiesce{Instance: primary.Name, Term: c.from.Term, Timeout: p.timing.CallTimeout})
	}
	if err == nil && p.primary.Instance != c.target {
		err = errOtherPromoted
	}
	if c.requested {
		p.do(ChangeEnded{Primary: p.primary, Err: err})
	}
}
