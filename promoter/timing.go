package promoter

import (
	"math"
	"time"
)

// Timing holds the delays of a [Promoter]. They affect how fast it acts but not its
// safety.
type Timing struct {
	// ProbeInterval is the time after the last report of a primary at which it is
	// probed.
	ProbeInterval time.Duration
	// ReplicaInterval is the same for the other instances.
	ReplicaInterval time.Duration
	// MissedProbes is the number of probes in a row without an answer after
	// which a primary is unresponsive.
	MissedProbes int
	// AliveDelay is added before an unresponsive primary is replaced while its
	// replicas still receive from it.
	AliveDelay time.Duration
	// StallTimeout is how long a primary may go without being confirmed by a
	// majority.
	StallTimeout time.Duration
	// RecoverDelay is how long a granted term may go without a primary.
	RecoverDelay time.Duration
	// StartDelay is how long a new Promoter waits for reports before it assumes
	// that a group has no primary.
	StartDelay time.Duration
	// Stagger is the delay for each rank before a Promoter acts.
	Stagger time.Duration
	// Jitter is the upper bound of a random delay for ranks above zero.
	Jitter time.Duration
	// CallTimeout bounds each grant, promotion and follow call, and the quiesce
	// call that lifts an earlier one.
	CallTimeout time.Duration
	// AttemptTimeout bounds each of the two phases of an attempt: the grants and
	// the promotion.
	AttemptTimeout time.Duration
	// GrantWait is how long an attempt waits for the grants of all instances that
	// it has asked. With the grants of a majority it then promotes; without them
	// it also asks a suspected primary.
	GrantWait time.Duration
	// RetryDelay is the upper bound of the random delay after the first failed
	// attempt. It doubles with each further failure up to RetryLimit.
	RetryDelay time.Duration
	RetryLimit time.Duration
	// FollowInterval is the minimum time between two follow calls to one
	// instance.
	FollowInterval time.Duration
	// ChangeTimeout bounds both the wait of a requested change for its target and
	// the time for which the primary is quiesced until the term is requested.
	ChangeTimeout time.Duration
	// ChangeRetryDelay is the minimum time between planned changes away from a
	// leaving primary.
	ChangeRetryDelay time.Duration
}

// DefaultTiming suits instances with a one-way network latency of up to 10 ms.
var DefaultTiming = Timing{
	ProbeInterval:    200 * time.Millisecond,
	ReplicaInterval:  time.Second,
	MissedProbes:     2,
	AliveDelay:       300 * time.Millisecond,
	StallTimeout:     600 * time.Millisecond,
	RecoverDelay:     500 * time.Millisecond,
	StartDelay:       300 * time.Millisecond,
	Stagger:          150 * time.Millisecond,
	Jitter:           50 * time.Millisecond,
	CallTimeout:      400 * time.Millisecond,
	AttemptTimeout:   600 * time.Millisecond,
	GrantWait:        100 * time.Millisecond,
	RetryDelay:       100 * time.Millisecond,
	RetryLimit:       time.Second,
	FollowInterval:   200 * time.Millisecond,
	ChangeTimeout:    time.Second,
	ChangeRetryDelay: 5 * time.Second,
}

// Detection sets the timeout of probes: [Fixed] or [Accrual].
type Detection interface {
	timeout(s *latencyStats) time.Duration
}

// Fixed gives every probe the same timeout.
type Fixed struct{ Timeout time.Duration }

// Accrual sets the timeout of a probe from the mean and the standard deviation of
// earlier probe durations, as the phi accrual failure detector does with a normal
// distribution.
type Accrual struct {
	// Deviations is the number of standard deviations above the mean after which
	// a probe is missed.
	Deviations float64
	// Floor and Ceiling bound the timeout. Ceiling also applies while too few
	// probes have been answered for an estimate.
	Floor, Ceiling time.Duration
}

// DefaultDetection is the detection of a Promoter that is created without
// [WithDetection].
var DefaultDetection Detection = Accrual{Deviations: 8, Floor: 120 * time.Millisecond, Ceiling: 250 * time.Millisecond}

func (f Fixed) timeout(*latencyStats) time.Duration { return f.Timeout }

func (a Accrual) timeout(s *latencyStats) time.Duration {
	if s.count < minLatencySamples {
		return a.Ceiling
	}
	wait := s.mean + a.Deviations*math.Sqrt(s.variance)
	return min(max(time.Duration(wait*float64(time.Second)), a.Floor), a.Ceiling)
}

const (
	// minLatencySamples is the number of probes before their mean and variance are
	// used.
	minLatencySamples = 8
	// latencyWeight is the minimum weight of the latest probe in the moving
	// averages. While there are fewer than 16 probes, each has the same weight.
	latencyWeight = 1.0 / 16
)

// latencyStats holds the exponentially weighted mean, in seconds, and variance, in
// seconds squared, of probe durations.
type latencyStats struct {
	count          int
	mean, variance float64
}

func (s *latencyStats) add(took time.Duration) {
	s.count++
	weight := max(latencyWeight, 1/float64(s.count))
	deviation := took.Seconds() - s.mean
	s.mean += weight * deviation
	s.variance = (1 - weight) * (s.variance + weight*deviation*deviation)
}
