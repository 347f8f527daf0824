package replacer

import (
	"slices"
	"time"

	"tarragonshed.example/unit"
)

const (
	// synchronousSurveyTimeout replaces surveyTimeout where replicas are synchronous.
	synchronousSurveyTimeout = 2 * surveyTimeout
	// unprovenTimeout is how long a group remains without a primary because nothing shows
	// which writes were acknowledged.
	unprovenTimeout = 4 * time.Second
	// lossTimeout is how long it remains without a primary because the instances that can be
	// promoted may lack an acknowledged write, which an instance out of reach has. Together
	// with the promotion this is the 9 s that a change of primary may take.
	lossTimeout = 8 * time.Second
)

// chooseSynchronous promotes an instance that has every acknowledged write. It asks the
// instances again until one is known, or until the group has waited for too long.
func (r *Replacer) chooseSynchronous(now unit.Instant) []Effect {
	if leader, ok := r.promotedBefore(); ok {
		return r.promote(leader, now)
	}
	if r.awaitsAnswers(now) {
		return r.askAgain(now)
	}
	limit, bounded := r.bound()
	if bounded {
		if name, found := r.holderOf(limit, now); found {
			r.unproven = false
			return r.promote(name, now)
		}
	}
	best, ok := r.best()
	if !ok {
		best, ok = r.bestOf(r.plan.Leaving)
	}
	missing := bounded || best.Received.Before(r.acknowledged)
	if ok && now.Sub(r.plan.VacantSince) >= patience(missing) {
		r.unproven = true
		return r.promote(best.Instance, now)
	}
	return r.askAgain(now)
}

// patience returns how long a group may remain without a primary for want of an instance that
// has every acknowledged write. Missing means that the instances that can be promoted are known to
// lack a position that such an instance must have received.
func patience(missing bool) time.Duration {
	if missing {
		return lossTimeout
	}
	return unprovenTimeout
}

// awaitsAnswers reports whether more is to be known before an instance is chosen.
func (r *Replacer) awaitsAnswers(now unit.Instant) bool {
	waited := now.Sub(r.enteredAt)
	if r.awaitingRecovery && waited < recoveryTimeout || r.awaitsStepDown(now) {
		return true
	}
	if best, ok := r.best(); ok && !r.primaryReceived.IsZero() && !best.Received.Before(r.primaryReceived) {
		return false // No instance has more.
	}
	return waited < synchronousSurveyTimeout && slices.ContainsFunc(r.survivors(), func(name unit.InstanceName) bool {
		_, answered := r.statuses[name]
		return !answered
	})
}

// promotedBefore returns an instance that leads a later term: it was promoted by a call whose response
// was lost.
func (r *Replacer) promotedBefore() (unit.InstanceName, bool) {
	for _, name := range r.survivors() {
		if r.leads(r.statuses[name]) && !r.notRunning[name] {
			return name, true
		}
	}
	return "", false
}

// survivors returns the instances that are expected to answer.
func (r *Replacer) survivors() []unit.InstanceName {
	return slices.Concat(r.plan.Replicas, r.plan.Leaving)
}

// askAgain surveys the instances again when it is time. What they have reported before remains
// valid until then.
func (r *Replacer) askAgain(now unit.Instant) []Effect {
	interval := surveyInterval
	if r.catchingUp(now) {
		interval /= 4
	}
	if now.Sub(r.askedAt) < interval {
		return nil
	}
	r.askedAt = now
	clear(r.notRunning)
	var effects []Effect
	if r.awaitsStepDown(now) || r.statuses[r.plan.Primary].Primary {
		effects = r.stepDown()
	}
	return append(effects, Survey{Instances: r.instances()})
}

// catchingUp reports whether a replica may still receive what the old primary had when it
// stepped down.
func (r *Replacer) catchingUp(now unit.Instant) bool {
	return r.plan.Planned && now.Sub(r.startedAt) < catchUpTimeout
}

// holders returns the instances that may have received acknowledged writes.
func (r *Replacer) holders() []unit.InstanceName {
	names := append(r.survivors(), r.plan.Departed...)
	if r.plan.Primary == "" || slices.Contains(names, r.plan.Primary) {
		return names
	}
	return append(names, r.plan.Primary)
}

// bound returns a position that no acknowledged write exceeds: the lowest that is known. The
// result is false if none is known.
func (r *Replacer) bound() (lowest unit.Position, ok bool) {
	consider := func(p unit.Position) {
		if !ok || p.Before(lowest) {
			lowest, ok = p, true
		}
	}
	if p, known := r.quorumBound(); known {
		consider(p)
	}
	if len(r.unreported) == 0 {
		consider(r.acknowledged)
	}
	if !r.primaryReceived.IsZero() {
		consider(r.primaryReceived)
	}
	return lowest, ok
}

// quorumBound returns the bound that follows from the answers of the instances. A write was
// acknowledged once the old primary and Synchronous replicas had it. Fewer than all holders
// but Synchronous lack it, so among that many answers the highest has it. Holders that have
// restarted without their log count as ones that do not answer.
func (r *Replacer) quorumBound() (unit.Position, bool) {
	holders := r.holders()
	var received []unit.Position
	for _, name := range holders {
		// An instance with an empty log has lost what it had received.
		if s, answered := r.statuses[name]; answered && !s.Received.IsZero() {
			received = append(received, s.Received)
		}
	}
	needed := max(1, len(holders)+r.plan.Forgotten-r.plan.Synchronous)
	if len(received) < needed {
		return unit.Position{}, false
	}
	slices.SortFunc(received, unit.Position.Compare)
	return received[needed-1], true
}

// holderOf returns the instance to promote that has received the position, or false if there is
// none yet. If only the old primary has, it leads again; if only a leaving instance has, that one
// leads until another one has received its log.
func (r *Replacer) holderOf(p unit.Position, now unit.Instant) (unit.InstanceName, bool) {
	best, ok := r.best()
	switch {
	case ok && !best.Received.Before(r.primaryReceived.Max(p)):
		return best.Instance, true
	case r.catchingUp(now):
		return "", false
	case ok && !best.Received.Before(p) && !r.plan.Voluntary:
		return best.Instance, true
	case !r.primaryReceived.IsZero() && !r.notRunning[r.plan.Primary]:
		return r.plan.Primary, true
	}
	if best, ok := r.bestOf(r.plan.Leaving); ok && !best.Received.Before(p) {
		return best.Instance, true
	}
	return "", false
}
