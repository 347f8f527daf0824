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
	// The value of the setting is in milliseconds; zero means no limit.
	idleTimeoutSetting = "idle_in_transaction_session_timeout"
	defaultIdleTimeout = "5000"
)

// connection is a network connection that blocks while the target is paused. A
// blackholed connection stays open but discards all data in both directions.
type connection struct {
	net.Conn
	ctx        context.Context
	gate       *gate
	blackholed atomic.Bool
	// closed is closed once this end has closed the connection.
	closed  chan struct{}
	closing sync.Once
}

// Read reads from the peer. While the connection is blackholed, it discards the data
// and hides an end of the connection by the peer until this end is closed.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.gate.wait(c.ctx)
		if !c.blackholed.Load() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write writes to the peer. While the connection is blackholed, it discards the data
// and reports success.
func (c *connection) Write(b []byte) (int, error) {
	c.gate.wait(c.ctx)
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// reset closes the connection with a TCP reset.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the connection and unblocks a Read of a blackholed connection.
func (c *connection) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// trackConnection wraps a connection and registers it so that [Target.Close] resets
// it. If the target is already closed, the connection is reset immediately.
func (t *Target) trackConnection(raw net.Conn) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &connection{Conn: raw, ctx: t.runCtx, gate: &t.gate, closed: make(chan struct{})}
	t.openConnections[c] = true
	if t.listener == nil {
		c.reset()
	}
	return c
}

func (t *Target) closeConnection(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openConnections, c)
	_ = c.Close()
}

func (t *Target) accept(ctx context.Context, listener net.Listener) {
	for {
		raw, err := listener.Accept()
		t.gate.wait(ctx)
		if err != nil {
			return
		}
		conn := t.trackConnection(raw)
		t.wait.Go(func() {
			defer t.closeConnection(conn)
			t.serve(ctx, conn)
		})
	}
}

// serve handles a connection from its startup message to its end.
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
		target: t, backend: backend, ctx: ctx, types: pgtype.NewMap(), settings: startupSettings(startup), initial: startupSettings(startup),
		control:  startup.Parameters["application_name"] == controlApplication,
		prepared: map[string]*prepared{}, portals: map[string]*portal{}, disconnect: conn.reset,
	}
	if !t.registerSession(s) {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "53300", Message: "sorry, too many clients already"})
		_ = backend.Flush()
		return
	}
	defer t.unregisterSession(s)
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

// registerSession assigns the process ID and the cancel key to a caller's connection
// and counts it. It reports false if the connection limit is reached.
func (t *Target) registerSession(s *session) bool {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callerCount >= t.connections || !s.control && t.callerCount >= t.connections-t.reservedConnections {
		return false
	}
	t.callerCount++
	t.lastPID++
	s.pid, s.secret = t.lastPID, secret
	t.sessions[s.pid] = s
	return true
}

func (t *Target) unregisterSession(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callerCount--
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

func startupSettings(startup *pgproto3.StartupMessage) map[string]string {
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

// reportedSettings maps the lower-case name of each setting that is sent to callers
// in ParameterStatus to the name that it is sent under.
var reportedSettings = map[string]string{
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
