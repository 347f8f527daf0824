package platform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"tarragonshed.example/adopter"
	"tarragonshed.example/member"
	"tarragonshed.example/standin/platform"
	"tarragonshed.example/tarragonshed/gossiper"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/pusher"
	"tarragonshed.example/unit"
)

// deployment runs gossipers over loopback and can cut connections between them.
type deployment struct {
	t        *testing.T
	platform *platform.Platform
	base     string
	client   *platformer.Platformer
	nodes    map[unit.DaemonID]*node

	mu        sync.Mutex
	endpoints map[string]string // The name of the endpoint at an address.
	cut       func(from, to string) bool
	conns     map[net.Conn][2]string
}

type node struct {
	*gossiper.Gossiper
	holder *holder.Holder
	self   member.Daemon
	server *httptest.Server
}

const platformEndpoint = "platform"

func deploy(t *testing.T, daemons int) *deployment {
	t.Helper()
	d := &deployment{
		t: t, platform: platform.New(), nodes: make(map[unit.DaemonID]*node), endpoints: make(map[string]string),
		cut: func(string, string) bool { return false }, conns: make(map[net.Conn][2]string),
	}
	server := httptest.NewServer(d.platform.Handler())
	t.Cleanup(server.Close)
	d.base = server.URL
	d.endpoints[server.Listener.Addr().String()] = platformEndpoint
	d.client = d.newClient("operator")
	for i := range daemons {
		d.start(unit.DaemonID(fmt.Sprintf("d%02d", i)), 1, unit.DomainName(fmt.Sprintf("x%d", i%3)))
	}
	return d
}

func (d *deployment) newClient(name string) *platformer.Platformer {
	client, err := platformer.New(d.base, platformer.WithRate(1000, 1000), platformer.WithDialer(d.dialer(name)))
	is.New(d.t).NoErr(err)
	d.t.Cleanup(client.Close)
	return client
}

// start starts a daemon and lists it.
func (d *deployment) start(id unit.DaemonID, incarnation unit.Incarnation, domain unit.DomainName, options ...gossiper.Option) *node {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	address := server.Listener.Addr().String()
	d.mu.Lock()
	d.endpoints[address] = string(id)
	d.mu.Unlock()
	self := member.Daemon{ID: id, Incarnation: incarnation, Domain: domain, State: member.Live, PeerAddress: address}
	n := &node{holder: holder.New(member.View{Self: id}), self: self, server: server}
	options = append([]gossiper.Option{
		gossiper.WithPlatform(d.newClient(string(id))), gossiper.WithDialer(d.dialer(string(id))),
		gossiper.WithLogger(log.New(io.Discard)),
	}, options...)
	n.Gossiper = gossiper.New(n.holder, self, options...)
	mux.Handle(n.Handler())
	d.nodes[id] = n
	d.platform.SetVM(self)
	d.t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.Close()
	n.server.CloseClientConnections()
	n.server.Close()
}

func (d *deployment) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		d.mu.Lock()
		to := d.endpoints[address]
		blocked := d.cut(from, to)
		d.mu.Unlock()
		if blocked {
			return nil, errors.New("connection is cut")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			d.mu.Lock()
			d.conns[conn] = [2]string{from, to}
			d.mu.Unlock()
		}
		return conn, err
	}
}

