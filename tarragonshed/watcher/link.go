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

// link keeps the control connection to one instance.
type link struct {
	shard   *shard
	name    unit.InstanceName
	address string
	control []controller.Option

	mu   sync.Mutex
	conn *controller.Conn
	// former is the connection opened last, for the next one to end.
	former *controller.Conn
	closed bool
}

// probe asks for the status. A connection that turns out to be broken is
// replaced within the same probe, so that only a refused or silent machine
// counts against the instance.
func (l *link) probe(e promoter.Probe) {
	ctx, cancel := context.WithTimeout(l.shard.ctx, e.Timeout)
	defer cancel()
	start := time.Now()
	status := func(ctx context.Context, c *controller.Conn) (instance.Report, error) { return c.Status(ctx) }
	conn := l.current()
	if conn != nil && !e.Fresh {
		report, err := status(ctx, conn)
		if err == nil || ctx.Err() != nil {
			l.deliver(promoter.ProbeCall, report, err, time.Since(start))
			return
		}
	}
	conn, err := l.dial(ctx)
	if err != nil {
		l.deliver(promoter.ProbeCall, instance.Report{}, err, time.Since(start))
		return
	}
	report, err := status(ctx, conn)
	l.deliver(promoter.ProbeCall, report, err, time.Since(start))
}

// call makes a call over the present connection or a new one.
func (l *link) call(kind promoter.Call, timeout time.Duration, do callFunc) {
	ctx, cancel := context.WithTimeout(l.shard.ctx, timeout)
	defer cancel()
	start := time.Now()
	conn := l.current()
	if conn == nil {
		dialed, err := l.dial(ctx)
		if err != nil {
			l.deliver(kind, instance.Report{}, err, time.Since(start))
			return
		}
		conn = dialed
	}
	report, err := do(ctx, conn)
	l.deliver(kind, report, err, time.Since(start))
}

// quiesce uses a connection of its own, because the call waits for the open
// transactions to end.
func (l *link) quiesce(e promoter.Quiesce) {
	ctx, cancel := context.WithTimeout(l.shard.ctx, e.Timeout)
	defer cancel()
	start := time.Now()
	conn, err := controller.Dial(ctx, l.shard.watcher.dial, l.address, l.control...)
	if err != nil {
		l.deliver(promoter.QuiesceCall, instance.Report{}, err, time.Since(start))
		return
	}
	defer conn.Close()
	report, err := conn.Quiesce(ctx, e.Term, e.Period)
	l.deliver(promoter.QuiesceCall, report, err, time.Since(start))
}

// current returns the connection in use, nil if there is none that works.
func (l *link) current() *controller.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Broken() {
		return nil
	}
	return l.conn
}

// dial opens a connection and puts it in the place of the present one.
func (l *link) dial(ctx context.Context) (*controller.Conn, error) {
	l.mu.Lock()
	former := l.former
	l.mu.Unlock()
	options := append(slices.Clip(l.control), controller.WithPrevious(former))
	conn, err := controller.Dial(ctx, l.shard.watcher.dial, l.address, options...)
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
			l.shard.handle(promoter.Disconnected{Moment: now(), Instance: l.name})
		}
	}()
	return conn, nil
}

func (l *link) replace(conn *controller.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if l.conn != nil {
		go l.conn.Close()
	}
	l.conn, l.former = conn, conn
	return true
}

// drop forgets a connection that ended and reports whether it was in use.
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

// deliver tells the promoter how a call ended.
func (l *link) deliver(call promoter.Call, report instance.Report, err error, took time.Duration) {
	if err == nil && report.Instance == l.name {
		l.shard.handle(promoter.Reported{Moment: now(), Call: call, Report: report, Took: took})
		return
	}
	if call == promoter.ProbeCall {
		l.shard.watcher.meters.failures.Inc(1)
	}
	l.shard.handle(promoter.Failed{Moment: now(), Instance: l.name, Call: call, Cause: cause(err)})
}

// cause tells a machine without a process from silence and from an instance that
// answers with an error.
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
