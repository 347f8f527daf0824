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
	heartbeatInterval   = 100 * time.Millisecond
	replicationSilence  = time.Second
	replicationRetry    = 50 * time.Millisecond
	recordsPerFrame     = 256
	framesInFlight      = 1 << 14
	replicationParam    = "replication"
	replicationProtocol = "tarragon"
)

// hello opens the primary's side.
type hello struct {
	Instance unit.InstanceName
	Term     unit.Term
	History  []span
}

// want opens the replica's side.
type want struct {
	From unit.Index
	Ack  ack
}

// frame carries records or a heartbeat.
type frame struct {
	Records []record
	// Time is the primary's time of sending.
	Time int64
	// Confirmed is the last time at which a majority was in the primary's term.
	Confirmed int64
	// Last is the index of the primary's last record at Time.
	Last unit.Index
}

// ack is a replica's atomic report after a frame.
type ack struct {
	instance.Follower
	Time int64
}

func init() {
	for _, v := range []any{int64(0), float64(0), "", true, []byte(nil)} {
		gob.Register(v)
	}
}

// nextFrame returns the records from index on, or ok false if the instance is
// not primary in term any more.
func (l *ledger) nextFrame(term unit.Term, from unit.Index) (f frame, changed <-chan struct{}, ok bool) {
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

// hello returns the opening of the primary's side.
func (l *ledger) hello(term unit.Term) (hello, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term {
		return hello{}, false
	}
	return hello{Instance: l.name, Term: l.term, History: spans(l.records)}, true
}

// acknowledged takes in a replica's report.
func (l *ledger) acknowledged(term unit.Term, a ack) {
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
		l.announce()
	}
}

// serveReplication is the primary's side of a replication connection.
func (t *Target) serveReplication(ctx context.Context, conn net.Conn) {
	term := t.ledger.currentTerm()
	opening, ok := t.ledger.hello(term)
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
	t.ledger.acknowledged(term, w.Ack)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.wait.Go(func() {
		defer cancel()
		for {
			var a ack
			if decoder.Decode(&a) != nil {
				return
			}
			t.ledger.acknowledged(term, a)
		}
	})
	t.stream(ctx, term, w.From, encoder)
}

func (t *Target) stream(ctx context.Context, term unit.Term, next unit.Index, encoder *gob.Encoder) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := true
	for {
		t.gate.pass(ctx)
		f, changed, ok := t.ledger.nextFrame(term, next)
		if !ok || ctx.Err() != nil {
			return
		}
		if len(f.Records) > 0 || due {
			if encoder.Encode(f) != nil {
				return
			}
			next += unit.Index(len(f.Records))
			due = false
			timer.Reset(heartbeatInterval)
			continue
		}
		select {
		case <-changed:
		case <-timer.C:
			due = true
		case <-ctx.Done():
			return
		}
	}
}

// leader is what a replica replicates from.
type leader struct {
	instance unit.InstanceName
	address  string
	term     unit.Term
	source   uint64
}

// leader returns what to replicate from, or ok false when nothing.
func (l *ledger) leader() (from leader, changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = leader{instance: l.primary, address: l.primaryAddress, term: l.term, source: l.source}
	return from, l.changed, l.role == instance.Replica
}

// join drops what the primary does not have and returns the answer to hello.
func (l *ledger) join(from leader, h hello, invalidate func()) (want, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.source != from.source || h.Term != l.term || h.Instance != from.instance {
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
		l.announce()
	}
	return want{From: common + 1, Ack: l.ackLocked(0)}, true
}

// commonPrefix returns the highest index at which the log and the history have
// the same term.
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

func (l *ledger) ackLocked(at int64) ack {
	return ack{Follower: instance.Follower{Instance: l.name, Term: l.term, Last: l.last()}, Time: at}
}

// receive appends a frame from the primary and returns the acknowledgement.
func (l *ledger) receive(from leader, f frame) (ack, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.source != from.source {
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
		l.marks = append(l.marks, mark{index: f.Last, time: f.Confirmed})
		l.passMarks()
	}
	if len(f.Records) > 0 {
		l.announce()
	} else {
		l.announceFreshness()
	}
	return l.ackLocked(f.Time), true
}

// replicate keeps the instance following whom it was told to follow.
func (t *Target) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		from, changed, ok := t.ledger.leader()
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		t.pull(ctx, from)
		t.awaitRetry(ctx, from)
	}
}

// awaitRetry waits before the same primary is tried again. A new one is followed
// at once.
func (t *Target) awaitRetry(ctx context.Context, from leader) {
	retry := time.After(replicationRetry)
	for {
		now, changed, _ := t.ledger.leader()
		if now.source != from.source {
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

// pull replicates from one primary until the connection ends or the source changes.
func (t *Target) pull(ctx context.Context, from leader) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.wait.Go(func() { t.endWithSource(ctx, cancel, from) })
	dialing, stop := context.WithTimeout(ctx, replicationSilence)
	raw, err := t.dial(dialing, "tcp", from.address)
	stop()
	if err != nil {
		return
	}
	conn := t.adopt(raw)
	defer t.release(conn)
	defer context.AfterFunc(ctx, func() { conn.reset() })()
	startup := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		replicationParam: replicationProtocol, "user": string(t.ledger.name), "database": string(t.group),
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

func (t *Target) endWithSource(ctx context.Context, cancel context.CancelFunc, from leader) {
	for {
		now, changed, ok := t.ledger.leader()
		if !ok || now.source != from.source {
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

type arrival struct {
	frame frame
	at    time.Time
}

func (t *Target) receiveFrames(ctx context.Context, cancel context.CancelFunc, conn *connection, from leader) {
	decoder, encoder := gob.NewDecoder(conn), gob.NewEncoder(conn)
	_ = conn.SetReadDeadline(time.Now().Add(replicationSilence))
	var h hello
	if decoder.Decode(&h) != nil {
		return
	}
	t.gate.pass(ctx)
	w, ok := t.ledger.join(from, h, t.database.invalidate)
	if !ok || encoder.Encode(w) != nil {
		return
	}
	arrivals := make(chan arrival, framesInFlight)
	t.wait.Go(func() {
		defer cancel()
		defer close(arrivals)
		for {
			var f frame
			_ = conn.SetReadDeadline(time.Now().Add(replicationSilence))
			if decoder.Decode(&f) != nil {
				return
			}
			select {
			case arrivals <- arrival{frame: f, at: time.Now()}:
			case <-ctx.Done():
				return
			}
		}
	})
	for a := range arrivals {
		sleep(ctx, time.Until(a.at.Add(time.Duration(t.receiveLag.Load()))))
		t.gate.pass(ctx)
		if ctx.Err() != nil {
			return
		}
		answer, ok := t.ledger.receive(from, a.frame)
		if !ok || encoder.Encode(answer) != nil {
			return
		}
	}
}
