package overseer

import (
	"context"
	"errors"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/replacer"
	"tarragonshed.example/unit"
)

// claim sets the row of the group to Changing. It returns when the outcome is certain. The
// result is false if this daemon does not make the change.
func (o *Overseer) claim(g unit.GroupName, row authorizer.Leadership, f *fault) (*primaryChange, bool) {
	o.mu.Lock()
	view := o.auth.View()
	if view.Leaderships[g] != row {
		o.mu.Unlock()
		o.logger.Info("claim of the change of primary not sent: the row has changed", "group", g)
		return nil, false
	}
	expected := []Expectation{
		o.table.expect(dutyKey), o.table.expect(groupKey(g)), o.table.expect(memberKey(o.self.Daemon)),
	}
	c := &primaryChange{Overseer: o, fault: f, events: make(chan replacer.Event, 64)}
	o.mu.Unlock()
	c.duty = view.Duty
	if !c.duty.HeldBy(o.self.Daemon, o.self.Incarnation, view.Era) {
		c.duty = view.Duty.Next(o.self.Daemon, o.self.Incarnation, view.Era)
	}
	c.era = view.Era
	c.row = row
	c.row.State, c.row.Fence, c.row.Changer = authorizer.Changing, c.duty.Fence, o.self.Daemon
	o.mu.Lock()
	o.auth.RecordClaim(c.row, f.reason.takesOver())
	o.mu.Unlock()
	tx := Transaction{
		Era:      view.Era,
		Expected: expected,
		Puts:     []Put{encode(dutyKey, c.duty), encode(groupKey(g), c.row), epochPut()},
	}
	o.logger.Info("claiming change of primary", "group", g, "primary", row.Primary, "reason", f.reason, "fence", c.duty.Fence)
	for uncertain := false; o.ctx.Err() == nil; uncertain = true {
		ctx, stop := context.WithTimeout(o.ctx, callTimeout)
		_, err := o.commit(ctx, tx)
		stop()
		switch {
		case err == nil:
			c.claimedAt = o.now()
			return c, c.reread()
		case errors.Is(err, ErrNotCommitted) && !uncertain, errors.Is(err, ErrOtherEra):
			o.logger.Warn("claim of the change of primary failed", "group", g, "cause", err)
			return nil, false
		case errors.Is(err, ErrConflict):
			return c, uncertain && c.ownsRow() && c.reread()
		}
		o.logger.Warn("outcome of the claim unknown, retrying", "group", g, "cause", err)
		time.Sleep(claimRetryInterval)
	}
	return nil, false
}

// reread confirms the rows with a read that starts after the claim. Only this list includes
// every daemon that may have authority, and the duty must be confirmed before the
// promotion. It returns false if the overseer is closed.
func (c *primaryChange) reread() bool {
	for c.Overseer.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(c.Overseer.ctx, callTimeout)
		err := c.refresh(ctx)
		stop()
		if c.inOtherEra() {
			return false
		}
		if err != nil {
			time.Sleep(claimRetryInterval)
			continue
		}
		c.mu.Lock()
		c.revocation = c.auth.BeginRevocation(c.claimedAt, c.vacantSince())
		c.mu.Unlock()
		return true
	}
	return false
}

// vacantSince returns since when the row is known to name no primary.
func (c *primaryChange) vacantSince() unit.Instant {
	if c.fault.reason.takesOver() {
		return c.fault.sinceInstant
	}
	return c.claimedAt
}

// ownsRow reports whether the row is as this daemon claimed it. This is so if an earlier
// call was executed and its response was lost.
func (c *primaryChange) ownsRow() bool {
	for c.Overseer.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(c.Overseer.ctx, callTimeout)
		current, _, err := c.readRow(ctx)
		stop()
		if errors.Is(err, ErrOtherEra) {
			return false
		}
		if err != nil {
			time.Sleep(claimRetryInterval)
			continue
		}
		c.claimedAt = c.now()
		return current == c.row
	}
	return false
}

// inOtherEra is like lost, without the lock.
func (c *primaryChange) inOtherEra() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost()
}

// lost reports whether the store was restored after the claim. The caller holds mu.
func (c *primaryChange) lost() bool { return c.table.era != c.era || c.pending.era > c.era }

// readRow reads the row of the group, and returns the expectation that the row has not
// changed since. The error is [ErrOtherEra] if the claim was lost because the store was
// restored.
func (c *primaryChange) readRow(ctx context.Context) (authorizer.Leadership, Expectation, error) {
	row, moment, err := c.store.Row(ctx, groupKey(c.row.Group))
	if err == nil && moment.Era != c.era {
		err = ErrOtherEra
	}
	if err != nil {
		return authorizer.Leadership{}, Expectation{}, err
	}
	rows := newTable(moment.Era, []Row{row})
	view, _ := decode(rows, moment.Now)
	return view.Leaderships[c.row.Group], rows.expect(groupKey(c.row.Group)), nil
}
