package engine

import (
	"testing"

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
		e.SetDaemonCount(daemons)
		_, pool := e.limits(manifest.Instance{Slots: 5, Connections: connections})
		is.New(t).Equal(pool.IdleTimeout.String(), want)
		is.New(t).Equal(pool.Warm, 1) // There is room for this one after a restart.
	}
	t.Run("two connections per daemon", func(t *testing.T) { check(t, 59, 27, "300ms") })
	t.Run("six connections per daemon", func(t *testing.T) { check(t, 204, 32, "4s") })
	t.Run("few daemons", func(t *testing.T) { check(t, 22, 4, "4s") })
}
