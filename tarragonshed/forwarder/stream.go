package forwarder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

const (
	// queueLength bounds the messages that wait to be written to a stream.
	queueLength = 128
	// minMargin is the least time by which the home's deadline is before the sender's, so
	// that a refusal arrives in time.
	minMargin = 5 * time.Millisecond
	// hopDivisor is the inverse of the weight that the latest statement has in the average
	// time of the hop.
	hopDivisor = 8
)

// The causes of streams that end or are not opened.
var (
	errClosed = errors.New("the stream was closed")
	errSilent = errors.New("the daemon is silent")

	errOpenTimeout = errors.New("the daemon didn't accept the stream in time")
)

// stream is the stream to one daemon. One goroutine writes and another one reads it.
type stream struct {
	forwarder *Forwarder
	address   string
	link      *link
	bidi      *connect.BidiStreamForClient[peer.ForwardRequest, peer.ForwardResponse]
	stop      context.CancelFunc
	queue     chan *message
	ended     chan struct{} // Closed when the stream has ended.
	hop       atomic.Int64  // Average time of a statement outside the home, in nanoseconds.

	mu sync.Mutex
	// waiting holds the channels of responses of the leases and of requests for positions.
	waiting map[uint64]chan *peer.ForwardResponse
	lastID  uint64
	// retired is true if no lease is added any more.
	retired bool
	// cause is why the stream has ended.
	cause error
	// usedAt is when the last lease was detached.
	usedAt  time.Time
	traffic traffic
}

// message is a message that is written once to a stream or not at all.
type message struct {
	request *peer.ForwardRequest
	state   atomic.Int32
}

// The states of a message.
const (
	messageQueued int32 = iota
	messageWritten
	messageUnsent
)

// withdraw prevents a message from being written. It returns false if the message may have
// been written.
func (m *message) withdraw() bool {
	return m.state.CompareAndSwap(messageQueued, messageUnsent) || m.state.Load() == messageUnsent
}

// wait is how long a call may wait.
type wait struct {
	ctx      context.Context
	deadline time.Time
	timer    *time.Timer
}

func newWait(ctx context.Context, deadline time.Time) (w wait, stop func() bool) {
	timer := time.NewTimer(time.Until(deadline))
	return wait{ctx: ctx, deadline: deadline, timer: timer}, timer.Stop
}

// openStream opens a stream. It returns when the daemon has accepted it.
func openStream(f *Forwarder, address string, h *remoteHome) (*stream, error) {
	began := time.Now()
	ctx, stop := context.WithCancel(f.ctx)
	timeout := time.AfterFunc(openTimeout, stop)
	bidi := h.client.Forward(ctx)
	err := bidi.Send(nil) // Sends the header.
	var first *peer.ForwardResponse
	if err == nil {
		first, err = bidi.Receive()
	}
	if err == nil && first.GetReady() == nil {
		err = errors.New("the daemon doesn't accept the stream")
	}
	if !timeout.Stop() {
		err = errOpenTimeout
	}
	if err != nil {
		stop()
		_ = bidi.CloseRequest()
		return nil, err
	}
	s := &stream{
		forwarder: f, address: address, link: h.link, bidi: bidi, stop: stop, usedAt: time.Now(),
		queue: make(chan *message, queueLength), ended: make(chan struct{}),
		waiting: make(map[uint64]chan *peer.ForwardResponse),
	}
	s.hop.Store(int64(time.Since(began)) / 2) // The connection took one round trip, the stream another one.
	return s, nil
}

// start starts the goroutines of the stream.
func (s *stream) start() {
	go s.write()
	go s.read()
}

func (s *stream) write() {
	for {
		select {
		case m := <-s.queue:
			if !m.state.CompareAndSwap(messageQueued, messageWritten) {
				continue
			}
			if err := s.bidi.Send(m.request); err != nil {
				// The transport didn't accept the whole message.
				m.state.Store(messageUnsent)
				s.end(err)
				return
			}
			s.recordSent(time.Now())
		case <-s.ended:
			return
		}
	}
}

func (s *stream) read() {
	defer s.stop()
	for {
		response, err := s.bidi.Receive()
		if err != nil {
			s.end(err)
			return
		}
		if response.GetDraining() != nil {
			s.forwarder.fail(s, "the daemon is shutting down")
			s.retire()
			continue
		}
		s.deliver(response)
	}
}

// deliver passes a response to the lease that waits for it. Others are dropped.
func (s *stream) deliver(r *peer.ForwardResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.waiting[r.GetId()] <- r:
	default:
	}
}

// attach adds a lease. The result is false if the stream accepts none.
func (s *stream) attach() (uint64, <-chan *peer.ForwardResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return 0, nil, false
	}
	s.lastID++
	replies := make(chan *peer.ForwardResponse, 1)
	s.waiting[s.lastID] = replies
	if len(s.waiting) == 1 {
		s.traffic.sinceLeases = time.Now()
	}
	return s.lastID, replies, true
}

// detach removes a lease.
func (s *stream) detach(id uint64) {
	s.mu.Lock()
	delete(s.waiting, id)
	s.usedAt = time.Now()
	if len(s.waiting) == 0 {
		s.traffic.sinceLeases = time.Time{}
	}
	last := s.retired && len(s.waiting) == 0
	s.mu.Unlock()
	if last {
		s.close()
	}
}

