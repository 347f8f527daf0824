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

// DefaultSuspicion is how long an answer may be owed before the connection is
// suspected to be silent.
const DefaultSuspicion = 2 * time.Second

const (
	probeTimeout = time.Second
	probePause   = 20 * time.Millisecond
	// terminateTries is how often the instance is asked to end connections.
	terminateTries = 5
	// blindSuspicion is how many times longer the suspicion takes when the
	// instance can't tell whether a statement runs.
	blindSuspicion = 5
)

// suspect looks for connections that owe an answer for long.
func (t *target) suspect(now time.Time) {
	busy := false
	silent := make(map[pooler.Conn]time.Time)
	t.Each(func(id pooler.Conn, c *conn) {
		since, owes := c.waits()
		busy = busy || owes && now.Sub(since) > busyHeartbeat
		if owes && now.Sub(since) > t.home.suspicion {
			silent[id] = since
		}
	})
	for id, since := range silent {
		t.Suspect(id, since)
	}
	t.control.check(now, busy)
	t.group.strand(t, busy && !t.isReachable())
}

func (t *target) isReachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachable
}

// forsake closes the connections that owe an answer: the instance can't be
// reached and its term is over, so no answer could be given to the callers.
func (t *target) forsake() {
	t.Each(func(_ pooler.Conn, c *conn) {
		if _, owes := c.waits(); owes {
			c.Close()
		}
	})
}

// probe asks the instance about a suspect by a fresh connection.
func (t *target) probe(p pooler.Probe) {
	answered, runs := t.ask(p.Conn)
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

// terminate makes the instance end connections that it does not know to be
// closed, so that they count towards its limit no more and hold no locks.
func (t *target) terminate(pids []uint32) {
	for range terminateTries {
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

// tryTerminate returns the connections that are left to be ended, among them its
// own if that went silent as well.
func (t *target) tryTerminate(pids []uint32) []uint32 {
	ctx, stop := context.WithTimeout(t.home.ctx, probeTimeout)
	defer stop()
	e := t.endpoint
	e.application = controller.ApplicationName
	fresh, err := e.dialFresh(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil // The process is gone, and its connections with it.
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

// ask reports whether the instance answers a fresh connection, and whether it
// knows of a statement that runs on the connection. It asks twice, because a
// connection may be between two statements of a batch.
func (t *target) ask(id pooler.Conn) (answered, runs bool) {
	c, ok := t.Find(id)
	if !ok {
		return false, false
	}
	ctx, stop := context.WithTimeout(t.home.ctx, probeTimeout)
	defer stop()
	e := t.endpoint
	e.application = controller.ApplicationName
	fresh, err := e.dialFresh(ctx)
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
			return !fresh.IsClosed(), t.patient(c)
		}
		if active(results) {
			return true, true
		}
		select {
		case <-time.After(probePause):
		case <-ctx.Done():
		}
	}
	return true, false
}

// patient reports whether a statement is taken to run still on an instance that
// can't tell.
func (t *target) patient(c *conn) bool {
	since, _ := c.waits()
	return time.Since(since) < blindSuspicion*t.home.suspicion
}

// active reads "state/wait-event".
func active(results []*pgconn.Result) bool {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return false
	}
	state, event, _ := strings.Cut(string(results[0].Rows[0][0]), "/")
	return state == "active" && event != "ClientRead"
}
