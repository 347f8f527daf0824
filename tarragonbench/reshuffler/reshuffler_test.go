package reshuffler_test

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonbench/reshuffler"
)

func TestCompare(t *testing.T) {
	assertNear := func(t *testing.T, got, want float64) {
		t.Helper()
		if got < want*0.9 || got > want*1.1 {
			t.Fatalf("got %v, want %v within 10%%", got, want)
		}
	}
	t.Run("rendezvous hashing moves the smallest possible share", func(t *testing.T) {
		r := reshuffler.Compare(reshuffler.Rendezvous, 12, 960, 20)
		assertNear(t, r.JoinMoves, r.IdealJoin)
		assertNear(t, r.LeaveMoves, r.IdealLeave)
	})
	t.Run("a patched table moves the smallest possible share", func(t *testing.T) {
		r := reshuffler.Compare(reshuffler.PatchedTable, 12, 960, 20)
		assertNear(t, r.JoinMoves, r.IdealJoin)
		assertNear(t, r.LeaveMoves, r.IdealLeave)
	})
	t.Run("a rebuilt table moves more than twice the smallest possible share on a leave", func(t *testing.T) {
		r := reshuffler.Compare(reshuffler.BucketTable, 12, 960, 20)
		is.New(t).True(r.LeaveMoves > 2*r.IdealLeave)
	})
	t.Run("skew is the number of daemons if one daemon has all of the load", func(t *testing.T) {
		assertNear(t, reshuffler.Compare(reshuffler.Rendezvous, 4, 1, 10).Skew, 4)
	})
}
