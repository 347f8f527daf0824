package entry

import (
	"bytes"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/wire/peer"
)

const (
	// holdSize is the size up to which the end of an answer is held back to be
	// written together with ReadyForQuery.
	holdSize = 32 << 10

	sqlStateReadOnly  = "25006"
	sqlStateCancelled = "57014"
)

// outcome is what became of a batch that was sent on a lane.
type outcome struct {
	// err is nil if the home has settled the batch.
	err     error
	settled *peer.Settled
	report  *peer.InstanceReport
	// prompt has each part of the answer written at once.
	prompt bool
	// begun tells that a part of the answer has been written to the caller.
	begun bool
	// broken tells that the lane can't be used any more.
	broken bool
	// confirmed is the number of Parse messages that succeeded.
	confirmed int
	// failed tells that the answer holds an error.
	failed bool
	// readOnly tells that the error is that the instance does not write.
	readOnly bool
	// cancelled tells that the error is that the statement was cancelled.
	cancelled bool
	// rolledBack tells that the last command was ROLLBACK.
	rolledBack bool
}

// relay passes the answer to a batch on to the caller as it comes.
func (s *session) relay(lane carrier.Stream) outcome {
	var out outcome
	s.relayInto(lane, &out)
	return out
}

func (s *session) relayInto(lane carrier.Stream, out *outcome) {
	for {
		response, err := lane.Receive()
		if err != nil {
			out.broken = true
			out.err = laneError(err)
			return
		}
		switch kind := response.Kind.(type) {
		case *peer.CarryResponse_Answer:
			s.pass(kind.Answer.Messages, out)
		case *peer.CarryResponse_Settled:
			out.prompt = false
			s.pass(kind.Settled.Messages, out)
			out.settled, out.report = kind.Settled, kind.Settled.Report
			return
		case *peer.CarryResponse_Refused:
			out.report = kind.Refused.Report
			out.err = &result.Error{Code: result.Code(kind.Refused.Code), Detail: kind.Refused.Detail}
			return
		}
		if out.err == nil && s.broken {
			out.err = result.New(result.HomeLost, "the caller does not read the answer")
		}
		if out.err != nil {
			out.broken = true
			return
		}
	}
}

// pass writes messages to the caller, or holds them back while they say nothing
// about what the batch did, or are likely to be its last.
func (s *session) pass(messages []byte, out *outcome) {
	hold := true
	whole := framer.Walk(messages, func(kind byte, body []byte) bool {
		hold = out.look(kind, body)
		return out.err == nil
	})
	if !whole && out.err == nil {
		out.err = result.New(result.HomeLost, "the home sent a part of a message")
	}
	if out.err != nil {
		return
	}
	if hold && !out.prompt && len(s.ready)+len(messages) <= holdSize {
		if s.ready == nil {
			s.ready = takeBuffer()
		}
		s.ready = append(s.ready, messages...)
		return
	}
	out.begun = true
	s.write(s.ready)
	s.ready = s.ready[:0]
	s.write(messages)
}

// look takes note of a message, and reports whether an answer that ends with it
// may be held back.
func (out *outcome) look(kind byte, body []byte) bool {
	switch kind {
	case '1':
		out.confirmed++
	case 'C':
		out.rolledBack = bytes.HasPrefix(body, []byte("ROLLBACK"))
	case 'E':
		out.failed = true
		code := errorCode(body)
		out.readOnly = code == sqlStateReadOnly
		out.cancelled = code == sqlStateCancelled
	case 'G', 'H', 'W':
		out.err = result.New(result.CopyNotCarried, "the instance began COPY")
	case 'D':
		return false
	}
	return true
}

// errorCode returns the SQLSTATE of an ErrorResponse.
func errorCode(body []byte) string {
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		value, rest, ok := framer.CutString(body[1:])
		if !ok {
			return ""
		}
		if field == 'C' {
			return value
		}
		body = rest
	}
	return ""
}
