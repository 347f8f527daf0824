package limiter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/limiter"
	"tarragonshed.example/unit"
)

// The parameters of the simulation.
const (
	slots         = 3
	meanService   = 5 * time.Millisecond
	timeLimit     = 200 * time.Millisecond // From the arrival of a statement to its end.
	simulatedTime = 60 * time.Second
)

// simEvent is the arrival or the end of a simulated statement.
type simEvent struct {
	at      time.Time
	id      limiter.ID
	arrival bool
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate returns the goodput in statements per second: those that end within the time
// limit. The offered load is a multiple of the capacity.
func simulate(load float64, homes int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	exponential := func(mean time.Duration) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
	limiters := make([]*limiter.Limiter, homes)
	for rank := range limiters {
		share := limiter.Share(slots, homes, rank)
		limiters[rank] = limiter.New(limiter.Limits{Slots: share, Connections: 7, Queue: 200 * share})
	}
	interarrival := time.Duration(float64(meanService) / slots / load)
	queue := &eventHeap{{at: start, arrival: true}}
	arrived, inTime := make(map[limiter.ID]time.Time), 0
	for next := limiter.ID(1); queue.Len() > 0; {
		event := heap.Pop(queue).(simEvent)
		var effects []limiter.Effect
		if event.arrival {
			id := next
			next++
			arrived[id] = event.at
			if event.at.Sub(start) < simulatedTime {
				heap.Push(queue, simEvent{at: event.at.Add(exponential(interarrival)), arrival: true})
			}
			effects = limiters[int(id)%homes].Step(limiter.Request{
				ID: id, Caller: unit.CallerName(fmt.Sprint(id % 3)), Priority: limiter.Write, Now: event.at, Deadline: event.at.Add(timeLimit),
			})
		} else {
			if event.at.Sub(arrived[event.id]) <= timeLimit {
				inTime++
			}
			l := limiters[int(event.id)%homes]
			effects = l.Step(limiter.Finished{Now: event.at, Took: meanService})
			effects = append(effects, l.Step(limiter.TransactionEnded{Now: event.at})...)
		}
		for _, effect := range effects {
			if admitted, ok := effect.(limiter.Admit); ok {
				heap.Push(queue, simEvent{at: event.at.Add(exponential(meanService)), id: admitted.ID})
			}
		}
	}
	return float64(inTime) / simulatedTime.Seconds()
}

// TestGoodputUnderOverload guards against congestion collapse: under overload, statements
// that end after their deadline would use up the slots.
func TestGoodputUnderOverload(t *testing.T) {
	for _, homes := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d homes", homes), func(t *testing.T) {
			is := is.New(t)
			peak := 0.0
			for _, load := range []float64{0.5, 0.8, 1, 1.2, 2, 5} {
				goodput := simulate(load, homes)
				peak = max(peak, goodput)
				t.Logf("load %.1f: goodput %.0f/s, peak %.0f/s", load, goodput, peak)
				is.True(load < 1.2 || goodput >= 0.9*peak)
			}
		})
	}
}
