// Package pooler decides about the connections that one home holds to one
// instance.
//
// # Share
//
// An instance accepts a limited number of connections. [Share] gives each of its
// homes a share such that one more home than there should be stays within the
// limit, because daemons with differing views may take themselves for homes at
// the same time. [ReservedConnections] connections are left for control connections. When
// the instance says all the same that it has too many connections, the pool
// doesn't grow for [ExhaustedBackoff].
//
// # Opening
//
// A new connection is costly to the instance. At most Opening are opened at a
// time, and no more than Rate a second after a burst, so that a failover does not
// flood the new primary. Warm connections are kept open and idle.
//
// # Giving
//
// The connection used last is given first. One that has been idle for longer than
// [IdleCheckThreshold] is checked before it is given.
//
// # Unresponsive connections
//
// A connection that owes an answer for long is a suspect. A fresh connection then
// asks the instance. If the instance answers and knows of nothing that runs on
// the suspect, the suspect is closed, and so are idle connections that have not
// been used since its silence began: what lost track of the suspect may
// have lost track of them. If the statement still runs, nothing is closed. If the
// instance can't be reached at all, the suspect alone is closed.
//
// # Usage
//
//	p := pooler.New(pooler.Limits{Share: 7, Warm: 2, Opening: 3, Rate: 50})
//	for _, effect := range p.Step(pooler.Take{Ticket: 1, Now: now}) {
//		switch effect := effect.(type) {
//		case pooler.Open:
//			go open() // Then pooler.Opened or pooler.OpenFailed.
//		case pooler.Give:
//			use(effect.Ticket, effect.Conn) // Then pooler.Returned or pooler.Gone.
//		case pooler.Close:
//			conns[effect.Conn].Close()
//		}
//	}
package pooler

import "time"

// ReservedConnections is the number of an instance's connections that are left for control
// connections of homes and watchers.
const ReservedConnections = 6

// ExhaustedBackoff is how long the pool doesn't grow after the instance refused a
// connection because it had too many.
const ExhaustedBackoff = 500 * time.Millisecond

// IdleCheckThreshold is the idle time after which a connection is checked before use.
const IdleCheckThreshold = 5 * time.Second

// Share returns how many of an instance's connections each of its homes may
// open.
func Share(connections, homes int) int {
	return max(1, (connections-ReservedConnections)/(max(1, homes)+1))
}

// Conn names one connection.
type Conn uint64

// Ticket names one request for a connection.
type Ticket uint64

// Limits are the bounds of a pool.
type Limits struct {
	// Share is the number of connections, those being opened included.
	Share int
	// Warm is the number of idle connections that are kept ready.
	Warm int
	// Opening is the number of connections that are opened at a time.
	Opening int
	// Rate is the number of connections that are opened a second, after a
	// burst of Share.
	Rate int
	// IdleTimeout is how long a connection beyond Warm may be idle before it is
	// closed. Zero keeps it.
	IdleTimeout time.Duration
}

// idle is a connection that is not in use.
type idle struct {
	conn  Conn
	since time.Time
}

// Pooler holds the state of one pool.
type Pooler struct {
	limits  Limits
	idle    []idle // The one used last is at the end.
	used    map[Conn]bool
	opening int
	waiting []Ticket
	probing map[Conn]bool

	tokens      float64
	refilled    time.Time
	pausedUntil time.Time
}

// New returns a Pooler without connections.
func New(limits Limits) *Pooler {
	return &Pooler{limits: limits, used: make(map[Conn]bool), probing: make(map[Conn]bool), tokens: float64(limits.Share)}
}

// Size returns the number of connections, those being opened included.
func (p *Pooler) Size() int { return len(p.idle) + len(p.used) + p.opening }

// Idle returns the number of idle connections.
func (p *Pooler) Idle() int { return len(p.idle) }

// Waiting returns the number of requests that wait.
func (p *Pooler) Waiting() int { return len(p.waiting) }

// Step takes an event in and returns what has to be done, in order.
func (p *Pooler) Step(event Event) []Effect {
	switch event := event.(type) {
	case Acquire:
		return p.take(event)
	case Withdraw:
		p.withdraw(event.Ticket)
	case Opened:
		p.opening--
		return p.put(event.Conn, event.Now)
	case OpenFailed:
		return p.openFailed(event)
	case Returned:
		if !p.used[event.Conn] {
			return nil // Closed meanwhile.
		}
		delete(p.used, event.Conn)
		return p.put(event.Conn, event.Now)
	case Closed:
		p.forget(event.Conn)
		return p.grow(event.Now)
	case Resize:
		p.limits = event.Limits
		return append(p.shrink(), p.grow(event.Now)...)
	case Tick:
		return append(p.trim(event.Now), p.grow(event.Now)...)
	case Suspect:
		return p.suspect(event)
	case Probed:
		return p.probed(event)
	}
	return nil
}

