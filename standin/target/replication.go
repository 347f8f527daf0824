package target

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

const (
	heartbeatInterval        = 100 * time.Millisecond
	replicationTimeout       = time.Second
	replicationRetryInterval = 50 * time.Millisecond
	recordsPerFrame          = 256
	receiveQueueSize         = 1 << 14 // Frames buffered while the receive lag delays them.
	replicationParam         = "replication"
	replicationProtocol      = "tarragon"
)

// hello is the first message of the primary on a replication connection.
type hello struct {
	Instance unit.InstanceName
	Term     unit.Term
	History  []span
}

// want is the replica's answer to hello. It requests the records from index From on.
type want struct {
	From unit.Index
	Ack  ack
}

// frame is a message of the primary with new records. Without records it is a
// heartbeat.
type frame struct {
	Records []record
	// Time is the time of sending by the primary's clock, in Unix nanoseconds.
	Time int64
	// Confirmed is the latest time at which a majority of the group is known to have
	// been in the primary's term, in Unix nanoseconds.
	Confirmed int64
	// Last is the index of the last record in the primary's log at Time.
	Last unit.Index
}

// ack is a replica's acknowledgement of a frame. Its fields are read under one lock.
type ack struct {
	instance.Follower
	Time int64
}

func init() {
	for _, v := range []any{int64(0), float64(0), "", true, []byte(nil)} {
		gob.Register(v)
	}
}

// nextFrame returns a frame with the records from index from on and a channel that
// is closed on the next change. It returns ok false if the instance is no longer the
// primary in term.
func (l *replicatedLog) nextFrame(term unit.Term, from unit.Index) (f frame, changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term {
		return frame{}, nil, false
	}
	last := unit.Index(len(l.records))
	if from <= last {
		to := min(last, from+recordsPerFrame-1)
		f.Records = append(f.Records, l.records[from-1:to]...)
	}
	f.Time, f.Confirmed, f.Last = l.now().UnixNano(), l.confirmedTime(), last
	return f, l.changed, true
}

// hello returns the first message of the primary, or false if the instance is not
// the primary in term.
func (l *replicatedLog) hello(term unit.Term) (hello, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term {
		return hello{}, false
	}
	return hello{Instance: l.name, Term: l.term, History: spans(l.records)}, true
}

// recordAck records a replica's acknowledgement if the instance is the primary in
// term.
func (l *replicatedLog) recordAck(term unit.Term, a ack) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term || a.Instance == l.name {
		return
	}
	f := l.followers[a.Instance]
	if f == nil {
		f = &follower{}
		l.followers[a.Instance] = f
	}
	changed := f.Follower != a.Follower
	f.Follower, f.confirmed = a.Follower, max(f.confirmed, a.Time)
	if changed {
		l.notifyChange()
	}
}

// serveReplication handles a replication connection on the primary.
func (t *Target) serveReplication(ctx context.Context, conn net.Conn) {
	term := t.log.currentTerm()
	opening, ok := t.log.hello(term)
	if !ok {
		return
	}
	encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
	if encoder.Encode(opening) != nil {
		return
	}
	var w want
	if decoder.Decode(&w) != nil {
		return
	}
	t.log.recordAck(term, w.Ack)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.wait.Go(func() {
		defer cancel()
		for {
			var a ack
			if decoder.Decode(&a) != nil {
				return
			}
			t.log.recordAck(term, a)
		}
	})
	t.sendFrames(ctx, term, w.From, encoder)
}

func (t *Target) sendFrames(ctx context.Context, term unit.Term, next unit.Index, encoder *gob.Encoder) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	heartbeatDue := true
	for {
		t.gate.wait(ctx)
		f, changed, ok := t.log.nextFrame(term, next)
		if !ok || ctx.Err() != nil {
			return
		}
		if len(f.Records) > 0 || heartbeatDue {
			if encoder.Encode(f) != nil {
				return
			}
			next += unit.Index(len(f.Records))
			heartbeatDue = false
			timer.Reset(heartbeatInterval)
			continue
		}
		select {
		case <-changed:
		case <-timer.C:
			heartbeatDue = true
		case <-ctx.Done():
			return
		}
	}
}

// replicationSource is the primary that a replica replicates from.
type replicationSource struct {
	instance unit.InstanceName
	address  string
	term     unit.Term
	version  uint64
}

// currentSource returns the current replication source, or ok false if the instance
// is not a replica.
func (l *replicatedLog) currentSource() (from replicationSource, changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = replicationSource{instance: l.primary, address: l.primaryAddress, term: l.term, version: l.sourceVersion}
	return from, l.changed, l.role == instance.Replica
}

// reconcile truncates the records that are not in the primary's log and returns the
// answer to hello. It calls invalidate if applied records were truncated, and returns
// false if the replication source has changed or does not match hello.
func (l *replicatedLog) reconcile(from replicationSource, h hello, invalidate func()) (want, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sourceVersion != from.version || h.Term != l.term || h.Instance != from.instance {
		return want{}, false
	}
	common := commonPrefix(l.records, h.History)
	if common < unit.Index(len(l.records)) {
		l.records = l.records[:common:common]
		l.truncations++
		if l.applied > common {
			l.applied = common
			invalidate()
		}
		l.notifyChange()
	}
	return want{From: common + 1, Ack: l.ackLocked(0)}, true
}

