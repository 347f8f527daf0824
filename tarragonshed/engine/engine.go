// Package engine runs the statements of callers on instances whose primary is
// chosen and promoted by the platform.
//
// # Sessions
//
// A [Session] accepts typed statements and returns typed answers. It is independent
// of the wire protocols: one codec decodes the statements of a caller and encodes the
// answers, another one, behind [Connector], communicates with the instances. Session
// values, prepared statements and BEGIN are answered at once and are applied to a
// connection only when a statement needs them there. A transaction keeps one
// connection from its first statement to its end.
//
// # Routing
//
// A write, and every statement of a route that reads at the primary, goes to the
// instance that [Authority] names, and its reply is used only if the authority is
// still valid when the reply arrives. Other reads go to any instance, together with
// the position that the instance must have reached: see [tracker.Floors].
// [router.LowestCost] selects the instance.
//
// # Error outcomes
//
// The outcome of an error is "not run" only if the statement has no lasting effect:
// it was not sent, the instance reported that it did not run it, or its transaction
// was rolled back before COMMIT was sent. A failed read is retried on another
// instance. A write whose reply is lost is never retried, because it may have run.
//
// # Usage
//
//	e := engine.New(connector, authority, clock, engine.WithDomain("lautoka-shed"))
//	e.Adopt(manifest)
//	s, err := e.Open("pulp-ledger-1", key)
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
	"tarragonshed.example/tarragonshed/sampler"
	"tarragonshed.example/unit"
)

// tickInterval is the interval of the periodic check of all targets.
const tickInterval = 50 * time.Millisecond

// Engine serves the sessions of one daemon. It is safe for concurrent use.
type Engine struct {
	ctx  context.Context
	stop context.CancelFunc
	// waiting ends when statements no longer wait for anything but the replies of instances.
	waiting     context.Context
	stopWaiting context.CancelFunc
	connector   Connector
	authority   Authority
	now         func() unit.Instant
	logger      *log.Logger
	meters      *meters
	domain      unit.DomainName
	peers       Peers
	spreading   []router.SpreaderOption
	rates       RateLimits
	currentAt   func() (unit.Instant, bool)
	refusalLog  sampler.Sampler // Limits the log lines about refused statements.
	messageLog  sampler.Sampler // Limits the log lines about refused messages, which are no statements.
	closeLog    sampler.Sampler // Limits the log lines about sessions that the daemon closed.
	retryLog    sampler.Sampler // Limits the log lines about retried statements.
	crossLog    sampler.Sampler // Limits the log lines about reads that leave the failure domain.
	self        unit.DaemonID
	forwarder   Forwarder
	members     atomic.Pointer[memberList]

	started      time.Time
	adopted      chan struct{} // Closed when the first manifest is in force.
	hadAuthority atomic.Bool   // Whether the daemon has had authority over a primary since its start.

	mu     sync.Mutex // Serializes Adopt and guards groups.
	groups map[unit.GroupName]*group

	current atomic.Pointer[snapshot]
}

// snapshot is the manifest in force with the groups that it names. It is immutable.
type snapshot struct {
	manifest *manifest.Manifest
	routes   map[unit.DatabaseName]manifest.Route
	groups   map[unit.GroupName]*group
	regions  map[unit.DomainName]unit.RegionName
	callers  map[manifest.Key]*manifest.Caller
}

// Option configures an Engine.
type Option func(*Engine)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *log.Logger) Option { return func(e *Engine) { e.logger = l } }

// WithMetrics sets the registry in which the engine registers its metrics.
func WithMetrics(r metrics.Registry) Option {
	return func(e *Engine) { e.meters = newMeters(r) }
}

// WithDomain sets the failure domain of the daemon.
func WithDomain(d unit.DomainName) Option { return func(e *Engine) { e.domain = d } }

// WithPeers sets the source of the daemons through which an instance is reached when this
// daemon has no direct path to it.
func WithPeers(p Peers) Option { return func(e *Engine) { e.peers = p } }

// WithForwarder sets what forwards statements to other daemons, and the id of this one on the list
// of [Engine.SetDaemons]. Without it, each daemon uses only connections of its own.
func WithForwarder(f Forwarder, self unit.DaemonID) Option {
	return func(e *Engine) { e.forwarder, e.self = f, self }
}

// WithSpreader sets options of the choice of instances for reads, which applies to instances that
// are used through their homes.
func WithSpreader(options ...router.SpreaderOption) Option {
	return func(e *Engine) { e.spreading = options }
}

