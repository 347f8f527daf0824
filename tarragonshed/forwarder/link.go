package forwarder

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// arrivals records when data arrived last. A long message counts from its first bytes, so it
// doesn't look like silence.
type arrivals struct {
	base   time.Time
	readAt atomic.Int64 // In nanoseconds since base.
}

// record records that n bytes have arrived now.
func (a *arrivals) record(n int) {
	if n > 0 {
		a.readAt.Store(int64(time.Since(a.base)))
	}
}

// lastRead returns when data arrived last.
func (a *arrivals) lastRead() time.Time { return a.base.Add(time.Duration(a.readAt.Load())) }

// link is the connection to one daemon. It outlives a connection: the next one replaces
// it.
type link struct {
	arrivals

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
	c.link.record(n)
	return n, err
}

// join makes c the connection.
func (l *link) join(c net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = linkedConn{Conn: c, link: l}
	return l.conn
}

// cut closes the connection, which may be silent. The transport would use it again.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
