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
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"tarragonshed.example/authorizer"
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

// Roster lists the instances of a group other than its old primary. All but the replicas matter
// only where replicas are synchronous.
type Roster struct {
	// Replicas are the instances that may be promoted.
	Replicas []unit.InstanceName
	// Leaving are the instances that will end soon but still count as synchronous replicas.
	// One of them is promoted only if no other instance has every acknowledged write.
	Leaving []unit.InstanceName
	// Departed are the instances that were no longer listed in the old primary's term. They may
	// still run, and may have received writes, but can't be promoted.
	Departed []unit.InstanceName
	// Forgotten is the number of incarnations of instances that received writes in the old
	// primary's term and have restarted without them.
	Forgotten int
}

// Plan describes a change.
type Plan struct {
	Group unit.GroupName
	// Primary is the instance to replace. It is empty if the group had no primary.
	Primary unit.InstanceName
	// Term is the highest known term.
	Term unit.Term
	Roster
	// Revocation reports when no daemon uses the old primary any more. It is owned by the
	// Replacer.
	Revocation *authorizer.Revocation
	// Synchronous is the number of replicas that must receive a write before it is
	// acknowledged. If it is not zero, the change looks for a position that no acknowledged
	// write exceeds, and promotes an instance that has received it:
	//
	//   - the last position of the old primary when it stepped down,
	//   - the highest position among as many answers as can't all lack a write: those of all
	//     instances but Synchronous, because the old primary and Synchronous replicas have it,
	//   - the last write that any daemon has seen acknowledged, if all of them report it.
	//
	// A group does not remain without a primary for ever for want of that: see
	// [Replacer.Unproven].
	Synchronous int
	// VacantSince is since when the row is known to name no primary.
	VacantSince unit.Instant
	// Acknowledged is the highest position of a write that this daemon has seen acknowledged.
	Acknowledged unit.Position
	// Planned means that the old primary works and steps down first.
	Planned bool
	// Voluntary means that the change is planned and the old primary could remain. It is
	// promoted again unless a replica has received all that it had.
	Voluntary bool
	// Cancellable means that the row named the old primary until the claim, so that no other
	// instance has been promoted since.
	Cancellable bool
}

// Status is what an instance reports about itself.
type Status struct {
	Instance unit.InstanceName
	Primary  bool
	// Received is the position of the last record in its log.
	Received unit.Position
	// Term is the highest term that the instance has seen.
	Term unit.Term
}

// Event is an input of the Replacer: [Relisted], [Reported], [Dropped], [Recovered], [SteppedDown],
// [Surveyed], [Promoted], [Verified], [Published] or [Tick].
type Event interface{ event() }

// Relisted replaces the roster. What the restarted instances have reported is obsolete.
type Relisted struct {
	Roster
	Restarted []unit.InstanceName
}

// Reported reports the highest position of a write that a daemon has seen acknowledged. The
// daemon must not have authority any more. Reported precedes [Dropped].
type Reported struct {
	Daemon       unit.DaemonID
	Acknowledged unit.Position
}

// Dropped reports that a daemon has dropped its authority over the group.
type Dropped struct{ Daemon unit.DaemonID }

// Recovered reports that the old primary is reachable again and still leads its term.
type Recovered struct{}

// SteppedDown reports that the old primary accepts no more writes. Received is the position
// of the last record in its log.
type SteppedDown struct{ Received unit.Position }

// Surveyed reports the status of a replica.
type Surveyed struct{ Status Status }

// PromotionResult is the outcome of a promotion call to the platform.
type PromotionResult int

// The outcomes of a promotion call.
const (
	// Accepted means that the platform promotes the instance.
	Accepted PromotionResult = iota
	// NotRunning means that the instance can't be promoted.
	NotRunning
	// Unknown means that the call may or may not have taken effect, or that the platform
	// can't handle it at present. The call is retried.
	Unknown
)

// Promoted reports the outcome of a promotion call.
type Promoted struct {
	Instance unit.InstanceName
	Result   PromotionResult
}

