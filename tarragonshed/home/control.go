package home

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/controller"
)

// The timing of control connections.
const (
	retryFirst = 25 * time.Millisecond
	retryLast  = 250 * time.Millisecond
	// askTimeout is how long an instance may take to answer for its status.
	askTimeout = 500 * time.Millisecond
	// heartbeat is the silence after which a control connection is asked,
	// busyHeartbeat the one while data connections owe answers for as long.
	heartbeat     = time.Second
	busyHeartbeat = 200 * time.Millisecond
)

const (
	listenQuery = "LISTEN " + controller.Channel
	statusQuery = "SELECT tarragon_status()"
)

// asked receives the answer to one question for a report.
type asked chan instance.Report

// control is the control connection to one instance: it takes pushed reports in
// and asks for reports. Questions that overlap are merged, but a question never
// joins one that was sent before.
type control struct {
	endpoint endpoint
	receive  func(instance.Report)
	lost     func()

	mu sync.Mutex
	// send asks the present connection for a report; nil without one.
	send     func() error
	inFlight []asked
	next     []asked
	sentAt   time.Time
	heardAt  time.Time
	asking   bool
	stop     context.CancelFunc
	// before is the process id of the connection before, for the connecting
	// goroutine alone; silent tells that it was given up because of its silence.
	before uint32
	silent atomic.Bool
	// failing tells that the instance's address could not be reached at the
	// last try.
	failing atomic.Bool
}

// newControl keeps a control connection until ctx ends.
func newControl(ctx context.Context, e endpoint, receive func(instance.Report), lost func()) *control {
	e.application = controller.ApplicationName
	c := &control{endpoint: e, receive: receive, lost: lost}
	c.endpoint.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := e.dial(ctx, network, address)
		c.failing.Store(err != nil)
		return conn, err
	}
	go func() {
		wait := retryFirst
		for ctx.Err() == nil {
			heard := c.connect(ctx)
			if heard {
				wait = retryFirst
				lost()
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			wait = min(2*wait, retryLast)
		}
	}()
	return c
}

// connect serves one connection until it ends. It reports whether a report came.
func (c *control) connect(ctx context.Context) (heard bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dialing, done := context.WithTimeout(ctx, openTimeout)
	hijacked, err := c.endpoint.connect(dialing)
	done()
	if err != nil {
		return false
	}
	defer hijacked.Conn.Close()
	context.AfterFunc(ctx, func() { _ = hijacked.Conn.Close() })
	var writing sync.Mutex
	write := func(query string) error {
		message, err := (&pgproto3.Query{String: query}).Encode(nil)
		if err != nil {
			return err
		}
		writing.Lock()
		defer writing.Unlock()
		_, err = hijacked.Conn.Write(message)
		return err
	}
	if write(listenQuery) != nil {
		return false
	}
	if c.silent.Swap(false) && write(controller.TerminateQuery(c.before)) != nil {
		return false
	}
	c.before = hijacked.PID
	c.attach(func() error { return write(statusQuery) }, stop)
	defer c.detach()
	c.ask(nil)
	for {
		message, err := hijacked.Frontend.Receive()
		if err != nil {
			return heard
		}
		took, err := c.take(message)
		if err != nil {
			return heard
		}
		heard = heard || took
	}
}

func (c *control) take(message pgproto3.BackendMessage) (bool, error) {
	switch message := message.(type) {
	case *pgproto3.NotificationResponse:
		if message.Channel != controller.Channel {
			return false, nil
		}
		return true, c.report([]byte(message.Payload), false)
	case *pgproto3.DataRow:
		if len(message.Values) != 1 {
			return false, trace.BadParameter("home: a status row has %d columns", len(message.Values))
		}
		if !bytes.HasPrefix(message.Values[0], []byte("{")) {
			return false, nil // Of controller.TerminateQuery.
		}
		return true, c.report(message.Values[0], true)
	case *pgproto3.ErrorResponse:
		return false, trace.Errorf("home: control connection: %s", message.Message)
	}
	return false, nil
}

func (c *control) report(text []byte, answer bool) error {
	var report instance.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return trace.Wrap(err, "home: read a report")
	}
	c.mu.Lock()
	c.heardAt = time.Now()
	var joined []asked
	if answer {
		joined = c.inFlight
		c.inFlight, c.asking = nil, false
	}
	c.mu.Unlock()
	c.receive(report)
	for _, a := range joined {
		a <- report
	}
	if answer {
		c.sendNext(false)
	}
	return nil
}

func (c *control) attach(send func() error, stop context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send, c.stop = send, stop
	c.heardAt = time.Now()
	c.asking = false
	c.next = append(c.inFlight, c.next...)
	c.inFlight = nil
}

func (c *control) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send, c.stop = nil, nil
}

// ask asks for a report. The channel may be nil; it must have room for one.
func (c *control) ask(a asked) {
	c.mu.Lock()
	if a != nil {
		c.next = append(c.next, a)
	}
	c.mu.Unlock()
	c.sendNext(a == nil)
}

// sendNext asks when no question is in flight and one is wanted.
func (c *control) sendNext(always bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.send == nil || c.asking || (len(c.next) == 0 && !always) {
		return
	}
	c.inFlight, c.next = c.next, nil
	c.asking, c.sentAt = true, time.Now()
	if c.send() != nil {
		c.stop()
	}
}

// check ends a connection that does not answer and asks one that is silent.
func (c *control) check(now time.Time, busy bool) {
	limit := heartbeat
	if busy {
		limit = busyHeartbeat
	}
	c.mu.Lock()
	silent := c.send != nil && !c.asking && now.Sub(c.heardAt) > limit
	if c.asking && c.stop != nil && now.Sub(c.sentAt) > askTimeout && now.Sub(c.heardAt) > askTimeout {
		c.silent.Store(true)
		c.stop()
	}
	c.mu.Unlock()
	if silent {
		c.ask(nil)
	}
}

// forget withdraws a question that nobody waits for any more.
func (c *control) forget(a asked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, n := range c.next {
		if n == a {
			c.next = append(c.next[:i], c.next[i+1:]...)
			return
		}
	}
}
