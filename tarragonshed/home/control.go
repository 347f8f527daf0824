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
	minRetryInterval = 25 * time.Millisecond
	maxRetryInterval = 250 * time.Millisecond
	// statusTimeout is how long an instance may take to answer a request for its
	// status.
	statusTimeout = 500 * time.Millisecond
	// heartbeatInterval is the time without data after which a control connection is
	// sent a request. busyHeartbeatInterval applies while responses have been pending
	// on data connections for as long.
	heartbeatInterval     = time.Second
	busyHeartbeatInterval = 200 * time.Millisecond
)

const (
	listenQuery = "LISTEN " + controller.Channel
	statusQuery = "SELECT tarragon_status()"
)

// reportRequest receives the answer to one request for a report.
type reportRequest chan instance.Report

// control manages the control connection to one instance, over which the instance
// pushes reports and answers requests for them. Concurrent requests are coalesced,
// but a request never joins one that was sent before it.
type control struct {
	endpoint endpoint
	receive  func(instance.Report)
	lost     func()

	mu sync.Mutex
	// send requests a report over the current connection. It is nil when there is
	// none.
	send       func() error
	inFlight   []reportRequest
	queued     []reportRequest
	sentAt     time.Time
	receivedAt time.Time
	requesting bool
	stop       context.CancelFunc
	// previousPID is the process ID of the previous connection. Only the connecting
	// goroutine uses it. unresponsive reports whether the previous connection was
	// closed because it was unresponsive.
	previousPID  uint32
	unresponsive atomic.Bool
	// unreachable reports whether the last attempt to reach the instance's address
	// failed.
	unreachable atomic.Bool
}

// newControl maintains a control connection until ctx ends.
func newControl(ctx context.Context, e endpoint, receive func(instance.Report), lost func()) *control {
	e.application = controller.ApplicationName
	c := &control{endpoint: e, receive: receive, lost: lost}
	c.endpoint.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := e.dial(ctx, network, address)
		c.unreachable.Store(err != nil)
		return conn, err
	}
	go func() {
		wait := minRetryInterval
		for ctx.Err() == nil {
			received := c.connect(ctx)
			if received {
				wait = minRetryInterval
				lost()
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			wait = min(2*wait, maxRetryInterval)
		}
	}()
	return c
}

// connect opens a connection and serves it until it ends. It reports whether a report
// was received.
func (c *control) connect(ctx context.Context) (received bool) {
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
	if c.unresponsive.Swap(false) && write(controller.TerminateQuery(c.previousPID)) != nil {
		return false
	}
	c.previousPID = hijacked.PID
	c.attach(func() error { return write(statusQuery) }, stop)
	defer c.detach()
	c.request(nil)
	for {
		message, err := hijacked.Frontend.Receive()
		if err != nil {
			return received
		}
		isReport, err := c.handle(message)
		if err != nil {
			return received
		}
		received = received || isReport
	}
}

func (c *control) handle(message pgproto3.BackendMessage) (bool, error) {
	switch message := message.(type) {
	case *pgproto3.NotificationResponse:
		if message.Channel != controller.Channel {
			return false, nil
		}
		return true, c.report([]byte(message.Payload), false)
	case *pgproto3.DataRow:
		if len(message.Values) != 1 {
			return false, trace.BadParameter("home: got %d columns in a status row, want 1", len(message.Values))
		}
		if !bytes.HasPrefix(message.Values[0], []byte("{")) {
			return false, nil // The result of controller.TerminateQuery.
		}
		return true, c.report(message.Values[0], true)
	case *pgproto3.ErrorResponse:
		return false, trace.Errorf("home: control connection: %s", message.Message)
	}
	return false, nil
}

func (c *control) report(text []byte, isAnswer bool) error {
	var report instance.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return trace.Wrap(err, "home: decode a report")
	}
	c.mu.Lock()
	c.receivedAt = time.Now()
	var requests []reportRequest
	if isAnswer {
		requests = c.inFlight
		c.inFlight, c.requesting = nil, false
	}
	c.mu.Unlock()
	c.receive(report)
	for _, r := range requests {
		r <- report
	}
	if isAnswer {
		c.sendNext(false)
	}
	return nil
}

func (c *control) attach(send func() error, stop context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send, c.stop = send, stop
	c.receivedAt = time.Now()
	c.requesting = false
	c.queued = append(c.inFlight, c.queued...)
	c.inFlight = nil
}

func (c *control) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send, c.stop = nil, nil
}

// request requests a report. The channel may be nil; otherwise it must have a
// capacity of at least one.
func (c *control) request(r reportRequest) {
	c.mu.Lock()
	if r != nil {
		c.queued = append(c.queued, r)
	}
	c.mu.Unlock()
	c.sendNext(r == nil)
}

// sendNext sends a request if none is in flight and one is queued, or if always is
// set.
func (c *control) sendNext(always bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.send == nil || c.requesting || (len(c.queued) == 0 && !always) {
		return
	}
	c.inFlight, c.queued = c.queued, nil
	c.requesting, c.sentAt = true, time.Now()
	if c.send() != nil {
		c.stop()
	}
}

// check closes a connection that does not answer, and sends a request on one without
// recent data.
func (c *control) check(now time.Time, busy bool) {
	limit := heartbeatInterval
	if busy {
		limit = busyHeartbeatInterval
	}
	c.mu.Lock()
	quiet := c.send != nil && !c.requesting && now.Sub(c.receivedAt) > limit
	if c.requesting && c.stop != nil && now.Sub(c.sentAt) > statusTimeout && now.Sub(c.receivedAt) > statusTimeout {
		c.unresponsive.Store(true)
		c.stop()
	}
	c.mu.Unlock()
	if quiet {
		c.request(nil)
	}
}

// withdraw removes a queued request whose caller no longer waits.
func (c *control) withdraw(r reportRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, n := range c.queued {
		if n == r {
			c.queued = append(c.queued[:i], c.queued[i+1:]...)
			return
		}
	}
}
