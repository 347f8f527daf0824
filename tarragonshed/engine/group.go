package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/retrier"
	"tarragonshed.example/router"
	"tarragonshed.example/tracker"
	"tarragonshed.example/unit"
)

const (
	// primaryPollInterval is how often a request that waits for a primary checks again.
	primaryPollInterval = 25 * time.Millisecond
	// positionTimeout bounds one request for the primary's position.
	positionTimeout = 300 * time.Millisecond
	// retireDelay is how long the connections to an instance that is no longer in the
	// manifest are kept, so that open transactions can end.
	retireDelay = 5 * time.Second
	// farBehindDelay is how long an instance must have been far behind before reads go to a
	// busy primary instead. A shorter lag may be over by the next read.
	farBehindDelay = 300 * time.Millisecond
)

// group is the state of one database group.
type group struct {
	engine *Engine
	name   unit.GroupName

	mu           sync.Mutex
	targets      map[unit.InstanceName]*target
	floors       tracker.Floors
	acknowledged unit.Position // Highest position of an acknowledged write.
	strain       strain
	spreader     *router.Spreader // Chooses the instances of reads.
	crossings    crossings
	retryBudget  retrier.Budget
	// positionQueries are closed when the position request in flight has ended. They are nil if
	// there is none. The second one is for other daemons, and is not forwarded.
	positionQueries [2]chan struct{}
}

func newGroup(e *Engine, name unit.GroupName) *group {
	return &group{engine: e, name: name, targets: make(map[unit.InstanceName]*target), spreader: router.NewSpreader(e.spreading...)}
}

// adopt replaces the targets by those of the instances in a newer manifest. The target of
// an unchanged incarnation and address is kept.
func (g *group) adopt(instances []manifest.Instance, homes map[unit.InstanceName][]unit.DaemonID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := make(map[unit.InstanceName]bool, len(instances))
	for _, i := range instances {
		kept[i.Name] = true
		old := g.targets[i.Name]
		if old != nil && old.instance.Incarnation == i.Incarnation && old.instance.Address == i.Address {
			old.update(i, homes[i.Name])
			continue
		}
		if old != nil {
			go old.retire()
		}
		g.targets[i.Name] = newTarget(g.engine, g, i, homes[i.Name])
	}
	for name, t := range g.targets {
		if !kept[name] {
			delete(g.targets, name)
			go t.retire()
		}
	}
	g.spreader.Retain(kept)
}

// update applies the settings that may change during an incarnation of the instance.
func (t *target) update(i manifest.Instance, homes []unit.DaemonID) {
	t.setHomes(homes)
	limits, pool := t.limits()
	t.Resize(limits, pool)
	t.setLeaving(i.Leaving)
}

// retire closes the connections after retireDelay, so that open transactions can end.
func (t *target) retire() {
	t.setLeaving(true)
	select {
	case <-time.After(retireDelay):
	case <-t.engine.ctx.Done():
	}
	t.close()
}

// allTargets returns the current targets.
func (g *group) allTargets() []*target {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make([]*target, 0, len(g.targets))
	for _, t := range g.targets {
		targets = append(targets, t)
	}
	return targets
}

// find returns the target of the instance.
func (g *group) find(name unit.InstanceName) (*target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.targets[name]
	return t, ok
}

// primary returns the target that may be used as the primary. The result is false if there
// is none.
func (g *group) primary() (*target, authorizer.Leadership, bool) {
	l, ok := g.engine.authority.Primary(g.name)
	if !ok {
		return nil, l, false
	}
	t, ok := g.find(l.Primary)
	if !ok || t.instance.Incarnation != l.Incarnation {
		return nil, l, false
	}
	h := t.health(time.Now())
	return t, l, !h.unreachable && !h.unusableAsPrimary
}

// cutOffError returns the error of a daemon that can't confirm the primary of the group,
// or nil if the daemon has authority or may still obtain it.
func (g *group) cutOffError() *result.Error {
	if !g.engine.cutOff() {
		return nil
	}
	return result.New(result.CutOff, "this daemon cannot confirm the primary of group %s", g.name)
}

// awaitPrimary waits until there is a primary that may be used.
func (g *group) awaitPrimary(ctx context.Context, deadline time.Time) (*target, authorizer.Leadership, *result.Error) {
	for {
		changed := g.engine.authority.Changed()
		if t, l, ok := g.primary(); ok {
			return t, l, nil
		}
		if err := g.cutOffError(); err != nil {
			return nil, authorizer.Leadership{}, err
		}
		wait := min(primaryPollInterval, time.Until(deadline))
		if wait <= 0 {
			return nil, authorizer.Leadership{}, result.New(result.NoPrimary, "group %s has no primary that may be used", g.name)
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, authorizer.Leadership{}, result.New(result.ShuttingDown, "the daemon is shutting down")
		}
	}
}

// observe records the position in a primary's reply to a request sent at sentAt.
func (g *group) observe(p unit.Position, sentAt unit.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.floors.Observe(p, sentAt)
}

// acknowledge records the position of a write that the primary has acknowledged. It must be
// recorded before the authority over the primary is checked, so that a position that is read
// after the authority has ended includes every write that a caller was told of.
func (g *group) acknowledge(p unit.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged = g.acknowledged.Max(p)
}

// floor returns the position that a read must observe if it must see all writes
// acknowledged before since and the session's own last write, at position own. The result
// is false if no recent enough position is known.
func (g *group) floor(since unit.Instant, own unit.Position) (unit.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.floors.Oldest(since)
	return p.Max(g.floors.RequiredPosition(own)), ok
}

