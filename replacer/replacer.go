// Package replacer carries out one change of a group's primary where the platform
// promotes instances.
//
// # Steps
//
//	claim    the row of the group is set to Changing, with the fencing token of the duty
//	revoke   wait until no daemon may use the old primary, see [authorizer.Revocation]
//	choose   select the replica that has received most
//	promote  call the platform, and retry with the same fencing token if no response comes
//	verify   wait until the instance reports that it leads a higher term
//	publish  write the new primary to the row of the group
//
// The claim is a transaction of the code that embeds the Replacer, because its outcome
// decides whether there is a change at all. A Replacer begins after it. The replicas are
// surveyed only once the revocation is complete: every acknowledged write had been made by
// then, so a replica that has received it includes it in its reported position.
//
// Where replicas are synchronous, an instance is promoted only if it is known to have every
// acknowledged write, see [Plan.Synchronous].
//
// A working primary steps down first. If it could have remained, it is promoted again unless a
// replica has received all its writes. An unreachable one steps down when the revocation is
// complete. If it becomes reachable before, the change is cancelled, because that primary
// has all acknowledged writes.
//
// # Usage
//
//	r, effects := replacer.New(plan, now)
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case replacer.Survey:
//			go survey(effect.Instances) // Then replacer.Surveyed.
//		case replacer.Promote:
//			go promote(effect.Instance) // Then replacer.Promoted.
//		...
//		case replacer.Stop:
//			return effect.Err
//		}
//	}
//	effects = r.Step(replacer.Dropped{Daemon: "daemon-2"}, now)
package replacer

