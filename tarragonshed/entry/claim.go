package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// claims reports whether the key of a request whose outcome is unknown is to be
// claimed: the primary then tells what became of the request, or it can't run
// any more.
func (r *run) claims(out outcome) bool {
	if r.plan.key == "" || r.plan.read || out.begun || r.broken || r.ctx.Err() != nil {
		return false
	}
	switch result.CodeOf(out.err) {
	case result.ConnectionLost, result.HomeLost, result.Unconfirmed, result.KeyUndetermined:
		return true
	}
	return false
}

// claimsCommit finds out about a COMMIT whose outcome is unknown, of a
// transaction with a key. It reports whether the batch has been answered.
func (r *run) claimsCommit(out outcome) bool {
	r.plan.key, r.plan.read = r.pinned.key, r.pinned.read
	if !r.plan.ends || !r.claims(out) {
		return false
	}
	r.unpin()
	r.claiming = true
	r.failed = map[unit.InstanceName]time.Time{}
	r.begin()
	return true
}

// undetermined returns the error for the caller: while a key is being claimed,
// the request is not known not to have run.
func (r *run) undetermined(err error) error {
	if !r.claiming || result.CodeOf(err) == result.RequestCancelled || result.OutcomeOf(err) != result.NotRun {
		return err
	}
	return result.New(result.KeyUndetermined, "the request key could not be claimed: %v", err)
}
