package engine

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
)

// TestUnencodableRequestIsNotRun guards against a request that can't be encoded and is reported as
// possibly run, tried again, or holds its slot for replies that never come.
func TestUnencodableRequestIsNotRun(t *testing.T) {
	const odd = "odd"
	t.Run("outside of a transaction", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.instances["a"].unsendable = odd
		s := h.open("first")
		for range 50 { // More often than there are slots and connections.
			mustFail(t, s, Write{Text: odd}, result.ProtocolViolation)
		}
		mustSucceed(t, s, Write{Text: "1 one"})
		is.Equal(len(h.instances["a"].callerRequests()), 1)
	})
	t.Run("in a transaction", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.instances["a"].unsendable = odd
		s := h.open("first")
		mustSucceed(t, s, Begin{})
		mustSucceed(t, s, Write{Text: "1 one"})
		is.Equal(mustFail(t, s, Write{Text: odd}, result.ProtocolViolation).State, Failed)
		mustSucceed(t, s, Rollback{})
		mustSucceed(t, s, Write{Text: "2 two"})
	})
}
