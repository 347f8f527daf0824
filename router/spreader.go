package router

import (
	"maps"
	"math"
	"math/bits"
	"time"

	"tarragonshed.example/unit"
)

const (
	// reportHalfLife is the time after which a report counts half against newer ones. One report
	// shows a moment, and the number of running statements varies from moment to moment.
	reportHalfLife = time.Second
	// growthTime is the least time over which the growth of a queue is computed.
	growthTime = 400 * time.Millisecond
	// reportTimeout is how long a report is used. After it the instance counts as idle, so
	// that it is tried again.
	reportTimeout = 3 * time.Second
	// pendingTimeout is how long a statement without a reply is taken as evidence of a queue.
	pendingTimeout = 10 * time.Second
	// failureHalfLife is the time after which the share of failed statements counts half.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one statement in the share of failed ones.
	failureWeight = 0.25
	// failureCost is the cost of a statement that fails and is sent again.
	failureCost = 500 * time.Millisecond
)

const (
	// sharePeriod is the shortest time between two changes of the shares.
	sharePeriod = 100 * time.Millisecond
	// maxShareTime bounds the time for which a rarely used spreader catches up at once.
	maxShareTime = time.Second
	// shareRate is which part of an instance's excess moves elsewhere in one second. Daemons
	// learn up to a second later of the load that they cause.
	shareRate = 0.4
	// faultyShareRate is the rate for an instance that is slow or fails. It is higher because
	// the cause does not disappear when statements leave.
	faultyShareRate = 2.0
	// balanceRate is the part of the difference from an even distribution over equally distant
	// instances that is corrected in one second.
	balanceRate = 0.2
	// choiceWeight is the weight of one choice in the shares while there are no reports.
	choiceWeight = 0.1
	// trialShare is the share of an instance of unknown load.
	trialShare = 0.05
	// costTolerance is the difference of costs that moves no statements.
	costTolerance = 5 * time.Millisecond
	// drainTime is the time in which a queue should disappear.
	drainTime = time.Second
	// maxDrain is the greatest part of an instance's slots that is left free for that.
	maxDrain = 0.3
	// maxSpill is the greatest part of the reads for a costly instance that go to the best one
	// at once, without a change of the shares.
	maxSpill = 0.9
	// spillTime is the difference of costs at which all reads would.
	spillTime = 60 * time.Millisecond
	// maxUtilization is the utilization up to which the wait for a slot is computed from it.
	maxUtilization = 0.97
	// minFree is the least part of an instance's slots that counts as free.
	minFree = 0.05
)

const (
	// usualFactor is how many times the usual duration a statement may take for reasons other
	// than a slow instance, such as the mix of statements.
	usualFactor = 2
	// slowFactor is how many times the usual duration makes an instance faulty.
	slowFactor = 4
	// usualDoubling is the time in which the usual duration may double.
	usualDoubling = 30 * time.Second
	// faultyFailures is the share of failed statements from which an instance is faulty.
	faultyFailures = 0.2
)

// The parts of a target latency that limit the wait that a read accepts instead of a greater
// distance.
const (
	minAcceptedWait = 1.0 / 16
	maxAcceptedWait = 1.0 / 4
	// expectedPart is the part of the target latency that the expected latency may reach.
	// Beyond it a read is likely to be late, and the excess counts lateFactor times.
	expectedPart = 1.0 / 2
	lateFactor   = 4
)

// ReadRequest describes a read that an instance is chosen for.
type ReadRequest struct {
	// Target is the latency that the caller expects. Zero means none.
	Target time.Duration
}

// Outcome is how a statement ended.
type Outcome struct {
	// Sent is set if the statement was sent to the instance.
	Sent bool
	// Failed is set if the instance did not serve the statement although it should have. A
	// refusal for lack of a slot or a position is no failure.
	Failed bool
}

// Spreader distributes the reads of one daemon over the instances of a group, by reports of
// their load. It is not safe for concurrent use.
//
// Each instance has a share of the reads. An instance gives up a part of its share if
// another one costs less: the wait there, the value of the distance, and failures are added.
// How much it gives up depends on its demand, which is the utilization of its slots by the
// statements that arrive, and not on the length of its queue. A queue remains for a while after
// its cause has ended, and daemons that react to it leave an instance for too long. All
// daemons together thus settle, although each of them learns late what the others do.
//
// A read goes elsewhere at once, without a change of the shares, if the cost of its instance is
// much higher than that of the best one.
type Spreader struct {
	sameRegionCost  time.Duration
	otherRegionCost time.Duration
	instances       map[unit.InstanceName]*observed
	shares          map[int]*shares // By class of target latency.
	usual           time.Duration   // Mean duration of a statement at the fastest replica.
	usualAt         time.Time
}

