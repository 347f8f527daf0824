package router

import (
	"time"

	"tarragonshed.example/unit"
)

// latencyDecay is the time in which the weight of an old latency falls to half.
const latencyDecay = 2 * time.Second

// Time that a read may cost more before a farther instance is taken. Bytes
// between failure domains and between regions are dear, and a wait of this
// length leaves every aim within reach.
const (
	sameRegionPatience  = 15 * time.Millisecond
	otherRegionPatience = 90 * time.Millisecond
)

// Load is the load of an instance as one daemon sees it. The latency of its own
// statements shows what all daemons together ask of the instance; the statements
// that it has not answered yet show what is to come. The zero Load is idle.
type Load struct {
	outstanding int
	latency     time.Duration
	at          time.Time
}

// Begin records that a statement was sent.
func (l *Load) Begin() { l.outstanding++ }

// Cancel records that a statement was not sent after all.
func (l *Load) Cancel() { l.outstanding-- }

// End records the end of a statement and how long it took. A latency above the
// mean counts at once, one below it gradually: a slow instance is noticed with
// its first statement and regains its share by trial.
func (l *Load) End(took time.Duration, now time.Time) {
	l.outstanding--
	if took >= l.latency {
		l.latency, l.at = took, now
		return
	}
	age := now.Sub(l.at)
	weight := float64(latencyDecay) / float64(latencyDecay+age)
	l.latency = time.Duration(float64(l.latency)*weight + float64(took)*(1-weight))
	l.at = now
}

// Outstanding returns the number of statements that have not ended.
func (l *Load) Outstanding() int { return l.outstanding }

// ExpectedLatency returns the expected latency of one more statement.
func (l *Load) ExpectedLatency() time.Duration {
	return l.latency * time.Duration(l.outstanding+1)
}

// ReadCandidate is an instance that may serve a read.
type ReadCandidate struct {
	Instance unit.InstanceName
	Distance Distance
	// ExpectedLatency is the expected latency, queueing included.
	ExpectedLatency time.Duration
	// Primary tells that the instance leads its group. Its room is kept for
	// what only it can serve.
	Primary bool
	// Behind tells that the instance probably lacks what the read must see, see
	// [Lag].
	Behind bool
}

// primaryPatience is what a read on a replica may cost more than on the primary.
const primaryPatience = 60 * time.Millisecond

// lagPatience is what a read elsewhere may cost more than on an instance that probably
// lacks what it must see: often it has caught up, otherwise a round trip is lost.
const lagPatience = 500 * time.Millisecond

// LowestCost returns the site with the lowest expected cost of a read, or false if
// there is none. It answers loads that one failure domain's instance can't bear:
// reads stay near until their wait there outweighs the way to another instance.
func LowestCost(sites []ReadCandidate) (ReadCandidate, bool) {
	if len(sites) == 0 {
		return ReadCandidate{}, false
	}
	best := sites[0]
	for _, s := range sites[1:] {
		if s.price() < best.price() {
			best = s
		}
	}
	return best, true
}

func (s ReadCandidate) price() time.Duration {
	price := s.ExpectedLatency
	switch s.Distance {
	case SameRegion:
		price += sameRegionPatience
	case OtherRegion:
		price += otherRegionPatience
	}
	if s.Primary {
		price += primaryPatience
	}
	if s.Behind {
		price += lagPatience
	}
	return price
}
