package overseer

import (
	"context"
	"errors"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/replacer"
	"tarragonshed.example/unit"
)

// claim makes the row of the group say that its primary is changing. It returns
// when the outcome is certain.
func (o *Overseer) claim(g unit.GroupName, row authorizer.Leadership, t *trouble) (*running, bool) {
	o.mu.Lock()
	view := o.auth.View()
	expected := []Expectation{
		o.table.expect(dutyKey), o.table.expect(groupKey(g)), o.table.expect(memberKey(o.self.Daemon)),
	}
	c := &running{Overseer: o, trouble: t, events: make(chan replacer.Event, 64)}
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
	o.logger.Info("change of primary claimed", "group", g, "primary", row.Primary, "reason", t.reason, "fence", c.duty.Fence)
	for unknown := false; o.ctx.Err() == nil; unknown = true {
		ctx, stop := context.WithTimeout(o.ctx, callTimeout)
		_, err := o.store.Commit(ctx, tx)
		stop()
		switch {
		case err == nil:
			c.since = o.now()
			return c, c.reread()
		case errors.Is(err, ErrNotCommitted) && !unknown:
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
		vacant := c.since
		if c.trouble.reason == stuck {
			vacant = c.trouble.seen
		}
		c.settlement = c.auth.BeginRevocation(c.since, vacant)
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
