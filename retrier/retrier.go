// Package retrier decides whether and when a statement is retried.
//
// # Rules
//
// Only a statement that provably did not run, or a read whose response has not begun, is
// retried. Retries that add load to an instance are taken from a [Budget] that is refilled
// by requests, so that retries can't multiply an overload.
//
// # Usage
//
//	budget.RecordRequest()
//	...
//	if !retrier.Retryable(outcome, read, begun) || !budget.Take() {
//		return err
//	}
//	wait(backoff.Delay(attempt, rand.Float64()))
package retrier

import (
	"time"

	"tarragonshed.example/result"
)

// Defaults of a Budget.
const (
	// DefaultRatio is the number of retries per request.
	DefaultRatio = 0.1
	// DefaultBurst is the number of retries that a full budget permits in succession.
	DefaultBurst = 20
)

// Budget limits retries to a ratio of the requests. The zero Budget uses the defaults. A
// Budget starts full. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the capacity of the budget in retries.
	Burst float64
	spent float64
}

// RecordRequest adds the retries for one request to the budget.
func (b *Budget) RecordRequest() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.spent = max(0, b.spent-ratio)
}

// Take takes one retry out of the budget. It returns false if none is left.
func (b *Budget) Take() bool {
	burst := b.Burst
	if burst == 0 {
		burst = DefaultBurst
	}
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}

// Retryable reports whether a statement that failed with the given outcome may be retried.
// Begun means that a part of its response has reached the caller.
func Retryable(outcome result.Outcome, read, begun bool) bool {
	if begun {
		return false
	}
	return outcome == result.NotRun || (read && outcome == result.Unknown)
}

// Defaults of a Backoff.
const (
	DefaultFirst = 5 * time.Millisecond
	DefaultLimit = 500 * time.Millisecond
)

// Backoff is an exponential backoff with jitter. The zero Backoff uses the defaults.
type Backoff struct {
	// First is the mean delay before the first retry.
	First time.Duration
	// Limit is the highest mean delay.
	Limit time.Duration
}

// Delay returns the delay before a retry. Attempt counts from zero. The result is the mean
// delay times a factor of 0.5 to 1.5 that random, a number in [0, 1), selects.
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	mean, limit := b.First, b.Limit
	if mean == 0 {
		mean = DefaultFirst
	}
	if limit == 0 {
		limit = DefaultLimit
	}
	for ; attempt > 0 && mean < limit; attempt-- {
		mean *= 2
	}
	return time.Duration(float64(min(mean, limit)) * (0.5 + random))
}
