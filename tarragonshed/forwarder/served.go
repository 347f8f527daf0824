package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// maxLeases bounds the leases and the requests for positions of one stream.
const maxLeases = 1024

// servedStream is a stream of another daemon.
type servedStream struct {
	server *Server
	ctx    context.Context
	stop   context.CancelFunc
	tasks  sync.WaitGroup
	// transport is nil if the stream isn't carried by a request.
	transport *transport

	// answering is true while the answer to a ping is being sent.
	answering atomic.Bool

	sendMu  sync.Mutex
	forward func(*peer.ForwardResponse) error

	mu sync.Mutex
	// leases holds the leases by their number, and nil for a request for a position.
	leases map[uint64]*servedLease
	// heardAt is when the last message arrived.
	heardAt time.Time
	// handling is true while a message is handled. Its response may wait for a large reply
	// to be sent.
	handling bool
	// closed is true if the stream must not be used any more.
	closed bool
}

// servedLease is a lease of another daemon. Its context ends when the stream is lost or
// the other daemon no longer waits.
type servedLease struct {
	stream *servedStream
	id     uint64
	ctx    context.Context
	stop   context.CancelFunc
	calls  chan servedCall
	values map[string]string
}

// servedCall is a statement that has arrived.
type servedCall struct {
	run      *peer.ForwardRun
	call     engine.Call
	deadline time.Time
	arrived  time.Time
}

func newServedStream(ctx context.Context, s *Server, send func(*peer.ForwardResponse) error) *servedStream {
	st := &servedStream{server: s, forward: send, leases: make(map[uint64]*servedLease), heardAt: time.Now()}
	st.transport, _ = ctx.Value(transportKey{}).(*transport)
	st.ctx, st.stop = context.WithCancel(ctx)
	return st
}

// send sends a response. An error ends the stream: its reader fails, too.
func (st *servedStream) send(r *peer.ForwardResponse) {
	st.sendMu.Lock()
	defer st.sendMu.Unlock()
	if st.ctx.Err() != nil {
		return
	}
	if err := st.forward(r); err != nil {
		st.stop()
	}
}

// refuse responds that there is no reply.
func (st *servedStream) refuse(id uint64, err *result.Error) {
	st.server.meters.refused.Inc(1)
	st.send(&peer.ForwardResponse{Id: id, Kind: &peer.ForwardResponse_Refused{Refused: encodeError(err)}})
}

// abort ends the stream without waiting. Its reader fails.
func (st *servedStream) abort() {
	st.stop()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.transport == nil || st.closed {
		return
	}
	past := time.Unix(1, 0)
	_ = st.transport.controller.SetReadDeadline(past) // They fail if the stream has ended.
	_ = st.transport.controller.SetWriteDeadline(past)
}

// watch ends the stream when the other daemon is silent although it has leases.
func (st *servedStream) watch() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	pace := pace{interval: silenceCheckInterval, last: time.Now()}
	for {
		select {
		case now := <-ticker.C:
			if pace.judges(now) && st.silent(now) {
				st.abort()
				return
			}
		case <-st.ctx.Done():
			return
		}
	}
}

func (st *servedStream) silent(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.leases) == 0 || st.handling || now.Sub(st.heardAt) < maxSilence {
		return false
	}
	// A long message counts from its first bytes.
	return st.transport == nil || now.Sub(st.transport.lastRead()) >= maxSilence
}

// close ends all leases and waits until their statements have returned. After it, nothing
// uses the transport.
func (st *servedStream) close() {
	st.stop()
	st.tasks.Wait()
	st.mu.Lock()
	st.closed = true
	st.mu.Unlock()
	st.sendMu.Lock() // Waits for a send in progress. Later ones do nothing.
	defer st.sendMu.Unlock()
}

func (st *servedStream) count() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.leases)
}

// handle processes one message. Messages of an unknown kind are ignored.
func (st *servedStream) handle(r *peer.ForwardRequest) {
	st.recordHeard(true)
	defer st.recordHeard(false)
	switch kind := r.GetKind().(type) {
	case *peer.ForwardRequest_Run:
		if err := st.run(r.GetId(), kind.Run); err != nil {
			st.refuse(r.GetId(), err)
		}
	case *peer.ForwardRequest_Ping:
		st.answerPing()
	case *peer.ForwardRequest_End:
		st.end(r.GetId())
	case *peer.ForwardRequest_Position:
		if err := st.position(r.GetId(), kind.Position); err != nil {
			st.refuse(r.GetId(), err)
		}
	}
}

func (st *servedStream) recordHeard(handling bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.heardAt, st.handling = time.Now(), handling
}

// answerPing sends the answer to a ping in the background, because it may wait for a large
// reply. One answer serves all pings that arrive until it is sent.
func (st *servedStream) answerPing() {
	if !st.answering.CompareAndSwap(false, true) {
		return
	}
	st.tasks.Go(func() {
		st.send(&peer.ForwardResponse{Kind: &peer.ForwardResponse_Ping{Ping: &peer.ForwardPing{}}})
		st.answering.Store(false)
	})
}

// run passes a statement to its lease, which it opens if it is the first one.
func (st *servedStream) run(id uint64, run *peer.ForwardRun) *result.Error {
	now := time.Now()
	call, ok := decodeCall(run)
	if !ok {
		st.end(id)
		return result.New(result.ProtocolViolation, "statement kind %d is unknown", run.GetKind())
	}
	l, err := st.lease(id, run.GetLease(), now)
	if err != nil {
		return err
	}
	select {
	case l.calls <- servedCall{run: run, call: call, deadline: after(now, run.GetRemaining()), arrived: now}:
		return nil
	default:
		l.stop()
		return result.New(result.ProtocolViolation, "lease %d already runs a statement", id)
	}
}

