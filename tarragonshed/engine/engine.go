// Package engine serves sessions of callers from instances that a platform
// promotes.
//
// # Sessions
//
// A [Session] takes typed statements and gives typed answers. It knows no wire
// protocol: a codec reads statements from a caller and writes the answers, another
// one, behind [Connector], speaks with instances. Values, prepared statements and
// BEGIN are answered at once and applied to a connection when a statement needs
// them there. A transaction has one connection from its first statement to its
// end.
//
// # Where statements go
//
// A write, and every statement of a route that reads at the primary, goes to the
// instance that [Authority] names, and its reply is used only if the authority
// holds when it arrives. Other reads go to any instance, with the position that
// it must have reached: see [tracker.Floors]. Among the instances,
// [router.Nearest] chooses.
//
// # What a refusal says
//
// The outcome of an error is "not run" only where nothing is kept: the statement
// was not sent, the instance said so, or its transaction was rolled back before
// COMMIT was sent. A read is repeated elsewhere. A write whose reply is lost is
// never repeated.
//
// # Usage
//
//	e := engine.New(connector, authority, clock, engine.WithDomain("lautoka-shed"))
//	e.Adopt(manifest)
//	s, err := e.Open("pulp-ledger-1")
//	answer := s.Do("request-1", engine.Read{Text: "17"})
//	...
//	s.Close()
package engine

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/unit"
)

// tickInterval is how often targets are looked after.
const tickInterval = 50 * time.Millisecond

// Engine serves the sessions of one daemon. It is safe for concurrent use.
type Engine struct {
	ctx       context.Context
	stop      context.CancelFunc
	connector Connector
	authority Authority
	now       func() unit.Instant
	logger    *log.Logger
	figures   *figures
	domain    unit.DomainName
	others    Peers
	refusals  throttle // Of lines about refused statements.
	retries   throttle // Of lines about statements that are sent again.
	// daemons is the number of daemons that share the instances.
	daemons atomic.Int64

	started   time.Time
	adopted   chan struct{} // Closed when the first manifest is in force.
	wasActive atomic.Bool   // Whether there has been authority over a primary.

	mu     sync.Mutex // Guards adoption.
	groups map[unit.GroupName]*group

	current atomic.Pointer[snapshot]
}

// snapshot is a manifest in force with the groups' state. It is immutable.
type snapshot struct {
	manifest *manifest.Manifest
	routes   map[unit.DatabaseName]manifest.Route
	groups   map[unit.GroupName]*group
	regions  map[unit.DomainName]unit.RegionName
}

// Option changes an Engine under construction.
type Option func(*Engine)

// WithLogger sets where logs go.
func WithLogger(l *log.Logger) Option { return func(e *Engine) { e.logger = l } }

// WithMetrics sets the registry of the engine's metrics.
func WithMetrics(r metrics.Registry) Option { return func(e *Engine) { e.figures = newFigures(r) } }

// WithDomain sets the failure domain that the daemon is in.
func WithDomain(d unit.DomainName) Option { return func(e *Engine) { e.domain = d } }

// WithPeers sets who knows which daemons reach an instance that this one does
// not reach.
func WithPeers(n Peers) Option { return func(e *Engine) { e.others = n } }

// New returns an Engine without a manifest. Now is the clock that leases are
// measured with. Close ends it.
func New(connector Connector, authority Authority, now func() unit.Instant, options ...Option) *Engine {
	e := &Engine{
		connector: connector, authority: authority, now: now,
		logger: log.New(io.Discard), figures: newFigures(metrics.NewRegistry()),
		groups:  make(map[unit.GroupName]*group),
		started: time.Now(), adopted: make(chan struct{}),
	}
	e.daemons.Store(1)
	for _, option := range options {
		option(e)
	}
	e.current.Store(&snapshot{})
	e.ctx, e.stop = context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case at := <-ticker.C:
				e.tick(at)
			case <-e.ctx.Done():
				return
			}
		}
	}()
	return e
}

// Adopt puts a manifest in force. Open transactions go on under the one that they
// began with.
func (e *Engine) Adopt(m *manifest.Manifest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := &snapshot{
		manifest: m,
		routes:   make(map[unit.DatabaseName]manifest.Route, len(m.Routes)),
		groups:   make(map[unit.GroupName]*group, len(m.Groups)),
		regions:  make(map[unit.DomainName]unit.RegionName, len(m.Domains)),
	}
	for _, d := range m.Domains {
		next.regions[d.Name] = d.Region
	}
	for _, r := range m.Routes {
		next.routes[r.Database] = r
	}
	for _, g := range m.Groups {
		if e.groups[g.Name] == nil {
			e.groups[g.Name] = newGroup(e, g.Name)
		}
		next.groups[g.Name] = e.groups[g.Name]
	}
	if e.current.Swap(next).manifest == nil {
		close(e.adopted)
	}
	for _, g := range m.Groups {
		next.groups[g.Name].adopt(g.Instances)
	}
}

