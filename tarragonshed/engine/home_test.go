package engine

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// fakeForwarder forwards to the engine of one daemon, whatever the address.
type fakeForwarder struct {
	local Local

	mu        sync.Mutex
	refusing  int         // The number of leases that fail before their statement is sent.
	lostAfter result.Code // If set, each statement fails with it after it has run.
	addresses []string    // Where leases were requested.
	maxAge    time.Duration
}

// fakeLease is a lease of a fakeForwarder, or the error of one that the home refused.
type fakeLease struct {
	forwarder *fakeForwarder
	Lease
	refusal *result.Error
}

func (f *fakeForwarder) Available(string) bool { return true }

func (f *fakeForwarder) Lease(ctx context.Context, address string, r LeaseRequest) Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses = append(f.addresses, address)
	if f.refusing > 0 {
		f.refusing--
		return &fakeLease{forwarder: f, refusal: result.New(result.HomeUnreachable, "injected by the test")}
	}
	l, err := f.local.Lease(ctx, r)
	return &fakeLease{forwarder: f, Lease: l, refusal: err}
}

func (f *fakeForwarder) Position(ctx context.Context, _ string, g unit.GroupName, maxAge time.Duration) (unit.Position, time.Duration, *result.Error) {
	f.mu.Lock()
	f.maxAge = maxAge
	f.mu.Unlock()
	return f.local.Position(ctx, g, maxAge)
}

func (l *fakeLease) Run(c Call, deadline time.Time) (Reply, *result.Error) {
	if l.refusal != nil {
		return Reply{}, l.refusal
	}
	reply, err := l.Lease.Run(c, deadline)
	if code := l.forwarder.lostAfter; code != 0 && c.ID != "" {
		return Reply{}, result.New(code, "injected by the test")
	}
	return reply, err
}

func (l *fakeLease) End() {
	if l.refusal == nil {
		l.Lease.End()
	}
}

// newForwarding returns a daemon whose instances have homes, and the daemon that is the home of
// all of them.
func newForwarding(t *testing.T) (session, home *harness, f *fakeForwarder) {
	home = newHarness(t)
	f = &fakeForwarder{local: home.Engine}
	session = newHarness(t, WithForwarder(f, "daemon-0"))
	daemons := someDaemons(25) // More than the connections of an instance.
	for n := range daemons {
		daemons[n].Address = string(daemons[n].ID)
		daemons[n].Domain = "domain-a"
	}
	daemons[0].Domain = "domain-of-no-instance"
	session.SetDaemons(daemons)
	return session, home, f
}

