package overseer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

// prune takes daemons off the list that have not been reached for long, so that the
// others need not wait for them, and drops the rows of those whose authority has
// certainly ended. Each daemon looks after the next one on the list, so the work of
// one does not grow with their number.
func (o *Overseer) prune() {
	o.mu.Lock()
	due := time.Since(o.pruned) > pruneInterval && o.failing.IsZero()
	if due {
		o.pruned = time.Now()
	}
	o.mu.Unlock()
	if due {
		go o.pruneOnce()
	}
}

func (o *Overseer) pruneOnce() {
	next, former, now := o.successors()
	for _, m := range former {
		o.pruneMember(m, now, time.Now())
	}
	if next.Daemon == o.self.Daemon || next.Daemon == "" {
		return
	}
	o.ask([]authorizer.Member{next}, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		// Any call would do that makes the other daemon do nothing.
		if _, err := c.Vouch(ctx, connect.NewRequest(&peer.VouchRequest{})); err == nil {
			o.mu.Lock()
			o.heard[m.Daemon] = time.Now()
			o.mu.Unlock()
		}
	})
	o.pruneMember(next, now, time.Now())
}

// successors returns the daemon that follows this one on the list, in the order of
// names and from the last to the first, and those off the list in between.
func (o *Overseer) successors() (next authorizer.Member, former []authorizer.Member, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.auth.View()
	names := slices.Sorted(maps.Keys(view.Members))
	self, _ := slices.BinarySearch(names, o.self.Daemon)
	for n := 1; n <= len(names); n++ {
		m := view.Members[names[(self+n)%len(names)]]
		if m.Removed == 0 {
			return m, former, view.Now
		}
		former = append(former, m)
	}
	return next, former, view.Now
}

func (o *Overseer) pruneMember(m authorizer.Member, storeNow time.Duration, now time.Time) {
	o.mu.Lock()
	heard, known := o.heard[m.Daemon]
	if !known {
		o.heard[m.Daemon], heard = now, now
	}
	unchanged := o.table.expect(memberKey(m.Daemon))
	o.mu.Unlock()
	tx := Transaction{
		Expected: []Expectation{unchanged},
		Puts:     []Put{epochPut()},
	}
	switch {
	case m.Removed == 0 && now.Sub(heard) > pruneAfter:
		m.Removed = max(1, storeNow)
		tx.Puts = append(tx.Puts, encode(memberKey(m.Daemon), m))
	case m.Removed != 0 && storeNow-m.Removed > 2*Extension:
		tx.Deletes = append(tx.Deletes, memberKey(m.Daemon))
	default:
		return
	}
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout)
	defer stop()
	_, err := o.store.Commit(ctx, tx)
	if err != nil && !errors.Is(err, ErrConflict) {
		o.logger.Warn("daemon not taken off the list", "daemon", m.Daemon, "cause", err)
		return
	}
	o.logger.Info("daemon taken off the list", "daemon", m.Daemon, "unheard-for", now.Sub(heard))
	o.hurry()
}