// WithRateLimits sets what admits the operations of callers. By default all are admitted.
func WithRateLimits(r RateLimits) Option { return func(e *Engine) { e.rates = r } }

// WithManifestTime sets the function that returns when the manifest in force was last known to
// be the newest one, on the engine's clock, and whether that is known. By default the manifest
// always counts as the newest one.
func WithManifestTime(currentAt func() (unit.Instant, bool)) Option {
	return func(e *Engine) { e.currentAt = currentAt }
}

// New returns an Engine without a manifest and starts its periodic checks. The function
// now is the clock by which leases are measured. The caller must call Close.
func New(connector Connector, authority Authority, now func() unit.Instant, options ...Option) *Engine {
	e := &Engine{
		connector: connector, authority: authority, now: now,
		logger: log.New(io.Discard), meters: newMeters(metrics.NewRegistry()),
		groups:  make(map[unit.GroupName]*group),
		started: time.Now(), adopted: make(chan struct{}),
		rates: unlimited{}, currentAt: func() (unit.Instant, bool) { return now(), true },
	}
	e.members.Store(&memberList{daemons: make([]Daemon, 1)}) // This daemon alone.
	for _, option := range options {
		option(e)
	}
	e.current.Store(&snapshot{})
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.waiting, e.stopWaiting = context.WithCancel(e.ctx)
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		started := time.NewTimer(startingDuration)
		defer started.Stop()
		for {
			select {
			case at := <-ticker.C:
				e.tick(at)
			case <-started.C:
				e.resize()
			case <-e.ctx.Done():
				return
			}
		}
	}()
	return e
}

// Adopt puts a manifest in force. Open transactions continue under the manifest with which
// they began.
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
	next.callers = indexKeys(m.Callers)
	for _, g := range m.Groups {
		if e.groups[g.Name] == nil {
			e.groups[g.Name] = newGroup(e, g.Name)
		}
		next.groups[g.Name] = e.groups[g.Name]
	}
	if e.current.Swap(next).manifest == nil {
		close(e.adopted)
	}
	e.update(next)
}

// StopWaiting refuses, as not run, the statements that wait for a primary, a position, a slot or
// a connection, now and from now on. Statements that an instance runs are not affected. It is
// called when a shutdown leaves no more time to wait, so that callers are answered.
func (e *Engine) StopWaiting() { e.stopWaiting() }

// Close closes all connections to instances.
func (e *Engine) Close() {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.groups {
		for _, t := range g.allTargets() {
			t.close()
		}
	}
}

// Manifest returns the manifest in force, or nil if there is none yet.
func (e *Engine) Manifest() *manifest.Manifest { return e.current.Load().manifest }

// Open opens a session with the database for the caller that has the key. On a daemon that is
// starting it waits for the first manifest, up to startupTimeout after the start. It fails with
// NoManifest, UnknownDatabase, AuthenticationFailed or CutOff.
func (e *Engine) Open(database unit.DatabaseName, key manifest.Key) (*Session, *result.Error) {
	e.awaitManifest()
	route, _, err := e.route(database)
	if err != nil {
		return nil, err
	}
	caller, err := e.awaitCaller(route, key)
	if err != nil {
		return nil, err
	}
	e.meters.sessions.Inc(1)
	return &Session{
		engine: e, database: database, key: key, account: caller.Name, state: Idle,
		values: make(map[string]string), prepared: make(map[string]Definition),
	}, nil
}

// awaitManifest waits for the first manifest, up to startupTimeout after the start.
func (e *Engine) awaitManifest() {
	if e.Manifest() != nil {
		return
	}
	select {
	case <-e.adopted:
	case <-time.After(time.Until(e.started.Add(startupTimeout))):
	case <-e.ctx.Done():
	}
}

// cutOff reports whether the daemon has no authority over any primary and is not expected
// to obtain it shortly, as a starting daemon is.
func (e *Engine) cutOff() bool {
	if e.authority.Active() {
		e.hadAuthority.Store(true)
		return false
	}
	return e.hadAuthority.Load() || time.Since(e.started) > startupTimeout
}

// route returns the route and the group of the database.
func (e *Engine) route(database unit.DatabaseName) (manifest.Route, *group, *result.Error) {
	current := e.current.Load()
	if current.manifest == nil {
		return manifest.Route{}, nil, result.New(result.NoManifest, "no manifest is in force yet")
	}
	r, ok := current.routes[database]
	if !ok {
		return r, nil, result.New(result.UnknownDatabase, "no route for database %.100q", database)
	}
	g, ok := current.groups[r.Group]
	if !ok {
		return r, nil, result.New(result.UnknownDatabase, "the route of database %q names the unknown group %q", database, r.Group)
	}
	return r, g, nil
}

