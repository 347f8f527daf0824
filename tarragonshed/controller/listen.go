package controller

import (
	"context"

	"github.com/gravitational/trace"
	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/dialer"
)

// Listen opens a connection to the instance at the host:port address and calls
// receive with the instance's current report and then with each report that the
// instance pushes. It returns when the connection fails or ctx ends; the error is
// never nil.
func Listen(ctx context.Context, dial dialer.Func, address string, receive func(instance.Report), options ...Option) error {
	conn, err := Dial(ctx, dial, address, append(options, WithReceiver(receive))...)
	if err != nil {
		return err
	}
	defer conn.Close()
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "controller: listen on %s", address)
	case <-conn.Done():
		return trace.ConnectionProblem(nil, "controller: connection to %s failed", address)
	}
}

// Done returns a channel that is closed when the Conn is closed or its connection
// fails.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

// subscribe subscribes to the instance's reports and delivers the current one.
func (c *Conn) subscribe(ctx context.Context, receive func(instance.Report)) error {
	results, err := c.pg.Exec(ctx, "LISTEN "+Channel+"; SELECT tarragon_status()").ReadAll()
	if err != nil {
		return trace.Wrap(err, "controller: subscribe to reports")
	}
	text, ok := singleValue(results[max(0, len(results)-1):])
	if !ok {
		return trace.BadParameter("controller: LISTEN returned no report")
	}
	report, err := parseReport(text)
	if err != nil {
		return err
	}
	receive(report)
	return nil
}

// receiveNotifications reads pushed reports until a call needs the connection.
func (c *Conn) receiveNotifications() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.waitIdle(cancel)
	c.mu.Lock()
	defer c.mu.Unlock()
	for ctx.Err() == nil && !c.Broken() {
		if err := c.pg.WaitForNotification(ctx); err != nil && ctx.Err() == nil {
			c.broken.Store(true)
		}
	}
	c.broken.CompareAndSwap(false, c.pg.IsClosed())
}

// waitIdle waits until no call uses the connection or waits for it. The next call
// then calls interrupt.
func (c *Conn) waitIdle(interrupt context.CancelFunc) {
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	for c.calls > 0 {
		c.idle.Wait()
	}
	c.interrupt = interrupt
}

// acquire reserves the connection for a call.
func (c *Conn) acquire() {
	c.callsMu.Lock()
	c.calls++
	c.interrupt()
	c.callsMu.Unlock()
	c.mu.Lock()
}

// release ends the call that [Conn.acquire] began.
func (c *Conn) release() {
	c.broken.CompareAndSwap(false, c.pg.IsClosed())
	c.mu.Unlock()
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	c.calls--
	if c.calls == 0 {
		c.idle.Signal()
	}
}
