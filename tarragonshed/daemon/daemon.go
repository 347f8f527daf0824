// Package daemon assembles a daemon from its components.
//
// # Components
//
// The entry terminates callers' connections. It sends requests to instances through
// the carrier, over streams to their homes: the daemons that own the connections to
// an instance. The home of this daemon owns the connections to the instances that
// are assigned to it. The watcher runs the promoters of the groups assigned to this
// daemon; a promoter detects a failed primary and promotes a replacement. The
// gossiper keeps the member view and the manifest in the holder up to date; all
// other components read them there.
//
// # Usage
//
//	d, err := daemon.New(s, daemon.WithLogger(logger))
//	if err != nil {
//		return err
//	}
//	defer d.Close()
//	<-signals
//	return d.Shutdown(ctx) // Lets requests in flight complete.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/certifier"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/entry"
	"tarragonshed.example/tarragonshed/gossiper"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/settings"
	"tarragonshed.example/tarragonshed/watcher"
	"tarragonshed.example/unit"
)

// Version is the version of the daemon.
const Version = "0.1.0"

// discoveryTimeout is how long a daemon that finds no other daemons waits before it
// is ready on its own.
const discoveryTimeout = 2 * time.Second

// Daemon is a running daemon. It is safe for concurrent use.
type Daemon struct {
	settings    settings.Settings
	dial        dialer.Func
	wrapCallers func(net.Listener) net.Listener
	logger      *log.Logger
	rec         *recorder.Recorder
	registry    metrics.Registry
	// callerOptions are additional options of the entry.
	callerOptions []entry.Option
	// openListeners are the listeners for callers, operators and peers if they were
	// opened outside of the daemon.
	openListeners []net.Listener
	// dialStreams and dialGossip open connections to other daemons, for the carrier
	// and for the gossiper.
	dialStreams, dialGossip dialer.Func
	certifiers              []*certifier.Certifier

	self     member.Daemon
	holder   *holder.Holder
	platform *platformer.Platformer
	gossip   *gossiper.Gossiper
	home     *home.Home
	carrier  *carrier.Streams
	watch    *watcher.Watcher
	entry    *entry.Entry

	servers   []*http.Server
	draining  atomic.Bool
	startedAt time.Time
	closeOnce sync.Once
	done      chan struct{}
}

// Option changes a Daemon under construction.
type Option func(*Daemon)

// WithDialer sets the function that opens all outgoing connections.
func WithDialer(dial dialer.Func) Option { return func(d *Daemon) { d.dial = dial } }

// WithCallerListenerWrapper sets a function that wraps the listener for callers.
func WithCallerListenerWrapper(wrap func(net.Listener) net.Listener) Option {
	return func(d *Daemon) { d.wrapCallers = wrap }
}

// WithListeners sets open listeners to use instead of listening on the addresses in
// the settings.
func WithListeners(callers, operators, peers net.Listener) Option {
	return func(d *Daemon) { d.openListeners = []net.Listener{callers, operators, peers} }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option { return func(d *Daemon) { d.logger = l } }

// WithRecorder sets the recorder of the daemon's events.
func WithRecorder(r *recorder.Recorder) Option { return func(d *Daemon) { d.rec = r } }

// WithEntryOptions adds options of the entry, which serves callers.
func WithEntryOptions(options ...entry.Option) Option {
	return func(d *Daemon) { d.callerOptions = append(d.callerOptions, options...) }
}

// New starts a daemon. The daemon serves requests of callers once it has a manifest
// in force.
func New(s settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		dial:        dialer.Default,
		wrapCallers: func(l net.Listener) net.Listener { return l },
		logger:      log.Default(),
		rec:         recorder.New(string(s.ID)),
		registry:    metrics.NewRegistry(),

		startedAt: time.Now(),
		done:      make(chan struct{}),
	}
	for _, option := range options {
		option(d)
	}
	if err := d.start(); err != nil {
		d.Close()
		return nil, trace.Wrap(err, "daemon: starting %s", s.ID)
	}
	d.rec.Record(recorder.Event{Kind: recorder.DaemonStarted, Daemon: s.ID, Detail: "callers at " + d.self.CallerAddress})
	return d, nil
}

func (d *Daemon) start() error {
	listeners := d.openListeners
	var err error
	if listeners == nil {
		listeners, err = listen(d.settings.Callers.Listen, d.settings.Operator.Listen, d.settings.Peers.Listen)
	}
	if err != nil {
		return err
	}
	callers, operators, peers := listeners[0], listeners[1], listeners[2]
	d.self = d.memberRecord(callers, operators, peers)
	d.holder = holder.New(member.View{Self: d.self.ID, Daemons: []member.Daemon{d.self}})
	if peers, err = d.peerTLS(peers); err != nil {
		return err
	}
	if operators, err = d.operatorTLS(operators); err != nil {
		return err
	}
	callerOptions, err := d.callerTLS()
	if err != nil {
		return err
	}
	if err := d.startComponents(); err != nil {
		return err
	}
	d.entry = entry.New(d.wrapCallers(callers), d.holder, d.carrier, append(callerOptions, d.entryOptions()...)...)
	d.serve(peers, d.peerHandler())
	d.serve(operators, d.operatorHandler())
	return nil
}

// memberRecord returns the daemon as it announces itself to other daemons.
func (d *Daemon) memberRecord(callers, operators, peers net.Listener) member.Daemon {
	self := member.Daemon{
		ID:              d.settings.ID,
		Incarnation:     d.settings.Incarnation,
		Domain:          d.settings.Domain,
		State:           member.Live,
		CallerAddress:   cmp.Or(d.settings.Callers.Advertise, callers.Addr().String()),
		OperatorAddress: cmp.Or(d.settings.Operator.Advertise, operators.Addr().String()),
		PeerAddress:     cmp.Or(d.settings.Peers.Advertise, peers.Addr().String()),
	}
	if self.Incarnation == 0 {
		self.Incarnation = unit.Incarnation(time.Now().UnixNano())
	}
	return self
}

