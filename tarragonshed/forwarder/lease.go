package forwarder

import (
	"context"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/wire/peer"
)

// lease implements [engine.Lease].
type lease struct {
	forwarder *Forwarder
	ctx       context.Context
	address   string
	request   engine.LeaseRequest

	// The home has the lease under the number id while stream isn't nil.
	stream  *stream
	id      uint64
	replies <-chan *peer.ForwardResponse
	// opened is true if the first statement has been queued.
	opened bool
	// failed is true after an error of Run. A later statement must not run outside of its
	// transaction.
	failed bool
	// values are those that the home knows.
	values map[string]string
}

// Run implements [engine.Lease].
func (l *lease) Run(c engine.Call, deadline time.Time) (engine.Reply, *result.Error) {
	if l.failed {
		return engine.Reply{}, result.New(result.HomeUnreachable, "the lease at daemon %s has ended", l.address)
	}
	w, stop := newWait(l.ctx, deadline)
	defer stop()
	reply, err := l.run(c, w)
	if err != nil {
		l.failed = true
		l.forwarder.meters.recordError(err.Code)
	}
	return reply, err
}

func (l *lease) run(c engine.Call, w wait) (engine.Reply, *result.Error) {
	if !time.Now().Before(w.deadline) {
		return engine.Reply{}, result.New(result.DeadlinePassed, "the deadline passed before the statement was sent to daemon %s", l.address)
	}
	if l.stream == nil {
		if err := l.attach(w); err != nil {
			return engine.Reply{}, err
		}
	}
	m, err := l.message(c, w.deadline)
	if err != nil {
		return engine.Reply{}, err
	}
	began := time.Now()
	response, err := l.stream.roundTrip(m, l.replies, w)
	// The home knows the lease unless its first statement was withdrawn.
	l.opened = l.opened || !m.withdraw()
	if err != nil {
		return engine.Reply{}, err
	}
	return l.receive(response, began)
}

// attach gets a stream and a number for the lease.
func (l *lease) attach(w wait) (err *result.Error) {
	l.stream, l.id, l.replies, err = l.forwarder.attach(l.address, w)
	l.opened, l.values = false, nil
	return err
}

// detach forgets the lease, which has ended at the home.
func (l *lease) detach() {
	l.stream.detach(l.id)
	l.stream = nil
}

// message returns the message for a statement.
func (l *lease) message(c engine.Call, deadline time.Time) (*message, *result.Error) {
	now, margin := time.Now(), l.stream.margin()
	run := encodeCall(c)
	run.Remaining = remaining(deadline, now, margin)
	if !l.opened {
		run.Lease = encodeLease(l.request, now, margin)
	}
	if !maps.Equal(l.values, c.Values) {
		run.Values = encodeValues(c.Values)
		l.values = maps.Clone(c.Values)
	}
	request := &peer.ForwardRequest{Id: l.id, Kind: &peer.ForwardRequest_Run{Run: run}}
	if proto.Size(request) > maxMessageBytes {
		return nil, result.New(result.StatementTooLarge, "the statement with its session's values is larger than %d bytes", maxMessageBytes)
	}
	return &message{request: request}, nil
}

// receive decodes a response.
func (l *lease) receive(response *peer.ForwardResponse, began time.Time) (engine.Reply, *result.Error) {
	switch kind := response.Kind.(type) {
	case *peer.ForwardResponse_Reply:
		hop := max(0, time.Since(began)-time.Duration(kind.Reply.GetTook())*time.Microsecond)
		l.stream.recordHop(hop)
		l.forwarder.meters.recordReply(hop)
		reply := decodeReply(kind.Reply)
		if reply.State == engine.Idle {
			l.detach()
		}
		return reply, nil
	case *peer.ForwardResponse_Refused:
		l.detach()
		return engine.Reply{}, decodeError(kind.Refused)
	}
	return engine.Reply{}, result.New(result.HomeLost, "daemon %s sent a response of another kind", l.address)
}

// End implements [engine.Lease].
func (l *lease) End() {
	if l.stream == nil {
		return
	}
	if l.opened {
		l.stream.sendEnd(l.id)
	}
	l.detach()
}
