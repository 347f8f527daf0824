package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/placer"
	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

// Parameters of the simulated instance.
const (
	simSlots        = 4
	simRate         = 110 // Statements per second.
	simWork         = 15 * time.Millisecond
	simOpenDuration = 12 * time.Millisecond // Takes a slot.
	simRetryDelay   = 10 * time.Millisecond // After a refusal by the instance.
	simPatience     = 300 * time.Millisecond
	simDuration     = 20 * time.Second
	simHop          = 4 * time.Millisecond // To the home and back, with its processing time.
)

// simJob is a statement or the opening of a connection.
type simJob struct {
	pool         int
	arrived, due time.Time
	conn         pooler.Conn
	refused      bool
}

// simInstance simulates one instance before a number of pools, and counts what the statements
// meet. The pools belong to many daemons, which don't know how many slots are free, or all to
// the home, which does.
type simInstance struct {
	atHome      bool
	connections int
	pools       []*pooler.Pooler
	now         time.Time
	open        int // Connections.
	used        map[pooler.Conn]bool
	waiting     map[pooler.Ticket]*simJob
	next        uint64
	running     []*simJob
	opening     []*simJob
	delayed     []*simJob // Statements that have a connection and wait for a slot.

	statements, paid, refused, late int
	latency                         time.Duration
}

func newSimInstance(atHome bool, pools, connections int, limits pooler.Limits) *simInstance {
	s := &simInstance{
		atHome: atHome, connections: connections, now: time.Unix(100, 0),
		used: make(map[pooler.Conn]bool), waiting: make(map[pooler.Ticket]*simJob),
	}
	for range pools {
		s.pools = append(s.pools, pooler.New(limits))
	}
	return s
}

func (s *simInstance) free() bool { return len(s.running)+len(s.opening) < simSlots }

// step passes an event to a pool and carries out the effects.
func (s *simInstance) step(pool int, event pooler.Event) {
	for _, effect := range s.pools[pool].Step(event) {
		switch effect := effect.(type) {
		case pooler.Open:
			s.opening = append(s.opening, &simJob{pool: pool, due: s.now.Add(simOpenDuration)})
		case pooler.Close:
			s.open--
		case pooler.Assign:
			job := s.waiting[effect.Ticket]
			delete(s.waiting, effect.Ticket)
			job.conn = effect.Conn
			s.start(job)
		case pooler.Fail: // The engine requests a connection again.
			job := s.waiting[effect.Ticket]
			delete(s.waiting, effect.Ticket)
			s.acquire(job)
		}
	}
}

func (s *simInstance) acquire(job *simJob) {
	s.next++
	s.waiting[pooler.Ticket(s.next)] = job
	s.step(job.pool, pooler.Acquire{Ticket: pooler.Ticket(s.next), Now: s.now})
}

// start runs a statement. Without a free slot the home keeps it, and the instance refuses
// that of another daemon.
func (s *simInstance) start(job *simJob) {
	switch {
	case s.free():
		if !s.used[job.conn] {
			s.paid++
		}
		s.used[job.conn] = true
		job.due = s.now.Add(simWork)
		s.running = append(s.running, job)
		return
	case s.atHome:
		job.due = s.now
	default:
		job.refused = true
		job.due = s.now.Add(simRetryDelay)
	}
	s.delayed = append(s.delayed, job)
}

// take removes the jobs that are due.
func (s *simInstance) take(list *[]*simJob) []*simJob {
	var due []*simJob
	*list = slices.DeleteFunc(*list, func(job *simJob) bool {
		if !job.due.After(s.now) {
			due = append(due, job)
		}
		return !job.due.After(s.now)
	})
	return due
}

func (s *simInstance) finish(job *simJob) {
	s.statements++
	took := s.now.Sub(job.arrived)
	s.latency += took
	if took > simPatience {
		s.late++
	}
	if job.refused {
		s.refused++
	}
	s.step(job.pool, pooler.Returned{Conn: job.conn, Now: s.now})
}

