package entry

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/wire/peer"
)

// stream is the execution of a batch of which parts are sent before Sync,
// because the caller asked for their answers by Flush. A goroutine passes the
// answers on; until it ends, nothing else writes to the caller.
type stream struct {
	*run
	lane   carrier.Stream
	pinned bool
	end    func()
	done   chan outcome
}

// advance has what was collected answered without waiting for Sync. It returns
// false if the session ends.
func (s *session) advance(b *batch) bool {
	switch {
	case b.stream != nil:
		b.stream.transmitPart()
		return true
	case b.fault != nil || len(b.steps) == b.answered:
		return true
	case s.lost():
		s.answerSteps(b)
		return s.flush()
	}
	p, err := s.plan(b)
	switch {
	case err != nil:
		s.report(b, err)
	case p.local:
		s.answerSteps(b)
	case b.answered > 0:
		s.report(b, errSplit)
	default:
		s.beginStream(b, p)
		return true
	}
	return s.flush()
}

var errSplit = result.New(result.NotCarried, "statements behind a Flush need another instance than those before it")

// report tells the caller of a fault before Sync.
func (s *session) report(b *batch, err error) {
	b.refuse(err)
	if !b.reported {
		b.reported = true
		s.queue(errorResponse(err, severityError))
	}
}

func (s *session) beginStream(b *batch, p plan) {
	r, end := s.newRun(b, p)
	stream := &stream{run: r, end: end, done: make(chan outcome, 1)}
	if err := stream.open(); err != nil {
		end()
		s.report(b, err)
		s.flush()
		return
	}
	b.stream = stream
	go func() {
		out := stream.relayParts()
		stream.done <- out
	}()
}

// open sends the first part.
func (t *stream) open() error {
	if pin := t.session.pinned; pin != nil {
		t.lane, t.pinned = pin.lane, true
		t.use = router.Use{Instance: pin.instance, Primary: pin.primary}
		return t.sendPart(&peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: t.wireBatch()}})
	}
	t.group.countRequest()
	use, err := t.choose()
	if err != nil {
		return err
	}
	lane, err := t.entry.carrier.Open(t.ctx, use.Instance)
	if err != nil {
		return result.New(result.HomeUnreachable, "%v", err)
	}
	t.use, t.lane = use, lane
	t.group.begin(use.Instance)
	t.setLane(lane)
	open := t.run.open(use)
	open.Batch = t.wireBatch()
	if err := t.sendPart(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: open}}); err != nil {
		t.conclude(lane, use, outcome{broken: true})
		return err
	}
	return nil
}

// transmitPart sends what was collected since the last part.
func (t *stream) transmitPart() {
	// An error breaks the lane, of which the relay learns too.
	_ = t.sendPart(&peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: t.wireBatch()}})
}

// sendPart sends one part, whose messages then belong to the lane.
func (t *stream) sendPart(request *peer.CarryRequest) error {
	t.batch.messages, t.batch.used = nil, nil
	if err := t.transmit(t.lane, request); err != nil {
		return laneError(err)
	}
	return nil
}

// relayParts passes the answers to all parts on, and an error at once.
func (t *stream) relayParts() outcome {
	defer t.supervise(t.lane)()
	out := outcome{prompt: true}
	t.relayInto(t.lane, &out)
	if out.err != nil {
		t.queue(errorResponse(t.errorOf(out), severityError))
		t.write(t.ready)
		t.ready = t.ready[:0]
	}
	return out
}

// errorOf returns the error for the caller.
func (t *stream) errorOf(out outcome) error {
	err := out.final()
	if t.pinned && !t.plan.ends && result.OutcomeOf(err) == result.Unknown {
		return result.New(result.TransactionEnded, "%v", out.err)
	}
	return err
}

// finish sends the last part and ends the answer.
func (t *stream) finish() {
	defer t.end()
	if t.ended() {
		t.transmitPart()
	} else {
		t.lane.Close()
	}
	out := <-t.done
	if out.report != nil {
		t.group.note(translator.FromReport(out.report), time.Time{})
	}
	if out.err != nil {
		t.batch.reported = true
		if !t.pinned {
			t.conclude(t.lane, t.use, out)
		}
		t.refuse(t.batch, t.plan, out.err)
		return
	}
	if t.pinned {
		t.finishPinned(out)
		return
	}
	t.conclude(t.lane, t.use, out)
}

// ended reports whether the whole batch can run on the instance of its first
// part.
func (t *stream) ended() bool {
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

// abandon ends the stream of a caller that has left.
func (t *stream) abandon() {
	t.lane.Close()
	<-t.done
	if !t.pinned {
		t.conclude(t.lane, t.use, outcome{broken: true})
	}
	t.end()
}
