package forwarder_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/tarragonshed/forwarder"
	"tarragonshed.example/unit"
)

// fakeLocal runs statements with a function that the test sets.
type fakeLocal struct {
	run    func(ctx context.Context, c engine.Call, deadline time.Time) (engine.Reply, *result.Error)
	refuse *result.Error

	mu       sync.Mutex
	requests []engine.LeaseRequest
	ended    chan unit.InstanceName // Receives the instance of each lease that ends.
}

func newFakeLocal() *fakeLocal {
	return &fakeLocal{run: reply(engine.Reply{State: engine.Idle}), ended: make(chan unit.InstanceName, 10_000)}
}

// reply returns a function that replies to every statement with r.
func reply(r engine.Reply) func(context.Context, engine.Call, time.Time) (engine.Reply, *result.Error) {
	return func(context.Context, engine.Call, time.Time) (engine.Reply, *result.Error) { return r, nil }
}

func (l *fakeLocal) Lease(ctx context.Context, r engine.LeaseRequest) (engine.Lease, *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	return fakeLease{l, ctx, r.Instance}, l.refuse
}

func (l *fakeLocal) Position(_ context.Context, group unit.GroupName, maxAge time.Duration) (unit.Position, time.Duration, *result.Error) {
	if group != "pulp-ledger-1" {
		return unit.Position{}, 0, result.New(result.NoPrimary, "group %s is unknown", group)
	}
	return unit.Position{Term: 3, Index: 17}, maxAge / 2, nil
}

// leases returns the number of leases so far and the latest request for one.
func (l *fakeLocal) leases() (int, engine.LeaseRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests), l.requests[len(l.requests)-1]
}

type fakeLease struct {
	local    *fakeLocal
	ctx      context.Context
	instance unit.InstanceName
}

func (l fakeLease) Run(c engine.Call, deadline time.Time) (engine.Reply, *result.Error) {
	return l.local.run(l.ctx, c, deadline)
}

func (l fakeLease) End() { l.local.ended <- l.instance }

// rig is a Forwarder and one home.
type rig struct {
	local     *fakeLocal
	server    *forwarder.Server
	http      *http.Server
	forwarder *forwarder.Forwarder
	registry  metrics.Registry
	address   string
	// conns holds the home's connections.
	conns chan net.Conn
}

func newRig(t testing.TB, options ...forwarder.Option) *rig {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	r := &rig{local: newFakeLocal(), registry: metrics.NewRegistry(), address: l.Addr().String(), conns: make(chan net.Conn, 100)}
	r.server = forwarder.NewServer(r.local)
	routes := http.NewServeMux()
	routes.Handle(r.server.Handler())
	r.http = &http.Server{Handler: routes, ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			r.conns <- c
		}
	}}
	forwarder.Configure(r.http)
	go func() { _ = r.http.Serve(l) }()
	r.forwarder = forwarder.New(append(options, forwarder.WithMetrics(r.registry))...)
	t.Cleanup(func() {
		r.forwarder.Close()
		_ = r.http.Close()
	})
	return r
}

// lease returns a lease of the instance.
func (r *rig) lease(instance unit.InstanceName) engine.Lease {
	return r.forwarder.Lease(context.Background(), r.address, engine.LeaseRequest{
		Group: "pulp-ledger-1", Instance: instance, Priority: limiter.Write,
	})
}

func (r *rig) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.registry).Count()
}

func soon() time.Time { return time.Now().Add(10 * time.Second) }

var read = engine.Call{Statement: engine.Read{Text: "17"}}