func (s *simInstance) finishOpening(job *simJob) {
	if s.open >= s.connections {
		s.step(job.pool, pooler.OpenFailed{Now: s.now, Exhausted: true, Err: result.New(result.ConnectionsExhausted, "full")})
		return
	}
	s.open++
	s.next++
	s.step(job.pool, pooler.Opened{Conn: pooler.Conn(s.next), Now: s.now})
}

// run simulates statements that arrive at random pools.
func (s *simInstance) run(random *rand.Rand) {
	const step = time.Millisecond
	for passed := time.Duration(0); passed < simDuration; passed += step {
		s.now = s.now.Add(step)
		for _, job := range s.take(&s.running) {
			s.finish(job)
		}
		for _, job := range s.take(&s.opening) {
			s.finishOpening(job)
		}
		for _, job := range s.take(&s.delayed) {
			s.start(job)
		}
		if random.Float64() < simRate*step.Seconds() {
			s.acquire(&simJob{pool: random.IntN(len(s.pools)), arrived: s.now})
		}
		if passed%(20*time.Millisecond) == 0 {
			for pool := range s.pools {
				s.step(pool, pooler.Tick{Now: s.now})
			}
		}
	}
}

// mean returns the mean latency. Statements that have not ended count with their time so far.
func (s *simInstance) mean() time.Duration {
	n, sum := s.statements, s.latency
	for _, job := range s.waiting {
		n, sum = n+1, sum+s.now.Sub(job.arrived)
	}
	return sum / time.Duration(max(1, n))
}

// TestUseHomesIsBetter plays the statements of many daemons to one instance, over their own
// connections and over those of its home. UseHomes must select the way with the lower latency.
func TestUseHomesIsBetter(t *testing.T) {
	for _, c := range []struct{ daemons, connections, accounts int }{
		{4, 22, 0}, {30, 66, 0}, {118, 173, 0}, {79, 46, 0}, {24, 70, 72}, {460, 59, 0},
	} {
		t.Run(fmt.Sprintf("%d daemons, %d connections, %d accounts", c.daemons, c.connections, c.accounts), func(t *testing.T) {
			direct, home := playDirect(c.daemons, c.connections, c.accounts), playHome(c.connections, c.accounts)
			for _, s := range []*simInstance{direct, home} {
				n := float64(s.statements)
				t.Logf("home %t: %d served, new connection %.3f, refused %.3f, late %.3f, mean %s without the hop",
					s.atHome, s.statements, float64(s.paid)/n, float64(s.refused)/n, float64(s.late)/n, s.mean().Round(100*time.Microsecond))
			}
			better := home.mean()+simHop < direct.mean()
			is.New(t).Equal(placer.UseHomes(c.daemons, c.connections, c.accounts), better)
		})
	}
}

// playDirect plays the statements over pools of all daemons for all accounts.
func playDirect(daemons, connections, accounts int) *simInstance {
	pools := daemons * max(1, accounts)
	limits := pooler.Limits{Share: max(1, connections/pools), Warm: 1, Opening: 1, Rate: 100, IdleTimeout: 4 * time.Second}
	if connections < pools { // The daemons take turns at the connections.
		limits.Warm, limits.IdleTimeout = 0, 20*time.Millisecond
	}
	s := newSimInstance(false, pools, connections, limits)
	s.run(rand.New(rand.NewPCG(1, 2)))
	return s
}

// playHome plays the statements over the home's pools for all accounts.
func playHome(connections, accounts int) *simInstance {
	limits := pooler.Limits{Share: max(1, connections/max(1, accounts)), Warm: 1, Opening: 1, Rate: 100, IdleTimeout: 4 * time.Second}
	if accounts > connections { // The accounts take turns, but most keep theirs.
		limits.Warm, limits.IdleTimeout = 0, time.Second
	}
	s := newSimInstance(true, max(1, accounts), connections, limits)
	s.run(rand.New(rand.NewPCG(1, 2)))
	return s
}
