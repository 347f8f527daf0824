package budgeter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonshed.example/budgeter"
	"tarragonshed.example/unit"
)

var start = time.Unix(1000, 0)

var limits = budgeter.Limits{Bytes: 1000, Small: 10, Sessions: 8, PerAccount: 2}

// expect processes an event and checks the effects.
func expect(t *testing.T, b *budgeter.Budgeter, event budgeter.Event, want ...string) {
	t.Helper()
	got := []string{}
	for _, effect := range b.Step(event) {
		switch effect := effect.(type) {
		case budgeter.Grant:
			got = append(got, fmt.Sprint("grant ", effect.ID))
		case budgeter.Refuse:
			got = append(got, fmt.Sprint("refuse ", effect.ID, " ", effect.Err.Code.Entry().Name))
		case budgeter.Close:
			got = append(got, fmt.Sprint("close ", effect.ID))
		}
	}
	is.New(t).Equal(got, append([]string{}, want...))
}

// newStarted returns a Budgeter with the sessions 1 to n, of which each has started a second after the
// one before and is idle.
func newStarted(n int) *budgeter.Budgeter {
	b := budgeter.New(limits)
	for id := range unit.SessionID(n) {
		now := start.Add(time.Duration(id) * time.Second)
		b.Step(budgeter.Connect{ID: id + 1, Now: now})
		b.Step(budgeter.Start{ID: id + 1})
		b.Step(budgeter.Idle{ID: id + 1, Now: now})
	}
	return b
}

func message(id unit.SessionID, bytes int64) budgeter.Hold {
	return budgeter.Hold{ID: id, Use: budgeter.Message, Bytes: bytes}
}

func TestBytes(t *testing.T) {
	t.Run("a message alone may use three quarters", func(t *testing.T) {
		b := newStarted(1)
		expect(t, b, message(1, 760), "grant 1")
		expect(t, b, message(1, 761), "refuse 1 overloaded")
	})
	t.Run("small messages are always granted", func(t *testing.T) {
		b := newStarted(3)
		expect(t, b, message(1, 760), "grant 1")
		expect(t, b, message(2, 10), "grant 2")
		expect(t, b, message(3, 11), "refuse 3 overloaded")
	})
	t.Run("a message sent ahead waits", func(t *testing.T) {
		b := newStarted(3)
		expect(t, b, message(1, 700), "grant 1")
		expect(t, b, budgeter.Hold{ID: 2, Bytes: 300, Ahead: true})
		expect(t, b, budgeter.Hold{ID: 3, Bytes: 100, Ahead: true})
		expect(t, b, message(1, 0), "grant 1", "grant 2", "grant 3")
	})
	t.Run("a message that waits no longer lets others pass", func(t *testing.T) {
		b := newStarted(3)
		expect(t, b, message(1, 600), "grant 1")
		expect(t, b, budgeter.Hold{ID: 2, Bytes: 300, Ahead: true})
		expect(t, b, budgeter.Hold{ID: 3, Bytes: 30, Ahead: true}, "grant 3")
		expect(t, b, message(3, 0), "grant 3")
		expect(t, b, budgeter.Withdraw{ID: 2})
		expect(t, b, message(1, 0), "grant 1")
	})
	t.Run("state may use a quarter", func(t *testing.T) {
		b := newStarted(2)
		expect(t, b, budgeter.Hold{ID: 1, Use: budgeter.State, Bytes: 260}, "grant 1")
		expect(t, b, budgeter.Hold{ID: 2, Use: budgeter.State, Bytes: 11}, "refuse 2 overloaded")
		expect(t, b, budgeter.Hold{ID: 2, Use: budgeter.State, Bytes: 10}, "grant 2")
		expect(t, b, budgeter.Hold{ID: 1, Use: budgeter.State, Bytes: 100}, "grant 1")
	})
	t.Run("an answer closes the sessions that hold most", func(t *testing.T) {
		b := newStarted(4)
		expect(t, b, message(1, 210), "grant 1")
		expect(t, b, message(2, 510), "grant 2")
		expect(t, b, budgeter.Hold{ID: 3, Use: budgeter.Answer, Bytes: 410}, "close 2", "grant 3")
		expect(t, b, budgeter.Hold{ID: 4, Use: budgeter.Answer, Bytes: 1110}, "close 4")
		expect(t, b, budgeter.Disconnect{ID: 2})
		expect(t, b, budgeter.Disconnect{ID: 4})
		is.New(t).Equal(b.Used(), int64(600))
	})
}

