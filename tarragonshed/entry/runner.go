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

// execute runs a batch and queues the end of its response.
func (s *session) execute(b *batch) {
	if b.flushRun != nil {
		b.flushRun.finish()
		return
	}
	if b.fault != nil {
		s.refuse(b, plan{}, b.fault)
		return
	}
	if s.transactionLost() {
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

// refuse responds to a batch with an error. A transaction that was open before
// the batch, or that the batch would have left open, is failed afterwards.
func (s *session) refuse(b *batch, p plan, err error) {
	s.entry.meters.recordRefusal(result.CodeOf(err))
	b.resolveDefinitions(0)
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

// run is the execution of one batch on instances.
type run struct {
	*session
	batch    *batch
	plan     plan
	ctx      context.Context
	deadline time.Time
	failed   map[unit.InstanceName]time.Time
	// lastErr is the error of the latest attempt.
	lastErr error
	// use is the choice of the router for the latest attempt.
	use router.Use
	// superseded is true if the batch was cancelled because another instance
	// has become the primary.
	superseded atomic.Bool
	// replicaWaited is the time that the attempts on replicas have taken. It
	// reduces the time that the read may still wait for a replica.
	replicaWaited time.Duration
	// uncertainErr is the error of a read that may have run on a primary. The
	// read may have called a function that writes, so only an instance that
	// accepts no writes may repeat it.
	uncertainErr error
	// claiming is true if the outcome of a request with a key is unknown. Its
	// key is then claimed, and the request is not sent again.
	claiming bool
}

// newRun returns a run whose deadline starts now, and a function that releases
// its context.
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
		r.runPinned()
		return
	}
	s.group.countRequest()
	primary, ok := r.runUnpinned()
	if ok {
		s.entry.meters.recordServed(r.plan, primary, time.Since(started))
	}
}

// runUnpinned runs a batch outside of a transaction, with retries on other
// instances.
func (r *run) runUnpinned() (primary, ok bool) {
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
		r.lastErr = out.err
		if !r.retry(use, out, attempt) {
			r.refuse(r.batch, r.plan, r.undetermined(r.finalError(out)))
			return false, false
		}
		r.output = r.output[:0]
		r.entry.meters.retries.Inc(1)
	}
}

// choose waits until an instance can serve the batch.
func (r *run) choose() (router.Use, error) {
	if err := r.group.removed(); err != nil {
		return router.Use{}, err
	}
	request := router.Request{
		Write:        !r.plan.read,
		MaxStaleness: r.plan.staleness,
		WaitLimit:    max(0, r.entry.replicaWait-r.replicaWaited),
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
	case r.uncertainErr != nil && (!ok || use.Primary || !r.plan.read):
		return use, r.uncertainErr
	case ok:
		return use, r.doneError()
	}
	defer r.group.startPolling()()
	for {
		effect, updated := r.group.choose(request, r.failed)
		if use, ok := effect.(router.Use); ok {
			return use, r.doneError()
		}
		if err := r.group.removed(); err != nil {
			return router.Use{}, err
		}
		select {
		case <-updated:
		case <-r.ctx.Done():
			return router.Use{}, r.doneError()
		}
	}
}

// floor returns the position that the instance must have reached for a read.
func (r *run) floor() (unit.Position, error) {
	floor, ok := r.tracker.Floor(r.plan.staleness)
	if ok {
		return floor, nil
	}
	index, err := r.group.readIndex(r.ctx)
	if err != nil {
		if doneErr := r.doneError(); result.CodeOf(doneErr) == result.CancelledUnsent {
			return index, doneErr
		}
		return index, err
	}
	r.tracker.Initialize(index)
	return r.tracker.Position(), nil
}

// doneError returns the reason why the batch can't be sent any longer, or nil
// if the context of the run is not done.
func (r *run) doneError() error {
	switch {
	case r.ctx.Err() == nil:
		return nil
	case r.uncertainErr != nil:
		return r.uncertainErr
	case errors.Is(context.Cause(r.ctx), errCancelled):
		return result.New(result.CancelledUnsent, "cancelled before it was sent")
	case r.entry.ctx.Err() != nil:
		return result.New(result.ShuttingDown, "the daemon is shutting down")
	case r.lastErr != nil && result.OutcomeOf(r.lastErr) == result.NotRun && !endsWait(result.CodeOf(r.lastErr)):
		return r.lastErr
	}
	return r.unavailable()
}

// unavailable returns the error of a batch for which no instance was found
// before the deadline.
func (r *run) unavailable() error {
	if r.plan.read {
		return result.New(result.NoReplica, "no instance of group %s could serve the read in time%s", r.database, r.lastFailure())
	}
	return result.New(result.NoPrimary, "no primary of group %s was found in time%s", r.database, r.lastFailure())
}

// endsWait reports whether a code only describes how the wait for an instance
// ended, including the cancellation that the home receives at the deadline.
func endsWait(code result.Code) bool {
	return instanceSpecific(code) || code == result.CancelledUnsent || code == result.DeadlinePassed
}

