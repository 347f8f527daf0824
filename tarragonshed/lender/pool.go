package lender

import (
	"context"
	"time"

	"tarragonshed.example/pooler"
)

// TryTake is Take for a connection that is idle.
func (l *Lender[C]) TryTake() (Gave[C], bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return Gave[C]{}, false
	}
	give, ok := l.pool.TryAcquire(time.Now())
	return Gave[C]{ID: give.Conn, Conn: l.conns[give.Conn], Check: give.Check}, ok
}

// Take asks for a connection. The channel receives one value.
func (l *Lender[C]) Take() (pooler.Ticket, <-chan Gave[C]) {
	answer := make(chan Gave[C], 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	ticket := pooler.Ticket(l.next)
	if l.stopped {
		answer <- Gave[C]{Err: l.stopErr()}
		return ticket, answer
	}
	l.gives[ticket] = answer
	l.apply(l.pool.Step(pooler.Acquire{Ticket: ticket, Now: time.Now()}))
	return ticket, answer
}

// WithdrawTake takes a request for a connection back. It reports whether the
// request was still waiting.
func (l *Lender[C]) WithdrawTake(ticket pooler.Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.gives[ticket]; !waiting {
		return false
	}
	delete(l.gives, ticket)
	l.pool.Step(pooler.Withdraw{Ticket: ticket})
	return true
}

// Put returns an idle connection.
func (l *Lender[C]) Put(id pooler.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[id]; open {
		l.apply(l.pool.Step(pooler.Returned{Conn: id, Now: time.Now()}))
	}
}

// apply carries out effects of the pooler. The lock is held.
func (l *Lender[C]) apply(effects []pooler.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case pooler.Assign:
			l.gives[effect.Ticket] <- l.give(effect)
			delete(l.gives, effect.Ticket)
		case pooler.Fail:
			l.gives[effect.Ticket] <- Gave[C]{Err: effect.Err}
			delete(l.gives, effect.Ticket)
		case pooler.Open:
			go l.open()
		case pooler.Close:
			l.conns[effect.Conn].Close()
			delete(l.conns, effect.Conn)
		case pooler.Probe:
			go l.onProbe(effect)
		}
	}
}

// give is the answer for what the pooler gives. The lock is held.
func (l *Lender[C]) give(g pooler.Assign) Gave[C] {
	if l.stopped {
		return Gave[C]{Err: l.stopErr()}
	}
	return Gave[C]{ID: g.Conn, Conn: l.conns[g.Conn], Check: g.Check}
}

// open opens one connection.
func (l *Lender[C]) open() {
	ctx, stop := context.WithTimeout(l.ctx, l.openTimeout)
	defer stop()
	l.mu.Lock()
	l.next++
	id := pooler.Conn(l.next)
	l.opening[id] = true
	l.mu.Unlock()
	c, exhausted, err := l.openConn(ctx, id, func() { l.gone(id) })
	l.mu.Lock()
	defer l.mu.Unlock()
	alive := l.opening[id]
	delete(l.opening, id)
	if err != nil {
		l.apply(l.pool.Step(pooler.OpenFailed{Now: time.Now(), Exhausted: exhausted, Err: err}))
		return
	}
	l.conns[id] = c
	l.onOpen()
	if l.stopped {
		c.Close()
	}
	l.apply(l.pool.Step(pooler.Opened{Conn: id, Now: time.Now()}))
	if !alive {
		l.forget(id)
	}
}

// gone takes a closed connection out of the pool.
func (l *Lender[C]) gone(id pooler.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opening[id] {
		l.opening[id] = false // It was lost before it could be lent.
		return
	}
	l.forget(id)
}

// forget drops a connection that can't be used any more. The lock is held.
func (l *Lender[C]) forget(id pooler.Conn) {
	if _, open := l.conns[id]; !open {
		return
	}
	delete(l.conns, id)
	l.onClose()
	effects := l.pool.Step(pooler.Closed{Conn: id, Now: time.Now()})
	if !l.stopped {
		l.apply(effects)
	}
}
