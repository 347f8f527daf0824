package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

// Parameters of the simulated restart.
const (
	// lingering is how long the instance counts the connections of daemons without power.
	lingering = 3 * time.Second
	// outage is the time without power.
	outage = 1400 * time.Millisecond
	// simStep is the step of the simulated time.
	simStep = time.Millisecond
	// openDuration is the time to open a connection.
	openDuration = 12 * time.Millisecond
	// statementDuration is the time of a statement.
	statementDuration = 24 * time.Millisecond
	// statementInterval is the mean time between two statements of one daemon at the instance.
	statementInterval = time.Second
	// patience is how long a statement waits for its connection.
	patience = 300 * time.Millisecond
)

// simDaemon is the pool of one daemon in the simulation.
type simDaemon struct {
	pool    *pooler.Pooler
	waiting map[pooler.Ticket]time.Time // Since when.
	busy    map[pooler.Conn]time.Time   // Until when.
	opening []time.Time                 // When the connections will be open.
}

// restartSim simulates the pools of daemons that all restart at the same time before one
// instance.
type restartSim struct {
	limit   int // Connections that the instance accepts.
	counted int // Connections that the instance counts, without the lingering ones.
	now     time.Time
	daemons []*simDaemon
	next    uint64
	served  int
	late    int
}

// apply carries out the effects of a pool.
func (s *restartSim) apply(d *simDaemon, effects []pooler.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case pooler.Open:
			d.opening = append(d.opening, s.now.Add(openDuration))
		case pooler.Assign:
			if s.now.Sub(d.waiting[effect.Ticket]) > patience {
				s.late++
			} else {
				s.served++
			}
			delete(d.waiting, effect.Ticket)
			d.busy[effect.Conn] = s.now.Add(statementDuration)
		case pooler.Fail: // The engine requests a connection again.
			since := d.waiting[effect.Ticket]
			delete(d.waiting, effect.Ticket)
			s.acquire(d, since)
		case pooler.Close:
			s.counted--
		}
	}
}

// acquire requests a connection for a statement that has waited since the given time.
func (s *restartSim) acquire(d *simDaemon, since time.Time) {
	s.next++
	ticket := pooler.Ticket(s.next)
	d.waiting[ticket] = since
	s.apply(d, d.pool.Step(pooler.Acquire{Ticket: ticket, Now: s.now}))
}

// finishOpening opens the connections that are due, or fails if the instance has too many.
func (s *restartSim) finishOpening(d *simDaemon, lingeringNow int) {
	for len(d.opening) > 0 && !s.now.Before(d.opening[0]) {
		d.opening = d.opening[1:]
		if s.counted+lingeringNow >= s.limit {
			full := result.New(result.ConnectionsExhausted, "full")
			s.apply(d, d.pool.Step(pooler.OpenFailed{Now: s.now, Exhausted: true, Err: full}))
			continue
		}
		s.counted++
		s.next++
		s.apply(d, d.pool.Step(pooler.Opened{Conn: pooler.Conn(s.next), Now: s.now}))
	}
}

// finishStatements returns the connections whose statements have ended.
func (s *restartSim) finishStatements(d *simDaemon) {
	var ended []pooler.Conn
	for conn, until := range d.busy {
		if !s.now.Before(until) {
			ended = append(ended, conn)
		}
	}
	slices.Sort(ended)
	for _, conn := range ended {
		delete(d.busy, conn)
		s.apply(d, d.pool.Step(pooler.Returned{Conn: conn, Now: s.now}))
	}
}

// run simulates the first two seconds after the power has returned, and returns the share of
// statements that got a connection in time.
func (s *restartSim) run(random *rand.Rand, warmBefore int) float64 {
	began := s.now
	for step := time.Duration(0); step < 2*time.Second; step += simStep {
		s.now = began.Add(step)
		lingeringNow := warmBefore
		if outage+step >= lingering {
			lingeringNow = 0
		}
		for _, d := range s.daemons {
			s.finishOpening(d, lingeringNow)
			s.finishStatements(d)
			if random.Float64() < float64(simStep)/float64(statementInterval) {
				s.acquire(d, s.now)
			}
			if step%tickInterval == 0 {
				s.apply(d, d.pool.Step(pooler.Tick{Now: s.now}))
			}
		}
	}
	for _, d := range s.daemons {
		for _, since := range d.waiting {
			if s.now.Sub(since) > patience {
				s.late++
			}
		}
	}
	return float64(s.served) / float64(s.served+s.late)
}

// TestConnectionsAfterRestart plays the restart of all daemons before one instance, which still
// counts the connection of each daemon from before. With a connection that each daemon keeps
// without using it, most statements of 118 daemons and more got none in time.
func TestConnectionsAfterRestart(t *testing.T) {
	for _, c := range []struct{ daemons, connections int }{{4, 22}, {30, 66}, {118, 173}, {142, 173}, {460, 580}, {460, 204}} {
		t.Run(fmt.Sprintf("%d daemons, %d connections", c.daemons, c.connections), func(t *testing.T) {
			s := &restartSim{limit: c.connections, now: time.Unix(100, 0)}
			for range c.daemons {
				s.daemons = append(s.daemons, &simDaemon{
					pool:    pooler.New(poolLimits(c.connections, c.daemons, true)),
					waiting: make(map[pooler.Ticket]time.Time), busy: make(map[pooler.Conn]time.Time),
				})
			}
			warmBefore := c.daemons * poolLimits(c.connections, c.daemons, false).Warm
			share := s.run(rand.New(rand.NewPCG(1, 2)), warmBefore)
			t.Logf("%.3f of the statements got a connection in time", share)
			is.New(t).True(share >= 0.99)
		})
	}
}
