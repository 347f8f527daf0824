package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/retrier"
	"tarragonshed.example/router"
	"tarragonshed.example/unit"
)

// reserveDivisor sets the fraction 1/reserveDivisor of a statement's remaining time that
// is reserved for running it. A statement that can't be sent before this reserve begins is
// refused as not run.
const reserveDivisor = 8

// latestSend returns the time until which a statement with the deadline may wait before it
// is sent.
func latestSend(deadline time.Time) time.Time {
	return deadline.Add(-time.Until(deadline) / reserveDivisor)
}

// job is a statement outside of a transaction that is to run on an instance.
type job struct {
	session  *Session
	route    manifest.Route
	group    *group
	caller   *manifest.Caller
	call     call
	began    unit.Instant
	deadline time.Time

	excluded map[unit.InstanceName]bool
	attempts int
	// shed is true if the last instance had no slot for the statement.
	shed bool
}

// run runs the statement on an instance that may serve it.
func (j *job) run() Answer {
	if j.call.writes || j.call.withoutPosition || j.route.Consistency == manifest.PrimaryReads {
		return j.runAtPrimary()
	}
	return j.runAtAnyInstance()
}

// runAtPrimary runs the statement on the primary.
func (j *job) runAtPrimary() Answer {
	e := j.session.engine
	sendBy := latestSend(j.deadline)
	for {
		t, l, err := j.group.awaitPrimary(e.waiting, sendBy)
		if err != nil {
			return Answer{Err: err}
		}
		reply, err := j.execute(t, priorityOf(j.call.writes, true), unit.Position{})
		if err == nil && j.call.writes {
			j.group.acknowledge(reply.Position)
		}
		if err == nil && !e.authority.Holds(l) {
			err = result.New(result.AuthorityLost, "instance %s may no longer be the primary", t.name())
		}
		if err == nil {
			j.group.observe(reply.Position, j.began)
			if j.call.writes {
				j.session.recordWrite(reply.Position)
			}
			return answerOf(reply)
		}
		if !j.prepareRetry(t, err, sendBy) {
			return Answer{Err: err}
		}
	}
}

// runAtAnyInstance runs a read on any instance that has reached the required position.
func (j *job) runAtAnyInstance() Answer {
	e := j.session.engine
	sendBy := latestSend(j.deadline)
	for {
		candidate, after, err := j.chooseInstance(sendBy)
		if err != nil {
			return Answer{Err: err}
		}
		t, ok := j.group.find(candidate.Instance)
		if !ok {
			j.group.recordRead(candidate.Instance, errNotSent())
			continue
		}
		reply, err := j.execute(t, limiter.StaleRead, after)
		j.group.recordRead(candidate.Instance, err)
		t.recordLag(j.session.stalenessBound(j.route, j.began), err)
		if err == nil {
			e.meters.recordStatement(false, candidate.Primary, e.now().Sub(j.began))
			return answerOf(reply)
		}
		if !j.prepareRetry(t, err, sendBy) {
			return Answer{Err: err}
		}
	}
}

// errNotSent returns the error of a read for which an instance was chosen that has left.
func errNotSent() *result.Error {
	return result.New(result.InstanceLeaving, "the instance has left the group")
}

// chooseInstance returns the instance for a read and the position that it must have
// reached.
func (j *job) chooseInstance(until time.Time) (router.ReadCandidate, unit.Position, *result.Error) {
	e := j.session.engine
	after, err := j.session.floor(e.waiting, j.group, j.route, j.began, until)
	if err != nil {
		return router.ReadCandidate{}, after, err
	}
	for {
		if candidate, ok := j.group.chooseRead(j.route, j.excluded, j.session.stalenessBound(j.route, j.began)); ok {
			return candidate, after, nil
		}
		if len(j.excluded) == 0 && !time.Now().Before(until) {
			return router.ReadCandidate{}, after, result.New(result.NoReplica, "group %s has no instance for the read", j.group.name)
		}
		j.excluded = nil
		if !pause(e.waiting, retrier.Backoff{}.Delay(j.attempts, rand.Float64()), until) {
			return router.ReadCandidate{}, after, result.New(result.NoReplica, "group %s has no instance for the read", j.group.name)
		}
		j.attempts++
	}
}

