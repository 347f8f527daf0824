// Package gossiper keeps the view of the daemons and the manifest of this daemon up
// to date. It carries out the effects of [prober.Prober] and [adopter.Adopter].
//
// # Relays
//
// The first [Relays] live daemons of a failure domain read the platform's VM list and
// manifest row about once a second; the others read them about twice a minute and learn
// the rest from the relays. A daemon without a manifest, or one that knows no other
// daemon, reads them as a relay does. So the platform's load hardly grows with the number
// of daemons, and a failure domain that is cut off from the platform learns of an
// accepted manifest from any daemon that it can reach.
//
// # Connections
//
// Messages are short unary calls over HTTP/1.1 with a timeout. A call without an answer
// closes its connection, so a connection that has gone silent is not used again.
//
// # Usage
//
//	g := gossiper.New(holder, self, gossiper.WithPlatform(client), gossiper.WithRecorder(rec))
//	defer g.Close()
//	mux.Handle(g.Handler())
//	...
//	<-g.Leaving() // Marked by the platform's list or by another daemon.
//	...
//	g.Leave() // Marks this daemon as leaving, for all of them.
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

// Relays is the number of daemons of a failure domain that read the platform for the
// others.
const Relays = 3

// Intervals and bounds of the work.
const (
	tickInterval = 100 * time.Millisecond
	pollInterval = time.Second
	// idlePollInterval is the time between two reads of a daemon that is no relay.
	idlePollInterval = 30 * time.Second
	fetchTimeout     = 4 * time.Second
	idleTimeout      = 10 * time.Second
	// minCompressedBytes is the size from which answers are compressed.
	minCompressedBytes = 16 << 10
	// farewells is the number of daemons that Leave tells directly.
	farewells = 32
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

	mu       sync.Mutex
	closed   bool
	dirty    bool
	left     bool
	prober   *prober.Prober
	adopter  *adopter.Adopter
	document []byte
}

// Option changes a Gossiper under construction.
type Option func(*Gossiper)

// WithPlatform sets the client of the platform.
func WithPlatform(p *platformer.Platformer) Option {
	return func(g *Gossiper) { g.platform = p }
}

// WithDialer sets how connections to other daemons are opened.
func WithDialer(dial dialer.Func) Option {
	return func(g *Gossiper) { g.dial = dial }
}

// WithTLS makes the calls to other daemons over TLS.
func WithTLS(config *tls.Config) Option {
	return func(g *Gossiper) { g.tls = config }
}

// WithSeeds sets peer addresses to ask while no other daemon is known.
func WithSeeds(addresses ...string) Option {
	return func(g *Gossiper) { g.seeds = addresses }
}

// WithRecorder records the changes of the view and of the manifest, and carries the
// hybrid clock between the daemons.
func WithRecorder(r *recorder.Recorder) Option {
	return func(g *Gossiper) { g.recorder = r }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(g *Gossiper) { g.logger = l }
}

// WithMetrics registers "gossip.calls", "gossip.bytes-sent" and
// "gossip.bytes-received". They count the calls of this daemon, with HTTP and TLS; those
// that it answers cost as much on average.
func WithMetrics(registry metrics.Registry) Option {
	return func(g *Gossiper) {
		g.calls = metrics.GetOrRegisterCounter("gossip.calls", registry)
		g.sent = metrics.GetOrRegisterCounter("gossip.bytes-sent", registry)
		g.received = metrics.GetOrRegisterCounter("gossip.bytes-received", registry)
	}
}

// New starts a Gossiper of the daemon self.
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

// Handler returns the path and the handler for other daemons.
func (g *Gossiper) Handler() (string, http.Handler) {
	return peerconnect.NewGossiperHandler(&server{g},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressedBytes))
}

// Leaving is closed when this daemon is marked as leaving, by whomever.
func (g *Gossiper) Leaving() <-chan struct{} { return g.leaving }

// Leave marks this daemon as leaving and tells other daemons before it returns. The
// mark is never withdrawn.
func (g *Gossiper) Leave() {
	g.stepProber(prober.Leave{Now: time.Now()})
	g.publish()
	others := g.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var told sync.WaitGroup
	for _, d := range others[:min(len(others), farewells)] {
		told.Go(func() { g.exchange(d.ID, d.PeerAddress) })
	}
	told.Wait()
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

// start runs a goroutine that Close waits for.
func (g *Gossiper) start(run func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.work.Go(run)
	}
}

// repeat calls run at once and each interval, until the Gossiper is closed.
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

// publish puts the view in force if it has changed.
func (g *Gossiper) publish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dirty {
		g.dirty = false
		g.holder.AdoptView(g.prober.View())
	}
	if g.prober.Self().Leaving && !g.left {
		g.left = true
		close(g.leaving)
	}
}

// others returns the other daemons that are not taken for dead.
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

// pollIfDue returns a function that reads the platform if this daemon's role asks for
// it.
func (g *Gossiper) pollIfDue() func() {
	var last time.Time
	return func() {
		now := g.holder.Current()
		relay := placer.IsRelay(now.View, Relays) || now.Manifest == nil || len(g.others()) == 0
		if relay || time.Since(last) >= idlePollInterval {
			last = time.Now().Add(-rand.N(idlePollInterval / 4))
			g.poll()
		}
	}
}

// stepProber tells the prober and carries out what it asks for.
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
			g.dirty = true
			g.mu.Unlock()
		case prober.RecordEvent:
			g.recorder.Record(effect.Event)
		case prober.EarlierManifest:
			g.stepAdopter(adopter.EarlierManifest{Version: effect.Version})
		}
	}
}
