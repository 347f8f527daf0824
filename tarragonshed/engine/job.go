package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/retrier"
	"tarragonshed.example/router"
	"tarragonshed.example/unit"
)

// startMargin is the part of a statement's time that is kept for running it: a
// statement that can't be sent before is refused as not run.
const startMargin = 8

// latest returns until when a statement may wait before it is sent.
func latest(deadline time.Time) time.Time {
	return deadline.Add(-time.Until(deadline) / startMargin)
}

// job is a statement outside of a transaction, on its way to an instance.
type job struct {
	session  *Session
	route    manifest.Route
	group    *group
	run      run
	began    unit.Instant
	deadline time.Time

	excluded map[unit.InstanceName]bool
	attempts int
	// shed tells that the last instance had no slot for the statement.
	shed bool
}

// atPrimary runs the statement at the primary.
func (j *job) atPrimary() Answer {
	e := j.session.engine
	wait := latest(j.deadline)
	for {
		t, l, err := j.group.awaitPrimary(e.ctx, wait)
		if err != nil {
			return Answer{Err: err}
		}
		reply, err := j.execute(t, priorityOf(j.run.writes, true), unit.Position{})
		if err == nil && !e.authority.Holds(l) {
			err = result.New(result.AuthorityLost, "instance %s may have been replaced", t.name())
		}
		if err == nil {
			j.group.observe(reply.Position, j.began)
			if j.run.writes {
				j.session.wrote(reply.Position)
			}
			return answerOf(reply)
		}
		if !j.again(t, err, wait) {
			return Answer{Err: err}
		}
	}
}

// anywhere runs a read at any instance that has what it must see.
func (j *job) anywhere() Answer {
	e := j.session.engine
	wait := latest(j.deadline)
	for {
		site, after, err := j.place(wait)
		if err != nil {
			return Answer{Err: err}
		}
		t, ok := j.group.find(site.Instance)
		if !ok {
			continue
		}
		reply, err := j.execute(t, limiter.StaleRead, after)
		t.learnLag(j.session.accepts(j.route, j.began), err)
		if err == nil {
			e.figures.ran(false, site.Primary, e.now().Sub(j.began))
			return answerOf(reply)
		}
		if !j.again(t, err, wait) {
			return Answer{Err: err}
		}
	}
}

// place chooses the instance for a read and the position that it must reach.
func (j *job) place(until time.Time) (router.ReadCandidate, unit.Position, *result.Error) {
	e := j.session.engine
	after, err := j.session.floor(e.ctx, j.group, j.route, j.began, until)
	if err != nil {
		return router.ReadCandidate{}, after, err
	}
	for {
		if site, ok := router.LowestCost(j.group.sites(j.excluded, j.session.accepts(j.route, j.began))); ok {
			return site, after, nil
		}
		if len(j.excluded) == 0 && !time.Now().Before(until) {
			return router.ReadCandidate{}, after, result.New(result.NoReplica, "group %s has no instance for the read", j.group.name)
		}
		j.excluded = nil
		if !pause(e.ctx, retrier.Backoff{}.Delay(j.attempts, rand.Float64()), until) {
			return router.ReadCandidate{}, after, result.New(result.NoReplica, "group %s has no instance for the read", j.group.name)
		}
		j.attempts++
	}
}

// floor returns the position that a read which began at began must see.
func (s *Session) floor(ctx context.Context, g *group, r manifest.Route, began unit.Instant, until time.Time) (unit.Position, *result.Error) {
	var own unit.Position
	if r.Consistency == manifest.SessionReads {
		own = s.written.Position()
	}
	return g.awaitFloor(ctx, began.Add(-r.MaxStaleness), own, until)
}

// accepts returns the age of the data that a read accepts which began at began.
func (s *Session) accepts(r manifest.Route, began unit.Instant) time.Duration {
	if r.Consistency != manifest.SessionReads || s.written.Position().IsZero() {
		return r.MaxStaleness
	}
	return min(r.MaxStaleness, began.Sub(s.wroteAt))
}

// execute runs the statement on the target.
func (j *job) execute(t *target, p limiter.Priority, after unit.Position) (Reply, *result.Error) {
	e := j.session.engine
	j.shed = false
	b, err := t.borrow(e.ctx, p, latest(j.deadline))
	if err != nil {
		return Reply{}, err
	}
	if j.run.writes && !e.authority.Holds(b.leadership(j)) {
		b.release()
		return Reply{}, result.New(result.NotPrimary, "instance %s may have been replaced", t.name())
	}
	began := e.now()
	reply, err := b.roundTrip(j.deadline, b.link.requests(j.run, after, false)...)
	if err != nil {
		b.settle(Idle)
		return Reply{}, err
	}
	j.shed = b.shed
	if reply.State != Idle {
		b.settle(reply.State)
	} else {
		b.release()
	}
	if reply.Err == nil && j.run.writes {
		e.figures.ran(true, true, e.now().Sub(began))
	}
	return reply, reply.Err
}

// leadership returns the row under which the job uses the target as the primary.
func (b *loan) leadership(j *job) authorizer.Leadership {
	l, _ := j.session.engine.authority.Primary(j.group.name)
	if l.Primary != b.target.name() {
		return authorizer.Leadership{}
	}
	return l
}

// again reports whether the statement is to be run once more, after a pause where
// one is due.
func (j *job) again(t *target, err *result.Error, until time.Time) bool {
	e := j.session.engine
	read := !j.run.writes
	repeatable := retrier.Retryable(err.Code.Entry().Outcome, read, false) || read && err.Code == result.StatementFailed
	if !repeatable || err.Code == result.StatementTimeout || !time.Now().Before(until) {
		return false
	}
	if j.excluded == nil {
		j.excluded = make(map[unit.InstanceName]bool)
	}
	j.excluded[t.name()] = true
	e.figures.retries.Inc(1)
	e.reportRetry(j.run.id, t, err, len(j.excluded))
	switch err.Code {
	case result.InstanceBehind:
		return true // The instance did no work for it.
	case result.Overloaded, result.StatementFailed, result.ConnectionLost:
		// What an instance shed waits for the window of statements, which has
		// narrowed: it needs no other bound.
		if !j.shed && !j.group.takeRetry() {
			return false
		}
	}
	if read && j.route.Consistency != manifest.PrimaryReads {
		return true // There are other instances.
	}
	j.attempts++
	return pause(e.ctx, retrier.Backoff{}.Delay(j.attempts, rand.Float64()), until)
}

// pause waits, and returns false if the time until then is too short for it.
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

// answerOf is the answer that passes a reply on.
func answerOf(r Reply) Answer {
	return Answer{Rows: r.Rows, Receipt: r.Receipt, Position: r.Position}
}
