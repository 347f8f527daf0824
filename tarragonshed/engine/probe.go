package engine

import (
	"context"
	"sync"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

const (
	// silence is how long an instance may owe replies without sending any
	// before a fresh connection asks whether it lives.
	silence = 250 * time.Millisecond
	// probeTimeout bounds that question. An instance with all slots busy takes
	// some hundred milliseconds to accept a connection.
	probeTimeout = 400 * time.Millisecond
	// condemnation is how long after the first sign of trouble an instance that
	// answers neither a probe nor any statement is taken to be unreachable.
	condemnation = 350 * time.Millisecond
	// linkSilence is how long one connection may owe a reply while the
	// instance answers others. A longer silence is a lost connection.
	linkSilence = 4 * time.Second
)

// suspect notes a sign of trouble and asks the instance whether it lives.
func (t *target) suspect(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trouble.IsZero() {
		t.trouble = time.Now()
		t.engine.logger.Info("instance in trouble", "instance", t.instance.Name, "group", t.group.name, "cause", cause)
	}
	if !t.probing {
		t.probing = true
		go t.probe()
	}
}

// probe asks the instance by fresh connections until it answers or is taken to be
// unreachable.
func (t *target) probe() {
	for {
		ctx, stop := context.WithTimeout(t.engine.ctx, probeTimeout)
		asked := time.Now()
		conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, "")
		stop()
		if conn != nil {
			conn.Close()
		}
		alive := err == nil || err.Code == result.ConnectionsExhausted
		if t.probed(alive, err) || t.engine.ctx.Err() != nil {
			return
		}
		// An instance that refuses connections is asked again after a pause.
		time.Sleep(probePause - min(probePause, time.Since(asked)))
	}
}

// probePause is the time between two probes.
const probePause = 200 * time.Millisecond

// probed takes the answer to a probe in, and reports whether it was the last.
func (t *target) probed(alive bool, cause *result.Error) bool {
	t.mu.Lock()
	now := time.Now()
	// Replies that came after the instance was taken to be unreachable may have
	// come through another daemon.
	alive = alive || !t.unreachable && time.Unix(0, t.heard.Load()).After(t.trouble)
	refused := cause != nil && cause.Code == result.InstanceRefuses
	condemned := false
	switch {
	case alive:
		if t.unreachable {
			t.engine.logger.Info("instance reachable again", "instance", t.instance.Name, "after", now.Sub(t.trouble))
		}
		t.trouble, t.unreachable, t.probing, t.via = time.Time{}, false, false, ""
	case !t.unreachable && (refused || now.Sub(t.trouble) >= condemnation):
		t.unreachable, condemned = true, true
		t.engine.logger.Warn("instance unreachable", "instance", t.instance.Name, "group", t.group.name, "since", now.Sub(t.trouble), "cause", cause)
	}
	detour := t.unreachable && t.via == ""
	t.mu.Unlock()
	if condemned {
		t.abandon()
	}
	if detour {
		t.seekDetour()
	}
	return alive
}

// seekDetour looks for a daemon through which the instance is reached: the first that
// opens a connection. One that is cut off itself and does not know it yet opens none.
func (t *target) seekDetour() {
	if t.engine.others == nil {
		return
	}
	ctx, stop := context.WithTimeout(t.engine.ctx, openTimeout)
	defer stop()
	found := make(chan string)
	var tries sync.WaitGroup
	for _, via := range t.engine.others.Reaching(ctx, t.group.name, t.instance.Name) {
		tries.Go(func() {
			conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, via)
			if conn != nil {
				conn.Close()
			}
			if err != nil && err.Code != result.ConnectionsExhausted {
				return
			}
			select {
			case found <- via:
			case <-ctx.Done():
			}
		})
	}
	go func() {
		tries.Wait()
		close(found)
	}()
	if via, ok := <-found; ok {
		t.detour(via)
	}
}

// detour notes the daemon through which the instance is reached.
func (t *target) detour(via string) {
	t.mu.Lock()
	if t.unreachable {
		t.via = via
	}
	t.mu.Unlock()
	t.engine.logger.Info("instance reached through another daemon", "instance", t.instance.Name, "group", t.group.name, "via", via)
}

// abandon closes the connections that owe replies, so that those who wait learn
// at once that none will come.
func (t *target) abandon() {
	t.Each(func(_ pooler.Conn, l *link) { l.Close() })
}

// watch looks for connections that owe a reply for long.
func (t *target) watch(now time.Time) {
	silent := false
	var old []*link
	t.Each(func(_ pooler.Conn, l *link) {
		asked, owes := l.waiting()
		silent = silent || owes && now.Sub(asked) > silence
		if owes && now.Sub(asked) > linkSilence {
			old = append(old, l)
		}
	})
	t.mu.Lock()
	troubled := !t.trouble.IsZero()
	t.mu.Unlock()
	if silent && !troubled && now.Sub(time.Unix(0, t.heard.Load())) > silence {
		t.suspect(result.New(result.InstanceUnreachable, "replies are owed for %v", silence))
	}
	for _, l := range old {
		t.engine.logger.Warn("connection closed: its reply is overdue", "instance", t.instance.Name, "owed-for", linkSilence)
		l.Close()
	}
	t.Tick(now, !troubled)
}
