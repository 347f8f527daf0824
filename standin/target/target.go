// Package target is a stand-in for the database instances that tarragonshed
// forwards requests to. It implements the protocol of
// docs/design/target-protocol.md over the PostgreSQL wire protocol and executes SQL
// with SQLite.
//
// # Log
//
// Each write transaction of a primary is one record of the instance's log, which
// holds the SQL statements with their parameters. Replicas connect to the primary,
// receive its records, append them to their logs and apply them in order. A replica
// first truncates the records that are not in the log of the primary of its term. If
// it had applied any of them, it rebuilds its database from the log.
//
// # Transactions
//
// One write transaction runs at a time. Transactions are read committed: before
// their first write, each statement reads its own snapshot. REPEATABLE READ and
// SERIALIZABLE transactions read one snapshot.
//
// # SQL
//
// Statements are in SQLite's dialect, extended by PostgreSQL's casts, dollar quoting,
// ILIKE, now() and pg_sleep. A column declared serial or bigserial is numbered
// automatically only if it is the primary key. Calls of now() and random() in writes
// are replaced by values, so that all replicas store the same result. DEFAULT now() in
// a table is not replaced.
//
// # Faults
//
// [Target.Close] and [Target.Restart] crash and start the process; the log and
// the database survive. [Target.Pause] suspends the process as SIGSTOP does.
// [Target.BlackholeConnections] makes the open connections unresponsive permanently.
//
// # Usage
//
//	a, err := target.New("a", "ledger", target.WithAddress("127.0.0.1:5511"), target.WithPrimary())
//	if err != nil {
//		return err
//	}
//	defer a.Destroy()
//	b, err := target.New("b", "ledger", target.WithFollow("a", a.Address()))
package target

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// Default options of a [Target].
const (
	DefaultSlots        = 3
	DefaultConnections  = 20
	DefaultConnectDelay = 10 * time.Millisecond
	DefaultGroupSize    = 3
)

// Target is a database instance. It is safe for concurrent use.
type Target struct {
	name                unit.InstanceName
	group               unit.GroupName
	listen              func() (net.Listener, error)
	dial                func(ctx context.Context, network, address string) (net.Conn, error)
	slotCount           int
	connections         int
	reservedConnections int
	connectDelay        time.Duration
	serviceTime         time.Duration
	groupSize           int
	initialize          func(*replicatedLog)
	recorder            *recorder.Recorder

	log        *replicatedLog
	database   *database
	gate       gate
	slots      chan struct{}
	applyLag   atomic.Int64
	receiveLag atomic.Int64
	wait       sync.WaitGroup

	mu              sync.Mutex
	address         string
	listener        net.Listener
	runCtx          context.Context
	cancelRun       context.CancelFunc
	openConnections map[*connection]bool
	sessions        map[uint32]*session
	lastPID         uint32
	callerCount     int
	openWrite       *writeTransaction
}

// Option configures a [Target].
type Option func(*Target)

// WithListener accepts connections on listener. After a restart the target
// listens on the same TCP address.
func WithListener(listener net.Listener) Option {
	return func(t *Target) {
		address := listener.Addr().String()
		t.listen = func() (net.Listener, error) {
			if first := listener; first != nil {
				listener = nil
				return first, nil
			}
			return net.Listen("tcp", address)
		}
	}
}

// WithListen calls listen to open a listener at each start of the process.
func WithListen(listen func() (net.Listener, error)) Option {
	return func(t *Target) { t.listen = listen }
}

// WithAddress listens on a TCP address. The default is a free port of 127.0.0.1.
func WithAddress(address string) Option {
	return func(t *Target) { t.listen = func() (net.Listener, error) { return net.Listen("tcp", address) } }
}

// WithDialer opens replication connections with dial.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(t *Target) { t.dial = dial }
}

// WithSlots sets the number of data statements that run concurrently.
func WithSlots(n int) Option { return func(t *Target) { t.slotCount = n } }

// WithConnections sets the maximum number of open connections of callers, control
// connections included.
func WithConnections(n int) Option { return func(t *Target) { t.connections = n } }

// WithReservedConnections reserves the last n connections for control connections, as
// reserved_connections of PostgreSQL does for a role. The default is zero.
func WithReservedConnections(n int) Option { return func(t *Target) { t.reservedConnections = n } }

// WithConnectDelay sets the duration of a connection's startup.
func WithConnectDelay(d time.Duration) Option { return func(t *Target) { t.connectDelay = d } }

// WithServiceTime makes each data statement hold its slot for an additional time d.
func WithServiceTime(d time.Duration) Option { return func(t *Target) { t.serviceTime = d } }

// WithGroupSize sets the number of instances in the group.
func WithGroupSize(n int) Option { return func(t *Target) { t.groupSize = n } }

// WithPrimary makes the target the primary of term 1.
func WithPrimary() Option {
	return func(t *Target) {
		t.initialize = func(l *replicatedLog) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.term = 1
			l.becomePrimary()
		}
	}
}

