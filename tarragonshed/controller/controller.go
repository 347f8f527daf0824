// Package controller is the client of the SQL functions that a target offers for
// failover.
//
// # Connections
//
// A [Conn] is one connection to one instance under the application name
// "tarragon-control". Such a connection does not count against the instance's
// connection slots. A Conn executes one call at a time; concurrent calls wait for
// each other. If a call fails for any reason other than an error returned by the
// instance, the Conn can't be used any more. Between calls a Conn reads from the
// connection, so that [Conn.Done] is closed as soon as the instance closes or
// resets it.
//
// # Reports
//
// Every call except [Conn.History] returns the [instance.Report] that the instance
// produced in the same atomic step as the call's effect. The report, and not the
// absence of an error, shows whether a call took effect. A Conn that was opened
// with [WithReceiver] also delivers each report that the instance pushes, between
// its calls. [Listen] only receives reports, on a separate connection.
//
// # Usage
//
//	conn, err := controller.Dial(ctx, dialer.Default, "127.0.0.1:5511", controller.WithDatabase("pulp-ledger-1"))
//	if err != nil {
//		return err
//	}
//	defer conn.Close()
//	report, err := conn.Grant(ctx, 7, "daemon-1")
//	if err != nil {
//		return err
//	}
//	granted := report.Term == 7 && report.GrantedTo == "daemon-1"
package controller

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"
	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/unit"
)

// ApplicationName is the application_name of control connections. The instance
// does not count them against its connection slots.
const ApplicationName = "tarragon-control"

// Channel is the notification channel on which an instance pushes its reports.
const Channel = "tarragon_status"

// DefaultUser is the user that control connections authenticate as.
const DefaultUser = "tarragon"

// Extent is the range of log indexes that was written in one term. First and Last
// are inclusive.
type Extent struct {
	Term  unit.Term  `json:"term"`
	First unit.Index `json:"first"`
	Last  unit.Index `json:"last"`
}

// Conn is a control connection to one instance. It is safe for concurrent use.
type Conn struct {
	mu        sync.Mutex // Held while pg is in use.
	pg        *pgconn.PgConn
	done      chan struct{}
	broken    atomic.Bool
	abandoned atomic.Bool // A call ended with its context, without a response.

	callsMu   sync.Mutex         // Guards the fields below.
	idle      *sync.Cond         // Signalled when calls falls to zero.
	calls     int                // Calls that use pg or wait for it.
	interrupt context.CancelFunc // Ends the wait for notifications.
}

type settings struct {
	user, password, database string
	receive                  func(instance.Report)
	previous                 *Conn
}

// Option configures a control connection.
type Option func(*settings)

// WithUser replaces [DefaultUser] and the empty password.
func WithUser(name, password string) Option {
	return func(s *settings) { s.user, s.password = name, password }
}

// WithDatabase sets the database. It has the name of the instance's group.
func WithDatabase(name string) Option {
	return func(s *settings) { s.database = name }
}

// WithReceiver calls receive with the instance's current report before Dial
// returns, and then with each report that the instance pushes, in order. The
// function must not call methods of the Conn: it runs while the Conn is locked, so
// such a call would deadlock.
func WithReceiver(receive func(instance.Report)) Option {
	return func(s *settings) { s.receive = receive }
}

// WithPrevious terminates the owner's previous connection on the instance before
// Dial returns, if the instance may still have it open. Otherwise connections whose
// closing did not reach the instance would use up its connection limit. The
// previous Conn may be nil.
func WithPrevious(previous *Conn) Option {
	return func(s *settings) { s.previous = previous }
}

// Dial opens a control connection to the instance at the host:port address.
func Dial(ctx context.Context, dial dialer.Func, address string, options ...Option) (*Conn, error) {
	s := settings{user: DefaultUser}
	for _, option := range options {
		option(&s)
	}
	config, err := s.config(dial, address)
	if err != nil {
		return nil, err
	}
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, trace.Wrap(err, "controller: connect to %s", address)
	}
	c := &Conn{pg: pg, done: make(chan struct{}), interrupt: func() {}}
	c.idle = sync.NewCond(&c.callsMu)
	if s.previous != nil && s.previous.mayBeOpen() {
		if _, err := pg.Exec(ctx, TerminateQuery(s.previous.pg.PID())).ReadAll(); err != nil {
			_ = pg.Close(ctx)
			return nil, trace.Wrap(err, "controller: terminate the previous connection to %s", address)
		}
	}
	if s.receive != nil {
		if err := c.subscribe(ctx, s.receive); err != nil {
			_ = pg.Close(ctx)
			return nil, err
		}
	}
	go func() {
		defer close(c.done)
		for !c.Broken() {
			c.receiveNotifications()
		}
	}()
	return c, nil
}

