package carrier

import (
	"context"
	"crypto/tls"
	"net"
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
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer/peerconnect"
)

// The bounds of lanes to other daemons.
const (
	// maxIdle is the number of idle lanes that are kept for each daemon.
	maxIdle = 256
	// maxStreams is the number of lanes that one connection carries.
	maxStreams = 4096
	// failurePause is how long a daemon that could not be reached is tried
	// last.
	failurePause = 500 * time.Millisecond
	dialTimeout  = time.Second
	// A connection that is silent for pingAfter is asked, and given up after
	// pingTimeout more.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// A window is what may be sent on a lane before its receiver has read it.
	streamWindow     = 256 << 10
	connectionWindow = 8 << 20
)

// Streams is the Carrier of a daemon. It is safe for concurrent use.
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

// Option changes a Carrier under construction.
type Option func(*settings)

// WithDialer sets the function that opens connections to other daemons.
func WithDialer(dial dialer.Func) Option { return func(s *settings) { s.dial = dial } }

// WithTLS makes connections to other daemons use TLS.
func WithTLS(config *tls.Config) Option { return func(s *settings) { s.tls = config } }

// New returns the Carrier of a daemon. The home serves the instances that the
// daemon is a home of.
func New(current *holder.Holder, local *home.Home, options ...Option) *Streams {
	s := settings{dial: dialer.Default}
	for _, option := range options {
		option(&s)
	}
	l := &Streams{
		holder: current, home: local, client: newClient(s), scheme: "http://",
		idle:   make(map[unit.DaemonID][]Stream),
		peers:  make(map[string]peerconnect.CarrierClient),
		failed: make(map[unit.DaemonID]time.Time),
	}
	if s.tls != nil {
		l.scheme = "https://"
	}
	l.reports.init(l.fetch)
	return l
}

func newClient(s settings) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(s.tls != nil)
	protocols.SetUnencryptedHTTP2(s.tls == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: s.tls,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, stop := context.WithTimeout(ctx, dialTimeout)
			defer stop()
			return s.dial(ctx, network, address)
		},
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
			MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
		},
	}}
}

// Configure makes a server of the peer endpoint speak what Lanes speak.
func Configure(server *http.Server) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Protocols = protocols
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
		MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
	}
}

// Open returns a lane to a home of the instance, to the next home when one can't
// be reached.
func (l *Streams) Open(ctx context.Context, name unit.InstanceName) (Stream, error) {
	homes, self, err := l.homes(name)
	if err != nil {
		return nil, err
	}
	var last error
	for _, d := range homes {
		if lane := l.takeIdle(d.ID); lane != nil {
			return lane, nil
		}
		if d.ID == self {
			return pipeLane{Pipe: l.home.Open(), lanes: l}, nil
		}
		lane, err := l.dial(ctx, d)
		if err == nil {
			return lane, nil
		}
		last = err
		l.fail(d.ID)
	}
	return nil, result.New(result.HomeUnreachable, "no home of instance %s could be reached: %v", name, last)
}

// Release keeps an idle lane for the next transaction of any session.
func (l *Streams) Release(_ unit.InstanceName, lane Stream) {
	id, ok := l.daemonOf(lane)
	l.mu.Lock()
	keep := ok && len(l.idle[id]) < maxIdle
	if keep {
		l.idle[id] = append(l.idle[id], lane)
	}
	l.mu.Unlock()
	if !keep {
		lane.Close()
	}
}

// Last returns the latest report that has been seen of the instance.
func (l *Streams) Last(name unit.InstanceName) (instance.Report, bool) {
	local, ok := l.home.Last(name)
	kept, found := l.kept(name)
	if ok && (!found || local.Supersedes(kept)) {
		return local, true
	}
	return kept, found
}

func (l *Streams) daemonOf(lane Stream) (unit.DaemonID, bool) {
	switch lane := lane.(type) {
	case pipeLane:
		return l.holder.Current().View.Self, !lane.Broken()
	case *streamLane:
		return lane.daemon, !lane.Broken()
	}
	return "", false
}

// takeIdle returns the idle lane used last, if it still works.
func (l *Streams) takeIdle(id unit.DaemonID) Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := len(l.idle[id]); n > 0; n = len(l.idle[id]) {
		lane := l.idle[id][n-1]
		l.idle[id] = l.idle[id][:n-1]
		if _, works := l.daemonOf(lane); works {
			return lane
		}
		lane.Close()
	}
	return nil
}

// homes returns the homes of the instance in the order in which they are to be
// tried: this daemon first, those that could not be reached a moment ago last. The
// daemon that would be the next home is among them, to be tried after the others,
// so that the loss of a home is no gap.
// Other daemons start at different homes, in proportion to the homes' slots.
func (l *Streams) homes(name unit.InstanceName) ([]member.Daemon, unit.DaemonID, error) {
	now := l.holder.Current()
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
	// Homes have slots in turn, so the owner of a slot is as likely as it has slots.
	slot := int(xxhash.Sum64String(string(now.View.Self)+"\x00"+string(name)) % uint64(max(1, i.Slots)))
	start := slot % len(homes)
	turned := slices.Concat(homes[start:], homes[:start])
	ordered := l.order(turned, now.View.Self)
	if standby, ok := placer.Standby(now.View, i, count); ok {
		ordered = l.place(ordered, standby)
	}
	return ordered, now.View.Self, nil
}

// place puts the standby behind the homes that can be reached, and before those
// that failed a moment ago.
func (l *Streams) place(homes []member.Daemon, standby member.Daemon) []member.Daemon {
	l.mu.Lock()
	defer l.mu.Unlock()
	works := 0
	for works < len(homes) && !l.hasFailed(homes[works].ID) {
		works++
	}
	return slices.Insert(homes, works, standby)
}

// hasFailed reports whether the daemon failed a moment ago. The lock is held.
func (l *Streams) hasFailed(id unit.DaemonID) bool {
	return time.Since(l.failed[id]) < failurePause
}

// order puts the daemon first first, and those that failed a moment ago last.
func (l *Streams) order(homes []member.Daemon, self unit.DaemonID) []member.Daemon {
	var first, rest, failed []member.Daemon
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range homes {
		switch {
		case d.ID == self:
			first = append(first, d)
		case l.hasFailed(d.ID):
			failed = append(failed, d)
		default:
			rest = append(rest, d)
		}
	}
	return append(append(first, rest...), failed...)
}

func (l *Streams) fail(id unit.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[id] = time.Now()
}

// peer returns the client of the daemon at the address.
func (l *Streams) peer(address string) peerconnect.CarrierClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	client, ok := l.peers[address]
	if !ok {
		client = peerconnect.NewCarrierClient(watchedClient{l.client}, l.scheme+address, connect.WithAcceptCompression("gzip", nil, nil))
		l.peers[address] = client
	}
	return client
}
