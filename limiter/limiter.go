// Package limiter admits statements to an instance.
//
// # Slots and connections
//
// An instance runs as many statements at once as it has slots. Each of its homes
// has a part of them, see [Share], and admits no more statements than that. A
// statement that begins a transaction also needs one of the home's connections,
// which its transaction keeps.
//
// # Window
//
// Other daemons share the instance, and nobody counts what all of them run. When the
// instance refuses a statement because its slots are taken, [Shed], one statement fewer
// than ran then is admitted at a time; statements that end widen the window again.
//
// # Queue
//
// What can't be admitted waits in a bounded queue. A statement is refused at once
// when the queue is full or when it is expected to end past its deadline: the
// wait is the number of statements ahead of it, times the mean time that a
// statement takes, over the slots. So is a statement whose turn comes too late.
// Statements of open transactions go first, because they hold
// connections and locks; then writes, reads that need the primary, and reads that
// accept old data. Within a priority, callers take turns.
//
// # Locks
//
// What runs may be waiting for a lock that an open transaction holds, and give
// its slot back only when that transaction goes on. A statement of an open
// transaction that is [Overdue] therefore passes over the slots; the number of
// connections bounds how many do.
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

// ID names one request for admission.
type ID uint64

// Priority orders requests that wait. A lower value goes first.
type Priority int

// The priorities.
const (
	// OpenTransaction is a statement of a transaction that has a connection.
	OpenTransaction Priority = iota
	// Write begins a transaction that may write.
	Write
	// PrimaryRead is a read that needs the primary.
	PrimaryRead
	// StaleRead is a read that any instance may serve.
	StaleRead

	priorities
)

// meanWeight is the weight of the latest statement in the mean time that
// statements take, as a divisor.
const meanWeight = 16

// growth is how many times the window of statements has to end before it is one
// wider.
const growth = 8

// maxOutlier bounds what one statement adds to the mean time, in mean times.
const maxOutlier = 16

// Limits are the bounds of one home of an instance.
type Limits struct {
	// Slots is the number of statements that run at once.
	Slots int
	// Connections is the number of transactions that are open at once.
	Connections int
	// Queue is the number of requests that wait.
	Queue int
}

// Share returns a home's part of n slots: the home with the given rank, from
// zero, of the given number of homes. The parts of all homes sum up to n.
func Share(n, homes, rank int) int {
	if homes <= 0 || rank < 0 || rank >= homes {
		return 0
	}
	part := n / homes
	if rank < n%homes {
		part++
	}
	return part
}

// Event is what happened: [Request], [Withdraw], [Finished],
// [Shed], [TransactionEnded], [Overdue], [Resize] or [Expire].
type Event interface{ event() }

// Request asks for admission.
type Request struct {
	ID       ID
	Caller   unit.CallerName
	Priority Priority
	Now      time.Time
	// Deadline is when the statement is to have ended.
	Deadline time.Time
}

// Withdraw takes a waiting request back.
type Withdraw struct{ ID ID }

// Finished tells that an admitted statement gave its slot back.
type Finished struct {
	Now  time.Time
	Took time.Duration
}

// Shed tells that an admitted statement gave its slot back because the instance had no
// slot for it.
type Shed struct{ Now time.Time }

// TransactionEnded tells that a transaction gave its connection back.
type TransactionEnded struct{ Now time.Time }

// Overdue tells that a request of an open transaction has waited for so long
// that what runs may be waiting for its transaction.
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

// Effect is what has to be done: [Admit] or [Refuse].
type Effect interface{ effect() }

// Admit lets a request run. It holds a slot until [Finished], and unless it is
// of an open transaction a connection until [TransactionEnded].
type Admit struct{ ID ID }

// Refuse ends a request, which did not run.
type Refuse struct {
	ID  ID
	Err *result.Error
}

func (Admit) effect()  {}
func (Refuse) effect() {}

// Limiter admits statements to one instance on behalf of one home.
type Limiter struct {
	limits  Limits
	window  float64 // Statements that run at once, zero while nothing was shed.
	running int
	open    int
	mean    time.Duration
	queued  int
	queues  [priorities]queue
}

// New returns a Limiter.
func New(limits Limits) *Limiter { return &Limiter{limits: limits} }

// Running returns the number of slots in use.
func (l *Limiter) Running() int { return l.running }

// Open returns the number of connections in use.
func (l *Limiter) Open() int { return l.open }

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int { return l.queued }

// Mean returns the mean time that statements take.
func (l *Limiter) Mean() time.Duration { return l.mean }

