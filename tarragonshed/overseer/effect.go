package overseer

import (
	"context"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/replacer"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
)

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
		c.ended(effect)
		return true
	}
	return false
}

// ended writes the line about the end of the change.
func (c *running) ended(s replacer.Stop) {
	took := c.now().Sub(c.since)
	switch {
	case s.Err != nil:
		c.figures.failed.Inc(1)
		c.logger.Warn("change of primary not made", "group", c.row.Group, "cause", s.Err)
	case s.Cancelled:
		c.logger.Info("change of primary called off", "group", c.row.Group, "primary", c.row.Primary, "took", took)
	default:
		c.logger.Info("change of primary made", "group", c.row.Group, "took", took)
	}
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
		c.send(replacer.Promoted{Instance: name, Result: replacer.Unknown})
		return
	}
	ctx, stop := context.WithTimeout(c.ctx, callTimeout)
	defer stop()
	answer := c.platform.Promote(ctx, c.row.Group, name, c.duty)
	c.logger.Info("promotion asked for", "group", c.row.Group, "instance", name, "fence", c.duty.Fence, "answer", answer)
	c.send(replacer.Promoted{Instance: name, Result: answer})
}

// publish writes the row that names the new primary.
func (c *running) publish(p replacer.Publish) {
	reach := c.reach(c.row.Group, p.Primary)
	l := authorizer.Leadership{
		Group: c.row.Group, State: authorizer.Leading, Primary: p.Primary, Incarnation: reach.Incarnation, Term: p.Term, Fence: c.duty.Fence,
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