// instanceSpecific reports whether a code concerns one instance or home only,
// so that the run looks for another one until the deadline.
func instanceSpecific(code result.Code) bool {
	switch code {
	case result.NotPrimary, result.NoPrimary, result.InstanceBehind, result.InstanceUnreachable,
		result.HomeUnreachable, result.InstanceLeaving:
		return true
	}
	return false
}

// lastFailure returns the error of the latest attempt as a suffix for an error
// message.
func (r *run) lastFailure() string {
	if r.lastErr == nil {
		return ""
	}
	return "; the latest attempt: " + r.lastErr.Error()
}

// attempt runs the batch on an instance.
func (r *run) attempt(use router.Use) outcome {
	stream, err := r.entry.carrier.Open(r.ctx, use.Instance)
	if err != nil {
		if result.OutcomeOf(err) != result.NotRun {
			err = result.New(result.HomeUnreachable, "%v", err)
		}
		r.group.recordFailure(use.Instance, err)
		return outcome{err: err, broken: true}
	}
	r.group.beginStatement(use.Instance)
	r.setStream(stream)
	r.use = use
	r.superseded.Store(false)
	sent := time.Now()
	out := r.exchange(stream, use)
	if out.report != nil {
		r.group.recordReport(translator.FromReport(out.report), sent)
	}
	r.batch.shared = r.batch.shared || out.broken
	switch {
	case out.err == nil && r.wrongInstance(use, out):
		out.err = result.New(result.NotPrimary, "instance %s does not accept writes", use.Instance)
		out.settled = nil
	case r.cancelledByFailover(out):
		out.err = result.New(result.NotPrimary, "instance %s is no longer the primary", use.Instance)
		out.settled = nil
	}
	if !use.Primary {
		r.group.recordReplicaWait(use.Instance, out.err)
		r.replicaWaited += time.Since(sent)
	}
	r.group.recordFailure(use.Instance, out.err)
	r.finishAttempt(stream, use, out)
	return out
}

// exchange sends the batch in the request that opens the transaction, and
// forwards the response.
func (r *run) exchange(stream carrier.Stream, use router.Use) outcome {
	open := r.openRequest(use)
	open.Batch = r.wireBatch()
	return r.send(stream, &peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: open}})
}

func (r *run) wireBatch() *peer.Batch {
	return &peer.Batch{Messages: r.batch.messages, Statements: r.batch.referenced, Last: r.batch.ended}
}

func (r *run) send(stream carrier.Stream, request *peer.CarryRequest) outcome {
	defer r.supervise(stream)()
	if err := r.transmit(stream, request); err != nil {
		return outcome{err: streamError(err), broken: true}
	}
	return r.relay(stream)
}

// streamError returns the error of a broken stream. Unless the stream reports
// that the home has received nothing, the request may have arrived.
func streamError(err error) error {
	if result.CodeOf(err) != 0 {
		return err
	}
	return result.New(result.HomeLost, "the stream to the home broke: %v", err)
}

// finishAttempt releases the stream, or pins it to the session if a transaction
// is open.
func (r *run) finishAttempt(stream carrier.Stream, use router.Use, out outcome) {
	switch {
	case out.settled != nil && out.settled.TransactionStatus != statusIdle:
		r.pinned = &pin{instance: use.Instance, stream: stream, primary: use.Primary, read: r.plan.read, key: r.plan.key}
	case out.broken:
		r.setStream(nil)
		stream.Close()
		r.group.endStatement(use.Instance)
	default:
		r.setStream(nil)
		r.group.endStatement(use.Instance)
		r.entry.carrier.Release(use.Instance, stream)
	}
	if out.settled != nil {
		r.completeBatch(out)
	}
}

// completeBatch applies the result of a settled batch to the session and ends
// the response.
func (r *run) completeBatch(out outcome) {
	r.batch.resolveDefinitions(out.confirmed)
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

// keepSettings stores the settings of a committed transaction in the session.
func (r *run) keepSettings() {
	for _, change := range r.pendingSettings {
		if err := r.set(change); err != nil {
			r.entry.logger.Debug("a setting of a committed transaction could not be stored in the session", "caller", r.caller, "err", err)
		}
	}
}

// runPinned runs a batch in the open transaction.
func (r *run) runPinned() {
	r.use = router.Use{Instance: r.pinned.instance, Primary: r.pinned.primary}
	request := &peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: r.wireBatch()}}
	out := r.send(r.pinned.stream, request)
	r.batch.shared = r.batch.shared || out.broken
	if out.err == nil {
		r.finishPinned(out)
		return
	}
	if !out.responseStarted {
		r.output = r.output[:0]
	}
	if r.claimCommit(out) {
		return
	}
	err := out.callerError()
	if !r.plan.ends && result.OutcomeOf(err) == result.Unknown {
		err = result.New(result.TransactionEnded, "%v", out.err)
	}
	r.refuse(r.batch, r.plan, err)
}

func (r *run) finishPinned(out outcome) {
	if out.settled.TransactionStatus == statusIdle {
		p := r.pinned
		r.setStream(nil)
		r.pinned = nil
		r.group.endStatement(p.instance)
		r.entry.carrier.Release(p.instance, p.stream)
	}
	if out.report != nil {
		r.group.recordReport(translator.FromReport(out.report), time.Time{})
	}
	r.completeBatch(out)
}
