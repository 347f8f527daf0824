package home

import (
	"context"
	"sync"
	"time"

	"tarragonshed.example/acknowledger"
	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/recorder"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/unit"
)

// The timing of report requests to the instances of the group.
const (
	minResolveInterval = 20 * time.Millisecond
	maxResolveInterval = 250 * time.Millisecond
	resolveTimeout     = 500 * time.Millisecond
	// resolveDelay is how long a wait lasts before the instances are asked for
	// reports, even if no control connection is known to be lost.
	resolveDelay = 250 * time.Millisecond
	// recordInterval is the minimum time between two recorded write acknowledgments
	// of one term.
	recordInterval = 20 * time.Millisecond
)

// waitResult is the outcome of a wait for a majority.
type waitResult struct {
	position unit.Position
	err      *result.Error
}

// wait is a pending wait for a majority.
type wait struct {
	answer chan waitResult
	since  time.Time
}

// group holds the acknowledger of one group and serializes access to it.
type group struct {
	home *Home
	name unit.GroupName

	mu        sync.Mutex
	core      *acknowledger.Acknowledger
	instances int
	waits     map[acknowledger.WaitID]wait
	next      acknowledger.WaitID
	resolving bool
	primary   unit.InstanceName
	term      unit.Term
	// unreachable holds the instances that can't be reached and have pending
	// responses.
	unreachable map[unit.InstanceName]bool
	// recorded is the position of the latest acknowledged write that was recorded as
	// an event.
	recorded   unit.Position
	recordedAt time.Time
}

func newGroup(h *Home, g manifest.Group) *group {
	return &group{
		home: h, name: g.Name,
		core: acknowledger.New(len(g.Instances)), instances: len(g.Instances),
		waits:       make(map[acknowledger.WaitID]wait),
		unreachable: make(map[unit.InstanceName]bool),
	}
}

// setUnreachable records whether the target can't be reached while responses are
// pending. If so, the group requests reports from all instances to find a new
// primary. Once a later term has another primary, it closes the connections with
// pending responses.
func (g *group) setUnreachable(t *target, unreachable bool) {
	report, _, _ := t.last()
	g.mu.Lock()
	replaced := unreachable && g.term > report.Term && g.primary != t.name
	if unreachable && !replaced {
		g.unreachable[t.name] = true
		g.resolve()
	} else {
		delete(g.unreachable, t.name)
	}
	g.mu.Unlock()
	if replaced {
		t.closePending()
	}
}

// idle reports whether reports of other instances are not needed. The caller holds
// the lock.
func (g *group) idle() bool { return len(g.waits) == 0 && len(g.unreachable) == 0 }

// knownPrimary returns the primary according to the reports received, or an empty
// name.
func (g *group) knownPrimary() unit.InstanceName {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// covers reports whether a majority is known to hold p.
func (g *group) covers(p unit.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Covers(p)
}

// size returns the number of instances of the group.
func (g *group) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

// await starts a wait for a majority. The channel receives exactly one value, unless
// the wait is abandoned.
func (g *group) await(o observation, wrote bool, deadline time.Time) (acknowledger.WaitID, <-chan waitResult) {
	answer := make(chan waitResult, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	id := g.next
	g.waits[id] = wait{answer: answer, since: time.Now()}
	g.apply(g.core.Step(acknowledger.Await{ID: id, Position: o.position, Term: o.term, Wrote: wrote, Deadline: deadline}))
	return id, answer
}

// acknowledged records an event for an acknowledged write: for the first one of a
// term, and then at most once per recordInterval.
func (g *group) acknowledged(name unit.InstanceName, p unit.Position) {
	g.mu.Lock()
	now := time.Now()
	due := p.Term != g.recorded.Term || now.Sub(g.recordedAt) >= recordInterval
	if due {
		g.recorded, g.recordedAt = p, now
	}
	g.mu.Unlock()
	if due {
		g.home.recorder.Record(recorder.Event{Kind: recorder.WriteAcknowledged, Group: g.name, Instance: name, Term: p.Term, Position: p})
	}
}

// abandon ends a wait whose result is no longer needed.
func (g *group) abandon(id acknowledger.WaitID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waits, id)
	g.core.Step(acknowledger.Abandon{ID: id})
}

func (g *group) receive(r instance.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Primary != "" && r.Term >= g.term {
		g.primary, g.term = r.Primary, r.Term
	}
	g.apply(g.core.Step(acknowledger.Reported{Report: r}))
}

func (g *group) lost(name unit.InstanceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == g.primary {
		g.apply(g.core.Step(acknowledger.Disconnected{Instance: name}))
	}
}

func (g *group) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waits) == 0 {
		return
	}
	g.apply(g.core.Step(acknowledger.Expire{Now: now}))
	for _, w := range g.waits {
		if now.Sub(w.since) > resolveDelay {
			g.resolve()
			return
		}
	}
}

