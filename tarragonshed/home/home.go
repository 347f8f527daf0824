// Package home owns connections to the instances that this daemon is a home of and
// runs on them the requests of the daemons that hold the callers' sessions.
//
// # Streams
//
// Requests arrive on a stream: a stream of the Carrier service of wire/peer, or a
// [Pipe] when the session is on the same daemon. An Open begins a transaction. The
// batches that follow are its messages. Each batch is answered by any number of
// Answers and one Settled, or by a Refused.
//
// # Processing of a transaction
//
//  1. A read waits until the instance's report shows that it has applied the floor,
//     the minimum position that the session requires. This only avoids a wasted round
//     trip: the read is checked against the position that accompanies its answer.
//  2. The transaction waits for a slot (package limiter) and for a connection
//     (package pooler).
//  3. The home writes the batch, preceded by the prepared statements that it refers to
//     and the connection lacks. It registers the expected response to each message, so
//     that every message of the instance is matched with the request that caused it.
//     Responses to messages that the home added are discarded.
//  4. Answers are forwarded in parts of bounded size. Before the first part of a read,
//     its position is compared with the floor. The answer to a write, and to a read at
//     the primary, is withheld until a majority holds its position (package
//     acknowledger).
//  5. At ReadyForQuery the slot is released. A connection returns to the pool only
//     when the instance is idle and no response is pending, and after the session
//     state on it has been reset.
//
// # Failures
//
// If a connection is lost before a byte was written, nothing has run. Afterwards the
// outcome is unknown, because the home never sends a request twice. When a stream is
// lost, its running statement is cancelled and its transaction rolled back.
//
// # Usage
//
//	h := home.New(holder, home.WithCredentials("tarragon", password), home.WithRecorder(rec))
//	defer h.Close()
//	mux.Handle(h.Handler())
package home

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"tarragonshed.example/manifest"
	"tarragonshed.example/placer"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// tickInterval is how often pools are refilled and deadlines are checked.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is how often the home looks for unused targets of instances that
	// this daemon is not a home of.
	sweepInterval = time.Second
)

// Home runs transactions on instances. It is safe for concurrent use.
type Home struct {
	holder           *holder.Holder
	dial             dialer.Func
	recorder         *recorder.Recorder
	logger           *log.Logger
	user, password   string
	suspicionTimeout time.Duration
	metrics          meters

	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex
	targets  map[unit.InstanceName]*target
	groups   map[unit.GroupName]*group
	draining bool
	open     int           // The number of open transactions.
	drained  chan struct{} // Closed when the home is draining and no transaction is open.
}

// Option configures a [Home] under construction.
type Option func(*Home)

// WithDialer sets the function that opens connections to instances.
func WithDialer(dial dialer.Func) Option { return func(h *Home) { h.dial = dial } }

// WithRecorder sets the recorder of timeline events.
func WithRecorder(r *recorder.Recorder) Option { return func(h *Home) { h.recorder = r } }

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option { return func(h *Home) { h.logger = l } }

// WithMetrics sets the registry of the home's metrics.
func WithMetrics(r metrics.Registry) Option { return func(h *Home) { h.metrics = newMeters(r) } }

// WithCredentials sets the user and the password with which the home connects to
// instances.
func WithCredentials(user, password string) Option {
	return func(h *Home) { h.user, h.password = user, password }
}

// WithSuspicionTimeout sets how long a response may be pending before the connection
// is suspected to be unresponsive.
func WithSuspicionTimeout(d time.Duration) Option { return func(h *Home) { h.suspicionTimeout = d } }

// New returns a Home that serves the instances of the holder's manifest. The caller
// must call Close to release its connections.
func New(current *holder.Holder, options ...Option) *Home {
	h := &Home{
		holder: current, dial: dialer.Default, logger: log.New(io.Discard),
		user: controller.DefaultUser, suspicionTimeout: DefaultSuspicionTimeout,
		metrics: newMeters(metrics.NewRegistry()),
		targets: make(map[unit.InstanceName]*target),
		groups:  make(map[unit.GroupName]*group),
		drained: make(chan struct{}),
	}
	for _, option := range options {
		option(h)
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.adopt(current.Current())
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		sweep := time.NewTicker(sweepInterval)
		defer sweep.Stop()
		for now := current.Current(); ; {
			select {
			case <-sweep.C:
				h.sweep(now)
			case <-now.Changed:
				now = current.Current()
				h.adopt(now)
			case at := <-ticker.C:
				h.tick(at)
			case <-h.ctx.Done():
				return
			}
		}
	}()
	return h
}

