package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

func TestLowestCost(t *testing.T) {
	near := ReadCandidate{Instance: "near", ExpectedLatency: 20 * time.Millisecond}
	far := ReadCandidate{Instance: "far", Distance: OtherRegion, ExpectedLatency: 20 * time.Millisecond}
	chosen := func(t *testing.T, want string, candidates ...ReadCandidate) {
		t.Helper()
		is := is.NewRelaxed(t)
		c, ok := LowestCost(candidates)
		is.True(ok)
		is.Equal(string(c.Instance), want)
	}
	t.Run("the near instance at equal latency", func(t *testing.T) { chosen(t, "near", far, near) })
	t.Run("the far instance when the queue of the near one costs more than the distance", func(t *testing.T) {
		busy := near
		busy.ExpectedLatency = 20*time.Millisecond + otherRegionPenalty + 1
		chosen(t, "far", busy, far)
	})
	t.Run("a replica rather than the primary", func(t *testing.T) {
		primary := near
		primary.Instance, primary.Primary = "primary", true
		chosen(t, "near", primary, near)
	})
	t.Run("no candidates", func(t *testing.T) {
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
	is.Equal(l.ExpectedLatency(), 40*time.Millisecond) // One statement is in flight.
	l.End(200*time.Millisecond, start.Add(time.Second))
	is.Equal(l.ExpectedLatency(), 200*time.Millisecond) // A higher latency counts at once,
	l.Begin()
	l.End(20*time.Millisecond, start.Add(time.Second+latencyHalfLife))
	is.Equal(l.ExpectedLatency(), 110*time.Millisecond) // a lower one gradually.
	l.Begin()
	l.Cancel()
	is.Equal(l.Outstanding(), 0)
	is.Equal(l.ExpectedLatency(), 110*time.Millisecond)
}

// TestLowestCostSpreadsOverload simulates reads of 24 ms that arrive at one daemon at
// twice the rate that the instance in its own failure domain can serve. It guards
// against an overloaded instance whose queue grows while other instances are idle.
func TestLowestCostSpreadsOverload(t *testing.T) {
	is := is.New(t)
	const serviceTime = 24 * time.Millisecond
	const slots = 3
	type server struct {
		load Load
		free [slots]time.Duration // When each slot becomes free.
	}
	servers := []*server{{}, {}, {}}
	worst := time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second; now += 4 * time.Millisecond {
		var candidates []ReadCandidate
		for n, s := range servers {
			distance := OtherRegion
			if n == 0 {
				distance = SameDomain
			}
			candidates = append(candidates, ReadCandidate{Instance: []unit.InstanceName{"near", "far", "farther"}[n], Distance: distance, ExpectedLatency: s.load.ExpectedLatency()})
		}
		chosen, _ := LowestCost(candidates)
		for n, s := range servers {
			if candidates[n].Instance != chosen.Instance {
				continue
			}
			slot := 0
			for i := range s.free {
				if s.free[i] < s.free[slot] {
					slot = i
				}
			}
			end := max(now, s.free[slot]) + serviceTime
			s.free[slot] = end
			s.load.Begin()
			s.load.End(end-now, time.Unix(0, int64(now)))
			worst = max(worst, end-now)
		}
	}
	is.True(worst < 400*time.Millisecond) // Half of the target latency. With one instance alone, the wait grows to 10 s.
}
