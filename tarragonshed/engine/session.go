package engine

import (
	"sync"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/tracker"
	"tarragonshed.example/unit"
)

// defaultTimeout bounds a statement of a route without a timeout.
const defaultTimeout = 30 * time.Second

// maxValues and maxPreparedNames bound the state of one session.
const (
	maxValues        = 256
	maxPreparedNames = 1024
)

// Session is the session of one caller. Only State and RollBack may be called concurrently
// with its other methods.
type Session struct {
	engine   *Engine
	database unit.DatabaseName
	key      manifest.Key
	account  unit.CallerName // The account that had the key when the session was opened.

	mu       sync.Mutex // Guards the state against the idle timer and concurrent calls.
	state    TransactionState
	values   map[string]string
	prepared map[string]Definition
	written  tracker.Session
	wroteAt  unit.Instant
	tx       *transaction
	closed   bool
	// pendingErr is the error for the next statement after the daemon ended the
	// transaction.
	pendingErr *result.Error
}

// Do runs one statement and returns its complete answer. The ID is that of the caller's
// request.
func (s *Session) Do(id unit.RequestID, st Statement) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.do(id, st)
	if answer.Err != nil {
		s.engine.meters.recordRefusal(answer.Err.Code)
		s.engine.logRefusal(s, id, answer.Err)
	}
	answer.State = s.state
	if s.tx != nil {
		s.tx.startIdleTimer()
	}
	return answer
}

// groupName returns the group of the session's database, or "" if there is no route.
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

// Account returns the account that had the key when the session was opened. It is empty if the route needs
// none.
func (s *Session) Account() unit.CallerName { return s.account }

// StateBytes returns the length of the values and prepared statements that the session keeps.
func (s *Session) StateBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for name, value := range s.values {
		size += len(name) + len(value)
	}
	for name, definition := range s.prepared {
		size += len(name) + len(definition.Text)
	}
	return size
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.endTransaction(Idle)
}

// RollBack rolls back an open transaction on behalf of the daemon, for instance because
// the daemon can't wait for the caller any longer. The reason is the text of the error
// that the caller's next statement returns.
func (s *Session) RollBack(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != nil {
		s.endTransaction(Failed)
		s.pendingErr = result.New(result.RolledBack, "%s", reason)
	}
}

func (s *Session) do(id unit.RequestID, st Statement) Answer {
	if err := s.pendingErr; err != nil {
		s.pendingErr = nil
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
			return protocolError("ROLLBACK", "no transaction is open")
		}
		s.endTransaction(Idle)
		return Answer{}
	case Commit:
		if s.state == Idle {
			return protocolError("COMMIT", "no transaction is open")
		}
		return s.commit(id)
	case Read, Write, Execute:
		return s.run(id, st)
	}
	return protocolError("statement", "not allowed for callers")
}

func protocolError(what, why string) Answer {
	return Answer{Err: result.New(result.ProtocolViolation, "%s: %s", what, why)}
}

// doFailed handles a statement after the transaction has failed.
func (s *Session) doFailed(st Statement) Answer {
	switch st.(type) {
	case Rollback:
		s.state = Idle
		return Answer{}
	case Commit:
		s.state = Idle
		return Answer{Err: result.New(result.RolledBack, "the transaction had failed")}
	}
	return protocolError("statement", "the transaction has failed; only COMMIT and ROLLBACK are accepted")
}

func (s *Session) set(st Set) Answer {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxValues {
		return protocolError("SET", "the session has too many values")
	}
	if !s.engine.connector.Fits(Request{Statement: st}) {
		return Answer{Err: errTooLarge()}
	}
	s.values[st.Name] = st.Value
	return Answer{}
}

func (s *Session) prepare(st Prepare) Answer {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxPreparedNames {
		return protocolError("PREPARE", "the session has too many prepared statements")
	}
	if !s.engine.connector.Fits(Request{Statement: Prepare{Name: longestName, Definition: st.Definition}}) {
		return Answer{Err: errTooLarge()}
	}
	s.prepared[st.Name] = st.Definition
	return Answer{}
}

// run runs a statement that needs an instance.
func (s *Session) run(id unit.RequestID, st Statement) Answer {
	c := call{Call: Call{ID: id, Statement: st, Values: s.values}}
	switch st := st.(type) {
	case Write:
		c.writes = true
	case Execute:
		definition, ok := s.prepared[st.Name]
		if !ok {
			return Answer{Err: result.New(result.UnknownStatement, "no statement is prepared as %q", st.Name)}
		}
		c.Definition, c.writes = definition, definition.Writes
	}
	if err := s.checkSize(&c); err != nil {
		return Answer{Err: err}
	}
	if s.tx != nil {
		return s.tx.run(c)
	}
	route, g, caller, err := s.admit()
	if err != nil {
		return Answer{Err: err}
	}
	g.countRequest()
	job := &job{session: s, route: route, group: g, caller: caller, call: c, began: s.engine.now(), deadline: deadline(route)}
	began := time.Now()
	answer := job.run()
	g.recordOutcome(began, answer.Err)
	return answer
}

// deadline returns the deadline of a statement that begins now.
func deadline(r manifest.Route) time.Time { return time.Now().Add(timeout(r)) }

// timeout returns the time from the begin of a statement to its deadline.
func timeout(r manifest.Route) time.Duration {
	if r.Timeout <= 0 {
		return defaultTimeout
	}
	return r.Timeout
}

// recordWrite records the position of a commit before it is acknowledged to the caller.
func (s *Session) recordWrite(p unit.Position) {
	s.written.Raise(p)
	s.wroteAt = s.engine.now()
}

// endTransaction changes the state to next and rolls back an open transaction.
func (s *Session) endTransaction(next TransactionState) {
	s.state = next
	if tx := s.tx; tx != nil {
		s.tx = nil
		tx.rollBack()
	}
}
