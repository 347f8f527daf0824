// Package retrier decides whether and when a statement is sent again.
//
// # Rules
//
// Only a statement that provably did not run, or a read whose answer has not
// begun, is sent again. Retries that load an instance are paid from a [Budget]
// that grows with the traffic, so that they can't multiply an overload.
//
// # Usage
//
//	budget.Request()
//	...
//	if !retrier.Repeatable(outcome, read, begun) || !budget.Take() {
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
	// DefaultBurst is the number of retries that can be saved up.
	DefaultBurst = 20
)

// Budget limits retries to a share of the requests. The zero Budget uses the
// defaults and begins with its reserve. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// Burst is the highest number of retries that are saved up.
	Burst float64
	spent float64
}

// RecordRequest records one request.
func (b *Budget) RecordRequest() {
	share := b.Ratio
	if share == 0 {
		share = DefaultRatio
	}
	b.spent = max(0, b.spent-share)
}

// Take takes one retry out of the budget, and reports whether there was one.
func (b *Budget) Take() bool {
	reserve := b.Burst
	if reserve == 0 {
		reserve = DefaultBurst
	}
	if b.spent+1 > reserve {
		return false
	}
	b.spent++
	return true
}

// Retryable reports whether a statement that failed with the outcome may be sent
// again. Begun tells that a part of its answer has reached the caller.
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

// Backoff is an exponential delay with jitter. The zero Backoff uses the
// defaults.
type Backoff struct {
	// First is the mean delay before the first retry.
	First time.Duration
	// Limit is the longest mean delay.
	Limit time.Duration
}

// Delay returns the delay before retry attempt, counted from zero: the mean
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
