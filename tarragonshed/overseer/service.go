package overseer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// service implements the Overseer service for other daemons.
type service struct{ overseer *Overseer }

// Withdraw implements [peerconnect.OverseerHandler].
func (s service) Withdraw(_ context.Context, r *connect.Request[peer.WithdrawRequest]) (*connect.Response[peer.WithdrawResponse], error) {
	o := s.overseer
	group := unit.GroupName(r.Msg.Group)
	o.mu.Lock()
	dropped := o.auth.Drop(group, o.now())
	o.mu.Unlock()
	o.confirmNow()
	o.logger.Info("withdrawal of authority requested", "group", group, "dropped", dropped)
	if r.Msg.Instance != "" {
		go o.stepDown(group, unit.InstanceName(r.Msg.Instance), unit.Term(r.Msg.Term))
	}
	acknowledged := o.acknowledged(group)
	return connect.NewResponse(&peer.WithdrawResponse{
		Daemon: string(o.self.Daemon), Dropped: dropped, ReportsAcknowledged: true,
		AcknowledgedTerm: uint64(acknowledged.Term), AcknowledgedIndex: uint64(acknowledged.Index),
	}), nil
}

// Vouch implements [peerconnect.OverseerHandler].
func (s service) Vouch(_ context.Context, r *connect.Request[peer.VouchRequest]) (*connect.Response[peer.VouchResponse], error) {
	o := s.overseer
	o.mu.Lock()
	v := o.auth.Vouch(unit.Revision{Era: unit.Era(r.Msg.Era), Version: r.Msg.Epoch})
	o.mu.Unlock()
	response := &peer.VouchResponse{Daemon: string(v.Daemon), Incarnation: uint64(v.Incarnation), Idle: v.Idle, Ahead: v.Ahead}
	for _, group := range v.Dropped {
		response.Dropped = append(response.Dropped, string(group))
	}
	return connect.NewResponse(response), nil
}

// Witness implements [peerconnect.OverseerHandler].
func (s service) Witness(ctx context.Context, r *connect.Request[peer.WitnessRequest]) (*connect.Response[peer.WitnessResponse], error) {
	reached := false
	if p := s.overseer.instances.Load(); p != nil {
		ctx, stop := context.WithTimeout(ctx, verifyTimeout)
		defer stop()
		reached = (*p).Verify(ctx, unit.GroupName(r.Msg.Group), unit.InstanceName(r.Msg.Instance))
	}
	return connect.NewResponse(&peer.WitnessResponse{Reached: reached}), nil
}

// Announce implements [peerconnect.OverseerHandler].
func (s service) Announce(context.Context, *connect.Request[peer.AnnounceRequest]) (*connect.Response[peer.AnnounceResponse], error) {
	s.overseer.confirmNow()
	if s.overseer.storeUnavailable(0) {
		go s.overseer.relayFromPeers() // The sender has the changed rows.
	}
	return connect.NewResponse(&peer.AnnounceResponse{}), nil
}

// Relay implements [peerconnect.OverseerHandler].
func (s service) Relay(ctx context.Context, r *connect.Request[peer.RelayRequest]) (*connect.Response[peer.RelayResponse], error) {
	o := s.overseer
	held := o.hold(ctx, r.Msg)
	o.mu.Lock()
	defer o.mu.Unlock()
	confirmed, ok := o.auth.Confirmed()
	response := &peer.RelayResponse{
		Confirmed: ok, Era: uint64(o.table.era), Epoch: o.table.epoch(), StoreNow: int64(o.auth.View().Now),
		Age: int64(o.now().Sub(confirmed)), Count: int64(len(o.table.rows)), Held: int64(held),
	}
	if o.documents != nil {
		response.Documents = agesOf(o.documents, o.now())
	}
	if !ok || time.Duration(response.Age) > Majority { // The sender can't use it.
		return connect.NewResponse(response), nil
	}
	for _, row := range o.table.changesFor(unit.Revision{Era: unit.Era(r.Msg.Era), Version: r.Msg.Epoch}) {
		response.Rows = append(response.Rows, &peer.RelayedRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return connect.NewResponse(response), nil
}

// hold waits until the store confirms the rows again, at most as long as the request
// permits, and returns how long it waited. It returns at once if the sender lacks rows, if
// this daemon does not read the store, or if the store is unavailable.
func (o *Overseer) hold(ctx context.Context, r *peer.RelayRequest) time.Duration {
	if _, hasReader := o.reader(); hasReader || r.Patience <= 0 || o.storeUnavailable(0) {
		return 0
	}
	began := o.now()
	o.mu.Lock()
	reconfirmed, current := o.reconfirmed, o.table.revision()
	o.mu.Unlock()
	if (unit.Revision{Era: unit.Era(r.Era), Version: r.Epoch}).Before(current) {
		return 0
	}
	select {
	case <-reconfirmed:
	case <-time.After(time.Duration(r.Patience)):
	case <-ctx.Done():
	}
	return o.now().Sub(began)
}

// Fetch implements [peerconnect.OverseerHandler].
func (s service) Fetch(_ context.Context, r *connect.Request[peer.FetchRequest]) (*connect.Response[peer.FetchResponse], error) {
	known := make(map[string]unit.Revision)
	for _, d := range r.Msg.Known {
		known[d.Name] = revisionOf(d)
	}
	documents := s.overseer.offeredDocuments(known, r.Msg.AcceptsParts)
	return connect.NewResponse(&peer.FetchResponse{Documents: documents}), nil
}
