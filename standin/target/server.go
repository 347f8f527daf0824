package target

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

const (
	serverVersion      = "17.0"
	controlApplication = "tarragon-control"
	// The setting is in milliseconds; zero means no limit.
	idleTimeoutSetting = "idle_in_transaction_session_timeout"
	defaultIdleTimeout = "5000"
)

// connection is a connection that stands still while the target is paused and
// can go silent.
type connection struct {
	net.Conn
	life   context.Context
	gate   *gate
	silent atomic.Bool
	// closed is closed once this end has closed the connection.
	closed  chan struct{}
	closing sync.Once
}

// Read reads from the peer. What comes while the connection is silent is dropped,
// also that the peer closes it.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.gate.pass(c.life)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write writes to the peer, or to nobody while the connection is silent.
func (c *connection) Write(b []byte) (int, error) {
	c.gate.pass(c.life)
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// reset closes the connection without a farewell.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the connection.
func (c *connection) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// adopt wraps a connection so that Close resets it.
func (t *Target) adopt(raw net.Conn) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &connection{Conn: raw, life: t.life, gate: &t.gate, closed: make(chan struct{})}
	t.open[c] = true
	if t.listener == nil {
		c.reset()
	}
	return c
}

func (t *Target) release(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	_ = c.Close()
}

func (t *Target) accept(ctx context.Context, listener net.Listener) {
	for {
		raw, err := listener.Accept()
		t.gate.pass(ctx)
		if err != nil {
			return
		}
		conn := t.adopt(raw)
		t.wait.Go(func() {
			defer t.release(conn)
			t.serve(ctx, conn)
		})
	}
}

// serve carries a connection from its first message to its end.
func (t *Target) serve(ctx context.Context, conn *connection) {
	backend := pgproto3.NewBackend(conn, conn)
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte("N")); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			t.cancelStatement(msg)
			return
		case *pgproto3.StartupMessage:
			if msg.Parameters[replicationParam] == replicationProtocol {
				t.serveReplication(ctx, conn)
				return
			}
			t.serveCaller(ctx, conn, backend, msg)
			return
		}
	}
}

func (t *Target) serveCaller(ctx context.Context, conn *connection, backend *pgproto3.Backend, startup *pgproto3.StartupMessage) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		target: t, backend: backend, life: ctx, types: pgtype.NewMap(), settings: startSettings(startup), initial: startSettings(startup),
		control:  startup.Parameters["application_name"] == controlApplication,
		prepared: map[string]*prepared{}, portals: map[string]*portal{}, hangUp: conn.reset,
	}
	if !t.enter(s) {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "53300", Message: "sorry, too many clients already"})
		_ = backend.Flush()
		return
	}
	defer t.leave(s)
	sleep(ctx, t.connectDelay)
	if startup.ProtocolVersion != pgproto3.ProtocolVersion30 {
		backend.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0})
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	s.sendParameters()
	backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	defer s.end()
	s.loop()
}

// enter counts a caller's connection in and reports whether there was room.
func (t *Target) enter(s *session) bool {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callers >= t.connections || !s.control && t.callers >= t.connections-t.reserve {
		return false
	}
	t.callers++
	t.lastPID++
	s.pid, s.secret = t.lastPID, secret
	t.sessions[s.pid] = s
	return true
}

func (t *Target) leave(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers--
	delete(t.sessions, s.pid)
}

func (t *Target) cancelStatement(request *pgproto3.CancelRequest) {
	t.mu.Lock()
	s := t.sessions[request.ProcessID]
	t.mu.Unlock()
	if s != nil && bytes.Equal(s.secret, request.SecretKey) {
		s.cancelCurrent()
	}
}

func startSettings(startup *pgproto3.StartupMessage) map[string]string {
	settings := map[string]string{
		"server_version": serverVersion, "server_encoding": "UTF8", "client_encoding": "UTF8",
		"datestyle": "ISO, MDY", "timezone": "UTC", "integer_datetimes": "on", "intervalstyle": "postgres",
		"standard_conforming_strings": "on", "application_name": "", "default_transaction_read_only": "off",
		idleTimeoutSetting:      defaultIdleTimeout,
		"transaction_isolation": "read committed", "default_transaction_isolation": "read committed",
	}
	for name, value := range startup.Parameters {
		if name != "user" && name != "database" && name != "options" {
			settings[lower(name)] = value
		}
	}
	return settings
}

// reported lists the settings that callers are told of, by lower-case name.
var reported = map[string]string{
	"server_version": "server_version", "server_encoding": "server_encoding", "client_encoding": "client_encoding",
	"datestyle": "DateStyle", "timezone": "TimeZone", "integer_datetimes": "integer_datetimes",
	"intervalstyle": "IntervalStyle", "standard_conforming_strings": "standard_conforming_strings",
	"application_name": "application_name", "default_transaction_read_only": "default_transaction_read_only",
}

func randomNumber() int64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return int64(binary.BigEndian.Uint64(b[:]) >> 1)
}
