package pooler_test

import (
	"testing"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

// newTwoCallers returns a pool with one idle connection, 7 of the caller "one".
func newTwoCallers(t *testing.T, share int) *pooler.Pooler {
	p := pooler.New(pooler.Limits{Share: share, Opening: 2, Rate: 10})
	expect(t, p, pooler.Acquire{Ticket: 1, Caller: "one", Now: start}, pooler.Open{Caller: "one"})
	expect(t, p, pooler.Opened{Conn: 7, Caller: "one", Now: start}, pooler.Assign{Ticket: 1, Conn: 7})
	expect(t, p, pooler.Returned{Conn: 7, Now: start})
	return p
}

func TestCallers(t *testing.T) {
	t.Run("a connection is not assigned to another caller", func(t *testing.T) {
		p := newTwoCallers(t, 2)
		expect(t, p, pooler.Acquire{Ticket: 2, Caller: "two", Now: start}, pooler.Open{Caller: "two"})
		expect(t, p, pooler.Acquire{Ticket: 3, Caller: "one", Now: start}, pooler.Assign{Ticket: 3, Conn: 7})
		expect(t, p, pooler.Returned{Conn: 7, Now: start})
		expect(t, p, pooler.Opened{Conn: 8, Caller: "two", Now: start}, pooler.Assign{Ticket: 2, Conn: 8})
	})
	t.Run("at the share, an idle connection is closed for another caller", func(t *testing.T) {
		p := newTwoCallers(t, 1)
		expect(t, p, pooler.Acquire{Ticket: 2, Caller: "two", Now: after(time.Second)}, pooler.Close{Conn: 7}, pooler.Open{Caller: "two"})
	})
	t.Run("an idle connection is closed when the instance has too many", func(t *testing.T) {
		p := newTwoCallers(t, 2)
		expect(t, p, pooler.Acquire{Ticket: 2, Caller: "two", Now: start}, pooler.Open{Caller: "two"})
		failure := result.New(result.ConnectionsExhausted, "")
		expect(t, p, pooler.OpenFailed{Caller: "two", Now: start, Exhausted: true, Err: failure}, pooler.Close{Conn: 7})
		expect(t, p, pooler.Tick{Now: after(pooler.ExhaustedBackoff)}, pooler.Open{Caller: "two"})
	})
}