func TestStatements(t *testing.T) {
	const odd = "a\x00\xff\r\nb"
	definition := engine.Definition{Writes: true, Text: odd}
	calls := map[string]engine.Call{
		"read":       {ID: odd, Statement: engine.Read{Text: odd}, After: unit.Position{Term: 2, Index: 1 << 60}},
		"write":      {ID: "r", Statement: engine.Write{Text: odd}, Values: map[string]string{odd: odd, "b": ""}},
		"begin":      {Statement: engine.Begin{ReadOnly: true}},
		"commit":     {Statement: engine.Commit{}},
		"rollback":   {Statement: engine.Rollback{}},
		"set":        {Statement: engine.Set{Name: odd, Value: odd}},
		"prepare":    {Statement: engine.Prepare{Name: odd, Definition: definition}},
		"execute":    {Statement: engine.Execute{Name: odd, Text: odd}, Definition: definition},
		"deallocate": {Statement: engine.Deallocate{Name: odd}},
		"discard":    {Statement: engine.Discard{}},
		"status":     {Statement: engine.Status{}},
		"step down":  {Statement: engine.StepDown{Term: 9}},
	}
	r := newRig(t)
	want := engine.Reply{
		Rows: [][]byte{[]byte(odd), {}}, Receipt: odd, Err: result.New(result.StatementFailed, odd), State: engine.Idle,
		Position: unit.Position{Term: 1, Index: 2}, Load: &router.Report{Slots: 1, Running: 2, Queued: 3, Mean: 4},
	}
	var got engine.Call
	r.local.run = func(_ context.Context, c engine.Call, deadline time.Time) (engine.Reply, *result.Error) {
		got = c
		return want, nil
	}
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reply, err := r.lease("a").Run(c, soon())
			is.True(err == nil)
			is.Equal(got, c)
			is.Equal(reply, want)
		})
	}
	is.New(t).Equal(r.count("forwarder.streams.opened"), int64(1))
}

func TestLeaseRequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	sent := engine.LeaseRequest{
		Group: "g", Instance: "a\xff", Incarnation: 1 << 63, Caller: "c\xff", Priority: limiter.StaleRead,
		Rank: limiter.Rank{Route: -2, Caller: 1 << 40}, Deadline: soon(), Target: time.Now().Add(-time.Second),
	}
	_, err := r.forwarder.Lease(t.Context(), r.address, sent).Run(read, soon())
	is.True(err == nil)
	_, got := r.local.leases()
	is.True(got.Deadline.After(time.Now()) && got.Deadline.Before(sent.Deadline.Add(time.Second)))
	is.True(got.Target.Before(time.Now()))
	got.Deadline, got.Target = sent.Deadline, sent.Target
	is.Equal(got, sent)
}

func TestTransaction(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	var values []map[string]string
	r.local.run = func(_ context.Context, c engine.Call, _ time.Time) (engine.Reply, *result.Error) {
		values = append(values, c.Values)
		if _, ends := c.Statement.(engine.Commit); ends {
			return engine.Reply{State: engine.Idle}, nil
		}
		return engine.Reply{State: engine.Open}, nil
	}
	l := r.lease("a")
	for _, c := range []engine.Call{
		{Statement: engine.Begin{}, Values: map[string]string{"x": "1"}},
		{Statement: engine.Write{}, Values: map[string]string{"x": "1"}},
		{Statement: engine.Write{}, Values: map[string]string{"y": "2"}},
		{Statement: engine.Commit{}},
	} {
		_, err := l.Run(c, soon())
		is.True(err == nil)
	}
	l.End()
	is.Equal(values, []map[string]string{{"x": "1"}, {"x": "1"}, {"y": "2"}, {}})
	leases, _ := r.local.leases()
	is.Equal(leases, 1)
	is.Equal(<-r.local.ended, unit.InstanceName("a"))
	is.Equal(len(r.local.ended), 0)
}

