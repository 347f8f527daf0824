package engine

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/pooler"
)

// replyBuffer is the number of received replies that a link buffers until they are read.
// It is small because most statements have one reply and a daemon has thousands of
// connections.
const replyBuffer = 8

// maxPrepared bounds the statements that are prepared on a connection.
const maxPrepared = 512

// link is a connection to an instance together with the session state applied to it. One
// goroutine receives the replies, so that the loss of an idle connection is detected
// before its next use.
type link struct {
	id      pooler.Conn
	conn    Conn
	replies chan Reply
	lost    chan struct{} // Closed when no more replies will come.
	closed  chan struct{} // Closed when replies are no longer read.
	once    sync.Once

	// values and prepared are used only by the current holder of the link.
	values   map[string]string
	prepared map[Definition]string
	unread   int // Expected replies that have not been read from replies.
	// dirty is true if a value was set within a transaction, whose rollback may undo it.
	dirty bool

	inFlight     atomic.Int32
	waitingSince atomic.Int64 // When the oldest request in flight was sent, or the last reply arrived.
}

func newLink(id pooler.Conn, c Conn, lastReply *atomic.Int64, gone func()) *link {
	l := &link{
		id: id, conn: c,
		replies:  make(chan Reply, replyBuffer),
		lost:     make(chan struct{}),
		closed:   make(chan struct{}),
		values:   make(map[string]string),
		prepared: make(map[Definition]string),
	}
	go func() {
		l.receive(lastReply)
		c.Close()
		close(l.lost)
		gone()
	}()
	return l
}

// receive receives replies until the connection is lost.
func (l *link) receive(lastReply *atomic.Int64) {
	for {
		reply, err := l.conn.Receive()
		if err != nil || l.inFlight.Add(-1) < 0 {
			return
		}
		now := time.Now().UnixNano()
		l.waitingSince.Store(now)
		lastReply.Store(now)
		select {
		case l.replies <- reply:
		case <-l.closed:
			return
		}
	}
}

// Close closes the connection. The instance rolls back a transaction that is open on it.
func (l *link) Close() {
	l.once.Do(func() { close(l.closed) })
	l.conn.Close()
}

// send sends the requests and counts them as in flight.
func (l *link) send(requests ...Request) error {
	if l.inFlight.Add(int32(len(requests))) == int32(len(requests)) {
		l.waitingSince.Store(time.Now().UnixNano())
	}
	return l.conn.Send(requests...)
}

// oldestInFlight returns since when the link has waited for a reply. The result is false
// if no request is in flight.
func (l *link) oldestInFlight() (time.Time, bool) {
	if l.inFlight.Load() <= 0 {
		return time.Time{}, false
	}
	return time.Unix(0, l.waitingSince.Load()), true
}

// requests returns the requests to send for the call: the values and the prepared
// statement that the connection lacks, followed by the statement. inTransaction is true if
// a transaction is open on the connection.
func (l *link) requests(c Call, inTransaction bool) []Request {
	requests := l.valueRequests(c.Values, inTransaction)
	if st, ok := c.Statement.(Execute); ok {
		name, prepared := l.prepared[c.Definition]
		if !prepared {
			name = "p" + strconv.Itoa(len(l.prepared)+1)
			l.prepared[c.Definition] = name
			requests = append(requests, Request{Statement: Prepare{Name: name, Definition: c.Definition}})
		}
		st.Name = name
		c.Statement = st
	}
	return append(requests, Request{ID: c.ID, Statement: c.Statement, After: c.After})
}

// valueRequests returns the requests that give the connection exactly the values. Values
// that it should not have are discarded, which is possible only outside of a transaction.
func (l *link) valueRequests(values map[string]string, inTransaction bool) []Request {
	var requests []Request
	if !inTransaction && (l.dirty || !containsKeys(values, l.values) || len(l.prepared) >= maxPrepared) {
		requests = append(requests, Request{Statement: Discard{}})
		clear(l.values)
		clear(l.prepared)
		l.dirty = false
	}
	for name, value := range values {
		if old, ok := l.values[name]; !ok || old != value {
			requests = append(requests, Request{Statement: Set{Name: name, Value: value}})
			l.values[name] = value
			l.dirty = l.dirty || inTransaction
		}
	}
	return requests
}

// containsKeys reports whether every key of part is in whole.
func containsKeys(whole, part map[string]string) bool {
	for name := range part {
		if _, ok := whole[name]; !ok {
			return false
		}
	}
	return true
}

// call is one statement of a caller.
type call struct {
	Call
	writes bool
	// withoutPosition is true for a read that is too long to be sent with the position that an
	// instance must have reached. The primary has reached any.
	withoutPosition bool
}