// apply executes the effects of the acknowledger. The caller holds the lock.
func (g *group) apply(effects []acknowledger.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case acknowledger.Release:
			g.finishWait(effect.ID, waitResult{position: effect.Position})
		case acknowledger.Refuse:
			g.home.recorder.Record(recorder.Event{Kind: recorder.WriteUnconfirmed, Group: g.name, Detail: effect.Err.Error()})
			g.finishWait(effect.ID, waitResult{err: effect.Err})
		case acknowledger.RequestReports:
			g.resolve()
		case acknowledger.RequestHistory:
			g.resolve()
		}
	}
}

func (g *group) finishWait(id acknowledger.WaitID, r waitResult) {
	if w, ok := g.waits[id]; ok {
		w.answer <- r
		delete(g.waits, id)
	}
}

// resolve requests reports from the group's instances, with backoff, until they are
// no longer needed. The caller holds the lock.
func (g *group) resolve() {
	if g.resolving || g.idle() {
		return
	}
	g.resolving = true
	go func() {
		for wait := minResolveInterval; ; wait = min(2*wait, maxResolveInterval) {
			g.requestReports()
			if g.finishResolving() {
				return
			}
			select {
			case <-time.After(wait):
			case <-g.home.ctx.Done():
				return
			}
		}
	}()
}

func (g *group) finishResolving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resolving = !g.idle()
	return !g.resolving
}

// requestReports requests a report from each instance concurrently.
func (g *group) requestReports() {
	now := g.home.holder.Current()
	if now.Manifest == nil {
		return
	}
	configured, ok := now.Manifest.Group(g.name)
	if !ok {
		return
	}
	var requests sync.WaitGroup
	for _, i := range configured.Instances {
		requests.Go(func() { g.requestReport(i) })
	}
	requests.Wait()
}

// requestReport requests a report from one instance, and the history if the instance
// is the primary.
func (g *group) requestReport(i manifest.Instance) {
	ctx, stop := context.WithTimeout(g.home.ctx, resolveTimeout)
	defer stop()
	options := []controller.Option{controller.WithDatabase(string(g.name)), controller.WithUser(g.home.user, g.home.password)}
	c, err := controller.Dial(ctx, g.home.dial, i.Address, options...)
	if err != nil {
		return
	}
	defer c.Close()
	report, err := c.Status(ctx)
	if err != nil {
		return
	}
	g.receive(report)
	if report.Role != instance.Primary {
		return
	}
	history, err := c.History(ctx)
	if err != nil {
		return
	}
	extents := make([]acknowledger.Extent, len(history))
	for n, e := range history {
		extents[n] = acknowledger.Extent{Term: e.Term, First: e.First, Last: e.Last}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.core.Step(acknowledger.HistoryRead{Extents: extents}))
}

// resize applies the number of instances that the manifest lists.
func (g *group) resize(instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = instances
	g.core.Resize(instances)
}
