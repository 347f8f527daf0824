package router

import (
	"time"

	"tarragonshed.example/unit"
)

// latencyHalfLife is the time after which the weight of an earlier latency has fallen
// to half.
const latencyHalfLife = 2 * time.Second

// The additional latency that a read accepts before it goes to a more distant instance.
// Traffic between failure domains and between regions is expensive, and a wait of this
// length is compatible with every target latency.
const (
	sameRegionPenalty  = 15 * time.Millisecond
	otherRegionPenalty = 90 * time.Millisecond
)

// Load is the load of an instance as observed by one daemon. The latency of the daemon's
// own statements reflects the load that all daemons together put on the instance. The
// number of statements without an answer reflects the load to come. The zero Load is
// idle. It is not safe for concurrent use.
type Load struct {
	outstanding int
	latency     time.Duration
	at          time.Time
}

// Begin records that a statement was sent.
func (l *Load) Begin() { l.outstanding++ }

// Cancel reverts Begin for a statement that was not sent.
func (l *Load) Cancel() { l.outstanding-- }

// End records the end of a statement and how long it took. A latency above the current
// estimate replaces it at once, a lower one reduces it gradually: a slow instance is
// detected with its first statement, and its estimate falls only as further statements
// are fast.
func (l *Load) End(took time.Duration, now time.Time) {
	l.outstanding--
	if took >= l.latency {
		l.latency, l.at = took, now
		return
	}
	age := now.Sub(l.at)
	weight := float64(latencyHalfLife) / float64(latencyHalfLife+age)
	l.latency = time.Duration(float64(l.latency)*weight + float64(took)*(1-weight))
	l.at = now
}

// Outstanding returns the number of statements that have not ended.
func (l *Load) Outstanding() int { return l.outstanding }

// ExpectedLatency returns the expected latency of another statement, queueing included.
func (l *Load) ExpectedLatency() time.Duration {
	return l.latency * time.Duration(l.outstanding+1)
}

// Report is the load of an instance as seen by a daemon that owns connections to it. It does
// not include the statement whose reply carries the report.
type Report struct {
	// Slots is the number of statements that may run concurrently.
	Slots   int
	Running int
	Queued  int
	// Mean is the mean duration of a statement.
	Mean time.Duration
}

// ReadCandidate is an instance that may serve a read.
type ReadCandidate struct {
	Instance unit.InstanceName
	Distance Distance
	// ExpectedLatency is the expected latency of the read, queueing included.
	ExpectedLatency time.Duration
	// Primary is set if the instance is the primary of its group. Its capacity is
	// reserved for statements that only the primary can serve.
	Primary bool
	// Behind is set if the instance has probably not reached the position that the
	// read requires, see [Lag].
	Behind bool
	// FarBehind is set if the instance has not met reads with a large staleness bound for a
	// while, see [Lag.FarBehindFor]. It is unlikely to have caught up.
	FarBehind bool
}

// primaryPenalty is the additional latency that a read accepts on a replica before it
// goes to the primary.
const primaryPenalty = 60 * time.Millisecond

// lagPenalty is the additional latency that a read accepts elsewhere before it goes to an
// instance that is probably behind. Such an instance has often caught up; otherwise the
// read loses a round trip.
const lagPenalty = 500 * time.Millisecond

// farBehindPenalty exceeds every latency that a read accepts, so that an instance that is far
// behind is tried again only at the end of its backoff, or if there is no other one.
const farBehindPenalty = time.Hour

// LowestCost returns the candidate with the lowest expected cost of a read, or false if
// there is none. It distributes loads that exceed the capacity of the instance in one
// failure domain: reads stay near until their wait there costs more than the distance to
// another instance.
func LowestCost(candidates []ReadCandidate) (ReadCandidate, bool) {
	if len(candidates) == 0 {
		return ReadCandidate{}, false
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.cost() < best.cost() {
			best = c
		}
	}
	return best, true
}

func (c ReadCandidate) cost() time.Duration {
	cost := c.ExpectedLatency
	switch c.Distance {
	case SameRegion:
		cost += sameRegionPenalty
	case OtherRegion:
		cost += otherRegionPenalty
	}
	if c.Primary {
		cost += primaryPenalty
	}
	return cost + c.lagCost()
}

func (c ReadCandidate) lagCost() time.Duration {
	switch {
	case c.Behind && c.FarBehind:
		return farBehindPenalty
	case c.Behind:
		return lagPenalty
	}
	return 0
}
