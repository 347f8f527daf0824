package overseer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/replacer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	// callTimeout bounds a call to the store, the platform or an instance in the
	// course of a change.
	callTimeout = 600 * time.Millisecond
	// changeTick is how often a running change is let go on.
	changeTick = 10 * time.Millisecond
	// claimPause is the time before a claim with an unknown outcome is repeated.
	claimPause = 50 * time.Millisecond
	// regainInterval is the time between two questions whether the old primary of a
	// change is back, and regainTimeout bounds one.
	regainInterval = 100 * time.Millisecond
	regainTimeout  = 300 * time.Millisecond
)

// begin starts a change of the group's primary.
func (o *Overseer) begin(g manifest.Group, row authorizer.Leadership, t *trouble) {
	o.mu.Lock()
	recent := time.Since(o.settled[g.Name]) < changePause
	if recent && t.reason == unreachable && !t.shared || o.changes[g.Name] {
		o.mu.Unlock()
		return
	}
	if t.reason != missing && !o.auth.BeginChange(g.Name) {
		o.mu.Unlock()
		return
	}
	o.changes[g.Name] = true
	o.mu.Unlock()
	go func() {
		began := time.Now()
		if t.reason == missing {
			o.found(g)
		} else {
			o.change(g, row, t)
			o.mu.Lock()
			o.auth.EndChange(g.Name, o.now())
			o.mu.Unlock()
		}
		o.figures.gap.UpdateSince(began)
		o.mu.Lock()
		o.changes[g.Name] = false
		o.settled[g.Name] = time.Now()
		delete(o.troubles, g.Name)
		o.mu.Unlock()
	}()
}

// found writes the first row of a group: the instance that takes itself for the
// primary is the primary.
func (o *Overseer) found(g manifest.Group) {
	for _, i := range g.Instances {
		if !i.ReportsPrimary || i.Leaving {
			continue
		}
		ctx, stop := context.WithTimeout(o.ctx, callTimeout)
		status, err := (*o.instances.Load()).Status(ctx, g.Name, i.Name)
		stop()
		if err != nil || !status.Primary {
			o.logger.Info("instance not found to be the primary", "group", g.Name, "instance", i.Name, "cause", err)
			continue
		}
		l := authorizer.Leadership{
			Group: g.Name, State: authorizer.Leading, Primary: i.Name, Incarnation: i.Incarnation, Term: status.Term,
		}
		ctx, stop = context.WithTimeout(o.ctx, callTimeout)
		_, err = o.store.Commit(ctx, Transaction{
			Expected: []Expectation{{Key: groupKey(g.Name)}},
			Puts:     []Put{encode(groupKey(g.Name), l), epochPut()},
		})
		stop()
		if err != nil && !errors.Is(err, ErrConflict) {
			o.logger.Warn("first row of the group not written", "group", g.Name, "cause", err)
		}
		o.hurry()
		return
	}
}

// change replaces the primary of the group.
func (o *Overseer) change(g manifest.Group, row authorizer.Leadership, t *trouble) {
	c, ok := o.claim(g.Name, row, t)
	if !ok {
		o.hurry()
		return
	}
	o.figures.changes.Inc(1)
	c.run(g)
	o.spread()
}

// running is a change of a primary in its course.
type running struct {
	*Overseer
	trouble    *trouble              // Why.
	row        authorizer.Leadership // As claimed.
	duty       authorizer.Duty
	since      unit.Instant // When the answer to the claim came.
	events     chan replacer.Event
	settlement *authorizer.Revocation // Of the claim.
	ctx        context.Context
}

// run carries out the steps of the change.
func (c *running) run(g manifest.Group) {
	var stop context.CancelFunc
	c.ctx, stop = context.WithTimeout(c.Overseer.ctx, replacer.Timeout)
	defer stop()
	c.withdraw(c.settlement.Remaining())
	r, effects := replacer.New(c.plan(g), c.since)
	if c.trouble.reason == unreachable {
		go c.watchOld()
	}
	ticker := time.NewTicker(changeTick)
	defer ticker.Stop()
	for {
		for _, effect := range effects {
			if c.apply(effect) {
				return
			}
		}
		var event replacer.Event = replacer.Tick{}
		select {
		case event = <-c.events:
		case <-ticker.C:
		case <-c.Overseer.ctx.Done():
			return
		}
		if c.overtaken() {
			c.figures.failed.Inc(1)
			c.logger.Warn("change of primary given up: another daemon has claimed it", "group", c.row.Group)
			return
		}
		effects = r.Step(event, c.now())
	}
}

// overtaken reports whether the row is not this daemon's any more.
func (c *running) overtaken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.auth.View().Leaderships[c.row.Group]
	return l.Fence > c.row.Fence || l.Fence == c.row.Fence && l.Changer != "" && l.Changer != c.row.Changer
}

func (c *running) plan(g manifest.Group) replacer.Plan {
	why := c.trouble.reason
	p := replacer.Plan{
		Group: g.Name, Primary: c.row.Primary, Term: c.row.Term,
		Revocation: c.settlement, Synchronous: g.Synchronous,
		Planned: why == leaving, Cancellable: why == unreachable,
	}
	for _, i := range g.Instances {
		if i.Leaving || i.Name == c.row.Primary && why != stuck && why != reborn {
			continue
		}
		p.Replicas = append(p.Replicas, i.Name)
	}
	return p
}

// send hands an event to the change.
func (c *running) send(event replacer.Event) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// withdraw asks the other daemons to give up their authority, each until it has. They
// tell a primary that leaves to step down, if they reach it.
func (c *running) withdraw(holders []authorizer.Member) {
	request := &peer.WithdrawRequest{Group: string(c.row.Group)}
	if c.trouble.reason == leaving {
		request.Instance, request.Term = string(c.row.Primary), uint64(c.row.Term)+1
	}
	for _, m := range holders {
		go c.withdrawFrom(m, request)
	}
}

// withdrawFrom asks one daemon. One that is about to claim the group itself does not give
// it up before it knows that it came too late.
func (c *running) withdrawFrom(m authorizer.Member, request *peer.WithdrawRequest) {
	for c.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(c.ctx, peerTimeout)
		answer, err := c.peer(m.Address).Withdraw(ctx, connect.NewRequest(request))
		stop()
		if err == nil && answer.Msg.Dropped && answer.Msg.Daemon == string(m.Daemon) {
			c.send(replacer.Dropped{Daemon: m.Daemon})
			return
		}
		time.Sleep(claimPause)
	}
}

// watchOld tells the change when its old primary is reached again and still leads.
func (c *running) watchOld() {
	for c.ctx.Err() == nil {
		time.Sleep(regainInterval)
		ctx, stop := context.WithTimeout(c.ctx, regainTimeout)
		s, err := (*c.instances.Load()).Status(ctx, c.row.Group, c.row.Primary)
		stop()
		reach := c.reach(c.row.Group, c.row.Primary)
		if err != nil || !s.Primary || s.Term != c.row.Term || reach.Leaving || reach.Incarnation != c.row.Incarnation {
			continue
		}
		c.logger.Info("primary reached again", "group", c.row.Group, "primary", c.row.Primary, "term", s.Term)
		c.send(replacer.Recovered{})
		return
	}
}
