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
// when it is expected to end after its deadline, and when the queue is full and holds
// nothing that should give way. The expected wait is the number of statements that go
// before it, times the mean duration of a statement, divided by the number of slots.
// [Refuse] states the reason and when to try again. These times differ between requests,
// so that callers that were refused together don't return together.
//
// Statements of open transactions go first, because they hold connections and locks.
// They are followed by writes, reads that need the primary, and reads that accept stale
// data. Within a priority, callers are served round-robin.
//
// # Ranked order
//
// With [Limits.Ranked] the queue is made for load that exceeds the slots for seconds: a
// burst on one route, one caller with many times its usual load, callers that retry what
// was refused. After the open transactions come
//
//  1. the [Rank]: first the priority of the route, then that of the caller;
//  2. the callers of a rank, round-robin, so that a large one doesn't delay small ones;
//  3. of one caller, the requests that can still meet their target, earliest target
//     first. The others are late: they wait behind and are served until their deadline.
//
// The order by [Priority] decides only between requests with the same target.
//
// One of [guaranteedTurn] admissions goes to the ranks that were passed over, so that none
// is starved. A request that is passed over so often that it is expected to miss its
// deadline is refused then, not at the deadline.
//
// A full queue refuses the last request of the lowest rank in favor of one that goes
// before it. A caller that has more than half of the queue, or more requests of that rank
// than the new request's caller, gives way too.
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
)

// Rank orders waiting requests if [Limits.Ranked] is set. Lower values go first.
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

// Limits are the limits of one home of an instance, and the order of its queue.
type Limits struct {
	// Slots is the maximum number of concurrent statements.
	Slots int
	// Connections is the maximum number of open transactions.
	Connections int
	// Queue is the maximum number of waiting requests.
	Queue int
	// Ranked orders the queue by [Rank], caller and target instead of by [Priority].
	Ranked bool
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
	ID     ID
	Reason Reason
	// RetryAfter is how long the caller should wait before it tries again. The detail of
	// Err states it too.
	RetryAfter time.Duration
	Err        *result.Error
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
	queue   *queue
}

// New returns a Limiter with the given limits.
func New(limits Limits) *Limiter {
	return &Limiter{limits: limits, queue: newQueue(limits.Ranked)}
}

// Running returns the number of slots in use.
func (l *Limiter) Running() int { return l.running }

// Open returns the number of connections in use.
func (l *Limiter) Open() int { return l.open }

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int { return l.queue.size() }

// Mean returns the moving average of statement durations, or zero before the first
// statement has ended.
func (l *Limiter) Mean() time.Duration { return l.mean }

// Wait returns the expected time that a new request waits.
func (l *Limiter) Wait(r Request) time.Duration {
	if l.admissible(r.Priority) {
		return 0
	}
	return l.arrange(l.queue.newWaiting(r))
}

// arrange decides whether a new request is late, and returns its expected wait.
func (l *Limiter) arrange(w *waiting) time.Duration {
	wait := l.wait(w, w.Now)
	w.late = w.missesTarget(w.Now.Add(wait + l.mean))
	if w.late {
		wait = l.wait(w, w.Now)
	}
	return wait
}

// wait returns the expected time that a queued or new request waits.
func (l *Limiter) wait(w *waiting, now time.Time) time.Duration {
	return max(l.drainTime(l.queue.ahead(w)+1), l.queue.pacedWait(w, now))
}

// drainTime returns the expected time until n waiting requests have been admitted.
func (l *Limiter) drainTime(n int) time.Duration {
	return l.mean * time.Duration(n) / time.Duration(max(1, l.slots()))
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
		l.resize(event.Limits)
		return l.admit(event.Now)
	case Expire:
		return l.expire(event.Now)
	}
	return nil
}

// TryAdmit admits a request if it does not have to wait, with the same result as the event
// [Request], and reports whether it did.
func (l *Limiter) TryAdmit(r Request) bool {
	if !l.admissible(r.Priority) {
		return false
	}
	l.acquire(r.Priority)
	return true
}

func (l *Limiter) request(r Request) []Effect {
	if l.TryAdmit(r) {
		return []Effect{Admit{ID: r.ID}}
	}
	effects := l.refuseMissed(r.Now)
	w := l.queue.newWaiting(r)
	full := l.queue.size() >= l.limits.Queue
	if full && !l.limits.Ranked {
		return append(effects, l.refuse(w, QueueFull, r.Now))
	}
	if wait := l.arrange(w); r.Now.Add(wait + l.mean).After(r.Deadline) {
		return append(effects, l.refuse(w, Deadline, r.Now))
	}
	if full {
		loser, reason := l.queue.loser(w, l.limits.Queue)
		effects = append(effects, l.refuse(loser, reason, r.Now))
		if loser == w {
			return effects
		}
		l.queue.remove(loser)
	}
	l.queue.push(w, r.Now)
	return append(effects, l.refuseOvertaken(w, r.Now)...)
}

// admit admits waiting requests while slots and connections are free. It refuses those
// that can't end before their deadline.
func (l *Limiter) admit(now time.Time) []Effect {
	var effects []Effect
	for l.running < l.slots() {
		w := l.queue.pop(now, l.mean, l.open < l.limits.Connections)
		if w == nil {
			break
		}
		if !w.Deadline.After(now.Add(l.mean)) {
			effects = append(effects, l.refuseExpired(w))
			continue
		}
		l.acquire(w.Priority)
		effects = append(effects, Admit{ID: w.ID})
	}
	return append(effects, l.refuseMissed(now)...)
}

// admitOverdue admits a waiting request of an open transaction regardless of the slots.
func (l *Limiter) admitOverdue(id ID) []Effect {
	w := l.queue.byID[id]
	if w == nil || w.Priority != OpenTransaction {
		return nil
	}
	l.queue.remove(w)
	l.acquire(w.Priority)
	return []Effect{Admit{ID: id}}
}

func (l *Limiter) acquire(p Priority) {
	l.running++
	if p != OpenTransaction {
		l.open++
	}
}

// admissible reports whether a slot and, if needed, a connection are free. Then no request
// that needs the same waits, because each step admits all that it can.
func (l *Limiter) admissible(p Priority) bool {
	if l.running >= l.slots() {
		return false
	}
	return p == OpenTransaction || l.open < l.limits.Connections
}

func (l *Limiter) updateMean(took time.Duration) {
	if l.mean <= 0 {
		l.mean = took
		return
	}
	l.mean += (min(took, maxSampleRatio*l.mean) - l.mean) / meanDivisor
}

func (l *Limiter) withdraw(id ID) {
	if w := l.queue.byID[id]; w != nil {
		l.queue.remove(w)
	}
}

func (l *Limiter) resize(limits Limits) {
	if limits.Ranked != l.limits.Ranked {
		l.queue = l.queue.reordered(limits.Ranked)
	}
	l.limits = limits
}
