package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// shouldClaim reports whether the request has a key and its outcome is unknown,
// so that the key has to be claimed. A claim makes the primary return the
// outcome of the request, or prevents the request from running later.
func (r *run) shouldClaim(out outcome) bool {
	if r.plan.key == "" || r.plan.read || out.responseStarted || r.writeFailed || r.ctx.Err() != nil {
		return false
	}
	switch result.CodeOf(out.err) {
	case result.ConnectionLost, result.HomeLost, result.Unconfirmed, result.KeyUndetermined:
		return true
	}
	return false
}

// claimCommit claims the key of a transaction whose COMMIT has an unknown
// outcome. It reports whether the batch has been answered.
func (r *run) claimCommit(out outcome) bool {
	r.plan.key, r.plan.read = r.pinned.key, r.pinned.read
	if !r.plan.ends || !r.shouldClaim(out) {
		return false
	}
	r.unpin()
	r.claiming = true
	r.failed = map[unit.InstanceName]time.Time{}
	r.runUnpinned()
	return true
}

// undetermined returns the error for the caller. While a key is being claimed,
// an error does not prove that the request has not run, so that
// [result.KeyUndetermined] replaces it.
func (r *run) undetermined(err error) error {
	if !r.claiming || result.CodeOf(err) == result.RequestCancelled || result.OutcomeOf(err) != result.NotRun {
		return err
	}
	return result.New(result.KeyUndetermined, "the request key could not be claimed: %v", err)
}
