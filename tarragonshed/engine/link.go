package engine

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/unit"
)

// maxWaiting bounds the replies that wait to be taken in. Most statements have one, and
// a daemon has thousands of connections.
const maxWaiting = 8

// maxPrepared bounds the statements that are prepared on a connection.
const maxPrepared = 512

// link is a connection to an instance with what it has been told. One goroutine
// reads the replies, so the loss of an idle connection is noticed before it is
// used again.
type link struct {
	id      pooler.Conn
	conn    Conn
	replies chan Reply
	lost    chan struct{} // Closed when no reply will come any more.
	closed  chan struct{} // Closed when nobody takes replies in any more.
	once    sync.Once

	// values and prepared are touched by whoever has the link.
	values   map[string]string
	prepared map[Definition]string
	pending  int // Replies that were asked for and not taken in.
	// dirty tells that a value was set in a transaction, whose end may undo it.
	dirty bool

	owed  atomic.Int32
	since atomic.Int64 // When the oldest owed reply was asked for, or the last one came.
}

func newLink(id pooler.Conn, c Conn, heard *atomic.Int64, gone func()) *link {
	l := &link{
		id: id, conn: c,
		replies:  make(chan Reply, maxWaiting),
		lost:     make(chan struct{}),
		closed:   make(chan struct{}),
		values:   make(map[string]string),
		prepared: make(map[Definition]string),
	}
	go func() {
		l.receive(heard)
		c.Close()
		close(l.lost)
		gone()
	}()
	return l
}

// receive takes replies in until the connection is lost.
func (l *link) receive(heard *atomic.Int64) {
	for {
		reply, err := l.conn.Receive()
		if err != nil || l.owed.Add(-1) < 0 {
			return
		}
		now := time.Now().UnixNano()
		l.since.Store(now)
		heard.Store(now)
		select {
		case l.replies <- reply:
		case <-l.closed:
			return
		}
	}
}

// Close ends the connection. The instance rolls back what is open on it.
func (l *link) Close() {
	l.once.Do(func() { close(l.closed) })
	l.conn.Close()
}

// send sends the requests.
func (l *link) send(requests ...Request) error {
	if l.owed.Add(int32(len(requests))) == int32(len(requests)) {
		l.since.Store(time.Now().UnixNano())
	}
	return l.conn.Send(requests...)
}

// waiting returns since when an owed reply has not come, or false if none is
// owed.
func (l *link) waiting() (time.Time, bool) {
	if l.owed.Load() <= 0 {
		return time.Time{}, false
	}
	return time.Unix(0, l.since.Load()), true
}

// requests returns what has to be sent for the run: the values and the prepared
// statement that the connection lacks, and the statement. Within tells that a
// transaction is open on the connection.
func (l *link) requests(r run, after unit.Position, within bool) []Request {
	requests := l.valueRequests(r.values, within)
	if st, ok := r.statement.(Execute); ok {
		name, known := l.prepared[r.shape]
		if !known {
			name = "p" + strconv.Itoa(len(l.prepared)+1)
			l.prepared[r.shape] = name
			requests = append(requests, Request{Statement: Prepare{Name: name, Definition: r.shape}})
		}
		st.Name = name
		return append(requests, Request{ID: r.id, Statement: st, After: after})
	}
	return append(requests, Request{ID: r.id, Statement: r.statement, After: after})
}

// valueRequests returns the requests that give the connection exactly the values.
func (l *link) valueRequests(values map[string]string, within bool) []Request {
	var requests []Request
	if !within && (l.dirty || !contains(values, l.values) || len(l.prepared) >= maxPrepared) {
		requests = append(requests, Request{Statement: Discard{}})
		clear(l.values)
		clear(l.prepared)
		l.dirty = false
	}
	for name, value := range values {
		if old, ok := l.values[name]; !ok || old != value {
			requests = append(requests, Request{Statement: Set{Name: name, Value: value}})
			l.values[name] = value
			l.dirty = l.dirty || within
		}
	}
	return requests
}

// contains reports whether every name of part is in whole.
func contains(whole, part map[string]string) bool {
	for name := range part {
		if _, ok := whole[name]; !ok {
			return false
		}
	}
	return true
}

// run is one statement of a caller on its way to an instance.
type run struct {
	id        unit.RequestID
	statement Statement
	// shape is that of a prepared statement.
	shape  Definition
	writes bool
	values map[string]string
}
