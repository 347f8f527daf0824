// Package router chooses the instance that serves a request.
//
// # Primary
//
// [Primary] concludes from reports which instance is the primary: the one that
// leads, or is followed in, the highest term that any report names.
//
// # Reads
//
// A read goes to a replica when one is eligible: it is believed to have applied
// the floor, or its data is within the staleness that the read accepts. Among
// eligible ones the better of two random choices is taken, by outstanding work
// per slot and by distance. Without an eligible one, the read waits at a replica
// that is expected to catch up within [Request.WaitLimit], or goes to the primary.
//
// [Policy] replaces the choice among replicas, to measure what it is worth.
//
// Reports only pick the instance. Whether the answer may be given to the caller
// is decided by the position that comes with the answer.
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

// Distance tells how far an instance is from the daemon.
type Distance int

// The distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Policy names a way to choose among the replicas that may serve a read.
type Policy string

// The policies.
const (
	// TwoChoices takes the less loaded and nearer one of two random choices.
	// It is the default.
	TwoChoices Policy = "two-choices"
	// Random takes any.
	Random Policy = "random"
	// RoundRobin takes one after the other.
	RoundRobin Policy = "round-robin"
	// PrimaryOnly takes none: all reads go to the primary.
	PrimaryOnly Policy = "primary-only"
)

// ParsePolicy returns the policy of the name. The empty name is TwoChoices.
func ParsePolicy(name string) (Policy, error) {
	switch p := Policy(name); p {
	case "":
		return TwoChoices, nil
	case TwoChoices, Random, RoundRobin, PrimaryOnly:
		return p, nil
	}
	return "", fmt.Errorf("router: no policy %q", name)
}

// Candidate is one instance of the group as the daemon knows it.
type Candidate struct {
	Instance unit.InstanceName
	Distance Distance
	Slots    int
	// Outstanding is the number of statements that the daemon has sent to the
	// instance and that have not ended.
	Outstanding int
	// Leaving tells that the instance takes no new work.
	Leaving bool
	// Excluded tells that the request has failed on the instance before.
	Excluded bool
	// Known tells that Report holds a report.
	Known  bool
	Report instance.Report
	// CatchUp is how long a read at the instance is expected to wait for a floor
	// that the report does not reach.
	CatchUp time.Duration
}

// Request is a request for an instance.
type Request struct {
	// Write asks for the primary.
	Write bool
	// Floor is the position that a read must see.
	Floor unit.Position
	// MaxStaleness is the age of data that a read accepts. Zero asks for what
	// has been applied at the floor.
	MaxStaleness time.Duration
	// WaitLimit is how long a read may wait for a replica to apply the floor
	// before the primary is the better choice.
	WaitLimit time.Duration
	// Policy chooses among replicas. Empty is TwoChoices.
	Policy Policy
	// Sequence counts requests, for RoundRobin.
	Sequence uint64
	// Now is compared with the times of reports.
	Now time.Time
	// Random holds two random numbers in [0, 1).
	Random [2]float64
}

// Effect is what is to be done with a request.
type Effect interface{ effect() }

// Use sends the request to an instance.
type Use struct {
	Instance unit.InstanceName
	// Wait is how long the instance may take to apply the floor.
	Wait time.Duration
	// Primary tells that the instance is taken for the primary.
	Primary bool
}

// WaitForReports waits until a report names a usable primary.
type WaitForReports struct{}

func (Use) effect()            {}
func (WaitForReports) effect() {}

// Primary returns the instance that the candidates' reports show to be the
// primary, and its term. It returns false if no report of the highest term
// names one.
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

// Choose returns what is to be done with a request.
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
	var eligible, behind []Candidate
	for _, c := range candidates {
		switch {
		case c.Instance == primary || c.Excluded || c.Leaving:
		case c.eligible(request):
			eligible = append(eligible, c)
		case request.WaitLimit > 0 && c.CatchUp <= request.WaitLimit:
			behind = append(behind, c)
		}
	}
	if len(eligible) > 0 {
		return request.pick(eligible).Instance, request.WaitLimit, true
	}
	if len(behind) > 0 {
		return request.pick(behind).Instance, request.WaitLimit, true
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
	return better(candidates, r.Random)
}

// better returns the one of two random choices that costs less.
func better(candidates []Candidate, random [2]float64) Candidate {
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

// Costs of distance in units of outstanding statements per slot.
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
