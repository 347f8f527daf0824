package home

import (
	"context"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/wire/peer"
)

// maxPending is the number of requests that are queued while another one runs.
const maxPending = 64

// stream serves one stream of requests, one transaction at a time.
type stream struct {
	home     *Home
	requests <-chan *peer.CarryRequest // Closed when the stream is lost.
	send     func(*peer.CarryResponse) error
	// pending holds requests that arrived while a batch was running.
	pending []*peer.CarryRequest
	// skipping reports whether batches of a refused transaction may still arrive.
	skipping bool
	lost     bool
	// cancelled reports whether the caller has cancelled the running batch.
	cancelled  bool
	open       *transaction
	reportedAt time.Time
}

// serve handles requests until the stream is lost or ctx ends.
func (s *stream) serve(ctx context.Context) {
	for !s.lost {
		if len(s.pending) > 0 {
			request := s.pending[0]
			s.pending = s.pending[1:]
			s.dispatch(ctx, request)
			continue
		}
		select {
		case request, ok := <-s.requests:
			s.lost = !ok
			s.dispatch(ctx, request)
		case event := <-s.events():
			s.open.handle(ctx, event)
		case <-ctx.Done():
			s.lost = true
		}
	}
	if s.open != nil {
		s.open.abort()
		s.open = nil
	}
}

// events returns the events of the open transaction's connection.
func (s *stream) events() <-chan event {
	if s.open == nil {
		return nil
	}
	return s.open.relay.events
}

// incoming returns the channel of requests, or nil when maxPending requests are
// queued.
func (s *stream) incoming() <-chan *peer.CarryRequest {
	if len(s.pending) >= maxPending {
		return nil
	}
	return s.requests
}

func (s *stream) dispatch(ctx context.Context, request *peer.CarryRequest) {
	switch kind := request.GetKind().(type) {
	case *peer.CarryRequest_Open:
		s.begin(ctx, kind.Open)
	case *peer.CarryRequest_Batch:
		s.batch(ctx, kind.Batch)
	}
}

// accept handles a request that arrives during a wait: it records a cancellation or
// the loss of the stream, and queues any other request.
func (s *stream) accept(request *peer.CarryRequest, ok bool) {
	if !ok {
		s.lost = true
		return
	}
	if _, cancel := request.Kind.(*peer.CarryRequest_Cancel); cancel {
		s.cancelled = true
		return
	}
	s.pending = append(s.pending, request)
}

func (s *stream) begin(ctx context.Context, open *peer.Open) {
	s.skipping = false
	s.cancelled = false
	if s.open != nil {
		s.open.abort()
		s.open = nil
	}
	t := newTransaction(s, open)
	if err := t.start(ctx); err != nil {
		s.refuse(t, err, false)
		return
	}
	s.open = t
	if open.Batch != nil {
		s.batch(ctx, open.Batch)
	}
}

func (s *stream) batch(ctx context.Context, b *peer.Batch) {
	if s.open == nil {
		if !s.skipping {
			s.refuse(nil, result.New(result.ProtocolViolation, "received a batch outside a transaction"), false)
		}
		return
	}
	s.cancelled = false
	s.open.run(ctx, b)
}

// refuse sends Refused, which ends the transaction for the caller's daemon.
func (s *stream) refuse(t *transaction, err *result.Error, answered bool) {
	s.skipping = true
	s.open = nil
	s.home.metrics.refused.Inc(1)
	refused := &peer.Refused{Code: uint32(err.Code), Detail: []byte(err.Detail), Answered: answered}
	if t != nil && t.target != nil {
		report, _, _ := t.target.last()
		refused.Report = translator.ToReport(report)
		refused.Primary = string(t.target.group.knownPrimary())
	}
	if s.send(&peer.CarryResponse{Kind: &peer.CarryResponse_Refused{Refused: refused}}) != nil {
		s.lost = true
	}
}

// settle sends Settled, which ends the answer to a batch.
func (s *stream) settle(t *transaction, end settlement) {
	settled := &peer.Settled{
		TransactionStatus: uint32(end.status),
		Position:          translator.ToPosition(end.observed.position),
		Messages:          end.messages,
	}
	if now := time.Now(); now.Sub(s.reportedAt) > reportInterval {
		s.reportedAt = now
		report, _, _ := t.target.last()
		settled.Report = translator.ToReport(report)
	}
	if s.send(&peer.CarryResponse{Kind: &peer.CarryResponse_Settled{Settled: settled}}) != nil {
		s.lost = true
	}
}