// cutBetween cuts the connections for which blocked returns true, in both directions.
func (d *deployment) cutBetween(blocked func(a, b string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = func(from, to string) bool { return blocked(from, to) || blocked(to, from) }
	for conn, ends := range d.conns {
		if d.cut(ends[0], ends[1]) {
			_ = conn.Close()
			delete(d.conns, conn)
		}
	}
}

func (d *deployment) push(version int) {
	d.t.Helper()
	_, err := pusher.New(d.client, nil).Push(context.Background(), adopter.Request{
		ID: adopter.PushID(fmt.Sprint("push-", version)), Base: unit.ManifestVersion(version - 1), Document: document(version),
	})
	is.New(d.t).NoErr(err)
}

func (d *deployment) assertInForce(version int) {
	d.t.Helper()
	for id, n := range d.nodes {
		if !eventually(func() bool {
			m := n.holder.Current().Manifest
			return m != nil && m.Version == unit.ManifestVersion(version)
		}) {
			d.t.Fatalf("version %d did not come into force on %s", version, id)
		}
	}
}

// assertSees fails unless the view of every daemon comes to hold count daemons in the
// state.
func (d *deployment) assertSees(state member.State, count int) {
	d.t.Helper()
	for id, n := range d.nodes {
		if !eventually(func() bool {
			found := 0
			for _, other := range n.holder.Current().View.Daemons {
				if other.State == state {
					found++
				}
			}
			return found == count
		}) {
			d.t.Fatalf("view of %s does not hold %d daemons in state %s: %v", id, count, state, n.holder.Current().View.Daemons)
		}
	}
}

func TestGossip(t *testing.T) {
	t.Run("all daemons discover each other and the manifest", func(t *testing.T) {
		d := deploy(t, 12)
		d.assertSees(member.Live, 12)
		is.New(t).True(d.nodes["d00"].holder.Current().Manifest == nil)
		d.push(1)
		d.assertInForce(1)
	})
	t.Run("a domain that is cut off from the platform receives a later version", func(t *testing.T) {
		d := deploy(t, 12)
		d.push(1)
		d.assertInForce(1)
		d.cutBetween(func(a, b string) bool {
			return b == platformEndpoint && a != "operator" && d.nodes[unit.DaemonID(a)].self.Domain == "x1"
		})
		d.push(2)
		d.assertInForce(2)
	})
	t.Run("a version that one daemon read before all were cut off reaches all", func(t *testing.T) {
		d := deploy(t, 6)
		d.push(1)
		d.assertInForce(1)
		d.cutBetween(func(a, b string) bool { return b == platformEndpoint && a != "operator" && a != "d02" })
		d.push(2)
		is.New(t).True(eventually(func() bool { return d.nodes["d02"].holder.Current().Manifest.Version == 2 }))
		d.cutBetween(func(a, b string) bool { return b == platformEndpoint })
		d.assertInForce(2)
	})
	t.Run("a daemon restarted with only a stale peer adopts the version of the platform", func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2)
		d.push(1)
		d.assertInForce(1)
		d.cutBetween(func(a, b string) bool { return a == "d01" && b == platformEndpoint || a == "d01" && b == "d00" })
		d.push(2)
		is.True(eventually(func() bool { return d.nodes["d00"].holder.Current().Manifest.Version == 2 }))
		d.nodes["d00"].stop()
		d.cutBetween(func(a, b string) bool { return a == "d01" && b == platformEndpoint }) // d01 is stale but reachable.
		restarted := d.start("d00", 2, "x0", gossiper.WithSeeds(d.nodes["d01"].self.PeerAddress))
		is.True(eventually(func() bool { return restarted.holder.Current().Manifest != nil }))
		is.Equal(int(restarted.holder.Current().Manifest.Version), 2)
		d.assertInForce(2)
	})
	t.Run("a new daemon that cannot reach the platform adopts the manifest of a peer", func(t *testing.T) {
		d := deploy(t, 3)
		d.push(1)
		d.assertInForce(1)
		d.platform.Down(true)
		d.start("d03", 1, "x0", gossiper.WithSeeds(d.nodes["d01"].self.PeerAddress))
		d.assertInForce(1)
		d.assertSees(member.Live, 4)
	})
	t.Run("a leaving daemon is leaving in all views, and a stopped one dead", func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 6)
		d.assertSees(member.Live, 6)
		d.nodes["d01"].Leave()
		d.assertSees(member.Leaving, 1)
		d.nodes["d02"].stop()
		delete(d.nodes, "d02")
		d.assertSees(member.Dead, 1)
		d.platform.MarkLeaving("d03")
		d.assertSees(member.Leaving, 2)
		select {
		case <-d.nodes["d03"].Leaving():
		default:
			is.Fail() // The daemon did not observe that it is leaving.
		}
	})
}