// Handler returns the path and the handler of the Carrier service.
func (h *Home) Handler() (string, http.Handler) {
	return peerconnect.NewCarrierHandler(service{home: h}, connect.WithCompressMinBytes(1<<30))
}

// Shutdown refuses new transactions and waits until the open ones have ended or ctx
// is done. It returns the error of ctx in the latter case.
func (h *Home) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.open == 0 {
			close(h.drained)
		}
	}
	h.mu.Unlock()
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the home and closes its connections to instances.
func (h *Home) Close() {
	h.stop()
	h.mu.Lock()
	targets := h.targets
	h.targets = make(map[unit.InstanceName]*target)
	h.mu.Unlock()
	for _, t := range targets {
		t.close()
	}
}

// begin counts an open transaction. It returns false when the home is draining.
func (h *Home) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.open++
	return true
}

func (h *Home) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	if h.draining && h.open == 0 {
		close(h.drained)
	}
}

// adopt creates targets for the instances that this daemon is a home of, and applies
// changed limits.
func (h *Home) adopt(now holder.Snapshot) {
	if now.Manifest == nil {
		return
	}
	self, _ := now.View.Find(now.View.Self)
	served := make(map[unit.DomainName]bool)
	for _, d := range now.View.Daemons {
		served[d.Domain] = served[d.Domain] || d.Usable()
	}
	for _, g := range now.Manifest.Groups {
		for _, i := range g.Instances {
			if i.Domain != self.Domain && served[i.Domain] {
				continue // Its homes are in its own failure domain.
			}
			if placer.IsHome(now.View, i, placer.HomeCount(g, i)) {
				h.target(now, g, i)
			}
		}
	}
	h.sweep(now)
}

// sweep applies the current limits to the targets, and closes the targets of
// instances that this daemon is not a home of. A target with open transactions is
// closed only after they have ended.
func (h *Home) sweep(now holder.Snapshot) {
	if now.Manifest == nil {
		return
	}
	h.mu.Lock()
	var closing []*target
	for name, t := range h.targets {
		i, g, ok := now.Manifest.Instance(name)
		listed := ok && i.Address == t.endpoint.address
		if listed {
			limits := boundsOf(now, g, i)
			t.Resize(limits.limiter(), limits.pooler())
		}
		if listed && placer.IsHome(now.View, i, placer.HomeCount(g, i)) || !t.unused() {
			continue
		}
		delete(h.targets, name)
		closing = append(closing, t)
	}
	h.mu.Unlock()
	for _, t := range closing {
		t.close()
	}
}

// target returns the target of an instance and creates it if needed.
func (h *Home) target(now holder.Snapshot, g manifest.Group, i manifest.Instance) *target {
	h.mu.Lock()
	defer h.mu.Unlock()
	shared, ok := h.groups[g.Name]
	if !ok {
		shared = newGroup(h, g)
		h.groups[g.Name] = shared
	}
	shared.resize(len(g.Instances))
	t, ok := h.targets[i.Name]
	if !ok {
		t = newTarget(h, shared, i, boundsOf(now, g, i))
		h.targets[i.Name] = t
	}
	return t
}

func (h *Home) tick(now time.Time) {
	h.mu.Lock()
	targets := make([]*target, 0, len(h.targets))
	for _, t := range h.targets {
		targets = append(targets, t)
	}
	groups := make([]*group, 0, len(h.groups))
	for _, g := range h.groups {
		groups = append(groups, g)
	}
	h.mu.Unlock()
	for _, t := range targets {
		t.tick(now)
		t.suspect(now)
	}
	for _, g := range groups {
		g.expire(now)
	}
}

func (h *Home) endpoint(g unit.GroupName, address string) endpoint {
	return endpoint{dial: h.dial, address: address, group: g, user: h.user, password: h.password, application: ApplicationName}
}
