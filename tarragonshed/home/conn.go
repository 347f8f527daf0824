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

// ApplicationName is what data connections call themselves.
const ApplicationName = "tarragonshed"

const (
	positionParameter = "tarragon_position"
	tooManyState      = "53300"
	cancelTimeout     = time.Second
)

// endpoint is where a connection goes to and as whom.
type endpoint struct {
	dial           dialer.Func
	address        string
	group          unit.GroupName
	user, password string
	application    string
}

// connect opens and authenticates a connection and takes it over from pgconn.
func (e endpoint) connect(ctx context.Context) (*pgconn.HijackedConn, error) {
	pg, err := e.dialFresh(ctx)
	if err != nil {
		return nil, err
	}
	return pg.Hijack()
}

func (e endpoint) dialFresh(ctx context.Context) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable host=unset")
	if err != nil {
		return nil, trace.Wrap(err, "home: make a connection config")
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

// connectError gives a failed connect its result code: nothing has run.
func connectError(name unit.InstanceName, err error) (failure *result.Error, exhausted bool) {
	var pg *pgconn.PgError
	if errors.As(err, &pg) && pg.Code == tooManyState {
		return result.New(result.ConnectionsExhausted, "instance %s has too many connections", name), true
	}
	return result.New(result.InstanceUnreachable, "instance %s: %v", name, trace.Unwrap(err)), false
}

// conn is one data connection. Its messages are read by a goroutine of its own;
// they are sent by whoever has it from the pool.
type conn struct {
	id       pooler.Conn
	endpoint endpoint
	net      net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	// onClosed is called once, when the connection can't be used any more.
	onClosed func()
	// injected receives the outcome of each query of the home's own.
	injected chan injection

	mu       sync.Mutex
	answers  expected
	prepared *preparer
	settings map[string]string
	// dirty tells that a statement may have changed the connection's state.
	dirty bool
	// owner takes the answers to messages of the present transaction.
	owner  *relay
	closed bool
	// heard is when the last message came, asked when the oldest owed answer
	// was asked for.
	heard, asked time.Time
	// cancelling is closed when a request to cancel has been taken in.
	cancelling chan struct{}
	// handling tells that a message is being passed on.
	handling bool
	own      injection // The injected query in course.
}

func newConn(id pooler.Conn, e endpoint, hijacked *pgconn.HijackedConn, onClosed func()) *conn {
	c := &conn{
		id: id, endpoint: e, net: hijacked.Conn, frontend: hijacked.Frontend,
		pid: hijacked.PID, secret: hijacked.SecretKey, onClosed: onClosed,
		injected: make(chan injection, 1), prepared: newPreparer(), heard: time.Now(),
	}
	go c.read()
	return c
}

// read takes messages in until the connection ends.
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

// end closes the connection and tells the owner.
func (c *conn) end(err error) {
	_ = c.net.Close()
	c.mu.Lock()
	owner := c.owner
	c.owner = nil
	already := c.closed
	c.closed = true
	c.mu.Unlock()
	select {
	case c.injected <- injection{err: trace.Wrap(err, "home: connection lost")}:
	default:
	}
	if !already {
		c.onClosed()
	}
	if owner != nil {
		owner.lost(err)
	}
}

// Close makes the reading goroutine end.
func (c *conn) Close() { _ = c.net.Close() }

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// begin gives the connection to a transaction, or to none. It returns false
// when the connection is closed.
func (c *conn) begin(r *relay) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = r
	return !c.closed
}

// isClean reports whether the connection can be handed on as it is.
func (c *conn) isClean() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dirty && c.cancelling == nil
}

// waits returns since when the connection owes an answer without having said
// anything. While the caller does not take an answer in, nothing is owed.
func (c *conn) waits() (since time.Time, owes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.asked
	if c.heard.After(since) {
		since = c.heard
	}
	return since, !c.answers.empty() && !c.handling
}

// write sends bytes whose answers have been noted. It reports whether any byte
// may have reached the instance.
func (c *conn) write(b []byte) (sent bool, err error) {
	n, err := c.net.Write(b)
	if err != nil {
		c.Close()
		return n > 0, trace.Wrap(err, "home: write to the instance")
	}
	return true, nil
}

// injection is what became of a query of the home's own.
type injection struct {
	row     []string // The last row.
	seen    seen
	wrote   bool
	failure *queryError
	err     error // The connection was lost.
	// fresh tells that seen came with the message before this one.
	fresh bool
}

// queryError is an error of the instance.
type queryError struct{ code, message string }

func (e *queryError) Error() string { return "home: " + e.message + " (SQLSTATE " + e.code + ")" }

// run executes a query of the home's own and drops its answer.
func (c *conn) run(ctx context.Context, query string) error {
	_, err := c.inject(ctx, query)
	return err
}

// inject executes a query of the home's own. The error is a queryError when the
// instance answered with one.
func (c *conn) inject(ctx context.Context, query string) (injection, error) {
	select {
	case <-c.injected:
	default:
	}
	message, err := (&pgproto3.Query{String: query}).Encode(nil)
	if err != nil {
		return injection{}, trace.Wrap(err, "home: encode a query")
	}
	c.mu.Lock()
	c.own = injection{}
	c.push(owed{kind: 'Q', swallow: true})
	c.prepared.dropUnnamed()
	c.mu.Unlock()
	if _, err := c.write(message); err != nil {
		return injection{}, err
	}
	select {
	case done := <-c.injected:
		if done.failure != nil {
			return done, done.failure
		}
		return done, done.err
	case <-ctx.Done():
		c.Close()
		return injection{}, trace.Wrap(ctx.Err(), "home: %s", query)
	}
}

// push notes that an answer is owed, unless the instance will skip the message.
// The lock is held.
func (c *conn) push(o owed) bool {
	if c.answers.empty() {
		c.asked = time.Now()
	}
	return c.answers.push(o)
}

// startCancel asks the instance to cancel what runs on the connection. Until
// endCancel has returned, the connection must not be used for anything else: the
// request could hit that.
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

// endCancel waits until a request to cancel has been taken in, and absorbs it if
// it came too late.
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

// cancel asks the instance to cancel what runs on the connection.
func (c *conn) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	side, err := c.endpoint.dial(ctx, "tcp", c.endpoint.address)
	if err != nil {
		return
	}
	defer side.Close()
	deadline, _ := ctx.Deadline()
	_ = side.SetDeadline(deadline)
	message, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := side.Write(message); err != nil {
		return
	}
	var end [1]byte
	_, _ = side.Read(end[:]) // The instance closes when it has taken it in.
}

// adjust gives the connection the session's settings.
func (c *conn) adjust(ctx context.Context, settings map[string]string) error {
	if equal(c.settings, settings) {
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

// unknownSettings stand for settings that were applied in part. They equal no
// session's.
var unknownSettings = map[string]string{"": ""}

// reset undoes what a statement may have changed on the connection.
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

func equal(a, b map[string]string) bool {
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

// quoteIdentifier quotes the parts of a setting's name.
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