// commonPrefix returns the highest index at which the log and the history have the
// same term, or zero if there is none.
func commonPrefix(records []record, history []span) unit.Index {
	for i := len(history) - 1; i >= 0; i-- {
		h := history[i]
		for index := min(h.Last, unit.Index(len(records))); index >= h.First; index-- {
			if records[index-1].Term == h.Term {
				return index
			}
		}
	}
	return 0
}

func (l *replicatedLog) ackLocked(at int64) ack {
	return ack{Follower: instance.Follower{Instance: l.name, Term: l.term, Last: l.last()}, Time: at}
}

// receive appends the records of a frame and returns the acknowledgement. It returns
// false if the replication source has changed or the records are not contiguous with
// the log.
func (l *replicatedLog) receive(from replicationSource, f frame) (ack, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sourceVersion != from.version {
		return ack{}, false
	}
	for _, r := range f.Records {
		if r.Index != unit.Index(len(l.records)+1) {
			return ack{}, false
		}
		r.receivedAt = l.now()
		l.records = append(l.records, r)
		l.lastTime = max(l.lastTime, r.CommittedAt)
	}
	if f.Confirmed > 0 {
		l.freshnessMarks = append(l.freshnessMarks, freshnessMark{index: f.Last, time: f.Confirmed})
		l.advanceFreshness()
	}
	if len(f.Records) > 0 {
		l.notifyChange()
	} else {
		l.notifyFreshness()
	}
	return l.ackLocked(f.Time), true
}

// replicate replicates from the current source whenever the instance is a replica,
// until the context ends.
func (t *Target) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		from, changed, ok := t.log.currentSource()
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		t.replicateFrom(ctx, from)
		t.awaitRetry(ctx, from)
	}
}

// awaitRetry waits for the retry interval before the next connection to the same
// source. It returns immediately if the source changes.
func (t *Target) awaitRetry(ctx context.Context, from replicationSource) {
	retry := time.After(replicationRetryInterval)
	for {
		now, changed, _ := t.log.currentSource()
		if now.version != from.version {
			return
		}
		select {
		case <-changed:
		case <-retry:
			return
		case <-ctx.Done():
			return
		}
	}
}

// replicateFrom replicates from one primary until the connection ends or the source
// changes.
func (t *Target) replicateFrom(ctx context.Context, from replicationSource) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.wait.Go(func() { t.cancelOnSourceChange(ctx, cancel, from) })
	dialCtx, cancelDial := context.WithTimeout(ctx, replicationTimeout)
	raw, err := t.dial(dialCtx, "tcp", from.address)
	cancelDial()
	if err != nil {
		return
	}
	conn := t.trackConnection(raw)
	defer t.closeConnection(conn)
	defer context.AfterFunc(ctx, func() { conn.reset() })()
	startup := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		replicationParam: replicationProtocol, "user": string(t.log.name), "database": string(t.group),
	}}
	opening, err := startup.Encode(nil)
	if err != nil {
		return
	}
	if _, err := conn.Write(opening); err != nil {
		return
	}
	t.receiveFrames(ctx, cancel, conn, from)
}

func (t *Target) cancelOnSourceChange(ctx context.Context, cancel context.CancelFunc, from replicationSource) {
	for {
		now, changed, ok := t.log.currentSource()
		if !ok || now.version != from.version {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

type receivedFrame struct {
	frame frame
	at    time.Time
}

func (t *Target) receiveFrames(ctx context.Context, cancel context.CancelFunc, conn *connection, from replicationSource) {
	decoder, encoder := gob.NewDecoder(conn), gob.NewEncoder(conn)
	_ = conn.SetReadDeadline(time.Now().Add(replicationTimeout))
	var h hello
	if decoder.Decode(&h) != nil {
		return
	}
	t.gate.wait(ctx)
	w, ok := t.log.reconcile(from, h, t.database.invalidate)
	if !ok || encoder.Encode(w) != nil {
		return
	}
	received := make(chan receivedFrame, receiveQueueSize)
	t.wait.Go(func() {
		defer cancel()
		defer close(received)
		for {
			var f frame
			_ = conn.SetReadDeadline(time.Now().Add(replicationTimeout))
			if decoder.Decode(&f) != nil {
				return
			}
			select {
			case received <- receivedFrame{frame: f, at: time.Now()}:
			case <-ctx.Done():
				return
			}
		}
	})
	for a := range received {
		sleep(ctx, time.Until(a.at.Add(time.Duration(t.receiveLag.Load()))))
		t.gate.wait(ctx)
		if ctx.Err() != nil {
			return
		}
		reply, ok := t.log.receive(from, a.frame)
		if !ok || encoder.Encode(reply) != nil {
			return
		}
	}
}
