package home

import (
	"context"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// chunkSize is the size in bytes at which a part of an answer is sent.
const chunkSize = 32 << 10

// event is an event that a relay reports to its stream: [settlement], [violation] or
// [loss].
type event interface{ event() }

// settlement is the end of the answer to a batch.
type settlement struct {
	messages []byte
	status   byte
	observed observation
	wrote    bool
	// unconfirmed reports whether a read may have returned records that no majority
	// holds.
	unconfirmed bool
	tag         string
}

// violation reports that the answer must not be forwarded. The rest of the answer is
// discarded.
type violation struct{ err *result.Error }

// loss reports that the connection was lost.
type loss struct{ err error }

func (settlement) event() {}
func (violation) event()  {}
func (loss) event()       {}

// relay forwards the answers of one transaction from a connection's reading goroutine
// to the stream.
type relay struct {
	class peer.Class
	// floor is the position that the answer's own position must have reached.
	floor unit.Position
	// transaction provides state that does not change while an answer arrives.
	transaction *transaction
	ctx         context.Context
	events      chan event

	// keepTag makes the relay keep the last command tag.
	keepTag bool
	tag     string

	buffer []byte
	// latest is the last position of the current batch, or of the transaction if the
	// batch has none yet.
	latest observation
	// afterPosition reports whether the previous message carried a position.
	afterPosition bool
	// unconfirmed reports whether a read may have returned records that no majority
	// holds, because the instance may be a primary that has been replaced.
	unconfirmed bool
	// answered reports whether a part of an answer has been sent.
	answered   atomic.Bool
	discarding atomic.Bool
}

// handle processes one message. It may block while the caller does not read.
func (r *relay) handle(message pgproto3.BackendMessage, idle bool) error {
	if status, ok := message.(*pgproto3.ParameterStatus); ok && status.Name == positionParameter {
		r.observe(status.Value)
		return nil
	}
	if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
		r.settle(ready.TxStatus)
		return nil
	}
	r.afterPosition = false
	if complete, ok := message.(*pgproto3.CommandComplete); ok && r.keepTag {
		r.tag = string(complete.CommandTag)
	}
	if r.discarding.Load() {
		return nil
	}
	var err error
	if r.buffer, err = message.Encode(r.buffer); err != nil {
		return err
	}
	if idle || len(r.buffer) >= chunkSize {
		r.flush()
	}
	return nil
}

// observe checks the position of the answer that follows.
func (r *relay) observe(value string) {
	o, ok := parseObservation(value)
	if !ok {
		return
	}
	r.afterPosition = true
	r.latest = o
	if r.class != peer.Class_CLASS_READ {
		return
	}
	if o.position.Before(r.floor) {
		r.refuse(result.New(result.InstanceBehind, "the answer is at position %v but the read requires %v", o.position, r.floor))
		return
	}
	if o.term != o.position.Term && !r.transaction.target.isSafe(o.position) {
		r.refuse(result.New(result.InstanceBehind, "the instance holds no record of its current term %d yet", o.term))
		return
	}
	r.unconfirmed = !r.transaction.target.isReplicated(o)
}

func (r *relay) refuse(err *result.Error) {
	if r.discarding.Swap(true) {
		return
	}
	r.buffer = nil
	r.events <- violation{err: err}
}

// flush sends the buffered messages, after a majority holds the records they show if
// that must be confirmed.
func (r *relay) flush() {
	if len(r.buffer) == 0 {
		return
	}
	if r.class != peer.Class_CLASS_READ || r.unconfirmed {
		if err := r.transaction.confirmRead(r.ctx, r.latest); err != nil {
			r.refuse(err)
			return
		}
	}
	r.answered.Store(true)
	messages := r.buffer
	r.buffer = nil
	// A failed send means that the stream is lost, and serve then ends the transaction.
	_ = r.transaction.stream.send(&peer.CarryResponse{Kind: &peer.CarryResponse_Answer{Answer: &peer.Answer{Messages: messages}}})
}

func (r *relay) settle(status byte) {
	messages := r.buffer
	r.buffer = nil
	wrote := r.afterPosition
	r.afterPosition = false
	r.events <- settlement{messages: messages, status: status, observed: r.latest, wrote: wrote, unconfirmed: r.unconfirmed, tag: r.tag}
}

func (r *relay) lost(err error) {
	r.events <- loss{err: err}
}
