// Package limiter admits statements to an instance.
//
// # Slots and connections
//
// An instance runs as many statements at once as it has slots. A home is a daemon that
// owns connections to the instance. Each home has a share of the slots, see [Share], and
// admits no more statements than that. A statement that begins a transaction also needs
// one of the home's connections, which is held until the transaction ends.
//
// # Concurrency window
//
// Several daemons share the instance, and no daemon counts the statements of all of
// them. When the instance rejects a statement because its slots are in use, the home
// limits the number of concurrent statements to one less than were running, see [Shed].
// Statements that end increase this window again.
//
// # Queue
//
// A statement that can't be admitted waits in a bounded queue. It is refused at once
// when the queue is full or when it is expected to end after its deadline: the expected
// wait is the number of statements ahead of it, times the mean duration of a statement,
// divided by the number of slots. A queued statement is refused when a slot becomes free
// too late for its deadline.
//
// Statements of open transactions go first, because they hold connections and locks.
// They are followed by writes, reads that need the primary, and reads that accept stale
// data. Within a priority, callers are served round-robin.
//
// # Locks
//
// Running statements may be blocked on a lock of an open transaction, and release their
// slots only after that transaction ends. If the next statement of that transaction
// waited for a slot, neither could proceed. A statement of an open transaction that is
// [Overdue] is therefore admitted beyond the number of slots. The number of connections
// bounds how many such statements run.
//
// # Usage
//
//	l := limiter.New(limiter.Limits{Slots: 2, Connections: 7, Queue: 200})
//	for _, effect := range l.Step(limiter.Request{ID: 1, Caller: "demo", Priority: limiter.Write, Now: now, Deadline: deadline}) {
//		switch effect := effect.(type) {
//		case limiter.Admit:
//			run(effect.ID)
//		case limiter.Refuse:
//			refuse(effect.ID, effect.Err)
//		}
//	}
//	...
//	effects := l.Step(limiter.Finished{Now: later, Took: took})
//	effects = append(effects, l.Step(limiter.TransactionEnded{Now: later})...)
package limiter

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// ID identifies one request for admission.
type ID uint64

// Priority orders waiting requests. A lower value goes first.
type Priority int

// The priorities.
const (
	// OpenTransaction is a statement of a transaction that already has a connection.
	OpenTransaction Priority = iota
	// Write begins a transaction that may write.
	Write
	// PrimaryRead is a read that needs the primary.
	PrimaryRead
	// StaleRead is a read that any instance may serve.
	StaleRead

	numPriorities
)

// Rank orders waiting requests of the same [Priority]. Lower values go first.
type Rank struct {
	// Route is the priority of the route that the request uses.
	Route int
	// Caller is the priority of the caller.
	Caller int
}

// meanDivisor is the inverse of the weight that the latest statement has in the moving
// average of statement durations.
const meanDivisor = 16

// windowGrowthRounds is the number of full windows of statements that must end before the
// window grows by one.
const windowGrowthRounds = 8

// maxSampleRatio limits the duration that one statement contributes to the moving average,
// as a multiple of the average. It bounds the effect of outliers.
const maxSampleRatio = 16

// Limits are the limits of one home of an instance.
type Limits struct {
	// Slots is the maximum number of concurrent statements.
	Slots int
	// Connections is the maximum number of open transactions.
	Connections int
	// Queue is the maximum number of waiting requests.
	Queue int
}

// Share returns the share of n slots for the home with the given zero-based rank among
// the given number of homes. The shares of all homes add up to n. It returns zero if
// the rank is out of range.
func Share(n, homes, rank int) int {
	if homes <= 0 || rank < 0 || rank >= homes {
		return 0
	}
	share := n / homes
	if rank < n%homes {
		share++
	}
	return share
}

// Event is an input of a [Limiter]: [Request], [Withdraw], [Finished],
// [Shed], [TransactionEnded], [Overdue], [Resize] or [Expire].
type Event interface{ event() }

