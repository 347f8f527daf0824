package overseer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
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
	// gonePatience is how long a primary may be missing from the manifest: an
	// entry that lapsed while the store was away comes back within two seconds.
	gonePatience = 2200 * time.Millisecond
	// partialPatience is how long a primary is kept that other daemons reach.
	partialPatience = 900 * time.Millisecond
	// witnessInterval is the time between two questions whether others reach the
	// primary.
	witnessInterval = 200 * time.Millisecond
	// maxWitnesses bounds the daemons that one asks.
	maxWitnesses = 32
	// stuckPatience is how long another daemon's change may take before it is
	// taken over.
	stuckPatience = 5 * time.Second
	// changePause is the least time between the end of a change of a group and
	// the next one that is not forced by a dead primary.
	changePause = 3 * time.Second
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
	reason reason
	row    authorizer.Leadership
	since  time.Time
	asked  time.Time // When the other daemons were last asked.
	asking bool      // Whether they have not all answered.
	shared bool      // Whether none of them reaches the primary.
	// silent are the daemons that did not answer. Nobody waits for them to go first.
	silent map[unit.DaemonID]bool
}

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

// asksAgain notes and reports whether the other daemons are to be asked. Those that still reached
// the primary may find out that it is silent a moment later.
func (t *trouble) asksAgain(now time.Time) bool {
	once := t.reason != unreachable || t.shared
	switch {
	case t.reason == missing, t.asking, once && !t.asked.IsZero(), now.Sub(t.asked) < witnessInterval:
		return false
	case once && now.Sub(t.since) < t.patience()-peerTimeout:
		return false // The reason may pass, as it does when a daemon starts.
	}
	t.asked, t.asking = now, true
	return true
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
	case reach.Life != row.Life:
		return reborn
	case reach.Unreachable && !reach.Detour:
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
		t = &trouble{reason: found, row: row, since: time.Now()}
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
	older := slices.ContainsFunc(claimants, func(c replacer.Claimant) bool { return !c.Young })
	if older && o.auth.Young(o.auth.View().Members[o.self.Daemon]) {
		rank += youngRanks
	}
	if t.reason == leaving {
		return rank * leaveRankDelay
	}
	return t.patience() + rank*rankDelay
}

// claimants returns the daemons that may replace the primary. The lock is held.
func (o *Overseer) claimants(t *trouble) []replacer.Claimant {
	var claimants []replacer.Claimant
	for _, m := range o.auth.View().Members {
		if m.Removed == 0 && !t.silent[m.Daemon] {
			claimants = append(claimants, replacer.Claimant{Daemon: m.Daemon, Young: o.auth.Young(m)})
		}
	}
	return claimants
}

// patience returns how long the reason has to hold before anybody acts on it.
func (t *trouble) patience() time.Duration {
	switch {
	case t.reason == gone:
		return gonePatience
	case t.reason == stuck:
		return stuckPatience
	case t.reason == unreachable && !t.shared:
		return partialPatience
	}
	return 0
}

// neighbours is the number of daemons that are asked for a way to an instance.
const neighbours = 6

// Reaching implements [engine.Neighbours].
func (o *Overseer) Reaching(ctx context.Context, g unit.GroupName, i unit.InstanceName) []string {
	others := o.others()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	near := func(m authorizer.Member) int {
		if m.Domain == o.self.Domain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(others, func(a, b authorizer.Member) int { return near(a) - near(b) })
	others = others[:min(neighbours, len(others))]
	reached := make([]string, len(others))
	o.ask(others, func(call context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		answer, err := c.Witness(call, connect.NewRequest(&peer.WitnessRequest{Group: string(g), Instance: string(i)}))
		if err == nil && answer.Msg.Reached && ctx.Err() == nil {
			reached[slices.IndexFunc(others, func(o authorizer.Member) bool { return o.Daemon == m.Daemon })] = m.Address
		}
	})
	return slices.DeleteFunc(reached, func(a string) bool { return a == "" })
}

// witnesses returns the daemons that are asked about the primary: those that go before
// this one, and some others. On a small list these are all.
func (o *Overseer) witnesses(t *trouble) []authorizer.Member {
	others := o.others()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	o.mu.Lock()
	order := replacer.Order(o.auth.View().Duty.Holder, o.claimants(t))
	o.mu.Unlock()
	before := order[:max(0, slices.Index(order, o.self.Daemon))]
	before = before[:min(len(before), maxWitnesses*3/4)]
	slices.SortStableFunc(others, func(a, b authorizer.Member) int {
		place := func(m authorizer.Member) int {
			if slices.Contains(before, m.Daemon) {
				return 0
			}
			return 1
		}
		return place(a) - place(b)
	})
	return others[:min(len(others), maxWitnesses)]
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
	t.shared, t.silent, t.asking = reached == 0, silent, false
	o.mu.Unlock()
	o.logger.Info("other daemons asked about the primary", "group", g, "primary", i, "reached-by", reached, "silent", len(silent))
}