// observed is what is known of the load of one instance.
type observed struct {
	reportedAt time.Time // Zero if there was no report.
	slots      float64
	running    float64
	queued     float64
	mean       time.Duration
	// growth is the change of running and queued statements per second, computed from
	// the number at the time since.
	growth float64
	since  time.Time
	number float64

	pending []time.Time // When the daemon's own statements without a reply were sent.

	failures   float64 // Share of failed statements.
	failuresAt time.Time
}

// shares are the shares of reads that go to each instance. Their sum is one, unless an
// instance has been removed. They apply in proportion among the candidates of a read.
type shares struct {
	of      map[unit.InstanceName]float64
	changed time.Time
}

// SpreaderOption configures a [Spreader].
type SpreaderOption func(*Spreader)

// The default costs of distance, see [WithDistanceCosts].
const (
	DefaultSameRegionCost  = sameRegionPenalty
	DefaultOtherRegionCost = otherRegionPenalty
)

// WithDistanceCosts sets the time that a read without a target latency accepts to wait rather
// than to send its bytes to another failure domain of the region, and to another region.
func WithDistanceCosts(sameRegion, otherRegion time.Duration) SpreaderOption {
	return func(s *Spreader) { s.sameRegionCost, s.otherRegionCost = sameRegion, otherRegion }
}