// Request requests admission for a statement.
type Request struct {
	ID       ID
	Caller   unit.CallerName
	Priority Priority
	Rank     Rank
	Now      time.Time
	// Deadline is the time by which the statement must have ended.
	Deadline time.Time
	// Target is the time by which the statement should have ended for its caller to be
	// served well. It is zero if the route has no target latency.
	Target time.Time
}

// Withdraw cancels a waiting request.
type Withdraw struct{ ID ID }

// Finished reports that an admitted statement ended and released its slot.
type Finished struct {
	Now  time.Time
	Took time.Duration
}

// Shed reports that the instance rejected an admitted statement because all its slots
// were in use. The statement releases its slot at the home.
type Shed struct{ Now time.Time }

// TransactionEnded reports that a transaction released its connection.
type TransactionEnded struct{ Now time.Time }

// Overdue reports that a request of an open transaction has waited for so long that the
// running statements may be blocked on a lock of its transaction.
type Overdue struct{ ID ID }

// Resize changes the limits.
type Resize struct {
	Limits
	Now time.Time
}

// Expire refuses requests whose deadline is not after Now.
type Expire struct{ Now time.Time }

func (Request) event()          {}
func (Withdraw) event()         {}
func (Finished) event()         {}
func (Shed) event()             {}
func (TransactionEnded) event() {}
func (Overdue) event()          {}
func (Resize) event()           {}
func (Expire) event()           {}

// Effect is an action for the embedding code: [Admit] or [Refuse].
type Effect interface{ effect() }

// Admit admits a request. The request holds a slot until [Finished] or [Shed]. Unless its
// priority is [OpenTransaction], it also holds a connection until [TransactionEnded].
type Admit struct{ ID ID }

// Refuse rejects a request, which has not run.
type Refuse struct {
	ID  ID
	Err *result.Error
}

func (Admit) effect()  {}
func (Refuse) effect() {}

// Limiter admits the statements of one home to one instance. It is not safe for
// concurrent use.
type Limiter struct {
	limits  Limits
	window  float64 // Limit of concurrent statements. Zero means no limit beyond Slots.
	running int
	open    int
	mean    time.Duration
	queued  int
	queues  [numPriorities]queue
}

// New returns a Limiter with the given limits.
func New(limits Limits) *Limiter { return &Limiter{limits: limits} }

// Running returns the number of slots in use.
func (l *Limiter) Running() int { return l.running }

// Open returns the number of connections in use.
func (l *Limiter) Open() int { return l.open }

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int { return l.queued }

// Mean returns the moving average of statement durations, or zero before the first
// statement has ended.
func (l *Limiter) Mean() time.Duration { return l.mean }

// Wait returns the expected time that a new request of the given priority waits.
func (l *Limiter) Wait(p Priority) time.Duration {
	if l.admissible(p) && l.queuedAhead(p) == 0 {
		return 0
	}
	return l.mean * time.Duration(l.queuedAhead(p)+1) / time.Duration(max(1, l.slots()))
}

// slots returns the current limit of concurrent statements.
func (l *Limiter) slots() int {
	if l.window == 0 {
		return l.limits.Slots
	}
	return min(l.limits.Slots, int(l.window))
}

// growWindow increases the window after a statement has ended.
func (l *Limiter) growWindow() {
	if l.window == 0 {
		return
	}
	l.window += 1 / (windowGrowthRounds * l.window)
	if int(l.window) >= l.limits.Slots {
		l.window = 0
	}
}

