package home_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// TestLateAnswer guards against delivering the answer to an abandoned statement to
// the next caller that uses the connection.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var asked atomic.Int32
	f := newFake(t, func(b *pgproto3.Backend, _ int, message pgproto3.FrontendMessage) {
		q, ok := message.(*pgproto3.Query)
		if !ok {
			return
		}
		switch q.String {
		case "late":
			asked.Add(1)
			<-release
			row(b, "late")
		case "ROLLBACK":
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		default:
			row(b, q.String)
		}
	})
	h := newFakeHome(t, f)
	for range 3 { // One for each slot.
		abandoned := h.Open()
		begin(t, abandoned, write("a"))
		send(t, abandoned, simple("late"))
		want := asked.Load() + 1
		eventually(t, func() bool { return asked.Load() == want || asked.Load() == 3 })
		abandoned.Close()
	}
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	s := h.Open()
	defer s.Close()
	for range 10 {
		is.Equal(query(t, s, write("a"), "mine").text, "T mine SELECT 1;")
	}
}

// TestCrossedCallers guards against mixing up answers when many callers share few
// connections.
func TestCrossedCallers(t *testing.T) {
	f := newFake(t, func(b *pgproto3.Backend, _ int, message pgproto3.FrontendMessage) {
		if q, ok := message.(*pgproto3.Query); ok {
			row(b, q.String)
		}
	})
	h := newFakeHome(t, f)
	var callers sync.WaitGroup
	for n := range 30 {
		callers.Go(func() {
			s := h.Open()
			defer s.Close()
			for i := range 50 {
				mine := string(rune('a'+n)) + string(rune('a'+i))
				if got := query(t, s, write("a"), mine); got.text != "T "+mine+" SELECT 1;" {
					t.Errorf("sent %s, got the answer %s (%v)", mine, got.text, got.refused)
					return
				}
			}
		})
	}
	callers.Wait()
}

// TestPartialAnswer checks the error when an instance closes the connection in the
// middle of a result, before and after a part of the answer was sent.
func TestPartialAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		rows     int
		answered bool
	}{"short": {1, false}, "long": {100, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFake(t, func(b *pgproto3.Backend, _ int, message pgproto3.FrontendMessage) {
				if _, ok := message.(*pgproto3.Query); !ok {
					return
				}
				for range c.rows {
					b.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 1000)}})
				}
			})
			f.once = true
			h := newFakeHome(t, f)
			s := h.Open()
			defer s.Close()
			a := query(t, s, write("a"), "SELECT 1")
			is.Equal(a.refused, result.ConnectionLost)
			is.Equal(a.answered, c.answered)
		})
	}
}

// TestUnexpectedAnswer guards against reusing a connection on which the instance sent
// more than was requested, which would give the surplus to the next caller.
func TestUnexpectedAnswer(t *testing.T) {
	is := is.New(t)
	f := newFake(t, func(b *pgproto3.Backend, n int, message pgproto3.FrontendMessage) {
		if q, ok := message.(*pgproto3.Query); ok {
			row(b, q.String)
			if q.String == "twice" {
				row(b, q.String)
			}
		}
	})
	h := newFakeHome(t, f)
	s := h.Open()
	defer s.Close()
	is.Equal(query(t, s, write("a"), "twice").text, "T twice SELECT 1;")
	for range 10 {
		a := query(t, s, write("a"), "mine")
		is.True(a.text == "T mine SELECT 1;" || a.refused != 0)
	}
}

// TestConnectionLimit checks that two daemons with different views, both of which act
// as the home, stay within the instance's connection limit and both serve callers.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	open, most := 0, 0
	r := newRig(t)
	second := holder.New(member.View{Self: "d2", Daemons: []member.Daemon{{ID: "d2", Domain: "lautoka-shed", State: member.Live}}})
	second.AdoptManifest(r.manifest(1))
	other := home.New(second)
	defer other.Close()
	var callers sync.WaitGroup
	for n := range 40 {
		callers.Go(func() {
			h := r.home
			if n%2 == 0 {
				h = other
			}
			s := h.Open()
			defer s.Close()
			for range 5 {
				if a := query(t, s, write("a"), "BEGIN; SELECT pg_sleep(0.002); COMMIT"); a.refused != 0 {
					t.Errorf("request refused with code %v", a.refused)
				}
				mu.Lock()
				open = r.a.Connections()
				most = max(most, open)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	t.Logf("at most %d open connections", most)
	is.True(most > 8)
	is.True(most <= 20)
}

// TestConnectionStorm checks that connections are opened at a bounded rate when an
// instance with many waiting callers becomes reachable again.
func TestConnectionStorm(t *testing.T) {
	is := is.New(t)
	var accepted atomic.Int32
	f := newFake(t, func(b *pgproto3.Backend, _ int, message pgproto3.FrontendMessage) {
		if q, ok := message.(*pgproto3.Query); ok {
			row(b, q.String)
		}
	})
	dial := (&net.Dialer{}).DialContext
	refusing := atomic.Bool{}
	refusing.Store(true)
	h := newFakeHome(t, f, home.WithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if refusing.Load() {
			return nil, errors.New("down")
		}
		accepted.Add(1)
		return dial(ctx, network, address)
	}))
	var callers sync.WaitGroup
	var done atomic.Int32
	for range 60 {
		callers.Go(func() {
			s := h.Open()
			defer s.Close()
			eventually(t, func() bool {
				a := query(t, s, read("a", unit.Position{}), "mine")
				if a.refused != 0 && a.refused != result.InstanceUnreachable {
					t.Errorf("request refused with code %v", a.refused)
					return true
				}
				return a.refused == 0
			})
			done.Add(1)
		})
	}
	time.AfterFunc(50*time.Millisecond, func() { refusing.Store(false) })
	callers.Wait()
	is.Equal(int(done.Load()), 60)
	is.True(accepted.Load() < 60) // Includes the attempts of the control connection.
}

// TestLateCancel guards against a cancel request that arrives after its statement has
// ended and would cancel the next caller's statement.
func TestLateCancel(t *testing.T) {
	is := is.New(t)
	var started, holding, hit atomic.Bool
	dial := (&net.Dialer{}).DialContext
	f := newFake(t, func(b *pgproto3.Backend, _ int, message pgproto3.FrontendMessage) {
		if q, ok := message.(*pgproto3.Query); ok {
			if q.String == "mine" && holding.Load() {
				hit.Store(true)
			}
			if q.String == "theirs" {
				started.Store(true)
				for !holding.Load() {
					time.Sleep(time.Millisecond)
				}
			}
			row(b, q.String)
		}
	})
	f.single = true
	h := newFakeHome(t, f, home.WithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		return &slowCancel{Conn: c, holding: &holding}, err
	}))
	s := h.Open()
	defer s.Close()
	begin(t, s, write("a"))
	send(t, s, simple("theirs"))
	eventually(t, started.Load)
	is.NoErr(s.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}}))
	receive(t, s)
	is.Equal(query(t, s, write("a"), "mine").text, "T mine SELECT 1;")
	is.True(!hit.Load())
}

// slowCancel delays cancel requests, which are 16 bytes long.
type slowCancel struct {
	net.Conn
	holding *atomic.Bool
}

func (c *slowCancel) Write(b []byte) (int, error) {
	if len(b) == 16 && b[4] == 4 && b[5] == 0xd2 {
		c.holding.Store(true)
		time.Sleep(100 * time.Millisecond)
		defer c.holding.Store(false)
	}
	return c.Conn.Write(b)
}
