// Package placer selects the daemons that perform a piece of work by rendezvous
// hashing.
//
// # Rendezvous hashing
//
// Each (daemon, key) pair has a score, the xxhash of both names, scaled by the weight
// of the daemon where daemons have different speeds. The daemons with the highest
// scores do the work. When a daemon joins or leaves, only the work that it does moves.
// Daemons with equal views select the same daemons without exchanging messages. Daemons
// with different views may select different ones, so no safety property may depend on
// the selection.
//
// # Homes and watchers
//
// The homes of an instance are the daemons that own the connections to it. They
// are daemons of the instance's failure domain; only when that domain has no
// usable daemon are they taken from other domains. [Homes] chooses among the members of
// a [member.View], [Assign] among daemons of different speeds on any list. [UseHomes]
// reports whether daemons need homes at all. The watchers of a group are
// the daemons that monitor it. They are spread over as many failure domains as
// possible.
//
// # Usage
//
//	for _, d := range placer.Homes(view, instance, group.Homes) {
//		stream, err := open(d.PeerAddress)
//		...
//	}
package placer

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// The kinds of work. They are part of the hash, so that the selections for one name are
// independent of each other.
const (
	homeKind    = "home"
	watcherKind = "watcher"
	relayKind   = "relay"
)

// HomeCount returns the number of homes that an instance of the group has. It is
// at least one and otherwise not above the number of slots of the instance, so
// that each home has at least one slot.
func HomeCount(group manifest.Group, instance manifest.Instance) int {
	return max(1, min(group.Homes, instance.Slots))
}

// Homes returns up to n homes of the instance, by descending score.
func Homes(view member.View, instance manifest.Instance, n int) []member.Daemon {
	candidates := view.In(instance.Domain)
	if len(candidates) == 0 {
		candidates = usable(view)
	}
	return first(rankEqually(candidates, homeKind, string(instance.Name)), n)
}

// Standby returns the daemon that is the next to become a home of the instance
// when its n homes fail. It reports false if there is no other usable daemon.
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
	return rankEqually(others, homeKind, string(instance.Name))[0], true
}

// IsHome reports whether the view's own daemon is one of the first n homes of
// the instance.
func IsHome(view member.View, instance manifest.Instance, n int) bool {
	return contains(Homes(view, instance, n), view.Self)
}

// Watchers returns up to n watchers of the group. Daemons of distinct failure
// domains come first, and otherwise they are ordered by descending score.
func Watchers(view member.View, group unit.GroupName, n int) []member.Daemon {
	return first(spreadDomains(rankEqually(usable(view), watcherKind, string(group))), n)
}

// IsWatcher reports whether the view's own daemon is one of the first n watchers
// of the group.
func IsWatcher(view member.View, group unit.GroupName, n int) bool {
	return contains(Watchers(view, group, n), view.Self)
}

// Relays returns up to n relays of the failure domain, by descending score. A relay
// is a daemon that reads from the platform on behalf of the others.
func Relays(view member.View, domain unit.DomainName, n int) []member.Daemon {
	return first(rankEqually(view.In(domain), relayKind, string(domain)), n)
}

// RegionRelays returns up to n relays of a region that consists of the given
// failure domains, by descending score.
func RegionRelays(view member.View, region unit.RegionName, domains []unit.DomainName, n int) []member.Daemon {
	var candidates []member.Daemon
	for _, d := range domains {
		candidates = append(candidates, view.In(d)...)
	}
	return first(rankEqually(candidates, relayKind, string(region)), n)
}

// IsRelay reports whether the view's own daemon is one of the first n relays of
// its failure domain.
func IsRelay(view member.View, n int) bool {
	self, ok := view.Find(view.Self)
	return ok && contains(Relays(view, self.Domain, n), view.Self)
}

// rank orders the daemons by descending score.
func rank[T any](daemons []T, kind, key string, weight func(T) float64, id func(T) unit.DaemonID) []T {
	type scored struct {
		daemon T
		id     unit.DaemonID
		hash   uint64
		score  float64
	}
	order := make([]scored, len(daemons))
	for i, d := range daemons {
		h := Hash(kind, key, id(d))
		order[i] = scored{daemon: d, id: id(d), hash: h, score: score(h, weight(d))}
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		switch {
		case a.score != b.score:
			return a.score > b.score
		case a.hash != b.hash: // The score has fewer digits than the hash.
			return a.hash > b.hash
		}
		return a.id < b.id
	})
	ranked := make([]T, len(order))
	for i, s := range order {
		ranked[i] = s.daemon
	}
	return ranked
}

// rankEqually ranks daemons of equal weight.
func rankEqually(daemons []member.Daemon, kind, key string) []member.Daemon {
	return rank(daemons, kind, key, func(member.Daemon) float64 { return 1 }, func(d member.Daemon) unit.DaemonID { return d.ID })
}

// Hash returns the hash of a daemon for a key of a kind of work. The arguments are separated by a zero byte, which no name
// contains, so that different arguments give different hash inputs.
func Hash(kind, key string, id unit.DaemonID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{kind, "\x00", key, "\x00", string(id)} {
		_, _ = digest.WriteString(part) // Digest writes don't fail.
	}
	return digest.Sum64()
}

// score increases with the hash. The probability that a daemon has the highest score is
// proportional to its weight.
func score(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // In (0, 1).
	return -weight / math.Log(uniform)
}

// spreadDomains moves the first daemon of each failure domain to the front.
func spreadDomains(ranked []member.Daemon) []member.Daemon {
	seen := make(map[unit.DomainName]bool)
	var leading, rest []member.Daemon
	for _, d := range ranked {
		if seen[d.Domain] {
			rest = append(rest, d)
			continue
		}
		seen[d.Domain] = true
		leading = append(leading, d)
	}
	return append(leading, rest...)
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

func first[T any](daemons []T, n int) []T {
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
