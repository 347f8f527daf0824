package engine

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// TestAcknowledged checks what a daemon reports when it gives up its authority: at least the
// position of every write that a caller was told of.
func TestAcknowledged(t *testing.T) {
	expect := func(t *testing.T, h *harness, want unit.Position) {
		t.Helper()
		is.New(t).Equal(h.Acknowledged("g"), want)
	}
	t.Run("a write", func(t *testing.T) {
		h := newHarness(t)
		mustSucceed(t, h.open("own"), Write{Text: "1 one"})
		expect(t, h, replyPosition)
	})
	t.Run("the commit of a transaction that wrote", func(t *testing.T) {
		h := newHarness(t)
		s := h.open("own")
		mustSucceed(t, s, Begin{})
		mustSucceed(t, s, Write{Text: "1 one"})
		expect(t, h, unit.Position{})
		mustSucceed(t, s, Commit{})
		expect(t, h, replyPosition)
	})
	t.Run("a write whose reply arrives after the loss of authority", func(t *testing.T) {
		h := newHarness(t)
		h.instances["a"].answer = func(c *fakeConn, q Request) (*Reply, bool) {
			h.loseAuthority()
			return succeed(c, q)
		}
		mustFail(t, h.open("own"), Write{Text: "1 one"}, result.AuthorityLost)
		expect(t, h, replyPosition)
	})
	t.Run("a failed write", func(t *testing.T) {
		h := newHarness(t)
		h.instances["a"].answer = failWith(result.StatementFailed, Idle)
		mustFail(t, h.open("own"), Write{Text: "1 one"}, result.StatementFailed)
		expect(t, h, unit.Position{})
	})
	t.Run("a read", func(t *testing.T) {
		h := newHarness(t)
		mustSucceed(t, h.open("first"), Read{Text: "1"})
		expect(t, h, unit.Position{})
	})
	t.Run("an unknown group", func(t *testing.T) {
		is.New(t).Equal(newHarness(t).Acknowledged("other"), unit.Position{})
	})
}
