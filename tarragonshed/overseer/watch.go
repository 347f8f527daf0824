package overseer

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/replacer"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// rankDelay is how much longer each next daemon waits before it claims a
	// change.
	rankDelay = 300 * time.Millisecond
	// youngRanks is how many places further back a daemon stands whose change
	// would have to wait for the whole extension.
	youngRanks = 6
	// leaveRankDelay is the same for a primary that leaves in good order.
	leaveRankDelay = 800 * time.Millisecond
	// changePause is the least time between the end of a change of a group and
	// the next one that is not forced by a dead primary.
	changePause = 3 * time.Second
)

// watch looks after every primary once.
func (o *Overseer) watch() {
	m := o.manifest()
	if m == nil {
		return
	}
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
	found := o.diagnose(g, row, exists)
	t := o.track(row, g.Name, found)
	if t == nil {
		return
	}
	o.mu.Lock()
	asks := t.asksAgain(time.Now())
	o.mu.Unlock()
	if asks {
		go o.witness(g.Name, row.Primary, t)
	}
	if time.Since(t.since) < o.delay(t, duty) || o.storeAway(0) {
		return
	}
	o.begin(g, row, t)
}

// diagnose returns why the primary of the group is to be replaced, if it is.
func (o *Overseer) diagnose(g manifest.Group, row authorizer.Leadership, exists bool) reason {
	switch {
	case !exists:
		return missing
	case row.State == authorizer.Changing:
		return stuck
	}
	reach := o.reach(g.Name, row.Primary)
	switch {
	case !reach.Known:
		return gone
	case reach.Incarnation != row.Incarnation:
		return reborn
	case reach.Unreachable && !reach.Tunneled:
		return unreachable
	case reach.Leaving:
		return leaving
	}
	return fine
}

// track notes since when the reason holds for the row.
func (o *Overseer) track(row authorizer.Leadership, g unit.GroupName, found reason) *trouble {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.troubles[g]
	if found == fine {
		delete(o.troubles, g)
		return nil
	}
	if t == nil || t.reason != found || t.row != row {
		t = &trouble{reason: found, row: row, since: time.Now(), seen: o.now(), silent: make(map[unit.DaemonID]bool)}
		o.troubles[g] = t
		o.logger.Info("primary in trouble", "group", g, "reason", found)
	}
	return t
}

// delay returns how long the reason has to hold before this daemon acts on it.
func (o *Overseer) delay(t *trouble, duty authorizer.Duty) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	claimants := o.claimants(t)
	rank := time.Duration(replacer.Rank(o.self.Daemon, duty.Holder, claimants))
	older := slices.ContainsFunc(claimants, func(c replacer.Claimant) bool { return !c.RecentlyListed })
	if older && o.auth.RecentlyListed(o.auth.View().Members[o.self.Daemon]) {
		rank += youngRanks
	}
	if t.reason == leaving {
		return rank * leaveRankDelay
	}
	return t.patience() + rank*rankDelay
}

// neighbours is the number of daemons that are asked for a way to an instance.
const neighbours = 6

// Reaching implements [engine.Peers].
func (o *Overseer) Reaching(ctx context.Context, g unit.GroupName, i unit.InstanceName) []string {
	others := o.someOthers(neighbours, func(m authorizer.Member) bool { return m.Domain == o.self.Domain })
	reached := make([]string, len(others))
	o.ask(others, func(call context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		answer, err := c.Witness(call, connect.NewRequest(&peer.WitnessRequest{Group: string(g), Instance: string(i)}))
		if err == nil && answer.Msg.Reached && ctx.Err() == nil {
			reached[slices.IndexFunc(others, func(o authorizer.Member) bool { return o.Daemon == m.Daemon })] = m.Address
		}
	})
	return slices.DeleteFunc(reached, func(a string) bool { return a == "" })
}