// floor returns the position that a read with the start time began must observe.
func (s *Session) floor(ctx context.Context, g *group, r manifest.Route, began unit.Instant, until time.Time) (unit.Position, *result.Error) {
	var own unit.Position
	if r.Consistency == manifest.SessionReads {
		own = s.written.Position()
	}
	return g.awaitFloor(ctx, began.Add(-r.MaxStaleness), own, until)
}

// stalenessBound returns the greatest age of data that a read with the start time began
// may return. With session reads it is at most the time since the session's last write.
func (s *Session) stalenessBound(r manifest.Route, began unit.Instant) time.Duration {
	if r.Consistency != manifest.SessionReads || s.written.Position().IsZero() {
		return r.MaxStaleness
	}
	return min(r.MaxStaleness, began.Sub(s.wroteAt))
}

// execute runs the statement on the target.
func (j *job) execute(t *target, p limiter.Priority, after unit.Position) (Reply, *result.Error) {
	e := j.session.engine
	j.shed = false
	lease := t.lease(e.ctx, leaseRequest(t, j.route, j.caller, p, j.deadline))
	defer lease.End()
	c := j.call.Call
	c.After = after
	began := e.now()
	reply, err := lease.Run(c, j.deadline)
	if err != nil {
		return Reply{}, err
	}
	j.shed = reply.Err != nil && reply.Err.Code == result.Overloaded
	if reply.Err == nil && j.call.writes {
		e.meters.recordStatement(true, true, e.now().Sub(began))
	}
	return reply, reply.Err
}

// leaseRequest returns the request for a lease of the target for a statement with the deadline.
// Its target latency counts from the same begin, also if it is sent again.
func leaseRequest(t *target, r manifest.Route, caller *manifest.Caller, p limiter.Priority, deadline time.Time) LeaseRequest {
	request := LeaseRequest{
		Group: t.group.name, Instance: t.name(), Incarnation: t.instance.Incarnation,
		Caller: caller.Name, Priority: p, Rank: limiter.Rank{Route: r.Priority, Caller: caller.Priority},
		Deadline: latestSend(deadline),
	}
	if r.TargetLatency > 0 {
		request.Target = deadline.Add(r.TargetLatency - timeout(r))
	}
	return request
}

// prepareRetry reports whether the statement is to be run again. It excludes the target
// and waits for the backoff where one is needed.
func (j *job) prepareRetry(t *target, err *result.Error, until time.Time) bool {
	e := j.session.engine
	read := !j.call.writes
	retryable := retrier.Retryable(err.Code.Entry().Outcome, read, false) || read && err.Code == result.StatementFailed
	if !retryable || final(err.Code) || !time.Now().Before(until) {
		return false
	}
	if j.excluded == nil {
		j.excluded = make(map[unit.InstanceName]bool)
	}
	j.excluded[t.name()] = true
	e.meters.retries.Inc(1)
	e.logRetry(j.call.ID, t, err, len(j.excluded))
	switch err.Code {
	case result.InstanceBehind:
		return true // The instance did no work for the statement.
	case result.Overloaded, result.StatementFailed, result.ConnectionLost, result.HomeLost, result.ConnectionUnprepared:
		// A statement that the instance shed needs no retry budget: the limiter has
		// narrowed its window of statements and bounds the retries.
		if !j.shed && !j.group.takeRetry() {
			return false
		}
	}
	if read && j.route.Consistency != manifest.PrimaryReads {
		return true // Another instance can be tried at once.
	}
	j.attempts++
	return pause(e.waiting, retrier.Backoff{}.Delay(j.attempts, rand.Float64()), until)
}

// final reports whether an error would be the same on any instance, or leaves no time for one.
func final(c result.Code) bool {
	return c == result.StatementTimeout || c == result.StatementTooLarge || c == result.ProtocolViolation
}

// pause sleeps for d. It returns false, without sleeping, if d exceeds the time that is
// left until the given time, and false if the context ends.
func pause(ctx context.Context, d time.Duration, until time.Time) bool {
	if time.Now().Add(d).After(until) {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// answerOf returns the answer for a successful reply.
func answerOf(r Reply) Answer {
	return Answer{Rows: r.Rows, Receipt: r.Receipt, Position: r.Position}
}