func TestLeasesShareAStream(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	release := make(chan struct{})
	r.local.run = func(_ context.Context, c engine.Call, _ time.Time) (engine.Reply, *result.Error) {
		text := c.Statement.(engine.Read).Text
		if text == "first" {
			<-release
		}
		return engine.Reply{Receipt: text, State: engine.Idle}, nil
	}
	first := make(chan string)
	go func() {
		reply, _ := r.lease("a").Run(engine.Call{Statement: engine.Read{Text: "first"}}, soon())
		first <- reply.Receipt
	}()
	var others sync.WaitGroup
	for range 100 {
		others.Go(func() {
			reply, err := r.lease("a").Run(read, soon())
			if err != nil || reply.Receipt != "17" {
				t.Error(reply, err)
			}
		})
	}
	others.Wait() // They overtake the first statement.
	close(release)
	is.Equal(<-first, "first")
	is.Equal(r.count("forwarder.streams.opened"), int64(1))
}

func TestErrors(t *testing.T) {
	failure := result.New(result.Overloaded, "the queue is full")
	t.Run("of the instance are in the reply", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = reply(engine.Reply{Err: failure, State: engine.Open})
		got, err := r.lease("a").Run(read, soon())
		is.True(err == nil)
		is.Equal(got.Err, failure)
	})
	t.Run("of Run", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = func(context.Context, engine.Call, time.Time) (engine.Reply, *result.Error) {
			return engine.Reply{}, failure
		}
		l := r.lease("a")
		_, err := l.Run(read, soon())
		is.Equal(err, failure)
		is.Equal(r.count("forwarder.errors.TS2001"), int64(1))
		_, err = l.Run(read, soon())
		is.Equal(err.Code, result.HomeUnreachable) // It would run outside of its transaction.
		l.End()
		is.Equal(<-r.local.ended, unit.InstanceName("a"))
	})
	t.Run("without a statement at the home", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		_, err := r.lease("a").Run(read, time.Now())
		is.Equal(err.Code, result.DeadlinePassed)
		r.local.refuse = failure
		_, err = r.lease("a").Run(read, soon())
		is.Equal(err, failure)
	})
	t.Run("too large to be sent", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		large := engine.Call{Statement: engine.Read{Text: string(make([]byte, 33<<20))}}
		l := r.lease("a")
		_, err := l.Run(large, soon())
		is.Equal(err.Code, result.StatementTooLarge)
		l.End()
		_, err = r.lease("a").Run(read, soon())
		is.True(err == nil)
	})
	t.Run("too large a reply", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = reply(engine.Reply{Rows: [][]byte{make([]byte, 33<<20)}, State: engine.Idle})
		_, err := r.lease("a").Run(read, soon())
		is.Equal(err.Code, result.AnswerCut)
	})
}

// block makes statements wait until their context ends or the test has ended. The result
// receives a value when a statement begins, and the second one the cause when it ends.
func (r *rig) block(t *testing.T) (began chan struct{}, stopped chan error) {
	began, stopped = make(chan struct{}, 1), make(chan error, 1)
	r.local.run = func(ctx context.Context, _ engine.Call, _ time.Time) (engine.Reply, *result.Error) {
		began <- struct{}{}
		select {
		case <-ctx.Done():
		case <-t.Context().Done():
		}
		stopped <- ctx.Err()
		return engine.Reply{}, result.New(result.CancelledUnsent, "the wait for a slot was cancelled")
	}
	return began, stopped
}

// runInBackground runs a statement. Its error is sent to the result.
func runInBackground(l engine.Lease, deadline time.Time) <-chan *result.Error {
	failed := make(chan *result.Error, 1)
	go func() {
		_, err := l.Run(read, deadline)
		failed <- err
	}()
	return failed
}

