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
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// callTimeout bounds a call to the store, the platform or an instance in the
	// course of a change.
	callTimeout = 600 * time.Millisecond
	// changeTick is how often a running change is let go on.
	changeTick = 10 * time.Millisecond
	// claimPause is the time before a claim with an unknown outcome is repeated.
	claimPause = 50 * time.Millisecond
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
			o.change(g, row, t.reason)
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
		if !i.SaysPrimary || i.Leaving {
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
			Group: g.Name, State: authorizer.Leading, Primary: i.Name, Life: i.Life, Term: status.Term,
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
func (o *Overseer) change(g manifest.Group, row authorizer.Leadership, why reason) {
	c, ok := o.claim(g.Name, row, why)
	if !ok {
		o.hurry()
		return
	}
	o.figures.changes.Inc(1)
	c.run(g, why)
	o.spread()
}

// running is a change of a primary in its course.
type running struct {
	*Overseer
	row    authorizer.Leadership // As claimed.
	duty   authorizer.Duty
	since  unit.Instant // When the answer to the claim came.
	events chan replacer.Event
	wait   time.Duration
	// holders may have authority over the old primary.
	holders []authorizer.Member
	ctx     context.Context
}

// claim makes the row of the group say that its primary is changing. It returns
// when the outcome is certain.
func (o *Overseer) claim(g unit.GroupName, row authorizer.Leadership, why reason) (*running, bool) {
	o.mu.Lock()
	view := o.auth.View()
	expected := []Expectation{
		o.table.expect(dutyKey), o.table.expect(groupKey(g)), o.table.expect(memberKey(o.self.Daemon)),
	}
	c := &running{Overseer: o, events: make(chan replacer.Event, 64)}
	o.mu.Unlock()
	c.duty = view.Duty
	if c.duty.Holder != o.self.Daemon || c.duty.Incarnation != o.self.Incarnation {
		c.duty = authorizer.Duty{Holder: o.self.Daemon, Incarnation: o.self.Incarnation, Fence: view.Duty.Fence + 1}
	}
	c.row = row
	c.row.State, c.row.Fence, c.row.Changer = authorizer.Changing, c.duty.Fence, o.self.Daemon
	tx := Transaction{
		Expected: expected,
		Puts:     []Put{encode(dutyKey, c.duty), encode(groupKey(g), c.row), epochPut()},
	}
	o.logger.Info("change of primary claimed", "group", g, "primary", row.Primary, "reason", why, "fence", c.duty.Fence)
	for unknown := false; o.ctx.Err() == nil; unknown = true {
		ctx, stop := context.WithTimeout(o.ctx, callTimeout)
		_, err := o.store.Commit(ctx, tx)
		stop()
		switch {
		case err == nil:
			c.since = o.now()
			return c, c.reread()
		case errors.Is(err, ErrNotDone) && !unknown:
			o.logger.Warn("change of primary not claimed", "group", g, "cause", err)
			return nil, false
		case errors.Is(err, ErrConflict):
			return c, unknown && c.isMine() && c.reread()
		}
		o.logger.Warn("outcome of the claim unknown, repeating it", "group", g, "cause", err)
		time.Sleep(claimPause)
	}
	return nil, false
}

// reread confirms the rows as of a moment after the claim: the list says who may
// have authority, and the duty has to be confirmed before the promotion. It returns
// false if the overseer ends.
func (c *running) reread() bool {
	for c.Overseer.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(c.Overseer.ctx, callTimeout)
		err := c.refresh(ctx)
		stop()
		if err != nil {
			time.Sleep(claimPause)
			continue
		}
		c.mu.Lock()
		c.wait, c.holders = c.auth.Wait(), c.auth.Holders()
		c.mu.Unlock()
		return true
	}
	return false
}

// isMine reports whether the row is as this daemon claimed it: an earlier call,
// whose answer was lost, was carried out.
func (c *running) isMine() bool {
	for c.Overseer.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(c.Overseer.ctx, callTimeout)
		current, _, err := c.current(ctx)
		stop()
		if err != nil {
			time.Sleep(claimPause)
			continue
		}
		c.since = c.now()
		return current == c.row
	}
	return false
}

// current reads the row of the group, with the expectation that it stays so.
func (c *running) current(ctx context.Context) (authorizer.Leadership, Expectation, error) {
	row, now, err := c.store.Row(ctx, groupKey(c.row.Group))
	if err != nil {
		return authorizer.Leadership{}, Expectation{}, err
	}
	rows := newTable([]Row{row})
	view, _ := decode(rows, now)
	return view.Leaderships[c.row.Group], rows.expect(groupKey(c.row.Group)), nil
}

