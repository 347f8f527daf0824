package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/promoter"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/unit"
)

// groupWatcher runs the promoter of one group. Each has a lock of its own, so that
// groups do not wait for each other.
type groupWatcher struct {
	watcher *Watcher
	name    unit.GroupName
	// ctx ends the calls in flight when the groupWatcher is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	promoter *promoter.Promoter
	links    map[unit.InstanceName]*link
	timer    *time.Timer
	// waiters receive the result of the planned change in progress.
	waiters []chan promoter.ChangeEnded
	changed chan struct{} // Closed and replaced when the known primary changes.
	closed  bool
}

func (w *Watcher) newGroupWatcher(self unit.DaemonID, group manifest.Group, rank int) *groupWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	options := append([]promoter.Option{promoter.WithRank(rank)}, w.promoterOptions...)
	g := &groupWatcher{
		watcher: w, name: group.Name, ctx: ctx, cancel: cancel,
		promoter: promoter.New(proposer(self), members(group), options...),
		links:    make(map[unit.InstanceName]*link), changed: make(chan struct{}),
	}
	g.updateLinks(group)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(0, g.tick)
	return g
}

// reconfigure passes a newer configuration of the group to the promoter.
func (g *groupWatcher) reconfigure(group manifest.Group, rank int) {
	g.updateLinks(group)
	g.handle(promoter.Reconfigured{Moment: now(), Members: members(group)})
	g.handle(promoter.Ranked{Moment: now(), Rank: rank})
}

// updateLinks opens and closes links so that there is one for each instance of the
// group.
func (g *groupWatcher) updateLinks(group manifest.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	links := make(map[unit.InstanceName]*link)
	for _, i := range group.Instances {
		l := g.links[i.Name]
		if l == nil || l.address != i.Address {
			l = &link{group: g, name: i.Name, address: i.Address, options: g.controlOptions()}
		}
		links[i.Name] = l
	}
	for name, l := range g.links {
		if links[name] != l {
			go l.close()
		}
	}
	g.links = links
}

func (g *groupWatcher) controlOptions() []controller.Option {
	return append([]controller.Option{controller.WithDatabase(string(g.name))}, g.watcher.controlOptions...)
}

func (g *groupWatcher) tick() {
	g.handle(promoter.Tick{Moment: now()})
}

// handle passes an event to the promoter and executes the effects.
func (g *groupWatcher) handle(event promoter.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	before := g.promoter.Primary()
	for _, effect := range g.promoter.Handle(event) {
		g.execute(effect)
	}
	if g.promoter.Primary() != before {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	g.timer.Reset(time.Until(g.promoter.Next()))
}

func (g *groupWatcher) execute(effect promoter.Effect) {
	switch e := effect.(type) {
	case promoter.Probe:
		g.watcher.meters.probes.Inc(1)
		g.withLink(e.Instance, func(l *link) { l.probe(e) })
	case promoter.Grant:
		g.call(e.Instance, promoter.GrantCall, e.Timeout, func(ctx context.Context, c *controller.Conn) (instance.Report, error) {
			return c.Grant(ctx, e.Term, e.Proposer)
		})
	case promoter.Promote:
		g.call(e.Instance, promoter.PromoteCall, e.Timeout, func(ctx context.Context, c *controller.Conn) (instance.Report, error) {
			return c.Promote(ctx, e.Term, e.Proposer)
		})
	case promoter.Follow:
		g.call(e.Instance, promoter.FollowCall, e.Timeout, func(ctx context.Context, c *controller.Conn) (instance.Report, error) {
			return c.Follow(ctx, e.Term, e.Primary, e.Address)
		})
	case promoter.Quiesce:
		g.withLink(e.Instance, func(l *link) { l.quiesce(e) })
	case promoter.Emit:
		g.record(e.Event)
	case promoter.ChangeEnded:
		g.notifyWaiters(e)
	}
}

func (g *groupWatcher) call(name unit.InstanceName, kind promoter.Call, timeout time.Duration, do callFunc) {
	g.withLink(name, func(l *link) { l.call(kind, timeout, do) })
}

// withLink calls do with the link to the instance in a new goroutine. It does nothing
// if the instance is no longer a member of the group.
func (g *groupWatcher) withLink(name unit.InstanceName, do func(*link)) {
	if l := g.links[name]; l != nil {
		go do(l)
	}
}

func (g *groupWatcher) record(event recorder.Event) {
	event.Group = g.name
	g.watcher.recorder.Record(event)
	switch event.Kind {
	case recorder.PrimarySuspected:
		g.watcher.logger.Warn("primary suspected", "group", g.name, "instance", event.Instance, "term", event.Term, "reason", event.Detail)
	case recorder.PrimaryPromoted:
		g.watcher.meters.promotions.Inc(1)
		g.watcher.logger.Info("primary promoted", "group", g.name, "instance", event.Instance, "term", event.Term, "reason", event.Detail)
	}
}

func (g *groupWatcher) reports() []instance.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promoter.Reports()
}

func (g *groupWatcher) primary() promoter.Primary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promoter.Primary()
}

// changePrimary requests a planned change of primary and waits until it ends.
func (g *groupWatcher) changePrimary(ctx context.Context, target unit.InstanceName) (unit.InstanceName, error) {
	if err := g.awaitPrimary(ctx); err != nil {
		return "", err
	}
	result := make(chan promoter.ChangeEnded, 1)
	g.mu.Lock()
	g.waiters = append(g.waiters, result)
	g.mu.Unlock()
	g.handle(promoter.ChangeRequested{Moment: now(), Target: target})
	select {
	case ended := <-result:
		return ended.Primary.Instance, trace.Wrap(ended.Err)
	case <-ctx.Done():
		return "", trace.Wrap(ctx.Err(), "watcher: change of primary")
	case <-g.ctx.Done():
		return "", trace.ConnectionProblem(nil, "watcher: stopped before the change of primary ended")
	}
}

// awaitPrimary waits until the primary and a majority of the instances have reported.
func (g *groupWatcher) awaitPrimary(ctx context.Context) error {
	for {
		g.mu.Lock()
		known, changed := g.promoter.PrimaryEstablished(), g.changed
		g.mu.Unlock()
		if known {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(primaryPollInterval):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "watcher: the primary or a majority of the instances has not reported")
		}
	}
}

// primaryPollInterval is the time between two checks for an established primary. The
// majority can become complete without a change of the known primary, which is the only
// event that changed signals.
const primaryPollInterval = 20 * time.Millisecond

func (g *groupWatcher) notifyWaiters(ended promoter.ChangeEnded) {
	for _, waiter := range g.waiters {
		waiter <- ended
	}
	g.waiters = nil
}

func (g *groupWatcher) close() {
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.timer.Stop()
	for _, l := range g.links {
		go l.close()
	}
}

func members(group manifest.Group) []promoter.Member {
	var list []promoter.Member
	for _, i := range group.Instances {
		list = append(list, promoter.Member{Name: i.Name, Address: i.Address, Leaving: i.Leaving})
	}
	return list
}

func now() promoter.Moment {
	return promoter.Moment{At: time.Now(), Random: rand.Float64()}
}
