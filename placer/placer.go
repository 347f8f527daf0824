// Package placer picks the daemons that do a piece of work by rendezvous
// hashing.
//
// # Rendezvous hashing
//
// Each (daemon, key) pair has a weight, the xxhash of both names. The daemons
// with the highest weights do the work. When a daemon comes or goes, only the
// work that it does moves. Daemons with the same view pick the same daemons
// without a message; with differing views they pick differing ones, so nothing
// that must hold rests on the choice.
//
// # Homes and watchers
//
// The homes of an instance are daemons of its failure domain. Only when that
// domain has no usable daemon are they taken from the other ones. The watchers
// of a group are spread over as many failure domains as there are.
//
// # Usage
//
//	for _, d := range placer.Homes(view, instance, group.Homes) {
//		lane, err := open(d.PeerAddress)
//		...
//	}
package placer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// The kinds of work, which keep the choices for one name apart.
const (
	homeKind    = "home"
	watcherKind = "watcher"
	relayKind   = "relay"
)

// HomeCount returns the number of homes that an instance of the group has: no
// more than it has slots, so that each home has at least one.
func HomeCount(group manifest.Group, instance manifest.Instance) int {
	return max(1, min(group.Homes, instance.Slots))
}

// Homes returns the first n usable daemons for the instance, best first.
func Homes(view member.View, instance manifest.Instance, n int) []member.Daemon {
	candidates := view.In(instance.Domain)
	if len(candidates) == 0 {
		candidates = usable(view)
	}
	return first(rank(candidates, homeKind, string(instance.Name)), n)
}

// Standby returns the daemon that would become a home of the instance if its n
// homes were gone.
func Standby(view member.View, instance manifest.Instance, n int) (member.Daemon, bool) {
	homes := Homes(view, instance, n+1)
	if len(homes) > n {
		return homes[n], true
	}
	var others []member.Daemon
	for _, d := range usable(view) {
		if !contains(homes, d.ID) {
			others = append(others, d)
		}
	}
	if len(others) == 0 {
		return member.Daemon{}, false
	}
	return rank(others, homeKind, string(instance.Name))[0], true
}

// IsHome reports whether the view's own daemon is one of the first n homes of
// the instance.
func IsHome(view member.View, instance manifest.Instance, n int) bool {
	return contains(Homes(view, instance, n), view.Self)
}

// Watchers returns n usable daemons for the group, best first. The first ones
// are of distinct failure domains.
func Watchers(view member.View, group unit.GroupName, n int) []member.Daemon {
	return first(spread(rank(usable(view), watcherKind, string(group))), n)
}

// IsWatcher reports whether the view's own daemon is one of the first n watchers
// of the group.
func IsWatcher(view member.View, group unit.GroupName, n int) bool {
	return contains(Watchers(view, group, n), view.Self)
}

// Relays returns the first n usable daemons of the failure domain that read the
// platform for the others, best first.
func Relays(view member.View, domain unit.DomainName, n int) []member.Daemon {
	return first(rank(view.In(domain), relayKind, string(domain)), n)
}

// RegionRelays is Relays for an area of several failure domains.
func RegionRelays(view member.View, area unit.RegionName, domains []unit.DomainName, n int) []member.Daemon {
	var candidates []member.Daemon
	for _, d := range domains {
		candidates = append(candidates, view.In(d)...)
	}
	return first(rank(candidates, relayKind, string(area)), n)
}

// IsRelay reports whether the view's own daemon is one of the first n relays of
// its failure domain.
func IsRelay(view member.View, n int) bool {
	self, ok := view.Find(view.Self)
	return ok && contains(Relays(view, self.Domain, n), view.Self)
}

// rank orders the daemons by falling weight, and by id where weights are equal.
func rank(daemons []member.Daemon, kind, key string) []member.Daemon {
	type weighted struct {
		member.Daemon
		weight uint64
	}
	order := make([]weighted, len(daemons))
	for i, d := range daemons {
		order[i] = weighted{Daemon: d, weight: weight(kind, key, d.ID)}
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].weight != order[j].weight {
			return order[i].weight > order[j].weight
		}
		return order[i].ID < order[j].ID
	})
	ranked := make([]member.Daemon, len(order))
	for i, w := range order {
		ranked[i] = w.Daemon
	}
	return ranked
}

// weight separates its parts by a zero byte, which no name contains.
func weight(kind, key string, id unit.DaemonID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{kind, "\x00", key, "\x00", string(id)} {
		_, _ = digest.WriteString(part) // Digest writes don't fail.
	}
	return digest.Sum64()
}

// spread moves the best daemon of each failure domain to the front.
func spread(ranked []member.Daemon) []member.Daemon {
	seen := make(map[unit.DomainName]bool)
	var heads, rest []member.Daemon
	for _, d := range ranked {
		if seen[d.Domain] {
			rest = append(rest, d)
			continue
		}
		seen[d.Domain] = true
		heads = append(heads, d)
	}
	return append(heads, rest...)
}

func usable(view member.View) []member.Daemon {
	var found []member.Daemon
	for _, d := range view.Daemons {
		if d.Usable() {
			found = append(found, d)
		}
	}
	return found
}

func first(daemons []member.Daemon, n int) []member.Daemon {
	return daemons[:max(0, min(n, len(daemons)))]
}

func contains(daemons []member.Daemon, id unit.DaemonID) bool {
	for _, d := range daemons {
		if d.ID == id {
			return true
		}
	}
	return false
}
