package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLag(t *testing.T) {
	now := time.Unix(100, 0)
	const young, old = time.Second, 3 * time.Second
	t.Run("an instance without a lag", func(t *testing.T) {
		is := is.New(t)
		var l Lag
		is.True(!l.Behind(young, now))
		l.RecordCaughtUp(young)
	})
	t.Run("reads that accept older data are sent", func(t *testing.T) {
		is := is.New(t)
		var l Lag
		l.RecordBehind(young, now)
		is.True(l.Behind(young, now))
		is.True(!l.Behind(old, now))
		is.True(!l.Behind(young, now.Add(firstPass)))
		l.RecordBehind(old, now)
		is.True(l.Behind(young, now))
		is.True(l.Behind(0, now))
	})
	t.Run("passes grow", func(t *testing.T) {
		is := is.New(t)
		var l Lag
		at := now
		sent := 0
		for at.Before(now.Add(10 * time.Second)) {
			if !l.Behind(young, at) {
				sent++
				l.RecordBehind(young, at)
				l.RecordBehind(young, at) // Another one on its way at the same time.
			}
			at = at.Add(time.Millisecond)
		}
		is.True(sent <= 24) // In 10 s of lag: 4 to grow, then two a second.
		l.RecordBehind(young, at)
		l.RecordCaughtUp(old)
		is.True(l.Behind(young, at)) // That a read of older data ran proves nothing.
		l.RecordCaughtUp(young)
		is.True(!l.Behind(young, at))
		l.RecordBehind(young, at)
		is.True(!l.Behind(young, at.Add(firstPass))) // They begin anew.
	})
}

func TestNearestBehind(t *testing.T) {
	is := is.New(t)
	replica := ReadCandidate{Instance: "replica", Behind: true}
	primary := ReadCandidate{Instance: "primary", Primary: true, ExpectedLatency: 20 * time.Millisecond}
	chosen, _ := LowestCost([]ReadCandidate{replica, primary})
	is.Equal(chosen, primary)
	primary.ExpectedLatency = time.Second // The replica may have caught up.
	chosen, _ = LowestCost([]ReadCandidate{replica, primary})
	is.Equal(chosen, replica)
}
