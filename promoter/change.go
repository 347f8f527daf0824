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
	errTarget  = result.New(result.ChangeRefused, "the target is not a member that follows the primary")
	errBusy    = result.New(result.ChangeRefused, "the group has no primary or another change is under way")
	errQuiesce = result.New(result.ChangeRefused, "the primary could not be quiesced")
	errCaught  = result.New(result.ChangeRefused, "the target did not reach the primary's last position in time")
	errAttempt = errors.New("promoter: the term was not granted")
	errOther   = errors.New("promoter: another instance had a higher log and was promoted")
)

// quiesceMargin is how much longer the primary stays quiet than the change may
// take, so that it admits no write while the term is requested.
const quiesceMargin = 500 * time.Millisecond

// change is a planned change of primary.
type change struct {
	target   unit.InstanceName
	from     Primary
	quiesced bool
	last     unit.Position
	deadline time.Time
	asked    bool
	// pollAt is when the target is asked next how far it is.
	pollAt time.Time
}

// wanted is a change that was asked for and has not begun.
type wanted struct {
	target unit.InstanceName
	until  time.Time
}

func (p *Promoter) changeAsked(e ChangeRequested) {
	if p.wanted != nil || p.change != nil && p.change.asked {
		p.do(ChangeEnded{Primary: p.primary, Err: errBusy})
		return
	}
	p.wanted = &wanted{target: e.Target, until: p.now.Add(p.timing.ChangeTimeout)}
}

// advanceWanted begins the change that was asked for as soon as the group is
// known to be ready for it.
func (p *Promoter) advanceWanted() {
	w := p.wanted
	if w == nil {
		return
	}
	err := p.beginChange(w.target)
	switch {
	case err == nil:
		p.wanted = nil
		if p.change != nil {
			p.change.asked = true
		}
	case !p.now.Before(w.until):
		p.wanted = nil
		p.do(ChangeEnded{Primary: p.primary, Err: err})
	}
}

// beginChange quiesces the primary. A change to the present primary ends at
// once.
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
		return errTarget
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

// successor returns the instance that follows the primary most closely and is
// not leaving.
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

// advanceChange requests the term once the target holds everything that the
// quiesced primary has.
func (p *Promoter) advanceChange() {
	p.leave()
	c := p.change
	if c == nil || p.attempt != nil {
		return
	}
	if p.primary != c.from {
		p.endChange(errOther)
		return
	}
	if !p.now.Before(c.deadline) {
		p.endChange(errCaught)
		return
	}
	primary, target := p.find(c.from.Instance), p.find(c.target)
	if primary == nil || target == nil {
		p.endChange(errTarget)
		return
	}
	if !c.quiesced && primary.leads(c.from) && primary.report.Quiesced && primary.quiesceAnswered {
		c.quiesced, c.last = true, primary.report.Last
	}
	if c.quiesced && (target.report.Holds(c.last) || holdsAt(primary.report, c.target, c.last)) {
		p.start(planned)
		return
	}
	p.poll(target)
}

// holdsAt reports whether the primary knows that the instance holds the
// position.
func holdsAt(primary instance.Report, name unit.InstanceName, position unit.Position) bool {
	for _, f := range primary.Followers {
		if f.Instance == name {
			return f.Holds(position)
		}
	}
	return false
}

// poll asks the target how far it is.
func (p *Promoter) poll(target *peer) {
	c := p.change
	if !c.quiesced || target.probing || p.now.Before(c.pollAt) {
		return
	}
	c.pollAt = p.now.Add(activeInterval)
	target.probing, target.probedAt = true, p.now
	p.do(Probe{Instance: target.Name, Fresh: target.fresh, Timeout: p.probeTimeout(target)})
}

// leave begins a change when the primary is leaving.
func (p *Promoter) leave() {
	primary := p.find(p.primary.Instance)
	if primary == nil || !primary.Leaving || !primary.alive() {
		return
	}
	if p.change != nil || p.attempt != nil || p.suspicion.reason != noReason || p.now.Before(p.leaveDue(primary)) {
		return
	}
	if target := p.successor(); target != "" && p.beginChange(target) == nil {
		p.leftAt = p.now
	}
}

// leaveDue returns when a change away from a leaving primary is due.
func (p *Promoter) leaveDue(primary *peer) time.Time {
	due := primary.leavingAt.Add(time.Duration(p.rank) * p.timing.ChangeTimeout)
	if again := p.leftAt.Add(p.timing.ChangeRetryDelay); !p.leftAt.IsZero() && due.Before(again) {
		return again
	}
	return due
}

func (p *Promoter) endChange(err error) {
	c := p.change
	p.change = nil
	primary := p.find(p.primary.Instance)
	if primary != nil && p.primary == c.from && primary.report.Role == instance.Primary {
		p.do(Quiesce{Instance: primary.Name, Term: c.from.Term, Timeout: p.timing.CallTimeout})
	}
	if err == nil && p.primary.Instance != c.target {
		err = errOther
	}
	if c.asked {
		p.do(ChangeEnded{Primary: p.primary, Err: err})
	}
}
