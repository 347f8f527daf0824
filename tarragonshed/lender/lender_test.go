package lender_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/limiter"
	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/lender"
	"tarragonshed.example/unit"
)

// conn is a connection without a network. The lender closes it, and the test loses it
// with gone.
type conn struct {
	gone   func()
	closed chan struct{}
	once   sync.Once
}

func (c *conn) Close() { c.once.Do(func() { close(c.closed) }) }

// fixture is a Lender and the function that opens its connections.
type fixture struct {
	*lender.Lender[*conn]
	mu        sync.Mutex
	opened    []*conn
	exhausted bool
	loseNext  bool // Whether the next connection is lost while it is being opened.
}

func newFixture(slots, share int) *fixture {
	f := &fixture{}
	f.Lender = lender.New(context.Background(), f.open,
		limiter.Limits{Slots: slots, Connections: share, Queue: 10},
		pooler.Limits{Share: share, Opening: share, Rate: 1000})
	return f
}

func (f *fixture) open(_ context.Context, _ unit.CallerName, _ pooler.Conn, gone func()) (*conn, bool, *result.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exhausted {
		return nil, true, result.New(result.ConnectionsExhausted, "full")
	}
	c := &conn{gone: gone, closed: make(chan struct{})}
	f.opened = append(f.opened, c)
	if f.loseNext {
		f.loseNext = false
		gone()
	}
	return c, false, nil
}

// acquire waits for a connection and advances the pool's time meanwhile.
func (f *fixture) acquire(t *testing.T) lender.AcquireResult[*conn] {
	t.Helper()
	_, results := f.Acquire("")
	for now := time.Now(); ; now = now.Add(10 * time.Millisecond) {
		f.Tick(now, false)
		select {
		case r := <-results:
			return r
		case <-time.After(time.Millisecond):
		}
	}
}

func TestConnectionIsLentToOneRequestAtATime(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	first := f.acquire(t)
	is.NoErr(errOf(first))
	_, second := f.Acquire("")
	select {
	case <-second:
		t.Fatal("the connection was lent twice")
	default:
	}
	f.Release(first.ID)
	is.Equal((<-second).ID, first.ID)
}

func errOf(g lender.AcquireResult[*conn]) error {
	if g.Err == nil {
		return nil
	}
	return g.Err
}

func TestLostConnectionIsNotLent(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	first := f.acquire(t)
	first.Conn.gone()
	f.Release(first.ID)
	second := f.acquire(t)
	is.NoErr(errOf(second))
	is.True(second.ID != first.ID)
}

// TestConnectionLostWhileOpening loses a connection before the lender has added it to the
// pool. The connection must not stay in the pool.
func TestConnectionLostWhileOpening(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	f.loseNext = true
	first := f.acquire(t)
	f.Release(first.ID)
	second := f.acquire(t)
	is.NoErr(errOf(second))
	is.True(second.ID != first.ID)
	_, found := f.Find(first.ID)
	is.True(!found)
}

func TestExhaustedInstance(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1)
	f.exhausted = true
	is.Equal(f.acquire(t).Err.Code, result.ConnectionsExhausted)
}

func TestClose(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	first := f.acquire(t)
	f.Close()
	<-first.Conn.closed
	is.True(f.acquire(t).Err != nil)
	is.True(!f.TryAdmit(limiter.Request{Priority: limiter.Write}))
	_, answer := f.Admit(limiter.Request{Priority: limiter.Write, Deadline: time.Now().Add(time.Hour)})
	is.True(<-answer != nil)
}

// TestUseAfterClose guards against a panic of whoever uses a lender that was closed meanwhile: a change
// of the limits closed connections that it no longer had (issue 34).
func TestUseAfterClose(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 3)
	first, second := f.acquire(t), f.acquire(t)
	f.Release(first.ID)
	f.Close()
	f.Resize(limiter.Limits{Slots: 1, Connections: 1}, pooler.Limits{Share: 1})
	f.Resize(limiter.Limits{Slots: 3, Connections: 3}, pooler.Limits{Share: 3, Warm: 3, Opening: 3, Rate: 1000})
	f.Tick(time.Now().Add(time.Hour), true)
	f.Release(second.ID)
	first.Conn.gone()
	second.Conn.gone()
	f.Close()
	_, ok := f.TryAcquire("", nil)
	is.True(!ok)
	is.Equal(len(f.opened), 2)
}

// TestCloseAnswersWaitingRequests checks that requests don't wait for what a closed lender can't give
// them any more.
func TestCloseAnswersWaitingRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.acquire(t)
	is.True(f.TryAdmit(limiter.Request{Priority: limiter.Write}))
	id, slot := f.Admit(limiter.Request{Priority: limiter.Write, Deadline: time.Now().Add(time.Hour)})
	ticket, conn := f.Acquire("")
	f.Close()
	is.Equal((<-slot).Code, result.InstanceUnreachable)
	is.Equal((<-conn).Err.Code, result.InstanceUnreachable)
	is.True(!f.Withdraw(id))
	is.True(!f.WithdrawAcquire(ticket))
	f.Finish(time.Millisecond)
	f.EndTransaction()
}

func TestSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 2)
	is.True(f.TryAdmit(limiter.Request{Priority: limiter.Write}))
	is.True(!f.TryAdmit(limiter.Request{Priority: limiter.Write}))
	id, answer := f.Admit(limiter.Request{Priority: limiter.Write, Deadline: time.Now().Add(time.Hour)})
	is.Equal(f.Load().Queued, 1)
	f.Finish(time.Millisecond)
	is.Equal(<-answer, nil)
	is.True(!f.Withdraw(id)) // It is already admitted.
	f.EndTransaction()
}

func TestRefusalsAreReported(t *testing.T) {
	is := is.New(t)
	var reasons []limiter.Reason
	l := lender.New(context.Background(), (&fixture{}).open, limiter.Limits{Slots: 1, Connections: 1}, pooler.Limits{},
		lender.WithRefusals[*conn](func(r limiter.Reason) { reasons = append(reasons, r) }))
	request := limiter.Request{Priority: limiter.Write, Deadline: time.Now().Add(time.Hour)}
	is.True(l.TryAdmit(request))
	_, answer := l.Admit(request)
	is.Equal((<-answer).Code, result.Overloaded)
	is.Equal(reasons, []limiter.Reason{limiter.QueueFull})
}
