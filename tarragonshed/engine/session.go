package engine

import (
	"sync"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/tracker"
	"tarragonshed.example/unit"
)

// defaultTimeout bounds a statement of a route that states no timeout.
const defaultTimeout = 30 * time.Second

// maxValues and maxNames bound what a session may keep.
const (
	maxValues = 256
	maxNames  = 1024
)

// Session is the session of one caller. Its methods are called by one goroutine.
type Session struct {
	engine   *Engine
	database unit.DatabaseName

	mu       sync.Mutex // Against the expiry of an idle transaction.
	state    TransactionState
	values   map[string]string
	prepared map[string]Definition
	written  tracker.Session
	wroteAt  unit.Instant
	tx       *transaction
	closed   bool
	// expired is the error of the next statement after the transaction was
	// ended for its idleness.
	expired *result.Error
}

// Do runs one statement and returns its whole answer. ID is that of the caller's
// request.
func (s *Session) Do(id unit.RequestID, st Statement) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.do(id, st)
	if answer.Err != nil {
		s.engine.figures.refused(answer.Err.Code)
		s.engine.report(s, id, answer.Err)
	}
	answer.State = s.state
	if s.tx != nil {
		s.tx.rest()
	}
	return answer
}

// groupName returns the group that the session's database leads to, if there is
// one.
func (s *Session) groupName() unit.GroupName {
	route, _, err := s.engine.route(s.database)
	if err != nil {
		return ""
	}
	return route.Group
}

// State returns the state of the session.
func (s *Session) State() TransactionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.leaveTransaction(Idle)
}

// RollBack ends an open transaction on behalf of the daemon, which can't wait for
// the caller any longer.
func (s *Session) RollBack(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != nil {
		s.leaveTransaction(Failed)
		s.expired = result.New(result.RolledBack, "%s", reason)
	}
}

func (s *Session) do(id unit.RequestID, st Statement) Answer {
	if err := s.expired; err != nil {
		s.expired = nil
		if _, ends := st.(Rollback); !ends {
			if _, ends := st.(Commit); ends {
				s.state = Idle
			}
			return Answer{Err: err}
		}
	}
	if s.state == Failed {
		return s.doFailed(st)
	}
	switch st := st.(type) {
	case Set:
		return s.set(st)
	case Prepare:
		return s.prepare(st)
	case Deallocate:
		if _, ok := s.prepared[st.Name]; !ok {
			return Answer{Err: result.New(result.UnknownStatement, "no statement is prepared as %q", st.Name)}
		}
		delete(s.prepared, st.Name)
		return Answer{}
	case Begin:
		return s.begin(st)
	case Rollback:
		if s.state == Idle {
			return refuseState("ROLLBACK", "no transaction is open")
		}
		s.leaveTransaction(Idle)
		return Answer{}
	case Commit:
		if s.state == Idle {
			return refuseState("COMMIT", "no transaction is open")
		}
		return s.commit(id)
	case Read, Write, Execute:
		return s.run(id, st)
	}
	return refuseState("statement", "callers can't ask for it")
}

func refuseState(what, why string) Answer {
	return Answer{Err: result.New(result.ProtocolViolation, "%s: %s", what, why)}
}

// doFailed takes a statement in after the transaction has failed.
func (s *Session) doFailed(st Statement) Answer {
	switch st.(type) {
	case Rollback:
		s.state = Idle
		return Answer{}
	case Commit:
		s.state = Idle
		return Answer{Err: result.New(result.RolledBack, "the transaction had failed")}
	}
	return refuseState("statement", "the transaction has failed and has to be ended")
}

func (s *Session) set(st Set) Answer {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxValues {
		return refuseState("SET", "the session has too many values")
	}
	s.values[st.Name] = st.Value
	return Answer{}
}

func (s *Session) prepare(st Prepare) Answer {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxNames {
		return refuseState("PREPARE", "the session has too many prepared statements")
	}
	s.prepared[st.Name] = st.Definition
	return Answer{}
}

// run runs a statement that needs an instance.
func (s *Session) run(id unit.RequestID, st Statement) Answer {
	r := run{id: id, statement: st, values: s.values}
	switch st := st.(type) {
	case Write:
		r.writes = true
	case Execute:
		shape, ok := s.prepared[st.Name]
		if !ok {
			return Answer{Err: result.New(result.UnknownStatement, "no statement is prepared as %q", st.Name)}
		}
		r.shape, r.writes = shape, shape.Writes
	}
	if s.tx != nil {
		return s.tx.run(r)
	}
	route, g, err := s.engine.route(s.database)
	if err != nil {
		return Answer{Err: err}
	}
	g.countRequest()
	job := &job{session: s, route: route, group: g, run: r, began: s.engine.now(), deadline: deadline(route)}
	if r.writes || route.Consistency == manifest.PrimaryReads {
		return job.atPrimary()
	}
	return job.anywhere()
}

// deadline returns when a statement that begins now has to have ended.
func deadline(r manifest.Route) time.Time {
	if r.Timeout <= 0 {
		return time.Now().Add(defaultTimeout)
	}
	return time.Now().Add(r.Timeout)
}

// wrote records the position of a commit that is about to be acknowledged.
func (s *Session) wrote(p unit.Position) {
	s.written.Raise(p)
	s.wroteAt = s.engine.now()
}

// leaveTransaction rolls back what is open.
func (s *Session) leaveTransaction(next TransactionState) {
	s.state = next
	if tx := s.tx; tx != nil {
		s.tx = nil
		tx.abandon()
	}
}
