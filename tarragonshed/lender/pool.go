package lender

import (
	"context"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/unit"
)

// TryAcquire takes an idle connection of the caller without waiting. One that fits is preferred; if
// fits is nil, all do. It is called with the lock held. The result is false if there is no connection.
func (l *Lender[C]) TryAcquire(caller unit.CallerName, fits func(C) bool) (AcquireResult[C], bool) {
	var fitsConn func(pooler.Conn) bool
	if fits != nil {
		fitsConn = func(id pooler.Conn) bool { return fits(l.conns[id]) }
	}
	return l.tryAcquire(func() (pooler.Assign, bool) { return l.pool.TryAcquire(caller, time.Now(), fitsConn) })
}

// TryAcquireAny takes an idle connection of any caller without waiting, for a request that is
// not made on behalf of a caller. It returns false if there is none.
func (l *Lender[C]) TryAcquireAny() (AcquireResult[C], bool) {
	return l.tryAcquire(func() (pooler.Assign, bool) { return l.pool.TryAcquireAny(time.Now()) })
}

func (l *Lender[C]) tryAcquire(assign func() (pooler.Assign, bool)) (AcquireResult[C], bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return AcquireResult[C]{}, false
	}
	assigned, ok := assign()
	return AcquireResult[C]{ID: assigned.Conn, Conn: l.conns[assigned.Conn], Check: assigned.Check}, ok
}

// Acquire requests a connection of the caller. The channel receives one value. The connection must be
// given back with [Lender.Release]; the ticket cancels the request with
// [Lender.WithdrawAcquire].
func (l *Lender[C]) Acquire(caller unit.CallerName) (pooler.Ticket, <-chan AcquireResult[C]) {
	answer := make(chan AcquireResult[C], 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	ticket := pooler.Ticket(l.lastID)
	if l.stopped {
		answer <- AcquireResult[C]{Err: l.stopErr()}
		return ticket, answer
	}
	l.acquireWaiters[ticket] = answer
	l.applyPooler(l.pool.Step(pooler.Acquire{Ticket: ticket, Caller: caller, Now: time.Now()}))
	return ticket, answer
}

// WithdrawAcquire cancels a request for a connection. It reports whether the request
// was still waiting.
func (l *Lender[C]) WithdrawAcquire(ticket pooler.Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.acquireWaiters[ticket]; !waiting {
		return false
	}
	delete(l.acquireWaiters, ticket)
	l.pool.Step(pooler.Withdraw{Ticket: ticket})
	return true
}

// Release returns a connection to the pool. The connection must be idle.
func (l *Lender[C]) Release(id pooler.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[id]; open {
		l.applyPooler(l.pool.Step(pooler.Returned{Conn: id, Now: time.Now()}))
	}
}

// applyPooler carries out effects of the pooler. After Close there are no connections and nobody waits.
// The caller must hold the lock.
func (l *Lender[C]) applyPooler(effects []pooler.Effect) {
	if l.stopped {
		return
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case pooler.Assign:
			l.acquireWaiters[effect.Ticket] <- AcquireResult[C]{ID: effect.Conn, Conn: l.conns[effect.Conn], Check: effect.Check}
			delete(l.acquireWaiters, effect.Ticket)
		case pooler.Fail:
			l.acquireWaiters[effect.Ticket] <- AcquireResult[C]{Err: effect.Err}
			delete(l.acquireWaiters, effect.Ticket)
		case pooler.Open:
			go l.open(effect.Caller)
		case pooler.Close:
			l.conns[effect.Conn].Close()
			delete(l.conns, effect.Conn)
		case pooler.Probe:
			go l.onProbe(effect)
		}
	}
}

// open opens one connection of the caller and adds it to the pool.
func (l *Lender[C]) open(caller unit.CallerName) {
	ctx, stop := context.WithTimeout(l.ctx, l.openTimeout)
	defer stop()
	l.mu.Lock()
	l.lastID++
	id := pooler.Conn(l.lastID)
	l.opening[id] = true
	l.mu.Unlock()
	c, exhausted, err := l.openConn(ctx, caller, id, func() { l.handleGone(id) })
	l.mu.Lock()
	defer l.mu.Unlock()
	alive := l.opening[id]
	delete(l.opening, id)
	if err != nil {
		l.applyPooler(l.pool.Step(pooler.OpenFailed{Caller: caller, Now: time.Now(), Exhausted: exhausted, Err: err}))
		return
	}
	if l.stopped {
		c.Close()
		return
	}
	l.conns[id] = c
	l.onOpen()
	l.applyPooler(l.pool.Step(pooler.Opened{Conn: id, Caller: caller, Now: time.Now()}))
	if !alive {
		l.remove(id)
	}
}

// handleGone removes a closed connection from the pool.
func (l *Lender[C]) handleGone(id pooler.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opening[id] {
		l.opening[id] = false // open removes it after adding it.
		return
	}
	l.remove(id)
}

// remove removes a connection that can no longer be used. The caller must hold the lock.
func (l *Lender[C]) remove(id pooler.Conn) {
	if _, open := l.conns[id]; !open {
		return
	}
	delete(l.conns, id)
	l.onClose()
	effects := l.pool.Step(pooler.Closed{Conn: id, Now: time.Now()})
	if !l.stopped {
		l.applyPooler(effects)
	}
}
