package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLag(t *testing.T) {
	now := time.Unix(100, 0)
	const small, large = time.Second, 3 * time.Second
	t.Run("an instance that is not behind", func(t *testing.T) {
		is := is.New(t)
		var l Lag
		is.True(!l.Behind(small, now))
		l.RecordCaughtUp(small)
	})
	t.Run("reads with a larger staleness bound are not skipped", func(t *testing.T) {
		is := is.New(t)
		var l Lag
		l.RecordBehind(small, now)
		is.True(l.Behind(small, now))
		is.True(!l.Behind(large, now))
		is.True(!l.Behind(small, now.Add(initialBackoff)))
		l.RecordBehind(large, now)
		is.True(l.Behind(small, now))
		is.True(l.Behind(0, now))
	})
	t.Run("the backoff grows", func(t *testing.T) {
		is := is.New(t)
		var l Lag
		at := now
		sent := 0
		for at.Before(now.Add(10 * time.Second)) {
			if !l.Behind(small, at) {
				sent++
				l.RecordBehind(small, at)
				l.RecordBehind(small, at) // Another read in flight at the same time.
			}
			at = at.Add(time.Millisecond)
		}
		is.True(sent <= 24) // In 10 s of lag: 4 while the backoff grows, then two per second.
		l.RecordBehind(small, at)
		l.RecordCaughtUp(large)
		is.True(l.Behind(small, at)) // A read with a larger staleness bound proves nothing.
		l.RecordCaughtUp(small)
		is.True(!l.Behind(small, at))
		l.RecordBehind(small, at)
		is.True(!l.Behind(small, at.Add(initialBackoff))) // The backoff restarts at its initial length.
	})
}

func TestFarBehindFor(t *testing.T) {
	now := time.Unix(100, 0)
	const small, large = 1500 * time.Millisecond, 2500 * time.Millisecond
	// lagging returns the Lag of an instance that did not meet reads with the bound for a
	// second.
	lagging := func(bound time.Duration) Lag {
		var l Lag
		for at := time.Duration(0); at <= time.Second; at += 100 * time.Millisecond {
			l.RecordBehind(bound, now.Add(at-time.Second))
		}
		return l
	}
	expect := func(t *testing.T, l Lag, want time.Duration) {
		t.Helper()
		is.New(t).Equal(l.FarBehindFor(now), want)
	}
	t.Run("an instance that is not behind", func(t *testing.T) { expect(t, Lag{}, 0) })
	t.Run("reads of recent writes prove nothing", func(t *testing.T) { expect(t, lagging(farBehindBound/2), 0) })
	t.Run("since the first unmet read", func(t *testing.T) { expect(t, lagging(small), time.Second) })
	t.Run("a read with a larger bound proves nothing", func(t *testing.T) {
		l := lagging(small)
		l.RecordCaughtUp(large)
		expect(t, l, time.Second)
	})
	t.Run("a read with the same bound", func(t *testing.T) {
		l := lagging(small)
		l.RecordCaughtUp(small)
		expect(t, l, 0)
	})
	t.Run("old evidence", func(t *testing.T) {
		is := is.New(t)
		l := lagging(large)
		is.Equal(l.FarBehindFor(now.Add(lagEvidenceTimeout+time.Millisecond)), time.Duration(0))
		l.RecordBehind(large, now.Add(time.Minute))
		is.True(l.FarBehindFor(now.Add(time.Minute)) < time.Millisecond) // It counts anew.
	})
}

func TestLowestCostBehind(t *testing.T) {
	is := is.New(t)
	replica := ReadCandidate{Instance: "replica", Behind: true}
	primary := ReadCandidate{Instance: "primary", Primary: true, ExpectedLatency: 20 * time.Millisecond}
	chosen, _ := LowestCost([]ReadCandidate{replica, primary})
	is.Equal(chosen, primary)
	primary.ExpectedLatency = time.Second // The replica may have caught up.
	chosen, _ = LowestCost([]ReadCandidate{replica, primary})
	is.Equal(chosen, replica)
	replica.FarBehind = true // It has been behind for a while, so it probably still is.
	chosen, _ = LowestCost([]ReadCandidate{replica, primary})
	is.Equal(chosen, primary)
	replica.Behind = false // The backoff has ended.
	chosen, _ = LowestCost([]ReadCandidate{replica, primary})
	is.Equal(chosen, replica)
	replica.Behind = true
	chosen, _ = LowestCost([]ReadCandidate{replica})
	is.Equal(chosen, replica) // There is no other one.
}
