package home

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/unit"
)

// ApplicationName is the application_name of data connections.
const ApplicationName = "tarragonshed"

const (
	positionParameter = "tarragon_position"
	tooManyState      = "53300"
	cancelTimeout     = time.Second
)

// endpoint holds the address, the database and the credentials of a connection.
type endpoint struct {
	dial           dialer.Func
	address        string
	group          unit.GroupName
	user, password string
	application    string
}

// connect opens and authenticates a connection and detaches it from pgconn.
func (e endpoint) connect(ctx context.Context) (*pgconn.HijackedConn, error) {
	pg, err := e.dialPgConn(ctx)
	if err != nil {
		return nil, err
	}
	return pg.Hijack()
}

func (e endpoint) dialPgConn(ctx context.Context) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable host=unset")
	if err != nil {
		return nil, trace.Wrap(err, "home: parse the connection config")
	}
	config.Fallbacks = nil
	config.User, config.Password, config.Database = e.user, e.password, string(e.group)
	config.RuntimeParams = map[string]string{"application_name": e.application}
	config.LookupFunc = func(context.Context, string) ([]string, error) { return []string{e.address}, nil }
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return e.dial(ctx, "tcp", e.address)
	}
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, trace.Wrap(err, "home: connect to %s", e.address)
	}
	return pg, nil
}

// connectError returns the result of a failed connection attempt, after which nothing
// has run. exhausted reports whether the instance has reached its connection limit.
func connectError(name unit.InstanceName, err error) (failure *result.Error, exhausted bool) {
	var pg *pgconn.PgError
	if errors.As(err, &pg) && pg.Code == tooManyState {
		return result.New(result.ConnectionsExhausted, "instance %s has too many connections", name), true
	}
	return result.New(result.InstanceUnreachable, "instance %s: %v", name, trace.Unwrap(err)), false
}

// conn is one data connection. Its own goroutine reads its messages. The transaction
// that acquired it from the pool writes to it.
type conn struct {
	id       pooler.Conn
	endpoint endpoint
	net      net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	// onClosed is called once, when the connection has become unusable.
	onClosed func()
	// injected receives the result of each query that the home injects.
	injected chan injectedResult

	mu        sync.Mutex
	responses responseQueue
	prepared  *preparer
	settings  map[string]string
	// dirty reports whether a statement may have changed the session state of the
	// connection.
	dirty bool
	// owner receives the responses to the messages of the current transaction.
	owner  *relay
	closed bool
	// receivedAt is when the last message was received. pendingSince is when the
	// oldest pending response was requested.
	receivedAt, pendingSince time.Time
	// cancelling is closed when a cancel request has been processed or has failed. It
	// is nil when no cancel request is outstanding.
	cancelling chan struct{}
	// forwarding reports whether a message is being forwarded to the owner.
	forwarding bool
	injecting  injectedResult // The result of the injected query in flight.
}

func newConn(id pooler.Conn, e endpoint, hijacked *pgconn.HijackedConn, onClosed func()) *conn {
	c := &conn{
		id: id, endpoint: e, net: hijacked.Conn, frontend: hijacked.Frontend,
		pid: hijacked.PID, secret: hijacked.SecretKey, onClosed: onClosed,
		injected: make(chan injectedResult, 1), prepared: newPreparer(), receivedAt: time.Now(),
	}
	go c.read()
	return c
}

// read receives messages until the connection ends.
func (c *conn) read() {
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			c.end(err)
			return
		}
		if err := c.handle(message); err != nil {
			c.end(err)
			return
		}
	}
}

// end closes the connection and notifies the owner.
func (c *conn) end(err error) {
	_ = c.net.Close()
	c.mu.Lock()
	owner := c.owner
	c.owner = nil
	already := c.closed
	c.closed = true
	c.mu.Unlock()
	select {
	case c.injected <- injectedResult{err: trace.Wrap(err, "home: connection lost")}:
	default:
	}
	if !already {
		c.onClosed()
	}
	if owner != nil {
		owner.lost(err)
	}
}

// Close closes the connection, which ends the reading goroutine.
func (c *conn) Close() { _ = c.net.Close() }

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// assign assigns the connection to a transaction, or to none if r is nil. It returns
// false when the connection is closed.
func (c *conn) assign(r *relay) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = r
	return !c.closed
}

// isClean reports whether the connection can be reused without a reset.
func (c *conn) isClean() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dirty && c.cancelling == nil
}

// unansweredSince returns since when a response has been pending without any data
// from the instance. Nothing counts as pending while the caller is slow to accept a
// message.
func (c *conn) unansweredSince() (since time.Time, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.pendingSince
	if c.receivedAt.After(since) {
		since = c.receivedAt
	}
	return since, !c.responses.empty() && !c.forwarding
}

// write sends bytes whose responses have been registered. It reports whether any byte
// may have reached the instance.
func (c *conn) write(b []byte) (sent bool, err error) {
	n, err := c.net.Write(b)
	if err != nil {
		c.Close()
		return n > 0, trace.Wrap(err, "home: write to the instance")
	}
	return true, nil
}

