package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/wire/peer"
)

// flushRun is the execution of a batch whose first parts are sent before Sync,
// because the caller requested their responses by Flush. A goroutine forwards
// the responses; until it ends, nothing else may write to the caller.
type flushRun struct {
	*run
	stream carrier.Stream
	pinned bool
	end    func()
	done   chan outcome
}

// runPart runs the messages collected so far without waiting for Sync. It
// returns false if the session ends.
func (s *session) runPart(b *batch) bool {
	switch {
	case b.flushRun != nil:
		b.flushRun.transmitPart()
		return true
	case b.fault != nil || len(b.steps) == b.answered:
		return true
	case s.transactionLost():
		s.answerSteps(b)
		return s.flush()
	}
	p, err := s.plan(b)
	switch {
	case err != nil:
		s.reportFault(b, err)
	case p.local:
		s.answerSteps(b)
	case b.answered > 0:
		s.reportFault(b, errSplit)
	default:
		s.beginFlushRun(b, p)
		return true
	}
	return s.flush()
}

var errSplit = result.New(result.NotCarried, "statements after a Flush need another instance than those before it")

// reportFault sends an error to the caller before Sync.
func (s *session) reportFault(b *batch, err error) {
	b.setFault(err)
	if !b.reported {
		b.reported = true
		s.queue(errorResponse(err, severityError))
	}
}

func (s *session) beginFlushRun(b *batch, p plan) {
	r, end := s.newRun(b, p)
	stream := &flushRun{run: r, end: end, done: make(chan outcome, 1)}
	if err := stream.start(); err != nil {
		end()
		s.reportFault(b, err)
		s.flush()
		return
	}
	b.flushRun = stream
	go func() {
		out := stream.relayParts()
		stream.done <- out
	}()
}

// start opens a stream, or uses the pinned one, and sends the first part.
func (t *flushRun) start() error {
	if pin := t.session.pinned; pin != nil {
		t.stream, t.pinned = pin.stream, true
		t.use = router.Use{Instance: pin.instance, Primary: pin.primary}
		return t.sendPart(&peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: t.wireBatch()}})
	}
	t.group.countRequest()
	use, err := t.choose()
	if err != nil {
		return err
	}
	stream, err := t.entry.carrier.Open(t.ctx, use.Instance)
	if err != nil {
		return result.New(result.HomeUnreachable, "%v", err)
	}
	t.use, t.stream = use, stream
	t.group.beginStatement(use.Instance)
	t.setStream(stream)
	open := t.run.openRequest(use)
	open.Batch = t.wireBatch()
	if err := t.sendPart(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: open}}); err != nil {
		t.finishAttempt(stream, use, outcome{broken: true})
		return err
	}
	return nil
}

// transmitPart sends the messages collected since the previous part.
func (t *flushRun) transmitPart() {
	// After an error the stream is broken, which the relaying goroutine
	// detects.
	_ = t.sendPart(&peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: t.wireBatch()}})
}

// sendPart sends one part. The stream owns its messages from then on.
func (t *flushRun) sendPart(request *peer.CarryRequest) error {
	t.batch.messages, t.batch.referenced = nil, nil
	if err := t.transmit(t.stream, request); err != nil {
		return streamError(err)
	}
	return nil
}

// relayParts forwards the responses to all parts. An error is written without
// waiting for Sync.
func (t *flushRun) relayParts() outcome {
	defer t.supervise(t.stream)()
	out := outcome{unbuffered: true}
	t.relayInto(t.stream, &out)
	if out.err != nil {
		t.queue(errorResponse(t.errorForCaller(out), severityError))
		t.write(t.output)
		t.output = t.output[:0]
	}
	return out
}

// errorForCaller returns the error for the caller. An unknown outcome inside a
// transaction means that the transaction has ended.
func (t *flushRun) errorForCaller(out outcome) error {
	err := out.callerError()
	if t.pinned && !t.plan.ends && result.OutcomeOf(err) == result.Unknown {
		return result.New(result.TransactionEnded, "%v", out.err)
	}
	return err
}

// finish sends the last part, or closes the stream if the batch can't continue,
// and ends the response.
func (t *flushRun) finish() {
	defer t.end()
	if t.canFinish() {
		t.transmitPart()
	} else {
		t.stream.Close()
	}
	out := <-t.done
	if out.report != nil {
		t.group.recordReport(translator.FromReport(out.report), time.Time{})
	}
	if out.err != nil {
		t.batch.reported = true
		if !t.pinned {
			t.finishAttempt(t.stream, t.use, out)
		}
		t.refuse(t.batch, t.plan, out.err)
		return
	}
	if t.pinned {
		t.finishPinned(out)
		return
	}
	t.finishAttempt(t.stream, t.use, out)
}

// canFinish reports whether the whole batch can run on the instance of its
// first part, and then replaces the plan by that of the whole batch.
func (t *flushRun) canFinish() bool {
	if t.batch.fault != nil {
		return false
	}
	p, err := t.session.plan(t.batch)
	if err != nil || p.local || (t.run.plan.read && !p.read && !t.pinned) {
		return false
	}
	t.run.plan = p
	return true
}

// abandon ends the execution after the caller has disconnected.
func (t *flushRun) abandon() {
	t.stream.Close()
	<-t.done
	if !t.pinned {
		t.finishAttempt(t.stream, t.use, outcome{broken: true})
	}
	t.end()
}
