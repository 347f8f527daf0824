package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

func TestNearest(t *testing.T) {
	near := ReadCandidate{Instance: "near", ExpectedLatency: 20 * time.Millisecond}
	far := ReadCandidate{Instance: "far", Distance: OtherRegion, ExpectedLatency: 20 * time.Millisecond}
	chosen := func(t *testing.T, want string, sites ...ReadCandidate) {
		t.Helper()
		is := is.NewRelaxed(t)
		s, ok := LowestCost(sites)
		is.True(ok)
		is.Equal(string(s.Instance), want)
	}
	t.Run("the near one while it is as good", func(t *testing.T) { chosen(t, "near", far, near) })
	t.Run("the far one when the near one's queue costs more than the way", func(t *testing.T) {
		busy := near
		busy.ExpectedLatency = 20*time.Millisecond + otherRegionPatience + 1
		chosen(t, "far", busy, far)
	})
	t.Run("a replica before the primary", func(t *testing.T) {
		primary := near
		primary.Instance, primary.Primary = "primary", true
		chosen(t, "near", primary, near)
	})
	t.Run("none", func(t *testing.T) {
		is := is.New(t)
		_, ok := LowestCost(nil)
		is.True(!ok)
	})
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var l Load
	l.Begin()
	l.End(20*time.Millisecond, start)
	is.Equal(l.ExpectedLatency(), 20*time.Millisecond)
	l.Begin()
	is.Equal(l.ExpectedLatency(), 40*time.Millisecond) // One is under way.
	l.End(200*time.Millisecond, start.Add(time.Second))
	is.Equal(l.ExpectedLatency(), 200*time.Millisecond) // A slow one counts at once,
	l.Begin()
	l.End(20*time.Millisecond, start.Add(time.Second+latencyDecay))
	is.Equal(l.ExpectedLatency(), 110*time.Millisecond) // a fast one by and by.
	l.Begin()
	l.Cancel()
	is.Equal(l.Outstanding(), 0)
	is.Equal(l.ExpectedLatency(), 110*time.Millisecond)
}

// TestNearestSpreadsWhatOneInstanceCannotBear plays reads of 24 ms that arrive at
// one daemon twice as fast as its own domain's instance serves them.
func TestNearestSpreadsWhatOneInstanceCannotBear(t *testing.T) {
	is := is.New(t)
	const work = 24 * time.Millisecond
	const slots = 3
	type server struct {
		load Load
		free [slots]time.Duration // When each slot is free.
	}
	servers := []*server{{}, {}, {}}
	worst := time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second; now += 4 * time.Millisecond {
		var sites []ReadCandidate
		for n, s := range servers {
			distance := OtherRegion
			if n == 0 {
				distance = SameDomain
			}
			sites = append(sites, ReadCandidate{Instance: []unit.InstanceName{"near", "far", "farther"}[n], Distance: distance, ExpectedLatency: s.load.ExpectedLatency()})
		}
		chosen, _ := LowestCost(sites)
		for n, s := range servers {
			if sites[n].Instance != chosen.Instance {
				continue
			}
			slot := 0
			for i := range s.free {
				if s.free[i] < s.free[slot] {
					slot = i
				}
			}
			end := max(now, s.free[slot]) + work
			s.free[slot] = end
			s.load.Begin()
			s.load.End(end-now, time.Unix(0, int64(now)))
			worst = max(worst, end-now)
		}
	}
	is.True(worst < 400*time.Millisecond) // Half of the aim; one instance alone falls 10 s behind.
}
