// Package router chooses the instance that serves a request.
//
// # Primary
//
// [Primary] determines the primary of a group from the reports of its instances: the
// instance that is primary in the highest reported term, or the one that replicas
// follow in that term.
//
// # Reads
//
// A read goes to a replica if one is eligible. A replica is eligible if its report
// shows that it has applied the floor, which is the position that the read must have
// reached, and that the age of its data is within the staleness bound of the read.
// Among eligible replicas, the less costly of two random choices is taken; the cost
// depends on outstanding statements per slot and on distance. Without an eligible
// replica, the read waits at a replica that is expected to catch up within
// [Request.WaitLimit], or goes to the primary.
//
// [Policy] selects other ways to choose among replicas, for comparison in benchmarks.
//
// Reports are used only to choose the instance. They may be out of date, so the
// position that comes with the answer decides whether the answer may be returned to
// the caller.
//
// [LowestCost] is an alternative choice by expected latency. It uses the latencies that
// a daemon observes ([Load]) and recently failed reads ([Lag]) instead of reports.
//
// # Leaving the failure domain
//
// [Spreader] decides which part of the reads leaves the failure domain of a daemon, where
// the load of the instances is reported. Many daemons see the same reports, late, so each of
// them changes slowly what it sends to an instance. Without reports it decides as LowestCost
// does.
//
// # Usage
//
//	switch effect := router.Choose(request, candidates).(type) {
//	case router.Use:
//		send(effect.Instance, effect.Wait)
//	case router.WaitForReports:
//		...
//	}
package router

