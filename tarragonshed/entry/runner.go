package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// execute runs a batch and queues the end of its answer.
func (s *session) execute(b *batch) {
	if b.stream != nil {
		b.stream.finish()
		return
	}
	if b.fault != nil {
		s.refuse(b, plan{}, b.fault)
		return
	}
	if s.lost() {
		s.answerLocally(b)
		return
	}
	p, err := s.plan(b)
	switch {
	case err != nil:
		s.refuse(b, p, err)
	case p.local:
		s.answerLocally(b)
	default:
		s.run(b, p)
	}
}

// refuse answers a batch with an error. What was open before, or would have been
// open after it, is a failed transaction from now on.
func (s *session) refuse(b *batch, p plan, err error) {
	s.entry.metrics.refused(result.CodeOf(err))
	b.settleDefinitions(0)
	s.pendingSettings = nil
	inside := s.status != statusIdle
	s.unpin()
	if !b.reported {
		s.queue(errorResponse(err, severityError))
	}
	if (inside && !p.ends) || p.begins {
		s.queueReady(statusFailed)
		return
	}
	s.queueReady(statusIdle)
}

// run is the execution of one batch by instances.
type run struct {
	*session
	batch    *batch
	plan     plan
	ctx      context.Context
	deadline time.Time
	failed   map[unit.InstanceName]time.Time
	// last is why the latest attempt failed.
	last error
	// use is where the batch was sent.
	use router.Use
	// overtaken tells that the batch was cancelled because another instance
	// has become the primary.
	overtaken atomic.Bool
	// waited is how long replicas have let the read wait in vain.
	waited time.Duration
	// uncertain is the error of a read that may have run on a primary. It can
	// only be repeated by an instance that writes nothing.
	uncertain error
	// claiming tells that the outcome of a request with a key is unknown, and
	// that its key is claimed instead of running it again.
	claiming bool
}

// newRun returns a run whose deadline begins now, and the function that ends it.
func (s *session) newRun(b *batch, p plan) (r *run, end func()) {
	deadline := time.Now().Add(s.entry.limits.StatementTimeout)
	ctx, cancelCause := context.WithCancelCause(s.entry.ctx)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	s.setCancel(cancelCause)
	return &run{session: s, batch: b, plan: p, ctx: ctx, deadline: deadline}, func() {
		s.setCancel(nil)
		cancel()
		cancelCause(nil)
	}
}

func (s *session) run(b *batch, p plan) {
	started := time.Now()
	r, end := s.newRun(b, p)
	defer end()
	if s.pinned != nil {
		r.goOn()
		return
	}
	s.group.countRequest()
	primary, ok := r.begin()
	if ok {
		s.entry.metrics.served(r.plan, primary, time.Since(started))
	}
}

// begin runs a batch outside of a transaction, on as many instances as needed.
func (r *run) begin() (primary, ok bool) {
	for attempt := 0; ; attempt++ {
		use, err := r.choose()
		if err != nil {
			r.refuse(r.batch, r.plan, r.undetermined(err))
			return false, false
		}
		out := r.attempt(use)
		if out.err == nil {
			return use.Primary, true
		}
		r.last = out.err
		if !r.again(use, out, attempt) {
			r.refuse(r.batch, r.plan, r.undetermined(r.giveUp(out)))
			return false, false
		}
		r.ready = r.ready[:0]
		r.entry.metrics.retries.Inc(1)
	}
}