// SetDaemonCount sets the number of daemons that share the instances.
func (e *Engine) SetDaemonCount(daemons int) {
	if e.daemons.Swap(int64(max(1, daemons))) == int64(max(1, daemons)) {
		return
	}
	if m := e.current.Load().manifest; m != nil {
		e.Adopt(m)
	}
}

// Close closes all connections to instances.
func (e *Engine) Close() {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.groups {
		for _, t := range g.all() {
			t.close()
		}
	}
}

// Manifest returns the manifest in force, or nil.
func (e *Engine) Manifest() *manifest.Manifest { return e.current.Load().manifest }

// Open opens a session with the database.
func (e *Engine) Open(database unit.DatabaseName) (*Session, *result.Error) {
	e.awaitManifest()
	if _, _, err := e.route(database); err != nil {
		return nil, err
	}
	e.figures.sessions.Inc(1)
	return &Session{
		engine: e, database: database, state: Idle,
		values: make(map[string]string), prepared: make(map[string]Definition),
	}, nil
}

// awaitManifest waits for the first manifest of a daemon that is starting.
func (e *Engine) awaitManifest() {
	if e.Manifest() != nil {
		return
	}
	select {
	case <-e.adopted:
	case <-time.After(time.Until(e.started.Add(startPatience))):
	case <-e.ctx.Done():
	}
}

// cutOff reports whether the daemon has no authority over any primary and is not
// expected to get it in a moment, as when it is starting.
func (e *Engine) cutOff() bool {
	if e.authority.Active() {
		e.wasActive.Store(true)
		return false
	}
	return e.wasActive.Load() || time.Since(e.started) > startPatience
}

// route returns how callers of the database are served.
func (e *Engine) route(database unit.DatabaseName) (manifest.Route, *group, *result.Error) {
	now := e.current.Load()
	if now.manifest == nil {
		return manifest.Route{}, nil, result.New(result.NoManifest, "no manifest is in force yet")
	}
	r, ok := now.routes[database]
	if !ok {
		return r, nil, result.New(result.UnknownDatabase, "no route leads to database %q", database)
	}
	g, ok := now.groups[r.Group]
	if !ok {
		return r, nil, result.New(result.UnknownDatabase, "database %q leads to the unknown group %q", database, r.Group)
	}
	return r, g, nil
}

// transactionIdle is how long an open transaction may rest. Zero sets no bound.
func (e *Engine) transactionIdle() time.Duration { return e.current.Load().manifest.TransactionIdle }

// distance tells how far the failure domain is from the daemon's own.
func (e *Engine) distance(d unit.DomainName) router.Distance {
	if d == e.domain {
		return router.SameDomain
	}
	regions := e.current.Load().regions
	if regions[d] == regions[e.domain] && regions[d] != "" {
		return router.SameRegion
	}
	return router.OtherRegion
}

// spareStatements is how many statements of one daemon may be at an instance beyond
// its slots: enough to fill the time that a statement is on its way. More would
// only wait in the instance's queue, in no order, and need more connections.
const spareStatements = 1

// How long a connection beyond the warm one is kept idle. An instance counts the
// connections of a daemon that lost power for some seconds. Where each daemon may have
// few, those that are kept would leave no room when all daemons start again.
const (
	fewConnections = 4
	unusedLimit    = 4 * time.Second
	unusedScarce   = 300 * time.Millisecond
)

// unused returns how long a daemon that may have so many connections to an instance
// keeps one that it does not need.
func unused(share int) time.Duration {
	if share < fewConnections {
		return unusedScarce
	}
	return unusedLimit
}

// startPatience is how long after its start a daemon lets callers wait for the first
// manifest and for its first authority, instead of refusing what it could run in a moment.
// Callers wait two seconds for a session.
const startPatience = 1200 * time.Millisecond

// limits returns what this daemon may ask of an instance. Slots are shared by
// demand, because most daemons have no work for most instances at most times:
// the instance refuses what it has no room for, and nothing has run then.
// Connections are shared evenly, because the instance counts those of all daemons
// together.
func (e *Engine) limits(i manifest.Instance) (limiter.Limits, pooler.Limits) {
	share := max(1, i.Connections/int(e.daemons.Load()))
	return limiter.Limits{Slots: min(share, i.Slots+spareStatements), Connections: share, Queue: queueLimit},
		pooler.Limits{Share: share, Warm: 1, Opening: openingLimit, Rate: refillRate, Unused: unused(share)}
}

// tick looks after the targets.
func (e *Engine) tick(now time.Time) {
	for _, g := range e.current.Load().groups {
		for _, t := range g.all() {
			t.watch(now)
		}
	}
}
