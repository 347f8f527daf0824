package throttler

import (
	"math"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

const (
	// MaxValidity is the longest time for which a grant may be used, from when it was
	// requested. It is longer than a round trip between regions together with a stalled
	// process.
	MaxValidity = 250 * time.Millisecond
	// minValidity is the shortest one. It is longer than a round trip between regions.
	minValidity = 50 * time.Millisecond
	// MaxShares is the highest number of lenders of a caller.
	MaxShares = 3
	// manifestDelay is the longest time until a manifest reaches a daemon that the store
	// confirms the member list to.
	manifestDelay = 5 * time.Second
	// shareBurst is the burst of each share, at least, if there are several. Smaller ones would
	// be used up although others are not.
	shareBurst = 3
	// floorFraction is the part of a limit that the floors of all daemons have together.
	floorFraction = 1.0 / 8
)

// allotment is the part of a limit that one bucket holds.
type allotment struct{ rate, burst float64 }

func (a allotment) min(b allotment) allotment {
	return allotment{rate: min(a.rate, b.rate), burst: min(a.burst, b.burst)}
}

func (a allotment) scale(f float64) allotment { return allotment{rate: a.rate * f, burst: a.burst * f} }

// maxQuantity bounds rates and bursts, so that their sums and products are finite.
const maxQuantity = 1e9

// allotmentOf returns the whole limit. A burst below one operation would admit none. What is
// no number counts as the lowest value.
func allotmentOf(l manifest.RateLimit) allotment {
	a := allotment{burst: 1}
	if l.PerSecond > 0 {
		a.rate = min(l.PerSecond, maxQuantity)
	}
	if l.Burst > 1 {
		a.burst = min(l.Burst, maxQuantity)
	}
	return a
}

// validity returns how long a grant may be used. The reserve for grants that are used late
// takes at most a third of the burst, unless that time would be too short for a round trip.
func (a allotment) validity() time.Duration {
	seconds := a.burst / max(a.rate, 1e-9) / 3
	return max(minValidity, time.Duration(min(seconds, MaxValidity.Seconds())*float64(time.Second)))
}

// reserve is the part of the burst for grants that are used late.
func (a allotment) reserve() float64 { return a.rate * a.validity().Seconds() }

// shares returns the number of lenders.
func (a allotment) shares() int { return int(min(max(1, a.burst/shareBurst), MaxShares)) }

// hasFloors reports whether the floor of a daemon can hold one operation if the members are
// at least n.
func (a allotment) hasFloors(n int) bool { return floorFraction*a.burst >= float64(max(1, n)) }

// share returns the part of one lender.
func (a allotment) share(s Share) allotment {
	n := a.shares()
	if int(s) >= n {
		return allotment{}
	}
	return a.scale(1 / float64(n))
}

// certain returns the part of one lender that it may lend whatever the limit was before, if
// rate and burst were in the same proportion. Other daemons may still divide the earlier limit
// among another number of lenders, and then the parts must not exceed the larger limit:
//
//   - One lender had less than 6 of the burst, two had less than 9 together, so shares 1 and 2
//     have only what goes beyond that.
//   - Two had at least 6 and three at least 9, of which the others keep all but 3.
func (a allotment) certain(s Share) allotment {
	part := a.share(s)
	one, two := shareBurst*2.0, shareBurst*3.0 // Where there are two lenders, and three.
	bound := part.burst
	switch {
	case s == 0 && a.burst < two:
		bound = shareBurst
	case s == 1 && a.burst < two:
		bound = a.burst - one
	case s == 1:
		bound = (a.burst - one) / 2
	case s == 2:
		bound = min((a.burst-one)/2, a.burst-two)
	}
	return a.scale(max(0, min(part.burst, bound)) / a.burst)
}

// floor returns the floor of one of n members. A bucket that can't hold one operation stays
// empty, because lenders rely on it, see [allotment.hasFloors].
func (a allotment) floor(n int) allotment {
	if n == 0 || !a.hasFloors(n) {
		return allotment{}
	}
	return a.scale(floorFraction / float64(n))
}

// lendable returns the bucket to grant from, so that the operations stay within a although
// each grant may be used up to its validity v later. Grants of v+t seconds may be used within
// t seconds, so the burst is lower by v*rate. If less than one operation remained, the bucket
// holds one, and its rate is that at which the first number of operations above the burst,
// n, takes (n-burst)/rate although the n-1 intervals between grants shrink by v together.
func (a allotment) lendable() allotment {
	reserved := a.burst - a.reserve()
	switch {
	case reserved >= 1:
		return allotment{rate: a.rate, burst: reserved}
	case a.burst < 1:
		return allotment{}
	}
	n := math.Floor(a.burst) + 1
	interval := ((n-a.burst)/a.rate + a.validity().Seconds()) / (n - 1)
	return allotment{rate: min(a.rate, 1/interval), burst: 1}
}

// bucket is a token bucket that starts empty.
type bucket struct {
	tokens float64
	at     unit.Instant // Until when tokens have been added.
}

// begin empties a bucket that was last filled before a time, because another daemon may have
// used its part of the limit until then.
func (b *bucket) begin(at unit.Instant) {
	if b.at < at {
		b.tokens, b.at = 0, at
	}
}

// fill adds the tokens of the time until now. All of that time must have had the allotment.
func (b *bucket) fill(a allotment, now unit.Instant) {
	if now > b.at {
		b.tokens += a.rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, a.burst)
}

// take removes up to n operations and returns their number.
func (b *bucket) take(n int) int {
	taken := min(n, int(b.tokens))
	b.tokens -= float64(taken)
	return taken
}

// wait returns how long it takes until it is worth asking again: until the bucket holds one
// operation, and not so often that each of many daemons asks for each operation, nor so late
// that the bucket overflows.
func (b *bucket) wait(a allotment) time.Duration {
	if a.rate <= 0 || a.burst < 1 {
		return maxRetry
	}
	next := max(0, 1-b.tokens) / a.rate
	half := a.burst / a.rate / 2
	seconds := min(max(next, min(half, minRetry.Seconds())), maxRetry.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// allowance is the limit of a caller with those that other daemons may still apply.
type allowance struct {
	current allotment
	earlier []earlierLimit
}

// earlierLimit is a replaced limit.
type earlierLimit struct {
	allotment
	unknown bool         // Whether this daemon has started since, and does not know the limit.
	until   unit.Instant // Until when other daemons may apply it.
}

// limitDelay is how long other daemons may apply an earlier limit.
const limitDelay = LendingLease + manifestDelay

// replace replaces the limit.
func (a *allowance) replace(current allotment, now unit.Instant) {
	a.earlier = append(a.earlier, earlierLimit{allotment: a.current, until: now.Add(limitDelay)})
	a.current = current
}

// next returns when the parts of the limit change next, or false if they don't.
func (a *allowance) next() (unit.Instant, bool) {
	if len(a.earlier) == 0 {
		return 0, false
	}
	return a.earlier[0].until, true
}

// expire forgets the earlier limits that no daemon applies any more.
func (a *allowance) expire(now unit.Instant) {
	for len(a.earlier) > 0 && a.earlier[0].until <= now {
		a.earlier = a.earlier[1:]
	}
}

// share returns the part of one lender. While other daemons may divide the limit among another
// number of lenders, each part is the smallest one.
func (a *allowance) share(s Share, n int) allotment {
	part := a.current.share(s)
	for _, e := range a.earlier {
		switch {
		case e.unknown:
			part = part.min(a.current.certain(s))
		case e.shares() != a.current.shares():
			part = part.min(e.share(s))
		}
	}
	if a.hasFloors(n) {
		part = part.scale(1 - floorFraction)
	}
	return part
}

// hasFloors reports whether a daemon may have a floor if at least n daemons are members in
// every view in use. Otherwise the lenders have the floors' part as well. An unknown earlier
// limit matters only if this part and its floors exceed it.
func (a *allowance) hasFloors(n int) bool {
	if a.current.hasFloors(n) {
		return true
	}
	for _, e := range a.earlier {
		if e.unknown && a.current.scale(1/(1-floorFraction)).hasFloors(n) || e.hasFloors(n) {
			return true
		}
	}
	return false
}

// floor returns the floor of one of n members.
func (a *allowance) floor(n int) allotment {
	part := a.current.floor(n)
	for _, e := range a.earlier {
		part = part.min(e.floor(n)) // Nil if the limit is unknown.
	}
	return part
}