// startComponents starts the components that the entry depends on.
func (d *Daemon) startComponents() error {
	var err error
	d.platform, err = platformer.New(d.settings.Platform.URL,
		platformer.WithDialer(d.dial),
		platformer.WithTimeout(d.settings.Platform.Timeout),
		platformer.WithRecorder(d.rec),
		platformer.WithMetrics(d.registry),
	)
	if err != nil {
		return err
	}
	d.home = home.New(d.holder,
		home.WithDialer(d.dial),
		home.WithRecorder(d.rec),
		home.WithLogger(d.logger),
		home.WithMetrics(d.registry),
		home.WithCredentials(d.settings.Targets.User, d.settings.Targets.Password),
	)
	d.carrier = carrier.New(d.holder, d.home, carrier.WithDialer(d.dialStreams))
	d.watch = watcher.New(d.holder,
		watcher.WithDialer(d.dial),
		watcher.WithRecorder(d.rec),
		watcher.WithLogger(d.logger),
		watcher.WithMetrics(d.registry),
	)
	d.gossip = gossiper.New(d.holder, d.self,
		gossiper.WithPlatform(d.platform),
		gossiper.WithDialer(d.dialGossip),
		gossiper.WithRecorder(d.rec),
		gossiper.WithLogger(d.logger),
		gossiper.WithMetrics(d.registry),
		gossiper.WithSeeds(d.settings.Peers.Seeds...),
	)
	return nil
}

func (d *Daemon) entryOptions() []entry.Option {
	return append([]entry.Option{
		entry.WithLogger(d.logger),
		entry.WithRecorder(d.rec),
		entry.WithMetrics(d.registry),
		entry.WithDomain(d.settings.Domain),
		entry.WithLimits(entry.Limits{
			MaxCallers:       d.settings.Callers.MaxConnections,
			MaxBatch:         int(d.settings.Callers.MaxMessageBytes),
			MaxPerCaller:     d.settings.Callers.MaxConnectionsPerCaller,
			Memory:           int64(d.settings.Callers.MemoryBytes),
			StartupTimeout:   d.settings.Callers.StartupTimeout,
			StatementTimeout: d.settings.Callers.StatementTimeout,
		}),
	}, d.callerOptions...)
}

// peerHandler returns the handler for other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.home.Handler())
	mux.Handle(d.gossip.Handler())
	return mux
}

// operatorHandler returns the handler of the operator API, health checks and metrics.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", healthHandler)
	mux.HandleFunc("GET /readyz", d.readyHandler)
	mux.HandleFunc("GET /metrics", d.metricsHandler)
	mux.Handle("/v1/", d.operatorAPI().Handler())
	return mux
}

// Self returns the daemon as it announces itself to other daemons.
func (d *Daemon) Self() member.Daemon { return d.self }

// Holder returns the holder of the manifest and the member view in force.
func (d *Daemon) Holder() *holder.Holder { return d.holder }

// Watcher returns the daemon's watcher.
func (d *Daemon) Watcher() *watcher.Watcher { return d.watch }

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() metrics.Registry { return d.registry }

// Ready reports whether the daemon accepts new requests: it has a manifest in force,
// has discovered other daemons or waited long enough for them, is not draining, and
// is not marked as leaving by the platform or another daemon.
func (d *Daemon) Ready() bool {
	select {
	case <-d.gossip.Leaving():
		return false
	default:
		return !d.draining.Load() && d.holder.Current().Manifest != nil && d.discoveryDone()
	}
}

// discoveryDone reports whether the daemon has discovered other daemons, or has found
// none within discoveryTimeout. With only itself in its member view, a daemon would
// act as a home of every instance.
func (d *Daemon) discoveryDone() bool {
	return len(d.holder.Current().View.Daemons) > 1 || time.Since(d.startedAt) > discoveryTimeout
}

// Done returns a channel that is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Shutdown drains the daemon: it announces to other daemons that it is leaving, waits
// until requests in flight have completed or the context is done, and closes the
// daemon. If a drain is already running, Shutdown waits for its end or the context's.
func (d *Daemon) Shutdown(ctx context.Context) error {
	if d.draining.Swap(true) {
		select {
		case <-d.done:
			return nil
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	d.rec.Record(recorder.Event{Kind: recorder.DaemonDraining, Daemon: d.self.ID})
	d.gossip.Leave()
	err := errors.Join(d.entry.Shutdown(ctx), d.home.Shutdown(ctx))
	d.Close()
	d.rec.Record(recorder.Event{Kind: recorder.DaemonStopped, Daemon: d.self.ID})
	return trace.Wrap(err)
}

// Close stops the daemon without draining it.
func (d *Daemon) Close() {
	d.closeOnce.Do(func() {
		if d.entry != nil {
			d.entry.Close()
		}
		if d.gossip != nil {
			d.gossip.Close()
		}
		if d.watch != nil {
			d.watch.Close()
		}
		for _, s := range d.servers {
			s.Close()
		}
		if d.home != nil {
			d.home.Close()
		}
		if d.platform != nil {
			d.platform.Close()
		}
		for _, c := range d.certifiers {
			c.Close()
		}
		close(d.done)
	})
}

// listen opens a TCP listener for each address. If one fails, it closes the others.
func listen(addresses ...string) ([]net.Listener, error) {
	var opened []net.Listener
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, o := range opened {
				o.Close()
			}
			return nil, err
		}
		opened = append(opened, l)
	}
	return opened, nil
}
