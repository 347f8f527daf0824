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

	"tarragonshed.example/budgeter"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/admitter"
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

// session is the session of one caller. Its goroutine owns all fields except
// those after mu.
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

	tracker          tracker.Session
	reportedPosition unit.Position
	options          options
	statements       map[string]*statement
	// budget grants the memory of the session, and stateBytes is that of its prepared
	// statements.
	budget     *admitter.Session
	stateBytes int
	// batch is the batch that is being collected or run.
	batch *batch

	// status is the transaction state of the latest ReadyForQuery. A session
	// with statusFailed and without a pinned stream has lost its transaction.
	status byte
	pinned *pin
	// pendingSettings are the settings changed in the open transaction. They
	// are kept when it commits.
	pendingSettings []setting
	requests        uint64
	// writeFailed is true after a write to the caller has failed.
	writeFailed bool
	// output is the buffer of messages that are to be written to the caller.
	output []byte

	mu     sync.Mutex
	idle   bool
	stream carrier.Stream
	cancel context.CancelCauseFunc
}

// pin holds the stream of an open transaction.
type pin struct {
	instance unit.InstanceName
	stream   carrier.Stream
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
	s.reader.SetBudget(func(bytes int) error { return s.batch.hold(bytes) })
	if s.database == "" {
		s.database = unit.GroupName(s.caller)
	}
	rand.Read(s.secret[:]) // Never returns an error.
	return s, s.applyStartup(parameters)
}

// serve runs the session until the caller disconnects or the daemon drains.
func (s *session) serve() {
	s.entry.meters.callers.Inc(1)
	defer s.entry.meters.callers.Dec(1)
	defer s.unpin()
	for {
		ahead := s.reader.Buffered()
		if !s.awaitMessage() {
			return
		}
		s.budget.Busy()
		b := newBatch(s)
		b.ahead = ahead
		s.batch = b
		if !s.collect(b) {
			return
		}
		s.execute(b)
		b.free()
		s.releaseBatch(b)
		if !s.flush() {
			return
		}
		s.reader.Release()
		s.budget.Idle(false)
	}
}

// awaitMessage blocks until the caller has sent a message. It returns false if
// the session ends.
func (s *session) awaitMessage() bool {
	if s.reader.Buffered() {
		return true
	}
	if !s.setIdle() {
		s.sendShutdownError()
		return false
	}
	err := s.reader.Await()
	s.setBusy()
	if err == nil {
		return true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.sendShutdownError()
	}
	return false
}

// setIdle marks the session as interruptible if no transaction is open. It
// returns false if the session has to end now.
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

// interrupt ends the session if no transaction is open and no batch is running.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		s.conn.SetReadDeadline(time.Now())
	}
}

// closeConnections closes the connection of the caller and the stream in use,
// and cancels the run.
func (s *session) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.Close()
	if s.stream != nil {
		s.stream.Close()
	}
	if s.cancel != nil {
		s.cancel(nil)
	}
}

// sendShutdownError sends the shutdown error of PostgreSQL.
func (s *session) sendShutdownError() {
	s.send(errorResponse(result.New(result.ShuttingDown, "terminating connection due to administrator command"), severityFatal))
}

// fatal sends a fatal error before the session ends.
func (s *session) fatal(err error) {
	code := result.CodeOf(err)
	if code == 0 {
		return
	}
	s.entry.meters.recordRefusal(code)
	s.send(errorResponse(err, severityFatal))
	s.entry.lingerClose(s.conn)
}

// send writes messages to the caller without delay.
func (s *session) send(messages ...pgproto3.BackendMessage) error {
	for _, m := range messages {
		s.queue(m)
	}
	if !s.flush() {
		return net.ErrClosed
	}
	return nil
}

// queue appends a message to the output buffer.
func (s *session) queue(message pgproto3.BackendMessage) {
	s.output, _ = message.Encode(s.output)
}

// maxRetainedBuffer is the maximum capacity in bytes of an output buffer that
// the session keeps for the next pipelined batch.
const maxRetainedBuffer = 16 << 10

// flush writes the output buffer. It returns false if writing to the caller has
// failed.
func (s *session) flush() bool {
	if len(s.output) > 0 {
		s.write(s.output)
		s.output = s.output[:0]
	}
	if !s.reader.Buffered() || cap(s.output) > maxRetainedBuffer {
		releaseBuffer(s.output)
		s.output = nil
	}
	return !s.writeFailed
}

func (s *session) write(messages []byte) {
	if s.writeFailed || len(messages) == 0 {
		return
	}
	if len(messages) > smallBytes {
		if s.budget.Hold(budgeter.Answer, len(messages)) != nil {
			s.writeFailed = true
			return
		}
		defer s.budget.Release(budgeter.Answer)
	}
	s.conn.SetWriteDeadline(time.Now().Add(s.entry.limits.WriteTimeout))
	if _, err := s.conn.Write(messages); err != nil {
		s.writeFailed = true
	}
}

// queueReady queues the end of the response to a batch, with the position of
// the session if it has changed.
func (s *session) queueReady(status byte) {
	s.status = status
	if p := s.tracker.Position(); s.reportedPosition.Before(p) {
		s.reportedPosition = p
		s.queue(&pgproto3.ParameterStatus{Name: positionParameter, Value: p.String()})
	}
	s.queue(&pgproto3.ReadyForQuery{TxStatus: status})
}

// unpin closes the stream of the open transaction, which the home then rolls
// back.
func (s *session) unpin() {
	if s.pinned == nil {
		return
	}
	s.setStream(nil)
	s.pinned.stream.Close()
	s.group.endStatement(s.pinned.instance)
	s.pinned = nil
}

func (s *session) setStream(stream carrier.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream = stream
}

func (s *session) setCancel(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

// transmit sends a request on the stream. It holds the lock because cancel
// requests are sent by other goroutines.
func (s *session) transmit(stream carrier.Stream, request *peer.CarryRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stream.Send(request)
}

// errCancelled is the cause of the context's cancellation after a cancel request
// of the caller.
var errCancelled = errors.New("entry: cancelled by the caller")

// cancelRequest cancels the running batch.
func (s *session) cancelRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		return
	}
	s.cancel(errCancelled)
	if s.stream != nil {
		s.stream.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}})
	}
}

func (s *session) secretEqual(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.secret[:], secret) == 1
}
