package placer

import (
	"slices"
	"sort"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// Candidate is a daemon that may become the home of instances.
type Candidate struct {
	ID     unit.DaemonID
	Domain unit.DomainName
	// Weight is the speed of the daemon's VM in any unit that all candidates share. Zero
	// means unknown and counts as 1.
	Weight float64
}

// UseHomes reports whether daemons reach an instance through its home. They do if the
// instance accepts fewer connections than the daemons need to own one each, for each
// account whose statements must not share a connection with those of other accounts. With
// fewer connections, daemons take turns at them, and most statements pay for a new one.
//
// It has no hysteresis: the result depends on nothing but the arguments, so that daemons
// which started at different times agree.
func UseHomes(daemons, connections, accounts int) bool {
	return connections < daemons*max(1, accounts)
}

// InstanceHomes returns up to n homes of one instance, by descending score: daemons of its
// failure domain, else of its region, else any. It ignores the load of the other instances,
// see [Assign].
func InstanceHomes(candidates []Candidate, i manifest.Instance, regions map[unit.DomainName]unit.RegionName, n int) []unit.DaemonID {
	near, _ := nearest(candidates, i.Domain, regions)
	return ids(first(rank(near, homeKind, string(i.Name), weightOf, idOf), n))
}

// Assign returns up to n homes of each instance, as [InstanceHomes] does, but the first one
// is the first by score that isn't overloaded: the greatest number of instances per weight
// among the daemons is the smallest possible one. A slow VM thus becomes the first home of
// an instance only if the fast ones have many. The other homes follow by score.
//
// Daemons with equal arguments assign equal homes, whatever the order of the lists. A
// daemon that joins or leaves moves few instances but its own.
func Assign(candidates []Candidate, instances []manifest.Instance, regions map[unit.DomainName]unit.RegionName, n int) map[unit.InstanceName][]unit.DaemonID {
	instances = slices.Clone(instances)
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
	homes := make(map[unit.InstanceName][]unit.DaemonID, len(instances))
	load := make(map[unit.DaemonID]int)
	// Instances with few possible homes come first, so that the others can avoid them.
	for scope := sameDomain; scope <= anywhere; scope++ {
		pools := make(map[string][]Candidate)
		members := make(map[string][]manifest.Instance)
		var keys []string
		for _, i := range instances {
			near, found := nearest(candidates, i.Domain, regions)
			if found != scope || len(near) == 0 {
				continue
			}
			key := poolKey(scope, i.Domain, regions)
			if pools[key] == nil {
				keys = append(keys, key)
			}
			pools[key] = near
			members[key] = append(members[key], i)
		}
		for _, key := range keys {
			assignPool(pools[key], members[key], load, homes, n)
		}
	}
	return homes
}

// scope is where the homes of an instance are found.
type scope int

const (
	sameDomain scope = iota
	sameRegion
	anywhere
)

// poolKey identifies the candidates that instances of the domain share.
func poolKey(s scope, d unit.DomainName, regions map[unit.DomainName]unit.RegionName) string {
	switch s {
	case sameDomain:
		return string(d)
	case sameRegion:
		return string(regions[d])
	}
	return ""
}

// nearest returns the candidates of the domain, else of its region, else all.
func nearest(candidates []Candidate, d unit.DomainName, regions map[unit.DomainName]unit.RegionName) ([]Candidate, scope) {
	var inDomain, inRegion []Candidate
	region, known := regions[d]
	for _, c := range candidates {
		if c.Domain == d {
			inDomain = append(inDomain, c)
		}
		if r, ok := regions[c.Domain]; known && ok && r == region {
			inRegion = append(inRegion, c)
		}
	}
	switch {
	case len(inDomain) > 0:
		return inDomain, sameDomain
	case len(inRegion) > 0:
		return inRegion, sameRegion
	}
	return candidates, anywhere
}

// assignPool assigns homes to the instances that share a list of candidates.
func assignPool(candidates []Candidate, instances []manifest.Instance, load map[unit.DaemonID]int, homes map[unit.InstanceName][]unit.DaemonID, n int) {
	total := len(instances)
	for _, c := range candidates {
		total += load[c.ID]
	}
	level := lowestLevel(candidates, total)
	for _, i := range instances {
		ranked := rank(candidates, homeKind, string(i.Name), weightOf, idOf)
		chosen := leastLoaded(ranked, load)
		for at, c := range ranked {
			if float64(load[c.ID]+1) <= level*c.speed() {
				chosen = at
				break
			}
		}
		home := ranked[chosen]
		load[home.ID]++
		homes[i.Name] = ids(first(append([]Candidate{home}, slices.Delete(ranked, chosen, chosen+1)...), n))
	}
}

// lowestLevel returns the smallest number of instances per weight that some daemon must
// have if the candidates have the given number of instances.
func lowestLevel(candidates []Candidate, instances int) float64 {
	count := make(map[unit.DaemonID]int, len(candidates))
	level := 0.0
	for range instances {
		next := candidates[leastLoaded(candidates, count)]
		count[next.ID]++
		level = max(level, float64(count[next.ID])/next.speed())
	}
	return level
}

// leastLoaded returns the index of the candidate that has the fewest instances per weight
// after one more.
func leastLoaded(candidates []Candidate, load map[unit.DaemonID]int) int {
	best := 0
	relative := func(c Candidate) float64 { return float64(load[c.ID]+1) / c.speed() }
	for at, c := range candidates {
		if relative(c) < relative(candidates[best]) {
			best = at
		}
	}
	return best
}

func (c Candidate) speed() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}

func weightOf(c Candidate) float64 { return c.speed() }

func idOf(c Candidate) unit.DaemonID { return c.ID }

func ids(candidates []Candidate) []unit.DaemonID {
	list := make([]unit.DaemonID, len(candidates))
	for i, c := range candidates {
		list[i] = c.ID
	}
	return list
}