func TestSessions(t *testing.T) {
	now := start.Add(time.Hour)
	t.Run("a new one takes the place of the longest idle", func(t *testing.T) {
		b := newStarted(8)
		expect(t, b, budgeter.Busy{ID: 1})
		expect(t, b, budgeter.Connect{ID: 9, Now: now}, "close 2", "grant 9")
		expect(t, b, budgeter.Connect{ID: 10, Now: now}, "close 3", "grant 10")
	})
	t.Run("one that turns out to be busy stays", func(t *testing.T) {
		b := newStarted(8)
		expect(t, b, budgeter.Connect{ID: 9, Now: now}, "close 1", "grant 9")
		expect(t, b, budgeter.Busy{ID: 1})
		expect(t, b, budgeter.Connect{ID: 10, Now: now}, "close 2", "grant 10")
	})
	t.Run("one that has just become idle keeps its place", func(t *testing.T) {
		b := newStarted(8)
		for id := range unit.SessionID(8) {
			expect(t, b, budgeter.Busy{ID: id + 1})
			expect(t, b, budgeter.Idle{ID: id + 1, Now: now})
		}
		expect(t, b, budgeter.Connect{ID: 9, Now: now.Add(time.Millisecond)}, "refuse 9 too-many-callers")
	})
	t.Run("connections without a startup take each other's place", func(t *testing.T) {
		b := newStarted(5)
		for id := unit.SessionID(6); id <= 8; id++ {
			expect(t, b, budgeter.Connect{ID: id, Now: now}, fmt.Sprint("grant ", id))
		}
		expect(t, b, budgeter.Connect{ID: 9, Now: now}, "close 6", "grant 9")
	})
	t.Run("an account has a limit", func(t *testing.T) {
		b := newStarted(0)
		for id := unit.SessionID(1); id <= 3; id++ {
			expect(t, b, budgeter.Connect{ID: id, Now: now}, fmt.Sprint("grant ", id))
		}
		expect(t, b, budgeter.Start{ID: 1, Account: "demo"}, "grant 1")
		expect(t, b, budgeter.Start{ID: 2, Account: "demo"}, "grant 2")
		expect(t, b, budgeter.Start{ID: 3, Account: "demo"}, "refuse 3 too-many-callers")
		expect(t, b, budgeter.Disconnect{ID: 1})
		expect(t, b, budgeter.Connect{ID: 4, Now: now}, "grant 4")
		expect(t, b, budgeter.Start{ID: 4, Account: "demo"}, "grant 4")
	})
}

// TestRandomEvents checks for random events that the limits hold, apart from sessions that are
// being closed, and that nothing is left in use after all sessions have ended.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budgeter.New(limits)
		closing := map[unit.SessionID]bool{}
		now := start
		step := func(e budgeter.Event) {
			for _, effect := range b.Step(e) {
				if c, ok := effect.(budgeter.Close); ok {
					closing[c.ID] = true
				}
			}
		}
		for id := range unit.SessionID(rapid.IntRange(1, 60).Draw(t, "events")) {
			now = now.Add(time.Second)
			step(budgeter.Connect{ID: id, Now: now})
			step(budgeter.Start{ID: id, Account: unit.CallerName(rapid.SampledFrom([]string{"", "demo"}).Draw(t, "account"))})
			for range rapid.IntRange(0, 4).Draw(t, "steps") {
				other := unit.SessionID(rapid.Uint64Range(0, uint64(id)).Draw(t, "other"))
				switch rapid.IntRange(0, 4).Draw(t, "kind") {
				case 0:
					step(budgeter.Idle{ID: other, Now: now})
				case 1:
					step(budgeter.Withdraw{ID: other})
				case 2:
					step(budgeter.Disconnect{ID: other})
					delete(closing, other)
				default:
					step(budgeter.Hold{
						ID: other, Use: budgeter.Use(rapid.IntRange(0, 3).Draw(t, "use")),
						Bytes: rapid.Int64Range(0, 1200).Draw(t, "bytes"), Ahead: rapid.Bool().Draw(t, "ahead"),
					})
				}
			}
			if len(closing) == 0 && b.Used() > limits.Bytes {
				t.Fatalf("%d bytes are in use", b.Used())
			}
			if b.Sessions()-len(closing) > limits.Sessions {
				t.Fatalf("%d sessions, of which %d are to be closed", b.Sessions(), len(closing))
			}
		}
		for id := range unit.SessionID(60) {
			step(budgeter.Disconnect{ID: id})
		}
		if b.Used() != 0 || b.Sessions() != 0 {
			t.Fatalf("%d bytes and %d sessions are left", b.Used(), b.Sessions())
		}
	})
}
