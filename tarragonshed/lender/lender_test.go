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
)

// conn is a connection that is closed by the test or by the lender.
type conn struct {
	gone   func()
	closed chan struct{}
	once   sync.Once
}

func (c *conn) Close() { c.once.Do(func() { close(c.closed) }) }

// rig opens connections as the test says.
type rig struct {
	*lender.Lender[*conn]
	mu        sync.Mutex
	opened    []*conn
	exhausted bool
	lost      bool // Whether connections are lost before they can be lent.
}

func newRig(slots, share int) *rig {
	r := &rig{}
	r.Lender = lender.New(context.Background(), r.open,
		limiter.Limits{Slots: slots, Connections: share, Queue: 10},
		pooler.Limits{Share: share, Opening: share, Rate: 1000})
	return r
}

func (r *rig) open(_ context.Context, _ pooler.Conn, gone func()) (*conn, bool, *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exhausted {
		return nil, true, result.New(result.ConnectionsExhausted, "full")
	}
	c := &conn{gone: gone, closed: make(chan struct{})}
	r.opened = append(r.opened, c)
	if r.lost {
		r.lost = false
		gone()
	}
	return c, false, nil
}

// take waits for a connection, and lets time pass meanwhile.
func (r *rig) take(t *testing.T) lender.TakeResult[*conn] {
	t.Helper()
	_, given := r.Take()
	for now := time.Now(); ; now = now.Add(10 * time.Millisecond) {
		r.Tick(now, false)
		select {
		case g := <-given:
			return g
		case <-time.After(time.Millisecond):
		}
	}
}

func TestConnectionsAreLentOneAtATime(t *testing.T) {
	is := is.New(t)
	r := newRig(2, 1)
	first := r.take(t)
	is.NoErr(errOf(first))
	_, second := r.Take()
	select {
	case <-second:
		t.Fatal("the connection was lent twice")
	default:
	}
	r.Put(first.ID)
	is.Equal((<-second).ID, first.ID)
}

func errOf(g lender.TakeResult[*conn]) error {
	if g.Err == nil {
		return nil
	}
	return g.Err
}

func TestLostConnectionIsNotLent(t *testing.T) {
	is := is.New(t)
	r := newRig(2, 1)
	first := r.take(t)
	first.Conn.gone()
	r.Put(first.ID)
	second := r.take(t)
	is.NoErr(errOf(second))
	is.True(second.ID != first.ID)
}

// TestLostWhileOpening loses a connection before the lender has it: it must not
// stay in the pool.
func TestLostWhileOpening(t *testing.T) {
	is := is.New(t)
	r := newRig(2, 1)
	r.lost = true
	first := r.take(t)
	r.Put(first.ID)
	second := r.take(t)
	is.NoErr(errOf(second))
	is.True(second.ID != first.ID)
	_, found := r.Find(first.ID)
	is.True(!found)
}

func TestExhaustedInstance(t *testing.T) {
	is := is.New(t)
	r := newRig(2, 1)
	r.exhausted = true
	is.Equal(r.take(t).Err.Code, result.ConnectionsExhausted)
}

func TestClose(t *testing.T) {
	is := is.New(t)
	r := newRig(1, 1)
	first := r.take(t)
	r.Close()
	<-first.Conn.closed
	is.True(r.take(t).Err != nil)
	is.True(!r.TryAdmit(limiter.Write))
	_, answer := r.Admit("", limiter.Write, time.Now().Add(time.Hour))
	is.True(<-answer != nil)
}

func TestSlots(t *testing.T) {
	is := is.New(t)
	r := newRig(1, 2)
	is.True(r.TryAdmit(limiter.Write))
	is.True(!r.TryAdmit(limiter.Write))
	id, answer := r.Admit("", limiter.Write, time.Now().Add(time.Hour))
	is.Equal(r.Load().Queued, 1)
	r.Finish(time.Millisecond)
	is.Equal(<-answer, nil)
	is.True(!r.Withdraw(id)) // It is admitted already.
	r.EndTransaction()
}
