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
	// absentTimeout is how long a primary may be absent from the manifest. An entry that
	// expired while the store was unavailable returns within two seconds.
	absentTimeout = 2200 * time.Millisecond
	// partialOutageTimeout is how long a primary is kept that this daemon does not reach
	// but others do.
	partialOutageTimeout = 900 * time.Millisecond
	// witnessInterval is the time between two queries whether other daemons reach the
	// primary.
	witnessInterval = 200 * time.Millisecond
	// witnessLead is how long before the fault's timeout the other daemons are queried if
	// they are queried only once. Before the timeout ends, all responses have arrived or
	// their calls have timed out.
	witnessLead = 2 * peerTimeout
	// maxWitnesses bounds the number of daemons that one daemon queries.
	maxWitnesses = 32
	// promotionTimeout is how long a promotion of an earlier era may take to be in effect: the
	// call, and the promotion itself. Only then do the instances show the primary.
	promotionTimeout = callTimeout + time.Second
	// stalledTimeout is how long another daemon's change may take before it is taken over.
	stalledTimeout = 5 * time.Second
	// isolatedStalledTimeout replaces stalledTimeout if half or more of the queried daemons
	// do not respond. The daemon that makes the change may not reach them either, and then
	// has to wait until their authority expires.
	isolatedStalledTimeout = Majority + 2500*time.Millisecond
)

// reason is why a primary has to be replaced.
type reason string

// Reasons.
const (
	noFault       reason = ""
	noRow         reason = "the group has no row"
	unreachable   reason = "the primary is unreachable"
	absent        reason = "the primary is not in the manifest"
	restarted     reason = "the primary has a new incarnation"
	leaving       reason = "the primary is leaving"
	strained      reason = "the replicas are too far behind to take reads off the primary"
	stalled       reason = "another daemon's change has not completed"
	unestablished reason = "the primary is not known since the store was restored"
)

// takesOver reports whether an earlier change may have promoted an instance already.
func (r reason) takesOver() bool { return r == stalled || r == unestablished }

// fault is a reason to replace a primary and the time since when it has existed.
type fault struct {
	reason       reason
	row          authorizer.Leadership
	since        time.Time
	sinceInstant unit.Instant // The same as since, on the clock that measures leases.
	queriedAt    time.Time    // When the other daemons were last queried.
	querying     bool         // Whether a query is in flight.
	corroborated bool         // Whether no queried daemon reaches the primary.
	isolated     bool         // Whether half or more of the queried daemons did not respond.
	// unresponsive holds the daemons that did not respond to the last query. They are left
	// out of the ranking, so no daemon waits for them to claim the change first.
	unresponsive map[unit.DaemonID]bool
}

// beginQuery reports whether the other daemons are to be queried now, and if so records the
// query. For an unreachable primary the query is repeated until no daemon reaches it,
// because daemons detect the failure at different times.
func (f *fault) beginQuery(now time.Time) bool {
	once := f.reason != unreachable || f.corroborated
	switch {
	case f.reason == noRow, f.reason == unestablished, f.querying, once && !f.queriedAt.IsZero(), now.Sub(f.queriedAt) < witnessInterval:
		return false
	case once && now.Sub(f.since) < f.timeout()-witnessLead:
		return false // The reason may be transient, as during the start of a daemon.
	}
	f.queriedAt, f.querying = now, true
	return true
}

// mayBegin reports whether a change may begin, given the time since the end of the last change
// of the group.
func (f *fault) mayBegin(sinceLast time.Duration) bool {
	switch f.reason {
	case unreachable:
		return f.corroborated || sinceLast >= minChangeInterval
	case strained:
		// More than half of the queried daemons must have responded. Otherwise the primary is
		// out of use until the authority of the others has expired.
		return !f.queriedAt.IsZero() && !f.querying && !f.isolated && sinceLast >= minReliefInterval
	}
	return true
}

// claimants returns the daemons that may replace the primary. The caller holds mu.
func (o *Overseer) claimants(f *fault) []replacer.Claimant {
	var claimants []replacer.Claimant
	for _, m := range o.auth.View().Listed() {
		if !f.unresponsive[m.Daemon] {
			claimants = append(claimants, replacer.Claimant{Daemon: m.Daemon, RecentlyListed: o.auth.RecentlyListed(m)})
		}
	}
	return claimants
}

// timeout returns how long the fault has to persist before any daemon acts on it.
func (f *fault) timeout() time.Duration {
	switch {
	case f.reason == absent:
		return absentTimeout
	case f.reason == stalled && f.isolated:
		return isolatedStalledTimeout
	case f.reason == stalled:
		return stalledTimeout
	case f.reason == unestablished:
		return promotionTimeout
	case f.reason == unreachable && !f.corroborated:
		return partialOutageTimeout
	}
	return 0
}

// selectWitnesses returns the daemons to query about the primary: those that rank before
// this one, and a random sample of the others. If the list is short, this is all of them.
func (o *Overseer) selectWitnesses(f *fault) []authorizer.Member {
	o.mu.Lock()
	order := replacer.Order(o.auth.View().Duty.Holder, o.claimants(f))
	o.mu.Unlock()
	before := order[:max(0, slices.Index(order, o.self.Daemon))]
	before = before[:min(len(before), maxWitnesses*3/4)]
	return o.sampleOthers(maxWitnesses, func(m authorizer.Member) bool { return slices.Contains(before, m.Daemon) })
}

// queryWitnesses queries other daemons whether they reach the primary, and records the
// result in the fault.
func (o *Overseer) queryWitnesses(g unit.GroupName, i unit.InstanceName, f *fault) {
	others := o.selectWitnesses(f)
	unresponsive := make(map[unit.DaemonID]bool, len(others))
	for _, m := range others {
		unresponsive[m.Daemon] = true
	}
	reached := 0
	var mu sync.Mutex
	o.callAll(others, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		response, err := c.Witness(ctx, connect.NewRequest(&peer.WitnessRequest{Group: string(g), Instance: string(i)}))
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		delete(unresponsive, m.Daemon)
		if response.Msg.Reached {
			reached++
		}
	})
	o.mu.Lock()
	f.corroborated, f.querying = reached == 0, false
	f.isolated = len(unresponsive) > 0 && 2*len(unresponsive) >= len(others)
	for _, m := range others {
		f.unresponsive[m.Daemon] = unresponsive[m.Daemon]
	}
	o.mu.Unlock()
	o.logger.Info("other daemons queried about the primary", "group", g, "primary", i, "reached-by", reached, "silent", len(unresponsive))
}
