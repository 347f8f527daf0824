package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// withCallers puts a manifest in force in which the callers have the keys.
func (h *harness) withCallers(callers ...manifest.Caller) {
	next := *h.manifest
	next.Version++
	next.KeysRequired, next.Callers = true, callers
	h.manifest = &next
	h.Adopt(&next)
}

// caller returns a caller with the keys.
func caller(name unit.CallerName, keys ...manifest.Key) manifest.Caller {
	return manifest.Caller{Name: name, Keys: keys}
}

// openWith opens a session with the key.
func (h *harness) openWith(key manifest.Key) *Session {
	h.t.Helper()
	s, err := h.Open("own", key)
	if err != nil {
		h.t.Fatal(err)
	}
	return s
}

func TestKeys(t *testing.T) {
	t.Run("a connection is used for one caller", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.withCallers(caller("one", "key-1"), caller("two", "key-2"))
		for _, key := range []manifest.Key{"key-1", "key-2", "key-1"} {
			mustSucceed(t, h.openWith(key), Write{Text: "1 one"})
		}
		is.Equal(h.instances["a"].callersConnected(), []unit.CallerName{"one", "two"})
	})
	t.Run("an unknown key is refused", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.withCallers(caller("one", "key-1"))
		_, err := h.Open("own", "key-2")
		is.Equal(err.Code, result.AuthenticationFailed)
	})
	t.Run("a key of a newer manifest is accepted once that arrives", func(t *testing.T) {
		var known atomic.Bool
		h := newHarness(t, WithManifestTime(func() (unit.Instant, bool) { return 0, known.Load() }))
		h.withCallers(caller("one", "key-1"))
		time.AfterFunc(50*time.Millisecond, func() { h.withCallers(caller("one", "key-2")) })
		h.openWith("key-2")
	})
	t.Run("without a newest manifest an unknown key is not called wrong", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, WithManifestTime(func() (unit.Instant, bool) { return 0, true }))
		h.withCallers(caller("one", "key-1"))
		_, err := h.Open("own", "key-2")
		is.Equal(err.Code, result.CutOff)
	})
	t.Run("a key acts for the caller that has it now", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.withCallers(caller("one", "key"))
		s := h.openWith("key")
		mustSucceed(t, s, Write{Text: "1 one"})
		h.withCallers(caller("one"), caller("two", "key"))
		mustSucceed(t, s, Write{Text: "1 one"})
		is.Equal(h.instances["a"].callersConnected(), []unit.CallerName{"one", "two"})
		h.withCallers(caller("one"))
		mustFail(t, s, Write{Text: "1 one"}, result.AuthenticationFailed)
		h.withCallers(caller("one", "key"))
		mustSucceed(t, s, Write{Text: "1 one"})
	})
	t.Run("the transaction of a key that ended is rolled back", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.withCallers(caller("one", "key"))
		s := h.openWith("key")
		mustSucceed(t, s, Begin{})
		mustSucceed(t, s, Write{Text: "1 one"})
		h.withCallers(caller("one"))
		mustFail(t, s, Commit{}, result.RolledBack)
		is.Equal(s.State(), Idle)
		for _, st := range h.instances["a"].statements() {
			is.True(st != Commit{})
		}
	})
	t.Run("a public route needs no key", func(t *testing.T) {
		h := newHarness(t)
		for n := range h.manifest.Routes {
			h.manifest.Routes[n].Public = true
		}
		h.withCallers(caller("one", "key"))
		mustSucceed(t, h.openWith("another key"), Write{Text: "1 one"})
	})
}

// oneOperation admits a number of operations.
type oneOperation struct{ left int }

// Admit implements [RateLimits].
func (o *oneOperation) Admit(context.Context, unit.CallerName) *result.Error {
	if o.left == 0 {
		return result.New(result.RateLimited, "injected by the test")
	}
	o.left--
	return nil
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, WithRateLimits(&oneOperation{left: 2}))
	limited := caller("one", "key")
	limited.RateLimit = &manifest.RateLimit{PerSecond: 1, Burst: 2}
	h.withCallers(limited, caller("two", "free"))
	s := h.openWith("key")
	mustSucceed(t, s, Begin{}) // A transaction counts as one operation.
	mustSucceed(t, s, Write{Text: "1 one"})
	mustSucceed(t, s, Write{Text: "1 one"})
	mustSucceed(t, s, Commit{})
	mustSucceed(t, s, Read{Text: "1"})
	mustFail(t, s, Begin{}, result.RateLimited)
	mustFail(t, s, Read{Text: "1"}, result.RateLimited)
	is.Equal(s.State(), Idle)
	mustSucceed(t, h.openWith("free"), Write{Text: "1 one"})
}