import (
	"maps"
	"slices"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

const (
	// surveyTimeout is how long a survey waits for the remaining replicas once one has
	// responded.
	surveyTimeout = 150 * time.Millisecond
	// surveyInterval is the time between two surveys that found no candidate.
	surveyInterval = 100 * time.Millisecond
	// promoteRetryInterval is the time before a promotion is retried.
	promoteRetryInterval = 100 * time.Millisecond
	// verifyInterval is the time between two status queries to a promoted instance.
	verifyInterval = 40 * time.Millisecond
	// verifyTimeout is how long a promoted instance may take to lead its term.
	verifyTimeout = 4 * time.Second
	// stepDownTimeout is how long a voluntary change waits for the response of the old primary
	// to the request to step down.
	stepDownTimeout = time.Second
	// catchUpTimeout is how long a planned change waits for a replica to receive all that the
	// old primary had when it stepped down.
	catchUpTimeout = 400 * time.Millisecond
	// publishRetryInterval is the time before the row is written again.
	publishRetryInterval = 50 * time.Millisecond
	// partitionThreshold is the duration of a revocation above which a network partition is
	// the likely cause.
	partitionThreshold = 2 * time.Second
	// recoveryTimeout is how long such a change waits for its old primary after all daemons
	// have responded: the partition has then ended, and an instance on its other side is back
	// in the manifest within 2 s.
	recoveryTimeout = 2 * time.Second
	// Timeout limits the whole change. After it, another daemon may begin a new one.
	Timeout = 15 * time.Second
)

// step is the current step of a change.
type step int

const (
	revoking step = iota
	choosing
	promoting
	verifying
	publishing
	stopped
)

// Replacer carries out one change of a primary. It is not safe for concurrent use.
type Replacer struct {
	plan      Plan
	step      step
	startedAt unit.Instant // When the change began.
	enteredAt unit.Instant // When the current step began.
	retryAt   unit.Instant // When the step's call is retried. Zero while the call is in flight.
	askedAt   unit.Instant // When the instances were last surveyed.

	statuses   map[unit.InstanceName]Status
	notRunning map[unit.InstanceName]bool
	// ineffective holds instances that did not lead a later term although their promotion was
	// accepted. The platform takes them for the present primary and changes nothing.
	ineffective     map[unit.InstanceName]bool
	primaryReceived unit.Position // Last position of the primary that stepped down.
	acknowledged    unit.Position // Highest acknowledged position according to the reports.
	unreported      map[unit.DaemonID]bool
	candidate       unit.InstanceName
	received        unit.Position // What the candidate had received when it was chosen.
	unproven        bool          // Whether the candidate is not known to have every acknowledged write.
	leader          Status
	// awaitingRecovery means that the old primary may become reachable soon. It has not been
	// requested to step down.
	awaitingRecovery bool
	cancelled        bool
}

// New begins a change. The row was claimed by a transaction whose response arrived at now.
func New(plan Plan, now unit.Instant) (*Replacer, []Effect) {
	r := &Replacer{
		plan: plan, startedAt: now, enteredAt: now, acknowledged: plan.Acknowledged,
		notRunning: make(map[unit.InstanceName]bool), ineffective: make(map[unit.InstanceName]bool),
		unreported: make(map[unit.DaemonID]bool),
	}
	for _, m := range plan.Revocation.Remaining() {
		r.unreported[m.Daemon] = true
	}
	var effects []Effect
	if plan.Planned {
		effects = r.stepDown()
	}
	return r, append(effects, r.Step(Tick{}, now)...)
}

// Step handles an event and returns the resulting actions in order.
func (r *Replacer) Step(event Event, now unit.Instant) []Effect {
	if r.step == stopped {
		return nil
	}
	switch event := event.(type) {
	case Relisted:
		r.plan.Roster = event.Roster
		for _, name := range event.Restarted {
			delete(r.statuses, name)
		}
	case Reported:
		r.acknowledged = r.acknowledged.Max(event.Acknowledged)
		delete(r.unreported, event.Daemon)
	case Dropped:
		r.plan.Revocation.RecordDrop(event.Daemon, now)
	case Recovered:
		return r.recovered(now)
	case SteppedDown:
		r.primaryReceived = r.primaryReceived.Max(event.Received)
	case Surveyed:
		r.recordStatus(event.Status)
	case Promoted:
		return r.promoted(event, now)
	case Verified:
		return r.verified(event.Status, now)
	case Published:
		return r.published(event, now)
	}
	return r.advance(now)
}

// Statuses returns what the instances have reported in the current survey, or in the one on
// which the promotion was decided, sorted by name.
func (r *Replacer) Statuses() []Status {
	statuses := make([]Status, 0, len(r.statuses))
	for _, name := range slices.Sorted(maps.Keys(r.statuses)) {
		statuses = append(statuses, r.statuses[name])
	}
	return statuses
}

// Acknowledged returns the highest position of a write that a daemon is known to have seen
// acknowledged.
func (r *Replacer) Acknowledged() unit.Position { return r.acknowledged }

// Unproven reports whether the instance to promote is not known to have every acknowledged write
// of a group with synchronous replicas, because no such instance was found in time.
func (r *Replacer) Unproven() bool { return r.unproven }

// Loss returns the position up to which the log of the promoted instance goes, and whether a daemon
// has reported a later write as acknowledged, which is then lost. Daemons may report it after the
// promotion.
func (r *Replacer) Loss() (end unit.Position, lost bool) {
	return r.received, !r.cancelled && r.received.Before(r.acknowledged)
}

// advance performs what is due in the current step.
func (r *Replacer) advance(now unit.Instant) []Effect {
	if now.Sub(r.startedAt) > Timeout {
		return r.stop(result.New(result.NoPrimary, "group %s: the change of its primary timed out", r.plan.Group))
	}
	switch r.step {
	case revoking:
		if r.revoked(now) {
			return r.afterRevocation(now)
		}
	case choosing:
		return r.choose(now)
	case promoting, verifying, publishing:
		if r.step == verifying && now.Sub(r.enteredAt) > verifyTimeout {
			r.ineffective[r.candidate] = true
			return r.survey(now)
		}
		if r.retryAt != 0 && now >= r.retryAt {
			r.retryAt = 0
			return []Effect{r.call()}
		}
	}
	return nil
}

// call returns the call of the current step.
func (r *Replacer) call() Effect {
	switch r.step {
	case promoting:
		return Promote{Instance: r.candidate}
	case verifying:
		return Verify{Instance: r.candidate}
	}
	return Publish{Primary: r.candidate, Term: r.leader.Term}
}

func (r *Replacer) enter(s step, now unit.Instant) {
	r.step, r.enteredAt, r.retryAt = s, now, 0
}

// revoked reports whether no daemon may use the old primary any more.
func (r *Replacer) revoked(now unit.Instant) bool {
	return r.plan.Primary == "" || r.plan.Revocation.Complete(now)
}

// afterRevocation continues a change whose revocation is complete.
func (r *Replacer) afterRevocation(now unit.Instant) []Effect {
	r.awaitingRecovery = r.plan.Cancellable && now.Sub(r.startedAt) > partitionThreshold && len(r.plan.Revocation.Remaining()) == 0
	if r.plan.Planned || r.awaitingRecovery {
		return r.survey(now)
	}
	return append(r.stepDown(), r.survey(now)...)
}

func (r *Replacer) stepDown() []Effect {
	if r.plan.Primary == "" {
		return nil
	}
	return []Effect{StepDown{Term: r.plan.Term + 1}}
}

// recovered cancels the change by writing the old primary to the row again.
func (r *Replacer) recovered(now unit.Instant) []Effect {
	if !r.plan.Cancellable || r.step != revoking && !(r.step == choosing && r.awaitingRecovery) {
		return r.advance(now) // The old primary may have stepped down.
	}
	r.cancelled = true
	r.candidate, r.leader = r.plan.Primary, Status{Instance: r.plan.Primary, Primary: true, Term: r.plan.Term}
	r.enter(publishing, now)
	return []Effect{r.call()}
}

func (r *Replacer) promoted(p Promoted, now unit.Instant) []Effect {
	if r.step != promoting || p.Instance != r.candidate {
		return nil
	}
	switch p.Result {
	case Accepted:
		r.enter(verifying, now)
		return []Effect{r.call()}
	case NotRunning:
		r.notRunning[r.candidate] = true
		return r.survey(now)
	}
	r.retryAt = now.Add(promoteRetryInterval)
	return nil
}

func (r *Replacer) verified(s Status, now unit.Instant) []Effect {
	if r.step != verifying || s.Instance != r.candidate {
		return r.advance(now)
	}
	if !r.leads(s) {
		r.retryAt = now.Add(verifyInterval)
		return r.advance(now)
	}
	r.leader = s
	r.enter(publishing, now)
	return []Effect{r.call()}
}

func (r *Replacer) published(p Published, now unit.Instant) []Effect {
	switch {
	case r.step != publishing:
		return nil
	case p.Done:
		return r.stop(nil)
	case p.Refused:
		return r.stop(result.New(result.NoPrimary, "group %s: another daemon has taken over the change of its primary", r.plan.Group))
	}
	r.retryAt = now.Add(publishRetryInterval)
	return nil
}

func (r *Replacer) stop(err *result.Error) []Effect {
	r.enter(stopped, r.enteredAt)
	return []Effect{Stop{Err: err, Cancelled: err == nil && r.cancelled}}
}
