package engine

import (
	"cmp"
	"context"
	"iter"
	"slices"
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/placer"
	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Daemon is a daemon that may be the home of instances.
type Daemon struct {
	placer.Candidate
	// Address is the host:port at which it serves other daemons.
	Address string
}

// homeCount is the number of daemons that are tried, in order, before a daemon opens
// connections of its own. If daemons are cut off from others, one of them is likely on each side.
const homeCount = 5

// homeIdleTimeout is how long a home keeps an unused connection. It is below the minute after
// which instances close them.
const homeIdleTimeout = 45 * time.Second

// homeRefillRate bounds the rate at which a home opens connections, in connections per second.
// A home with more callers than connections closes one to open another.
const homeRefillRate = 80

// homeNumerator and homeDenominator are the share of an instance's connections that its first home
// may open, and standbyDivisor is the inverse of the share of each other home.
const (
	homeNumerator, homeDenominator = 3, 4
	standbyDivisor                 = 6
)

// memberList is the list of the daemons that share the instances. It is immutable.
type memberList struct {
	daemons   []Daemon // In the order of their ids. Empty if the list is not known yet.
	addresses map[unit.DaemonID]string
}

// SetDaemons sets the daemons that share the instances, this one included. An empty list means
// that they are not known yet; without a call, this daemon is the only one. It may be called
// often: an unchanged list costs little.
func (e *Engine) SetDaemons(daemons []Daemon) {
	daemons = slices.Clone(daemons)
	slices.SortFunc(daemons, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(daemons, e.members.Load().daemons) {
		return
	}
	next := &memberList{daemons: daemons, addresses: make(map[unit.DaemonID]string, len(daemons))}
	for _, d := range daemons {
		next.addresses[d.ID] = d.Address
	}
	e.members.Store(next)
	e.resize()
}

// homes returns the homes of each instance that is reached through homes, by instance. The first
// one owns the connections.
func (e *Engine) homes(m *manifest.Manifest, regions map[unit.DomainName]unit.RegionName) map[unit.InstanceName][]unit.DaemonID {
	current := e.members.Load()
	if e.forwarder == nil || len(current.daemons) == 0 {
		return nil
	}
	accounts := 0
	for _, c := range m.Callers {
		if len(c.Keys) > 0 {
			accounts++
		}
	}
	var shared []manifest.Instance
	for _, g := range m.Groups {
		for _, i := range g.Instances {
			if placer.UseHomes(len(current.daemons), i.Connections, accounts) {
				shared = append(shared, i)
			}
		}
	}
	if len(shared) == 0 {
		return nil
	}
	candidates := make([]placer.Candidate, len(current.daemons))
	for n, d := range current.daemons {
		candidates[n] = d.Candidate
	}
	return placer.Assign(candidates, shared, regions, homeCount)
}

// setHomes sets the homes of the target. It has none if each daemon uses the instance directly.
func (t *target) setHomes(homes []unit.DaemonID) {
	t.mu.Lock()
	changed := !slices.Equal(t.homes, homes)
	wasHome := len(t.homes) > 0 && t.homes[0] == t.engine.self
	t.homes = homes
	t.mu.Unlock()
	isHome := len(homes) > 0 && homes[0] == t.engine.self
	if changed && isHome != wasHome {
		t.engine.logger.Info("home of an instance changed", "instance", t.name(), "group", t.group.name, "home", homes, "here", isHome)
	}
}

// usesHome reports whether this daemon reaches the target through another one.
func (t *target) usesHome() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.homes) > 0 && t.homes[0] != t.engine.self
}

// limits returns this daemon's limits for the target.
func (t *target) limits() (limiter.Limits, pooler.Limits) {
	t.mu.Lock()
	homes := t.homes
	t.mu.Unlock()
	if len(homes) == 0 {
		return t.engine.limits(t.instance)
	}
	return homeLimits(t.instance, slices.Index(homes, t.engine.self), t.engine.separatesCallers())
}

// homeLimits returns the limits of a daemon with the given rank among the homes of an instance,
// or -1. The first one leaves connections for the next, and for those that the instance still counts
// for a daemon that lost power. The others open connections only if it fails.
func homeLimits(i manifest.Instance, rank int, callers bool) (limiter.Limits, pooler.Limits) {
	pool := pooler.Limits{Share: 1, Opening: 1, Rate: refillRate, IdleTimeout: unusedTimeout}
	switch {
	case rank == 0:
		pool = pooler.Limits{
			Share: max(1, i.Connections*homeNumerator/homeDenominator), Warm: i.Slots, Opening: openingLimit, Rate: homeRefillRate,
			IdleTimeout: homeIdleTimeout,
		}
	case rank > 0:
		pool = pooler.Limits{Share: max(1, i.Connections/standbyDivisor), Opening: openingLimit, Rate: refillRate, IdleTimeout: idleTimeout}
	}
	if callers {
		pool.Warm = 0 // The next caller isn't known.
	}
	slots := min(pool.Share, i.Slots+extraStatements)
	return limiter.Limits{Slots: slots, Connections: pool.Share, Queue: queueLimit, Ranked: true}, pool
}

