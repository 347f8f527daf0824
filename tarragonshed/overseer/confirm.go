package overseer

import (
	"context"
	"errors"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

const (
	// pruneAfter is how long a daemon is not reached before it is taken off the
	// list.
	pruneAfter = 20 * time.Second
	// pruneInterval is how often the list is looked through.
	pruneInterval = 5 * time.Second
)

// confirm reads the epoch, and all rows if it has changed, and waits until the
// next read is due.
func (o *Overseer) confirm() {
	pause := confirmInterval
	if err := o.read(); err != nil {
		pause = retryPause
		o.lost(err)
	} else {
		o.regained()
	}
	select {
	case <-time.After(pause):
	case <-o.wake:
	case <-o.ctx.Done():
	}
}

func (o *Overseer) read() error {
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout)
	defer stop()
	asked := o.now()
	epoch, now, err := o.store.Row(ctx, epochKey)
	if err != nil {
		return err
	}
	o.mu.Lock()
	_, known := o.auth.Confirmed()
	if known && epoch.Version == o.epoch {
		o.auth.Reconfirm(asked, now)
		o.mu.Unlock()
		o.figures.confirmed.Inc(1)
		return o.enlist(ctx)
	}
	o.mu.Unlock()
	asked = o.now()
	rows, now, err := o.store.Rows(ctx)
	if err != nil {
		return err
	}
	o.adopt(rows, now, asked)
	return o.enlist(ctx)
}

// adopt takes all rows in.
func (o *Overseer) adopt(rows []Row, now time.Duration, asked unit.Instant) {
	view, versions, bad := decode(rows, now)
	for _, key := range bad {
		o.logger.Error("row can't be read", "key", key)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if last, ok := o.auth.Confirmed(); ok && asked < last {
		return
	}
	before := o.auth.View()
	o.auth.Confirm(view, asked)
	o.rows, o.versions = rows, versions
	o.epoch = versions[epochKey]
	o.figures.confirmed.Inc(1)
	for name, l := range view.Leaderships {
		if before.Leaderships[name] != l {
			o.logger.Info("leadership", "group", name, "state", l.State, "primary", l.Primary, "term", l.Term, "fence", l.Fence, "changer", l.Changer)
		}
	}
	o.announce()
}

// enlist puts the daemon on the list if it isn't.
func (o *Overseer) enlist(ctx context.Context) error {
	o.mu.Lock()
	view := o.auth.View()
	m, ok := view.Members[o.self.Daemon]
	version := o.versions[memberKey(o.self.Daemon)]
	o.mu.Unlock()
	wanted := authorizer.Member{
		Daemon: o.self.Daemon, Incarnation: o.self.Incarnation, Domain: o.self.Domain,
		Address: o.self.Address, Listed: view.Now,
	}
	if ok && m.Removed == 0 {
		wanted.Listed = m.Listed
	}
	if ok && m == wanted {
		return nil
	}
	_, err := o.store.Commit(ctx, Transaction{
		Expected: []Expectation{{Key: memberKey(o.self.Daemon), Version: version}},
		Puts:     []Put{encode(memberKey(o.self.Daemon), wanted), epochPut()},
	})
	if err == nil || errors.Is(err, ErrConflict) {
		o.hurry()
		return nil
	}
	return err
}

// lost notes that the store did not answer.
func (o *Overseer) lost(err error) {
	o.figures.unconfirmed.Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failing.IsZero() {
		o.failing = time.Now()
		o.logger.Warn("the store does not confirm the rows", "cause", err)
	}
}

// regained notes that the store answers.
func (o *Overseer) regained() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failing.IsZero() {
		o.logger.Info("the store confirms the rows again", "after", time.Since(o.failing))
		o.failing = time.Time{}
	}
}

// storeAway reports whether the store has not confirmed the rows for d.
func (o *Overseer) storeAway(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.failing.IsZero() && time.Since(o.failing) > d
}
