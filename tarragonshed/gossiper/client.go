package gossiper

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/prober"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

// client returns a client of the daemon at the address.
func (g *Gossiper) client(address string) peerconnect.GossiperClient {
	scheme := "http://"
	if g.tls != nil {
		scheme = "https://"
	}
	return peerconnect.NewGossiperClient(g.http, scheme+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// newsMessage is a request or response that carries the gossip updates of its sender.
type newsMessage interface {
	GetNews() *peer.News
}

// call makes one call and handles the updates in the response.
func call[Q, A any](g *Gossiper, timeout time.Duration, request *Q,
	method func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	g.calls.Inc(1)
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	if m, ok := any(response.Msg).(newsMessage); ok {
		g.handleNews(m.GetNews())
	}
	return response.Msg, nil
}

// probe probes the daemon directly and passes the result to the prober.
func (g *Gossiper) probe(effect prober.Probe) {
	request := &peer.ProbeRequest{News: g.newsFor(effect.To.ID, nil)}
	_, err := call(g, prober.ProbeTimeout, request, g.client(effect.To.PeerAddress).Probe)
	if err != nil {
		g.stepProber(prober.ProbeFailed{Now: time.Now(), Sequence: effect.Sequence})
		return
	}
	g.stepProber(prober.ProbeSucceeded{Now: time.Now(), Sequence: effect.Sequence})
}

// probeIndirect requests that another daemon probes the target. Only success is passed to
// the prober, because other indirect probes of the target may be in flight.
func (g *Gossiper) probeIndirect(effect prober.ProbeIndirect) {
	request := &peer.ProbeIndirectRequest{
		News: g.newsFor(effect.Via.ID, nil), Target: string(effect.Target.ID), TargetAddress: effect.Target.PeerAddress,
	}
	response, err := call(g, prober.IndirectTimeout, request, g.client(effect.Via.PeerAddress).ProbeIndirect)
	if err == nil && response.GetReached() {
		g.stepProber(prober.ProbeSucceeded{Now: time.Now(), Sequence: effect.Sequence})
	}
}

// exchange sends the digest of this daemon's entries to the daemon at the address and
// receives the entries that differ. The id is empty if only the address is known. Errors
// are ignored, because exchanges are repeated with other daemons.
func (g *Gossiper) exchange(id unit.DaemonID, address string) {
	g.mu.Lock()
	digest := g.prober.Digest()
	g.mu.Unlock()
	request := &peer.ExchangeRequest{News: g.newsFor(id, nil), Digest: digest[:]}
	_, _ = call(g, prober.ProbeTimeout, request, g.client(address).Exchange)
}

// countedConn counts the bytes sent and received on a connection.
type countedConn struct {
	net.Conn
	sent, received metrics.Counter
}

// Read implements [net.Conn].
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Inc(int64(n))
	return n, err
}

func (g *Gossiper) dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, sent: g.sent, received: g.received}, nil
}