// Step processes an event and returns the resulting effects in order.
func (l *Limiter) Step(event Event) []Effect {
	switch event := event.(type) {
	case Request:
		return l.request(event)
	case Withdraw:
		l.withdraw(event.ID)
	case Finished:
		l.running--
		l.updateMean(event.Took)
		l.growWindow()
		return l.admit(event.Now)
	case Shed:
		l.window = float64(max(1, l.running-1))
		l.running--
		return l.admit(event.Now)
	case TransactionEnded:
		l.open--
		return l.admit(event.Now)
	case Overdue:
		return l.admitOverdue(event.ID)
	case Resize:
		l.limits = event.Limits
		return l.admit(event.Now)
	case Expire:
		return l.expire(event.Now)
	}
	return nil
}

// TryAdmit admits a request of the given priority if it does not have to wait, with the
// same result as [Request], and reports whether it did.
func (l *Limiter) TryAdmit(p Priority) bool {
	if !l.admissible(p) || l.queuedAhead(p) > 0 {
		return false
	}
	l.acquire(p)
	return true
}

func (l *Limiter) request(r Request) []Effect {
	if l.TryAdmit(r.Priority) {
		return []Effect{Admit{ID: r.ID}}
	}
	if l.queued >= l.limits.Queue {
		return []Effect{Refuse{ID: r.ID, Err: result.New(result.Overloaded, "the queue is full: %d statements are waiting", l.queued)}}
	}
	if wait := l.Wait(r.Priority); r.Now.Add(wait + l.mean).After(r.Deadline) {
		return []Effect{Refuse{ID: r.ID, Err: result.New(result.Overloaded, "the expected wait of %v is too long for the deadline", wait)}}
	}
	l.queued++
	l.queues[r.Priority].push(r)
	return nil
}

// admit admits waiting requests while slots and connections are free. It refuses those
// that can't end before their deadline.
func (l *Limiter) admit(now time.Time) []Effect {
	var effects []Effect
	for p := range numPriorities {
		for l.admissible(p) && l.queues[p].size > 0 {
			r := l.queues[p].pop()
			l.queued--
			if !r.Deadline.After(now.Add(l.mean)) {
				effects = append(effects, refuseLate(r))
				continue
			}
			l.acquire(r.Priority)
			effects = append(effects, Admit{ID: r.ID})
		}
	}
	return effects
}

// admitOverdue admits a waiting request of an open transaction regardless of the slots.
func (l *Limiter) admitOverdue(id ID) []Effect {
	for _, r := range l.queues[OpenTransaction].remove(func(r Request) bool { return r.ID == id }) {
		l.queued--
		l.acquire(r.Priority)
		return []Effect{Admit{ID: r.ID}}
	}
	return nil
}

func (l *Limiter) acquire(p Priority) {
	l.running++
	if p != OpenTransaction {
		l.open++
	}
}

func (l *Limiter) admissible(p Priority) bool {
	if l.running >= l.slots() {
		return false
	}
	return p == OpenTransaction || l.open < l.limits.Connections
}

// queuedAhead returns the number of queued requests that go before a new request of the
// given priority.
func (l *Limiter) queuedAhead(p Priority) int {
	n := 0
	for q := Priority(0); q <= p; q++ {
		n += l.queues[q].size
	}
	return n
}

func (l *Limiter) updateMean(took time.Duration) {
	if l.mean <= 0 {
		l.mean = took
		return
	}
	l.mean += (min(took, maxSampleRatio*l.mean) - l.mean) / meanDivisor
}

func (l *Limiter) withdraw(id ID) {
	for p := range numPriorities {
		if l.queues[p].remove(func(r Request) bool { return r.ID == id }) != nil {
			l.queued--
			return
		}
	}
}

func (l *Limiter) expire(now time.Time) []Effect {
	var effects []Effect
	for p := range numPriorities {
		for _, r := range l.queues[p].remove(func(r Request) bool { return !r.Deadline.After(now) }) {
			l.queued--
			effects = append(effects, refuseLate(r))
		}
	}
	return effects
}

func refuseLate(r Request) Refuse {
	return Refuse{ID: r.ID, Err: result.New(result.DeadlinePassed, "no slot became free before the deadline")}
}
