package overseer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/replacer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	// callTimeout bounds a call to the store, the platform or an instance during a change.
	callTimeout = 600 * time.Millisecond
	// changeTickInterval is the time between two ticks of a running change.
	changeTickInterval = 10 * time.Millisecond
	// claimRetryInterval is the time before a step of a claim or a withdrawal is retried.
	claimRetryInterval = 50 * time.Millisecond
	// recoveryPollInterval is the time between two status queries to the old primary of a
	// change, and recoveryPollTimeout bounds one query.
	recoveryPollInterval = 100 * time.Millisecond
	recoveryPollTimeout  = 300 * time.Millisecond
)

// beginChange starts a change of the group's primary in the background, or creates the
// group's row if there is none. It does nothing if a change is already running or must not
// begin yet.
func (o *Overseer) beginChange(g manifest.Group, row authorizer.Leadership, f *fault) {
	o.mu.Lock()
	begins := !o.finishing && !o.changes[g.Name] && f.mayBegin(time.Since(o.changeEndedAt[g.Name])) &&
		(f.reason == noRow || o.auth.IsListed())
	if begins {
		o.changes[g.Name] = true
	}
	o.mu.Unlock()
	if !begins {
		return
	}
	go func() {
		began := time.Now()
		switch {
		case f.reason == noRow:
			o.createRow(g)
		case f.reason == unestablished && o.establish(g, row):
		case !o.needsSuccessor(g, f) || o.hasSuccessor(g, row):
			o.changeWithoutAuthority(g, row, f)
		}
		o.meters.duration.UpdateSince(began)
		o.mu.Lock()
		o.changes[g.Name] = false
		o.changeEndedAt[g.Name] = time.Now()
		delete(o.faults, g.Name)
		o.mu.Unlock()
	}()
}

// FinishChanges waits until no change of a primary by this daemon is running, or until ctx ends. From now
// on the daemon begins none. Another daemon takes over a change only when its daemon has not completed it
// for some seconds, in which the group has no primary.
func (o *Overseer) FinishChanges(ctx context.Context) error {
	o.mu.Lock()
	o.finishing = true
	o.mu.Unlock()
	ticker := time.NewTicker(changeTickInterval)
	defer ticker.Stop()
	for {
		running := o.runningChanges()
		if running == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("overseer: %d changes of primaries have not ended: %w", running, ctx.Err())
		}
	}
}

// runningChanges returns the number of changes of primaries that this daemon carries out.
func (o *Overseer) runningChanges() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	running := 0
	for _, runs := range o.changes {
		if runs {
			running++
		}
	}
	return running
}

// changeWithoutAuthority replaces the primary of the group. Meanwhile the daemon has no
// authority over the group.
func (o *Overseer) changeWithoutAuthority(g manifest.Group, row authorizer.Leadership, f *fault) {
	o.mu.Lock()
	permitted := o.auth.BeginChange(g.Name)
	o.mu.Unlock()
	if !permitted {
		return
	}
	o.change(g, row, f)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.auth.EndChange(g.Name, o.now())
}

// createRow writes the first row of a group. The instance that reports that it is the
// primary becomes the primary in the row.
func (o *Overseer) createRow(g manifest.Group) {
	for _, i := range g.Instances {
		if !i.ReportsPrimary || i.Leaving {
			continue
		}
		ctx, stop := context.WithTimeout(o.ctx, callTimeout)
		status, err := o.instanceStatus(ctx, g.Name, i.Name)
		stop()
		if err != nil || !status.Primary {
			o.logger.Info("instance does not report that it is the primary", "group", g.Name, "instance", i.Name, "cause", err)
			continue
		}
		l := authorizer.Leadership{
			Group: g.Name, State: authorizer.Leading, Primary: i.Name, Incarnation: i.Incarnation, Term: status.Term,
		}
		ctx, stop = context.WithTimeout(o.ctx, callTimeout)
		_, err = o.commit(ctx, Transaction{
			Era:      o.era(),
			Expected: []Expectation{{Key: groupKey(g.Name)}},
			Puts:     []Put{encode(groupKey(g.Name), l), epochPut()},
		})
		stop()
		if err != nil && !errors.Is(err, ErrConflict) {
			o.logger.Warn("initial row of the group not written", "group", g.Name, "cause", err)
		}
		o.confirmNow()
		return
	}
}

// change replaces the primary of the group.
func (o *Overseer) change(g manifest.Group, row authorizer.Leadership, f *fault) {
	c, ok := o.claim(g.Name, row, f)
	if !ok {
		o.confirmNow()
		return
	}
	o.meters.changes.Inc(1)
	c.run(g)
	o.announceToPeers()
}

// primaryChange is a running change of a primary.
type primaryChange struct {
	*Overseer
	fault      *fault                // Why the primary is replaced.
	row        authorizer.Leadership // The row of the group as claimed.
	duty       authorizer.Duty
	era        unit.Era     // The era of the claim.
	claimedAt  unit.Instant // When the response to the claim arrived.
	events     chan replacer.Event
	revocation *authorizer.Revocation // Of the authority of the other daemons.
	replacer   *replacer.Replacer
	listed     []manifest.Instance // The instances in the roster of the replacer.
	decided    string              // The last decision that was logged.
	queried    sync.Map            // The instances whose status is being queried.
	ctx        context.Context
}

