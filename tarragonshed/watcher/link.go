package watcher

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"tarragonshed.example/instance"
	"tarragonshed.example/promoter"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/unit"
)

type callFunc func(context.Context, *controller.Conn) (instance.Report, error)

// link maintains the control connection to one instance of a group.
type link struct {
	group   *groupWatcher
	name    unit.InstanceName
	address string
	options []controller.Option

	mu   sync.Mutex
	conn *controller.Conn
	// previous is the connection that was opened last. The next one terminates it on
	// the instance, see [controller.WithPrevious].
	previous *controller.Conn
	closed   bool
}

// probe requests the status of the instance on the current connection. If that call
// fails before the timeout of the probe, probe opens a new connection and repeats the
// call, so that a connection that broke earlier does not count as a failure of the
// instance.
func (l *link) probe(e promoter.Probe) {
	ctx, cancel := context.WithTimeout(l.group.ctx, e.Timeout)
	defer cancel()
	start := time.Now()
	status := func(ctx context.Context, c *controller.Conn) (instance.Report, error) { return c.Status(ctx) }
	conn := l.current()
	if conn != nil && !e.Fresh {
		report, err := status(ctx, conn)
		if err == nil || ctx.Err() != nil {
			l.reportResult(promoter.ProbeCall, report, err, time.Since(start))
			return
		}
	}
	conn, err := l.dial(ctx)
	if err != nil {
		l.reportResult(promoter.ProbeCall, instance.Report{}, err, time.Since(start))
		return
	}
	report, err := status(ctx, conn)
	l.reportResult(promoter.ProbeCall, report, err, time.Since(start))
}

// call makes a call on the current connection, or on a new one if there is none.
func (l *link) call(kind promoter.Call, timeout time.Duration, do callFunc) {
	ctx, cancel := context.WithTimeout(l.group.ctx, timeout)
	defer cancel()
	start := time.Now()
	conn := l.current()
	if conn == nil {
		dialed, err := l.dial(ctx)
		if err != nil {
			l.reportResult(kind, instance.Report{}, err, time.Since(start))
			return
		}
		conn = dialed
	}
	report, err := do(ctx, conn)
	l.reportResult(kind, report, err, time.Since(start))
}

// quiesce makes the call on a separate connection. The call waits for the open
// transactions to end and would delay the probes on the shared connection.
func (l *link) quiesce(e promoter.Quiesce) {
	ctx, cancel := context.WithTimeout(l.group.ctx, e.Timeout)
	defer cancel()
	start := time.Now()
	conn, err := controller.Dial(ctx, l.group.watcher.dial, l.address, l.options...)
	if err != nil {
		l.reportResult(promoter.QuiesceCall, instance.Report{}, err, time.Since(start))
		return
	}
	defer conn.Close()
	report, err := conn.Quiesce(ctx, e.Term, e.Period)
	l.reportResult(promoter.QuiesceCall, report, err, time.Since(start))
}

// current returns the connection in use, or nil if there is none or it is broken.
func (l *link) current() *controller.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Broken() {
		return nil
	}
	return l.conn
}

// dial opens a connection, which replaces the current one.
func (l *link) dial(ctx context.Context) (*controller.Conn, error) {
	l.mu.Lock()
	previous := l.previous
	l.mu.Unlock()
	options := append(slices.Clip(l.options), controller.WithPrevious(previous))
	conn, err := controller.Dial(ctx, l.group.watcher.dial, l.address, options...)
	if err != nil {
		return nil, err
	}
	if !l.replace(conn) {
		conn.Close()
		return nil, net.ErrClosed
	}
	go func() {
		<-conn.Done()
		if l.drop(conn) {
			l.group.handle(promoter.Disconnected{Moment: now(), Instance: l.name})
		}
	}()
	return conn, nil
}

// replace sets the connection in use and closes the one before. It reports whether the
// link is still open.
func (l *link) replace(conn *controller.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if l.conn != nil {
		go l.conn.Close()
	}
	l.conn, l.previous = conn, conn
	return true
}

// drop removes a connection that ended. It reports whether the connection was in use
// and the link is open.
func (l *link) drop(conn *controller.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return false
	}
	l.conn = nil
	go conn.Close()
	return !l.closed
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		go l.conn.Close()
	}
}

// reportResult passes the result of a call to the promoter. A report of another
// instance at the same address is handled as a failed call.
func (l *link) reportResult(call promoter.Call, report instance.Report, err error, took time.Duration) {
	if err == nil && report.Instance == l.name {
		l.group.handle(promoter.Reported{Moment: now(), Call: call, Report: report, Took: took})
		return
	}
	if call == promoter.ProbeCall {
		l.group.watcher.meters.failures.Inc(1)
	}
	l.group.handle(promoter.Failed{Moment: now(), Instance: l.name, Call: call, Cause: cause(err)})
}

// cause classifies the error of a call. [promoter.Refused] means that no process
// listens at the address or that the connection was reset or closed, [promoter.Denied]
// that the instance returned an error or that the report was of another instance, and
// [promoter.TimedOut] that there was no response.
func cause(err error) promoter.Cause {
	var denied *pgconn.PgError
	switch {
	case err == nil, errors.As(err, &denied):
		return promoter.Denied
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return promoter.Refused
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return promoter.Refused
	}
	return promoter.TimedOut
}
