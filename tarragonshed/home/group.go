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

// The timing of questions to the group's other instances.
const (
	resolveFirst   = 20 * time.Millisecond
	resolveLast    = 250 * time.Millisecond
	resolveTimeout = 500 * time.Millisecond
	// waitPatience is the age of a wait from which on the instances are asked,
	// also when no connection for reports is known to be lost.
	waitPatience = 250 * time.Millisecond
	// recordInterval is how often an acknowledged write is recorded.
	recordInterval = 20 * time.Millisecond
)

// released is the outcome of a wait for a majority.
type released struct {
	position unit.Position
	err      *result.Error
}

// wait is a wait for a majority.
type wait struct {
	answer chan released
	since  time.Time
}

// group is the acknowledger of one group, under one lock.
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
	// stranded are the instances that can't be reached and owe answers.
	stranded map[unit.InstanceName]bool
	// recorded is the latest acknowledged write that an event tells of.
	recorded   unit.Position
	recordedAt time.Time
}

func newGroup(h *Home, g manifest.Group) *group {
	return &group{
		home: h, name: g.Name,
		core: acknowledger.New(len(g.Instances)), instances: len(g.Instances),
		waits:    make(map[acknowledger.WaitID]wait),
		stranded: make(map[unit.InstanceName]bool),
	}
}

// strand notes whether the target can't be reached and owes answers. If so, the
// group's other instances are asked for a new primary; once there is one, the
// answers are given up.
func (g *group) strand(t *target, stranded bool) {
	report, _, _ := t.last()
	g.mu.Lock()
	over := stranded && g.term > report.Term && g.primary != t.name
	if stranded && !over {
		g.stranded[t.name] = true
		g.resolve()
	} else {
		delete(g.stranded, t.name)
	}
	g.mu.Unlock()
	if over {
		t.forsake()
	}
}

// idle reports whether nobody needs the reports of other instances. The lock is
// held.
func (g *group) idle() bool { return len(g.waits) == 0 && len(g.stranded) == 0 }

// known returns the primary as far as reports have told.
func (g *group) known() unit.InstanceName {
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

// await starts a wait. The channel receives one value.
func (g *group) await(s seen, wrote bool, deadline time.Time) (acknowledger.WaitID, <-chan released) {
	answer := make(chan released, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	id := g.next
	g.waits[id] = wait{answer: answer, since: time.Now()}
	g.apply(g.core.Step(acknowledger.Await{ID: id, Position: s.position, Term: s.term, Wrote: wrote, Deadline: deadline}))
	return id, answer
}

// acknowledged records that a write was acknowledged: the first one of a term,
// and one each recordInterval.
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

// abandon ends a wait that nobody needs any more.
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
		if now.Sub(w.since) > waitPatience {
			g.resolve()
			return
		}
	}
}

// apply carries out effects of the acknowledger. The lock is held.
func (g *group) apply(effects []acknowledger.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case acknowledger.Release:
			g.end(effect.ID, released{position: effect.Position})
		case acknowledger.Refuse:
			g.home.recorder.Record(recorder.Event{Kind: recorder.WriteUnconfirmed, Group: g.name, Detail: effect.Err.Error()})
			g.end(effect.ID, released{err: effect.Err})
		case acknowledger.RequestReports:
			g.resolve()
		case acknowledger.RequestHistory:
			g.resolve()
		}
	}
}

func (g *group) end(id acknowledger.WaitID, r released) {
	if w, ok := g.waits[id]; ok {
		w.answer <- r
		delete(g.waits, id)
	}
}

// resolve asks the group's instances until nobody needs their reports any more.
// The lock is held.
func (g *group) resolve() {
	if g.resolving || g.idle() {
		return
	}
	g.resolving = true
	go func() {
		for wait := resolveFirst; ; wait = min(2*wait, resolveLast) {
			g.askAll()
			if g.resolved() {
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

func (g *group) resolved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resolving = !g.idle()
	return !g.resolving
}

// askAll asks each instance once, all at the same time.
func (g *group) askAll() {
	now := g.home.holder.Current()
	if now.Manifest == nil {
		return
	}
	configured, ok := now.Manifest.Group(g.name)
	if !ok {
		return
	}
	var asking sync.WaitGroup
	for _, i := range configured.Instances {
		asking.Go(func() { g.askOne(i) })
	}
	asking.Wait()
}

// askOne asks one instance for its report, and the primary for its history.
func (g *group) askOne(i manifest.Instance) {
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

// resize adopts the number of instances that the manifest lists.
func (g *group) resize(instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = instances
	g.core.Resize(instances)
}