// lease returns the lease with the number. It opens the lease if a request for it is
// given.
func (st *servedStream) lease(id uint64, request *peer.ForwardLease, now time.Time) (*servedLease, *result.Error) {
	st.mu.Lock()
	l, exists := st.leases[id]
	st.mu.Unlock()
	switch {
	case exists && (request != nil || l == nil):
		st.end(id)
		return nil, result.New(result.ProtocolViolation, "number %d is in use", id)
	case exists:
		return l, nil
	case request == nil:
		return nil, result.New(result.ProtocolViolation, "lease %d is unknown", id)
	case st.server.isDraining():
		return nil, result.New(result.ShuttingDown, "the daemon is shutting down")
	}
	decoded, ok := decodeLease(request, now)
	if !ok {
		return nil, result.New(result.ProtocolViolation, "priority %d is unknown", request.GetPriority())
	}
	l = &servedLease{stream: st, id: id, calls: make(chan servedCall, 1)}
	l.ctx, l.stop = context.WithCancel(st.ctx)
	if !st.add(id, l) {
		l.stop()
		return nil, result.New(result.Overloaded, "the daemon has %d leases already", maxLeases)
	}
	st.server.meters.leases.Inc(1)
	st.tasks.Go(func() { l.serve(decoded) })
	return l, nil
}

// add adds a lease, or nil for a request for a position. It returns false if there are too
// many.
func (st *servedStream) add(id uint64, l *servedLease) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.leases) >= maxLeases {
		return false
	}
	st.leases[id] = l
	return true
}

func (st *servedStream) remove(id uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.leases, id)
}

// end ends the lease with the number, if there is one.
func (st *servedStream) end(id uint64) {
	st.mu.Lock()
	l := st.leases[id]
	st.mu.Unlock()
	if l != nil {
		l.stop()
	}
}

// serve runs the statements of the lease until it ends. The lease is ended before the
// response is sent, so that the instance is free for the sender's next statement.
func (l *servedLease) serve(request engine.LeaseRequest) {
	st := l.stream
	last := l.runAll(request)
	awaited := l.ctx.Err() == nil
	l.stop()
	st.remove(l.id)
	st.server.meters.leases.Dec(1)
	if last != nil && awaited {
		st.send(last)
	}
}

// runAll runs the statements of the lease and returns the response with which it ends, or
// nil if the sender no longer waits for one.
func (l *servedLease) runAll(request engine.LeaseRequest) *peer.ForwardResponse {
	local, err := l.stream.server.local.Lease(l.ctx, request)
	if err != nil {
		return l.refusal(err)
	}
	defer local.End()
	for {
		select {
		case c := <-l.calls:
			if l.ctx.Err() != nil {
				return nil // The statement was not sent to the instance.
			}
			response, ended := l.run(local, c)
			if ended {
				return response
			}
			l.stream.send(response)
		case <-l.ctx.Done():
			return nil
		}
	}
}

// run runs one statement. The second result is true if the lease ends with the response.
func (l *servedLease) run(local engine.Lease, c servedCall) (*peer.ForwardResponse, bool) {
	if c.run.GetValues() != nil {
		l.values = decodeValues(c.run.GetValues())
	}
	c.call.Values = l.values
	l.stream.server.meters.statements.Inc(1)
	reply, err := local.Run(c.call, c.deadline)
	if err != nil {
		return l.refusal(err), true
	}
	encoded := encodeReply(reply, time.Since(c.arrived))
	response := &peer.ForwardResponse{Id: l.id, Kind: &peer.ForwardResponse_Reply{Reply: encoded}}
	if proto.Size(response) > maxMessageBytes {
		return l.refusal(result.New(result.AnswerCut, "the reply is larger than %d bytes", maxMessageBytes)), true
	}
	return response, reply.State == engine.Idle
}

func (l *servedLease) refusal(err *result.Error) *peer.ForwardResponse {
	l.stream.server.meters.refused.Inc(1)
	return &peer.ForwardResponse{Id: l.id, Kind: &peer.ForwardResponse_Refused{Refused: encodeError(err)}}
}

// position answers a request for the position of a group's primary in the background.
func (st *servedStream) position(id uint64, p *peer.ForwardPosition) *result.Error {
	st.mu.Lock()
	_, exists := st.leases[id]
	st.mu.Unlock()
	if exists {
		return result.New(result.ProtocolViolation, "number %d is in use", id)
	}
	if !st.add(id, nil) {
		return result.New(result.Overloaded, "the daemon has %d leases already", maxLeases)
	}
	deadline := after(time.Now(), p.GetRemaining())
	st.tasks.Go(func() {
		ctx, stop := context.WithDeadline(st.ctx, deadline)
		defer stop()
		position, age, err := st.server.local.Position(ctx, unit.GroupName(p.GetGroup()), time.Duration(p.GetMaxAge()))
		st.remove(id)
		if err != nil {
			st.refuse(id, err)
			return
		}
		st.send(&peer.ForwardResponse{Id: id, Kind: &peer.ForwardResponse_Position{
			Position: &peer.ForwardedPosition{Position: encodePosition(position), Age: int64(age)},
		}})
	})
	return nil
}