// choose waits for an instance that can serve the batch.
func (r *run) choose() (router.Use, error) {
	if err := r.group.removed(); err != nil {
		return router.Use{}, err
	}
	request := router.Request{
		Write:        !r.plan.read,
		MaxStaleness: r.plan.staleness,
		WaitLimit:    max(0, r.entry.replicaWait-r.waited),
	}
	if r.plan.read {
		floor, err := r.floor()
		if err != nil {
			return router.Use{}, err
		}
		request.Floor = floor
	}
	effect, _ := r.group.choose(request, r.failed)
	use, ok := effect.(router.Use)
	switch {
	case r.uncertain != nil && (!ok || use.Primary || !r.plan.read):
		return use, r.uncertain
	case ok:
		return use, r.late()
	}
	defer r.group.seek()()
	for {
		effect, news := r.group.choose(request, r.failed)
		if use, ok := effect.(router.Use); ok {
			return use, r.late()
		}
		if err := r.group.removed(); err != nil {
			return router.Use{}, err
		}
		select {
		case <-news:
		case <-r.ctx.Done():
			return router.Use{}, r.late()
		}
	}
}

// floor returns the position that a read must see.
func (r *run) floor() (unit.Position, error) {
	floor, ok := r.tracker.Floor(r.plan.staleness)
	if ok {
		return floor, nil
	}
	index, err := r.group.index(r.ctx)
	if err != nil {
		if late := r.late(); result.CodeOf(late) == result.CancelledUnsent {
			return index, late
		}
		return index, err
	}
	r.tracker.Initialize(index)
	return r.tracker.Position(), nil
}

// late returns why the batch can't be sent any more, or nil.
func (r *run) late() error {
	switch {
	case r.ctx.Err() == nil:
		return nil
	case r.uncertain != nil:
		return r.uncertain
	case errors.Is(context.Cause(r.ctx), errCancelled):
		return result.New(result.CancelledUnsent, "cancelled before it was sent")
	case r.entry.ctx.Err() != nil:
		return result.New(result.ShuttingDown, "the daemon is shutting down")
	case r.last != nil && result.OutcomeOf(r.last) == result.NotRun && !waited(result.CodeOf(r.last)):
		return r.last
	}
	return r.unavailable()
}

// unavailable returns the error of a batch that found no instance in time.
func (r *run) unavailable() error {
	if r.plan.read {
		return result.New(result.NoReplica, "no instance of group %s could serve the read in time%s", r.database, r.because())
	}
	return result.New(result.NoPrimary, "no primary of group %s was found in time%s", r.database, r.because())
}

// waited reports whether a code only tells how the wait for an instance ended at
// the deadline, when the home is told to cancel.
func waited(code result.Code) bool {
	return passing(code) || code == result.CancelledUnsent || code == result.DeadlinePassed
}

// passing reports whether a code tells about one instance or home, so that
// another one was looked for until the deadline.
func passing(code result.Code) bool {
	switch code {
	case result.NotPrimary, result.NoPrimary, result.InstanceBehind, result.InstanceUnreachable,
		result.HomeUnreachable, result.InstanceLeaving:
		return true
	}
	return false
}

// because returns the latest failure as the end of a sentence.
func (r *run) because() string {
	if r.last == nil {
		return ""
	}
	return "; the latest attempt: " + r.last.Error()
}

// attempt runs the batch on an instance.
func (r *run) attempt(use router.Use) outcome {
	lane, err := r.entry.carrier.Open(r.ctx, use.Instance)
	if err != nil {
		if result.OutcomeOf(err) != result.NotRun {
			err = result.New(result.HomeUnreachable, "%v", err)
		}
		r.group.learnFailure(use.Instance, err)
		return outcome{err: err, broken: true}
	}
	r.group.begin(use.Instance)
	r.setLane(lane)
	r.use = use
	r.overtaken.Store(false)
	sent := time.Now()
	out := r.exchange(lane, use)
	if out.report != nil {
		r.group.note(translator.FromReport(out.report), sent)
	}
	r.batch.shared = r.batch.shared || out.broken
	switch {
	case out.err == nil && r.wrongInstance(use, out):
		out.err = result.New(result.NotPrimary, "instance %s does not accept writes", use.Instance)
		out.settled = nil
	case r.undone(out):
		out.err = result.New(result.NotPrimary, "instance %s is no longer the primary", use.Instance)
		out.settled = nil
	}
	if !use.Primary {
		r.group.learnWait(use.Instance, out.err)
		r.waited += time.Since(sent)
	}
	r.group.learnFailure(use.Instance, out.err)
	r.conclude(lane, use, out)
	return out
}

