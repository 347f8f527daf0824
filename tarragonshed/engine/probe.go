package engine

import (
	"context"
	"sync"
	"time"

	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
)

const (
	// replyTimeout is how long an instance may have requests in flight without sending any
	// reply before it is suspected and probed over a new connection.
	replyTimeout = 250 * time.Millisecond
	// probeTimeout bounds one probe. An instance whose slots are all busy takes some
	// hundred milliseconds to accept a connection.
	probeTimeout = 400 * time.Millisecond
	// unreachableAfter is how long an instance is suspected, without answering a probe or
	// a statement, before it is considered unreachable.
	unreachableAfter = 350 * time.Millisecond
	// linkReplyTimeout is how long one connection may wait for a reply while the instance
	// replies on others. After that the connection is considered lost.
	linkReplyTimeout = 4 * time.Second
)

// suspect records the first failure of the instance and starts probing it.
func (t *target) suspect(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspectSince.IsZero() {
		t.suspectSince = time.Now()
		t.engine.logger.Info("instance suspected", "instance", t.instance.Name, "group", t.group.name, "cause", cause)
	}
	if !t.probing {
		t.probing = true
		go t.probe()
	}
}

// probe opens new connections to the instance until it answers. It continues after the
// instance is considered unreachable, to detect that it is reachable again.
func (t *target) probe() {
	for {
		ctx, stop := context.WithTimeout(t.engine.ctx, probeTimeout)
		startedAt := time.Now()
		conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, "", "")
		stop()
		if conn != nil {
			conn.Close()
		}
		alive := err == nil || err.Code == result.ConnectionsExhausted
		if t.handleProbeResult(alive, err) || t.engine.ctx.Err() != nil {
			return
		}
		// Keeps the interval if the instance refuses connections at once.
		time.Sleep(probeInterval - min(probeInterval, time.Since(startedAt)))
	}
}

// probeInterval is the least time from the start of one probe to the next.
const probeInterval = 200 * time.Millisecond

// handleProbeResult applies the result of a probe and reports whether it was the last.
func (t *target) handleProbeResult(alive bool, cause *result.Error) bool {
	t.mu.Lock()
	now := time.Now()
	// Replies that arrive once the instance is considered unreachable don't count: they
	// may have come through another daemon.
	alive = alive || !t.unreachable && time.Unix(0, t.lastReply.Load()).After(t.suspectSince)
	refused := cause != nil && cause.Code == result.InstanceRefuses
	becameUnreachable := false
	switch {
	case alive:
		if t.unreachable {
			t.engine.logger.Info("instance reachable again", "instance", t.instance.Name, "after", now.Sub(t.suspectSince))
		}
		t.suspectSince, t.unreachable, t.probing, t.via = time.Time{}, false, false, ""
	case !t.unreachable && (refused || now.Sub(t.suspectSince) >= unreachableAfter):
		t.unreachable, becameUnreachable = true, true
		t.engine.logger.Warn("instance unreachable", "instance", t.instance.Name, "group", t.group.name, "since", now.Sub(t.suspectSince), "cause", cause)
	}
	needsTunnel := t.unreachable && t.via == ""
	t.mu.Unlock()
	if becameUnreachable {
		t.closeLinks()
	}
	if needsTunnel {
		t.findTunnel()
	}
	return alive
}

// findTunnel looks for a daemon through which the instance is reached and uses the first
// one that opens a connection. A daemon that is itself cut off but has not
// detected it yet opens none.
func (t *target) findTunnel() {
	if t.engine.peers == nil {
		return
	}
	ctx, stop := context.WithTimeout(t.engine.ctx, openTimeout)
	defer stop()
	found := make(chan string)
	var attempts sync.WaitGroup
	for _, via := range t.engine.peers.Reaching(ctx, t.group.name, t.instance.Name) {
		attempts.Go(func() {
			conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, "", via)
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
		attempts.Wait()
		close(found)
	}()
	if via, ok := <-found; ok {
		t.setTunnel(via)
	}
}

// setTunnel records the address of the daemon through which the instance is reached.
func (t *target) setTunnel(via string) {
	t.mu.Lock()
	if t.unreachable {
		t.via = via
	}
	t.mu.Unlock()
	t.engine.logger.Info("instance reached through another daemon", "instance", t.instance.Name, "group", t.group.name, "via", via)
}

// closeLinks closes all connections of the pool, so that waiting statements fail at once.
func (t *target) closeLinks() {
	t.Each(func(_ pooler.Conn, l *link) { l.Close() })
}

// checkReplies suspects the instance if replies are overdue, and closes the connections
// whose reply has been overdue for linkReplyTimeout.
func (t *target) checkReplies(now time.Time) {
	overdue := false
	var expired []*link
	t.Each(func(_ pooler.Conn, l *link) {
		since, inFlight := l.oldestInFlight()
		overdue = overdue || inFlight && now.Sub(since) > replyTimeout
		if inFlight && now.Sub(since) > linkReplyTimeout {
			expired = append(expired, l)
		}
	})
	t.mu.Lock()
	suspected := !t.suspectSince.IsZero()
	t.mu.Unlock()
	if overdue && !suspected && now.Sub(time.Unix(0, t.lastReply.Load())) > replyTimeout {
		t.suspect(result.New(result.InstanceUnreachable, "no reply for %v", replyTimeout))
	}
	for _, l := range expired {
		t.engine.logger.Warn("connection closed: no reply within the time limit", "instance", t.instance.Name, "owed-for", linkReplyTimeout)
		l.Close()
	}
	t.Tick(now, !suspected)
}
