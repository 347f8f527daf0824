package home

import (
	"context"

	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

// The room of a pipe, in messages.
const (
	requestRoom  = 4
	responseRoom = 4
)

// Pipe is a lane from a session of the same daemon. It is safe for one sender
// and one receiver.
type Pipe struct {
	requests  chan *peer.CarryRequest
	responses chan *peer.CarryResponse
	ctx       context.Context
	stop      context.CancelFunc
}

var errPipeClosed = result.New(result.HomeLost, "the lane was closed")

// Open returns a lane to this home.
func (h *Home) Open() *Pipe {
	p := &Pipe{
		requests:  make(chan *peer.CarryRequest, requestRoom),
		responses: make(chan *peer.CarryResponse, responseRoom),
	}
	p.ctx, p.stop = context.WithCancel(h.ctx)
	go func() {
		defer p.stop()
		l := &lane{home: h, requests: p.requests, send: p.respond}
		l.serve(p.ctx)
	}()
	return p
}

// Send sends one message to the home.
func (p *Pipe) Send(request *peer.CarryRequest) error {
	select {
	case p.requests <- request:
		return nil
	case <-p.ctx.Done():
		return errPipeClosed
	}
}

// Receive returns the home's next message.
func (p *Pipe) Receive() (*peer.CarryResponse, error) {
	select {
	case response := <-p.responses:
		return response, nil
	case <-p.ctx.Done():
		return nil, errPipeClosed
	}
}

// Close ends the lane. An open transaction is rolled back.
func (p *Pipe) Close() { p.stop() }

// Broken reports whether the lane has ended.
func (p *Pipe) Broken() bool { return p.ctx.Err() != nil }

func (p *Pipe) respond(response *peer.CarryResponse) error {
	select {
	case p.responses <- response:
		return nil
	case <-p.ctx.Done():
		return errPipeClosed
	}
}
