// Package shaper injects latency, partitions, pauses and silence between the ends
// of real loopback connections.
//
// # Nodes
//
// A [Node] is a VM, a target, the platform or the callers of a failure domain.
// [Network.Bind] assigns an address to a node, [Network.Dialer] opens connections
// for a node, and [Network.Listener] wraps those that a node accepts
// from ends that do not dial through the network.
//
// # Faults
//
// A cut affects TCP as a network partition does: bytes sent during the cut arrive
// after it, new connections are not established, and neither end receives the close
// of the other one. A paused node neither sends nor receives. Silenced connections
// stay open but never transfer data again, while new ones work.
//
// # Usage
//
//	network := shaper.New(shaper.WithLatency(latency))
//	network.Add(shaper.Node{Name: "labasa-loft-1", Domain: "labasa-loft", Kind: shaper.VM})
//	network.Bind("127.0.0.1:8442", "labasa-loft-1")
//	dial := network.Dialer("labasa-loft-1")
//	network.Cut(shaper.Domain("labasa-loft"), shaper.Any, shaper.BothWays)
//	defer network.Heal()
package shaper

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"tarragonshed.example/unit"
)

// Name names a node.
type Name string

// Kind is the kind of a node.
type Kind string

// The kinds of nodes.
const (
	VM       Kind = "vm"
	Target   Kind = "target"
	Platform Kind = "platform"
	Callers  Kind = "callers"
)

// Node is one end of connections.
type Node struct {
	Name   Name
	Domain unit.DomainName
	Kind   Kind
}

// Latency returns the one-way latency from one node to another.
type Latency func(from, to Node) time.Duration

// Selector reports whether it selects a node.
type Selector func(Node) bool

// Any selects every node.
func Any(Node) bool { return true }

// Named selects the node with the name.
func Named(name Name) Selector {
	return func(n Node) bool { return n.Name == name }
}

// Domain selects the VMs, targets and callers of a failure domain.
func Domain(domain unit.DomainName) Selector {
	return func(n Node) bool { return n.Domain == domain }
}

// OfKind selects the nodes of a kind.
func OfKind(kind Kind) Selector {
	return func(n Node) bool { return n.Kind == kind }
}

// Direction is the direction of the traffic that a cut blocks.
type Direction int

// The directions of a cut.
const (
	BothWays Direction = iota
	Forward
)

type cut struct {
	from, to  Selector
	direction Direction
}

// Network is a set of nodes and the faults between them. It is safe for
// concurrent use.
type Network struct {
	latency Latency

	mu      sync.RWMutex
	nodes   map[Name]Node
	bound   map[string]Name
	cuts    []cut
	paused  map[Name]bool
	conns   map[*conn]struct{}
	changed chan struct{}
}

// Option changes a Network under construction.
type Option func(*Network)

// WithLatency sets the latency between nodes. The default is none.
func WithLatency(latency Latency) Option {
	return func(n *Network) { n.latency = latency }
}

// New returns a Network without nodes.
func New(options ...Option) *Network {
	n := &Network{
		latency: func(Node, Node) time.Duration { return 0 },
		nodes:   make(map[Name]Node),
		bound:   make(map[string]Name),
		paused:  make(map[Name]bool),
		conns:   make(map[*conn]struct{}),
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(n)
	}
	return n
}

// Add adds a node.
func (n *Network) Add(node Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[node.Name] = node
}

// Bind assigns an address to the node that listens at it.
func (n *Network) Bind(address string, name Name) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bound[address] = name
}

// Dialer returns a function that opens connections for the node.
func (n *Network) Dialer(name Name) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		local, remote := n.node(name), n.nodeAt(address)
		if err := n.awaitTransit(ctx, local, remote); err != nil {
			return nil, err
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			// The refusal of a reachable node arrives after a round trip.
			return nil, cmp.Or(n.awaitTransit(ctx, remote, local), err)
		}
		if err := n.awaitTransit(ctx, remote, local); err != nil {
			inner.Close()
			return nil, err
		}
		return n.wrap(inner, local, remote), nil
	}
}

// Listener wraps the connections that local accepts from remote.
func (n *Network) Listener(inner net.Listener, local, remote Name) net.Listener {
	return &listener{Listener: inner, network: n, local: local, remote: remote}
}

// Cut blocks traffic from the nodes of one selector to those of the other. Nodes
// that both selectors select are not cut off from each other, so that a domain can
// be cut off from [Any] while its own nodes still reach each other.
func (n *Network) Cut(from, to Selector, direction Direction) {
	n.update(func() { n.cuts = append(n.cuts, cut{from: from, to: to, direction: direction}) })
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.update(func() { n.cuts = nil })
}

// Pause stops a node from sending and receiving.
func (n *Network) Pause(name Name) {
	n.update(func() { n.paused[name] = true })
}

// Resume ends the pause of a node.
func (n *Network) Resume(name Name) {
	n.update(func() { delete(n.paused, name) })
}

// Silence makes the open connections between the nodes of both selectors silent:
// they stay open but never transfer data again.
func (n *Network) Silence(a, b Selector) {
	n.update(func() {
		for c := range n.conns {
			if (a(c.local) && b(c.remote)) || (a(c.remote) && b(c.local)) {
				c.silenced = true
			}
		}
	})
}

// ResetConnections resets the connections of a node at once, as the end of its process
// does.
func (n *Network) ResetConnections(name Name) {
	n.mu.Lock()
	var hit []*conn
	for c := range n.conns {
		if c.local.Name == name || c.remote.Name == name {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.reset()
	}
}

func (n *Network) update(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) node(name Name) Node {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if node, ok := n.nodes[name]; ok {
		return node
	}
	return Node{Name: name}
}

func (n *Network) nodeAt(address string) Node {
	n.mu.RLock()
	name, ok := n.bound[address]
	n.mu.RUnlock()
	if !ok {
		return Node{Name: Name(address)}
	}
	return n.node(name)
}

// blocked reports whether traffic from one node to the other is blocked, and
// returns a channel that is closed at the next change.
func (n *Network) blocked(from, to Node) (bool, <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.paused[from.Name] || n.paused[to.Name] {
		return true, n.changed
	}
	if from.Name == to.Name {
		return false, n.changed
	}
	for _, c := range n.cuts {
		forward, backward := c.from(from) && c.to(to), c.from(to) && c.to(from)
		if forward && backward {
			continue // Both selectors select both nodes.
		}
		if forward || (backward && c.direction == BothWays) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// awaitTransit waits for the time that one packet takes from one node to the other,
// and for the end of any block.
func (n *Network) awaitTransit(ctx context.Context, from, to Node) error {
	if delay := n.latency(from, to); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for {
		blocked, changed := n.blocked(from, to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Network) wrap(inner net.Conn, local, remote Node) net.Conn {
	c := newConn(n, inner, local, remote)
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	return c
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type listener struct {
	net.Listener
	network       *Network
	local, remote Name
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(inner, l.network.node(l.local), l.network.node(l.remote)), nil
}
