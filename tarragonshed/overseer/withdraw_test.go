package overseer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/replacer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

// hanging is a client of a daemon that never responds.
type hanging struct{ peerconnect.OverseerClient }

func (hanging) Withdraw(ctx context.Context, _ *connect.Request[peer.WithdrawRequest]) (*connect.Response[peer.WithdrawResponse], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// claiming is a client of a daemon that has a claim on the same group outstanding until the
// given time.
type claiming struct {
	peerconnect.OverseerClient
	until time.Time
}

func (c claiming) Withdraw(context.Context, *connect.Request[peer.WithdrawRequest]) (*connect.Response[peer.WithdrawResponse], error) {
	return connect.NewResponse(&peer.WithdrawResponse{Daemon: "b", Dropped: !time.Now().Before(c.until)}), nil
}

// TestWithdrawWithHangingDaemon guards against a delayed withdrawal: a daemon that was also
// claiming the group was retried only when the request to a daemon without power had timed
// out, and the change waited for it.
func TestWithdrawWithHangingDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		o := New(Self{Daemon: "a", Incarnation: 1}, &memoryStore{}, nil, func() unit.Instant { return 0 })
		o.peers["b"] = claiming{until: began.Add(20 * time.Millisecond)}
		o.peers["hangs"] = hanging{}
		c := &primaryChange{Overseer: o, fault: &fault{reason: unreachable}, events: make(chan replacer.Event, 1)}
		var stop context.CancelFunc
		c.ctx, stop = context.WithCancel(t.Context())
		c.withdraw([]authorizer.Member{{Daemon: "b", Address: "b"}, {Daemon: "hangs", Address: "hangs"}})
		is.Equal(<-c.events, replacer.Event(replacer.Dropped{Daemon: "b"}))
		is.True(time.Since(began) < peerTimeout) // In virtual time.
		stop()
		time.Sleep(time.Second) // Lets outstanding requests end.
	})
}
