// Package lender lends the slots and the connections of one instance.
//
// # Slots
//
// A [limiter.Limiter] admits statements to the instance and a [pooler.Pooler]
// keeps connections to it. Both are decision cores; a Lender is the shell around
// them: it holds them under one lock, opens and closes the connections, and lets
// those that wait know. What a connection speaks is the business of its type, so
// that every kind of instance is lent in the same way.
//
// # Usage
//
//	l := lender.New(ctx, open, lender.WithLimits(limits, pool))
//	if !l.TryAdmit(limiter.Write) {
//		id, answer := l.Admit(caller, limiter.Write, deadline)
//		...
//	}
//	ticket, given := l.Take()
//	g := <-given
//	...
//	l.Put(g.ID)
//	l.Finish(took)
//	l.EndTransaction()
package lender

import (
	"context"
	"sync"
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

// DefaultOpenTimeout bounds the opening of a connection.
const DefaultOpenTimeout = time.Second

// Conn is a connection that can be lent.
type Conn interface{ Close() }

// Open opens a connection. The connection calls gone once when it can't be used
// any more. Exhausted tells that the instance has too many connections.
type Open[C Conn] func(ctx context.Context, id pooler.Conn, gone func()) (c C, exhausted bool, err *result.Error)

// Gave is the answer to a request for a connection.
type Gave[C Conn] struct {
	ID   pooler.Conn
	Conn C
	// Check asks for a round trip on the connection before it is used.
	Check bool
	Err   *result.Error
}

// Load is the work that a Lender has at one moment.
type Load struct {
	Running int
	Queued  int
	// Mean is the mean time that statements take.
	Mean time.Duration
	// Size is the number of connections, those being opened included.
	Size int
}

// Lender lends the slots and connections of one instance. It is safe for
// concurrent use.
type Lender[C Conn] struct {
	ctx         context.Context
	openConn    Open[C]
	openTimeout time.Duration
	stopErr     func() *result.Error
	onOpen      func()
	onClose     func()
	onProbe     func(pooler.Probe)

	mu      sync.Mutex
	limiter *limiter.Limiter
	pool    *pooler.Pooler
	conns   map[pooler.Conn]C
	admits  map[limiter.ID]chan *result.Error
	gives   map[pooler.Ticket]chan Gave[C]
	// opening holds the connections being opened, false once one is lost.
	opening map[pooler.Conn]bool
	next    uint64
	stopped bool
	used    time.Time // When a slot was last asked for.
}

// Option changes a Lender under construction.
type Option[C Conn] func(*Lender[C])

// WithOpenTimeout bounds the opening of a connection.
func WithOpenTimeout[C Conn](d time.Duration) Option[C] {
	return func(l *Lender[C]) { l.openTimeout = d }
}

// WithStopError sets the error of requests that find the Lender closed.
func WithStopError[C Conn](err func() *result.Error) Option[C] {
	return func(l *Lender[C]) { l.stopErr = err }
}

// WithObserver sets what is called when a connection was opened or closed. The
// lock is held during the call.
func WithObserver[C Conn](opened, closed func()) Option[C] {
	return func(l *Lender[C]) { l.onOpen, l.onClose = opened, closed }
}

// WithProbe sets what asks the instance about a suspect, in a goroutine of its
// own. It ends with a call of [Lender.Probed].
func WithProbe[C Conn](probe func(pooler.Probe)) Option[C] {
	return func(l *Lender[C]) { l.onProbe = probe }
}

// New returns a Lender that opens connections until ctx ends.
func New[C Conn](ctx context.Context, open Open[C], limits limiter.Limits, pool pooler.Limits, options ...Option[C]) *Lender[C] {
	l := &Lender[C]{
		ctx: ctx, openConn: open, openTimeout: DefaultOpenTimeout,
		stopErr: func() *result.Error { return result.New(result.InstanceUnreachable, "the connections were closed") },
		onOpen:  func() {}, onClose: func() {}, onProbe: func(pooler.Probe) {},
		limiter: limiter.New(limits), pool: pooler.New(pool),
		conns:  make(map[pooler.Conn]C),
		admits: make(map[limiter.ID]chan *result.Error),
		gives:  make(map[pooler.Ticket]chan Gave[C]),

		opening: make(map[pooler.Conn]bool),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Resize changes the limits.
func (l *Lender[C]) Resize(limits limiter.Limits, pool pooler.Limits) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit(l.limiter.Step(limiter.Resize{Limits: limits, Now: now}))
	l.apply(l.pool.Step(pooler.Resize{Limits: pool, Now: now}))
}

// Tick lets time pass. While keep is false no connection is opened to be kept
// ready.
func (l *Lender[C]) Tick(now time.Time, keep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped && (keep || l.pool.Waiting() > 0) {
		l.apply(l.pool.Step(pooler.Tick{Now: now}))
	}
}

// Close closes all connections. Requests are refused from now on.
func (l *Lender[C]) Close() {
	l.mu.Lock()
	l.stopped = true
	conns := l.conns
	l.conns = make(map[pooler.Conn]C)
	l.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Load returns the present work.
func (l *Lender[C]) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{Running: l.limiter.Running(), Queued: l.limiter.Queued(), Mean: l.limiter.Mean(), Size: l.pool.Size()}
}

// Unused reports whether no slot has been asked for since the time d ago and
// no transaction is open.
func (l *Lender[C]) Unused(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Open() == 0 && l.limiter.Queued() == 0 && time.Since(l.used) > d
}

// Find returns an open connection.
func (l *Lender[C]) Find(id pooler.Conn) (c C, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok = l.conns[id]
	return c, ok
}

// Each calls f for every open connection.
func (l *Lender[C]) Each(f func(pooler.Conn, C)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.conns {
		f(id, c)
	}
}

// Suspect tells that a connection has owed an answer since the time given.
func (l *Lender[C]) Suspect(id pooler.Conn, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.pool.Step(pooler.Suspect{Conn: id, UnresponsiveSince: since}))
}

// Probed tells what a probe said, and returns the connections that were closed
// for it.
func (l *Lender[C]) Probed(p pooler.Probed) []C {
	l.mu.Lock()
	defer l.mu.Unlock()
	effects := l.pool.Step(p)
	var closed []C
	for _, effect := range effects {
		if shut, ok := effect.(pooler.Close); ok {
			closed = append(closed, l.conns[shut.Conn])
		}
	}
	l.apply(effects)
	return closed
}