// awaitFloor is like floor, but requests the position from the primary if no recent enough
// position is known.
func (g *group) awaitFloor(ctx context.Context, since unit.Instant, own unit.Position, deadline time.Time) (unit.Position, *result.Error) {
	for {
		if p, ok := g.floor(since, own); ok {
			return p, nil
		}
		if err := g.cutOffError(); err != nil {
			return unit.Position{}, err
		}
		if !time.Now().Before(deadline) {
			return unit.Position{}, result.New(result.NoReplica, "group %s: no recent enough position of the primary is known", g.name)
		}
		select {
		case <-g.queryPosition(false, g.engine.now().Sub(since)/2):
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return unit.Position{}, result.New(result.ShuttingDown, "the daemon is shutting down")
		}
	}
}

// newestFloor returns the newest position that the primary has reported, and when the request
// for it was sent.
func (g *group) newestFloor() (unit.Position, unit.Instant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.floors.Newest()
}

// queryPosition requests a position of the primary that is no older than maxAge. All waiting
// reads share one request. It is not forwarded to the primary's home if direct is set. The
// channel is closed when the request has ended.
func (g *group) queryPosition(direct bool, maxAge time.Duration) <-chan struct{} {
	query := &g.positionQueries[0]
	if direct {
		query = &g.positionQueries[1]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if *query == nil {
		ended := make(chan struct{})
		*query = ended
		go func() {
			g.fetchPosition(direct, maxAge)
			g.mu.Lock()
			*query = nil
			g.mu.Unlock()
			close(ended)
		}()
	}
	return *query
}

// fetchPosition sends one position request. It sleeps for primaryPollInterval if there is
// no primary or the request fails, so that callers don't loop without delay.
func (g *group) fetchPosition(direct bool, maxAge time.Duration) {
	t, l, ok := g.primary()
	if !ok {
		time.Sleep(primaryPollInterval)
		return
	}
	ctx, stop := context.WithTimeout(g.engine.ctx, positionTimeout)
	defer stop()
	request := func(ctx context.Context) (unit.Position, unit.Instant, bool) { return t.position(ctx, maxAge) }
	if direct {
		request = t.positionDirectly
	}
	p, at, ok := request(ctx)
	if !ok || !g.engine.authority.Holds(l) {
		time.Sleep(primaryPollInterval)
		return
	}
	g.observe(p, at)
}

// readCandidates returns the instances that may serve a read with the given staleness
// bound. Suspected instances are returned only if there are no others.
func (g *group) readCandidates(excluded map[unit.InstanceName]bool, bound time.Duration) []router.ReadCandidate {
	l, _ := g.engine.authority.Primary(g.name)
	now := time.Now()
	var healthy, suspected []router.ReadCandidate
	for _, t := range g.allTargets() {
		h := t.health(now)
		if h.unreachable || h.leaving || excluded[t.name()] {
			continue
		}
		distance := t.distance
		if h.noDirectPath {
			distance = router.OtherRegion // It is reached through another daemon.
		}
		candidate := router.ReadCandidate{
			Instance: t.name(), Distance: distance, ExpectedLatency: h.expectedLatency,
			Primary: t.name() == l.Primary, Behind: t.behind(bound, now), FarBehind: t.farBehindFor(now) > farBehindDelay,
		}
		if h.suspected {
			suspected = append(suspected, candidate)
		} else {
			healthy = append(healthy, candidate)
		}
	}
	if len(healthy) == 0 {
		return suspected
	}
	return healthy
}

// chooseRead returns the instance for a read of the route. [group.recordRead] must be called once
// for each instance that it returns.
func (g *group) chooseRead(r manifest.Route, excluded map[unit.InstanceName]bool, bound time.Duration) (router.ReadCandidate, bool) {
	candidates := g.readCandidates(excluded, bound)
	now := time.Now()
	g.mu.Lock()
	chosen, ok := g.spreader.Choose(candidates, router.ReadRequest{Target: r.TargetLatency}, now, rand.Float64())
	share, risen := 0.0, false
	if ok {
		share, risen = g.crossings.record(chosen.Distance, now)
	}
	g.mu.Unlock()
	if ok {
		g.engine.meters.readsByDistance[chosen.Distance].Inc(1)
	}
	if risen {
		g.logCrossings(share, candidates, r.TargetLatency)
	}
	return chosen, ok
}

// recordRead records how a read ended that chooseRead chose the instance for.
func (g *group) recordRead(name unit.InstanceName, err *result.Error) {
	outcome := router.Outcome{Sent: err == nil}
	if err != nil {
		switch err.Code {
		case result.StatementFailed, result.StatementTimeout, result.ConnectionLost, result.ConnectionUnprepared,
			result.InstanceUnreachable, result.InstanceRefuses:
			outcome = router.Outcome{Sent: true, Failed: true}
		case result.InstanceBehind:
			outcome.Sent = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spreader.Record(name, outcome, time.Now())
}

// observeLoad records the load in a reply, if there is one.
func (g *group) observeLoad(name unit.InstanceName, load *router.Report) {
	if load == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spreader.Observe(name, *load, time.Now())
}

// takeRetry takes one retry from the retry budget and reports whether there was one.
func (g *group) takeRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget.Take()
}

// countRequest counts a request, which adds to the retry budget.
func (g *group) countRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget.RecordRequest()
}

// priorityOf returns the priority of a statement outside of a transaction.
func priorityOf(writes, primary bool) limiter.Priority {
	switch {
	case writes:
		return limiter.Write
	case primary:
		return limiter.PrimaryRead
	}
	return limiter.StaleRead
}