// run carries out the steps of the change.
func (c *running) run(g manifest.Group, why reason) {
	var stop context.CancelFunc
	c.ctx, stop = context.WithTimeout(c.Overseer.ctx, replacer.Patience)
	defer stop()
	r, effects := replacer.New(c.plan(g, why), c.since)
	go c.withdraw()
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

func (c *running) plan(g manifest.Group, why reason) replacer.Plan {
	p := replacer.Plan{
		Group: g.Name, Primary: c.row.Primary, Term: c.row.Term,
		Wait: c.wait, Synchronous: g.Synchronous, Planned: why == leaving,
	}
	for _, i := range g.Instances {
		if i.Leaving || i.Name == c.row.Primary && why != stuck && why != reborn {
			continue
		}
		p.Replicas = append(p.Replicas, i.Name)
	}
	for _, m := range c.holders {
		p.Holders = append(p.Holders, m.Daemon)
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

// withdraw asks the other daemons to give up their authority, until they have.
func (c *running) withdraw() {
	missing := c.holders
	for len(missing) > 0 && c.ctx.Err() == nil && c.now().Sub(c.since) < c.wait {
		dropped := make(chan unit.DaemonID, len(missing))
		c.ask(missing, func(ctx context.Context, m authorizer.Member, client peerconnect.OverseerClient) {
			answer, err := client.Withdraw(ctx, connect.NewRequest(&peer.WithdrawRequest{
				Group: string(c.row.Group), Instance: string(c.row.Primary), Term: uint64(c.row.Term) + 1,
			}))
			if err == nil && answer.Msg.Dropped && answer.Msg.Daemon == string(m.Daemon) {
				dropped <- m.Daemon
				c.send(replacer.Dropped{Daemon: m.Daemon})
			}
		})
		close(dropped)
		done := make(map[unit.DaemonID]bool)
		for d := range dropped {
			done[d] = true
		}
		missing = slices.DeleteFunc(slices.Clone(missing), func(m authorizer.Member) bool { return done[m.Daemon] })
		time.Sleep(claimPause)
	}
}

// apply carries out an effect, and reports whether the change has ended.
func (c *running) apply(effect replacer.Effect) bool {
	switch effect := effect.(type) {
	case replacer.StepDown:
		go func() {
			if received, ok := c.stepDown(c.row.Group, c.row.Primary, effect.Term); ok {
				c.send(replacer.SteppedDown{Received: received})
			}
		}()
	case replacer.Survey:
		for _, name := range effect.Instances {
			go c.survey(name)
		}
	case replacer.Promote:
		go c.promote(effect.Instance)
	case replacer.Verify:
		go func() { c.send(replacer.Verified{Status: c.status(effect.Instance)}) }()
	case replacer.Publish:
		go c.publish(effect)
	case replacer.Stop:
		if effect.Err != nil {
			c.figures.failed.Inc(1)
			c.logger.Warn("change of primary not made", "group", c.row.Group, "cause", effect.Err)
		} else {
			c.logger.Info("change of primary made", "group", c.row.Group, "took", c.now().Sub(c.since))
		}
		return true
	}
	return false
}

// stepDown tells an instance that it is no primary below the term.
func (o *Overseer) stepDown(g unit.GroupName, i unit.InstanceName, term unit.Term) (unit.Position, bool) {
	reach := o.reach(g, i)
	if !reach.Known || reach.Unreachable {
		return unit.Position{}, false
	}
	ctx, stop := context.WithTimeout(o.ctx, callTimeout)
	defer stop()
	status, err := (*o.instances.Load()).StepDown(ctx, g, i, term)
	if err != nil {
		o.logger.Info("instance did not step down", "group", g, "instance", i, "cause", err)
		return unit.Position{}, false
	}
	o.logger.Info("instance stepped down", "group", g, "instance", i, "term", term, "received", status.Received)
	return status.Received, true
}

// status asks an instance about itself. Without an answer it names the instance
// alone.
func (c *running) status(name unit.InstanceName) replacer.Status {
	s, err := c.instanceStatus(name)
	if err != nil {
		c.logger.Info("instance did not tell its status", "group", c.row.Group, "instance", name, "cause", err)
		return replacer.Status{Instance: name}
	}
	return replacer.Status{Instance: name, Primary: s.Primary, Received: s.Received, Term: s.Term}
}

func (c *running) instanceStatus(name unit.InstanceName) (engine.InstanceStatus, error) {
	ctx, stop := context.WithTimeout(c.ctx, callTimeout)
	defer stop()
	return (*c.instances.Load()).Status(ctx, c.row.Group, name)
}

func (c *running) survey(name unit.InstanceName) {
	if s := c.status(name); s.Term > 0 {
		c.logger.Info("replica surveyed", "group", c.row.Group, "instance", name, "primary", s.Primary, "term", s.Term, "received", s.Received)
		c.send(replacer.Surveyed{Status: s})
	}
}

// promote makes the call while the duty is known to be held.
func (c *running) promote(name unit.InstanceName) {
	c.mu.Lock()
	held := c.auth.HoldsDuty(c.duty.Fence, c.now())
	c.mu.Unlock()
	if !held {
		c.hurry()
		c.send(replacer.Promoted{Instance: name, Answer: replacer.Unanswered})
		return
	}
	ctx, stop := context.WithTimeout(c.ctx, callTimeout)
	defer stop()
	answer := c.platform.Promote(ctx, c.row.Group, name, c.duty)
	c.logger.Info("promotion asked for", "group", c.row.Group, "instance", name, "fence", c.duty.Fence, "answer", answer)
	c.send(replacer.Promoted{Instance: name, Answer: answer})
}

// publish writes the row that names the new primary.
func (c *running) publish(p replacer.Publish) {
	reach := c.reach(c.row.Group, p.Primary)
	l := authorizer.Leadership{
		Group: c.row.Group, State: authorizer.Leading, Primary: p.Primary, Life: reach.Life, Term: p.Term, Fence: c.duty.Fence,
	}
	ctx, stop := context.WithTimeout(c.ctx, callTimeout)
	defer stop()
	current, unchanged, err := c.current(ctx)
	if err != nil {
		c.send(replacer.Published{})
		return
	}
	if current != c.row {
		c.send(replacer.Published{Done: current == l, Refused: current != l})
		return
	}
	_, err = c.store.Commit(ctx, Transaction{
		Expected: []Expectation{unchanged},
		Puts:     []Put{encode(groupKey(c.row.Group), l), epochPut()},
	})
	// A conflict shows at the next reading of the row who was first.
	c.send(replacer.Published{Done: err == nil})
}