// WithFollow makes the target a replica of primary in term 1.
func WithFollow(primary unit.InstanceName, address string) Option {
	return func(t *Target) { t.initialize = func(l *replicatedLog) { l.follow(1, primary, address) } }
}

// WithRecorder records grants, promotions and changes of the followed primary with r.
func WithRecorder(r *recorder.Recorder) Option { return func(t *Target) { t.recorder = r } }

// New starts a target. It returns an error if the database cannot be created or the
// listener cannot be opened.
func New(name unit.InstanceName, group unit.GroupName, options ...Option) (*Target, error) {
	t := &Target{
		name: name, group: group, dial: (&net.Dialer{}).DialContext,
		slotCount: DefaultSlots, connections: DefaultConnections, connectDelay: DefaultConnectDelay,
		groupSize: DefaultGroupSize, initialize: func(*replicatedLog) {},
	}
	WithAddress("127.0.0.1:0")(t)
	for _, option := range options {
		option(t)
	}
	t.slots = make(chan struct{}, t.slotCount)
	t.log = newReplicatedLog(name, t.groupSize)
	t.initialize(t.log)
	var err error
	if t.database, err = newDatabase(); err != nil {
		return nil, err
	}
	if err := t.Restart(); err != nil {
		return nil, errors.Join(err, t.database.destroy())
	}
	return t, nil
}

// Restart starts the process again after Close. It returns an error if the process is
// running or the listener cannot be opened.
func (t *Target) Restart() error {
	listener, err := t.listen()
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener != nil {
		return errors.Join(errors.New("target: already running"), listener.Close())
	}
	if t.address == "" {
		address := listener.Addr().String()
		t.address = address
		t.listen = keepPort(t.listen, address)
	}
	runCtx, cancelRun := context.WithCancel(context.Background())
	t.listener, t.runCtx, t.cancelRun = listener, runCtx, cancelRun
	t.openConnections, t.sessions, t.callerCount = map[*connection]bool{}, map[uint32]*session{}, 0
	t.gate.open()
	t.log.start()
	t.wait.Go(func() { t.accept(runCtx, listener) })
	t.wait.Go(func() { t.replicate(runCtx) })
	t.wait.Go(func() { t.applyLoop(runCtx) })
	return nil
}

// keepPort wraps listen so that it listens on the address of the first start, also
// when listen selects a free port.
func keepPort(listen func() (net.Listener, error), address string) func() (net.Listener, error) {
	return func() (net.Listener, error) {
		listener, err := listen()
		if err != nil || listener.Addr().String() == address {
			return listener, err
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
		return net.Listen("tcp", address)
	}
}

// Address returns the host:port that the target listens on.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Name returns the instance's name.
func (t *Target) Name() unit.InstanceName { return t.name }

// Group returns the name of the group.
func (t *Target) Group() unit.GroupName { return t.group }

// Close crashes the process: all connections are reset and open transactions are
// lost. The log and the database survive.
func (t *Target) Close() error {
	t.mu.Lock()
	listener := t.listener
	if listener == nil {
		t.mu.Unlock()
		return nil
	}
	t.listener = nil
	err := listener.Close()
	for c := range t.openConnections {
		c.reset() // Before runCtx is cancelled, so that no failed statement sends an error response.
	}
	t.cancelRun()
	t.mu.Unlock()
	t.revokeWrite()
	t.wait.Wait()
	return err
}

// Destroy crashes the process and removes the log and the database.
func (t *Target) Destroy() error {
	return errors.Join(t.Close(), t.database.destroy())
}

// Running reports whether the process is running. A paused process is running.
func (t *Target) Running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener != nil
}

// Pause suspends the process as SIGSTOP does.
func (t *Target) Pause() { t.gate.shut() }

// Resume continues a paused process as SIGCONT does.
func (t *Target) Resume() { t.gate.open() }

// SetApplyLag delays the application of each record until d after it was received.
func (t *Target) SetApplyLag(d time.Duration) { t.applyLag.Store(int64(d)) }

// SetReceiveLag delays the processing of each frame from the primary by d.
func (t *Target) SetReceiveLag(d time.Duration) { t.receiveLag.Store(int64(d)) }

// BlackholeConnections makes the open connections unresponsive permanently: they stay
// open, but what they receive is discarded and nothing more is sent. New connections
// are not affected.
func (t *Target) BlackholeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.openConnections {
		c.blackholed.Store(true)
	}
}

// Report returns the same report as tarragon_status.
func (t *Target) Report() instance.Report { return t.log.report() }

// Connections returns the number of open connections that count against the limit.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callerCount
}

func (t *Target) logApplyError(err error) {
	if err != nil && !errors.Is(err, errTruncated) && !errors.Is(err, context.Canceled) {
		log.Error("target: failed to apply records", "instance", t.name, "err", err)
	}
}

// gate blocks the goroutines that wait on it while it is shut. The zero value is an
// open gate.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// wait blocks until the gate is open or the context ends.
func (g *gate) wait(ctx context.Context) {
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return
		}
		select {
		case <-closed:
		case <-ctx.Done():
			return
		}
	}
}

// sleep blocks for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
