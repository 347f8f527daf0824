package engine

import (
	"math/rand/v2"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/retrier"
	"tarragonshed.example/unit"
)

// overdueAfter is how long a statement of an open transaction waits for a slot before it
// may exceed the slots: the statements that hold them may be waiting for its locks.
const overdueAfter = 5 * time.Millisecond

// transaction is an open transaction of a session. Its BEGIN is sent together with the
// session's values before its first statement.
type transaction struct {
	session  *Session
	route    manifest.Route
	group    *group
	caller   *manifest.Caller
	readOnly bool
	began    unit.Instant

	// target is the instance on which the transaction runs, and lease its use. Both are nil
	// before the first statement.
	target *target
	lease  Lease
	// atPrimary is true if the transaction runs on the primary and depends on leadership.
	atPrimary  bool
	leadership authorizer.Leadership
	// wrote is true if a write may have run in the transaction.
	wrote bool
	// idleTimer rolls the transaction back if it has been idle for too long since
	// idleSince.
	idleTimer *time.Timer
	idleSince time.Time
}

func (s *Session) begin(st Begin) Answer {
	if s.state != Idle {
		return protocolError("BEGIN", "a transaction is open already")
	}
	route, g, caller, err := s.admit()
	if err != nil {
		return Answer{Err: err}
	}
	g.countRequest()
	s.state = Open
	s.tx = &transaction{session: s, route: route, group: g, caller: caller, readOnly: st.ReadOnly, began: s.engine.now()}
	return Answer{}
}

// startIdleTimer bounds the time until the next statement.
func (t *transaction) startIdleTimer() {
	limit := t.session.engine.transactionIdleTimeout()
	if limit <= 0 || t.lease == nil {
		return
	}
	t.idleSince = time.Now()
	if t.idleTimer != nil {
		t.idleTimer.Reset(limit)
		return
	}
	s := t.session
	t.idleTimer = time.AfterFunc(limit, func() { s.expire(t, limit) })
}

// expire rolls back a transaction that has been idle for the limit.
func (s *Session) expire(t *transaction, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != t || time.Since(t.idleSince) < limit {
		return // Another statement has run since.
	}
	s.engine.meters.transactionsExpired.Inc(1)
	s.endTransaction(Failed)
	s.pendingErr = result.New(result.RolledBack, "the transaction was idle for too long")
}

// run runs a statement in the transaction.
func (t *transaction) run(c call) Answer {
	t.stopIdleTimer()
	if err := t.checkKey(); err != nil {
		return t.fail(err)
	}
	until := deadline(t.route)
	if t.lease == nil {
		if err := t.start(c.Values, until); err != nil {
			return t.fail(err)
		}
	}
	if c.writes {
		t.wrote = true
	}
	sentAt := t.session.engine.now()
	reply, err := t.sendStatement(c, until)
	if err != nil {
		return t.fail(t.callerError(err))
	}
	if t.atPrimary {
		t.group.observe(reply.Position, sentAt)
	}
	t.session.engine.meters.recordStatement(c.writes, t.atPrimary, t.session.engine.now().Sub(sentAt))
	return answerOf(reply)
}

// sendStatement sends one statement, and retries it if the instance had no slot for it.
func (t *transaction) sendStatement(c call, until time.Time) (Reply, *result.Error) {
	e := t.session.engine
	for attempt := 0; ; attempt++ {
		reply, err := t.lease.Run(c.Call, until)
		if err != nil {
			return Reply{}, err
		}
		if t.atPrimary && !e.authority.Holds(t.leadership) {
			return Reply{}, result.New(result.AuthorityLost, "instance %s may no longer be the primary", t.target.name())
		}
		if reply.Err == nil {
			return reply, nil
		}
		retry := reply.Err.Code == result.Overloaded && reply.State == Open && t.group.takeRetry()
		if !retry || !pause(e.waiting, retrier.Backoff{}.Delay(attempt, rand.Float64()), latestSend(until)) {
			return Reply{}, reply.Err
		}
	}
}

// start chooses an instance and begins the transaction there.
func (t *transaction) start(values map[string]string, until time.Time) *result.Error {
	sendBy := latestSend(until)
	attempts := 0
	var excluded map[unit.InstanceName]bool
	for {
		target, after, err := t.choose(excluded, sendBy)
		if err == nil {
			err = t.startAt(target, values, after, until)
			if !t.atPrimary {
				t.group.recordRead(target.name(), err)
				target.recordLag(t.session.stalenessBound(t.route, t.began), err)
			}
		}
		if err == nil {
			return nil
		}
		if target == nil || !mayRestart(err) || !time.Now().Before(sendBy) {
			return err
		}
		if excluded == nil || t.atPrimary {
			excluded = make(map[unit.InstanceName]bool)
		}
		excluded[target.name()] = true
		if err.Code != result.InstanceBehind && !t.group.takeRetry() {
			return err
		}
		if t.atPrimary || len(t.group.readCandidates(excluded, t.session.stalenessBound(t.route, t.began))) == 0 {
			attempts++
			excluded = nil
			if !pause(t.session.engine.waiting, retrier.Backoff{}.Delay(attempts, rand.Float64()), sendBy) {
				return err
			}
		}
	}
}

