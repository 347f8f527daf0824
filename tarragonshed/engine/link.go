package engine

import (
	"crypto/sha256"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

// replyBuffer is the number of received replies that a link buffers until they are read.
// It is small because most statements have one reply and a daemon has thousands of
// connections.
const replyBuffer = 8

// maxPrepared bounds the statements that are prepared on a connection.
const maxPrepared = 512

// maxValueBytes bounds the values that a connection keeps between two uses.
const maxValueBytes = 16 << 10

// digest identifies the definition of a prepared statement. A connection outlives the sessions that
// prepare statements on it, and the texts may be as long as a message.
type digest [sha256.Size]byte

// digestOf returns the digest of the definition.
func digestOf(d Definition) digest {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%t ", d.Writes) // A hash never fails.
	_, _ = io.WriteString(h, d.Text)
	return digest(h.Sum(nil))
}

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

	// values and prepared are the state that the instance has confirmed. They and what follows
	// are used only by the current holder of the link.
	values   map[string]string
	prepared map[digest]string
	// dirty is true if the connection may have other values: one was set within a transaction, whose
	// rollback may undo it, or they were too large to be kept.
	dirty bool
	// uncertain is true if the state is not known: a request to change it failed although it may
	// have run, or it gave the name of another prepared statement. The connection must be closed.
	uncertain bool
	// awaited are the requests whose replies have not been read, the oldest first.
	awaited []awaitedRequest

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
		prepared: make(map[digest]string),
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

// awaitedRequest is a request whose reply has not been read.
type awaitedRequest struct {
	statement     Statement
	inTransaction bool
}

// await records requests whose replies are to be read. inTransaction is true if a transaction is
// open on the connection.
func (l *link) await(requests []Request, inTransaction bool) {
	for _, r := range requests {
		l.awaited = append(l.awaited, awaitedRequest{statement: r.Statement, inTransaction: inTransaction})
	}
}

// settle records what the reply to the oldest awaited request says about the state of the
// connection. A request that did not run has changed nothing.
func (l *link) settle(reply Reply) {
	r := l.awaited[0]
	l.awaited = slices.Delete(l.awaited, 0, 1)
	if reply.Err != nil {
		l.settleError(r.statement, reply.Err.Code)
		return
	}
	switch st := r.statement.(type) {
	case Discard:
		clear(l.values)
		clear(l.prepared)
		l.dirty = false
	case Set:
		l.values[st.Name] = st.Value
		l.dirty = l.dirty || r.inTransaction
	case Prepare:
		// A name is given again if the instance has refused to discard it.
		l.uncertain = l.uncertain || hasName(l.prepared, st.Name)
		l.prepared[digestOf(st.Definition)] = st.Name
	}
}

// hasName reports whether a statement is prepared under the name.
func hasName(prepared map[digest]string, name string) bool {
	for _, known := range prepared {
		if known == name {
			return true
		}
	}
	return false
}

// freeName returns a name under which none of the statements is prepared.
func freeName(prepared map[digest]string) string {
	for n := len(prepared) + 1; ; n++ {
		if name := "p" + strconv.Itoa(n); !hasName(prepared, name) {
			return name
		}
	}
}

// settleError records what the error of a statement says about the state of the connection.
func (l *link) settleError(st Statement, code result.Code) {
	switch st := st.(type) {
	case Discard, Set, Prepare:
		l.uncertain = l.uncertain || code.Entry().Outcome != result.NotRun
	case Execute:
		if code == result.UnknownStatement {
			maps.DeleteFunc(l.prepared, func(_ digest, name string) bool { return name == st.Name })
		}
	}
}

// preparation returns the requests that give the connection exactly the values and the prepared
// statement of the call. There are none if it has them. Values that it should not have are
// discarded, which is possible only outside of a transaction.
func (l *link) preparation(c Call, inTransaction bool) []Request {
	var requests []Request
	values, prepared := l.values, l.prepared
	if !inTransaction && (l.dirty || !containsKeys(c.Values, values) || len(prepared) >= maxPrepared) {
		requests = append(requests, Request{Statement: Discard{}})
		values, prepared = nil, nil
	}
	for name, value := range c.Values {
		if old, ok := values[name]; !ok || old != value {
			requests = append(requests, Request{Statement: Set{Name: name, Value: value}})
		}
	}
	if _, executes := c.Statement.(Execute); executes && prepared[c.digest] == "" {
		requests = append(requests, Request{Statement: Prepare{Name: freeName(prepared), Definition: c.Definition}})
	}
	return requests
}

// fits reports whether an idle connection needs no preparation for the call.
func (l *link) fits(c Call) bool {
	if _, executes := c.Statement.(Execute); executes && l.prepared[c.digest] == "" {
		return false
	}
	return !l.dirty && maps.Equal(l.values, c.Values) && len(l.prepared) < maxPrepared
}

// request returns the request for the call on a connection that has been prepared for it.
func (l *link) request(c Call) Request {
	if st, executes := c.Statement.(Execute); executes {
		st.Name = l.prepared[c.digest]
		c.Statement = st
	}
	return Request{ID: c.ID, Statement: c.Statement, After: c.After}
}

// forgetLarge forgets values that are too large to be kept until the next use. The instance still has
// them, so they are discarded then.
func (l *link) forgetLarge() {
	size := 0
	for name, value := range l.values {
		size += len(name) + len(value)
	}
	if size > maxValueBytes {
		l.values, l.dirty = make(map[string]string), true
	}
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
