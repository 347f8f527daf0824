package promoter

import (
	"math"
	"time"
)

// Timing holds the delays of a [Promoter]. They decide how fast it acts and
// never whether it is right.
type Timing struct {
	// ProbeInterval is how long a primary may go unheard before it is probed.
	ProbeInterval time.Duration
	// ReplicaInterval is the same for the other instances.
	ReplicaInterval time.Duration
	// MissedProbes is the number of probes in a row without an answer that make
	// a primary silent.
	MissedProbes int
	// AliveDelay is added before a silent primary is replaced while its replicas
	// still receive from it.
	AliveDelay time.Duration
	// StallTimeout is how long a primary may go without being confirmed by a
	// majority.
	StallTimeout time.Duration
	// RecoverDelay is how long a granted term may go without a primary.
	RecoverDelay time.Duration
	// StartDelay is how long a new Promoter waits before it takes a group for
	// one without a primary.
	StartDelay time.Duration
	// Stagger is added for each rank before a Promoter acts.
	Stagger time.Duration
	// Jitter is the upper bound of a random delay for ranks above zero.
	Jitter time.Duration
	// CallTimeout bounds each grant, promotion and follow call.
	CallTimeout time.Duration
	// AttemptTimeout bounds each of the two phases of a promotion.
	AttemptTimeout time.Duration
	// GrantWait is how long grants beyond a majority are waited for when the log of
	// a certain instance is wanted.
	GrantWait time.Duration
	// RetryDelay is the upper bound of the random delay after the first failed
	// attempt. It doubles with each further one up to RetryLimit.
	RetryDelay time.Duration
	RetryLimit time.Duration
	// FollowInterval is the time between two follow calls to one instance.
	FollowInterval time.Duration
	// ChangeTimeout bounds the quiet phase of a planned change.
	ChangeTimeout time.Duration
	// ChangeRetryDelay is the time between planned changes away from a leaving
	// instance.
	ChangeRetryDelay time.Duration
}

// DefaultTiming suits instances up to 10 ms apart.
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

// Detection decides how long a probe may take: [Fixed] or [Accrual].
type Detection interface {
	timeout(h *history) time.Duration
}

// Fixed gives every probe the same time.
type Fixed struct{ Timeout time.Duration }

// Accrual gives a probe the time after which, by the mean and deviation of the
// earlier ones, an answer is unlikely: a normal model of the phi accrual
// detector.
type Accrual struct {
	// Deviations above the mean after which a probe is missed.
	Deviations     float64
	Floor, Ceiling time.Duration
}

// DefaultDetection is the detection of a [New] Promoter.
var DefaultDetection Detection = Accrual{Deviations: 8, Floor: 120 * time.Millisecond, Ceiling: 250 * time.Millisecond}

func (f Fixed) timeout(*history) time.Duration { return f.Timeout }

func (a Accrual) timeout(h *history) time.Duration {
	if h.count < historyMinimum {
		return a.Ceiling
	}
	wait := h.mean + a.Deviations*math.Sqrt(h.variance)
	return min(max(time.Duration(wait*float64(time.Second)), a.Floor), a.Ceiling)
}

const (
	historyMinimum = 8
	historyWeight  = 1.0 / 16
)

// history holds the exponentially weighted mean and variance, in seconds, of the
// time that probes took.
type history struct {
	count          int
	mean, variance float64
}

func (h *history) add(took time.Duration) {
	h.count++
	weight := max(historyWeight, 1/float64(h.count))
	deviation := took.Seconds() - h.mean
	h.mean += weight * deviation
	h.variance = (1 - weight) * (h.variance + weight*deviation*deviation)
}
