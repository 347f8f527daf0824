package engine

import (
	"strings"
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

// TestLargestStatements guards against statements that the engine makes too long for an instance: a
// read was sent with a position that did not fit any more, and its connection was lost.
func TestLargestStatements(t *testing.T) {
	largest := strings.Repeat("x", largestText)
	shape := largest[len(longestName):]
	t.Run("a read that does not fit with a position runs at the primary", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		s := h.open("own")
		mustSucceed(t, s, Read{Text: largest})
		is.Equal(h.instances["a"].callerRequests(), []Request{{ID: "q", Statement: Read{Text: largest}}})
		mustSucceed(t, s, Read{Text: largest[1:]}) // This one fits.
		is.Equal(len(h.instances["b"].callerRequests()), 1)
	})
	t.Run("what can't be sent is refused before anything runs", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		s := h.open("first")
		mustSucceed(t, s, Prepare{Name: "s", Definition: Definition{Text: shape}})
		mustFail(t, s, Prepare{Name: "t", Definition: Definition{Text: shape + "x"}}, result.StatementTooLarge)
		mustFail(t, s, Execute{Name: "t", Text: "1"}, result.UnknownStatement) // Its refusal was true.
		mustFail(t, s, Set{Name: "a", Value: largest + "x"}, result.StatementTooLarge)
		mustFail(t, s, Execute{Name: "s", Text: shape + "x"}, result.StatementTooLarge)
		mustFail(t, s, Read{Text: largest + "x"}, result.StatementTooLarge)
		is.Equal(len(h.instances["a"].callerRequests()), 0)
		mustSucceed(t, s, Execute{Name: "s", Text: shape})
	})
	t.Run("a transaction goes on after such a refusal", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		s := h.open("own")
		mustSucceed(t, s, Begin{ReadOnly: true})
		mustSucceed(t, s, Read{Text: largest}) // Only the BEGIN carries the position.
		is.Equal(mustFail(t, s, Read{Text: largest + "x"}, result.StatementTooLarge).State, Open)
		mustSucceed(t, s, Commit{})
	})
}