// exchange sends the batch and passes the answer on.
func (r *run) exchange(lane carrier.Lane, use router.Use) outcome {
	open := r.open(use)
	open.Batch = r.wireBatch()
	return r.send(lane, &peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: open}})
}

func (r *run) wireBatch() *peer.Batch {
	return &peer.Batch{Messages: r.batch.messages, Statements: r.batch.used, Last: r.batch.ended}
}

func (r *run) send(lane carrier.Lane, request *peer.CarryRequest) outcome {
	defer r.supervise(lane)()
	if err := r.transmit(lane, request); err != nil {
		return outcome{err: laneError(err), broken: true}
	}
	return r.relay(lane)
}

// laneError returns the error of a broken lane. Unless the lane tells that the
// home got nothing, the request may have arrived.
func laneError(err error) error {
	if result.CodeOf(err) != 0 {
		return err
	}
	return result.New(result.HomeLost, "the lane to the home broke: %v", err)
}

// conclude gives the lane back, or keeps it for the open transaction.
func (r *run) conclude(lane carrier.Lane, use router.Use, out outcome) {
	switch {
	case out.settled != nil && out.settled.TransactionStatus != statusIdle:
		r.pinned = &pin{instance: use.Instance, lane: lane, primary: use.Primary, read: r.plan.read, key: r.plan.key}
	case out.broken:
		r.setLane(nil)
		lane.Close()
		r.group.end(use.Instance)
	default:
		r.setLane(nil)
		r.group.end(use.Instance)
		r.entry.carrier.Release(use.Instance, lane)
	}
	if out.settled != nil {
		r.complete(out)
	}
}

// complete ends the answer to a batch that was settled.
func (r *run) complete(out outcome) {
	r.batch.settleDefinitions(out.confirmed)
	if p := out.settled.Position; p != nil {
		r.tracker.Raise(unit.Position{Term: unit.Term(p.Term), Index: unit.Index(p.Index)})
	}
	if !out.failed {
		r.pendingSettings = append(r.pendingSettings, r.plan.settings...)
	}
	status := byte(out.settled.TransactionStatus)
	if status == statusIdle {
		if !out.failed && !out.rolledBack {
			r.keepSettings()
		}
		r.pendingSettings = nil
		if !r.plan.read && r.plan.key == r.options.key {
			r.options.key = ""
		}
	}
	r.queueReady(status)
}

// keepSettings takes over the settings of a committed transaction.
func (r *run) keepSettings() {
	for _, change := range r.pendingSettings {
		if err := r.set(change); err != nil {
			r.entry.logger.Debug("a setting was not kept", "caller", r.caller, "err", err)
		}
	}
}

// goOn runs a batch of an open transaction.
func (r *run) goOn() {
	r.use = router.Use{Instance: r.pinned.instance, Primary: r.pinned.primary}
	request := &peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: r.wireBatch()}}
	out := r.send(r.pinned.lane, request)
	r.batch.shared = r.batch.shared || out.broken
	if out.err == nil {
		r.finishPinned(out)
		return
	}
	if !out.begun {
		r.ready = r.ready[:0]
	}
	if r.claimsCommit(out) {
		return
	}
	err := out.final()
	if !r.plan.ends && result.OutcomeOf(err) == result.Unknown {
		err = result.New(result.TransactionEnded, "%v", out.err)
	}
	r.refuse(r.batch, r.plan, err)
}

func (r *run) finishPinned(out outcome) {
	if out.settled.TransactionStatus == statusIdle {
		p := r.pinned
		r.setLane(nil)
		r.pinned = nil
		r.group.end(p.instance)
		r.entry.carrier.Release(p.instance, p.lane)
	}
	if out.report != nil {
		r.group.note(translator.FromReport(out.report), time.Time{})
	}
	r.complete(out)
}
