package controller

import (
	"context"

	"github.com/gravitational/trace"
	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/dialer"
)

// Listen opens a connection to the instance at the host:port address and calls
// receive with its present report and with each later one that it pushes. It
// returns when the connection breaks or ctx ends; the error is never nil.
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
		return trace.ConnectionProblem(nil, "controller: the connection to %s broke", address)
	}
}

// Done is closed when the Conn is closed or breaks.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

// listen subscribes to the instance's reports and delivers the present one.
func (c *Conn) listen(ctx context.Context, receive func(instance.Report)) error {
	results, err := c.pg.Exec(ctx, "LISTEN "+Channel+"; SELECT tarragon_status()").ReadAll()
	if err != nil {
		return trace.Wrap(err, "controller: listen")
	}
	text, ok := single(results[len(results)-1:])
	if !ok {
		return trace.BadParameter("controller: no report came with LISTEN")
	}
	report, err := parse(text)
	if err != nil {
		return err
	}
	receive(report)
	return nil
}

// await reads pushed reports until a call wants the connection.
func (c *Conn) await() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.yield(cancel)
	c.mu.Lock()
	defer c.mu.Unlock()
	for ctx.Err() == nil && !c.Broken() {
		if err := c.pg.WaitForNotification(ctx); err != nil && ctx.Err() == nil {
			c.broken.Store(true)
		}
	}
	c.broken.CompareAndSwap(false, c.pg.IsClosed())
}

// yield waits until no call wants the connection, and lets the next one call
// interrupt.
func (c *Conn) yield(interrupt context.CancelFunc) {
	c.waiting.Lock()
	defer c.waiting.Unlock()
	for c.callers > 0 {
		c.idle.Wait()
	}
	c.interrupt = interrupt
}

// enter takes the connection for a call.
func (c *Conn) enter() {
	c.waiting.Lock()
	c.callers++
	c.interrupt()
	c.waiting.Unlock()
	c.mu.Lock()
}

func (c *Conn) leave() {
	c.broken.CompareAndSwap(false, c.pg.IsClosed())
	c.mu.Unlock()
	c.waiting.Lock()
	defer c.waiting.Unlock()
	c.callers--
	if c.callers == 0 {
		c.idle.Signal()
	}
}