// Verified reports the status of the promoted instance.
type Verified struct{ Status Status }

// Published reports the outcome of writing the row. If neither field is set, the outcome is
// unknown.
type Published struct{ Done, Refused bool }

// Tick advances the time. It must be sent every few milliseconds.
type Tick struct{}

func (Relisted) event()    {}
func (Reported) event()    {}
func (Dropped) event()     {}
func (Recovered) event()   {}
func (SteppedDown) event() {}
func (Surveyed) event()    {}
func (Promoted) event()    {}
func (Verified) event()    {}
func (Published) event()   {}
func (Tick) event()        {}

// Effect is an action that the embedding code must carry out: [StepDown], [Survey],
// [Promote], [Verify], [Publish] or [Stop].
type Effect interface{ effect() }

// StepDown requests that the old primary steps down in any term lower than Term.
type StepDown struct{ Term unit.Term }

// Survey queries the status of the instances.
type Survey struct{ Instances []unit.InstanceName }

// Promote requests that the platform promotes the instance.
type Promote struct{ Instance unit.InstanceName }

// Verify queries the status of the promoted instance.
type Verify struct{ Instance unit.InstanceName }

// Publish writes the new primary and its term to the row of the group.
type Publish struct {
	Primary unit.InstanceName
	Term    unit.Term
}

// Stop ends the change. Err is nil if the change is complete or cancelled.
type Stop struct {
	Err *result.Error
	// Cancelled means that the old primary remains the primary.
	Cancelled bool
}

func (StepDown) effect() {}
func (Survey) effect()   {}
func (Promote) effect()  {}
func (Verify) effect()   {}
func (Publish) effect()  {}
func (Stop) effect()     {}

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

	statuses        map[unit.InstanceName]Status
	notRunning      map[unit.InstanceName]bool
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
		notRunning: make(map[unit.InstanceName]bool), unreported: make(map[unit.DaemonID]bool),
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

// String returns the status as one word for a log.
func (s Status) String() string {
	role := "replica"
	if s.Primary {
		role = "primary"
	}
	return fmt.Sprintf("%s=%s:%d:%v", s.Instance, role, s.Term, s.Received)
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
		if !ok || r.leads(s) && !r.leads(best) || r.leads(s) == r.leads(best) && best.Received.Before(s.Received) {
			best, ok = s, true
		}
	}
	return best, ok
}

// leads reports whether the instance leads a later term than the old primary.
func (r *Replacer) leads(s Status) bool { return s.Primary && s.Term > r.plan.Term }

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

// Claimant is a daemon that may carry out a change.
type Claimant struct {
	Daemon unit.DaemonID
	// RecentlyListed means that the daemon was added to the member list so recently that its
	// change would have to wait for the full [authorizer.Config.Extension].
	RecentlyListed bool
}

// Rank returns the index of a daemon in [Order], or the number of claimants if it is not among
// them. A daemon with a higher rank waits longer before it claims the row.
func Rank(self, holder unit.DaemonID, claimants []Claimant) int {
	order := Order(holder, claimants)
	rank := slices.Index(order, self)
	if rank < 0 {
		return len(order)
	}
	return rank
}

// Order returns the claimants in the order in which they may claim the row: the duty holder
// first, then the others by name, and recently listed daemons last.
func Order(holder unit.DaemonID, claimants []Claimant) []unit.DaemonID {
	priority := func(c Claimant) int {
		switch {
		case c.RecentlyListed:
			return 2
		case c.Daemon == holder:
			return 0
		}
		return 1
	}
	sorted := slices.SortedFunc(slices.Values(claimants), func(a, b Claimant) int {
		return cmp.Or(cmp.Compare(priority(a), priority(b)), cmp.Compare(a.Daemon, b.Daemon))
	})
	order := make([]unit.DaemonID, 0, len(sorted))
	for _, c := range sorted {
		order = append(order, c.Daemon)
	}
	return order
}
