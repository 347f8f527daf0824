// Package lender lends the statement slots and the pooled connections of one instance.
//
// # Slots
//
// A [limiter.Limiter] admits statements to the instance and a [pooler.Pooler]
// manages connections to it. Both are decision cores without I/O. A Lender is
// their caller: it serializes their steps with one lock, opens and closes the
// connections, and notifies waiting requests. The protocol of a connection is
// left to the connection type, so that a Lender works for every kind of instance.
//
// # Usage
//
//	l := lender.New(ctx, open, limits, poolLimits)
//	request := limiter.Request{Caller: caller, Priority: limiter.Write, Deadline: deadline}
//	if !l.TryAdmit(request) {
//		id, answer := l.Admit(request)
//		...
//	}
//	ticket, results := l.Acquire(caller)
//	r := <-results
//	...
//	l.Release(r.ID)
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
	"tarragonshed.example/unit"
)

// DefaultOpenTimeout is the timeout for opening a connection.
const DefaultOpenTimeout = time.Second

// Conn is a connection that can be lent.
type Conn interface{ Close() }

// Open opens a connection of the caller, see package pooler. The connection calls gone once,
// when it can no longer be used. The result exhausted reports that the instance refused the connection
// because it has too many.
type Open[C Conn] func(ctx context.Context, caller unit.CallerName, id pooler.Conn, gone func()) (c C, exhausted bool, err *result.Error)

// AcquireResult is the result of a request for a connection. If Err is set, there is no
// connection.
type AcquireResult[C Conn] struct {
	ID   pooler.Conn
	Conn C
	// Check requires a round trip on the connection before it is used, because it
	// was idle for long.
	Check bool
	Err   *result.Error
}

// Load is a snapshot of the statements and connections of a [Lender].
type Load struct {
	Running int
	Queued  int
	// Mean is the mean duration of a statement.
	Mean time.Duration
	// Size is the number of connections, including those being opened.
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
	onRefuse    func(limiter.Reason)

	mu             sync.Mutex
	limiter        *limiter.Limiter
	pool           *pooler.Pooler
	conns          map[pooler.Conn]C
	admitWaiters   map[limiter.ID]chan *result.Error
	acquireWaiters map[pooler.Ticket]chan AcquireResult[C]
	// opening holds the connections being opened. The value becomes false when the
	// connection is lost before it is in the pool.
	opening     map[pooler.Conn]bool
	lastID      uint64
	stopped     bool
	lastRequest time.Time // When a slot was last requested.
}

// Option configures a [Lender].
type Option[C Conn] func(*Lender[C])

// WithOpenTimeout sets the timeout for opening a connection instead of
// [DefaultOpenTimeout].
func WithOpenTimeout[C Conn](d time.Duration) Option[C] {
	return func(l *Lender[C]) { l.openTimeout = d }
}

// WithStopError sets the function that returns the error of requests to a closed
// [Lender].
func WithStopError[C Conn](err func() *result.Error) Option[C] {
	return func(l *Lender[C]) { l.stopErr = err }
}

// WithObserver sets functions that are called after a connection was opened or
// closed. They are called with the lock held and must not call the [Lender].
func WithObserver[C Conn](opened, closed func()) Option[C] {
	return func(l *Lender[C]) { l.onOpen, l.onClose = opened, closed }
}

// WithProbe sets the function that queries the instance about a suspect
// connection. It runs in its own goroutine and must end with a call of
// [Lender.Probed].
func WithProbe[C Conn](probe func(pooler.Probe)) Option[C] {
	return func(l *Lender[C]) { l.onProbe = probe }
}

// WithRefusals sets a function that is called with the reason of each request for a slot
// that the limiter refuses. It is called with the lock held and must not call the [Lender].
func WithRefusals[C Conn](refused func(limiter.Reason)) Option[C] {
	return func(l *Lender[C]) { l.onRefuse = refused }
}

// New returns a Lender that opens connections until ctx is done.
func New[C Conn](ctx context.Context, open Open[C], limits limiter.Limits, pool pooler.Limits, options ...Option[C]) *Lender[C] {
	l := &Lender[C]{
		ctx: ctx, openConn: open, openTimeout: DefaultOpenTimeout,
		stopErr: func() *result.Error { return result.New(result.InstanceUnreachable, "the connection pool is closed") },
		onOpen:  func() {}, onClose: func() {}, onProbe: func(pooler.Probe) {}, onRefuse: func(limiter.Reason) {},
		limiter: limiter.New(limits), pool: pooler.New(pool),
		conns:          make(map[pooler.Conn]C),
		admitWaiters:   make(map[limiter.ID]chan *result.Error),
		acquireWaiters: make(map[pooler.Ticket]chan AcquireResult[C]),

		opening: make(map[pooler.Conn]bool),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Resize changes the limits of the slots and of the connection pool.
func (l *Lender[C]) Resize(limits limiter.Limits, pool pooler.Limits) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLimiter(l.limiter.Step(limiter.Resize{Limits: limits, Now: now}))
	l.applyPooler(l.pool.Step(pooler.Resize{Limits: pool, Now: now}))
}

// Tick advances the pool to now. If keepWarm is false, no connection is opened only
// to be kept ready.
func (l *Lender[C]) Tick(now time.Time, keepWarm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped && (keepWarm || l.pool.Waiting() > 0) {
		l.applyPooler(l.pool.Step(pooler.Tick{Now: now}))
	}
}

// Close closes all connections and refuses the requests that wait. Later requests are refused, too. All
// other methods have no effect after it.
func (l *Lender[C]) Close() {
	l.mu.Lock()
	l.stopped = true
	conns := l.conns
	l.conns = make(map[pooler.Conn]C)
	for _, answer := range l.admitWaiters {
		answer <- l.stopErr()
	}
	for _, answer := range l.acquireWaiters {
		answer <- AcquireResult[C]{Err: l.stopErr()}
	}
	clear(l.admitWaiters)
	clear(l.acquireWaiters)
	l.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Load returns the current load.
func (l *Lender[C]) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{Running: l.limiter.Running(), Queued: l.limiter.Queued(), Mean: l.limiter.Mean(), Size: l.pool.Size()}
}

// IdleFor reports whether no slot was requested during the last d, no request is
// queued and no transaction is open.
func (l *Lender[C]) IdleFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Open() == 0 && l.limiter.Queued() == 0 && time.Since(l.lastRequest) > d
}

// Find returns the open connection with the given id.
func (l *Lender[C]) Find(id pooler.Conn) (c C, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok = l.conns[id]
	return c, ok
}

// Each calls f for every open connection, with the lock held.
func (l *Lender[C]) Each(f func(pooler.Conn, C)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.conns {
		f(id, c)
	}
}

// Suspect reports that a response on the connection has been pending since the given
// time. The pool may then probe the instance; see [WithProbe].
func (l *Lender[C]) Suspect(id pooler.Conn, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPooler(l.pool.Step(pooler.Suspect{Conn: id, UnresponsiveSince: since}))
}

// Probed passes the result of a probe to the pool and returns the connections that
// were closed because of it.
func (l *Lender[C]) Probed(p pooler.Probed) []C {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	effects := l.pool.Step(p)
	var closed []C
	for _, effect := range effects {
		if closing, ok := effect.(pooler.Close); ok {
			closed = append(closed, l.conns[closing.Conn])
		}
	}
	l.applyPooler(effects)
	return closed
}