import (
	"fmt"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// Distance is the network distance between the daemon and an instance.
type Distance int

// The distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Policy is a way to choose among the replicas that may serve a read.
type Policy string

// The policies.
const (
	// TwoChoices chooses the less costly of two random replicas, by load and
	// distance. It is the default.
	TwoChoices Policy = "two-choices"
	// Random chooses a random replica.
	Random Policy = "random"
	// RoundRobin chooses the replicas in rotation.
	RoundRobin Policy = "round-robin"
	// PrimaryOnly sends all reads to the primary.
	PrimaryOnly Policy = "primary-only"
)

// ParsePolicy returns the policy with the given name. The empty name is [TwoChoices]. It
// returns an error if the name is unknown.
func ParsePolicy(name string) (Policy, error) {
	switch p := Policy(name); p {
	case "":
		return TwoChoices, nil
	case TwoChoices, Random, RoundRobin, PrimaryOnly:
		return p, nil
	}
	return "", fmt.Errorf("router: unknown policy %q", name)
}

// Candidate is one instance of the group with its load and its last report.
type Candidate struct {
	Instance unit.InstanceName
	Distance Distance
	Slots    int
	// Outstanding is the number of statements that the daemon has sent to the
	// instance and that have not ended.
	Outstanding int
	// Leaving is set if the instance accepts no new work.
	Leaving bool
	// Excluded is set if an earlier attempt of the request failed on the instance.
	Excluded bool
	// Known is set if Report holds a report.
	Known  bool
	Report instance.Report
	// CatchUp is the expected time until the instance has applied a floor that is
	// above the position in its report.
	CatchUp time.Duration
}

// Request describes the statement that an instance is chosen for.
type Request struct {
	// Write is set if the statement needs the primary.
	Write bool
	// Floor is the position that a read must have reached.
	Floor unit.Position
	// MaxStaleness is the maximum age of the data that a read accepts. Zero sets no
	// limit: any replica that has applied the floor is eligible.
	MaxStaleness time.Duration
	// WaitLimit is how long a read may wait for a replica to apply the floor. If a
	// longer wait is expected, the read goes to the primary.
	WaitLimit time.Duration
	// Policy chooses among replicas. Empty is [TwoChoices].
	Policy Policy
	// Sequence is a counter of requests, used by [RoundRobin].
	Sequence uint64
	// Now is the current time, from which the staleness of a report is computed.
	Now time.Time
	// Random holds two random numbers in [0, 1), used by [Random] and [TwoChoices].
	Random [2]float64
}

// Effect is the action for a request: [Use] or [WaitForReports].
type Effect interface{ effect() }

// Use sends the request to an instance.
type Use struct {
	Instance unit.InstanceName
	// Wait is the maximum time for the instance to apply the floor.
	Wait time.Duration
	// Primary is set if the instance is chosen as the primary.
	Primary bool
}

// WaitForReports delays the request until a report names a usable primary.
type WaitForReports struct{}

func (Use) effect()            {}
func (WaitForReports) effect() {}

// Primary returns the primary according to the candidates' reports, and its term. It
// returns false if no report of the highest term names a primary.
func Primary(candidates []Candidate) (unit.InstanceName, unit.Term, bool) {
	var name unit.InstanceName
	var term unit.Term
	for _, c := range candidates {
		if !c.Known || c.Report.Term < term {
			continue
		}
		if c.Report.Term > term {
			term, name = c.Report.Term, ""
		}
		switch {
		case c.Report.Role == instance.Primary:
			name = c.Instance
		case name == "" && c.Report.Role == instance.Replica:
			name = c.Report.Primary
		}
	}
	return name, term, name != ""
}

// Choose returns the action for a request.
func Choose(request Request, candidates []Candidate) Effect {
	primary, _, known := Primary(candidates)
	if !request.Write {
		if name, wait, ok := chooseReplica(request, candidates, primary); ok {
			return Use{Instance: name, Wait: wait}
		}
	}
	if !known || !usable(candidates, primary) {
		return WaitForReports{}
	}
	return Use{Instance: primary, Wait: request.WaitLimit, Primary: true}
}

func usable(candidates []Candidate, name unit.InstanceName) bool {
	for _, c := range candidates {
		if c.Instance == name {
			return !c.Excluded
		}
	}
	return false
}

func chooseReplica(request Request, candidates []Candidate, primary unit.InstanceName) (unit.InstanceName, time.Duration, bool) {
	if request.Policy == PrimaryOnly {
		return "", 0, false
	}
	var eligible, catchingUp []Candidate
	for _, c := range candidates {
		switch {
		case c.Instance == primary || c.Excluded || c.Leaving:
		case c.eligible(request):
			eligible = append(eligible, c)
		case request.WaitLimit > 0 && c.CatchUp <= request.WaitLimit:
			catchingUp = append(catchingUp, c)
		}
	}
	if len(eligible) > 0 {
		return request.pick(eligible).Instance, request.WaitLimit, true
	}
	if len(catchingUp) > 0 {
		return request.pick(catchingUp).Instance, request.WaitLimit, true
	}
	return "", 0, false
}

func (c Candidate) eligible(request Request) bool {
	if !c.Known || !c.Report.Applied.AtLeast(request.Floor) {
		return false
	}
	return request.MaxStaleness == 0 || c.Report.Staleness(request.Now) <= request.MaxStaleness
}

func (r Request) pick(candidates []Candidate) Candidate {
	switch n := len(candidates); r.Policy {
	case Random:
		return candidates[min(int(r.Random[0]*float64(n)), n-1)]
	case RoundRobin:
		return candidates[r.Sequence%uint64(n)]
	}
	return betterOfTwo(candidates, r.Random)
}

// betterOfTwo returns the less costly of two random candidates.
func betterOfTwo(candidates []Candidate, random [2]float64) Candidate {
	n := len(candidates)
	first := min(int(random[0]*float64(n)), n-1)
	if n == 1 {
		return candidates[0]
	}
	second := min(int(random[1]*float64(n-1)), n-2)
	if second >= first {
		second++
	}
	if candidates[second].cost() < candidates[first].cost() {
		return candidates[second]
	}
	return candidates[first]
}

// The costs of distance, in outstanding statements per slot.
const (
	sameRegionCost  = 0.5
	otherRegionCost = 4
)

func (c Candidate) cost() float64 {
	cost := float64(c.Outstanding) / float64(max(c.Slots, 1))
	switch c.Distance {
	case SameRegion:
		cost += sameRegionCost
	case OtherRegion:
		cost += otherRegionCost
	}
	return cost
}
