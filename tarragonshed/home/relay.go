package home

import (
	"context"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// chunkSize is the size in bytes from which on a part of an answer is sent.
const chunkSize = 32 << 10

// event is what a relay tells its lane: [settlement], [violation] or [loss].
type event interface{ event() }

// settlement ends the answer to a batch.
type settlement struct {
	messages []byte
	status   byte
	seen     seen
	wrote    bool
	// doubtful tells that a read may have seen what no majority holds.
	doubtful bool
	tag      string
}

// violation tells that the answer must not be given. The rest of it is dropped.
type violation struct{ err *result.Error }

// loss tells that the connection was lost.
type loss struct{ err error }

func (settlement) event() {}
func (violation) event()  {}
func (loss) event()       {}

// relay takes the answers of one transaction from a connection's reading
// goroutine to the lane.
type relay struct {
	class peer.Class
	// floor is what the answer's own position must reach.
	floor unit.Position
	// transaction is asked for what does not change while answers come.
	transaction *transaction
	ctx         context.Context
	events      chan event

	// keepTag asks for the last command tag.
	keepTag bool
	tag     string

	buffer []byte
	// latest is the last position of the present batch, and of the transaction
	// in the lack of one.
	latest seen
	// fresh tells that latest came with the message before this one.
	fresh bool
	// doubtful tells that a read may have seen what no majority holds: the
	// instance may be a primary that has been replaced.
	doubtful bool
	// answered tells that a part of an answer has been sent.
	answered atomic.Bool
	dropping atomic.Bool
}

// take takes one message in. It may block while the caller does not read.
func (r *relay) take(message pgproto3.BackendMessage, idle bool) error {
	if status, ok := message.(*pgproto3.ParameterStatus); ok && status.Name == positionParameter {
		r.see(status.Value)
		return nil
	}
	if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
		r.settle(ready.TxStatus)
		return nil
	}
	r.fresh = false
	if complete, ok := message.(*pgproto3.CommandComplete); ok && r.keepTag {
		r.tag = string(complete.CommandTag)
	}
	if r.dropping.Load() {
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

// see checks the position of the answer that follows.
func (r *relay) see(value string) {
	s, ok := parseSeen(value)
	if !ok {
		return
	}
	r.fresh = true
	r.latest = s
	if r.class != peer.Class_CLASS_READ {
		return
	}
	if s.position.Before(r.floor) {
		r.drop(result.New(result.InstanceBehind, "the answer is of %v and had to be of %v", s.position, r.floor))
		return
	}
	if s.term != s.position.Term && !r.transaction.target.isSafe(s.position) {
		r.drop(result.New(result.InstanceBehind, "the instance has no record of its term %d yet", s.term))
		return
	}
	r.doubtful = !r.transaction.target.isCopied(s)
}

func (r *relay) drop(err *result.Error) {
	if r.dropping.Swap(true) {
		return
	}
	r.buffer = nil
	r.events <- violation{err: err}
}

// flush sends what has been gathered once a majority holds what it shows.
func (r *relay) flush() {
	if len(r.buffer) == 0 {
		return
	}
	if r.class != peer.Class_CLASS_READ || r.doubtful {
		if err := r.transaction.confirmRead(r.ctx, r.latest); err != nil {
			r.drop(err)
			return
		}
	}
	r.answered.Store(true)
	messages := r.buffer
	r.buffer = nil
	// A failed send means a lost lane, which ends the transaction elsewhere.
	_ = r.transaction.lane.send(&peer.CarryResponse{Kind: &peer.CarryResponse_Answer{Answer: &peer.Answer{Messages: messages}}})
}

func (r *relay) settle(status byte) {
	messages := r.buffer
	r.buffer = nil
	wrote := r.fresh
	r.fresh = false
	r.events <- settlement{messages: messages, status: status, seen: r.latest, wrote: wrote, doubtful: r.doubtful, tag: r.tag}
}

func (r *relay) lost(err error) {
	r.events <- loss{err: err}
}
