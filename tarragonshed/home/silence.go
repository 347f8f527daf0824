package home

import (
	"context"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/controller"
)

// DefaultSuspicion is how long an answer may be owed before the connection is
// suspected to be silent.
const DefaultSuspicion = 2 * time.Second

const probeTimeout = time.Second

// suspect looks for connections that owe an answer for long.
func (t *target) suspect(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.conns {
		since, heard, owes := c.waits()
		if owes && now.Sub(since) > t.home.suspicion {
			t.apply(t.pool.Step(pooler.Suspect{Conn: id, Heard: heard}))
		}
	}
}

// probe asks the instance about a suspect by a fresh connection.
func (t *target) probe(p pooler.Probe) {
	answered, runs := t.ask(p.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	effects := t.pool.Step(pooler.Probed{Conn: p.Conn, Heard: p.Heard, Answered: answered, Runs: runs})
	if len(effects) > 0 {
		t.home.recorder.Record(recorder.Event{Kind: recorder.ConnectionSilent, Group: t.group.name, Instance: t.name})
	}
	t.apply(effects)
}

// ask reports whether the instance answers a fresh connection, and whether it
// knows of a statement that runs on the connection.
func (t *target) ask(id pooler.Conn) (answered, runs bool) {
	t.mu.Lock()
	c := t.conns[id]
	t.mu.Unlock()
	if c == nil {
		return false, false
	}
	ctx, stop := context.WithTimeout(t.home.ctx, probeTimeout)
	defer stop()
	options := []controller.Option{controller.WithDatabase(string(t.group.name)), controller.WithUser(t.home.user, t.home.password)}
	fresh, err := controller.Dial(ctx, t.home.dial, t.endpoint.address, options...)
	if err != nil {
		return false, false
	}
	defer fresh.Close()
	if _, err := fresh.Status(ctx); err != nil {
		return false, false
	}
	return true, false
}
