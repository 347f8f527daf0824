package replacer

import (
	"slices"

	"tarragonshed.example/unit"
)

func (r *Replacer) survey(now unit.Instant) []Effect {
	r.enter(choosing, now)
	r.askedAt = now
	r.statuses = make(map[unit.InstanceName]Status)
	return []Effect{Survey{Instances: r.instances()}}
}

// instances returns the instances to survey.
func (r *Replacer) instances() []unit.InstanceName {
	if r.plan.Synchronous > 0 {
		return r.holders()
	}
	return r.plan.Replicas
}

func (r *Replacer) recordStatus(s Status) {
	if r.step != choosing {
		return
	}
	r.statuses[s.Instance] = s
	if s.Instance == r.plan.Primary && !s.Primary && !slices.Contains(r.plan.Replicas, s.Instance) {
		r.primaryReceived = r.primaryReceived.Max(s.Received) // It has stepped down.
	}
}

// choose promotes the replica that has received most, once enough replicas have responded.
func (r *Replacer) choose(now unit.Instant) []Effect {
	if r.plan.Synchronous > 0 {
		return r.chooseSynchronous(now)
	}
	best, ok := r.best()
	waited := now.Sub(r.enteredAt)
	if !ok {
		if waited >= surveyInterval {
			r.notRunning = make(map[unit.InstanceName]bool)
			return r.survey(now)
		}
		return nil
	}
	if r.awaitingRecovery && waited < recoveryTimeout {
		return nil
	}
	if len(r.statuses) < len(r.plan.Replicas) && waited < surveyTimeout {
		return nil
	}
	if r.awaitsStepDown(now) {
		if waited >= surveyInterval {
			return append(r.stepDown(), r.survey(now)...)
		}
		return nil
	}
	lacks := best.Received.Before(r.primaryReceived)
	if r.plan.Planned && lacks && now.Sub(r.startedAt) < catchUpTimeout {
		if waited >= surveyInterval/4 {
			return r.survey(now)
		}
		return nil
	}
	if r.plan.Voluntary && lacks && !r.notRunning[r.plan.Primary] {
		return r.promote(r.plan.Primary, now)
	}
	return r.promote(best.Instance, now)
}

// promote begins the promotion of the instance.
func (r *Replacer) promote(name unit.InstanceName, now unit.Instant) []Effect {
	r.candidate, r.received = name, r.statuses[name].Received
	if name == r.plan.Primary {
		r.received = r.received.Max(r.primaryReceived)
	}
	r.enter(promoting, now)
	if r.awaitingRecovery {
		r.awaitingRecovery = false
		return append(r.stepDown(), r.call())
	}
	return []Effect{r.call()}
}

// awaitsStepDown reports whether a voluntary change does not know yet what the old primary has
// received.
func (r *Replacer) awaitsStepDown(now unit.Instant) bool {
	return r.plan.Voluntary && r.primaryReceived.IsZero() && now.Sub(r.startedAt) < stepDownTimeout
}

// best returns the status of the replica that has received most. A replica that leads already
// takes precedence: it was promoted by a call whose response was lost.
func (r *Replacer) best() (best Status, ok bool) { return r.bestOf(r.plan.Replicas) }

// bestOf is like best for the given instances.
func (r *Replacer) bestOf(names []unit.InstanceName) (best Status, ok bool) {
	for _, name := range names {
		s, responded := r.statuses[name]
		if !responded || r.notRunning[name] {
			continue
		}
		if !ok || r.precedes(s, best) {
			best, ok = s, true
		}
	}
	return best, ok
}

// precedes reports whether an instance is a better choice than another one. The promotion of an
// instance that reports to lead the term of the old primary, for instance because it has taken
// the place of that, would change nothing; it has precedence only for what it has received.
func (r *Replacer) precedes(s, other Status) bool {
	switch {
	case r.leads(s) != r.leads(other):
		return r.leads(s)
	case r.ineffective[s.Instance] != r.ineffective[other.Instance]:
		return !r.ineffective[s.Instance]
	case s.Received != other.Received:
		return other.Received.Before(s.Received)
	}
	return !s.Primary && other.Primary
}

// leads reports whether the instance leads a later term than the old primary.
func (r *Replacer) leads(s Status) bool { return s.Primary && s.Term > r.plan.Term }