func (s *stream) recordSent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.traffic.sentAt = now
}

// check sends a ping if one is due, and ends the stream if the daemon is silent.
func (s *stream) check(now time.Time) {
	s.mu.Lock()
	s.traffic.readAt = s.link.lastRead()
	action := s.traffic.check(now)
	if action == actionPing {
		s.traffic.pingedAt = now
	}
	s.mu.Unlock()
	switch action {
	case actionPing:
		s.sendPing()
	case actionEnd:
		s.end(errSilent)
		s.link.cut()
	}
}

// sendPing queues a ping. If the queue is full, the stream is stuck, and the missing answer
// shows that.
func (s *stream) sendPing() {
	select {
	case s.queue <- &message{request: &peer.ForwardRequest{Kind: &peer.ForwardRequest_Ping{Ping: &peer.ForwardPing{}}}}:
	default:
	}
}

// unusedFor returns for how long the stream has had no lease.
func (s *stream) unusedFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		return 0
	}
	return now.Sub(s.usedAt)
}

// retire closes the stream when its last lease has ended.
func (s *stream) retire() {
	s.mu.Lock()
	s.retired = true
	unused := len(s.waiting) == 0
	s.mu.Unlock()
	if unused {
		s.close()
	}
}

// close ends a stream that isn't needed any more.
func (s *stream) close() { s.finish(errClosed) }

// end ends a stream that was lost. All statements in flight fail.
func (s *stream) end(cause error) {
	s.forwarder.fail(s, cause.Error())
	leases, first := s.finish(cause)
	s.stop()
	if !first {
		return
	}
	s.forwarder.meters.lost.Inc(1)
	s.forwarder.logger.Warn("stream to daemon lost", "address", s.address, "leases", leases, "cause", cause)
}

// finish ends the stream. It returns the number of leases, and whether it is the first
// call. It closes the request body, so that the home's side ends and then the reader.
func (s *stream) finish(cause error) (leases int, first bool) {
	s.mu.Lock()
	select {
	case <-s.ended:
		s.mu.Unlock()
		return 0, false
	default:
	}
	s.retired, s.cause = true, cause
	leases = len(s.waiting)
	close(s.ended)
	s.mu.Unlock()
	s.forwarder.forget(s)
	_ = s.bidi.CloseRequest()
	return leases, true
}

// roundTrip sends a message and waits for the response.
func (s *stream) roundTrip(m *message, replies <-chan *peer.ForwardResponse, w wait) (*peer.ForwardResponse, *result.Error) {
	if err := s.send(m, w); err != nil {
		return nil, err
	}
	select {
	case r := <-replies:
		return r, nil
	case <-s.ended:
	case <-w.timer.C:
		if m.withdraw() {
			return nil, result.New(result.DeadlinePassed, "the statement wasn't sent to daemon %s in time", s.address)
		}
		return nil, result.New(result.StatementTimeout, "daemon %s didn't reply in time", s.address)
	case <-w.ctx.Done():
		if m.withdraw() {
			return nil, result.New(result.CancelledUnsent, "the statement wasn't sent to daemon %s: %v", s.address, w.ctx.Err())
		}
		return nil, result.New(result.HomeLost, "daemon %s didn't reply: %v", s.address, w.ctx.Err())
	}
	select {
	case r := <-replies: // It arrived before the stream ended.
		return r, nil
	default:
	}
	if m.withdraw() {
		return nil, result.New(result.HomeUnreachable, "daemon %s: %v", s.address, s.cause)
	}
	return nil, result.New(result.HomeLost, "daemon %s: %v", s.address, s.cause)
}

// send queues a message. If the error isn't nil, the message is not sent.
func (s *stream) send(m *message, w wait) *result.Error {
	select {
	case s.queue <- m:
		return nil
	case <-s.ended:
		return result.New(result.HomeUnreachable, "daemon %s: %v", s.address, s.cause)
	case <-w.timer.C:
		return result.New(result.DeadlinePassed, "the statement wasn't sent to daemon %s in time", s.address)
	case <-w.ctx.Done():
		return result.New(result.CancelledUnsent, "the statement wasn't sent to daemon %s: %v", s.address, w.ctx.Err())
	}
}

// sendEnd ends a lease at the home without waiting.
func (s *stream) sendEnd(id uint64) {
	m := &message{request: &peer.ForwardRequest{Id: id, Kind: &peer.ForwardRequest_End{End: &peer.ForwardEnd{}}}}
	select {
	case s.queue <- m:
	default:
		go func() {
			select {
			case s.queue <- m:
			case <-s.ended:
			}
		}()
	}
}

// recordHop records the time that a statement spent outside the home.
func (s *stream) recordHop(took time.Duration) {
	s.hop.Add((int64(took) - s.hop.Load()) / hopDivisor)
}

// margin returns the time by which the home's deadlines are earlier, so that its refusals
// arrive before the sender stops waiting.
func (s *stream) margin() time.Duration {
	return max(minMargin, 2*time.Duration(s.hop.Load()))
}
