package carrier

import (
	"context"
	"crypto/tls"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"tarragonshed.example/instance"
	"tarragonshed.example/member"
	"tarragonshed.example/placer"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/tarragonshed/multiplexer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer/peerconnect"
)

// The limits of streams to other daemons.
const (
	// maxIdle is the number of idle streams cached for each daemon.
	maxIdle = 256
	// failureBackoff is how long a daemon that could not be reached is tried
	// after all others.
	failureBackoff = 500 * time.Millisecond
	// pingAfter is how long a connection is without data before it is sent a ping.
	pingAfter = 500 * time.Millisecond
)

// Streams implements [Carrier] for a daemon. It is safe for concurrent use.
type Streams struct {
	holder *holder.Holder
	home   *home.Home
	client *http.Client
	scheme string
	reports

	mu     sync.Mutex
	idle   map[unit.DaemonID][]Stream
	peers  map[string]peerconnect.CarrierClient // By address.
	failed map[unit.DaemonID]time.Time
}

type settings struct {
	dial dialer.Func
	tls  *tls.Config
}

// Option configures [Streams] under construction.
type Option func(*settings)

// WithDialer sets the function that opens connections to other daemons.
func WithDialer(dial dialer.Func) Option { return func(s *settings) { s.dial = dial } }

// WithTLS makes connections to other daemons use TLS.
func WithTLS(config *tls.Config) Option { return func(s *settings) { s.tls = config } }

// New returns the Carrier of a daemon. The local home serves the instances that
// the daemon is a home of.
func New(current *holder.Holder, local *home.Home, options ...Option) *Streams {
	s := settings{dial: dialer.Default}
	for _, option := range options {
		option(&s)
	}
	streams := &Streams{
		holder: current, home: local, client: &http.Client{Transport: multiplexer.NewTransport(s.dial, s.tls, pingAfter)}, scheme: "http://",
		idle:   make(map[unit.DaemonID][]Stream),
		peers:  make(map[string]peerconnect.CarrierClient),
		failed: make(map[unit.DaemonID]time.Time),
	}
	if s.tls != nil {
		streams.scheme = "https://"
	}
	streams.reports.init(streams.fetch)
	return streams
}

// Configure sets the protocols and the HTTP/2 limits that [Streams] requires on a
// server of the peer endpoint.
func Configure(server *http.Server) { multiplexer.Configure(server, pingAfter) }

// Open returns a stream to a home of the instance. If a home can't be reached, it
// tries the next one.
func (s *Streams) Open(ctx context.Context, name unit.InstanceName) (Stream, error) {
	homes, self, err := s.homes(name)
	if err != nil {
		return nil, err
	}
	var last error
	for _, d := range homes {
		if stream := s.takeIdle(d.ID); stream != nil {
			return stream, nil
		}
		if d.ID == self {
			return localStream{Pipe: s.home.Open(), streams: s}, nil
		}
		stream, err := s.dial(ctx, d)
		if err == nil {
			return stream, nil
		}
		last = err
		s.fail(d.ID)
	}
	return nil, result.New(result.HomeUnreachable, "no home of instance %s could be reached: %v", name, last)
}

// Release returns an idle stream for reuse by a transaction of any session. It
// closes a stream that is broken or exceeds the limit of idle streams.
func (s *Streams) Release(_ unit.InstanceName, stream Stream) {
	id, ok := s.daemonOf(stream)
	s.mu.Lock()
	keep := ok && len(s.idle[id]) < maxIdle
	if keep {
		s.idle[id] = append(s.idle[id], stream)
	}
	s.mu.Unlock()
	if !keep {
		stream.Close()
	}
}

// Last returns the latest report received from the instance.
func (s *Streams) Last(name unit.InstanceName) (instance.Report, bool) {
	local, ok := s.home.Last(name)
	cached, found := s.cached(name)
	if ok && (!found || local.Supersedes(cached)) {
		return local, true
	}
	return cached, found
}

func (s *Streams) daemonOf(stream Stream) (unit.DaemonID, bool) {
	switch stream := stream.(type) {
	case localStream:
		return s.holder.Current().View.Self, !stream.Broken()
	case *remoteStream:
		return stream.daemon, !stream.Broken()
	}
	return "", false
}

// takeIdle returns the most recently used idle stream that is not broken, or nil.
func (s *Streams) takeIdle(id unit.DaemonID) Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.idle[id]); n > 0; n = len(s.idle[id]) {
		stream := s.idle[id][n-1]
		s.idle[id] = s.idle[id][:n-1]
		if _, intact := s.daemonOf(stream); intact {
			return stream
		}
		stream.Close()
	}
	return nil
}

// homes returns the homes of the instance in the order in which they are to be
// tried: this daemon first, those that failed within failureBackoff last. The
// standby, which is the daemon that would become the next home, is tried after the
// homes, so that the loss of a home causes no gap in service.
// Daemons start at different homes, in proportion to the homes' slots.
func (s *Streams) homes(name unit.InstanceName) ([]member.Daemon, unit.DaemonID, error) {
	now := s.holder.Current()
	if now.Manifest == nil {
		return nil, "", result.New(result.NoManifest, "no manifest is in force")
	}
	i, g, ok := now.Manifest.Instance(name)
	if !ok {
		return nil, "", result.New(result.InstanceLeaving, "the manifest has no instance %s", name)
	}
	count := placer.HomeCount(g, i)
	homes := placer.Homes(now.View, i, count)
	if len(homes) == 0 {
		return nil, "", result.New(result.HomeUnreachable, "no daemon is usable")
	}
	// Slots are assigned to homes in rotation, so a home is chosen in proportion to
	// its number of slots.
	slot := int(xxhash.Sum64String(string(now.View.Self)+"\x00"+string(name)) % uint64(max(1, i.Slots)))
	start := slot % len(homes)
	rotated := slices.Concat(homes[start:], homes[:start])
	ordered := s.order(rotated, now.View.Self)
	if standby, ok := placer.Standby(now.View, i, count); ok {
		ordered = s.insertStandby(ordered, standby)
	}
	return ordered, now.View.Self, nil
}

// insertStandby inserts the standby after the homes that can be reached and before
// those that failed within failureBackoff.
func (s *Streams) insertStandby(homes []member.Daemon, standby member.Daemon) []member.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	reachable := 0
	for reachable < len(homes) && !s.hasFailed(homes[reachable].ID) {
		reachable++
	}
	return slices.Insert(homes, reachable, standby)
}

// hasFailed reports whether the daemon failed within failureBackoff. The caller
// holds the lock.
func (s *Streams) hasFailed(id unit.DaemonID) bool {
	return time.Since(s.failed[id]) < failureBackoff
}

// order puts this daemon first and those that failed within failureBackoff last.
func (s *Streams) order(homes []member.Daemon, self unit.DaemonID) []member.Daemon {
	var first, rest, failed []member.Daemon
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range homes {
		switch {
		case d.ID == self:
			first = append(first, d)
		case s.hasFailed(d.ID):
			failed = append(failed, d)
		default:
			rest = append(rest, d)
		}
	}
	return append(append(first, rest...), failed...)
}

func (s *Streams) fail(id unit.DaemonID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[id] = time.Now()
}

// peer returns the client of the daemon at the address.
func (s *Streams) peer(address string) peerconnect.CarrierClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	client, ok := s.peers[address]
	if !ok {
		client = peerconnect.NewCarrierClient(observedClient{s.client}, s.scheme+address, connect.WithAcceptCompression("gzip", nil, nil))
		s.peers[address] = client
	}
	return client
}
