package overseer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

const (
	// relayPatience is how long a reader holds its answer until the store has
	// confirmed the rows once more: longer than the time between two readings.
	relayPatience = confirmInterval + 50*time.Millisecond
	// relayInterval is the time between two questions to a reader that does not
	// hold its answers.
	relayInterval = 300 * time.Millisecond
	// pruneAfter is how long a daemon is not reached before it is taken off the
	// list.
	pruneAfter = 6 * time.Second
	// pruneInterval is how often a daemon looks after the next one.
	pruneInterval = 2 * time.Second
)

// confirm gets one confirmation and waits until the next one is due.
func (o *Overseer) confirm() {
	select {
	case <-time.After(o.confirmation()):
	case <-o.wake:
	case <-o.ctx.Done():
	}
}

// confirmation gets one confirmation and returns the pause until the next. A few
// daemons of each region read the store; the others take their confirmations, and read
// the store themselves when they can't.
func (o *Overseer) confirmation() time.Duration {
	if reader, ok := o.reader(); ok {
		if pause, err := o.takeFrom(reader); err == nil {
			return pause
		}
	}
	if err := o.read(); err != nil {
		return o.lost(err)
	}
	o.regained()
	return confirmInterval
}

// takeFrom takes a reader's next confirmation and returns the pause until the question
// after it.
func (o *Overseer) takeFrom(reader member.Daemon) (time.Duration, error) {
	held, err := o.relayFrom(reader.PeerAddress, relayPatience, relayedAge)
	o.mu.Lock()
	if err != nil {
		o.logger.Info("no confirmation from the reader", "reader", reader.ID, "cause", err)
		o.doubted[reader.ID] = time.Now()
	}
	o.mu.Unlock()
	if err != nil {
		return 0, err
	}
	o.regained()
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout)
	defer stop()
	if err := o.enlist(ctx); err != nil {
		o.logger.Warn("not put on the list", "cause", err)
	}
	return max(0, relayInterval-held), nil
}

// reader returns the daemon that reads the store for this one, or false if it
// reads the store itself.
func (o *Overseer) reader() (member.Daemon, bool) {
	if o.storeAway(0) {
		return member.Daemon{}, false // The last reading has failed: try all ways.
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readers.choose(o.self.Daemon, int(o.turn.Add(1)), o.doubts)
}

// doubts reports whether the daemon gave no confirmation a short time ago. The lock is
// held.
func (o *Overseer) doubts(d unit.DaemonID) bool { return time.Since(o.doubted[d]) < readerDoubt }

// ReadsStore reports whether the daemon follows the platform's tables for itself: it is a
// reader, or gets no confirmations from one although the store answers.
func (o *Overseer) ReadsStore() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.readers.has(o.self.Daemon) {
		return true
	}
	_, other := o.readers.choose(o.self.Daemon, 0, o.doubts)
	return !other && o.failing.IsZero()
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
	if known && epoch.Version == o.table.epoch() {
		o.auth.Reconfirm(asked, now)
		o.answerHeld()
		o.mu.Unlock()
		o.figures.confirmed.Inc(1)
		return o.enlist(ctx)
	}
	o.mu.Unlock()
	if err := o.refresh(ctx); err != nil {
		return err
	}
	return o.enlist(ctx)
}

// refresh reads the rows that have changed, or all when the store can't tell them.
func (o *Overseer) refresh(ctx context.Context) error {
	o.mu.Lock()
	known := o.table
	o.mu.Unlock()
	asked := o.now()
	if known.epoch() > 0 {
		changes, now, err := o.store.Changes(ctx, known.epoch())
		if err == nil {
			o.adoptRead(known.with(changes), now, asked)
			return nil
		}
		if !errors.Is(err, ErrHistoryDropped) {
			return err
		}
		o.logger.Info("all rows are read, the store has dropped its history", "epoch", known.epoch())
	}
	rows, now, err := o.store.Rows(ctx)
	if err != nil {
		return err
	}
	o.adoptRead(newTable(rows), now, asked)
	return nil
}

// adoptRead is adopt for rows that the store gave to this daemon: the answers that wait
// for them can go.
func (o *Overseer) adoptRead(rows table, now time.Duration, asked unit.Instant) {
	o.adopt(rows, now, asked)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answerHeld()
}

// adopt takes in all rows as of the moment at which the store was asked.
func (o *Overseer) adopt(rows table, now time.Duration, asked unit.Instant) {
	view, bad := decode(rows, now)
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
	o.table, o.readers = rows, o.readersOf(view)
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
	unchanged := o.table.expect(memberKey(o.self.Daemon))
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
		Expected: []Expectation{unchanged},
		Puts:     []Put{encode(memberKey(o.self.Daemon), wanted), epochPut()},
	})
	if err == nil || errors.Is(err, ErrConflict) {
		return o.refresh(ctx) // A reader may not have the row yet.
	}
	return err
}

// lost notes that the store did not answer and returns when to ask again.
func (o *Overseer) lost(err error) time.Duration {
	o.figures.unconfirmed.Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failing.IsZero() {
		o.failing = time.Now()
		o.logger.Warn("the store does not confirm the rows", "cause", err)
	}
	o.failures++
	return retryPause.Delay(o.failures-1, rand.Float64())
}

// regained notes that the store answers.
func (o *Overseer) regained() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failing.IsZero() {
		o.logger.Info("the store confirms the rows again", "after", time.Since(o.failing))
		o.failing, o.failures = time.Time{}, 0
	}
}

// storeAway reports whether the store has not confirmed the rows for d.
func (o *Overseer) storeAway(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.failing.IsZero() && time.Since(o.failing) > d
}
