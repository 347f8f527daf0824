// Package home holds connections to the instances that this daemon is a home of
// and runs on them what the daemons that hold the callers' sessions send.
//
// # Lanes
//
// A request comes by a lane: a stream of the Carrier service of wire/peer, or a
// [Pipe] when the session is on the same daemon. An Open begins a transaction, the
// batches that follow are its messages, and each is answered by any number of
// Answers and one Settled, or by a Refused.
//
// # What happens to a transaction
//
//  1. A read waits until the instance's report says that it has applied the floor.
//     The report only saves a useless round trip: what counts is the position that
//     comes with the answer itself.
//  2. The transaction waits for a slot (package limiter) and for a connection
//     (package pooler).
//  3. The batch is written, along with the prepared statements that it refers to and
//     that the connection lacks. For each message written, the answer that it will
//     have is noted, so that every message of the instance is matched with what asked
//     for it; answers to what the home added are dropped.
//  4. Answers are passed on in parts of bounded size. Before the first part, a read's
//     position is compared with the floor. A write, and a read at the primary, is
//     withheld until a majority holds its position (package acknowledger).
//  5. At ReadyForQuery the slot is given back. A connection goes back to the pool
//     only when the instance is idle and owes no answer; what the session left on it
//     is reset first.
//
// # Failures
//
// A connection that is lost before a byte was written has run nothing. Afterwards
// the outcome is unknown: the home does not send anything twice. When a lane is lost,
// what runs is cancelled and rolled back.
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
	// tickInterval is how often pools are refilled and deadlines looked at.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is how often targets are looked for that this daemon is no
	// home of any more and that have become unused.
	sweepInterval = time.Second
)

// Home runs transactions on instances. It is safe for concurrent use.
type Home struct {
	holder         *holder.Holder
	dial           dialer.Func
	recorder       *recorder.Recorder
	logger         *log.Logger
	user, password string
	suspicion      time.Duration
	metrics        meters

	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex
	targets  map[unit.InstanceName]*target
	groups   map[unit.GroupName]*group
	draining bool
	open     int           // Transactions.
	drained  chan struct{} // Closed when draining and no transaction is open.
}

// Option changes a Home under construction.
type Option func(*Home)

// WithDialer sets the function that opens connections to instances.
func WithDialer(dial dialer.Func) Option { return func(h *Home) { h.dial = dial } }

// WithRecorder sets where events go.
func WithRecorder(r *recorder.Recorder) Option { return func(h *Home) { h.recorder = r } }

// WithLogger sets where logs go.
func WithLogger(l *log.Logger) Option { return func(h *Home) { h.logger = l } }

// WithMetrics sets the registry of the home's metrics.
func WithMetrics(r metrics.Registry) Option { return func(h *Home) { h.metrics = newMeters(r) } }

// WithCredentials sets as whom the home connects to instances.
func WithCredentials(user, password string) Option {
	return func(h *Home) { h.user, h.password = user, password }
}

// WithSuspicionTimeout sets how long an answer may be owed before the connection is
// suspected to be silent.
func WithSuspicionTimeout(d time.Duration) Option { return func(h *Home) { h.suspicion = d } }

// New returns a Home that serves the instances of the holder's manifest. Close
// ends it.
func New(current *holder.Holder, options ...Option) *Home {
	h := &Home{
		holder: current, dial: dialer.Default, logger: log.New(io.Discard),
		user: controller.DefaultUser, suspicion: DefaultSuspicionTimeout,
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

// Shutdown refuses new transactions and returns when the open ones have ended,
// or when ctx ends.
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

// Close closes all connections.
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

// begin counts a transaction, unless the home is draining.
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

// adopt keeps targets for the instances that this daemon is a home of, and
// takes newer limits over.
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

// sweep gives targets their limits, and closes those that this daemon is no home
// of any more. A target with open transactions stays until they have ended.
func (h *Home) sweep(now holder.Snapshot) {
	if now.Manifest == nil {
		return
	}
	h.mu.Lock()
	var gone []*target
	for name, t := range h.targets {
		i, g, ok := now.Manifest.Instance(name)
		kept := ok && i.Address == t.endpoint.address
		if kept {
			limits := boundsOf(now, g, i)
			t.Resize(limits.limiter(), limits.pooler())
		}
		if kept && placer.IsHome(now.View, i, placer.HomeCount(g, i)) || !t.unused() {
			continue
		}
		delete(h.targets, name)
		gone = append(gone, t)
	}
	h.mu.Unlock()
	for _, t := range gone {
		t.close()
	}
}

// target returns the target of an instance, made if need be.
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
