package shaper

import (
	"io"
	"net"
	"sync"
	"time"
)

// Limits of one direction of a connection.
const (
	// pipeBytes is the amount of data in flight at which the sender blocks.
	pipeBytes = 1 << 20
	// readBytes is the size of one read from the inner connection.
	readBytes = 32 << 10
	// lingerAfterClose bounds how long a closed end waits for the end of a cut
	// to deliver its data, before the inner connection is closed.
	lingerAfterClose = 2 * time.Minute
)

// conn delays and blocks the data of an inner connection.
type conn struct {
	net.Conn
	network       *Network
	local, remote Node
	// silenced is guarded by the network's lock.
	silenced bool

	outgoing, incoming *pipe
	writeDeadline      deadline
	readDeadline       deadline
	closeOnce          sync.Once
	closed             chan struct{}
	// lingered is closed lingerAfterClose after Close.
	lingered chan struct{}

	readMu sync.Mutex
	unread []byte
}

func newConn(network *Network, inner net.Conn, local, remote Node) *conn {
	c := &conn{
		Conn:     inner,
		network:  network,
		local:    local,
		remote:   remote,
		outgoing: newPipe(network.latency(local, remote)),
		incoming: newPipe(network.latency(remote, local)),
		closed:   make(chan struct{}),
		lingered: make(chan struct{}),
	}
	go func() {
		buffer := make([]byte, readBytes)
		for {
			n, err := inner.Read(buffer)
			if n > 0 && c.incoming.push(buffer[:n], c.closed, nil) != nil {
				return
			}
			if err != nil {
				c.incoming.end(err)
				return
			}
		}
	}()
	go func() {
		defer network.removeConn(c)
		defer inner.Close()
		for {
			p, err := c.outgoing.take(c.gate(local, remote), c.lingered, nil)
			if err != nil {
				return
			}
			if _, err := inner.Write(p); err != nil {
				c.outgoing.end(err)
				return
			}
		}
	}()
	return c
}

// gate returns a function that reports whether a direction is blocked, with a channel
// that is closed at the next change.
func (c *conn) gate(from, to Node) func() (bool, <-chan struct{}) {
	return func() (bool, <-chan struct{}) {
		blocked, changed := c.network.blocked(from, to)
		c.network.mu.RLock()
		defer c.network.mu.RUnlock()
		return blocked || c.silenced, changed
	}
}

// Read reads data that has arrived.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.unread) == 0 {
		chunk, err := c.incoming.take(c.gate(c.remote, c.local), c.closed, &c.readDeadline)
		if err != nil {
			return 0, err
		}
		c.unread = chunk
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write queues p for sending. It blocks while too much data is in flight.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.outgoing.push(p, c.closed, &c.writeDeadline); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the connection once the sent data has been delivered.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.outgoing.end(io.EOF)
		time.AfterFunc(lingerAfterClose, func() { close(c.lingered) })
	})
	return nil
}

// reset resets the connection at once, as the end of the process at one end does.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Conn.Close()
	c.outgoing.end(net.ErrClosed)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline sets the deadline of Read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline sets the deadline of Write.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}
