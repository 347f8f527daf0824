package limiter

import (
	"fmt"
	"time"

	"tarragonshed.example/result"
)

// Reason is the reason why a request was refused.
type Reason int

// The reasons.
const (
	// QueueFull means that the queue was full and nothing in it had to give way.
	QueueFull Reason = iota + 1
	// Displaced means that the queue was full and a request that goes before this one
	// took its place.
	Displaced
	// CallerShare means that the queue was full and the caller had more than its share.
	CallerShare
	// Deadline means that the statement is expected to end after its deadline.
	Deadline
)

// String returns the reason in kebab case.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue-full"
	case Displaced:
		return "displaced"
	case CallerShare:
		return "caller-share"
	case Deadline:
		return "deadline"
	}
	return "unknown"
}

// minRetryAfter is the shortest time after which a caller is told to try again.
const minRetryAfter = 10 * time.Millisecond

// refuse refuses a request at once.
func (l *Limiter) refuse(w *waiting, reason Reason, now time.Time) Refuse {
	after := retryAfter(w.ID, l.drainTime(l.queue.size()))
	err := result.New(result.Overloaded, "%s; try again in %v", l.cause(w, reason, now), after)
	return Refuse{ID: w.ID, Reason: reason, RetryAfter: after, Err: err}
}

// cause describes the reason for the detail of an error.
func (l *Limiter) cause(w *waiting, reason Reason, now time.Time) string {
	switch reason {
	case Displaced:
		return "the queue is full and a statement that goes before this one took its place"
	case CallerShare:
		return "the queue is full and the caller has its share of it"
	case Deadline:
		return fmt.Sprintf("the expected wait of %v is too long for the deadline", l.wait(w, now))
	}
	return fmt.Sprintf("the queue is full: %d statements are waiting", l.queue.size())
}

// refuseExpired refuses a request that has waited for too long.
func (l *Limiter) refuseExpired(w *waiting) Refuse {
	after := retryAfter(w.ID, l.drainTime(l.queue.size()))
	err := result.New(result.DeadlinePassed, "no slot became free before the deadline; try again in %v", after)
	return Refuse{ID: w.ID, Reason: Deadline, RetryAfter: after, Err: err}
}

// expire refuses the requests whose deadline isn't after t.
func (l *Limiter) expire(t time.Time) []Effect {
	var effects []Effect
	for {
		w := l.queue.earliestDeadline()
		if w == nil || w.Deadline.After(t) {
			return effects
		}
		l.queue.remove(w)
		effects = append(effects, l.refuseExpired(w))
	}
}

// refuseMissed refuses the requests with the earliest deadlines while they are expected to
// miss them. It must be called only when no slot is free for them.
func (l *Limiter) refuseMissed(now time.Time) []Effect {
	if !l.limits.Ranked {
		return nil
	}
	var effects []Effect
	for {
		w := l.queue.earliestDeadline()
		if w == nil || !now.Add(l.queue.pacedWait(w, now)+l.mean).After(w.Deadline) {
			return effects
		}
		l.queue.remove(w)
		effects = append(effects, l.refuseExpired(w))
	}
}

// refuseOvertaken refuses the last request of the queue if it now is expected to miss its
// deadline because the new request w goes before it. One is enough, because w delays the
// others by one statement only.
func (l *Limiter) refuseOvertaken(w *waiting, now time.Time) []Effect {
	if !l.limits.Ranked {
		return nil
	}
	last := l.queue.last()
	if !w.goesBefore(last) || !now.Add(l.wait(last, now)+l.mean).After(last.Deadline) {
		return nil
	}
	l.queue.remove(last)
	return []Effect{l.refuse(last, Deadline, now)}
}

// retryAfter returns a time between one and two times the time in which the queue drains.
// It depends on the ID, so that callers that were refused together return apart.
func retryAfter(id ID, drain time.Duration) time.Duration {
	const (
		multiplier   = 0x9E3779B97F4A7C15 // Scatters consecutive IDs over 64 bits.
		fractionBits = 53
	)
	fraction := float64(uint64(id)*multiplier>>(64-fractionBits)) / (1 << fractionBits)
	base := max(drain, minRetryAfter)
	return (base + time.Duration(fraction*float64(base))).Round(time.Millisecond)
}
