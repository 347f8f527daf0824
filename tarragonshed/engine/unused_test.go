package engine

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// TestRoomForARestart is what days that end without power showed: at 59 connections an
// instance for 27 daemons, second connections that were kept for 4 s left too few for
// the daemons that started again, because the instances counted both for 3 s.
func TestRoomForARestart(t *testing.T) {
	keeps := func(t *testing.T, connections, daemons int, want string) {
		t.Helper()
		e := New(nil, nil, func() unit.Instant { return 0 })
		defer e.Close()
		e.SetDaemonCount(daemons)
		_, pool := e.limits(manifest.Instance{Slots: 5, Connections: connections})
		is.New(t).Equal(pool.Unused.String(), want)
		is.New(t).Equal(pool.Warm, 1) // A restart finds room for this one.
	}
	t.Run("two for each daemon", func(t *testing.T) { keeps(t, 59, 27, "300ms") })
	t.Run("six for each daemon", func(t *testing.T) { keeps(t, 204, 32, "4s") })
	t.Run("few daemons", func(t *testing.T) { keeps(t, 22, 4, "4s") })
}
