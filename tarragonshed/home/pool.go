package home

import (
	"context"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/recorder"
	"tarragonshed.example/result"
)

// gave is the answer to a request for a connection.
type gave struct {
	conn  *conn
	check bool
	err   *result.Error
}

// tryTake is take for a connection that is idle.
func (t *target) tryTake() (gave, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return gave{}, false
	}
	give, ok := t.pool.Try(time.Now())
	return gave{conn: t.conns[give.Conn], check: give.Check}, ok
}

// take asks for a connection. The channel receives one value.
func (t *target) take() (pooler.Ticket, <-chan gave) {
	answer := make(chan gave, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	ticket := pooler.Ticket(t.next)
	if t.stopped {
		answer <- gave{err: t.givenUp()}
		return ticket, answer
	}
	t.gives[ticket] = answer
	t.apply(t.pool.Step(pooler.Take{Ticket: ticket, Now: time.Now()}))
	return ticket, answer
}

// withdrawTake takes a request for a connection back. It reports whether the
// request was still waiting.
func (t *target) withdrawTake(ticket pooler.Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, waiting := t.gives[ticket]; !waiting {
		return false
	}
	delete(t.gives, ticket)
	t.pool.Step(pooler.Withdraw{Ticket: ticket})
	return true
}

// put returns an idle connection.
func (t *target) put(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.conns[c.id]; open {
		t.apply(t.pool.Step(pooler.Returned{Conn: c.id, Now: time.Now()}))
	}
}

// apply carries out effects of the pooler. The lock is held.
func (t *target) apply(effects []pooler.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case pooler.Give:
			t.gives[effect.Ticket] <- t.give(effect)
			delete(t.gives, effect.Ticket)
		case pooler.Fail:
			t.gives[effect.Ticket] <- gave{err: effect.Err}
			delete(t.gives, effect.Ticket)
		case pooler.Open:
			go t.open()
		case pooler.Close:
			t.conns[effect.Conn].close()
			delete(t.conns, effect.Conn)
		case pooler.Probe:
			go t.probe(effect)
		}
	}
}

// give is the answer for what the pooler gives. The lock is held.
func (t *target) give(g pooler.Give) gave {
	if t.stopped {
		return gave{err: t.givenUp()}
	}
	return gave{conn: t.conns[g.Conn], check: g.Check}
}

// open opens one connection.
func (t *target) open() {
	ctx, stop := context.WithTimeout(t.home.ctx, openTimeout)
	defer stop()
	hijacked, err := t.endpoint.connect(ctx)
	now := time.Now()
	if err != nil {
		failure, exhausted := connectError(t.name, err)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.apply(t.pool.Step(pooler.OpenFailed{Now: now, Exhausted: exhausted, Err: failure}))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	id := pooler.Conn(t.next)
	c := newConn(id, t.endpoint, hijacked, t.gone)
	t.conns[id] = c
	t.home.recorder.Record(recorder.Event{Kind: recorder.ConnectionOpened, Group: t.group.name, Instance: t.name})
	if t.stopped {
		c.close()
	}
	t.apply(t.pool.Step(pooler.Opened{Conn: id, Now: now}))
}

// gone takes a closed connection out of the pool.
func (t *target) gone(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.conns[c.id]; !open {
		return
	}
	delete(t.conns, c.id)
	t.home.recorder.Record(recorder.Event{Kind: recorder.ConnectionClosed, Group: t.group.name, Instance: t.name})
	effects := t.pool.Step(pooler.Gone{Conn: c.id, Now: time.Now()})
	if !t.stopped {
		t.apply(effects)
	}
}
