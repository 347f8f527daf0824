package overseer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/tarragonshed/pacer"
	"tarragonshed.example/unit"
)

const (
	// maxRelayHold is how long a reader may hold a relay request until the store has
	// confirmed the rows again. It is longer than the time between two reads.
	maxRelayHold = confirmInterval + 50*time.Millisecond
	// relayInterval is the minimum time between two relay requests to readers. It takes
	// effect when a reader responds without holding the request.
	relayInterval = 300 * time.Millisecond
	// pruneTimeout is how long a daemon must be unreachable before it is removed from the
	// member list.
	pruneTimeout = 6 * time.Second
	// pruneInterval is the time between two liveness checks of the next daemon on the list.
	pruneInterval = 2 * time.Second
)

// confirm obtains one confirmation and waits until the next one is due.
func (o *Overseer) confirm() {
	select {
	case <-time.After(o.confirmOnce()):
	case <-o.wake:
	case <-o.ctx.Done():
	}
}

// confirmOnce obtains one confirmation and returns the time until the next one is due. A
// few daemons of each region read the store. The others obtain their confirmations from
// these readers, and read the store themselves if that fails.
func (o *Overseer) confirmOnce() time.Duration {
	if reader, ok := o.reader(); ok {
		if wait, err := o.confirmFromReader(reader); err == nil {
			return wait
		}
	}
	if err := o.read(); err != nil {
		return o.recordStoreFailure(err)
	}
	o.recordStoreSuccess()
	return confirmInterval
}

// confirmFromReader obtains the next confirmation of a reader and returns the time until
// the next request.
func (o *Overseer) confirmFromReader(reader member.Daemon) (time.Duration, error) {
	held, err := o.relayFrom(reader.PeerAddress, maxRelayHold, maxRelayedAge)
	if err == nil {
		err = o.checkDocuments(reader.ID)
	}
	o.mu.Lock()
	if err != nil {
		o.logger.Info("no confirmation from the reader", "reader", reader.ID, "cause", err)
		o.readerFailedAt[reader.ID] = time.Now()
	}
	o.mu.Unlock()
	if err != nil {
		return 0, err
	}
	o.recordStoreSuccess()
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout)
	defer stop()
	if err := o.enlist(ctx); err != nil {
		o.logger.Warn("daemon not added to the member list", "cause", err)
	}
	return max(0, relayInterval-held), nil
}

// reader returns the daemon that reads the store on behalf of this one, or false if this
// daemon reads the store itself.
func (o *Overseer) reader() (member.Daemon, bool) {
	if o.storeUnavailable(0) {
		return member.Daemon{}, false // The last read failed, so the daemon tries the store directly.
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readers.choose(o.self.Daemon, int(o.turn.Add(1)), o.recentlyFailed)
}

// recentlyFailed reports whether the reader failed to provide a confirmation less than
// [readerRetryInterval] ago. The caller holds mu.
func (o *Overseer) recentlyFailed(d unit.DaemonID) bool {
	return time.Since(o.readerFailedAt[d]) < readerRetryInterval
}

// ReadsStore reports whether the daemon reads the platform's tables itself. This is so if
// it is a reader, or if its reader has failed although the store responds.
func (o *Overseer) ReadsStore() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.readers.mustRead(o.self.Daemon) {
		return true
	}
	_, hasReader := o.readers.choose(o.self.Daemon, 0, o.recentlyFailed)
	return !hasReader && o.failingSince.IsZero()
}

// read confirms the rows with a read of the store, and adds this daemon to the member list.
func (o *Overseer) read() error {
	unchanged, err := o.readEpoch()
	if err != nil {
		return err
	}
	if !unchanged {
		if err := o.refresh(o.ctx); err != nil {
			return err
		}
	}
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout)
	defer stop()
	return o.enlist(ctx)
}

// readEpoch reads the rows that tell whether the known ones are current, and reports whether it
// confirmed them.
func (o *Overseer) readEpoch() (confirmed bool, err error) {
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout)
	defer stop()
	if pending, ok := o.pendingEra(); ok {
		if err := o.enterEra(ctx, pending); err != nil {
			return false, err
		}
	}
	return o.reconfirm(ctx)
}

