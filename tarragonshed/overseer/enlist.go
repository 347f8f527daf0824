package overseer

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// enlist adds the daemon to the member list, or updates its entry.
func (o *Overseer) enlist(ctx context.Context) error {
	return o.enlistMember(ctx, authorizer.Member{
		Daemon: o.self.Daemon, Incarnation: o.self.Incarnation, Domain: o.self.Domain, Address: o.self.Address,
		Speed: o.self.Speed, Bandwidth: o.self.Bandwidth,
	})
}

// enlistMember adds a daemon to the member list, or updates its entry. It sets the time at
// which the daemon was listed.
func (o *Overseer) enlistMember(ctx context.Context, wanted authorizer.Member) error {
	o.mu.Lock()
	view := o.auth.View()
	m, ok := view.Members[wanted.Daemon]
	unchanged := o.table.expect(memberKey(wanted.Daemon))
	confirmed, _ := o.auth.Confirmed()
	o.mu.Unlock()
	// The store's clock may have got as far. An earlier time would count as that of a daemon
	// that all others know by now.
	wanted.Listed = view.Now + o.now().Sub(confirmed)
	if ok && m.Removed == 0 {
		wanted.Listed = m.Listed
	}
	if ok && m == wanted {
		return nil
	}
	_, err := o.commit(ctx, Transaction{
		Era:      view.Era,
		Expected: []Expectation{unchanged},
		Puts:     []Put{encode(memberKey(wanted.Daemon), wanted), epochPut()},
	})
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrOtherEra) {
		return o.refresh(ctx) // The reader may not have the new row yet.
	}
	return err
}

// isListed reports whether the daemon is on the member list of the last confirmation.
func (o *Overseer) isListed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.auth.IsListed()
}

// enlistThrough requests the daemon at the address to add this one to the member list. A
// daemon that was restarted while the store refuses its requests would otherwise have no
// authority: changes by other daemons wait only for the daemons on the list.
func (o *Overseer) enlistThrough(address string) error {
	ctx, stop := context.WithTimeout(o.ctx, confirmTimeout+peerTimeout)
	defer stop()
	_, err := o.peer(address).Enlist(ctx, connect.NewRequest(&peer.EnlistRequest{
		Daemon: string(o.self.Daemon), Incarnation: uint64(o.self.Incarnation),
		Domain: string(o.self.Domain), Address: o.self.Address, Speed: o.self.Speed, Bandwidth: o.self.Bandwidth,
	}))
	o.logger.Info("enlistment through another daemon", "through", address, "cause", err)
	if err != nil {
		return fmt.Errorf("overseer: enlistment through %s: %w", address, err)
	}
	_, err = o.relayFrom(address, 0, Majority) // The response has the new row.
	return err
}

// errIncomplete is the error of an enlistment without a name, an incarnation or an address.
var errIncomplete = errors.New("overseer: the enlistment names no daemon, incarnation or address")

// Enlist implements [peerconnect.OverseerHandler].
func (s service) Enlist(ctx context.Context, r *connect.Request[peer.EnlistRequest]) (*connect.Response[peer.EnlistResponse], error) {
	o := s.overseer
	m := authorizer.Member{
		Daemon: unit.DaemonID(r.Msg.Daemon), Incarnation: unit.Incarnation(r.Msg.Incarnation),
		Domain: unit.DomainName(r.Msg.Domain), Address: r.Msg.Address,
		Speed: plausible(r.Msg.Speed, maxSpeed), Bandwidth: plausible(r.Msg.Bandwidth, maxBandwidth),
	}
	if m.Daemon == "" || m.Incarnation == 0 || m.Address == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errIncomplete)
	}
	if o.storeUnavailable(0) || !o.isListed() {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfirmation)
	}
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	err := o.enlistMember(ctx, m)
	o.logger.Info("enlistment of another daemon", "daemon", m.Daemon, "incarnation", m.Incarnation, "cause", err)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.EnlistResponse{}), nil
}
