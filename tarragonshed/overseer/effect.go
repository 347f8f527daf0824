package overseer

import (
	"context"
	"errors"
	"fmt"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/replacer"
	"tarragonshed.example/unit"
)

// apply carries out an effect, and reports whether the change has ended.
func (c *primaryChange) apply(effect replacer.Effect) bool {
	switch effect := effect.(type) {
	case replacer.StepDown:
		c.mu.Lock()
		permitted := c.recordOrder()
		c.mu.Unlock()
		if !permitted {
			return false
		}
		go func() {
			received, ok := c.stepDown(c.row.Group, c.row.Primary, effect.Term)
			if ok && c.reach(c.row.Group, c.row.Primary).Incarnation == c.row.Incarnation {
				c.send(replacer.SteppedDown{Received: received})
			}
		}()
	case replacer.Survey:
		for _, name := range effect.Instances {
			go c.survey(name)
		}
	case replacer.Promote:
		c.logDecision(effect)
		go c.promote(effect.Instance)
	case replacer.Verify:
		go func() { c.send(replacer.Verified{Status: c.status(effect.Instance)}) }()
	case replacer.Publish:
		go c.publish(effect)
	case replacer.Stop:
		c.logEnd(effect)
		return true
	}
	return false
}

// logDecision logs which instance is to be promoted and the statuses that decided it. A retry
// of the same promotion is not logged.
func (c *primaryChange) logDecision(p replacer.Promote) {
	statuses := c.replacer.Statuses()
	decision := fmt.Sprint(p.Instance, statuses)
	if decision == c.decided {
		return
	}
	c.decided = decision
	log := c.logger.Info
	if c.replacer.Unproven() {
		c.meters.unproven.Inc(1)
		log = c.logger.Warn
	}
	log("promotion decided", "group", c.row.Group, "instance", p.Instance, "old-primary", c.row.Primary, "term", c.row.Term,
		"statuses", statuses, "claimed", c.now().Sub(c.claimedAt), "acknowledged", c.replacer.Acknowledged(),
		"may-lose-acknowledged-writes", c.replacer.Unproven())
}

// logEnd logs and counts the outcome of the change.
func (c *primaryChange) logEnd(s replacer.Stop) {
	took := c.now().Sub(c.claimedAt)
	switch {
	case s.Err != nil:
		c.meters.failed.Inc(1)
		c.logger.Warn("change of primary failed", "group", c.row.Group, "cause", s.Err)
	case s.Cancelled:
		c.logger.Info("change of primary cancelled", "group", c.row.Group, "primary", c.row.Primary, "took", took)
	default:
		c.logger.Info("change of primary completed", "group", c.row.Group, "took", took)
		c.logLoss()
	}
}

// logLoss logs and counts a completed change that has lost acknowledged writes.
func (c *primaryChange) logLoss() {
	end, lost := c.replacer.Loss()
	if !lost {
		return
	}
	c.meters.lossy.Inc(1)
	c.logger.Warn("acknowledged writes were lost with the old primary", "group", c.row.Group, "old-primary", c.row.Primary,
		"log-ends", end, "acknowledged", c.replacer.Acknowledged(), "without-proof", c.replacer.Unproven())
}

// stepDown requests an instance to step down if it leads a term below the given one. It
// returns the position that the instance has received.
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

// status queries the status of an instance. Without a response the result holds only the
// name of the instance.
func (c *primaryChange) status(name unit.InstanceName) replacer.Status {
	ctx, stop := context.WithTimeout(c.ctx, callTimeout)
	defer stop()
	s, err := c.instanceStatus(ctx, c.row.Group, name)
	if err != nil {
		c.logger.Info("instance status not available", "group", c.row.Group, "instance", name, "cause", err)
		return replacer.Status{Instance: name}
	}
	return replacer.Status{Instance: name, Primary: s.Primary, Received: s.Received, Term: s.Term}
}

// survey queries the status of an instance, unless a query is still in flight.
func (c *primaryChange) survey(name unit.InstanceName) {
	if _, inFlight := c.queried.LoadOrStore(name, true); inFlight {
		return
	}
	defer c.queried.Delete(name)
	if s := c.status(name); s.Term > 0 {
		c.logger.Info("replica surveyed", "group", c.row.Group, "instance", name, "primary", s.Primary, "term", s.Term, "received", s.Received)
		c.send(replacer.Surveyed{Status: s})
	}
}

// mayPromote reports whether the duty is confirmed to be held, and if so records the order.
func (c *primaryChange) mayPromote() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.auth.HoldsDuty(c.duty.Fence, c.now()) {
		return false
	}
	return c.recordOrder()
}

// recordOrder records that an order is about to be given. It returns false if the claim was
// lost and none may be given. The caller holds mu.
func (c *primaryChange) recordOrder() bool {
	if c.lost() {
		return false
	}
	c.auth.RecordOrder(c.row.Group)
	return true
}

// promote requests the promotion, provided that the duty is confirmed to be held.
func (c *primaryChange) promote(name unit.InstanceName) {
	if !c.mayPromote() {
		c.confirmNow()
		c.send(replacer.Promoted{Instance: name, Result: replacer.Unknown})
		return
	}
	ctx, stop := context.WithTimeout(c.ctx, callTimeout)
	defer stop()
	outcome := c.platform.Promote(ctx, c.row.Group, name, c.duty)
	c.logger.Info("promotion requested", "group", c.row.Group, "instance", name, "fence", c.duty.Fence, "answer", outcome)
	c.send(replacer.Promoted{Instance: name, Result: outcome})
}

// publish writes the row that names the new primary.
func (c *primaryChange) publish(p replacer.Publish) {
	reach := c.reach(c.row.Group, p.Primary)
	l := authorizer.Leadership{
		Group: c.row.Group, State: authorizer.Leading, Primary: p.Primary, Incarnation: reach.Incarnation, Term: p.Term, Fence: c.duty.Fence,
	}
	ctx, stop := context.WithTimeout(c.ctx, callTimeout)
	defer stop()
	current, unchanged, err := c.readRow(ctx)
	if err != nil {
		c.send(replacer.Published{Refused: errors.Is(err, ErrOtherEra)})
		return
	}
	if current != c.row {
		c.send(replacer.Published{Done: current == l, Refused: current != l})
		return
	}
	_, err = c.commit(ctx, Transaction{
		Era:      c.era,
		Expected: []Expectation{unchanged},
		Puts:     []Put{encode(groupKey(c.row.Group), l), epochPut()},
	})
	// After a conflict, the next read of the row shows which transaction came first.
	c.send(replacer.Published{Done: err == nil})
}
