package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// TestIdleTimeoutLeavesRoomForRestart guards against idle connections that leave no room
// for restarted daemons. With 59 connections per instance for 27 daemons, second
// connections kept for 4 s left too few after a power loss, because the instances counted
// the old and the new ones for 3 s.
func TestIdleTimeoutLeavesRoomForRestart(t *testing.T) {
	check := func(t *testing.T, connections, daemons int, want string) {
		t.Helper()
		e := New(nil, nil, func() unit.Instant { return 0 })
		defer e.Close()
		e.started = time.Now().Add(-startingDuration)
		e.SetDaemons(someDaemons(daemons))
		_, pool := e.limits(manifest.Instance{Slots: 5, Connections: connections})
		is.New(t).Equal(pool.IdleTimeout.String(), want)
		is.New(t).Equal(pool.Warm, 1) // There is room for this one after a restart.
	}
	t.Run("two connections per daemon", func(t *testing.T) { check(t, 59, 27, "300ms") })
	t.Run("six connections per daemon", func(t *testing.T) { check(t, 204, 32, "4s") })
	t.Run("few daemons", func(t *testing.T) { check(t, 22, 4, "4s") })
}

// TestStartingDaemonKeepsNoUnusedConnection guards against restarts that exhaust the
// connections: after a power loss of 118 daemons before instances with 173 connections each,
// the first 55 daemons held their warm connections while the instances still counted those
// from before, and the others were refused for 2 s.
func TestStartingDaemonKeepsNoUnusedConnection(t *testing.T) {
	check := func(t *testing.T, connections, daemons, warm int) {
		t.Helper()
		e := New(nil, nil, func() unit.Instant { return 0 })
		defer e.Close()
		e.SetDaemons(someDaemons(daemons))
		_, pool := e.limits(manifest.Instance{Slots: 4, Connections: connections})
		is := is.New(t)
		is.Equal(pool.Warm, warm)
		is.Equal(pool.IdleTimeout == unusedTimeout, warm == 0)
	}
	t.Run("one connection per daemon", func(t *testing.T) { check(t, 173, 118, 0) })
	t.Run("the number of daemons is not known", func(t *testing.T) { check(t, 173, 10_000, 0) })
	t.Run("few daemons", func(t *testing.T) { check(t, 22, 4, 1) })
}