// mayRestart reports whether a failed BEGIN may be sent again, also to another instance.
// No statement has run in the transaction, so this is safe even if the outcome is unknown.
func mayRestart(err *result.Error) bool {
	outcome := err.Code.Entry().Outcome
	return outcome == result.NotRun || outcome == result.Unknown && err.Code != result.StatementTimeout
}

// choose returns the target on which to begin the transaction, and the position that the
// instance must have reached.
func (t *transaction) choose(excluded map[unit.InstanceName]bool, until time.Time) (*target, unit.Position, *result.Error) {
	s := t.session
	t.atPrimary = !t.readOnly || t.route.Consistency == manifest.PrimaryReads
	if t.atPrimary {
		chosen, l, err := t.group.awaitPrimary(s.engine.waiting, until)
		t.leadership = l
		return chosen, unit.Position{}, err
	}
	after, err := s.floor(s.engine.waiting, t.group, t.route, t.began, until)
	if err != nil {
		return nil, after, err
	}
	candidate, ok := t.group.chooseRead(t.route, excluded, t.session.stalenessBound(t.route, t.began))
	if !ok {
		return nil, after, result.New(result.NoReplica, "group %s has no instance for the transaction", t.group.name)
	}
	chosen, _ := t.group.find(candidate.Instance)
	if chosen == nil {
		t.group.recordRead(candidate.Instance, errNotSent())
		return nil, after, result.New(result.NoReplica, "instance %s has left group %s", candidate.Instance, t.group.name)
	}
	return chosen, after, nil
}

func (t *transaction) startAt(chosen *target, values map[string]string, after unit.Position, until time.Time) *result.Error {
	e := t.session.engine
	priority := limiter.StaleRead
	if t.atPrimary {
		priority = limiter.Write
	}
	lease := chosen.lease(e.ctx, leaseRequest(chosen, t.route, t.caller, priority, until))
	reply, err := lease.Run(Call{Statement: Begin{ReadOnly: t.readOnly}, Values: values, After: after}, until)
	if err == nil {
		err = reply.Err
	}
	if err == nil && t.atPrimary && !e.authority.Holds(t.leadership) {
		err = result.New(result.NotPrimary, "instance %s may no longer be the primary", chosen.name())
	}
	if err != nil {
		lease.End()
		return err
	}
	t.target, t.lease = chosen, lease
	return nil
}

// callerError returns the error to report for a statement that failed with err. COMMIT was
// not sent, so the transaction has no effect.
func (t *transaction) callerError(err *result.Error) *result.Error {
	switch err.Code {
	case result.StatementFailed, result.StatementTimeout, result.AnswerCut, result.StatementTooLarge, result.ProtocolViolation:
		return err
	}
	return result.New(result.RolledBack, "%v", err)
}

// fail rolls back the transaction at the instance. For the caller, the failed transaction
// stays open until the caller ends it.
func (t *transaction) fail(err *result.Error) Answer {
	t.session.endTransaction(Failed)
	return Answer{Err: err}
}

// commit commits the transaction. A transaction without a statement is begun first,
// because a COMMIT succeeds only if an instance confirms it.
func (s *Session) commit(id unit.RequestID) Answer {
	t := s.tx
	t.stopIdleTimer()
	e := s.engine
	if err := t.checkKey(); err != nil {
		s.endTransaction(Idle)
		return Answer{Err: err}
	}
	until := deadline(t.route)
	if t.lease == nil {
		if err := t.start(s.values, until); err != nil {
			s.endTransaction(Idle)
			return Answer{Err: result.New(result.RolledBack, "%v", err)}
		}
	}
	if t.wrote && !e.authority.Holds(t.leadership) {
		s.endTransaction(Idle)
		return Answer{Err: result.New(result.RolledBack, "instance %s may no longer be the primary", t.target.name())}
	}
	sentAt := e.now()
	reply, err := t.lease.Run(Call{ID: id, Statement: Commit{}, Values: s.values}, until)
	s.tx, s.state = nil, Idle
	t.lease.End()
	if err != nil {
		return Answer{Err: t.commitError(err)}
	}
	if reply.Err != nil {
		return Answer{Err: reply.Err}
	}
	if t.wrote {
		t.group.acknowledge(reply.Position)
	}
	if t.wrote && !e.authority.Holds(t.leadership) {
		return Answer{Err: result.New(result.AuthorityLost, "instance %s may no longer be the primary", t.target.name())}
	}
	if t.atPrimary && e.authority.Holds(t.leadership) {
		t.group.observe(reply.Position, sentAt)
	}
	if t.wrote {
		s.recordWrite(reply.Position)
	}
	return answerOf(reply)
}

// commitError returns the error of a COMMIT whose reply did not arrive.
func (t *transaction) commitError(err *result.Error) *result.Error {
	if t.wrote && err.Code.Entry().Outcome != result.NotRun {
		return err
	}
	return result.New(result.RolledBack, "COMMIT was not sent or the transaction wrote nothing: %v", err)
}

// stopIdleTimer stops the idle timer while a statement runs.
func (t *transaction) stopIdleTimer() {
	if t.idleTimer != nil {
		t.idleTimer.Stop()
	}
}

// rollBack rolls back at the instance in the background and releases the connection.
func (t *transaction) rollBack() {
	t.stopIdleTimer()
	if t.lease != nil {
		t.lease.End()
		t.lease = nil
	}
}
