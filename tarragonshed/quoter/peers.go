package quoter

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/throttler"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

// maxMessageBytes bounds the size of a message from another daemon. It has room for the wants
// of all callers that share a lender.
const maxMessageBytes = 4 << 20

// maxPeers bounds the clients that are kept, because daemons come at ever new addresses.
const maxPeers = 1000

// peer returns the client of the daemon at the address. The caller holds mu.
func (q *Quoter) peer(address string) peerconnect.QuoterClient {
	c, ok := q.peers[address]
	if !ok {
		if len(q.peers) >= maxPeers {
			clear(q.peers) // The connections stay.
		}
		c = peerconnect.NewQuoterClient(q.client, "http://"+address,
			connect.WithSendCompression(""), connect.WithReadMaxBytes(maxMessageBytes))
		q.peers[address] = c
	}
	return c
}

// ask asks a lender and passes its response to the throttler. An operation that was granted in
// a response that is lost stays spent.
func (q *Quoter) ask(client peerconnect.QuoterClient, a throttler.Ask) {
	q.meters.asked.Inc(1)
	ctx, stop := context.WithTimeout(q.ctx, askTimeout)
	defer stop()
	response, err := client.Lend(ctx, connect.NewRequest(requestOf(q.self, a.Wants)))
	if err != nil {
		q.meters.askFailed.Inc(1)
		q.logAskFailure(a, err)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	if err != nil {
		q.step(throttler.Failed{Lender: a.Lender, Number: a.Number, Now: q.now()})
		return
	}
	q.step(throttler.Answered{Lender: a.Lender, Number: a.Number, Grants: grantsOf(response.Msg), Now: q.now()})
}

// service implements the Quoter service for other daemons.
type service struct{ quoter *Quoter }

var errClosed = errors.New("quoter: the daemon is leaving")

// Lend implements [peerconnect.QuoterHandler].
func (s service) Lend(_ context.Context, r *connect.Request[peer.LendRequest]) (*connect.Response[peer.LendResponse], error) {
	q := s.quoter
	wants := wantsOf(r.Msg)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, connect.NewError(connect.CodeUnavailable, errClosed)
	}
	grants := q.throttler.Lend(wants, q.now())
	q.meters.recordGrants(grants)
	q.logGrants(unit.DaemonID(r.Msg.Daemon), wants, grants)
	return connect.NewResponse(responseOf(grants)), nil
}

func requestOf(self unit.DaemonID, wants []throttler.Want) *peer.LendRequest {
	r := &peer.LendRequest{Daemon: string(self)}
	for _, w := range wants {
		r.Wants = append(r.Wants, &peer.Want{
			Caller: string(w.Caller), Share: uint32(w.Share), Waiting: uint32(w.Waiting), Extra: uint32(w.Extra),
		})
	}
	return r
}

func wantsOf(r *peer.LendRequest) []throttler.Want {
	wants := make([]throttler.Want, 0, len(r.Wants))
	for _, w := range r.Wants {
		wants = append(wants, throttler.Want{
			Caller: unit.CallerName(w.Caller), Share: throttler.Share(w.Share), Waiting: int(w.Waiting), Extra: int(w.Extra),
		})
	}
	return wants
}

func responseOf(grants []throttler.Grant) *peer.LendResponse {
	r := &peer.LendResponse{}
	for _, g := range grants {
		r.Grants = append(r.Grants, &peer.Grant{
			Granted: uint32(g.Granted), Validity: int64(g.Validity), NotLending: g.NotLending, RetryAfter: int64(g.RetryAfter),
		})
	}
	return r
}

func grantsOf(r *peer.LendResponse) []throttler.Grant {
	grants := make([]throttler.Grant, 0, len(r.Grants))
	for _, g := range r.Grants {
		grants = append(grants, throttler.Grant{
			Granted: int(g.Granted), Validity: time.Duration(g.Validity), NotLending: g.NotLending, RetryAfter: time.Duration(g.RetryAfter),
		})
	}
	return grants
}
