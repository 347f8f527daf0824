package engine

import (
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

// lockPatience is how long a statement of an open transaction waits for a slot
// while the other statements at the instance may wait for its locks.
const lockPatience = 5 * time.Millisecond

// transaction is an open transaction of a session. Its BEGIN is sent with the
// first statement.
type transaction struct {
	session  *Session
	route    manifest.Route
	group    *group
	readOnly bool
	began    unit.Instant

	loan *loan // The pinned connection, nil before the first statement.
	// primary tells that the transaction depends on the leadership.
	primary    bool
	leadership authorizer.Leadership
	// wrote tells that a write may have run in it.
	wrote bool
	// idle ends a transaction that has rested for too long since rested.
	idle   *time.Timer
	rested time.Time
}

func (s *Session) begin(st Begin) Answer {
	if s.state != Idle {
		return refuseState("BEGIN", "a transaction is open already")
	}
	route, g, err := s.engine.route(s.database)
	if err != nil {
		return Answer{Err: err}
	}
	g.countRequest()
	s.state = Open
	s.tx = &transaction{session: s, route: route, group: g, readOnly: st.ReadOnly, began: s.engine.now()}
	return Answer{}
}

// rest bounds the time until the next statement.
func (t *transaction) rest() {
	limit := t.session.engine.transactionIdle()
	if limit <= 0 || t.loan == nil {
		return
	}
	t.rested = time.Now()
	if t.idle != nil {
		t.idle.Reset(limit)
		return
	}
	s := t.session
	t.idle = time.AfterFunc(limit, func() { s.expire(t, limit) })
}

// expire ends a transaction that has rested for too long.
func (s *Session) expire(t *transaction, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != t || time.Since(t.rested) < limit {
		return // A statement has run since.
	}
	s.engine.figures.expired.Inc(1)
	s.leaveTransaction(Failed)
	s.expired = result.New(result.RolledBack, "the transaction rested for too long")
}

// run runs a statement in the transaction.
func (t *transaction) run(r run) Answer {
	t.pauseIdle()
	until := deadline(t.route)
	if t.loan == nil {
		if err := t.start(r.values, until); err != nil {
			return t.fail(err)
		}
	}
	if r.writes {
		t.wrote = true
	}
	asked := t.session.engine.now()
	reply, err := t.statement(r, until)
	if err != nil {
		return t.fail(t.final(err))
	}
	if t.primary {
		t.group.observe(reply.Position, asked)
	}
	t.session.engine.figures.ran(r.writes, t.primary, t.session.engine.now().Sub(asked))
	return answerOf(reply)
}

// statement sends one statement, again if the instance had no room for it.
func (t *transaction) statement(r run, until time.Time) (Reply, *result.Error) {
	e := t.session.engine
	for attempt := 0; ; attempt++ {
		if err := t.slot(until); err != nil {
			return Reply{}, err
		}
		reply, err := t.loan.roundTrip(until, t.loan.link.requests(r, unit.Position{}, true)...)
		if err != nil {
			return Reply{}, err
		}
		t.loan.finish()
		if t.primary && !e.authority.Holds(t.leadership) {
			return Reply{}, result.New(result.AuthorityLost, "instance %s may have been replaced", t.loan.target.name())
		}
		if reply.Err == nil {
			return reply, nil
		}
		again := reply.Err.Code == result.Overloaded && reply.State == Open && t.group.takeRetry()
		if !again || !pause(e.ctx, retrier.Backoff{}.Delay(attempt, rand.Float64()), latest(until)) {
			return Reply{}, reply.Err
		}
	}
}

// slot gets a slot for the next statement. The first one has it from the start.
func (t *transaction) slot(until time.Time) *result.Error {
	if t.loan.slot {
		return nil
	}
	return t.loan.admit(t.session.engine.ctx, limiter.OpenTransaction, until)
}

// start finds an instance and begins the transaction there.
func (t *transaction) start(values map[string]string, until time.Time) *result.Error {
	wait := latest(until)
	attempts := 0
	var excluded map[unit.InstanceName]bool
	for {
		target, after, err := t.choose(excluded, wait)
		if err == nil {
			err = t.startAt(target, values, after, until)
			if !t.primary {
				target.learnLag(t.session.accepts(t.route, t.began), err)
			}
		}
		if err == nil {
			return nil
		}
		if target == nil || !startsElsewhere(err) || !time.Now().Before(wait) {
			return err
		}
		if excluded == nil || t.primary {
			excluded = make(map[unit.InstanceName]bool)
		}
		excluded[target.name()] = true
		if err.Code != result.InstanceBehind && !t.group.takeRetry() {
			return err
		}
		if t.primary || len(t.group.sites(excluded, t.session.accepts(t.route, t.began))) == 0 {
			attempts++
			excluded = nil
			if !pause(t.session.engine.ctx, retrier.Backoff{}.Delay(attempts, rand.Float64()), wait) {
				return err
			}
		}
	}
}

// startsElsewhere reports whether a BEGIN that failed may be sent again. Nothing
// has run in the transaction, so an unknown outcome does no harm.
func startsElsewhere(err *result.Error) bool {
	outcome := err.Code.Entry().Outcome
	return outcome == result.NotRun || outcome == result.Unknown && err.Code != result.StatementTimeout
}

// choose returns where the transaction is to begin, and the position that the
// instance must have reached.
func (t *transaction) choose(excluded map[unit.InstanceName]bool, until time.Time) (*target, unit.Position, *result.Error) {
	s := t.session
	t.primary = !t.readOnly || t.route.Consistency == manifest.PrimaryReads
	if t.primary {
		chosen, l, err := t.group.awaitPrimary(s.engine.ctx, until)
		t.leadership = l
		return chosen, unit.Position{}, err
	}
	after, err := s.floor(s.engine.ctx, t.group, t.route, t.began, until)
	if err != nil {
		return nil, after, err
	}
	site, ok := router.LowestCost(t.group.sites(excluded, t.session.accepts(t.route, t.began)))
	if !ok {
		return nil, after, result.New(result.NoReplica, "group %s has no instance for the transaction", t.group.name)
	}
	chosen, _ := t.group.find(site.Instance)
	if chosen == nil {
		return nil, after, result.New(result.NoReplica, "instance %s has left group %s", site.Instance, t.group.name)
	}
	return chosen, after, nil
}

func (t *transaction) startAt(chosen *target, values map[string]string, after unit.Position, until time.Time) *result.Error {
	e := t.session.engine
	priority := limiter.StaleRead
	if t.primary {
		priority = limiter.Write
	}
	b, err := chosen.borrow(e.ctx, priority, latest(until))
	if err != nil {
		return err
	}
	requests := append(b.link.valueRequests(values, false), Request{Statement: Begin{ReadOnly: t.readOnly}, After: after})
	reply, err := b.roundTrip(until, requests...)
	if err == nil {
		err = reply.Err
	}
	if err != nil {
		b.settle(Failed)
		return err
	}
	if t.primary && !e.authority.Holds(t.leadership) {
		b.settle(Open)
		return result.New(result.NotPrimary, "instance %s may have been replaced", chosen.name())
	}
	t.loan = b
	return nil
}

// final returns the error for the caller of a statement that failed: COMMIT was
// not sent, so nothing of the transaction is kept.
func (t *transaction) final(err *result.Error) *result.Error {
	switch err.Code {
	case result.StatementFailed, result.StatementTimeout:
		return err
	}
	return result.New(result.RolledBack, "%v", err)
}

// fail ends the transaction at the instance. The session stays in it until the
// caller ends it.
func (t *transaction) fail(err *result.Error) Answer {
	t.session.leaveTransaction(Failed)
	return Answer{Err: err}
}

// commit ends the transaction. A transaction without a statement is begun first,
// because a COMMIT succeeds only at an instance.
func (s *Session) commit(id unit.RequestID) Answer {
	t := s.tx
	t.pauseIdle()
	e := s.engine
	until := deadline(t.route)
	if t.loan == nil {
		if err := t.start(s.values, until); err != nil {
			s.leaveTransaction(Idle)
			return Answer{Err: result.New(result.RolledBack, "%v", err)}
		}
	}
	err := t.slot(until)
	if err == nil && t.wrote && !e.authority.Holds(t.leadership) {
		err = result.New(result.NotPrimary, "instance %s may have been replaced", t.loan.target.name())
	}
	if err != nil {
		s.leaveTransaction(Idle)
		return Answer{Err: result.New(result.RolledBack, "%v", err)}
	}
	asked := e.now()
	requests := append(t.loan.link.valueRequests(s.values, true), Request{ID: id, Statement: Commit{}})
	reply, err := t.loan.roundTrip(until, requests...)
	b := t.loan
	s.tx, s.state = nil, Idle
	if err != nil {
		b.settle(Failed)
		return Answer{Err: t.uncommitted(err)}
	}
	b.settleNow(reply.State)
	if reply.Err != nil {
		return Answer{Err: reply.Err}
	}
	if t.wrote && !e.authority.Holds(t.leadership) {
		return Answer{Err: result.New(result.AuthorityLost, "instance %s may have been replaced", b.target.name())}
	}
	if t.primary && e.authority.Holds(t.leadership) {
		t.group.observe(reply.Position, asked)
	}
	if t.wrote {
		s.wrote(reply.Position)
	}
	return answerOf(reply)
}

// uncommitted is the error of a COMMIT whose reply did not come.
func (t *transaction) uncommitted(err *result.Error) *result.Error {
	if t.wrote {
		return err
	}
	return result.New(result.RolledBack, "the transaction wrote nothing: %v", err)
}

// pauseIdle stops the idle timer while a statement runs.
func (t *transaction) pauseIdle() {
	if t.idle != nil {
		t.idle.Stop()
	}
}

// abandon gives the connection back once it is rolled back.
func (t *transaction) abandon() {
	t.pauseIdle()
	if b := t.loan; b != nil {
		t.loan = nil
		b.settle(Open)
	}
}

// settleNow gives a connection back whose last reply has come.
func (b *loan) settleNow(state TransactionState) {
	if state == Idle && b.link.pending == 0 {
		b.release()
		return
	}
	b.settle(state)
}
