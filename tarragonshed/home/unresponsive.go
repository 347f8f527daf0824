package home

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"tarragonshed.example/pooler"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/controller"
)

// DefaultSuspicionTimeout is how long a response may be pending before the connection
// is suspected to be unresponsive.
const DefaultSuspicionTimeout = 2 * time.Second

const (
	probeTimeout  = time.Second
	probeInterval = 20 * time.Millisecond
	// terminateAttempts is how often the instance is asked to terminate connections.
	terminateAttempts = 5
	// unknownStateFactor multiplies the suspicion timeout when the instance can't
	// report whether a statement is running.
	unknownStateFactor = 5
)

// suspect looks for connections on which a response has been pending for longer than
// the suspicion timeout.
func (t *target) suspect(now time.Time) {
	busy := false
	unresponsive := make(map[pooler.Conn]time.Time)
	t.Each(func(id pooler.Conn, c *conn) {
		since, pending := c.unansweredSince()
		busy = busy || pending && now.Sub(since) > busyHeartbeatInterval
		if pending && now.Sub(since) > t.home.suspicionTimeout {
			unresponsive[id] = since
		}
	})
	for id, since := range unresponsive {
		t.Suspect(id, since)
	}
	t.control.check(now, busy)
	t.group.setUnreachable(t, busy && !t.isReachable())
}

func (t *target) isReachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachable
}

// closePending closes the connections with pending responses. The instance can't be
// reached and its term has ended, so no response could be forwarded to the callers.
func (t *target) closePending() {
	t.Each(func(_ pooler.Conn, c *conn) {
		if _, pending := c.unansweredSince(); pending {
			c.Close()
		}
	})
}

// probe asks the instance about a suspected connection over a new connection, and
// closes the suspected connection if it is unresponsive.
func (t *target) probe(p pooler.Probe) {
	answered, runs := t.queryState(p.Conn)
	closed := t.Probed(pooler.Probed{Conn: p.Conn, UnresponsiveSince: p.UnresponsiveSince, Answered: answered, ControlLost: !t.isReachable(), StatementRunning: runs})
	if len(closed) == 0 {
		return
	}
	t.record(recorder.ConnectionSilent)
	if answered {
		pids := make([]uint32, len(closed))
		for n, c := range closed {
			pids[n] = c.pid
		}
		go t.terminate(pids)
	}
}

// terminate makes the instance terminate connections that it does not know to be
// closed, so that they hold no locks and do not count towards its connection limit.
func (t *target) terminate(pids []uint32) {
	for range terminateAttempts {
		pids = t.tryTerminate(pids)
		if len(pids) == 0 {
			return
		}
		select {
		case <-time.After(probeTimeout):
		case <-t.home.ctx.Done():
			return
		}
	}
}

// tryTerminate makes one attempt and returns the connections that remain, including
// its own if that became unresponsive too.
func (t *target) tryTerminate(pids []uint32) []uint32 {
	ctx, stop := context.WithTimeout(t.home.ctx, probeTimeout)
	defer stop()
	e := t.endpoint
	e.application = controller.ApplicationName
	fresh, err := e.dialPgConn(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil // The process has ended, and so have its connections.
	}
	if err != nil {
		return pids
	}
	defer fresh.Close(ctx)
	for n, pid := range pids {
		if _, err := fresh.Exec(ctx, controller.TerminateQuery(pid)).ReadAll(); err != nil {
			return append(slices.Clone(pids[n:]), fresh.PID())
		}
	}
	return nil
}

// queryState reports whether the instance answers on a new connection, and whether a
// statement is running on the given connection. It queries twice, because a
// connection may be between two statements of a batch.
func (t *target) queryState(id pooler.Conn) (answered, runs bool) {
	c, ok := t.Find(id)
	if !ok {
		return false, false
	}
	ctx, stop := context.WithTimeout(t.home.ctx, probeTimeout)
	defer stop()
	e := t.endpoint
	e.application = controller.ApplicationName
	fresh, err := e.dialPgConn(ctx)
	if err != nil {
		return false, false
	}
	defer fresh.Close(ctx)
	query := fmt.Sprintf("SELECT state || '/' || coalesce(wait_event, '') FROM pg_stat_activity WHERE pid = %d", c.pid)
	for range 2 {
		results, err := fresh.Exec(ctx, query).ReadAll()
		if err != nil {
			if ctx.Err() != nil {
				go t.terminate([]uint32{fresh.PID()})
			}
			return !fresh.IsClosed(), t.presumedRunning(c)
		}
		if isActive(results) {
			return true, true
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
		}
	}
	return true, false
}

// presumedRunning reports whether a statement is presumed to be running on an
// instance that can't report it.
func (t *target) presumedRunning(c *conn) bool {
	since, _ := c.unansweredSince()
	return time.Since(since) < unknownStateFactor*t.home.suspicionTimeout
}

// isActive parses "state/wait-event" and reports whether a statement is running.
func isActive(results []*pgconn.Result) bool {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return false
	}
	state, event, _ := strings.Cut(string(results[0].Rows[0][0]), "/")
	return state == "active" && event != "ClientRead"
}
