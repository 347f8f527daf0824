package home

import (
	"context"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/wire/peer"
)

// maxPending is the number of requests that are held while another runs.
const maxPending = 64

// lane serves one lane: one transaction after the other.
type lane struct {
	home     *Home
	requests <-chan *peer.CarryRequest // Closed when the lane is lost.
	send     func(*peer.CarryResponse) error
	// pending holds requests that came while a batch was being run.
	pending []*peer.CarryRequest
	// skipping tells that batches of a refused transaction may still come.
	skipping bool
	lost     bool
	// cancelled tells that the caller has cancelled what runs.
	cancelled bool
	open      *transaction
	reportAt  time.Time
}

// serve returns when the lane is lost or ctx ends.
func (l *lane) serve(ctx context.Context) {
	for !l.lost {
		if len(l.pending) > 0 {
			request := l.pending[0]
			l.pending = l.pending[1:]
			l.take(ctx, request)
			continue
		}
		select {
		case request, ok := <-l.requests:
			l.lost = !ok
			l.take(ctx, request)
		case event := <-l.events():
			l.open.handle(ctx, event)
		case <-ctx.Done():
			l.lost = true
		}
	}
	if l.open != nil {
		l.open.abort()
		l.open = nil
	}
}

// events returns what the open transaction's connection tells.
func (l *lane) events() <-chan event {
	if l.open == nil {
		return nil
	}
	return l.open.relay.events
}

// readable returns where requests come from, unless too many are held already.
func (l *lane) readable() <-chan *peer.CarryRequest {
	if len(l.pending) >= maxPending {
		return nil
	}
	return l.requests
}

func (l *lane) take(ctx context.Context, request *peer.CarryRequest) {
	switch kind := request.GetKind().(type) {
	case *peer.CarryRequest_Open:
		l.begin(ctx, kind.Open)
	case *peer.CarryRequest_Batch:
		l.batch(ctx, kind.Batch)
	}
}

// note takes in a request that comes while the lane waits for something else.
func (l *lane) note(request *peer.CarryRequest, ok bool) {
	if !ok {
		l.lost = true
		return
	}
	if _, cancel := request.Kind.(*peer.CarryRequest_Cancel); cancel {
		l.cancelled = true
		return
	}
	l.pending = append(l.pending, request)
}

func (l *lane) begin(ctx context.Context, open *peer.Open) {
	l.skipping = false
	l.cancelled = false
	if l.open != nil {
		l.open.abort()
		l.open = nil
	}
	t := newTransaction(l, open)
	if err := t.start(ctx); err != nil {
		l.refuse(t, err, false)
		return
	}
	l.open = t
	if open.Batch != nil {
		l.batch(ctx, open.Batch)
	}
}

func (l *lane) batch(ctx context.Context, b *peer.Batch) {
	if l.open == nil {
		if !l.skipping {
			l.refuse(nil, result.New(result.ProtocolViolation, "a batch came without a transaction"), false)
		}
		return
	}
	l.cancelled = false
	l.open.run(ctx, b)
}

// refuse ends the transaction on the wire.
func (l *lane) refuse(t *transaction, err *result.Error, answered bool) {
	l.skipping = true
	l.open = nil
	l.home.metrics.refused.Inc(1)
	refused := &peer.Refused{Code: uint32(err.Code), Detail: err.Detail, Answered: answered}
	if t != nil && t.target != nil {
		report, _, _ := t.target.last()
		refused.Report = translator.ToReport(report)
		refused.Primary = string(t.target.group.known())
	}
	if l.send(&peer.CarryResponse{Kind: &peer.CarryResponse_Refused{Refused: refused}}) != nil {
		l.lost = true
	}
}

// settle ends the answer to a batch on the wire.
func (l *lane) settle(t *transaction, s settlement) {
	settled := &peer.Settled{
		TransactionStatus: uint32(s.status),
		Position:          translator.ToPosition(s.seen.position),
		Messages:          s.messages,
	}
	if now := time.Now(); now.Sub(l.reportAt) > reportInterval {
		l.reportAt = now
		report, _, _ := t.target.last()
		settled.Report = translator.ToReport(report)
	}
	if l.send(&peer.CarryResponse{Kind: &peer.CarryResponse_Settled{Settled: settled}}) != nil {
		l.lost = true
	}
}
