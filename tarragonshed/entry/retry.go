package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/retrier"
	"tarragonshed.example/router"
	"tarragonshed.example/unit"
)

// promptRetries is the number of retries without a delay.
const promptRetries = 2

// again reports whether the batch is to be sent again, and waits before it is.
func (r *run) again(use router.Use, out outcome, attempt int) bool {
	code := result.CodeOf(out.err)
	// A read on the primary may call a function that writes.
	read := r.plan.read && !use.Primary
	if r.claims(out) {
		r.claiming = true
		return r.passOver(use, attempt)
	}
	if r.becomesUncertain(out) {
		r.uncertain = out.err
		r.failed = nil // Replicas that were behind may have caught up.
		return r.passOver(use, attempt)
	}
	if r.broken || r.ctx.Err() != nil || !retrier.Retryable(code.Entry().Outcome, read, out.begun) {
		return false
	}
	if passing(code) || code == result.ShuttingDown {
		return r.passOver(use, attempt) // The instance did no work for it.
	}
	switch code {
	case result.ConnectionsExhausted, result.HomeLost, result.ConnectionLost:
		if !r.group.takeRetry() {
			return false
		}
	case result.Overloaded, result.NoReplica:
		if !r.plan.read || !r.group.takeRetry() {
			return false
		}
	default:
		return false
	}
	return r.passOver(use, attempt)
}

// becomesUncertain reports whether a read on the primary was lost, which a
// replica may still be able to answer.
func (r *run) becomesUncertain(out outcome) bool {
	if !r.plan.read || r.plan.begins || !r.use.Primary || out.begun || r.broken || r.ctx.Err() != nil {
		return false
	}
	switch result.CodeOf(out.err) {
	case result.HomeLost, result.ConnectionLost:
		return r.group.takeRetry()
	}
	return false
}

// passOver notes that an instance failed, and waits before the next attempt.
func (r *run) passOver(use router.Use, attempt int) bool {
	if r.failed == nil {
		r.failed = make(map[unit.InstanceName]time.Time)
	}
	r.failed[use.Instance] = time.Now()
	if attempt >= promptRetries {
		return r.pause(retrier.Backoff{}.Delay(attempt-promptRetries, rand.Float64()))
	}
	return true
}

func (r *run) pause(delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// giveUp returns the error of a batch that is not sent again.
func (r *run) giveUp(out outcome) error {
	if r.uncertain != nil {
		return r.uncertain
	}
	err := out.final()
	if result.OutcomeOf(err) != result.NotRun {
		return err
	}
	if late := r.late(); late != nil {
		return late
	}
	if waited(result.CodeOf(err)) {
		return r.unavailable()
	}
	return err
}

// final returns the error for the caller. A refusal does not say that nothing
// ran once a part of the answer is out.
func (out outcome) final() error {
	if out.begun && result.OutcomeOf(out.err) == result.NotRun {
		return result.New(result.ConnectionLost, "%v", out.err)
	}
	return out.err
}

// wrongInstance reports whether the batch did not run because the instance does
// not write, though another one may.
func (r *run) wrongInstance(use router.Use, out outcome) bool {
	if !out.readOnly || out.begun || out.settled.TransactionStatus != statusIdle {
		return false
	}
	if r.plan.read && !r.plan.begins {
		// The statement calls a function that writes.
		r.plan.read = false
		return true
	}
	writable := out.report != nil && out.report.Role == string(instance.Primary) && !out.report.Quiesced
	return !use.Primary || !writable
}

// undone reports whether the batch was cancelled because of another primary, and
// did not run or was rolled back.
func (r *run) undone(out outcome) bool {
	switch {
	case !r.overtaken.Load() || out.begun || errors.Is(context.Cause(r.ctx), errCancelled):
		return false
	case out.err != nil:
		return result.CodeOf(out.err) == result.CancelledUnsent
	}
	return out.cancelled && !r.plan.ends && out.settled.TransactionStatus == statusIdle
}
