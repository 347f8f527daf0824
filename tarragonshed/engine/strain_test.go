package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/result"
)

// strainedHarness returns a harness whose replicas have been far behind for a while, and whose
// callers have had slow statements.
func strainedHarness(t *testing.T) *harness {
	h := newHarness(t)
	g := h.groups["g"]
	now := time.Now()
	for _, t := range g.targets {
		if t.name() != "a" {
			t.lag.RecordBehind(2*time.Second, now.Add(-strainLagDuration))
			t.lag.RecordBehind(2*time.Second, now)
		}
	}
	for range minStrained {
		g.recordOutcome(now.Add(-strainLatency), nil)
	}
	return h
}

// TestStrained guards against a primary that serves all reads of its group for as long as the
// replicas are behind: 30 daemons refused or delayed a third of the statements of such a group
// for 23 s after the lag had ended, because the replicas took that long to apply their logs.
func TestStrained(t *testing.T) {
	expect := func(t *testing.T, h *harness, want bool) {
		t.Helper()
		is.New(t).Equal(h.Reach("g", "a").Strained, want)
	}
	t.Run("all replicas are behind and statements are slow", func(t *testing.T) {
		expect(t, strainedHarness(t), true)
	})
	t.Run("a replica that is not behind", func(t *testing.T) {
		h := strainedHarness(t)
		h.groups["g"].targets["b"].recordLag(time.Second, nil)
		expect(t, h, false)
	})
	t.Run("a replica that is leaving does not count", func(t *testing.T) {
		h := strainedHarness(t)
		h.groups["g"].targets["b"].recordLag(time.Second, nil)
		h.groups["g"].targets["b"].setLeaving(true)
		expect(t, h, true)
	})
	t.Run("no replica is left", func(t *testing.T) {
		h := strainedHarness(t)
		h.groups["g"].targets["b"].setLeaving(true)
		h.groups["g"].targets["c"].setLeaving(true)
		expect(t, h, false)
	})
	t.Run("statements are not slow", func(t *testing.T) {
		h := strainedHarness(t)
		h.groups["g"].strain = strain{}
		h.groups["g"].recordOutcome(time.Now(), nil)
		expect(t, h, false)
	})
	t.Run("refused statements", func(t *testing.T) {
		h := strainedHarness(t)
		h.groups["g"].strain = strain{}
		for range minStrained {
			h.groups["g"].recordOutcome(time.Now(), result.New(result.Overloaded, "injected by the test"))
		}
		expect(t, h, true)
	})
	t.Run("statements that failed for another cause", func(t *testing.T) {
		h := strainedHarness(t)
		h.groups["g"].strain = strain{}
		for range minStrained {
			h.groups["g"].recordOutcome(time.Now(), result.New(result.StatementFailed, "injected by the test"))
		}
		expect(t, h, false)
	})
}

// TestStrain guards against a change of the primary for a few slow statements: on a quiet day
// of four daemons, three statements of one daemon took long within some seconds, and the change
// cost callers more than the lag did.
func TestStrain(t *testing.T) {
	now := time.Unix(100, 0)
	// strainOf returns a strain with statements of which the first ones are strained.
	strainOf := func(all, strained int) *strain {
		s := &strain{}
		for n := range all {
			s.record(n < strained, now)
		}
		return s
	}
	expect := func(t *testing.T, s *strain, at time.Time, want bool) {
		t.Helper()
		is.New(t).Equal(s.exists(at), want)
	}
	t.Run("no statement", func(t *testing.T) { expect(t, &strain{}, now, false) })
	t.Run("too few", func(t *testing.T) { expect(t, strainOf(minStrained-1, minStrained-1), now, false) })
	t.Run("a small part", func(t *testing.T) { expect(t, strainOf(10*strainedDivisor, 9), now, false) })
	t.Run("a large part", func(t *testing.T) { expect(t, strainOf(10*strainedDivisor, 10), now, true) })
	t.Run("the last period counts", func(t *testing.T) {
		expect(t, strainOf(10, 10), now.Add(strainPeriod), true)
	})
	t.Run("earlier ones do not", func(t *testing.T) {
		s := strainOf(10, 10)
		expect(t, s, now.Add(strainPeriod), true)
		expect(t, s, now.Add(2*strainPeriod), false)
		expect(t, strainOf(10, 10), now.Add(2*strainPeriod), false)
	})
}
