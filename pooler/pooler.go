// Package pooler manages a pool of connections from one home to one instance. A home is a
// daemon that owns connections to the instance. The package is a decision core without
// I/O.
//
// # Share
//
// An instance accepts a limited number of connections. [Share] returns the number that
// each home may open. It leaves room for one home more than intended: daemons with
// different views of the group's membership may act as homes of the instance at the same
// time. [ReservedConnections] connections are reserved for control connections. If the
// instance nevertheless rejects a connection because it has too many, the pool opens no
// connections for [ExhaustedBackoff].
//
// # Opening
//
// Opening a connection is expensive for the instance. The number of connections being
// opened is limited to Opening, and their rate to Rate per second after an initial burst,
// so that a failover does not overload the new primary. Warm connections are kept open
// and idle.
//
// # Assignment
//
// The most recently used idle connection is assigned first, or the most recently used one that
// fits the request if the request says which ones do. A connection that has been
// idle for longer than [IdleCheckThreshold] is checked with a round trip before use,
// because it may have been closed without notice.
//
// # Callers
//
// An instance may be told at the start of a connection which caller uses it. Such a
// connection is assigned to requests of its caller only. If the pool has reached its share
// or the instance has too many connections, the one that has been idle the longest is closed to
// open one for another caller. Connections of instances that are not told the caller belong to
// the empty name, and only these are kept warm.
//
// # Unresponsive connections
//
// A connection whose response has been pending for too long is a suspect. The instance is
// then asked over a new connection:
//
//   - If the instance answers and no statement runs on the suspect, the suspect is
//     closed. So are the idle connections that have not been used since the suspect
//     became unresponsive: whatever discarded the state of the suspect's connection,
//     such as a firewall, may have discarded theirs, too.
//   - If the statement still runs, no connection is closed.
//   - If neither the new connection nor the control connection reaches the instance,
//     only the suspect is closed.
//   - If only the new connection fails, no connection is closed.
//
// # Usage
//
//	p := pooler.New(pooler.Limits{Share: 7, Warm: 2, Opening: 3, Rate: 50})
//	for _, effect := range p.Step(pooler.Acquire{Ticket: 1, Now: now}) {
//		switch effect := effect.(type) {
//		case pooler.Open:
//			go open(effect.Caller) // Followed by pooler.Opened or pooler.OpenFailed.
//		case pooler.Assign:
//			use(effect.Ticket, effect.Conn) // Followed by pooler.Returned or pooler.Closed.
//		case pooler.Close:
//			conns[effect.Conn].Close()
//		}
//	}
package pooler

