package entry

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/tracker"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// Transaction states of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session is one caller's session. Its goroutine owns all fields but those under
// the lock.
type session struct {
	entry    *Entry
	id       unit.SessionID
	conn     net.Conn
	since    time.Time
	reader   *framer.Reader
	secret   [secretKeySize]byte
	caller   unit.CallerName
	database unit.GroupName
	group    *group

	tracker    tracker.Session
	announced  unit.Position
	options    options
	statements map[string]*statement

	// status is the transaction state that the caller was told. A session
	// without a pinned lane and with statusFailed has lost its transaction.
	status byte
	pinned *pin
	// pendingSettings are those of SET in the open transaction.
	pendingSettings []setting
	requests        uint64
	// broken tells that the caller can't be written to.
	broken bool
	// ready collects messages to the caller.
	ready []byte

	mu     sync.Mutex
	idle   bool
	lane   carrier.Stream
	cancel context.CancelCauseFunc
}

// pin is the lane of an open transaction.
type pin struct {
	instance unit.InstanceName
	lane     carrier.Stream
	primary  bool
	read     bool
	key      unit.RequestKey
}

func newSession(e *Entry, conn net.Conn, parameters map[string]string) (*session, error) {
	s := &session{
		entry:    e,
		conn:     conn,
		since:    time.Now(),
		reader:   framer.New(conn, e.limits.MaxBatch),
		caller:   unit.CallerName(parameters["user"]),
		database: unit.GroupName(parameters["database"]),
		status:   statusIdle,
	}
	if s.database == "" {
		s.database = unit.GroupName(s.caller)
	}
	rand.Read(s.secret[:]) // Never returns an error.
	return s, s.applyStartup(parameters)
}

// serve runs the session until the caller leaves or the daemon drains.
func (s *session) serve() {
	s.entry.metrics.callers.Inc(1)
	defer s.entry.metrics.callers.Dec(1)
	defer s.unpin()
	for s.await() {
		b := newBatch(s)
		if !s.collect(b) {
			return
		}
		s.execute(b)
		b.free()
		if !s.flush() {
			return
		}
		s.reader.Release()
	}
}

// await returns true when the caller has sent something.
func (s *session) await() bool {
	if s.reader.Buffered() {
		return true
	}
	if !s.setIdle() {
		s.farewell()
		return false
	}
	err := s.reader.Await()
	s.setBusy()
	if err == nil {
		return true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.farewell()
	}
	return false
}

// setIdle marks the session as interruptible, unless it is to end now.
func (s *session) setIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status != statusIdle {
		return true
	}
	s.idle = true
	return !s.entry.draining.Load()
}

func (s *session) setBusy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		s.idle = false
		s.conn.SetReadDeadline(time.Time{})
	}
}

// interrupt ends the session if it is between transactions.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		s.conn.SetReadDeadline(time.Now())
	}
}

// sever closes the session's connection and lane.
func (s *session) sever() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.Close()
	if s.lane != nil {
		s.lane.Close()
	}
	if s.cancel != nil {
		s.cancel(nil)
	}
}

// farewell sends the standard shutdown error.
func (s *session) farewell() {
	s.send(errorResponse(result.New(result.ShuttingDown, "terminating connection due to administrator command"), severityFatal))
}

// fatal ends the session with an error.
func (s *session) fatal(err error) {
	code := result.CodeOf(err)
	if code == 0 {
		return
	}
	s.entry.metrics.refused(code)
	s.send(errorResponse(err, severityFatal))
	s.entry.lingerClose(s.conn)
}

// send writes messages to the caller at once.
func (s *session) send(messages ...pgproto3.BackendMessage) error {
	for _, m := range messages {
		s.queue(m)
	}
	if !s.flush() {
		return net.ErrClosed
	}
	return nil
}

// queue appends a message to what is written next.
func (s *session) queue(message pgproto3.BackendMessage) {
	s.ready, _ = message.Encode(s.ready)
}

// keepBuffer is the capacity up to which a session keeps its write buffer for
// the next pipelined batch.
const keepBuffer = 16 << 10

// flush writes what is queued. It returns false if the caller is gone.
func (s *session) flush() bool {
	if len(s.ready) > 0 {
		s.write(s.ready)
		s.ready = s.ready[:0]
	}
	if !s.reader.Buffered() || cap(s.ready) > keepBuffer {
		releaseBuffer(s.ready)
		s.ready = nil
	}
	return !s.broken
}

func (s *session) write(messages []byte) {
	if s.broken || len(messages) == 0 {
		return
	}
	s.conn.SetWriteDeadline(time.Now().Add(s.entry.limits.WriteTimeout))
	if _, err := s.conn.Write(messages); err != nil {
		s.broken = true
	}
}

// queueReady ends the answer to a batch.
func (s *session) queueReady(status byte) {
	s.status = status
	if p := s.tracker.Position(); s.announced.Before(p) {
		s.announced = p
		s.queue(&pgproto3.ParameterStatus{Name: positionParameter, Value: p.String()})
	}
	s.queue(&pgproto3.ReadyForQuery{TxStatus: status})
}

// unpin gives up the lane of an open transaction, which rolls it back.
func (s *session) unpin() {
	if s.pinned == nil {
		return
	}
	s.setLane(nil)
	s.pinned.lane.Close()
	s.group.end(s.pinned.instance)
	s.pinned = nil
}

func (s *session) setLane(lane carrier.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lane = lane
}

func (s *session) setCancel(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

// transmit sends on the lane. Cancels are sent by other goroutines.
func (s *session) transmit(lane carrier.Stream, request *peer.CarryRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lane.Send(request)
}

// errCancelled is the cause of a context that the caller cancelled.
var errCancelled = errors.New("entry: cancelled by the caller")

// cancelRequest cancels what the session runs.
func (s *session) cancelRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		return
	}
	s.cancel(errCancelled)
	if s.lane != nil {
		s.lane.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}})
	}
}

func (s *session) secretEqual(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.secret[:], secret) == 1
}
