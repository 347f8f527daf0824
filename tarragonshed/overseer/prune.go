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

// prune removes a daemon from the member list that has been unreachable for too long, so
// that changes need not wait for it. It also deletes the rows of removed daemons whose
// authority has certainly expired. Each daemon checks only the next one on the list, so its
// work does not grow with the number of daemons.
func (o *Overseer) prune() {
	o.mu.Lock()
	due := time.Since(o.prunedAt) > pruneInterval && o.failingSince.IsZero()
	if due {
		o.prunedAt = time.Now()
	}
	o.mu.Unlock()
	if due {
		go o.pruneOnce()
	}
}

func (o *Overseer) pruneOnce() {
	next, removed, now := o.successors()
	for _, m := range removed {
		o.pruneMember(m, now, time.Now())
	}
	if next.Daemon == o.self.Daemon || next.Daemon == "" {
		return
	}
	o.callAll([]authorizer.Member{next}, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		// Any call without a side effect on the other daemon would do.
		if _, err := c.Vouch(ctx, connect.NewRequest(&peer.VouchRequest{})); err == nil {
			o.mu.Lock()
			o.respondedAt[m.Daemon] = time.Now()
			o.mu.Unlock()
		}
	})
	o.pruneMember(next, now, time.Now())
}

// successors returns the next daemon on the member list, by name and cyclically, and the
// removed daemons in between.
func (o *Overseer) successors() (next authorizer.Member, removed []authorizer.Member, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.auth.View()
	names := slices.Sorted(maps.Keys(view.Members))
	self, _ := slices.BinarySearch(names, o.self.Daemon)
	for n := 1; n <= len(names); n++ {
		m := view.Members[names[(self+n)%len(names)]]
		if m.Removed == 0 {
			return m, removed, view.Now
		}
		removed = append(removed, m)
	}
	return next, removed, view.Now
}

func (o *Overseer) pruneMember(m authorizer.Member, storeNow time.Duration, now time.Time) {
	o.mu.Lock()
	respondedAt, known := o.respondedAt[m.Daemon]
	if !known {
		o.respondedAt[m.Daemon], respondedAt = now, now
	}
	unchanged, era := o.table.expect(memberKey(m.Daemon)), o.table.era
	o.mu.Unlock()
	tx := Transaction{
		Era:      era,
		Expected: []Expectation{unchanged},
		Puts:     []Put{epochPut()},
	}
	switch {
	case m.Removed == 0 && now.Sub(respondedAt) > pruneTimeout:
		m.Removed = max(1, storeNow)
		tx.Puts = append(tx.Puts, encode(memberKey(m.Daemon), m))
	case m.Removed > storeNow: // It would count for ever.
		m.Removed = max(1, storeNow)
		tx.Puts = append(tx.Puts, encode(memberKey(m.Daemon), m))
	case m.Removed != 0 && storeNow-m.Removed > 2*Extension:
		tx.Deletes = append(tx.Deletes, memberKey(m.Daemon))
	default:
		return
	}
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout)
	defer stop()
	_, err := o.commit(ctx, tx)
	if err != nil && !errors.Is(err, ErrConflict) {
		o.logger.Warn("daemon not removed from the member list", "daemon", m.Daemon, "cause", err)
		return
	}
	o.logger.Info("daemon removed from the member list", "daemon", m.Daemon, "unheard-for", now.Sub(respondedAt))
	o.confirmNow()
}