import (
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// ReservedConnections is the number of an instance's connections that are reserved for the
// control connections of homes and watchers. A watcher is a daemon that monitors the
// instance.
const ReservedConnections = 6

// ExhaustedBackoff is how long the pool opens no connections after the instance has
// rejected one because it had too many.
const ExhaustedBackoff = 500 * time.Millisecond

// IdleCheckThreshold is the idle time after which a connection is checked before use.
const IdleCheckThreshold = 5 * time.Second

// Share returns how many of an instance's connections each of its homes may open. It is at
// least one.
func Share(connections, homes int) int {
	return max(1, (connections-ReservedConnections)/(max(1, homes)+1))
}

// Conn identifies one connection.
type Conn uint64

// Ticket identifies one request for a connection.
type Ticket uint64

// Limits are the limits of a pool.
type Limits struct {
	// Share is the maximum number of connections, including those being opened.
	Share int
	// Warm is the number of idle connections that are kept open.
	Warm int
	// Opening is the maximum number of connections being opened at the same time.
	Opening int
	// Rate is the maximum number of connections opened per second, after a burst of
	// Share connections.
	Rate int
	// IdleTimeout is how long a connection beyond Warm may be idle before it is
	// closed. Zero disables the timeout.
	IdleTimeout time.Duration
}

// idle is a connection that is not in use.
type idle struct {
	conn   Conn
	caller unit.CallerName
	since  time.Time
}

// waiter is a waiting request.
type waiter struct {
	ticket Ticket
	caller unit.CallerName
}

// Pooler holds the state of one pool. It is not safe for concurrent use.
type Pooler struct {
	limits  Limits
	idle    []idle                   // Ordered by last use, the most recent last.
	inUse   map[Conn]unit.CallerName // The callers of the connections in use.
	opening map[unit.CallerName]int  // The number of connections being opened.
	waiting []waiter
	probing map[Conn]bool

	tokens      float64
	refilled    time.Time
	pausedUntil time.Time
}

// New returns a Pooler without connections.
func New(limits Limits) *Pooler {
	return &Pooler{
		limits: limits, inUse: make(map[Conn]unit.CallerName), opening: make(map[unit.CallerName]int),
		probing: make(map[Conn]bool), tokens: float64(limits.Share),
	}
}

// Size returns the number of connections, including those being opened.
func (p *Pooler) Size() int { return len(p.idle) + len(p.inUse) + p.openingCount() }

// openingCount returns the number of connections being opened.
func (p *Pooler) openingCount() int {
	n := 0
	for _, count := range p.opening {
		n += count
	}
	return n
}

// Idle returns the number of idle connections.
func (p *Pooler) Idle() int { return len(p.idle) }

// Waiting returns the number of waiting requests.
func (p *Pooler) Waiting() int { return len(p.waiting) }

// Step processes an event and returns the resulting effects in order.
func (p *Pooler) Step(event Event) []Effect {
	switch event := event.(type) {
	case Acquire:
		return p.acquire(event)
	case Withdraw:
		p.withdraw(event.Ticket)
	case Opened:
		p.endOpening(event.Caller)
		return p.put(event.Conn, event.Caller, event.Now)
	case OpenFailed:
		return p.openFailed(event)
	case Returned:
		caller, inUse := p.inUse[event.Conn]
		if !inUse {
			return nil // The connection has been closed in the meantime.
		}
		delete(p.inUse, event.Conn)
		return p.put(event.Conn, caller, event.Now)
	case Closed:
		p.remove(event.Conn)
		return p.openNeeded(event.Now)
	case Resize:
		p.limits = event.Limits
		return append(p.closeExcess(), p.openNeeded(event.Now)...)
	case Tick:
		return append(p.closeUnused(event.Now), p.openNeeded(event.Now)...)
	case Suspect:
		return p.suspect(event)
	case Probed:
		return p.probed(event)
	}
	return nil
}

// TryAcquire assigns an idle connection of the caller if there is one, as [Acquire] does. One that
// fits is preferred; if fits is nil, all do. The caller of the function must pass a [Tick] to Step
// afterwards, which opens warm connections.
func (p *Pooler) TryAcquire(caller unit.CallerName, now time.Time, fits func(Conn) bool) (Assign, bool) {
	chosen := -1
	for n := len(p.idle) - 1; n >= 0; n-- {
		if p.idle[n].caller != caller {
			continue
		}
		if fits == nil || fits(p.idle[n].conn) {
			return p.assignIdle(n, now), true
		}
		if chosen < 0 {
			chosen = n
		}
	}
	if chosen < 0 {
		return Assign{}, false
	}
	return p.assignIdle(chosen, now), true
}

// TryAcquireAny assigns the most recently used idle connection of any caller, for a request
// that is not made on behalf of a caller.
func (p *Pooler) TryAcquireAny(now time.Time) (Assign, bool) {
	if len(p.idle) == 0 {
		return Assign{}, false
	}
	return p.assignIdle(len(p.idle)-1, now), true
}

func (p *Pooler) assignIdle(n int, now time.Time) Assign {
	chosen := p.idle[n]
	p.idle = slices.Delete(p.idle, n, n+1)
	p.inUse[chosen.conn] = chosen.caller
	return Assign{Conn: chosen.conn, Check: now.Sub(chosen.since) > IdleCheckThreshold}
}

func (p *Pooler) acquire(e Acquire) []Effect {
	if assign, ok := p.TryAcquire(e.Caller, e.Now, nil); ok {
		assign.Ticket = e.Ticket
		return append([]Effect{assign}, p.openNeeded(e.Now)...)
	}
	p.waiting = append(p.waiting, waiter{ticket: e.Ticket, caller: e.Caller})
	return p.openNeeded(e.Now)
}

func (p *Pooler) withdraw(t Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool { return w.ticket == t })
}

// put assigns a connection to the first waiting request of its caller, or else makes it idle.
// It closes the connection if the pool exceeds its share.
func (p *Pooler) put(c Conn, caller unit.CallerName, now time.Time) []Effect {
	if p.Size()+1 > p.limits.Share {
		return []Effect{Close{Conn: c}}
	}
	if n := slices.IndexFunc(p.waiting, func(w waiter) bool { return w.caller == caller }); n >= 0 {
		t := p.waiting[n].ticket
		p.waiting = slices.Delete(p.waiting, n, n+1)
		p.inUse[c] = caller
		return append([]Effect{Assign{Ticket: t, Conn: c}}, p.openNeeded(now)...)
	}
	p.idle = append(p.idle, idle{conn: c, caller: caller, since: now})
	if len(p.waiting) == 0 {
		return nil
	}
	return p.openNeeded(now) // It may be closed to open one for another caller.
}

