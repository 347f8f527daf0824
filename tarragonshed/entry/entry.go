// Package entry serves the connections of callers. It implements the server side
// of the PostgreSQL protocol, holds the sessions of the callers, and sends their
// requests over streams to the home of the chosen instance. The home of an
// instance is the daemon that owns the connections to it.
//
// # Sessions
//
// Each session has a goroutine. It collects the messages of the caller up to Sync,
// or one Query, into a batch, determines from the text of the statements what the
// batch needs, and runs it. Statements that concern only the session, such as SET,
// are answered by the entry.
//
// # Transaction pooling
//
// A session holds a stream only from BEGIN to the end of the transaction.
// Prepared statements therefore get names derived from their text, and each batch
// lists the statements that it refers to, so that the home can prepare them on
// the connection that serves the batch. SET within a transaction is sent as SET
// LOCAL and, once the transaction is committed, stored in the session. Statements
// that need a dedicated connection are refused with [result.NotCarried].
//
// # Retries
//
// A request that was not run is retried until its deadline. A read outside of a
// transaction is also retried when its response was lost before a part of it was
// written to the caller. Any other lost request is answered with a code whose
// outcome is unknown. A transaction whose stream is lost leaves the session in the
// failed transaction state, so that the following statements up to ROLLBACK do
// not run outside of the transaction.
//
// # Limits
//
// [Limits] bound what all sessions hold together, see package budgeter. A batch for which there is
// no memory is read to its end without being kept, and refused with [result.Overloaded].
//
// # Usage
//
//	e := entry.New(listener, holder, carrier, entry.WithDomain("lautoka-shed"))
//	...
//	e.Shutdown(ctx) // Ends sessions between transactions.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"tarragonshed.example/recorder"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/admitter"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/entry/authenticator"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/unit"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// Entry serves the callers of one listener.
type Entry struct {
	listener      net.Listener
	holder        *holder.Holder
	carrier       carrier.Carrier
	logger        *log.Logger
	recorder      *recorder.Recorder
	meters        *meters
	domain        unit.DomainName
	limits        Limits
	policy        router.Policy
	replicaWait   time.Duration
	tls           *tls.Config
	tlsRequired   bool
	authenticator *authenticator.Authenticator
	admitter      *admitter.Admitter

	ctx      context.Context
	stop     context.CancelFunc
	draining atomic.Bool
	callers  atomic.Int64
	running  sync.WaitGroup

	groupsMu sync.RWMutex
	groups   map[unit.GroupName]*group

	sessionsMu sync.Mutex
	sessions   map[unit.SessionID]*session
	conns      map[net.Conn]struct{}
	lastID     unit.SessionID
}

// New returns an Entry and starts to serve the callers of the listener.
func New(listener net.Listener, holder *holder.Holder, carrier carrier.Carrier, options ...Option) *Entry {
	e := &Entry{
		listener:      listener,
		holder:        holder,
		carrier:       carrier,
		logger:        discardLogger(),
		limits:        Limits{}.withDefaults(),
		replicaWait:   DefaultReplicaWait,
		authenticator: authenticator.New(),
		groups:        make(map[unit.GroupName]*group),
		sessions:      make(map[unit.SessionID]*session),
		conns:         make(map[net.Conn]struct{}),
	}
	for _, option := range options {
		option(e)
	}
	if e.meters == nil {
		e.meters = newMeters(nil)
	}
	e.admitter = admitter.New(e.limits.budgetLimits())
	e.admitter.Register(e.meters.registry)
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.running.Go(func() {
		defer e.admitter.Close()
		e.accept()
	})
	return e
}

// Shutdown stops accepting callers and ends each session with the shutdown
// error of PostgreSQL as soon as no transaction is open in it. It returns when
// all sessions have ended. If the context is done first, it closes the
// remaining sessions and returns the error of the context.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.draining.Store(true)
	e.listener.Close()
	for _, s := range e.listSessions() {
		s.interrupt()
	}
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		e.stop()
		return nil
	case <-ctx.Done():
		e.Close()
		return ctx.Err()
	}
}

// Close ends all sessions immediately and returns when they have ended.
func (e *Entry) Close() {
	e.draining.Store(true)
	e.listener.Close()
	e.stop()
	e.sessionsMu.Lock()
	for conn := range e.conns {
		conn.Close()
	}
	e.sessionsMu.Unlock()
	for _, s := range e.listSessions() {
		s.closeConnections()
	}
	e.running.Wait()
}

// Callers returns the number of open caller connections.
func (e *Entry) Callers() int {
	return int(e.callers.Load())
}

func (e *Entry) accept() {
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) || e.draining.Load() {
			if conn != nil {
				conn.Close()
			}
			return
		}
		if err != nil {
			e.logger.Warn("accepting a caller connection failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		// A connection over the limit is closed before the next one is accepted.
		if c := e.open(conn); c != nil {
			e.running.Go(func() { e.serve(c) })
		}
	}
}

func (e *Entry) serve(c *connection) {
	conn := c.conn
	defer c.budget.Close()
	defer conn.Close()
	e.callers.Add(1)
	defer e.callers.Add(-1)
	if !e.trackConn(conn) {
		return
	}
	defer e.untrackConn(conn)
	e.keepAlive(conn)
	s, err := e.startup(c)
	if err != nil {
		e.logger.Debug("caller connection rejected during startup", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	if s == nil {
		return
	}
	defer e.removeSession(s)
	c.session.Store(s)
	s.serve()
}

func (e *Entry) keepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     e.limits.Keepalive,
		Interval: e.limits.Keepalive,
	})
}

func (e *Entry) trackConn(conn net.Conn) bool {
	e.sessionsMu.Lock()
	defer e.sessionsMu.Unlock()
	if e.ctx.Err() != nil {
		return false
	}
	e.conns[conn] = struct{}{}
	return true
}

func (e *Entry) untrackConn(conn net.Conn) {
	e.sessionsMu.Lock()
	defer e.sessionsMu.Unlock()
	delete(e.conns, conn)
}

func (e *Entry) addSession(s *session) {
	e.sessionsMu.Lock()
	defer e.sessionsMu.Unlock()
	e.lastID++
	s.id = e.lastID
	e.sessions[s.id] = s
}

func (e *Entry) removeSession(s *session) {
	e.sessionsMu.Lock()
	defer e.sessionsMu.Unlock()
	delete(e.sessions, s.id)
}

func (e *Entry) listSessions() []*session {
	e.sessionsMu.Lock()
	defer e.sessionsMu.Unlock()
	list := make([]*session, 0, len(e.sessions))
	for _, s := range e.sessions {
		list = append(list, s)
	}
	return list
}

func (e *Entry) session(id unit.SessionID) *session {
	e.sessionsMu.Lock()
	defer e.sessionsMu.Unlock()
	return e.sessions[id]
}

func (e *Entry) group(name unit.GroupName) *group {
	e.groupsMu.RLock()
	g := e.groups[name]
	e.groupsMu.RUnlock()
	if g != nil {
		return g
	}
	e.groupsMu.Lock()
	defer e.groupsMu.Unlock()
	if e.groups[name] == nil {
		e.groups[name] = newGroup(e, name)
	}
	return e.groups[name]
}
