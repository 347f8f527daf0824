package overseer

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"tarragonshed.example/replacer"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// busyGroup is a group whose instances have no slot for a request of their status until a
// given time.
type busyGroup struct {
	Instances
	until time.Time
	asked atomic.Int64
}

func (g *busyGroup) Status(context.Context, unit.GroupName, unit.InstanceName) (engine.InstanceStatus, error) {
	g.asked.Add(1)
	if time.Now().Before(g.until) {
		return engine.InstanceStatus{}, result.New(result.Overloaded, "no free slot")
	}
	return engine.InstanceStatus{Term: 1, Received: unit.Position{Term: 1, Index: 20}}, nil
}

func (*busyGroup) Verify(context.Context, unit.GroupName, unit.InstanceName) bool { return true }

func (*busyGroup) Reach(unit.GroupName, unit.InstanceName) engine.Reach {
	return engine.Reach{Known: true}
}

func (*busyGroup) Acknowledged(unit.GroupName) unit.Position {
	return unit.Position{Term: 1, Index: 20}
}

// surveying returns an overseer of the group that has not been started.
func surveying(g Instances) *Overseer {
	o := New(Self{Daemon: "a", Incarnation: 1}, &memoryStore{}, nil, func() unit.Instant { return 0 })
	o.instances.Store(&g)
	return o
}

// TestBusyReplicaIsAskedAgain guards against the loss of acknowledged writes: a replica that had
// no slot for the request of its status was asked once and left out of the choice (review/2).
func TestBusyReplicaIsAskedAgain(t *testing.T) {
	g := &busyGroup{}
	o := surveying(g) // Outside of the bubble, because its metrics start a goroutine.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g.until = time.Now().Add(callTimeout / 2)
		c := &primaryChange{Overseer: o, fault: &fault{reason: unreachable}, events: make(chan replacer.Event, 1), ctx: t.Context()}
		go c.survey("b")
		synctest.Wait()
		c.survey("b") // The first query is still in flight.
		is.Equal(g.asked.Load(), int64(1))
		event := <-c.events
		is.Equal(event, replacer.Event(replacer.Surveyed{Status: replacer.Status{
			Instance: "b", Term: 1, Received: unit.Position{Term: 1, Index: 20},
		}}))
		is.True(g.asked.Load() > 10)
	})
	synctest.Test(t, func(t *testing.T) { // Not beyond the time of one survey.
		is := is.New(t)
		g.until = time.Now().Add(time.Hour)
		ctx, stop := context.WithTimeout(t.Context(), callTimeout)
		defer stop()
		_, err := o.instanceStatus(ctx, "g", "b")
		var refusal *result.Error
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Code, result.Overloaded)
	})
}

func TestWithdrawalReportsAcknowledgedWrites(t *testing.T) {
	is := is.New(t)
	response, err := service{overseer: surveying(&busyGroup{})}.Withdraw(t.Context(), connect.NewRequest(&peer.WithdrawRequest{Group: "g"}))
	is.NoErr(err)
	is.True(response.Msg.Dropped)
	is.True(response.Msg.ReportsAcknowledged)
	is.Equal(acknowledgedIn(response.Msg), unit.Position{Term: 1, Index: 20})
}
