package home

import (
	"context"

	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

// The capacities of a pipe, in messages.
const (
	requestCapacity  = 4
	responseCapacity = 4
)

// Pipe is an in-process stream from a session on the same daemon. It supports one
// concurrent sender and one concurrent receiver.
type Pipe struct {
	requests  chan *peer.CarryRequest
	responses chan *peer.CarryResponse
	ctx       context.Context
	stop      context.CancelFunc
}

var errPipeClosed = result.New(result.HomeLost, "the stream was closed")

// Open returns a stream to this home.
func (h *Home) Open() *Pipe {
	p := &Pipe{
		requests:  make(chan *peer.CarryRequest, requestCapacity),
		responses: make(chan *peer.CarryResponse, responseCapacity),
	}
	p.ctx, p.stop = context.WithCancel(h.ctx)
	go func() {
		defer p.stop()
		s := &stream{home: h, requests: p.requests, send: p.respond}
		s.serve(p.ctx)
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

// Close ends the stream. An open transaction is rolled back.
func (p *Pipe) Close() { p.stop() }

// Broken reports whether the stream has ended.
func (p *Pipe) Broken() bool { return p.ctx.Err() != nil }

func (p *Pipe) respond(response *peer.CarryResponse) error {
	select {
	case p.responses <- response:
		return nil
	case <-p.ctx.Done():
		return errPipeClosed
	}
}