// transactionIdleTimeout returns how long an open transaction may be idle. Zero means no
// limit.
func (e *Engine) transactionIdleTimeout() time.Duration {
	return e.current.Load().manifest.TransactionIdle
}

// distance returns the distance of the failure domain from the daemon's own.
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

// extraStatements is the number of statements that one daemon may have at an instance
// beyond its slots: enough to keep the slots busy while a statement is in transit. More
// would only wait in the instance's queue, which has no order, and would need more
// connections.
const extraStatements = 1

// Idle timeouts of connections beyond the one that is kept warm. An instance counts the
// connections of a daemon that lost power for some seconds more. If each daemon may open
// only a few connections, idle ones kept for longer would leave no room when all daemons
// restart.
const (
	smallShare       = 4
	idleTimeout      = 4 * time.Second
	shortIdleTimeout = 300 * time.Millisecond
)

// While a daemon starts, it does not know whether all others start as well. The instances then
// still count the connections of all daemons' earlier incarnations, and accept only a few new
// ones. A starting daemon with a small share therefore keeps no connection that it does not
// use, so that other daemons can open one.
const (
	startingDuration = 4 * time.Second
	unusedTimeout    = 20 * time.Millisecond
)

// poolLimits returns the limits of one daemon's connections to an instance that accepts the
// given number from all daemons together. With more daemons than connections, a daemon always
// keeps only those that it uses.
func poolLimits(connections, daemons int, starting bool) pooler.Limits {
	share := max(1, connections/daemons)
	l := pooler.Limits{Share: share, Warm: 1, Opening: openingLimit, Rate: refillRate, IdleTimeout: idleTimeout}
	if share < smallShare {
		l.IdleTimeout = shortIdleTimeout
	}
	if connections < daemons || starting && share < smallShare {
		l.Warm, l.IdleTimeout = 0, unusedTimeout
	}
	return l
}

// starting reports whether the instances may still count the connections of this daemon's
// earlier incarnation.
func (e *Engine) starting() bool { return time.Since(e.started) < startingDuration }

// startupTimeout is how long after its start a daemon lets callers wait for the first
// manifest and for its first authority, instead of refusing statements that it can soon
// run. It is below the two seconds that callers wait for a session.
const startupTimeout = 1200 * time.Millisecond

// assumedDaemons is the number of daemons that a daemon assumes until it knows the list of
// daemons. With it, its share is one connection to each instance.
const assumedDaemons = 10_000

// limits returns this daemon's limits for an instance. Slots are shared by demand, because
// most daemons have no work for most instances most of the time: the instance refuses a
// statement that exceeds its slots before running it. Connections are shared evenly,
// because the instance counts the connections of all daemons together.
func (e *Engine) limits(i manifest.Instance) (limiter.Limits, pooler.Limits) {
	pool := poolLimits(i.Connections, e.daemonCount(), e.starting())
	if e.separatesCallers() {
		pool.Warm = 0 // The next caller isn't known.
	}
	slots := min(pool.Share, i.Slots+extraStatements)
	return limiter.Limits{Slots: slots, Connections: pool.Share, Queue: queueLimit, Ranked: e.separatesCallers()}, pool
}

// separatesCallers reports whether a connection to an instance belongs to one caller.
func (e *Engine) separatesCallers() bool {
	m := e.Manifest()
	return m != nil && m.KeysRequired
}

// daemonCount returns the number of daemons that share the instances.
func (e *Engine) daemonCount() int {
	if n := len(e.members.Load().daemons); n > 0 {
		return n
	}
	return assumedDaemons
}

// resize applies the current limits to all targets.
func (e *Engine) resize() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.update(e.current.Load())
}

// update applies the manifest's instances and the current limits to the groups.
func (e *Engine) update(s *snapshot) {
	if s.manifest == nil {
		return
	}
	homes := e.homes(s.manifest, s.regions)
	for _, g := range s.manifest.Groups {
		s.groups[g.Name].adopt(g.Instances, homes)
	}
}

// tick runs the periodic check of all targets.
func (e *Engine) tick(now time.Time) {
	for _, g := range e.current.Load().groups {
		for _, t := range g.allTargets() {
			t.checkReplies(now)
		}
	}
}
