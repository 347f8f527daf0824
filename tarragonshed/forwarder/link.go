package forwarder

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is the connection to one daemon. It outlives a connection: the next one replaces
// it.
type link struct {
	base time.Time
	// readAt is when data arrived last, in nanoseconds since base. A long message counts
	// from its first bytes, so it doesn't look like silence.
	readAt atomic.Int64

	mu   sync.Mutex
	conn net.Conn
}

// linkedConn is a connection that records when data arrives.
type linkedConn struct {
	net.Conn
	link *link
}

// Read implements [net.Conn].
func (c linkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.link.readAt.Store(int64(time.Since(c.link.base)))
	}
	return n, err
}

// join makes c the connection.
func (l *link) join(c net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = linkedConn{Conn: c, link: l}
	return l.conn
}

// lastRead returns when data arrived last.
func (l *link) lastRead() time.Time { return l.base.Add(time.Duration(l.readAt.Load())) }

// cut closes the connection, which may be silent. The transport would use it again.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
