package replacer

import (
	"cmp"
	"slices"

	"tarragonshed.example/unit"
)

// Claimant is a daemon that may carry out a change.
type Claimant struct {
	Daemon unit.DaemonID
	// RecentlyListed means that the daemon was added to the member list so recently that its
	// change would have to wait for the full [authorizer.Config.Extension].
	RecentlyListed bool
}

// Rank returns the index of a daemon in [Order], or the number of claimants if it is not among
// them. A daemon with a higher rank waits longer before it claims the row.
func Rank(self, holder unit.DaemonID, claimants []Claimant) int {
	order := Order(holder, claimants)
	rank := slices.Index(order, self)
	if rank < 0 {
		return len(order)
	}
	return rank
}

// Order returns the claimants in the order in which they may claim the row: the duty holder
// first, then the others by name, and recently listed daemons last.
func Order(holder unit.DaemonID, claimants []Claimant) []unit.DaemonID {
	priority := func(c Claimant) int {
		switch {
		case c.RecentlyListed:
			return 2
		case c.Daemon == holder:
			return 0
		}
		return 1
	}
	sorted := slices.SortedFunc(slices.Values(claimants), func(a, b Claimant) int {
		return cmp.Or(cmp.Compare(priority(a), priority(b)), cmp.Compare(a.Daemon, b.Daemon))
	})
	order := make([]unit.DaemonID, 0, len(sorted))
	for _, c := range sorted {
		order = append(order, c.Daemon)
	}
	return order
}
