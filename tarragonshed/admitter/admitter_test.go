package admitter_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/budgeter"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/admitter"
)

const timeout = 10 * time.Second

// owner records that its session is to end.
type owner struct{ evicted chan *result.Error }

func (o owner) Evict(err *result.Error, _ bool) { o.evicted <- err }

// run runs a test with two sessions that share 1000 bytes, in virtual time.
func run(t *testing.T, test func(t *testing.T, first, second *admitter.Session, evicted chan *result.Error)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := admitter.New(budgeter.Limits{Bytes: 1000, Small: 10, Sessions: 8, PerAccount: 8})
		defer a.Close()
		o := owner{evicted: make(chan *result.Error, 8)}
		conn, _ := net.Pipe()
		first, refusal := a.Open(conn, o)
		is.True(refusal == nil)
		second, refusal := a.Open(conn, o)
		is.True(refusal == nil)
		test(t, first, second, o.evicted)
		first.Close()
		second.Close()
		is.Equal(a.Used(), int64(0))
		is.Equal(a.Sessions(), 0)
	})
}

func TestMessageSentAhead(t *testing.T) {
	t.Run("waits until there is memory", func(t *testing.T) {
		run(t, func(t *testing.T, first, second *admitter.Session, _ chan *result.Error) {
			is := is.New(t)
			is.True(first.HoldMessage(700, false, timeout) == nil)
			go func() {
				time.Sleep(timeout / 2)
				first.Release(budgeter.Message)
			}()
			began := time.Now()
			is.True(second.HoldMessage(700, true, timeout) == nil)
			is.Equal(time.Since(began), timeout/2)
			is.True(second.HoldMessage(750, true, timeout) == nil) // It holds 700 of them.
		})
	})
	t.Run("is refused after its time", func(t *testing.T) {
		run(t, func(t *testing.T, first, second *admitter.Session, _ chan *result.Error) {
			is := is.New(t)
			is.True(first.HoldMessage(700, false, timeout) == nil)
			began := time.Now()
			is.Equal(second.HoldMessage(700, true, timeout).Code, result.Overloaded)
			is.Equal(time.Since(began), timeout)
		})
	})
	t.Run("waits no longer when its session is to end", func(t *testing.T) {
		run(t, func(t *testing.T, first, second *admitter.Session, evicted chan *result.Error) {
			is := is.New(t)
			is.True(second.HoldMessage(700, false, timeout) == nil)
			go func() {
				time.Sleep(timeout / 2)
				_ = first.Hold(budgeter.Answer, 330)
			}()
			began := time.Now()
			is.Equal(second.HoldMessage(1000, true, timeout).Code, result.SessionClosed)
			is.Equal(time.Since(began), timeout/2)
			is.Equal((<-evicted).Code, result.SessionClosed)
		})
	})
}
