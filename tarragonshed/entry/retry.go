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

// immediateRetries is the number of retries without backoff.
const immediateRetries = 2

// retry reports whether the batch is sent again, and waits for the backoff
// first.
func (r *run) retry(use router.Use, out outcome, attempt int) bool {
	code := result.CodeOf(out.err)
	// A read on the primary may call a function that writes.
	read := r.plan.read && !use.Primary
	if r.shouldClaim(out) {
		r.claiming = true
		return r.excludeInstance(use, attempt)
	}
	if r.becomesUncertain(out) {
		r.uncertainErr = out.err
		r.failed = nil // Replicas that were behind may have caught up.
		return r.excludeInstance(use, attempt)
	}
	if r.writeFailed || r.ctx.Err() != nil || !retrier.Retryable(code.Entry().Outcome, read, out.responseStarted) {
		return false
	}
	if instanceSpecific(code) || code == result.ShuttingDown {
		return r.excludeInstance(use, attempt) // The instance did not run the batch.
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
	return r.excludeInstance(use, attempt)
}

// becomesUncertain reports whether a read on the primary was lost and may be
// repeated on a replica.
func (r *run) becomesUncertain(out outcome) bool {
	if !r.plan.read || r.plan.begins || !r.use.Primary || out.responseStarted || r.writeFailed || r.ctx.Err() != nil {
		return false
	}
	switch result.CodeOf(out.err) {
	case result.HomeLost, result.ConnectionLost:
		return r.group.takeRetry()
	}
	return false
}

// excludeInstance excludes the instance of a failed attempt, and waits for the
// backoff before the next attempt. It returns false if the run was cancelled.
func (r *run) excludeInstance(use router.Use, attempt int) bool {
	if r.failed == nil {
		r.failed = make(map[unit.InstanceName]time.Time)
	}
	r.failed[use.Instance] = time.Now()
	if attempt >= immediateRetries {
		return r.wait(retrier.Backoff{}.Delay(attempt-immediateRetries, rand.Float64()))
	}
	return true
}

func (r *run) wait(delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// finalError returns the error of a batch that is not retried.
func (r *run) finalError(out outcome) error {
	if r.uncertainErr != nil {
		return r.uncertainErr
	}
	err := out.callerError()
	if result.OutcomeOf(err) != result.NotRun {
		return err
	}
	if doneErr := r.doneError(); doneErr != nil {
		return doneErr
	}
	if endsWait(result.CodeOf(err)) {
		return r.unavailable()
	}
	return err
}

// callerError returns the error for the caller. Once a part of the response has
// been written, an error whose outcome is "not run" is replaced, because the
// batch has run.
func (out outcome) callerError() error {
	if out.responseStarted && result.OutcomeOf(out.err) == result.NotRun {
		return result.New(result.ConnectionLost, "%v", out.err)
	}
	return out.err
}

// wrongInstance reports whether the batch had no effect because the instance
// accepts no writes, while another instance may accept them.
func (r *run) wrongInstance(use router.Use, out outcome) bool {
	if !out.readOnly || out.responseStarted || out.settled.TransactionStatus != statusIdle {
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

// cancelledByFailover reports whether the batch was cancelled because another
// instance has become the primary, and did not run or was rolled back.
func (r *run) cancelledByFailover(out outcome) bool {
	switch {
	case !r.superseded.Load() || out.responseStarted || errors.Is(context.Cause(r.ctx), errCancelled):
		return false
	case out.err != nil:
		return result.CodeOf(out.err) == result.CancelledUnsent
	}
	return out.cancelled && !r.plan.ends && out.settled.TransactionStatus == statusIdle
}
