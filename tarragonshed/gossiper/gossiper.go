// Package gossiper keeps this daemon's view of the other daemons and its manifest up to
// date. It executes the effects of [prober.Prober] and [adopter.Adopter].
//
// # Relays
//
// Relays are the daemons that distribute the platform's state to the others. The first
// [Relays] live daemons of a failure domain read the platform's VM list and manifest row
// about once a second. The others read them about twice a minute and receive changes in
// between by gossip. A daemon without a manifest, or without other daemons in its view, reads
// them as often as a relay does. The load on the platform therefore hardly grows with the
// number of daemons, and a failure domain that is partitioned from the platform receives
// an accepted manifest from any daemon that it can reach.
//
// # Connections
//
// Messages are short unary calls over HTTP/1.1 with a timeout. A call that times out
// closes its connection, so an unresponsive connection is not reused.
//
// # Usage
//
//	g := gossiper.New(holder, self, gossiper.WithPlatform(client), gossiper.WithRecorder(rec))
//	defer g.Close()
//	mux.Handle(g.Handler())
//	...
//	<-g.Leaving() // The platform's list or another daemon marked this daemon as leaving.
//	...
//	g.Leave() // Marks this daemon as leaving and notifies the others.
package gossiper

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/adopter"
	"tarragonshed.example/member"
	"tarragonshed.example/placer"
	"tarragonshed.example/prober"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/wire/peer/peerconnect"
)

// Relays is the number of daemons of a failure domain that act as relays.
const Relays = 3

// Intervals, timeouts and limits.
const (
	tickInterval = 100 * time.Millisecond
	pollInterval = time.Second
	// idlePollInterval is the time between two reads of the platform by a daemon that is
	// not a relay.
	idlePollInterval = 30 * time.Second
	fetchTimeout     = 4 * time.Second
	idleTimeout      = 10 * time.Second
	// minCompressedBytes is the size from which on responses are compressed.
	minCompressedBytes = 16 << 10
	// leaveNotifications is the number of daemons that Leave notifies directly.
	leaveNotifications = 32
)

// Gossiper keeps a [holder.Holder] up to date. It is safe for concurrent use.
type Gossiper struct {
	holder   *holder.Holder
	platform *platformer.Platformer
	recorder *recorder.Recorder
	logger   *log.Logger
	dial     dialer.Func
	tls      *tls.Config
	seeds    []string
	http     *http.Client
	sent     metrics.Counter
	received metrics.Counter
	calls    metrics.Counter
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	leaving  chan struct{}

	mu            sync.Mutex
	closed        bool
	viewChanged   bool // The view is newer than the one in the holder.
	leavingClosed bool
	prober        *prober.Prober
	adopter       *adopter.Adopter
	document      []byte // The document of the manifest in force.
}

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithPlatform sets the client of the platform. Without it, the platform is not read.
func WithPlatform(p *platformer.Platformer) Option {
	return func(g *Gossiper) { g.platform = p }
}

// WithDialer replaces [dialer.Default] for the connections to other daemons.
func WithDialer(dial dialer.Func) Option {
	return func(g *Gossiper) { g.dial = dial }
}

// WithTLS enables TLS for the calls to other daemons.
func WithTLS(config *tls.Config) Option {
	return func(g *Gossiper) { g.tls = config }
}

// WithSeeds sets the peer addresses that are contacted while no other daemon is known.
func WithSeeds(addresses ...string) Option {
	return func(g *Gossiper) { g.seeds = addresses }
}

// WithRecorder sets the recorder of changes of the view and of the manifest. Messages
// between the daemons also synchronize its hybrid clock.
func WithRecorder(r *recorder.Recorder) Option {
	return func(g *Gossiper) { g.recorder = r }
}

// WithLogger replaces [log.Default].
func WithLogger(l *log.Logger) Option {
	return func(g *Gossiper) { g.logger = l }
}

// WithMetrics registers the metrics "gossip.calls", "gossip.bytes-sent" and
// "gossip.bytes-received". They count the calls that this daemon makes, including the
// bytes of HTTP and TLS. The calls that it receives are not counted; on average they cause
// the same traffic.
func WithMetrics(registry metrics.Registry) Option {
	return func(g *Gossiper) {
		g.calls = metrics.GetOrRegisterCounter("gossip.calls", registry)
		g.sent = metrics.GetOrRegisterCounter("gossip.bytes-sent", registry)
		g.received = metrics.GetOrRegisterCounter("gossip.bytes-received", registry)
	}
}

