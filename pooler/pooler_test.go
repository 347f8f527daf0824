package pooler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func expect(t *testing.T, p *pooler.Pooler, event pooler.Event, want ...pooler.Effect) {
	t.Helper()
	is := is.New(t)
	is.Equal(append([]pooler.Effect{}, p.Step(event)...), append([]pooler.Effect{}, want...))
}

func TestAcquire(t *testing.T) {
	t.Run("opens a connection and reuses the one used last", func(t *testing.T) {
		p := pooler.New(pooler.Limits{Share: 2, Opening: 2, Rate: 10})
		expect(t, p, pooler.Acquire{Ticket: 1, Now: start}, pooler.Open{})
		expect(t, p, pooler.Opened{Conn: 7, Now: start}, pooler.Assign{Ticket: 1, Conn: 7})
		expect(t, p, pooler.Returned{Conn: 7, Now: start})
		expect(t, p, pooler.Acquire{Ticket: 2, Now: start}, pooler.Assign{Ticket: 2, Conn: 7})
	})
	t.Run("checks a connection that has been idle", func(t *testing.T) {
		p := pooler.New(pooler.Limits{Share: 2, Opening: 2, Rate: 10})
		expect(t, p, pooler.Acquire{Ticket: 1, Now: start}, pooler.Open{})
		expect(t, p, pooler.Opened{Conn: 7, Now: start}, pooler.Assign{Ticket: 1, Conn: 7})
		expect(t, p, pooler.Returned{Conn: 7, Now: start})
		expect(t, p, pooler.Acquire{Ticket: 2, Now: after(time.Minute)}, pooler.Assign{Ticket: 2, Conn: 7, Check: true})
	})
	t.Run("rejects waiting requests when the instance can't be reached", func(t *testing.T) {
		p := pooler.New(pooler.Limits{Share: 2, Opening: 2, Rate: 10})
		failure := result.New(result.InstanceUnreachable, "refused")
		expect(t, p, pooler.Acquire{Ticket: 1, Now: start}, pooler.Open{})
		expect(t, p, pooler.OpenFailed{Now: start, Err: failure}, pooler.Fail{Ticket: 1, Err: failure})
	})
	t.Run("waits for a connection in use when the instance has too many connections", func(t *testing.T) {
		p := pooler.New(pooler.Limits{Share: 2, Opening: 2, Rate: 10})
		expect(t, p, pooler.Acquire{Ticket: 1, Now: start}, pooler.Open{})
		expect(t, p, pooler.Opened{Conn: 7, Now: start}, pooler.Assign{Ticket: 1, Conn: 7})
		expect(t, p, pooler.Acquire{Ticket: 2, Now: start}, pooler.Open{})
		expect(t, p, pooler.OpenFailed{Now: start, Exhausted: true, Err: result.New(result.ConnectionsExhausted, "")})
		expect(t, p, pooler.Tick{Now: start})
		expect(t, p, pooler.Returned{Conn: 7, Now: start}, pooler.Assign{Ticket: 2, Conn: 7})
	})
}

// TestFittingConnectionIsPreferred checks that one that fits is assigned before one that was used later,
// and that a request is served also if none fits.
func TestFittingConnectionIsPreferred(t *testing.T) {
	is := is.New(t)
	p := pooler.New(pooler.Limits{Share: 3, Opening: 3, Rate: 10})
	for c := range pooler.Conn(3) {
		expect(t, p, pooler.Acquire{Ticket: 1, Now: start}, pooler.Open{})
		expect(t, p, pooler.Opened{Conn: c, Now: start}, pooler.Assign{Ticket: 1, Conn: c})
	}
	for c := range pooler.Conn(3) {
		expect(t, p, pooler.Returned{Conn: c, Now: start})
	}
	first := func(c pooler.Conn) bool { return c == 0 }
	for _, want := range []pooler.Conn{0, 2, 1} {
		assigned, ok := p.TryAcquire("", start, first)
		is.True(ok)
		is.Equal(assigned.Conn, want)
	}
	_, ok := p.TryAcquire("", start, first)
	is.True(!ok)
}

// TestInUseIsNotWarm checks that a connection in use does not count as warm: another one is
// opened in the meantime and is kept after the first is returned.
func TestInUseIsNotWarm(t *testing.T) {
	p := pooler.New(pooler.Limits{Share: 4, Warm: 1, Opening: 2, Rate: 10})
	expect(t, p, pooler.Tick{Now: start}, pooler.Open{})
	expect(t, p, pooler.Opened{Conn: 7, Now: start})
	expect(t, p, pooler.Acquire{Ticket: 1, Now: start}, pooler.Assign{Ticket: 1, Conn: 7}, pooler.Open{})
	expect(t, p, pooler.Opened{Conn: 8, Now: start})
	expect(t, p, pooler.Returned{Conn: 7, Now: start})
	is.New(t).Equal(p.Idle(), 2)
}