// run carries out the steps of the change.
func (c *primaryChange) run(g manifest.Group) {
	var stop context.CancelFunc
	c.ctx, stop = context.WithTimeout(c.Overseer.ctx, replacer.Timeout)
	defer stop()
	c.withdraw(c.revocation.Remaining())
	r, effects := replacer.New(c.plan(g), c.claimedAt)
	c.replacer = r
	if c.fault.reason == unreachable {
		go c.watchOldPrimary()
	}
	ticker := time.NewTicker(changeTickInterval)
	defer ticker.Stop()
	for {
		for _, effect := range effects {
			if c.apply(effect) {
				return
			}
		}
		effects = nil
		var event replacer.Event = replacer.Tick{}
		select {
		case event = <-c.events:
		case <-ticker.C:
		case <-c.Overseer.ctx.Done():
			return
		}
		if c.superseded() {
			c.meters.failed.Inc(1)
			c.logger.Warn("change of primary abandoned: another daemon has claimed the row, or the store was restored", "group", c.row.Group)
			return
		}
		if relisted, changed := c.relist(); changed {
			effects = append(effects, r.Step(relisted, c.now())...)
		}
		effects = append(effects, r.Step(event, c.now())...)
	}
}

// superseded reports whether another daemon has claimed the row since, or the claim was lost
// because the store was restored.
func (c *primaryChange) superseded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.auth.View().Leaderships[c.row.Group]
	return c.lost() || l.Fence > c.row.Fence || l.Fence == c.row.Fence && l.Changer != "" && l.Changer != c.row.Changer
}

func (c *primaryChange) plan(g manifest.Group) replacer.Plan {
	why := c.fault.reason
	p := replacer.Plan{
		Group: g.Name, Primary: c.row.Primary, Term: c.row.Term,
		Revocation: c.revocation, VacantSince: c.vacantSince(),
		Synchronous: g.Synchronous, Acknowledged: c.acknowledged(g.Name),
		Planned: why == leaving || why == strained, Voluntary: why == strained, Cancellable: why == unreachable,
	}
	c.listed = g.Instances
	p.Roster = c.roster(g.Instances)
	return p
}

// send passes an event to the change.
func (c *primaryChange) send(event replacer.Event) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// withdraw requests all holders to drop their authority, and retries each until it has. If
// the primary is leaving, a holder that reaches it also makes it step down.
func (c *primaryChange) withdraw(holders []authorizer.Member) {
	request := &peer.WithdrawRequest{Group: string(c.row.Group)}
	if c.fault.reason == leaving {
		c.mu.Lock()
		c.auth.RecordOrder(c.row.Group) // The holders order the primary to step down.
		c.mu.Unlock()
		request.Instance, request.Term = string(c.row.Primary), uint64(c.row.Term)+1
	}
	for _, m := range holders {
		go c.withdrawFrom(m, request)
	}
}

// withdrawFrom requests one daemon to drop its authority. A daemon with a claim of its own
// outstanding refuses until the outcome of that claim is known.
func (c *primaryChange) withdrawFrom(m authorizer.Member, request *peer.WithdrawRequest) {
	for c.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(c.ctx, peerTimeout)
		response, err := c.peer(m.Address).Withdraw(ctx, connect.NewRequest(request))
		stop()
		if err == nil && response.Msg.Dropped && response.Msg.Daemon == string(m.Daemon) {
			if response.Msg.ReportsAcknowledged {
				c.send(replacer.Reported{Daemon: m.Daemon, Acknowledged: acknowledgedIn(response.Msg)})
			}
			c.send(replacer.Dropped{Daemon: m.Daemon})
			return
		}
		time.Sleep(claimRetryInterval)
	}
}

func acknowledgedIn(r *peer.WithdrawResponse) unit.Position {
	return unit.Position{Term: unit.Term(r.AcknowledgedTerm), Index: unit.Index(r.AcknowledgedIndex)}
}

// watchOldPrimary sends [replacer.Recovered] when the old primary is reachable again and
// still leads its term.
func (c *primaryChange) watchOldPrimary() {
	for c.ctx.Err() == nil {
		time.Sleep(recoveryPollInterval)
		ctx, stop := context.WithTimeout(c.ctx, recoveryPollTimeout)
		s, err := (*c.instances.Load()).Status(ctx, c.row.Group, c.row.Primary)
		stop()
		reach := c.reach(c.row.Group, c.row.Primary)
		if err != nil || !s.Primary || s.Term != c.row.Term || reach.Leaving || reach.Incarnation != c.row.Incarnation {
			continue
		}
		c.logger.Info("primary is reachable again", "group", c.row.Group, "primary", c.row.Primary, "term", s.Term)
		c.send(replacer.Recovered{})
		return
	}
}