// TryAcquire gives an idle connection if there is one, as [Acquire] does. A [Tick] is due
// afterwards to keep warm ones.
func (p *Pooler) TryAcquire(now time.Time) (Assign, bool) {
	n := len(p.idle)
	if n == 0 {
		return Assign{}, false
	}
	last := p.idle[n-1]
	p.idle = p.idle[:n-1]
	p.used[last.conn] = true
	return Assign{Conn: last.conn, Check: now.Sub(last.since) > IdleCheckThreshold}, true
}

func (p *Pooler) take(t Acquire) []Effect {
	if give, ok := p.TryAcquire(t.Now); ok {
		give.Ticket = t.Ticket
		return append([]Effect{give}, p.grow(t.Now)...)
	}
	p.waiting = append(p.waiting, t.Ticket)
	return p.grow(t.Now)
}

func (p *Pooler) withdraw(t Ticket) {
	for i, w := range p.waiting {
		if w == t {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// put gives a connection to the first that waits, or keeps it.
func (p *Pooler) put(c Conn, now time.Time) []Effect {
	if p.Size()+1 > p.limits.Share {
		return []Effect{Close{Conn: c}}
	}
	if len(p.waiting) > 0 {
		t := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.used[c] = true
		return append([]Effect{Assign{Ticket: t, Conn: c}}, p.grow(now)...)
	}
	p.idle = append(p.idle, idle{conn: c, since: now})
	return nil
}

func (p *Pooler) openFailed(e OpenFailed) []Effect {
	p.opening--
	if e.Exhausted {
		p.pausedUntil = e.Now.Add(ExhaustedBackoff)
		if len(p.used)+p.opening > 0 {
			return nil // One of those will come back.
		}
	}
	var effects []Effect
	for _, t := range p.waiting {
		effects = append(effects, Fail{Ticket: t, Err: e.Err})
	}
	p.waiting = nil
	return effects
}

// grow opens connections for those that wait and to keep warm ones.
func (p *Pooler) grow(now time.Time) []Effect {
	p.refill(now)
	var effects []Effect
	for p.wanted() > 0 && p.mayOpen(now) {
		p.opening++
		p.tokens--
		effects = append(effects, Open{})
	}
	return effects
}

func (p *Pooler) wanted() int {
	return len(p.waiting) + max(0, p.limits.Warm-len(p.idle)) - p.opening
}

func (p *Pooler) mayOpen(now time.Time) bool {
	return p.Size() < p.limits.Share && p.opening < p.limits.Opening && p.tokens >= 1 && !now.Before(p.pausedUntil)
}

func (p *Pooler) refill(now time.Time) {
	if !p.refilled.IsZero() {
		p.tokens += now.Sub(p.refilled).Seconds() * float64(p.limits.Rate)
	}
	p.refilled = now
	p.tokens = min(p.tokens, float64(p.limits.Share))
}

// trim closes connections beyond the warm ones that have been idle for long, so
// that they don't count at the instance if this daemon ends without a word.
func (p *Pooler) trim(now time.Time) []Effect {
	if p.limits.IdleTimeout <= 0 {
		return nil
	}
	var effects []Effect
	for len(p.idle) > p.limits.Warm && now.Sub(p.idle[0].since) > p.limits.IdleTimeout {
		effects = append(effects, Close{Conn: p.idle[0].conn})
		p.idle = p.idle[1:]
	}
	return effects
}

// shrink closes idle connections beyond the share. Those in use are closed when
// they are returned.
func (p *Pooler) shrink() []Effect {
	var effects []Effect
	for len(p.idle) > 0 && p.Size() > p.limits.Share {
		effects = append(effects, Close{Conn: p.idle[0].conn})
		p.idle = p.idle[1:]
	}
	return effects
}

func (p *Pooler) suspect(s Suspect) []Effect {
	if p.probing[s.Conn] || !p.used[s.Conn] {
		return nil
	}
	p.probing[s.Conn] = true
	return []Effect{Probe(s)}
}

func (p *Pooler) probed(e Probed) []Effect {
	delete(p.probing, e.Conn)
	if !e.Answered && e.ControlLost && p.used[e.Conn] {
		delete(p.used, e.Conn)
		return []Effect{Close{Conn: e.Conn}}
	}
	if !e.Answered || e.StatementRunning || !p.used[e.Conn] {
		return nil
	}
	delete(p.used, e.Conn)
	effects := []Effect{Close{Conn: e.Conn}}
	var kept []idle
	for _, i := range p.idle {
		if i.since.After(e.UnresponsiveSince) {
			kept = append(kept, i)
			continue
		}
		effects = append(effects, Close{Conn: i.conn})
	}
	p.idle = kept
	return effects
}

func (p *Pooler) forget(c Conn) {
	delete(p.used, c)
	delete(p.probing, c)
	for i := range p.idle {
		if p.idle[i].conn == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}
