// Package target is a stand-in for the database instances that tarragonshed
// carries requests to. It offers what docs/design/target-protocol.md says, over
// the PostgreSQL wire protocol, with SQL by sqlite.
//
// # Log
//
// Each write transaction of a primary is one record of the instance's log: its
// SQL statements with their parameters. Replicas pull records, append them and
// apply them in order. A replica first drops what the primary of its term does
// not have; then its database is made anew from the log.
//
// # Transactions
//
// One write transaction runs at a time. Transactions are read committed: before
// their first write, each statement has a snapshot of its own. REPEATABLE READ
// and SERIALIZABLE keep one snapshot.
//
// # SQL
//
// Statements are sqlite's with PostgreSQL's casts, dollar quoting, ILIKE, now()
// and pg_sleep. A column declared serial or bigserial is numbered by itself only
// as the primary key. Calls of now() and random() in writes are replaced by
// values so that each replica gets the same; DEFAULT now() in a table is not.
//
// # Faults
//
// [Target.Close] and [Target.Restart] crash and start the process; the log and
// the database survive. [Target.Pause] stops everything as SIGSTOP does.
// [Target.BlackholeConnections] makes the present connections silent for good.
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

// The defaults of a Target.
const (
	DefaultSlots        = 3
	DefaultConnections  = 20
	DefaultConnectDelay = 10 * time.Millisecond
	DefaultGroupSize    = 3
)

// Target is one database instance. It is safe for concurrent use.
type Target struct {
	name         unit.InstanceName
	group        unit.GroupName
	listen       func() (net.Listener, error)
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	slotCount    int
	connections  int
	reserve      int
	connectDelay time.Duration
	serviceTime  time.Duration
	groupSize    int
	initial      func(*ledger)
	recorder     *recorder.Recorder

	ledger     *ledger
	database   *database
	gate       gate
	slots      chan struct{}
	applyLag   atomic.Int64
	receiveLag atomic.Int64
	wait       sync.WaitGroup

	mu       sync.Mutex
	address  string
	listener net.Listener
	life     context.Context
	end      context.CancelFunc
	open     map[*connection]bool
	sessions map[uint32]*session
	lastPID  uint32
	callers  int
	writing  *writing
}

// Option changes a Target under construction.
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

// WithListen calls listen for a listener at each start of the process.
func WithListen(listen func() (net.Listener, error)) Option {
	return func(t *Target) { t.listen = listen }
}

// WithAddress listens on a TCP address. The default is a free port of 127.0.0.1.
func WithAddress(address string) Option {
	return func(t *Target) { t.listen = func() (net.Listener, error) { return net.Listen("tcp", address) } }
}

// WithDialer opens replication connections by dial.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(t *Target) { t.dial = dial }
}

// WithSlots sets the number of data statements that run at once.
func WithSlots(n int) Option { return func(t *Target) { t.slotCount = n } }

// WithConnections sets the number of connections that are accepted.
func WithConnections(n int) Option { return func(t *Target) { t.connections = n } }

// WithReservedConnections keeps the last n of the connections for control connections, as
// reserved_connections of PostgreSQL does for a role. Without it, none are kept.
func WithReservedConnections(n int) Option { return func(t *Target) { t.reserve = n } }

// WithConnectDelay sets how long the startup of a connection takes.
func WithConnectDelay(d time.Duration) Option { return func(t *Target) { t.connectDelay = d } }

// WithServiceTime makes each data statement hold its slot for d longer.
func WithServiceTime(d time.Duration) Option { return func(t *Target) { t.serviceTime = d } }

// WithGroupSize sets the number of instances of the group.
func WithGroupSize(n int) Option { return func(t *Target) { t.groupSize = n } }

// WithPrimary makes the target the primary of term 1.
func WithPrimary() Option {
	return func(t *Target) {
		t.initial = func(l *ledger) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.term = 1
			l.lead()
		}
	}
}

// WithFollow makes the target a replica of primary in term 1.
func WithFollow(primary unit.InstanceName, address string) Option {
	return func(t *Target) { t.initial = func(l *ledger) { l.follow(1, primary, address) } }
}

// WithRecorder records grants, promotions and changes of the primary followed.
func WithRecorder(r *recorder.Recorder) Option { return func(t *Target) { t.recorder = r } }

// New starts a target.
func New(name unit.InstanceName, group unit.GroupName, options ...Option) (*Target, error) {
	t := &Target{
		name: name, group: group, dial: (&net.Dialer{}).DialContext,
		slotCount: DefaultSlots, connections: DefaultConnections, connectDelay: DefaultConnectDelay,
		groupSize: DefaultGroupSize, initial: func(*ledger) {},
	}
	WithAddress("127.0.0.1:0")(t)
	for _, option := range options {
		option(t)
	}
	t.slots = make(chan struct{}, t.slotCount)
	t.ledger = newLedger(name, t.groupSize)
	t.initial(t.ledger)
	var err error
	if t.database, err = newDatabase(); err != nil {
		return nil, err
	}
	if err := t.Restart(); err != nil {
		return nil, errors.Join(err, t.database.destroy())
	}
	return t, nil
}

// Restart starts the process again after Close.
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
	life, end := context.WithCancel(context.Background())
	t.listener, t.life, t.end = listener, life, end
	t.open, t.sessions, t.callers = map[*connection]bool{}, map[uint32]*session{}, 0
	t.gate.open()
	t.ledger.start()
	t.wait.Go(func() { t.accept(life, listener) })
	t.wait.Go(func() { t.replicate(life) })
	t.wait.Go(func() { t.applyLoop(life) })
	return nil
}

// keepPort listens on the address of the first start when a free port was asked for.
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

// Close crashes the process: every connection is reset and open transactions are
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
	for c := range t.open {
		c.reset() // Before the end of life makes statements fail and answer.
	}
	t.end()
	t.mu.Unlock()
	t.depose()
	t.wait.Wait()
	return err
}

// Destroy crashes the process and removes the log and the database.
func (t *Target) Destroy() error {
	return errors.Join(t.Close(), t.database.destroy())
}

// Running reports whether the process runs, paused or not.
func (t *Target) Running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener != nil
}

// Pause stops the process as SIGSTOP does.
func (t *Target) Pause() { t.gate.shut() }

// Resume lets a paused process go on as if nothing had happened.
func (t *Target) Resume() { t.gate.open() }

// SetApplyLag makes the target apply records no earlier than d after it received them.
func (t *Target) SetApplyLag(d time.Duration) { t.applyLag.Store(int64(d)) }

// SetReceiveLag makes the target take in what its primary sends d later.
func (t *Target) SetReceiveLag(d time.Duration) { t.receiveLag.Store(int64(d)) }

// BlackholeConnections makes the present connections silent for good: they stay open, nothing
// is read from them and nothing more is sent. New connections work.
func (t *Target) BlackholeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		c.silent.Store(true)
	}
}

// Report returns the instance's report as tarragon_status does.
func (t *Target) Report() instance.Report { return t.ledger.report() }

// Connections returns the number of open connections that count against the limit.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers
}

func (t *Target) report(err error) {
	if err != nil && !errors.Is(err, errTruncated) && !errors.Is(err, context.Canceled) {
		log.Error("target: records could not be applied", "instance", t.name, "err", err)
	}
}

// gate stops everything while it is shut. The zero gate is open.
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

// pass waits until the gate is open or the context ends.
func (g *gate) pass(ctx context.Context) {
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

// sleep waits for d or until the context ends.
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