// injectedResult is the result of a query that the home injects.
type injectedResult struct {
	row      []string // The last row received.
	observed observation
	wrote    bool
	failure  *queryError
	err      error // Set when the connection was lost.
	// afterPosition reports whether the previous message carried a position.
	afterPosition bool
}

// queryError is an error response of the instance.
type queryError struct{ code, message string }

func (e *queryError) Error() string { return "home: " + e.message + " (SQLSTATE " + e.code + ")" }

// run executes an injected query and discards its result.
func (c *conn) run(ctx context.Context, query string) error {
	_, err := c.inject(ctx, query)
	return err
}

// inject executes a query on behalf of the home. The error is a queryError when the
// instance answered with an error response.
func (c *conn) inject(ctx context.Context, query string) (injectedResult, error) {
	select {
	case <-c.injected:
	default:
	}
	message, err := (&pgproto3.Query{String: query}).Encode(nil)
	if err != nil {
		return injectedResult{}, trace.Wrap(err, "home: encode a query")
	}
	c.mu.Lock()
	c.injecting = injectedResult{}
	c.push(pendingResponse{kind: 'Q', discard: true})
	c.prepared.dropUnnamed()
	c.mu.Unlock()
	if _, err := c.write(message); err != nil {
		return injectedResult{}, err
	}
	select {
	case done := <-c.injected:
		if done.failure != nil {
			return done, done.failure
		}
		return done, done.err
	case <-ctx.Done():
		c.Close()
		return injectedResult{}, trace.Wrap(ctx.Err(), "home: %s", query)
	}
}

// push registers a pending response and returns true, unless the instance will skip
// the message. The caller holds the lock.
func (c *conn) push(r pendingResponse) bool {
	if c.responses.empty() {
		c.pendingSince = time.Now()
	}
	return c.responses.push(r)
}

// startCancel sends a cancel request for the running statement. The connection must
// not run anything else until endCancel has returned, because the request could
// cancel that instead.
func (c *conn) startCancel() {
	done := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelling != nil {
		return
	}
	c.cancelling = done
	go func() {
		defer close(done)
		c.cancel()
	}()
}

// endCancel waits until a cancel request has been processed, and runs an empty query
// to absorb the request if it arrived late.
func (c *conn) endCancel(ctx context.Context) error {
	c.mu.Lock()
	done := c.cancelling
	c.cancelling = nil
	c.mu.Unlock()
	if done == nil {
		return nil
	}
	<-done
	var late *queryError
	if err := c.run(ctx, ""); err != nil && !errors.As(err, &late) {
		return err
	}
	return nil
}

// cancel sends a cancel request over a separate connection and waits until the
// instance closes it.
func (c *conn) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	cancelConn, err := c.endpoint.dial(ctx, "tcp", c.endpoint.address)
	if err != nil {
		return
	}
	defer cancelConn.Close()
	deadline, _ := ctx.Deadline()
	_ = cancelConn.SetDeadline(deadline)
	message, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := cancelConn.Write(message); err != nil {
		return
	}
	var end [1]byte
	_, _ = cancelConn.Read(end[:]) // The instance closes it after processing the request.
}

// applySettings applies the session's settings to the connection.
func (c *conn) applySettings(ctx context.Context, settings map[string]string) error {
	if equalSettings(c.settings, settings) {
		return nil
	}
	var query strings.Builder
	if len(c.settings) > 0 {
		query.WriteString("RESET ALL;")
	}
	for name, value := range settings {
		query.WriteString("SET " + quoteIdentifier(strings.ToLower(name)) + " = " + quoteLiteral(value) + ";")
	}
	if err := c.run(ctx, query.String()); err != nil {
		c.settings = unknownSettings
		return err
	}
	c.settings = settings
	return nil
}

// unknownSettings marks a connection to which settings were applied in part. It
// differs from the settings of every session.
var unknownSettings = map[string]string{"": ""}

// reset resets the session state that a statement may have changed.
func (c *conn) reset(ctx context.Context) error {
	if err := c.endCancel(ctx); err != nil {
		c.Close()
		return err
	}
	c.mu.Lock()
	dirty := c.dirty
	c.dirty = false
	c.mu.Unlock()
	if !dirty {
		return nil
	}
	if err := c.run(ctx, "DISCARD ALL"); err != nil {
		c.Close()
		return err
	}
	c.settings = nil
	c.mu.Lock()
	c.prepared = newPreparer()
	c.mu.Unlock()
	return nil
}

func equalSettings(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, value := range a {
		if other, ok := b[name]; !ok || other != value {
			return false
		}
	}
	return true
}

// quoteIdentifier quotes each part of a setting's name.
func quoteIdentifier(name string) string {
	parts := strings.Split(name, ".")
	for i, part := range parts {
		parts[i] = `"` + strings.ReplaceAll(part, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

func quoteLiteral(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if strings.Contains(value, `\`) {
		return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}