// lease returns a lease of the target, through its home if it has one.
func (t *target) lease(ctx context.Context, r LeaseRequest) Lease {
	t.mu.Lock()
	homes := t.homes
	t.mu.Unlock()
	if len(homes) == 0 || homes[0] == t.engine.self {
		return t.newLease(ctx, r)
	}
	return &forwardedLease{ctx: ctx, target: t, request: r, homes: homes}
}

// forwardedLease is a lease through the home of an instance.
type forwardedLease struct {
	ctx     context.Context
	target  *target
	request LeaseRequest
	homes   []unit.DaemonID
	// chosen is the lease through the first home that was reached. It is nil before the first
	// statement.
	chosen Lease
	direct bool // Whether chosen is over this daemon's own connections.
}

// Run implements [Lease]. The first statement is sent to the first home that can be reached and
// reaches the instance itself. If there is none, the daemon uses the instance directly.
func (l *forwardedLease) Run(c Call, deadline time.Time) (Reply, *result.Error) {
	if l.chosen != nil {
		return l.run(c, deadline)
	}
	e := l.target.engine
	for address := range e.reachable(l.homes) {
		l.chosen = e.forwarder.Lease(l.ctx, address, l.request)
		reply, err := l.run(c, deadline)
		if err == nil || !isHomeFailure(err.Code) || !time.Now().Before(l.request.Deadline) {
			return reply, err
		}
		l.chosen.End()
	}
	e.meters.homesUnreachable.Inc(1)
	l.chosen, l.direct = l.target.newLease(l.ctx, l.request), true
	return l.run(c, deadline)
}

// reachable yields the addresses of the homes that have not failed recently, up to this daemon.
func (e *Engine) reachable(homes []unit.DaemonID) iter.Seq[string] {
	return func(yield func(string) bool) {
		addresses := e.members.Load().addresses
		for _, home := range homes {
			if home == e.self {
				return
			}
			address := addresses[home]
			if address == "" || !e.forwarder.Available(address) {
				continue
			}
			if !yield(address) {
				return
			}
		}
	}
}

// isHomeFailure reports whether a request that has not run for this reason may run through
// another home.
func isHomeFailure(c result.Code) bool {
	switch c {
	case result.HomeUnreachable, result.InstanceUnreachable, result.InstanceRefuses, result.ShuttingDown:
		return true
	}
	return false
}

// run runs the statement and records the load and the state of the instance.
func (l *forwardedLease) run(c Call, deadline time.Time) (Reply, *result.Error) {
	if l.direct {
		return l.chosen.Run(c, deadline)
	}
	t := l.target
	t.beginLoad()
	began := time.Now()
	reply, err := l.chosen.Run(c, deadline)
	took := time.Since(began)
	if err == nil && reply.Err != nil && reply.Err.Code == result.Overloaded {
		took += shedPenalty
	}
	t.endLoad(took)
	t.group.observeLoad(t.name(), reply.Load)
	t.engine.meters.forwarded.Inc(1)
	return reply, err
}

// End implements [Lease].
func (l *forwardedLease) End() {
	if l.chosen != nil {
		l.chosen.End()
	}
}

// position requests the position of the primary through its home, or directly. It returns when
// every write that was acknowledged before is included.
func (t *target) position(ctx context.Context, maxAge time.Duration) (unit.Position, unit.Instant, bool) {
	e := t.engine
	t.mu.Lock()
	homes := t.homes
	t.mu.Unlock()
	for address := range e.reachable(homes) {
		sentAt := e.now()
		p, age, err := e.forwarder.Position(ctx, address, t.group.name, maxAge)
		if err == nil {
			return p, sentAt.Add(-age), !p.IsZero()
		}
		if !isHomeFailure(err.Code) {
			return p, 0, false
		}
	}
	return t.positionDirectly(ctx)
}

// positionDirectly requests the position of the primary over this daemon's own connections.
func (t *target) positionDirectly(ctx context.Context) (unit.Position, unit.Instant, bool) {
	sentAt := t.engine.now()
	reply, err := t.requestOutOfBand(ctx, Status{})
	// An instance that refuses the request for lack of a slot still reports its position.
	return reply.Position, sentAt, err == nil && !reply.Position.IsZero()
}

// Position implements [Local]. It does not forward the request further, because the daemons may
// have different views of who is the home.
func (e *Engine) Position(ctx context.Context, group unit.GroupName, maxAge time.Duration) (unit.Position, time.Duration, *result.Error) {
	g, ok := e.current.Load().groups[group]
	if !ok {
		return unit.Position{}, 0, result.New(result.NoPrimary, "no group %s is known", group)
	}
	since := e.now().Add(-maxAge)
	for {
		if p, at, ok := g.newestFloor(); ok && at >= since {
			return p, e.now().Sub(at), nil
		}
		if t, _, usable := g.primary(); t != nil && !usable {
			return unit.Position{}, 0, result.New(result.InstanceUnreachable, "this daemon does not reach instance %s", t.name())
		}
		select {
		case <-g.queryPosition(true, 0):
		case <-ctx.Done():
			return unit.Position{}, 0, result.New(result.NoPrimary, "group %s: the primary did not report its position in time", group)
		case <-e.ctx.Done():
			return unit.Position{}, 0, result.New(result.ShuttingDown, "the daemon is shutting down")
		}
	}
}
