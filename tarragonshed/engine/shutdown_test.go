package engine

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
)

// TestStopWaiting ends the waits of statements: callers are answered before the daemon exits.
func TestStopWaiting(t *testing.T) {
	expectRefusal := func(t *testing.T, s *Session, st Statement, stop func()) {
		t.Helper()
		answered := make(chan Answer)
		go func() { answered <- s.Do("q", st) }()
		stop()
		is.New(t).Equal((<-answered).Err.Code.Entry().Outcome, result.NotRun)
	}
	t.Run("for a primary", func(t *testing.T) {
		h := newHarness(t)
		h.loseAuthority()
		expectRefusal(t, h.open("own"), Write{Text: "1 one"}, h.StopWaiting)
	})
	t.Run("for a slot", func(t *testing.T) {
		h := newHarness(t)
		held := make(chan struct{})
		h.instances["a"].answer = func(c *fakeConn, r Request) (*Reply, bool) {
			held <- struct{}{}
			return nil, false
		}
		for range 4 { // The slots, and one more.
			s := h.open("first")
			go s.Do("q", Read{Text: "1"})
			<-held
		}
		expectRefusal(t, h.open("first"), Read{Text: "1"}, h.StopWaiting)
	})
}
