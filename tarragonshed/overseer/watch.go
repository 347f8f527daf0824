package overseer

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/replacer"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// rankDelay is the additional time per rank that a daemon waits before it claims a
	// change.
	rankDelay = 300 * time.Millisecond
	// recentlyListedRanks is added to the rank of a recently listed daemon, because its
	// change would have to wait for the full extension.
	recentlyListedRanks = 6
	// plannedRankDelay replaces rankDelay for a planned change, when the primary works.
	plannedRankDelay = 800 * time.Millisecond
	// minChangeInterval is the minimum time between the end of a change of a group and the
	// next change for an unreachable primary that other daemons still reach.
	minChangeInterval = 3 * time.Second
	// statusRetryInterval is the time before an instance that had no slot for a request of its
	// status is asked again.
	statusRetryInterval = 10 * time.Millisecond
	// minReliefInterval is the minimum time between two attempts to relieve the primary of a
	// group. After a change, the instances need some time to serve reads again.
	minReliefInterval = 5 * time.Second
)

// watch checks every primary once.
func (o *Overseer) watch() {
	m := o.manifest()
	if m == nil {
		return
	}
	o.recordDepartures(m)
	for _, g := range m.Groups {
		o.watchGroup(g)
	}
	o.prune()
}

func (o *Overseer) manifest() *manifest.Manifest {
	if p := o.instances.Load(); p != nil {
		return (*p).Manifest()
	}
	return nil
}

func (o *Overseer) reach(g unit.GroupName, i unit.InstanceName) engine.Reach {
	if p := o.instances.Load(); p != nil {
		return (*p).Reach(g, i)
	}
	return engine.Reach{}
}

// instanceStatus requests the status of an instance, which may have departed. It repeats the
// request until ctx ends if the instance has no slot for it.
func (o *Overseer) instanceStatus(ctx context.Context, g unit.GroupName, i unit.InstanceName) (engine.InstanceStatus, error) {
	for {
		status, err := o.requestStatus(ctx, g, i)
		var refusal *result.Error
		if !errors.As(err, &refusal) || refusal.Code != result.Overloaded {
			return status, err
		}
		select {
		case <-time.After(statusRetryInterval):
		case <-ctx.Done():
			return status, err
		}
	}
}

// acknowledged returns the highest position of a write to the group that this daemon has seen
// acknowledged.
func (o *Overseer) acknowledged(g unit.GroupName) unit.Position {
	if p := o.instances.Load(); p != nil {
		return (*p).Acknowledged(g)
	}
	return unit.Position{}
}

func (o *Overseer) watchGroup(g manifest.Group) {
	o.mu.Lock()
	_, confirmed := o.auth.Confirmed()
	row, exists := o.auth.View().Leaderships[g.Name]
	duty := o.auth.View().Duty
	running := o.changes[g.Name]
	o.mu.Unlock()
	if !confirmed || running {
		return
	}
	detected := o.diagnose(g, row, exists)
	f := o.track(row, g.Name, detected)
	if f == nil {
		return
	}
	o.mu.Lock()
	query := f.beginQuery(time.Now())
	o.mu.Unlock()
	if query {
		go o.queryWitnesses(g.Name, row.Primary, f)
	}
	if time.Since(f.since) < o.delay(f, duty) || o.storeUnavailable(0) {
		return
	}
	o.beginChange(g, row, f)
}

// diagnose returns why the primary of the group has to be replaced, or noFault.
func (o *Overseer) diagnose(g manifest.Group, row authorizer.Leadership, exists bool) reason {
	switch {
	case !exists:
		return noRow
	case row.State == authorizer.Changing && row.Changer == "":
		return unestablished
	case row.State == authorizer.Changing:
		return stalled
	}
	reach := o.reach(g.Name, row.Primary)
	switch {
	case !reach.Known:
		return absent
	case reach.Incarnation != row.Incarnation:
		return restarted
	case reach.Unreachable && !reach.Tunneled:
		return unreachable
	case reach.Leaving:
		return leaving
	case reach.Strained && !reach.Unreachable:
		return strained
	}
	return noFault
}

// track records since when the reason has applied to the row, and returns the fault, or nil
// if there is none.
func (o *Overseer) track(row authorizer.Leadership, g unit.GroupName, detected reason) *fault {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.faults[g]
	if detected == noFault {
		delete(o.faults, g)
		return nil
	}
	if f == nil || f.reason != detected || f.row != row {
		f = &fault{reason: detected, row: row, since: time.Now(), sinceInstant: o.now(), unresponsive: make(map[unit.DaemonID]bool)}
		o.faults[g] = f
		o.logger.Info("primary may have to be replaced", "group", g, "reason", detected)
	}
	return f
}

// delay returns how long the fault has to persist before this daemon acts on it.
func (o *Overseer) delay(f *fault, duty authorizer.Duty) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	claimants := o.claimants(f)
	rank := time.Duration(replacer.Rank(o.self.Daemon, duty.Holder, claimants))
	established := slices.ContainsFunc(claimants, func(c replacer.Claimant) bool { return !c.RecentlyListed })
	if established && o.auth.RecentlyListed(o.auth.View().Members[o.self.Daemon]) {
		rank += recentlyListedRanks
	}
	if f.reason == leaving || f.reason == strained {
		return rank * plannedRankDelay
	}
	return f.timeout() + rank*rankDelay
}

// maxNeighbours bounds the number of daemons that are queried for a path to an instance.
const maxNeighbours = 6

// Reaching implements [engine.Peers].
func (o *Overseer) Reaching(ctx context.Context, g unit.GroupName, i unit.InstanceName) []string {
	others := o.sampleOthers(maxNeighbours, func(m authorizer.Member) bool { return m.Domain == o.self.Domain })
	reached := make([]string, len(others))
	o.callAll(others, func(call context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		response, err := c.Witness(call, connect.NewRequest(&peer.WitnessRequest{Group: string(g), Instance: string(i)}))
		if err == nil && response.Msg.Reached && ctx.Err() == nil {
			reached[slices.IndexFunc(others, func(o authorizer.Member) bool { return o.Daemon == m.Daemon })] = m.Address
		}
	})
	return slices.DeleteFunc(reached, func(a string) bool { return a == "" })
}
