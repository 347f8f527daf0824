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

// The simulated load.
const (
	slots       = 3
	meanService = 5 * time.Millisecond
	allowance   = 200 * time.Millisecond // From arrival to the end.
	simulated   = 60 * time.Second
)

// moment is an arrival or an end of the simulation.
type moment struct {
	at      time.Time
	id      limiter.ID
	arrives bool
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// simulate returns how many statements a second end in time when load times the
// capacity is asked for.
func simulate(load float64, homes int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	exponential := func(mean time.Duration) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
	limiters := make([]*limiter.Limiter, homes)
	for rank := range limiters {
		part := limiter.Share(slots, homes, rank)
		limiters[rank] = limiter.New(limiter.Limits{Slots: part, Connections: 7, Queue: 200 * part})
	}
	gap := time.Duration(float64(meanService) / slots / load)
	queue := &moments{{at: start, arrives: true}}
	arrived, good := make(map[limiter.ID]time.Time), 0
	for next := limiter.ID(1); queue.Len() > 0; {
		now := heap.Pop(queue).(moment)
		var effects []limiter.Effect
		if now.arrives {
			id := next
			next++
			arrived[id] = now.at
			if now.at.Sub(start) < simulated {
				heap.Push(queue, moment{at: now.at.Add(exponential(gap)), arrives: true})
			}
			effects = limiters[int(id)%homes].Step(limiter.Request{
				ID: id, Caller: unit.CallerName(fmt.Sprint(id % 3)), Priority: limiter.Write, Now: now.at, Deadline: now.at.Add(allowance),
			})
		} else {
			if now.at.Sub(arrived[now.id]) <= allowance {
				good++
			}
			l := limiters[int(now.id)%homes]
			effects = l.Step(limiter.Finished{Now: now.at, Took: meanService})
			effects = append(effects, l.Step(limiter.TransactionEnded{Now: now.at})...)
		}
		for _, effect := range effects {
			if admitted, ok := effect.(limiter.Admit); ok {
				heap.Push(queue, moment{at: now.at.Add(exponential(meanService)), id: admitted.ID})
			}
		}
	}
	return float64(good) / simulated.Seconds()
}

func TestGoodputUnderOverload(t *testing.T) {
	for _, homes := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d homes", homes), func(t *testing.T) {
			is := is.New(t)
			peak := 0.0
			for _, load := range []float64{0.5, 0.8, 1, 1.2, 2, 5} {
				good := simulate(load, homes)
				peak = max(peak, good)
				t.Logf("load %.1f: %.0f a second in time, peak %.0f", load, good, peak)
				is.True(load < 1.2 || good >= 0.9*peak)
			}
		})
	}
}