// NewSpreader returns a Spreader without reports.
func NewSpreader(options ...SpreaderOption) *Spreader {
	s := &Spreader{
		sameRegionCost: sameRegionPenalty, otherRegionCost: otherRegionPenalty,
		instances: make(map[unit.InstanceName]*observed), shares: make(map[int]*shares),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Record records how a statement ended for which Choose returned the instance. It must be
// called once for each of them, also if the statement was not sent.
func (s *Spreader) Record(name unit.InstanceName, o Outcome, now time.Time) {
	seen := s.observed(name)
	if len(seen.pending) > 0 {
		seen.pending = seen.pending[1:]
	}
	if o.Sent {
		seen.recordFailure(o.Failed, now)
	}
}

// Observe records the load that an instance had at a time. It may come with the reply to any
// statement.
func (s *Spreader) Observe(name unit.InstanceName, r Report, at time.Time) {
	s.observed(name).recordReport(r, at)
}

func (s *Spreader) observed(name unit.InstanceName) *observed {
	seen := s.instances[name]
	if seen == nil {
		seen = &observed{}
		s.instances[name] = seen
	}
	return seen
}

// Retain forgets all instances but the given ones.
func (s *Spreader) Retain(names map[unit.InstanceName]bool) {
	gone := func(name unit.InstanceName) bool { return !names[name] }
	maps.DeleteFunc(s.instances, func(name unit.InstanceName, _ *observed) bool { return gone(name) })
	for _, class := range s.shares { // They may have instances that were never chosen.
		maps.DeleteFunc(class.of, func(name unit.InstanceName, _ float64) bool { return gone(name) })
	}
}

// Choose returns the instance for a read, or false if there is no candidate. The random
// number is in [0, 1). Without a recent report it decides as [LowestCost] does.
func (s *Spreader) Choose(candidates []ReadCandidate, r ReadRequest, now time.Time, random float64) (ReadCandidate, bool) {
	chosen, ok := s.choose(candidates, r, now, random)
	if ok {
		seen := s.observed(chosen.Instance)
		seen.pending = append(seen.pending, now)
	}
	return chosen, ok
}

func (s *Spreader) choose(candidates []ReadCandidate, r ReadRequest, now time.Time, random float64) (ReadCandidate, bool) {
	class := s.class(r.Target)
	if !s.reported(candidates, now) {
		chosen, ok := LowestCost(candidates)
		if ok {
			class.follow(chosen.Instance)
		}
		return chosen, ok
	}
	costs := s.costs(candidates, r.Target, now)
	class.update(candidates, costs, now)
	return candidates[class.pick(candidates, eligible(candidates, costs), costs, random)], true
}

// Shares returns the shares of the instances for reads with the given target latency. They
// are for logs and metrics.
func (s *Spreader) Shares(target time.Duration) map[unit.InstanceName]float64 {
	return s.class(target).of
}

// Overview is what a [Spreader] knows of an instance.
type Overview struct {
	// Share is the share of the reads that go to it.
	Share float64
	// Demand is the utilization of its slots by the statements that arrive.
	Demand   float64
	Queued   float64
	Mean     time.Duration
	Failures float64 // The share of failed statements.
}

// Overview returns what is known of an instance, with its share of the reads with the given
// target latency. It is for logs and metrics.
func (s *Spreader) Overview(name unit.InstanceName, target time.Duration, now time.Time) Overview {
	o := Overview{Share: s.class(target).of[name]}
	seen := s.instances[name]
	if seen == nil {
		return o
	}
	o.Failures = seen.failureShare(now)
	if seen.recent(now) {
		o.Demand, o.Queued, o.Mean = seen.load(now).demand, seen.queued, seen.mean
	}
	return o
}

func (s *Spreader) reported(candidates []ReadCandidate, now time.Time) bool {
	for _, c := range candidates {
		if seen := s.instances[c.Instance]; seen != nil && seen.recent(now) {
			return true
		}
	}
	return false
}

// class returns the shares for reads with a target latency of the same order.
func (s *Spreader) class(target time.Duration) *shares {
	key := bits.Len64(uint64(max(0, target.Milliseconds())))
	if s.shares[key] == nil {
		s.shares[key] = &shares{of: make(map[unit.InstanceName]float64)}
	}
	return s.shares[key]
}

// cost is the cost of a read at one candidate, and the load that causes a part of it.
type cost struct {
	fixed time.Duration // The part that doesn't depend on the load.
	total time.Duration // Without lag.
	lag   time.Duration
	load  load
	// faulty is set if the instance is slow or fails.
	faulty bool
	// known is set if the load was reported recently.
	known bool
}

// load is the load of an instance.
type load struct {
	slots float64
	mean  time.Duration
	// demand is the utilization of the slots by the statements that arrive. It exceeds one
	// while the queue grows.
	demand float64
	// backlog is the wait that the present queue causes.
	backlog time.Duration
}

func (s *Spreader) costs(candidates []ReadCandidate, target time.Duration, now time.Time) []cost {
	s.updateUsual(candidates, now)
	slots := 1.0 // An instance without a report is taken for a free one of this size.
	for _, c := range candidates {
		if seen := s.instances[c.Instance]; seen != nil {
			slots = max(slots, seen.slots)
		}
	}
	costs := make([]cost, len(candidates))
	for i, c := range candidates {
		costs[i] = s.cost(c, target, slots, now)
	}
	return costs
}

// updateUsual adapts the usual duration to the fastest replica. Statements at the primary are
// not comparable.
func (s *Spreader) updateUsual(candidates []ReadCandidate, now time.Time) {
	var fastest time.Duration
	for _, c := range candidates {
		seen := s.instances[c.Instance]
		if c.Primary || seen == nil || !seen.recent(now) || seen.mean <= 0 {
			continue
		}
		if fastest == 0 || seen.mean < fastest {
			fastest = seen.mean
		}
	}
	if fastest == 0 {
		return
	}
	if s.usual > 0 {
		fastest = min(fastest, time.Duration(float64(s.usual)/decay(now.Sub(s.usualAt), usualDoubling)))
	}
	s.usual, s.usualAt = fastest, now
}

func (s *Spreader) cost(c ReadCandidate, target time.Duration, slots float64, now time.Time) cost {
	k := cost{fixed: s.distanceCost(c.Distance, target), lag: c.lagCost(), load: load{slots: slots, mean: s.usual}}
	if c.Primary {
		k.fixed += primaryPenalty
	}
	if seen := s.instances[c.Instance]; seen != nil {
		failures := seen.failureShare(now)
		k.faulty = failures > faultyFailures
		k.fixed += time.Duration(failures * float64(failureCost))
		if seen.recent(now) {
			k.load, k.known = seen.load(now), true
		}
	}
	if !c.Primary {
		k.faulty = k.faulty || k.load.mean > slowFactor*s.usual
		k.fixed += max(0, k.load.mean-usualFactor*s.usual)
	}
	if seen := s.instances[c.Instance]; seen != nil {
		k.load.backlog = max(k.load.backlog, seen.pendingFor(now)-usualFactor*k.load.mean)
	}
	wait := k.load.wait()
	k.total = k.fixed + wait
	if late := k.load.mean + wait - time.Duration(expectedPart*float64(target)); target > 0 && late > 0 {
		k.total += (lateFactor - 1) * late
	}
	return k
}

// wait returns the expected wait for a slot.
func (l load) wait() time.Duration {
	return l.waitAt(min(l.demand, maxUtilization)) + l.backlog
}

// waitAt returns the mean wait for a slot at the utilization, by Sakasegawa's approximation.
func (l load) waitAt(utilization float64) time.Duration {
	queueing := math.Pow(utilization, math.Sqrt(2*(l.slots+1))-1) / (l.slots * (1 - utilization))
	return time.Duration(queueing * float64(l.mean))
}

// utilizationAt returns the utilization at which the mean wait for a slot is the given one.
func (l load) utilizationAt(wait time.Duration) float64 {
	low, high := 0.0, maxUtilization
	for range 10 {
		middle := (low + high) / 2
		if l.waitAt(middle) > wait {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// free returns the number of free slots.
func (l load) free() float64 { return l.slots * max(1-l.demand, minFree) }

// distanceCost returns the wait that a read accepts rather than to go to an instance at the
// distance. A read whose target latency leaves room accepts more, one that would miss it less.
func (s *Spreader) distanceCost(d Distance, target time.Duration) time.Duration {
	var value time.Duration
	switch d {
	case SameDomain:
		return 0
	case SameRegion:
		value = s.sameRegionCost
	case OtherRegion:
		value = s.otherRegionCost
	}
	if target <= 0 {
		return value
	}
	least, most := minAcceptedWait*float64(target), maxAcceptedWait*float64(target)
	return min(max(value, time.Duration(least)), time.Duration(most))
}

// eligible returns the indices of the candidates that are not further behind than the one
// of the lowest cost, lag included.
func eligible(candidates []ReadCandidate, costs []cost) []int {
	best := 0
	for i := range candidates {
		if costs[i].total+costs[i].lag < costs[best].total+costs[best].lag {
			best = i
		}
	}
	var indices []int
	for i := range candidates {
		if costs[i].lag <= costs[best].lag {
			indices = append(indices, i)
		}
	}
	return indices
}

// follow adapts the shares to a choice that was made without them, so that they begin with
// the present distribution.
func (s *shares) follow(chosen unit.InstanceName) {
	weight := choiceWeight
	if len(s.of) == 0 {
		weight = 1
	}
	for name := range s.of {
		s.of[name] *= 1 - weight
	}
	s.of[chosen] += weight
}

// update moves parts of the shares from costly instances to those of the lowest cost.
func (s *shares) update(candidates []ReadCandidate, costs []cost, now time.Time) {
	passed := min(now.Sub(s.changed), maxShareTime)
	if passed < sharePeriod {
		return
	}
	s.changed = now
	best := s.best(candidates, costs)
	var all, moved float64
	for _, c := range candidates {
		all += s.of[c.Instance]
	}
	if all == 0 {
		s.receive(candidates, costs, best.total, 1)
		return
	}
	for i, c := range candidates {
		leaving := s.of[c.Instance] * leavingPart(costs[i], best, passed)
		s.of[c.Instance] -= leaving
		moved += leaving
	}
	s.receive(candidates, costs, best.total, moved)
	s.balance(candidates, costs, best.total, passed)
}

// best returns the lowest cost. An instance of unknown load that has its share for trials isn't
// considered, unless the load of all is unknown.
func (s *shares) best(candidates []ReadCandidate, costs []cost) cost {
	best, found := costs[0], false
	for i, k := range costs {
		if (k.known || s.of[candidates[i].Instance] < trialShare) && (!found || k.total < best.total) {
			best, found = k, true
		}
	}
	return best
}

// leavingPart returns the part of an instance's share that leaves it for the best one: enough
// to make their costs equal, but only a part of that at once.
func leavingPart(k, best cost, passed time.Duration) float64 {
	if k.total <= best.total+costTolerance {
		return 0
	}
	limit := k.load.utilizationAt(best.total+costTolerance-k.fixed) - min(maxDrain, k.load.backlog.Seconds()/drainTime.Seconds())
	room := best.load.utilizationAt(k.total - costTolerance - best.fixed)
	part := min(excess(k.load.demand, limit), excess(room, best.load.demand))
	rate := shareRate
	if k.faulty {
		rate = faultyShareRate
	}
	return min(1, part*rate*passed.Seconds())
}

// excess returns by which part of itself the value exceeds the limit.
func excess(value, limit float64) float64 {
	if value <= limit || value <= 0 {
		return 0
	}
	return 1 - max(0, limit)/value
}

// balance moves the shares of equally distant instances of the lowest cost towards a
// distribution by slots.
func (s *shares) balance(candidates []ReadCandidate, costs []cost, lowest, passed time.Duration) {
	type place struct {
		distance Distance
		primary  bool
	}
	slots, part := make(map[place]float64), make(map[place]float64)
	for i, c := range candidates {
		if costs[i].total <= lowest+costTolerance {
			slots[place{c.Distance, c.Primary}] += costs[i].load.slots
			part[place{c.Distance, c.Primary}] += s.of[c.Instance]
		}
	}
	for i, c := range candidates {
		if at := (place{c.Distance, c.Primary}); costs[i].total <= lowest+costTolerance {
			even := part[at] * costs[i].load.slots / slots[at]
			s.of[c.Instance] += (even - s.of[c.Instance]) * balanceRate * passed.Seconds()
		}
	}
}

// receive adds a part of all reads to the instances of the lowest cost, in proportion to
// their free slots.
func (s *shares) receive(candidates []ReadCandidate, costs []cost, lowest time.Duration, part float64) {
	var free float64
	for _, k := range costs {
		if k.total <= lowest+costTolerance {
			free += k.load.free()
		}
	}
	for i, c := range candidates {
		if costs[i].total <= lowest+costTolerance {
			s.of[c.Instance] += part * costs[i].load.free() / free
		}
	}
}

// pick returns one of the candidates with the given indices by their shares. If they have
// none, it is one of the lowest cost.
func (s *shares) pick(candidates []ReadCandidate, indices []int, costs []cost, random float64) int {
	best := indices[0]
	var sum float64
	for _, i := range indices {
		sum += s.of[candidates[i].Instance]
		if costs[i].total < costs[best].total {
			best = i
		}
	}
	weights := make([]float64, len(indices))
	for at, i := range indices {
		weights[at] = s.of[candidates[i].Instance]
		if over := costs[i].total - costs[best].total - costTolerance; over > 0 {
			weights[at] *= 1 - min(maxSpill, over.Seconds()/spillTime.Seconds())
		}
	}
	rest := random * sum
	for at, i := range indices {
		rest -= weights[at]
		if rest < 0 {
			return i
		}
	}
	return best
}

func (o *observed) recent(now time.Time) bool {
	return !o.reportedAt.IsZero() && now.Sub(o.reportedAt) < reportTimeout
}

func (o *observed) recordReport(r Report, at time.Time) {
	if at.Before(o.reportedAt) {
		return
	}
	old := decay(at.Sub(o.reportedAt), reportHalfLife)
	if r.Queued > 0 { // All slots are taken, whether or not Running counts one that is being freed.
		r.Running = r.Slots
	}
	number := float64(r.Running + r.Queued)
	if !o.recent(at) {
		old, o.growth, o.since, o.number = 0, 0, at, number
	}
	mix := func(before, latest float64) float64 { return before*old + latest*(1-old) }
	o.slots = float64(max(r.Slots, 1))
	o.running, o.queued = mix(o.running, float64(r.Running)), float64(r.Queued)
	o.mean = time.Duration(mix(float64(o.mean), float64(r.Mean)))
	if passed := at.Sub(o.since); passed >= growthTime {
		o.growth, o.since, o.number = (number-o.number)/passed.Seconds(), at, number
	}
	o.reportedAt = at
}

// load returns the load. The queue is taken to be shorter with the age of the report, since
// other daemons have left the instance meanwhile.
func (o *observed) load(now time.Time) load {
	queued := o.queued * decay(now.Sub(o.reportedAt), reportTimeout/2)
	return load{
		slots: o.slots, mean: o.mean,
		demand:  max(0, o.running+o.growth*o.mean.Seconds()) / o.slots,
		backlog: time.Duration(queued / o.slots * float64(o.mean)),
	}
}

// pendingFor returns for how long the oldest statement has had no reply.
func (o *observed) pendingFor(now time.Time) time.Duration {
	for len(o.pending) > 0 && now.Sub(o.pending[0]) > pendingTimeout {
		o.pending = o.pending[1:]
	}
	if len(o.pending) == 0 {
		return 0
	}
	return now.Sub(o.pending[0])
}

func (o *observed) recordFailure(failed bool, now time.Time) {
	share := o.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	o.failures, o.failuresAt = share, now
}

func (o *observed) failureShare(now time.Time) float64 {
	return o.failures * decay(now.Sub(o.failuresAt), failureHalfLife)
}

// decay returns the weight of evidence of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
