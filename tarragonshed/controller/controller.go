// Package controller calls the functions that a target offers for failover.
//
// # Connections
//
// A [Conn] is one connection to one instance under the application name
// "tarragon-control", which takes no slot of the instance. It serves one call at
// a time; calls of several goroutines wait for each other. A call that fails for
// any other reason than an error of the instance breaks the connection. Between
// calls a Conn reads, so that [Conn.Done] tells at once when the other end
// closes or resets the connection.
//
// # Reports
//
// Every call returns the [instance.Report] that the instance made in the same
// atomic step as the call's effect. Whether a call took effect is read from the
// report and never from the absence of an error. A Conn that was dialed
// [WithReceiver] also delivers reports as they change, in between its calls.
// [Listen] does only that, on a connection of its own.
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

// ApplicationName marks control connections, which take no slot.
const ApplicationName = "tarragon-control"

// Channel is the notification channel on which reports are pushed.
const Channel = "tarragon_status"

// DefaultUser is the user that control connections authenticate as.
const DefaultUser = "tarragon"

// Extent is the range of a log's indexes that was written in one term.
type Extent struct {
	Term  unit.Term  `json:"term"`
	First unit.Index `json:"first"`
	Last  unit.Index `json:"last"`
}

// Conn is a control connection to one instance. It is safe for concurrent use.
type Conn struct {
	mu     sync.Mutex // Held while pg is in use.
	pg     *pgconn.PgConn
	done   chan struct{}
	broken atomic.Bool
	silent atomic.Bool // A call was abandoned.

	waiting   sync.Mutex
	idle      *sync.Cond // Signalled when callers falls to zero.
	callers   int
	interrupt context.CancelFunc
}

type settings struct {
	user, password, database string
	receive                  func(instance.Report)
	former                   *Conn
}

// Option changes how a control connection is opened.
type Option func(*settings)

// WithUser sets the user and the password.
func WithUser(name, password string) Option {
	return func(s *settings) { s.user, s.password = name, password }
}

// WithDatabase sets the database, which is the group's name.
func WithDatabase(name string) Option {
	return func(s *settings) { s.database = name }
}

// WithReceiver calls receive with the instance's present report, before Dial
// returns, and with each one that the instance pushes, in order. It must not
// call the Conn.
func WithReceiver(receive func(instance.Report)) Option {
	return func(s *settings) { s.receive = receive }
}

// WithPrevious makes the instance end the owner's former connection first, if it
// may not know that the connection is closed. Otherwise connections that went
// silent would fill the instance's limit. The former Conn may be nil.
func WithPrevious(former *Conn) Option {
	return func(s *settings) { s.former = former }
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
	c.idle = sync.NewCond(&c.waiting)
	if s.former != nil && s.former.lingers() {
		if _, err := pg.Exec(ctx, TerminateQuery(s.former.pg.PID())).ReadAll(); err != nil {
			_ = pg.Close(ctx)
			return nil, trace.Wrap(err, "controller: end the former connection to %s", address)
		}
	}
	if s.receive != nil {
		if err := c.listen(ctx, s.receive); err != nil {
			_ = pg.Close(ctx)
			return nil, err
		}
	}
	go func() {
		defer close(c.done)
		for !c.Broken() {
			c.await()
		}
	}()
	return c, nil
}

func (s settings) config(dial dialer.Func, address string) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("sslmode=disable host=unset")
	if err != nil {
		return nil, trace.Wrap(err, "controller: make a connection config")
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
		if report, err := parse([]byte(n.Payload)); err == nil {
			s.receive(report)
		}
	}
	return config, nil
}

// Status asks for a report.
func (c *Conn) Status(ctx context.Context) (instance.Report, error) {
	return c.report(ctx, "SELECT tarragon_status()")
}

// Grant asks the instance to grant the term to the proposer.
func (c *Conn) Grant(ctx context.Context, term unit.Term, proposer string) (instance.Report, error) {
	return c.report(ctx, call("grant", number(term), quote(proposer)))
}

// Promote asks the instance to become primary in the term that it granted to
// the proposer.
func (c *Conn) Promote(ctx context.Context, term unit.Term, proposer string) (instance.Report, error) {
	return c.report(ctx, call("promote", number(term), quote(proposer)))
}

// Follow tells the instance to replicate from the primary of the term, which is
// at the host:port address.
func (c *Conn) Follow(ctx context.Context, term unit.Term, primary unit.InstanceName, address string) (instance.Report, error) {
	return c.report(ctx, call("follow", number(term), quote(string(primary)), quote(address)))
}

// Quiesce stops new write transactions on the primary of the term for the given
// time and returns when the open ones have ended. Zero lifts an earlier call.
func (c *Conn) Quiesce(ctx context.Context, term unit.Term, period time.Duration) (instance.Report, error) {
	return c.report(ctx, call("quiesce", number(term), strconv.FormatInt(period.Milliseconds(), 10)))
}

// History asks for the index ranges of the instance's log by term.
func (c *Conn) History(ctx context.Context) ([]Extent, error) {
	text, err := c.text(ctx, "SELECT tarragon_history()")
	if err != nil {
		return nil, err
	}
	var extents []Extent
	if err := json.Unmarshal(text, &extents); err != nil {
		return nil, trace.Wrap(err, "controller: read a history")
	}
	return extents, nil
}

// Broken reports whether the connection can't be used any more.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// lingers reports whether the instance may still have the connection open. One
// that the instance itself ended is none: its process id may be another's now.
func (c *Conn) lingers() bool {
	return c.silent.Load() || !c.Broken()
}

// TerminateQuery returns the query that ends the connection with the process id
// on the instance's side.
func TerminateQuery(pid uint32) string {
	return "SELECT pg_terminate_backend(" + strconv.FormatUint(uint64(pid), 10) + ")"
}

// Close closes the connection. A call that is under way fails.
func (c *Conn) Close() {
	c.broken.Store(true)
	_ = c.pg.Conn().Close()
	c.enter()
	defer c.leave()
	_ = c.pg.Close(context.Background())
}

func (c *Conn) report(ctx context.Context, query string) (instance.Report, error) {
	text, err := c.text(ctx, query)
	if err != nil {
		return instance.Report{}, err
	}
	return parse(text)
}

func (c *Conn) text(ctx context.Context, query string) ([]byte, error) {
	c.enter()
	defer c.leave()
	results, err := c.pg.Exec(ctx, query).ReadAll()
	if err != nil {
		if ctx.Err() != nil {
			c.silent.Store(true)
		}
		return nil, trace.Wrap(err, "controller: %s", query)
	}
	text, ok := single(results)
	if !ok {
		return nil, trace.BadParameter("controller: %s did not return one value", query)
	}
	return text, nil
}

// single returns the only value of a result.
func single(results []*pgconn.Result) ([]byte, bool) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return nil, false
	}
	return results[0].Rows[0][0], true
}

func parse(text []byte) (instance.Report, error) {
	var report instance.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return report, trace.Wrap(err, "controller: read a report")
	}
	return report, nil
}

func call(function string, arguments ...string) string {
	return "SELECT tarragon_" + function + "(" + strings.Join(arguments, ", ") + ")"
}

func number(term unit.Term) string {
	return strconv.FormatUint(uint64(term), 10)
}

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
