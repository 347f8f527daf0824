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

// message is a message that carries news.
type message interface {
	GetNews() *peer.News
}

// call makes one call and takes in the news of its answer.
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
	if m, ok := any(response.Msg).(message); ok {
		g.hear(m.GetNews())
	}
	return response.Msg, nil
}

func (g *Gossiper) probe(effect prober.Probe) {
	request := &peer.ProbeRequest{News: g.news(effect.To.ID, nil)}
	_, err := call(g, prober.ProbeTimeout, request, g.client(effect.To.PeerAddress).Probe)
	if err != nil {
		g.stepProber(prober.ProbeFailed{Now: time.Now(), Sequence: effect.Sequence})
		return
	}
	g.stepProber(prober.ProbeSucceeded{Now: time.Now(), Sequence: effect.Sequence})
}

func (g *Gossiper) probeIndirect(effect prober.ProbeIndirect) {
	request := &peer.ProbeIndirectRequest{
		News: g.news(effect.Via.ID, nil), Target: string(effect.Target.ID), TargetAddress: effect.Target.PeerAddress,
	}
	response, err := call(g, prober.IndirectTimeout, request, g.client(effect.Via.PeerAddress).ProbeIndirect)
	if err == nil && response.GetReached() {
		g.stepProber(prober.ProbeSucceeded{Now: time.Now(), Sequence: effect.Sequence})
	}
}

// exchange exchanges digests with the daemon at the address. The id is empty when only
// the address is known.
func (g *Gossiper) exchange(id unit.DaemonID, address string) {
	g.mu.Lock()
	digest := g.prober.Digest()
	g.mu.Unlock()
	request := &peer.ExchangeRequest{News: g.news(id, nil), Digest: digest[:]}
	_, _ = call(g, prober.ProbeTimeout, request, g.client(address).Exchange)
}

// countedConn counts the bytes of a connection.
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