// reconfirm reads the epoch and reports whether it confirms the known rows.
func (o *Overseer) reconfirm(ctx context.Context) (bool, error) {
	o.mu.Lock()
	_, known := o.auth.Confirmed()
	o.mu.Unlock()
	if !known {
		return false, nil // There is nothing to confirm.
	}
	sent := o.now()
	epoch, moment, err := o.store.Row(ctx, epochKey)
	if err != nil {
		return false, err
	}
	if moment.Era > o.era() {
		return false, o.enterEra(ctx, moment.Era)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if (unit.Revision{Era: moment.Era, Version: epoch.Version}) != o.table.revision() {
		return false, nil
	}
	o.auth.Reconfirm(sent, moment.Now)
	o.releaseHeld()
	o.meters.confirmed.Inc(1)
	return true, nil
}

// enterEra returns an error if the era is not open. A small read suffices to find out.
func (o *Overseer) enterEra(ctx context.Context, era unit.Era) error {
	row, moment, err := o.store.Row(ctx, eraKey(era))
	switch {
	case err != nil:
		return err
	case moment.Era > era:
		return o.enterEra(ctx, moment.Era) // The store was restored once more.
	case row.Version == 0:
		return o.awaitOpening(era)
	}
	return nil
}

// refresh reads the rows that have changed, or all rows if the store no longer has the
// history of changes or was restored. It takes as long as they arrive.
func (o *Overseer) refresh(ctx context.Context) error {
	ctx, call := pacer.Begin(ctx, confirmTimeout, pacer.WithLimit(transferTimeout))
	defer call.End()
	return call.Err(o.readRows(ctx))
}

// readRows reads the rows for refresh.
func (o *Overseer) readRows(ctx context.Context) error {
	o.mu.Lock()
	known := o.table
	o.mu.Unlock()
	sent := o.now()
	if known.epoch() > 0 {
		changes, moment, err := o.store.Changes(ctx, known.revision())
		if err == nil {
			o.adoptRead(known.with(changes), moment.Now, sent)
			return nil
		}
		if !errors.Is(err, ErrHistoryDropped) && !errors.Is(err, ErrOtherEra) {
			return err
		}
		o.logger.Info("reading all rows", "epoch", known.epoch(), "cause", err)
	}
	rows, moment, err := o.store.Rows(ctx)
	if err != nil {
		return err
	}
	read := newTable(moment.Era, rows)
	if !read.open() {
		return o.awaitOpening(moment.Era)
	}
	o.adoptRead(read, moment.Now, sent)
	return nil
}

// adoptRead calls adopt with rows that this daemon has read from the store, and releases
// the relay requests that wait for them.
func (o *Overseer) adoptRead(rows table, storeNow time.Duration, sent unit.Instant) {
	o.adopt(rows, storeNow, sent)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseHeld()
}

// adopt replaces the known rows by those that the store returned for a request sent at the
// given time. It ignores rows that are older than the last confirmation.
func (o *Overseer) adopt(rows table, storeNow time.Duration, sent unit.Instant) {
	view, bad := decode(rows, storeNow)
	for _, key := range bad {
		o.logger.Error("row can't be decoded", "key", key)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if last, ok := o.auth.Confirmed(); ok && sent < last {
		return
	}
	before := o.auth.View()
	o.auth.Confirm(view, sent)
	o.table, o.readers = rows, o.readersOf(view)
	o.meters.confirmed.Inc(1)
	for name, l := range view.Leaderships {
		if before.Leaderships[name] != l {
			o.logger.Info("leadership", "group", name, "state", l.State, "primary", l.Primary, "term", l.Term, "fence", l.Fence, "changer", l.Changer)
		}
	}
	o.notifyChanged()
}

// recordStoreFailure records a failed read and returns the backoff before the next one.
func (o *Overseer) recordStoreFailure(err error) time.Duration {
	o.meters.unconfirmed.Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince.IsZero() {
		o.failingSince = time.Now()
		o.logger.Warn("the store does not confirm the rows", "cause", err)
	}
	o.failures++
	return readBackoff.Delay(o.failures-1, rand.Float64())
}

// recordStoreSuccess records that the store has confirmed the rows.
func (o *Overseer) recordStoreSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failingSince.IsZero() {
		o.logger.Info("the store confirms the rows again", "after", time.Since(o.failingSince))
		o.failingSince, o.failures = time.Time{}, 0
	}
}

// storeUnavailable reports whether reads of the store have failed for longer than d, or its era
// is not open.
func (o *Overseer) storeUnavailable(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isPending() || !o.failingSince.IsZero() && time.Since(o.failingSince) > d
}
