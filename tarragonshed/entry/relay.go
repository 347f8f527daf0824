package entry

import (
	"bytes"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/wire/peer"
)

const (
	// maxDeferredSize is the maximum size in bytes of the end of a response
	// that is held back in order to be written together with ReadyForQuery.
	maxDeferredSize = 32 << 10

	sqlStateReadOnly  = "25006"
	sqlStateCancelled = "57014"
)

// outcome is the result of a batch that was sent on a stream.
type outcome struct {
	// err is nil if the home has sent Settled for the batch.
	err     error
	settled *peer.Settled
	report  *peer.InstanceReport
	// unbuffered is true if each part of the response is written without delay.
	unbuffered bool
	// responseStarted is true if a part of the response has been written to the
	// caller.
	responseStarted bool
	// broken is true if the stream can't be used any longer.
	broken bool
	// confirmed is the number of Parse messages that succeeded.
	confirmed int
	// failed is true if the response has an error.
	failed bool
	// readOnly is true if the error is that the instance accepts no writes.
	readOnly bool
	// cancelled is true if the error is that the statement was cancelled.
	cancelled bool
	// rolledBack is true if the last command was ROLLBACK.
	rolledBack bool
}

// relay forwards the response to a batch to the caller.
func (s *session) relay(stream carrier.Stream) outcome {
	var out outcome
	s.relayInto(stream, &out)
	return out
}

func (s *session) relayInto(stream carrier.Stream, out *outcome) {
	for {
		response, err := stream.Receive()
		if err != nil {
			out.broken = true
			out.err = streamError(err)
			return
		}
		switch kind := response.Kind.(type) {
		case *peer.CarryResponse_Answer:
			s.forward(kind.Answer.Messages, out)
		case *peer.CarryResponse_Settled:
			out.unbuffered = false
			s.forward(kind.Settled.Messages, out)
			out.settled, out.report = kind.Settled, kind.Settled.Report
			return
		case *peer.CarryResponse_Refused:
			out.report = kind.Refused.Report
			out.err = &result.Error{Code: result.Code(kind.Refused.Code), Detail: string(kind.Refused.Detail)}
			return
		}
		if out.err == nil && s.writeFailed {
			out.err = result.New(result.HomeLost, "writing the response to the caller failed or timed out")
		}
		if out.err != nil {
			out.broken = true
			return
		}
	}
}

// forward writes messages to the caller. It defers messages that report only
// the completion of commands, since they are likely to be the last ones of the
// response and are then written together with ReadyForQuery.
func (s *session) forward(messages []byte, out *outcome) {
	deferrable := true
	complete := framer.Walk(messages, func(kind byte, body []byte) bool {
		deferrable = out.inspect(kind, body)
		return out.err == nil
	})
	if !complete && out.err == nil {
		out.err = result.New(result.HomeLost, "the home sent an incomplete message")
	}
	if out.err != nil {
		return
	}
	if deferrable && !out.unbuffered && len(s.output)+len(messages) <= maxDeferredSize {
		if s.output == nil {
			s.output = takeBuffer()
		}
		s.output = append(s.output, messages...)
		return
	}
	out.responseStarted = true
	s.write(s.output)
	s.output = s.output[:0]
	s.write(messages)
}

// inspect records what a message reports. It returns true if a response that
// ends with the message may be deferred.
func (out *outcome) inspect(kind byte, body []byte) bool {
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
		out.err = result.New(result.CopyNotCarried, "the instance started COPY, which is not supported")
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
