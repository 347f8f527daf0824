package quoter

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/tarragonshed/overseer"
	"tarragonshed.example/throttler"
	"tarragonshed.example/unit"
)

var (
	_ engine.RateLimits = (*Quoter)(nil)
	_ Members           = (*overseer.Overseer)(nil)
)

// cluster is a member list, always just confirmed, and a clock that tests set.
type cluster struct {
	clock   atomic.Int64
	mu      sync.Mutex
	members map[unit.DaemonID]authorizer.Member
}

func (c *cluster) now() unit.Instant { return unit.Instant(c.clock.Load()) }

func (c *cluster) Membership() (authorizer.View, unit.Instant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return authorizer.View{Members: c.members, Now: time.Duration(c.now()), Epoch: 1, Era: 1}, c.now(), true
}

// startCluster returns daemons that have been on the list for long. Their buckets are full.
func startCluster(t *testing.T, limit manifest.RateLimit, ids ...unit.DaemonID) (*cluster, []*Quoter) {
	t.Helper()
	c := &cluster{members: make(map[unit.DaemonID]authorizer.Member)}
	c.clock.Store(int64(time.Hour))
	listeners := make([]net.Listener, len(ids))
	for i, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		listeners[i] = l
		c.members[id] = authorizer.Member{Daemon: id, Incarnation: 1, Address: l.Addr().String()}
	}
	var quoters []*Quoter
	for i, id := range ids {
		q := New(id, 1, c, c.now)
		q.Adopt(&manifest.Manifest{Callers: []manifest.Caller{{Name: "limited", RateLimit: &limit}, {Name: "free"}}})
		mux := http.NewServeMux()
		mux.Handle(q.Handler())
		server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listeners[i]) }() // Returns when the test ends.
		t.Cleanup(func() { _ = server.Close(); q.Close() })
		quoters = append(quoters, q)
	}
	for range 2 { // Two confirmations less than a lease apart.
		c.clock.Add(int64(throttler.LendingLease / 2))
		for _, q := range quoters {
			q.readMembers()
		}
	}
	return c, quoters
}

// admitAll requests operations at all daemons concurrently and returns how many are admitted.
func admitAll(quoters []*Quoter, each int) int64 {
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for _, q := range quoters {
		for range each {
			wg.Go(func() {
				if q.Admit(context.Background(), "limited") == nil {
					admitted.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return admitted.Load()
}

// TestLimitOfAllDaemons checks what several daemons admit while the clock stands still. The
// reserve for grants that are used late is a quarter of the burst.
func TestLimitOfAllDaemons(t *testing.T) {
	is := is.New(t)
	_, quoters := startCluster(t, manifest.RateLimit{PerSecond: 40, Burst: 40}, "a", "b", "c", "d")
	admitted := admitAll(quoters, 40)
	t.Log(admitted)
	is.True(admitted <= 40)
	is.True(admitted >= 20)
	err := quoters[0].Admit(context.Background(), "limited")
	is.Equal(err.Code, result.RateLimited)
	is.True(strings.HasPrefix(err.Detail, "rate limit of caller limited used up; try again in "))
}

func TestCallersWithoutLimit(t *testing.T) {
	is := is.New(t)
	_, quoters := startCluster(t, manifest.RateLimit{PerSecond: 1, Burst: 1}, "a")
	for range 10 {
		is.Equal(quoters[0].Admit(context.Background(), "free"), (*result.Error)(nil))
		is.Equal(quoters[0].Admit(context.Background(), "unknown"), (*result.Error)(nil))
	}
}

// TestLostLender checks that operations are refused once lenders do not respond.
func TestLostLender(t *testing.T) {
	is := is.New(t)
	c, quoters := startCluster(t, manifest.RateLimit{PerSecond: 2, Burst: 2}, "a", "b")
	admitted := admitAll(quoters, 5)
	is.True(admitted >= 1)
	for _, q := range quoters {
		q.Close()
	}
	q := New("c", 1, c, c.now)
	defer q.Close()
	q.Adopt(&manifest.Manifest{Callers: []manifest.Caller{{Name: "limited", RateLimit: &manifest.RateLimit{PerSecond: 2, Burst: 2}}}})
	err := q.Admit(context.Background(), "limited")
	is.Equal(err.Code, result.RateLimited)
	is.True(strings.Contains(err.Detail, "try again in 500ms"))
}

func TestClosed(t *testing.T) {
	is := is.New(t)
	_, quoters := startCluster(t, manifest.RateLimit{PerSecond: 100, Burst: 100}, "a")
	quoters[0].Close()
	is.Equal(quoters[0].Admit(context.Background(), "limited").Code, result.RateLimited)
	is.Equal(quoters[0].Admit(context.Background(), "free"), (*result.Error)(nil))
}

// TestCloseWithWaitingOperation closes a daemon while an operation waits for another lender, after
// the daemon's own share has filled again.
func TestCloseWithWaitingOperation(t *testing.T) {
	is := is.New(t)
	c, quoters := startCluster(t, manifest.RateLimit{PerSecond: 100, Burst: 100}, "a", "b")
	q := quoters[0]
	q.mu.Lock() // Until the end, so that the response of the other lender comes too late.
	is.True(lends(q, "limited"))
	answer := requestUntilWaiting(q, "limited")
	c.clock.Add(int64(time.Second))
	q.refuseWaiting()
	q.mu.Unlock()
	err := q.errorOf("limited", <-answer)
	is.True(err != nil)
	is.Equal(err.Code, result.RateLimited)
}

// lends reports whether the daemon lends a share of the caller's limit.
func lends(q *Quoter, caller unit.CallerName) bool {
	for s := range throttler.Share(throttler.MaxShares) {
		if !q.throttler.Lend([]throttler.Want{{Caller: caller, Share: s}}, q.now())[0].NotLending {
			return true
		}
	}
	return false
}

// requestUntilWaiting requests operations until one of them waits for another daemon.
func requestUntilWaiting(q *Quoter, caller unit.CallerName) <-chan throttler.Effect {
	for {
		answer := make(chan throttler.Effect, 1)
		q.lastID++
		q.waiting[q.lastID] = answer
		q.step(throttler.Request{ID: q.lastID, Caller: caller, Now: q.now()})
		if len(answer) == 0 {
			return answer
		}
	}
}

// TestRemovedLimit checks that a caller is not limited once its limit has been removed.
func TestRemovedLimit(t *testing.T) {
	is := is.New(t)
	_, quoters := startCluster(t, manifest.RateLimit{PerSecond: 1, Burst: 1}, "a")
	is.Equal(admitAll(quoters, 5), int64(1))
	quoters[0].Adopt(&manifest.Manifest{})
	is.Equal(admitAll(quoters, 5), int64(5))
}