func TestHomes(t *testing.T) {
	t.Run("statements and transactions run on the connections of the home", func(t *testing.T) {
		is := is.New(t)
		session, home, _ := newForwarding(t)
		s := session.open("own")
		mustSucceed(t, s, Set{Name: "zone", Value: "utc"})
		mustSucceed(t, s, Write{Text: "1 one"})
		mustSucceed(t, s, Begin{})
		mustSucceed(t, s, Write{Text: "2 two"})
		is.Equal(mustSucceed(t, s, Commit{}).Receipt, "done")
		is.Equal(len(home.instances["a"].callerRequests()), 3)
		is.Equal(session.instances["a"].conns, 0)
	})
	t.Run("an unreachable home is passed over", func(t *testing.T) {
		is := is.New(t)
		session, home, f := newForwarding(t)
		f.refusing = 1
		mustSucceed(t, session.open("own"), Write{Text: "1 one"})
		is.Equal(len(home.instances["a"].callerRequests()), 1)
		is.Equal(len(f.addresses), 2)
		is.True(f.addresses[0] != f.addresses[1])
	})
	t.Run("without a home the daemon uses its own connections", func(t *testing.T) {
		is := is.New(t)
		session, home, f := newForwarding(t)
		f.refusing = homeCount
		mustSucceed(t, session.open("own"), Write{Text: "1 one"})
		is.Equal(len(home.instances["a"].callerRequests()), 0)
		is.Equal(len(session.instances["a"].callerRequests()), 1)
	})
	t.Run("a write that a lost home may have run is in doubt", func(t *testing.T) {
		is := is.New(t)
		session, home, f := newForwarding(t)
		f.lostAfter = result.HomeLost
		mustFail(t, session.open("own"), Write{Text: "1 one"}, result.HomeLost)
		is.Equal(len(home.instances["a"].callerRequests()), 1)
	})
	t.Run("a read that a lost home may have run is repeated", func(t *testing.T) {
		is := is.New(t)
		session, home, f := newForwarding(t)
		f.lostAfter = result.HomeLost
		s := session.open("old")
		for range 20 { // They fill the retry budget.
			s.Do("q", Read{Text: "1"})
		}
		all := 0
		for _, i := range home.instances {
			all += len(i.callerRequests())
		}
		is.True(all > 20)
	})
	t.Run("a transaction is rolled back with its home", func(t *testing.T) {
		session, _, f := newForwarding(t)
		s := session.open("own")
		mustSucceed(t, s, Begin{})
		mustSucceed(t, s, Write{Text: "1 one"})
		f.lostAfter = result.HomeLost
		mustFail(t, s, Write{Text: "2 two"}, result.RolledBack)
	})
	t.Run("a COMMIT that a lost home may have run is in doubt", func(t *testing.T) {
		session, _, f := newForwarding(t)
		s := session.open("own")
		mustSucceed(t, s, Begin{})
		mustSucceed(t, s, Write{Text: "1 one"})
		f.lostAfter = result.HomeLost
		mustFail(t, s, Commit{}, result.HomeLost)
	})
	t.Run("a write is not acknowledged without authority of the session's daemon", func(t *testing.T) {
		session, home, _ := newForwarding(t)
		home.instances["a"].answer = func(c *fakeConn, r Request) (*Reply, bool) {
			if r.ID != "" {
				session.loseAuthority()
			}
			return succeed(c, r)
		}
		mustFail(t, session.open("own"), Write{Text: "1 one"}, result.AuthorityLost)
	})
	t.Run("a home that knows another primary runs no write", func(t *testing.T) {
		is := is.New(t)
		session, home, _ := newForwarding(t)
		home.leader.Primary = "c"
		session.setTimeouts(50 * time.Millisecond)
		a := session.open("own").Do("q", Write{Text: "1 one"})
		is.Equal(a.Err.Code.Entry().Outcome, result.NotRun)
		is.Equal(len(home.instances["a"].callerRequests()), 0)
	})
	t.Run("a home without authority runs a write for a daemon that has it", func(t *testing.T) {
		session, home, _ := newForwarding(t)
		home.loseAuthority()
		mustSucceed(t, session.open("own"), Write{Text: "1 one"})
	})
	t.Run("a home that does not reach the instance is passed over", func(t *testing.T) {
		is := is.New(t)
		session, home, f := newForwarding(t)
		home.peers = nil // It finds no other way to the instance.
		home.instances["a"].connect = result.New(result.InstanceRefuses, "injected by the test")
		mustSucceed(t, session.open("own"), Write{Text: "1 one"})
		is.Equal(len(f.addresses), homeCount)
		is.Equal(len(session.instances["a"].callerRequests()), 1)
	})
	t.Run("without a home that reaches the primary the daemon asks it directly", func(t *testing.T) {
		is := is.New(t)
		session, home, _ := newForwarding(t)
		home.peers = nil
		home.instances["a"].connect = result.New(result.InstanceRefuses, "injected by the test")
		mustSucceed(t, session.open("old"), Read{Text: "1"})
		is.True(len(session.instances["a"].statements()) > 0)
	})
	t.Run("the position of the primary comes from its home", func(t *testing.T) {
		is := is.New(t)
		session, home, f := newForwarding(t)
		mustSucceed(t, session.open("old"), Read{Text: "1"})
		is.True(f.maxAge > 0)
		is.Equal(session.instances["a"].conns, 0)
		is.True(len(home.instances["a"].statements()) > 0) // A request for its status.
	})
}

func TestVerify(t *testing.T) {
	t.Run("an instance that accepts a connection is reached", func(t *testing.T) {
		is := is.New(t)
		session, _, _ := newForwarding(t)
		is.True(session.Verify(t.Context(), "g", "a"))
		is.Equal(session.instances["a"].conns, 1)
		is.True(session.Verify(t.Context(), "g", "a")) // The connection is recent.
		is.Equal(session.instances["a"].conns, 1)
	})
	t.Run("an instance that refuses one is suspected without statements to it", func(t *testing.T) {
		is := is.New(t)
		session, _, _ := newForwarding(t)
		session.peers = nil
		session.instances["a"].connect = result.New(result.InstanceRefuses, "injected by the test")
		is.True(!session.Verify(t.Context(), "g", "a"))
		for !session.Reach("g", "a").Unreachable {
			runtime.Gosched() // The probe finds it.
		}
	})
}