func TestLostStream(t *testing.T) {
	t.Run("with a statement under way", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		began, stopped := r.block(t)
		l := r.lease("a")
		failed := runInBackground(l, soon())
		<-began
		_ = (<-r.conns).Close()
		is.Equal((<-failed).Code, result.HomeLost)
		is.True(errors.Is(<-stopped, context.Canceled)) // It isn't sent to the instance any more.
		is.Equal(<-r.local.ended, unit.InstanceName("a"))
		l.End()
		is.Equal(r.count("forwarder.streams.lost"), int64(1))
	})
	t.Run("between statements of a transaction", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = reply(engine.Reply{State: engine.Open})
		l := r.lease("a")
		_, err := l.Run(read, soon())
		is.True(err == nil)
		_ = (<-r.conns).Close()
		is.Equal(<-r.local.ended, unit.InstanceName("a")) // It is rolled back.
		for r.forwarder.Available(r.address) {
			runtime.Gosched() // The loss is noticed by another goroutine.
		}
		_, err = l.Run(read, soon())
		is.True(err.Code == result.HomeUnreachable || err.Code == result.HomeLost)
	})
	t.Run("by the session's daemon", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = reply(engine.Reply{State: engine.Open})
		_, err := r.lease("a").Run(read, soon())
		is.True(err == nil)
		r.forwarder.Close()
		is.Equal(<-r.local.ended, unit.InstanceName("a"))
	})
}

func TestAbandonedStatement(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	began, stopped := r.block(t)
	ctx, cancel := context.WithCancel(t.Context())
	l := r.forwarder.Lease(ctx, r.address, engine.LeaseRequest{Instance: "a"})
	failed := runInBackground(l, soon())
	<-began
	cancel()
	is.Equal((<-failed).Code, result.HomeLost)
	l.End()
	is.True(errors.Is(<-stopped, context.Canceled))
	is.Equal(<-r.local.ended, unit.InstanceName("a"))
	is.True(r.forwarder.Available(r.address))
}

func TestRefusedDial(t *testing.T) {
	is := is.New(t)
	dials := make(chan struct{}, 100)
	r := newRig(t, forwarder.WithDialer(func(context.Context, string, string) (net.Conn, error) {
		dials <- struct{}{}
		return nil, errors.New("injected by the test")
	}))
	var attempts []<-chan *result.Error
	for range 20 {
		attempts = append(attempts, runInBackground(r.lease("a"), soon()))
	}
	for _, failed := range attempts {
		is.Equal((<-failed).Code, result.HomeUnreachable)
	}
	is.Equal(len(dials), 1) // The statements share the attempt, and the backoff bars others.
	is.True(!r.forwarder.Available(r.address))
	is.True(r.forwarder.Available("127.0.0.1:1"))
}

// TestSilentPeer guards against a peer that accepts connections and then is silent.
func TestSilentPeer(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer silent.Close()
	t.Run("before the stream is open", func(t *testing.T) {
		is := is.New(t)
		lines := make(lineWriter, 10)
		r := newRig(t, forwarder.WithLogger(log.New(lines)))
		_, err := r.forwarder.Lease(t.Context(), silent.Addr().String(), engine.LeaseRequest{}).Run(read, soon())
		is.Equal(err.Code, result.HomeUnreachable)
		is.True(strings.Contains(<-lines, "stream to daemon can't be opened")) // After the statement was refused.
	})
	t.Run("with a statement under way", func(t *testing.T) {
		is := is.New(t)
		conns := make(chan *silentConn, 1)
		r := newRig(t, forwarder.WithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			s := &silentConn{Conn: c}
			conns <- s
			return s, err
		}))
		began, _ := r.block(t)
		failed := runInBackground(r.lease("a"), time.Now().Add(time.Hour))
		<-began
		(<-conns).silent.Store(true)
		is.Equal((<-failed).Code, result.HomeLost)
	})
}

// lineWriter receives the lines of a log.
type lineWriter chan string

// Write implements [io.Writer].
func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// silentConn is a connection that can stop delivering data without being closed.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

// Read drops what arrives while the connection is silent.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func TestUnusedStream(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	l := r.lease("a")
	r.local.run = reply(engine.Reply{State: engine.Open})
	_, err := l.Run(read, soon())
	is.True(err == nil)
	later := time.Now().Add(forwarder.IdleTimeout + time.Hour)
	r.forwarder.CloseUnused(later)
	_, err = l.Run(read, soon()) // The lease keeps the stream open.
	is.True(err == nil)
	l.End()
	r.forwarder.CloseUnused(later)
	is.Equal(r.count("forwarder.streams.opened"), int64(1))
	_, err = r.lease("a").Run(read, soon())
	is.True(err == nil)
	is.Equal(r.count("forwarder.streams.opened"), int64(2))
	is.Equal(r.count("forwarder.streams.lost"), int64(0))
}

