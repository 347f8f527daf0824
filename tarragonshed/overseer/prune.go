package overseer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

// prune takes daemons off the list that have not been reached for long, and drops
// the rows of those whose authority has certainly ended. The holder of the duty
// does it.
func (o *Overseer) prune() {
	o.mu.Lock()
	due := time.Since(o.pruned) > pruneInterval && o.auth.View().Duty.Holder == o.self.Daemon && o.failing.IsZero()
	if due {
		o.pruned = time.Now()
	}
	o.mu.Unlock()
	if due {
		go o.pruneOnce()
	}
}

func (o *Overseer) pruneOnce() {
	reached := make(chan unit.DaemonID, len(o.others()))
	members := o.others()
	o.ask(members, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		if _, err := c.Announce(ctx, connect.NewRequest(&peer.AnnounceRequest{})); err == nil {
			reached <- m.Daemon
		}
	})
	close(reached)
	now := time.Now()
	o.mu.Lock()
	for d := range reached {
		o.heard[d] = now
	}
	view := o.auth.View()
	o.mu.Unlock()
	for _, m := range view.Members {
		o.pruneMember(m, view.Now, now)
	}
}

func (o *Overseer) pruneMember(m authorizer.Member, storeNow time.Duration, now time.Time) {
	if m.Daemon == o.self.Daemon {
		return
	}
	o.mu.Lock()
	heard, known := o.heard[m.Daemon]
	if !known {
		o.heard[m.Daemon], heard = now, now
	}
	version := o.versions[memberKey(m.Daemon)]
	o.mu.Unlock()
	tx := Transaction{
		Expected: []Expectation{{Key: memberKey(m.Daemon), Version: version}},
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