func (s settings) config(dial dialer.Func, address string) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("sslmode=disable host=unset")
	if err != nil {
		return nil, trace.Wrap(err, "controller: build connection config")
	}
	config.Fallbacks = nil
	config.User, config.Password, config.Database = s.user, s.password, s.database
	config.RuntimeParams = map[string]string{"application_name": ApplicationName}
	config.LookupFunc = func(context.Context, string) ([]string, error) { return []string{address}, nil }
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	}
	config.OnNotification = func(_ *pgconn.PgConn, n *pgconn.Notification) {
		if n.Channel != Channel || s.receive == nil {
			return
		}
		if report, err := parseReport([]byte(n.Payload)); err == nil {
			s.receive(report)
		}
	}
	return config, nil
}

// Status returns the current report of the instance.
func (c *Conn) Status(ctx context.Context) (instance.Report, error) {
	return c.queryReport(ctx, "SELECT tarragon_status()")
}

// Grant requests that the instance grants the term to the proposer.
func (c *Conn) Grant(ctx context.Context, term unit.Term, proposer string) (instance.Report, error) {
	return c.queryReport(ctx, callQuery("grant", formatTerm(term), quoteLiteral(proposer)))
}

// Promote requests that the instance becomes primary in the term that it granted
// to the proposer.
func (c *Conn) Promote(ctx context.Context, term unit.Term, proposer string) (instance.Report, error) {
	return c.queryReport(ctx, callQuery("promote", formatTerm(term), quoteLiteral(proposer)))
}

// Follow requests that the instance replicates from the primary of the term, which
// listens at the host:port address.
func (c *Conn) Follow(ctx context.Context, term unit.Term, primary unit.InstanceName, address string) (instance.Report, error) {
	return c.queryReport(ctx, callQuery("follow", formatTerm(term), quoteLiteral(string(primary)), quoteLiteral(address)))
}

// Quiesce blocks new write transactions on the primary of the term for the given
// period, in whole milliseconds, and returns when the open ones have ended. A zero
// period cancels an earlier call.
func (c *Conn) Quiesce(ctx context.Context, term unit.Term, period time.Duration) (instance.Report, error) {
	return c.queryReport(ctx, callQuery("quiesce", formatTerm(term), strconv.FormatInt(period.Milliseconds(), 10)))
}

// History returns the index ranges of the instance's log by term.
func (c *Conn) History(ctx context.Context) ([]Extent, error) {
	text, err := c.queryValue(ctx, "SELECT tarragon_history()")
	if err != nil {
		return nil, err
	}
	var extents []Extent
	if err := json.Unmarshal(text, &extents); err != nil {
		return nil, trace.Wrap(err, "controller: decode history")
	}
	return extents, nil
}

// Broken reports whether the Conn is closed or its connection failed, so that it
// can't be used any more.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// mayBeOpen reports whether the instance may still have the connection open. It is
// false for a connection that the instance itself closed, because the process id of
// such a connection may since belong to another one.
func (c *Conn) mayBeOpen() bool {
	return c.abandoned.Load() || !c.Broken()
}

// TerminateQuery returns the query that terminates the connection with the backend
// process id on the instance.
func TerminateQuery(pid uint32) string {
	return "SELECT pg_terminate_backend(" + strconv.FormatUint(uint64(pid), 10) + ")"
}

// Close closes the connection. A call in flight fails.
func (c *Conn) Close() {
	c.broken.Store(true)
	_ = c.pg.Conn().Close()
	c.acquire()
	defer c.release()
	_ = c.pg.Close(context.Background())
}

func (c *Conn) queryReport(ctx context.Context, query string) (instance.Report, error) {
	text, err := c.queryValue(ctx, query)
	if err != nil {
		return instance.Report{}, err
	}
	return parseReport(text)
}

func (c *Conn) queryValue(ctx context.Context, query string) ([]byte, error) {
	c.acquire()
	defer c.release()
	results, err := c.pg.Exec(ctx, query).ReadAll()
	if err != nil {
		if ctx.Err() != nil {
			c.abandoned.Store(true)
		}
		return nil, trace.Wrap(err, "controller: %s", query)
	}
	text, ok := singleValue(results)
	if !ok {
		return nil, trace.BadParameter("controller: %s did not return one value", query)
	}
	return text, nil
}

// singleValue returns the value of a result with one row of one column.
func singleValue(results []*pgconn.Result) ([]byte, bool) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return nil, false
	}
	return results[0].Rows[0][0], true
}

func parseReport(text []byte) (instance.Report, error) {
	var report instance.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return report, trace.Wrap(err, "controller: decode report")
	}
	return report, nil
}

func callQuery(function string, arguments ...string) string {
	return "SELECT tarragon_" + function + "(" + strings.Join(arguments, ", ") + ")"
}

func formatTerm(term unit.Term) string {
	return strconv.FormatUint(uint64(term), 10)
}

func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