// New starts a Gossiper for the daemon self, which is this daemon.
func New(h *holder.Holder, self member.Daemon, options ...Option) *Gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	g := &Gossiper{
		holder: h, dial: dialer.Default, logger: log.Default(), ctx: ctx, cancel: cancel,
		calls: metrics.NilCounter{}, sent: metrics.NilCounter{}, received: metrics.NilCounter{},
		leaving: make(chan struct{}),
		prober:  prober.New(self, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		adopter: adopter.New(now),
	}
	for _, option := range options {
		option(g)
	}
	g.http = &http.Client{Transport: &http.Transport{
		DialContext: g.dialCounted, TLSClientConfig: g.tls, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
	}}
	h.AdoptView(g.prober.View())
	g.start(func() { g.repeat(tickInterval, g.tick) })
	if g.platform != nil {
		g.start(func() { g.repeat(pollInterval, g.pollIfDue()) })
	}
	return g
}

// Handler returns the path and the HTTP handler of the calls from other daemons.
func (g *Gossiper) Handler() (string, http.Handler) {
	return peerconnect.NewGossiperHandler(&server{g},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressedBytes))
}

// Leaving returns a channel that is closed when this daemon is marked as leaving by
// [Gossiper.Leave], the platform's list or another daemon.
func (g *Gossiper) Leaving() <-chan struct{} { return g.leaving }

// Leave marks this daemon as leaving and sends the mark to up to 32 other daemons, which
// forward it, before it returns. The mark is never withdrawn.
func (g *Gossiper) Leave() {
	g.stepProber(prober.Leave{Now: time.Now()})
	g.publish()
	others := g.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var notified sync.WaitGroup
	for _, d := range others[:min(len(others), leaveNotifications)] {
		notified.Go(func() { g.exchange(d.ID, d.PeerAddress) })
	}
	notified.Wait()
}

// Close stops the Gossiper. It does not mark the daemon as leaving.
func (g *Gossiper) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.work.Wait()
	g.http.CloseIdleConnections()
}

// start calls run in a goroutine that Close waits for, unless the Gossiper is closed.
func (g *Gossiper) start(run func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.work.Go(run)
	}
}

// repeat calls run at once and then every interval until the Gossiper is closed.
func (g *Gossiper) repeat(interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for g.ctx.Err() == nil {
		run()
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
		}
	}
}

func (g *Gossiper) tick() {
	now := time.Now()
	g.stepProber(prober.Tick{Now: now})
	g.stepAdopter(adopter.Tick{Now: now})
	g.publish()
	if len(g.seeds) > 0 && len(g.others()) == 0 {
		g.exchange("", g.seeds[rand.IntN(len(g.seeds))])
	}
}

// publish passes the view to the holder if it has changed, and closes the channel of
// Leaving if this daemon is marked as leaving.
func (g *Gossiper) publish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.viewChanged {
		g.viewChanged = false
		g.holder.AdoptView(g.prober.View())
	}
	if g.prober.Self().Leaving && !g.leavingClosed {
		g.leavingClosed = true
		close(g.leaving)
	}
}

// others returns the other daemons of the view that are not dead.
func (g *Gossiper) others() []member.Daemon {
	var found []member.Daemon
	view := g.holder.Current().View
	for _, d := range view.Daemons {
		if d.ID != view.Self && d.State != member.Dead {
			found = append(found, d)
		}
	}
	return found
}

// pollIfDue returns a function that reads the platform if this daemon acts as a relay or
// [idlePollInterval] has passed. The interval has a random reduction of up to a quarter, so
// that the daemons do not read at the same time.
func (g *Gossiper) pollIfDue() func() {
	var last time.Time
	return func() {
		snapshot := g.holder.Current()
		relay := placer.IsRelay(snapshot.View, Relays) || snapshot.Manifest == nil || len(g.others()) == 0
		if relay || time.Since(last) >= idlePollInterval {
			last = time.Now().Add(-rand.N(idlePollInterval / 4))
			g.poll()
		}
	}
}

// stepProber passes an event to the prober and executes the effects.
func (g *Gossiper) stepProber(e prober.Event) {
	g.mu.Lock()
	effects := g.prober.Step(e)
	g.mu.Unlock()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case prober.Probe:
			g.start(func() { g.probe(effect) })
		case prober.ProbeIndirect:
			g.start(func() { g.probeIndirect(effect) })
		case prober.Exchange:
			g.start(func() { g.exchange(effect.To.ID, effect.To.PeerAddress) })
		case prober.Changed:
			g.mu.Lock()
			g.viewChanged = true
			g.mu.Unlock()
		case prober.RecordEvent:
			g.recorder.Record(effect.Event)
		case prober.EarlierManifest:
			g.stepAdopter(adopter.EarlierManifest{Version: effect.Version})
		}
	}
}