func TestPosition(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	p, age, err := r.forwarder.Position(t.Context(), r.address, "pulp-ledger-1", time.Second)
	is.True(err == nil)
	is.Equal(p, unit.Position{Term: 3, Index: 17})
	is.Equal(age, time.Second/2)
	_, _, err = r.forwarder.Position(t.Context(), r.address, "unknown", time.Second)
	is.Equal(err.Code, result.NoPrimary)
}

func TestDrain(t *testing.T) {
	t.Run("waits for open transactions", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = func(_ context.Context, c engine.Call, _ time.Time) (engine.Reply, *result.Error) {
			if _, ends := c.Statement.(engine.Commit); ends {
				return engine.Reply{State: engine.Idle}, nil
			}
			return engine.Reply{State: engine.Open}, nil
		}
		l := r.lease("a")
		_, err := l.Run(read, soon())
		is.True(err == nil)
		drained := make(chan error, 1)
		go func() { drained <- r.server.Drain(t.Context()) }()
		for r.forwarder.Available(r.address) {
			runtime.Gosched() // The home announces that it is draining.
		}
		_, err = r.lease("a").Run(read, soon())
		is.Equal(err.Code, result.HomeUnreachable)
		_, err = l.Run(engine.Call{Statement: engine.Commit{}}, soon())
		is.True(err == nil)
		is.NoErr(<-drained)
	})
	t.Run("streams with open transactions are still pinged", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = reply(engine.Reply{State: engine.Open})
		l := r.lease("a")
		_, err := l.Run(read, soon())
		is.True(err == nil)
		drained := make(chan error, 1)
		go func() { drained <- r.server.Drain(t.Context()) }()
		for r.forwarder.Available(r.address) {
			runtime.Gosched()
		}
		is.Equal(r.forwarder.Checked(), 1)
		l.End()
		is.NoErr(<-drained)
		is.Equal(r.forwarder.Checked(), 0)
	})
	t.Run("refuses streams", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		is.NoErr(r.server.Drain(t.Context()))
		_, err := r.lease("a").Run(read, soon())
		is.Equal(err.Code, result.HomeUnreachable)
	})
	t.Run("ends leases when its context ends", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.local.run = reply(engine.Reply{State: engine.Open})
		_, failed := r.lease("a").Run(read, soon())
		is.True(failed == nil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.Equal(result.CodeOf(r.server.Drain(ctx)), result.ShuttingDown)
		is.Equal(<-r.local.ended, unit.InstanceName("a"))
		is.NoErr(r.server.Drain(t.Context())) // The stream has ended, too.
	})
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// BenchmarkStatement measures both daemons together.
func BenchmarkStatement(b *testing.B) {
	var bytes atomic.Int64
	r := newRig(b, forwarder.WithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{c, &bytes}, err
	}))
	r.local.run = reply(engine.Reply{Rows: [][]byte{[]byte("a row")}, Receipt: "1", State: engine.Idle, Load: &router.Report{Slots: 4, Mean: 1e7}})
	r.local.ended = make(chan unit.InstanceName, b.N+1)
	request := engine.LeaseRequest{
		Group: "pulp-ledger-1", Instance: "pulp-ledger-1-a", Caller: "mill", Priority: limiter.StaleRead, Deadline: soon(),
	}
	run := func() {
		if _, err := r.forwarder.Lease(b.Context(), r.address, request).Run(read, soon()); err != nil {
			b.Fatal(err)
		}
	}
	run()
	b.ReportAllocs()
	b.ResetTimer()
	bytes.Store(0)
	for range b.N {
		run()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
}