func (p *Pooler) endOpening(caller unit.CallerName) {
	p.opening[caller]--
	if p.opening[caller] <= 0 {
		delete(p.opening, caller)
	}
}

func (p *Pooler) openFailed(e OpenFailed) []Effect {
	p.endOpening(e.Caller)
	if e.Exhausted {
		p.pausedUntil = e.Now.Add(ExhaustedBackoff)
		if len(p.waiting) > 0 && len(p.idle) > 0 {
			return []Effect{p.closeOldest()} // One of another caller, since the requests wait.
		}
		if len(p.inUse)+p.openingCount() > 0 {
			return nil // A connection in use or being opened will serve the requests.
		}
	}
	var effects []Effect
	for _, w := range p.waiting {
		effects = append(effects, Fail{Ticket: w.ticket, Err: e.Err})
	}
	p.waiting = nil
	return effects
}

// openNeeded opens connections for waiting requests and to keep the warm ones available.
func (p *Pooler) openNeeded(now time.Time) []Effect {
	p.refill(now)
	var effects []Effect
	for {
		caller, needed := p.shortfall()
		if !needed || !p.mayOpen(now) {
			return effects
		}
		if p.Size() >= p.limits.Share {
			if !p.evictable(caller) {
				return effects
			}
			effects = append(effects, p.closeOldest())
		}
		p.opening[caller]++
		p.tokens--
		effects = append(effects, Open{Caller: caller})
	}
}

// closeOldest closes the connection that has been idle the longest.
func (p *Pooler) closeOldest() Effect {
	oldest := p.idle[0].conn
	p.idle = slices.Delete(p.idle, 0, 1)
	return Close{Conn: oldest}
}

// evictable reports whether an idle connection may be closed to open one for the caller. A warm
// connection is not worth closing another one.
func (p *Pooler) evictable(caller unit.CallerName) bool {
	waits := slices.ContainsFunc(p.waiting, func(w waiter) bool { return w.caller == caller })
	return waits && len(p.idle) > 0 && p.Size() == p.limits.Share
}

// shortfall returns the caller that a connection has to be opened for. The result is false if
// there is none.
func (p *Pooler) shortfall() (unit.CallerName, bool) {
	if len(p.waiting) == 0 {
		return "", p.limits.Warm-len(p.idle) > p.opening[""]
	}
	coming := make(map[unit.CallerName]int, len(p.opening))
	for caller, n := range p.opening {
		coming[caller] = n
	}
	for _, w := range p.waiting {
		if coming[w.caller] == 0 {
			return w.caller, true
		}
		coming[w.caller]--
	}
	return "", p.limits.Warm-len(p.idle) > coming[""]
}

func (p *Pooler) mayOpen(now time.Time) bool {
	return p.openingCount() < p.limits.Opening && p.tokens >= 1 && !now.Before(p.pausedUntil)
}

func (p *Pooler) refill(now time.Time) {
	if !p.refilled.IsZero() {
		p.tokens += now.Sub(p.refilled).Seconds() * float64(p.limits.Rate)
	}
	p.refilled = now
	p.tokens = min(p.tokens, float64(p.limits.Share))
}

// closeUnused closes connections beyond the warm ones that have been idle for longer than
// IdleTimeout. If the daemon ended without closing them, the instance would continue to
// count them against its limit.
func (p *Pooler) closeUnused(now time.Time) []Effect {
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

// closeExcess closes idle connections beyond the share. Connections in use are closed when
// they are returned.
func (p *Pooler) closeExcess() []Effect {
	var effects []Effect
	for len(p.idle) > 0 && p.Size() > p.limits.Share {
		effects = append(effects, Close{Conn: p.idle[0].conn})
		p.idle = p.idle[1:]
	}
	return effects
}

func (p *Pooler) suspect(s Suspect) []Effect {
	if p.probing[s.Conn] || !p.isInUse(s.Conn) {
		return nil
	}
	p.probing[s.Conn] = true
	return []Effect{Probe(s)}
}

func (p *Pooler) probed(e Probed) []Effect {
	delete(p.probing, e.Conn)
	if !e.Answered && e.ControlLost && p.isInUse(e.Conn) {
		delete(p.inUse, e.Conn)
		return []Effect{Close{Conn: e.Conn}}
	}
	if !e.Answered || e.StatementRunning || !p.isInUse(e.Conn) {
		return nil
	}
	delete(p.inUse, e.Conn)
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

func (p *Pooler) isInUse(c Conn) bool {
	_, inUse := p.inUse[c]
	return inUse
}

func (p *Pooler) remove(c Conn) {
	delete(p.inUse, c)
	delete(p.probing, c)
	for i := range p.idle {
		if p.idle[i].conn == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}
