package overseer

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/replacer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// gonePatience is how long a primary may be missing from the manifest: an
	// entry that lapsed while the store was away comes back within two seconds.
	gonePatience = 2200 * time.Millisecond
	// partialPatience is how long a primary is kept that other daemons reach.
	partialPatience = 900 * time.Millisecond
	// witnessInterval is the time between two questions whether others reach the
	// primary.
	witnessInterval = 200 * time.Millisecond
	// witnessLead is how long before the patience ends the other daemons are asked, if
	// they are asked once: all answers have come then.
	witnessLead = 2 * peerTimeout
	// maxWitnesses bounds the daemons that one asks.
	maxWitnesses = 32
	// stuckPatience is how long another daemon's change may take before it is
	// taken over.
	stuckPatience = 5 * time.Second
	// isolatedPatience is the same for a daemon that does not reach half of the
	// others: the other daemon may not either, and then its change has to wait.
	isolatedPatience = Majority + 2500*time.Millisecond
)

// reason tells why a primary is to be replaced.
type reason string

// The reasons.
const (
	fine        reason = ""
	missing     reason = "the group has no row"
	unreachable reason = "the primary is unreachable"
	gone        reason = "the primary has left the manifest"
	reborn      reason = "the primary has begun another life"
	leaving     reason = "the primary is leaving"
	stuck       reason = "another daemon's change has not ended"
)

// trouble is a reason and since when it holds.
type trouble struct {
	reason   reason
	row      authorizer.Leadership
	since    time.Time
	seen     unit.Instant // The same by the clock of leases.
	asked    time.Time    // When the other daemons were last asked.
	asking   bool         // Whether they have not all answered.
	shared   bool         // Whether none of them reaches the primary.
	isolated bool         // Whether half of them or more did not answer.
	// silent are the daemons that did not answer when they were last asked. Nobody
	// waits for them to go first.
	silent map[unit.DaemonID]bool
}

// asksAgain notes and reports whether the other daemons are to be asked. Those that still reached
// the primary may find out that it is silent a moment later.
func (t *trouble) asksAgain(now time.Time) bool {
	once := t.reason != unreachable || t.shared
	switch {
	case t.reason == missing, t.asking, once && !t.asked.IsZero(), now.Sub(t.asked) < witnessInterval:
		return false
	case once && now.Sub(t.since) < t.patience()-witnessLead:
		return false // The reason may pass, as it does when a daemon starts.
	}
	t.asked, t.asking = now, true
	return true
}

// claimants returns the daemons that may replace the primary. The lock is held.
func (o *Overseer) claimants(t *trouble) []replacer.Claimant {
	var claimants []replacer.Claimant
	for _, m := range o.auth.View().Listed() {
		if !t.silent[m.Daemon] {
			claimants = append(claimants, replacer.Claimant{Daemon: m.Daemon, RecentlyListed: o.auth.RecentlyListed(m)})
		}
	}
	return claimants
}

// patience returns how long the reason has to hold before anybody acts on it.
func (t *trouble) patience() time.Duration {
	switch {
	case t.reason == gone:
		return gonePatience
	case t.reason == stuck && t.isolated:
		return isolatedPatience
	case t.reason == stuck:
		return stuckPatience
	case t.reason == unreachable && !t.shared:
		return partialPatience
	}
	return 0
}

// witnesses returns the daemons that are asked about the primary: those that go before
// this one, and some others. On a small list these are all.
func (o *Overseer) witnesses(t *trouble) []authorizer.Member {
	o.mu.Lock()
	order := replacer.Order(o.auth.View().Duty.Holder, o.claimants(t))
	o.mu.Unlock()
	before := order[:max(0, slices.Index(order, o.self.Daemon))]
	before = before[:min(len(before), maxWitnesses*3/4)]
	return o.someOthers(maxWitnesses, func(m authorizer.Member) bool { return slices.Contains(before, m.Daemon) })
}

// witness asks other daemons whether they reach the primary.
func (o *Overseer) witness(g unit.GroupName, i unit.InstanceName, t *trouble) {
	others := o.witnesses(t)
	silent := make(map[unit.DaemonID]bool, len(others))
	for _, m := range others {
		silent[m.Daemon] = true
	}
	reached := 0
	var mu sync.Mutex
	o.ask(others, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		answer, err := c.Witness(ctx, connect.NewRequest(&peer.WitnessRequest{Group: string(g), Instance: string(i)}))
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		delete(silent, m.Daemon)
		if answer.Msg.Reached {
			reached++
		}
	})
	o.mu.Lock()
	t.shared, t.asking = reached == 0, false
	t.isolated = len(silent) > 0 && 2*len(silent) >= len(others)
	for _, m := range others {
		t.silent[m.Daemon] = silent[m.Daemon]
	}
	o.mu.Unlock()
	o.logger.Info("other daemons asked about the primary", "group", g, "primary", i, "reached-by", reached, "silent", len(silent))
}