func TestUnresponsive(t *testing.T) {
	setUp := func(t *testing.T) *pooler.Pooler {
		p := pooler.New(pooler.Limits{Share: 3, Opening: 3, Rate: 10})
		for c := pooler.Conn(1); c <= 3; c++ {
			expect(t, p, pooler.Acquire{Ticket: pooler.Ticket(c), Now: start}, pooler.Open{})
			expect(t, p, pooler.Opened{Conn: c, Now: start}, pooler.Assign{Ticket: pooler.Ticket(c), Conn: c})
		}
		expect(t, p, pooler.Returned{Conn: 1, Now: after(time.Second)})
		expect(t, p, pooler.Returned{Conn: 2, Now: after(3 * time.Second)})
		expect(t, p, pooler.Suspect{Conn: 3, UnresponsiveSince: after(2 * time.Second)}, pooler.Probe{Conn: 3, UnresponsiveSince: after(2 * time.Second)})
		return p
	}
	probed := pooler.Probed{Conn: 3, UnresponsiveSince: after(2 * time.Second), Answered: true}
	t.Run("closes the suspect and connections idle since before", func(t *testing.T) {
		expect(t, setUp(t), probed, pooler.Close{Conn: 3}, pooler.Close{Conn: 1})
	})
	t.Run("closes nothing while the statement runs", func(t *testing.T) {
		running := probed
		running.StatementRunning = true
		expect(t, setUp(t), running)
	})
	t.Run("closes nothing when the instance does not answer", func(t *testing.T) {
		unanswered := probed
		unanswered.Answered = false
		expect(t, setUp(t), unanswered)
	})
	t.Run("closes the suspect alone when the instance can't be reached", func(t *testing.T) {
		lost := probed
		lost.Answered, lost.ControlLost = false, true
		expect(t, setUp(t), lost, pooler.Close{Conn: 3})
	})
}

func TestOpenRateIsBounded(t *testing.T) {
	is := is.New(t)
	p := pooler.New(pooler.Limits{Share: 4, Warm: 4, Opening: 4, Rate: 10})
	opened := len(p.Step(pooler.Tick{Now: start}))
	is.Equal(opened, 4)
	for range 4 {
		p.Step(pooler.OpenFailed{Now: start, Err: result.New(result.InstanceUnreachable, "")})
	}
	opened = 0
	for i := range 10 {
		for range p.Step(pooler.Tick{Now: after(time.Duration(i+1) * 100 * time.Millisecond)}) {
			opened++
			p.Step(pooler.OpenFailed{Now: start.Add(time.Duration(i+1) * 100 * time.Millisecond), Err: result.New(result.InstanceUnreachable, "")})
		}
	}
	is.True(opened >= 9 && opened <= 11)
}

func TestShareStaysWithinLimitWithExtraHome(t *testing.T) {
	for _, connections := range []int{20, 30} {
		for homes := 1; homes <= 4; homes++ {
			t.Run(fmt.Sprintf("%d connections, %d homes", connections, homes), func(t *testing.T) {
				is := is.New(t)
				is.True(pooler.Share(connections, homes)*(homes+1)+pooler.ReservedConnections <= connections)
			})
		}
	}
}

// TestShareHolds applies random events and checks that the number of connections never
// exceeds the share.
func TestShareHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := pooler.Limits{Share: rapid.IntRange(1, 5).Draw(t, "share"), Warm: rapid.IntRange(0, 5).Draw(t, "warm"), Opening: 3, Rate: 100}
		p := pooler.New(limits)
		now, next, opening := start, pooler.Conn(0), 0
		open, used := make(map[pooler.Conn]bool), []pooler.Conn{}
		apply := func(effects []pooler.Effect) {
			for _, effect := range effects {
				switch effect := effect.(type) {
				case pooler.Open:
					opening++
				case pooler.Close:
					delete(open, effect.Conn)
				case pooler.Assign:
					used = append(used, effect.Conn)
				}
			}
		}
		for i := range 80 {
			now = now.Add(10 * time.Millisecond)
			switch action := rapid.IntRange(0, 4).Draw(t, "action"); {
			case action == 0:
				apply(p.Step(pooler.Acquire{Ticket: pooler.Ticket(i), Now: now}))
			case action == 1 && opening > 0:
				opening--
				next++
				open[next] = true
				apply(p.Step(pooler.Opened{Conn: next, Now: now}))
			case action == 2 && opening > 0:
				opening--
				apply(p.Step(pooler.OpenFailed{Now: now, Exhausted: rapid.Bool().Draw(t, "exhausted")}))
			case action == 3 && len(used) > 0:
				c := used[0]
				used = used[1:]
				apply(p.Step(pooler.Returned{Conn: c, Now: now}))
			default:
				apply(p.Step(pooler.Tick{Now: now}))
			}
			if len(open)+opening > limits.Share || p.Size() != len(open)+opening {
				t.Fatalf("%d connections open and %d being opened, size %d, share %d", len(open), opening, p.Size(), limits.Share)
			}
		}
	})
}

func ExamplePooler() {
	p := pooler.New(pooler.Limits{Share: 2, Opening: 1, Rate: 10})
	fmt.Printf("%T\n", p.Step(pooler.Acquire{Ticket: 1, Now: start})[0])
	// Output: pooler.Open
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := pooler.New(pooler.Limits{Share: 5, Warm: 1, Opening: 5, Rate: 100, IdleTimeout: 3 * time.Second})
	for n := range 3 {
		p.Step(pooler.Acquire{Ticket: pooler.Ticket(n), Now: now})
	}
	for n := range 3 {
		p.Step(pooler.Opened{Conn: pooler.Conn(n), Now: now})
	}
	for n := range 3 {
		p.Step(pooler.Returned{Conn: pooler.Conn(n), Now: now})
	}
	is.Equal(len(p.Step(pooler.Tick{Now: now.Add(3 * time.Second)})), 0)
	effects := p.Step(pooler.Tick{Now: now.Add(3*time.Second + 1)})
	is.Equal(effects, []pooler.Effect{pooler.Close{Conn: 0}, pooler.Close{Conn: 1}}) // The warm connection stays.
	is.Equal(p.Idle(), 1)
}
