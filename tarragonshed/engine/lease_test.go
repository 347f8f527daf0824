package engine

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// forwardedLease returns a lease of instance a for another daemon.
func (h *harness) forwardedLease() Lease {
	h.t.Helper()
	l, err := h.Lease(context.Background(), LeaseRequest{
		Group: "g", Instance: "a", Incarnation: 1, Priority: limiter.Write, Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		h.t.Fatal(err)
	}
	return l
}

// runOnce runs one statement with the lease.
func (h *harness) runOnce(c Call) *result.Error {
	l := h.forwardedLease()
	defer l.End()
	_, err := l.Run(c, time.Now().Add(time.Minute))
	return err
}

// lead changes the primary of the group.
func (h *harness) lead(primary unit.InstanceName, incarnation unit.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader.Primary, h.leader.Incarnation = primary, incarnation
}

func TestForwardedLease(t *testing.T) {
	t.Run("a reply to a request from before a promotion is no position of the primary", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.lead("c", 1)
		h.instances["a"].answer = func(c *fakeConn, r Request) (*Reply, bool) {
			h.lead("a", 1)
			return succeed(c, r)
		}
		is.Equal(h.runOnce(Call{ID: "q", Statement: Read{Text: "1"}}), nil)
		_, _, known := h.current.Load().groups["g"].newestFloor()
		is.True(!known)
	})
	t.Run("an earlier incarnation of the primary runs no write", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.lead("a", 2)
		is.Equal(h.runOnce(Call{ID: "q", Statement: Write{Text: "1 one"}}).Code, result.NotPrimary)
		is.Equal(len(h.instances["a"].callerRequests()), 0)
	})
	t.Run("a statement that nobody waits for is not sent", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		ctx, stop := context.WithCancel(t.Context())
		l, _ := h.Lease(ctx, LeaseRequest{
			Group: "g", Instance: "a", Incarnation: 1, Priority: limiter.Write, Deadline: time.Now().Add(time.Minute),
		})
		defer l.End()
		_, err := l.Run(Call{ID: "q", Statement: Begin{}}, time.Now().Add(time.Minute))
		is.True(err == nil)
		write := Call{ID: "q", Statement: Write{Text: "1 one"}}
		_, err = l.Run(write, time.Now())
		is.Equal(err.Code, result.DeadlinePassed)
		stop()
		_, err = l.Run(write, time.Now().Add(time.Minute))
		is.Equal(err.Code, result.CancelledUnsent)
		is.Equal(len(h.instances["a"].callerRequests()), 1) // BEGIN.
	})
	t.Run("a connection that refused a value is not used again", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.instances["a"].answer = func(c *fakeConn, r Request) (*Reply, bool) {
			reply, _ := succeed(c, r)
			if _, sets := r.Statement.(Set); sets {
				reply.Err = result.New(result.StatementFailed, "injected by the test")
			}
			return reply, true
		}
		l := h.forwardedLease()
		_, err := l.Run(Call{ID: "q", Statement: Read{Text: "1"}, Values: map[string]string{"zone": "utc"}}, time.Now().Add(time.Minute))
		is.Equal(err.Code, result.ConnectionUnprepared)
		is.Equal(len(h.instances["a"].callerRequests()), 0)
		is.True(l.(*localLease).state != Idle) // So End closes the connection.
		l.End()
	})
}
