// Package admitter applies the decisions of a [budgeter.Budgeter] to the connections of callers. It is
// used by all protocols in which callers are served.
//
// # Sessions
//
// A server opens a [Session] for each connection that it accepts, asks it before the session uses
// memory, and closes it at the end. A session that is to end for the sake of others is told so through its
// [Owner].
//
// # Sockets
//
// What waits in the socket buffers of a session counts as its memory. An Admitter sets their sizes, and
// counts their contents at an interval if full buffers of all sessions would be more than a quarter of the
// budget: for sessions that are being served, of which some have sent ahead, for those that had something
// there, and for a few idle ones at a time.
//
// # Usage
//
//	a := admitter.New(limits)
//	s, refusal := a.Open(conn, owner)
//	if refusal != nil {
//		return refusal
//	}
//	defer s.Close()
//	if refusal := s.Start(account); refusal != nil {
//		return refusal
//	}
//	if refusal := s.HoldMessage(size, ahead, timeout); refusal != nil {
//		return refusal
//	}
//	...
//	s.Release(budgeter.Message)
package admitter

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/budgeter"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/socket"
	"tarragonshed.example/unit"
)

const (
	// receiveBytes and sendBytes are the sizes of the socket buffers of a session. With smaller ones a
	// large message needs many round trips.
	receiveBytes = 64 << 10
	sendBytes    = 32 << 10
	// sweepInterval is the interval at which the contents of socket buffers are counted.
	sweepInterval = 250 * time.Millisecond
	// restingPerSweep is the number of idle sessions that are counted at a time.
	restingPerSweep = 32
	// socketDivisor is the inverse of the share of the budget up to which sockets are not counted.
	socketDivisor = 4
)

// Owner serves a session.
type Owner interface {
	// Evict ends the session. If ifIdle is set, it does so only if the session is idle outside a
	// transaction. It may be called by any goroutine and must not wait.
	Evict(err *result.Error, ifIdle bool)
}

// Admitter is the budget of one server. It is safe for concurrent use.
type Admitter struct {
	limits budgeter.Limits
	stop   chan struct{}
	done   sync.WaitGroup

	mu       sync.Mutex
	budgeter *budgeter.Budgeter
	sessions map[unit.SessionID]*Session
	last     unit.SessionID
}

// Session is one connection of a caller. Its methods are called by the goroutine that serves it.
type Session struct {
	admitter *Admitter
	id       unit.SessionID
	conn     net.Conn
	owner    Owner
	held     [budgeter.Socket]int64 // What it holds, apart from its sockets.
	busy     atomic.Bool
	socket   int // The bytes in the socket buffers that it holds. Only the sweep uses it.
	// decided receives the decision about a message that had to wait: nil if it was granted.
	decided chan *result.Error
}

// New returns an Admitter without sessions. The caller must call Close.
func New(l budgeter.Limits) *Admitter {
	a := &Admitter{
		limits: l, stop: make(chan struct{}),
		budgeter: budgeter.New(l), sessions: make(map[unit.SessionID]*Session),
	}
	a.done.Go(func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				a.sweep()
			case <-a.stop:
				return
			}
		}
	})
	return a
}

// Close stops the counting of sockets. It may be called while there are sessions.
func (a *Admitter) Close() {
	close(a.stop)
	a.done.Wait()
}

// Register registers the number of sessions and the use of the budget as metrics.
func (a *Admitter) Register(r metrics.Registry) {
	gauge := func(name string, value func() int64) { _ = r.Register(name, metrics.NewFunctionalGauge(value)) }
	gauge("callers.sessions", func() int64 { return int64(a.Sessions()) })
	gauge("callers.budget.used-bytes", a.Used)
}

// Used returns the part of the budget that is held.
func (a *Admitter) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budgeter.Used()
}

// Sessions returns the number of sessions.
func (a *Admitter) Sessions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budgeter.Sessions()
}

// Open returns the session of a new connection, or the reason why there may be no more.
func (a *Admitter) Open(conn net.Conn, o Owner) (*Session, *result.Error) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBytes)
		_ = tcp.SetWriteBuffer(sendBytes)
	}
	s := &Session{admitter: a, conn: conn, owner: o, decided: make(chan *result.Error, 1)}
	a.mu.Lock()
	a.last++
	s.id = a.last
	a.sessions[s.id] = s
	a.mu.Unlock()
	if _, refusal := s.step(budgeter.Connect{ID: s.id, Now: time.Now()}); refusal != nil {
		s.Close()
		return nil, refusal
	}
	return s, nil
}