// Wait returns the expected wait of a new request of the priority.
func (l *Limiter) Wait(p Priority) time.Duration {
	if l.admissible(p) && l.ahead(p) == 0 {
		return 0
	}
	return l.mean * time.Duration(l.ahead(p)+1) / time.Duration(max(1, l.slots()))
}

// slots returns the number of statements that may run at once.
func (l *Limiter) slots() int {
	if l.window == 0 {
		return l.limits.Slots
	}
	return min(l.limits.Slots, int(l.window))
}

// widen lets the window grow with each statement that ended.
func (l *Limiter) widen() {
	if l.window == 0 {
		return
	}
	l.window += 1 / (growth * l.window)
	if int(l.window) >= l.limits.Slots {
		l.window = 0
	}
}

// Step takes an event in and returns what has to be done, in order.
func (l *Limiter) Step(event Event) []Effect {
	switch event := event.(type) {
	case Request:
		return l.request(event)
	case Withdraw:
		l.withdraw(event.ID)
	case Finished:
		l.running--
		l.learn(event.Took)
		l.widen()
		return l.admit(event.Now)
	case Shed:
		l.window = float64(max(1, l.running-1))
		l.running--
		return l.admit(event.Now)
	case TransactionEnded:
		l.open--
		return l.admit(event.Now)
	case Overdue:
		return l.passOver(event.ID)
	case Resize:
		l.limits = event.Limits
		return l.admit(event.Now)
	case Expire:
		return l.expire(event.Now)
	}
	return nil
}

// TryAdmit admits a request of the priority if it does not have to wait, as [Request]
// does, and reports whether it did.
func (l *Limiter) TryAdmit(p Priority) bool {
	if !l.admissible(p) || l.ahead(p) > 0 {
		return false
	}
	l.take(p)
	return true
}

func (l *Limiter) request(r Request) []Effect {
	if l.TryAdmit(r.Priority) {
		return []Effect{Admit{ID: r.ID}}
	}
	if l.queued >= l.limits.Queue {
		return []Effect{Refuse{ID: r.ID, Err: result.New(result.Overloaded, "%d statements wait already", l.queued)}}
	}
	if wait := l.Wait(r.Priority); r.Now.Add(wait + l.mean).After(r.Deadline) {
		return []Effect{Refuse{ID: r.ID, Err: result.New(result.Overloaded, "a wait of %v is expected", wait)}}
	}
	l.queued++
	l.queues[r.Priority].push(r)
	return nil
}

// admit admits as many waiting requests as there is room for.
func (l *Limiter) admit(now time.Time) []Effect {
	var effects []Effect
	for p := range priorities {
		for l.admissible(p) && l.queues[p].size > 0 {
			r := l.queues[p].pop()
			l.queued--
			if !r.Deadline.After(now.Add(l.mean)) {
				effects = append(effects, passed(r))
				continue
			}
			l.take(r.Priority)
			effects = append(effects, Admit{ID: r.ID})
		}
	}
	return effects
}

// passOver admits a waiting request of an open transaction.
func (l *Limiter) passOver(id ID) []Effect {
	for _, r := range l.queues[OpenTransaction].remove(func(r Request) bool { return r.ID == id }) {
		l.queued--
		l.take(r.Priority)
		return []Effect{Admit{ID: r.ID}}
	}
	return nil
}

func (l *Limiter) take(p Priority) {
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

// ahead counts the requests that go before a new one of the priority.
func (l *Limiter) ahead(p Priority) int {
	n := 0
	for q := Priority(0); q <= p; q++ {
		n += l.queues[q].size
	}
	return n
}

func (l *Limiter) learn(took time.Duration) {
	if l.mean <= 0 {
		l.mean = took
		return
	}
	l.mean += (min(took, maxOutlier*l.mean) - l.mean) / meanWeight
}

func (l *Limiter) withdraw(id ID) {
	for p := range priorities {
		if l.queues[p].remove(func(r Request) bool { return r.ID == id }) != nil {
			l.queued--
			return
		}
	}
}

func (l *Limiter) expire(now time.Time) []Effect {
	var effects []Effect
	for p := range priorities {
		for _, r := range l.queues[p].remove(func(r Request) bool { return !r.Deadline.After(now) }) {
			l.queued--
			effects = append(effects, passed(r))
		}
	}
	return effects
}

func passed(r Request) Refuse {
	return Refuse{ID: r.ID, Err: result.New(result.DeadlinePassed, "no slot became free in time")}
}