// step processes an event of the session. It reports whether the session may proceed, or why not. Neither
// means that it has to wait.
func (s *Session) step(event budgeter.Event) (granted bool, refusal *result.Error) {
	a := s.admitter
	a.mu.Lock()
	var evictions []func()
	for _, effect := range a.budgeter.Step(event) {
		switch effect := effect.(type) {
		case budgeter.Grant:
			if effect.ID == s.id {
				granted = true
				continue
			}
			a.sessions[effect.ID].decide(nil)
		case budgeter.Refuse:
			refusal = effect.Err
		case budgeter.Close:
			victim := a.sessions[effect.ID]
			evictions = append(evictions, func() { victim.evict(effect) })
			if effect.ID == s.id {
				refusal = effect.Err
			}
		}
	}
	a.mu.Unlock()
	for _, evict := range evictions {
		evict()
	}
	return granted, refusal
}

// evict ends the session for the sake of others.
func (s *Session) evict(c budgeter.Close) {
	if !c.IfIdle {
		s.decide(c.Err)
	}
	s.owner.Evict(c.Err, c.IfIdle)
}

// decide passes on the decision about a message that waits.
func (s *Session) decide(refusal *result.Error) {
	select {
	case s.decided <- refusal:
	default: // The session is ending.
	}
}

// Close ends the session. What it held returns to the budget.
func (s *Session) Close() {
	s.step(budgeter.Disconnect{ID: s.id})
	s.admitter.mu.Lock()
	defer s.admitter.mu.Unlock()
	delete(s.admitter.sessions, s.id)
}

// Start reports that the session has started under an account, which is empty if it has none. It returns
// the reason if the account may have no more sessions.
func (s *Session) Start(account unit.CallerName) *result.Error {
	_, refusal := s.step(budgeter.Start{ID: s.id, Account: account})
	return refusal
}

// Busy reports that a message of the session is served from now on.
func (s *Session) Busy() {
	s.busy.Store(true)
	s.step(budgeter.Busy{ID: s.id})
}

// Idle reports that the session has sent its answer, and whether it is outside a transaction.
func (s *Session) Idle(outside bool) {
	s.busy.Store(false)
	if outside {
		s.step(budgeter.Idle{ID: s.id, Now: time.Now()})
	}
}

// HoldMessage asks for the memory for a message of that many bytes in total. It waits up to the timeout if
// the message was sent ahead. After a refusal the session holds nothing for the message.
func (s *Session) HoldMessage(bytes int, ahead bool, timeout time.Duration) *result.Error {
	granted, refusal := s.step(budgeter.Hold{ID: s.id, Use: budgeter.Message, Bytes: int64(bytes), Ahead: ahead})
	if !granted && refusal == nil {
		refusal = s.await(timeout)
	}
	s.held[budgeter.Message] = int64(bytes)
	if refusal != nil {
		s.Release(budgeter.Message)
	}
	return refusal
}

// await waits for the decision about a message.
func (s *Session) await(timeout time.Duration) *result.Error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case refusal := <-s.decided:
		return refusal
	case <-timer.C:
	}
	s.step(budgeter.Withdraw{ID: s.id})
	select {
	case refusal := <-s.decided:
		return refusal
	default:
		return result.New(result.Overloaded, "the memory for messages was used up for %v", timeout)
	}
}

// Hold asks for the memory for something else than a message.
func (s *Session) Hold(use budgeter.Use, bytes int) *result.Error {
	if int64(bytes) == s.held[use] {
		return nil
	}
	_, refusal := s.step(budgeter.Hold{ID: s.id, Use: use, Bytes: int64(bytes)})
	if refusal == nil {
		s.held[use] = int64(bytes)
	}
	return refusal
}

// Release returns what the session holds for the use.
func (s *Session) Release(use budgeter.Use) {
	if s.held[use] != 0 {
		s.held[use] = 0
		s.step(budgeter.Hold{ID: s.id, Use: use})
	}
}

// sweep counts what is in the socket buffers of some sessions.
func (a *Admitter) sweep() {
	for _, s := range a.sweepSessions() {
		bytes := socket.Unread(s.conn) + socket.Unsent(s.conn)
		if int64(bytes) <= a.limits.Small {
			bytes = 0
		}
		if bytes != s.socket {
			s.socket = bytes
			s.step(budgeter.Hold{ID: s.id, Use: budgeter.Socket, Bytes: int64(bytes)})
		}
	}
}

// sweepSessions returns the sessions to count now.
func (a *Admitter) sweepSessions() []*Session {
	a.mu.Lock()
	defer a.mu.Unlock()
	var chosen []*Session
	few := int64(len(a.sessions))*(receiveBytes+sendBytes) <= a.limits.Bytes/socketDivisor
	resting := 0
	for _, s := range a.sessions { // In random order, so that each idle session has its turn.
		switch {
		case s.socket > 0:
			chosen = append(chosen, s)
		case few:
		case s.busy.Load():
			chosen = append(chosen, s)
		case resting < restingPerSweep:
			resting++
			chosen = append(chosen, s)
		}
	}
	return chosen
}
