package reshuffler_test

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonbench/reshuffler"
)

func TestCompare(t *testing.T) {
	near := func(t *testing.T, got, want float64) {
		t.Helper()
		if got < want*0.9 || got > want*1.1 {
			t.Fatalf("%v is not near %v", got, want)
		}
	}
	t.Run("rendezvous moves no more than it has to", func(t *testing.T) {
		r := reshuffler.Compare(reshuffler.Rendezvous, 12, 960, 20)
		near(t, r.JoinMoves, r.IdealJoin)
		near(t, r.LeaveMoves, r.IdealLeave)
	})
	t.Run("a patched table moves no more than it has to", func(t *testing.T) {
		r := reshuffler.Compare(reshuffler.PatchedTable, 12, 960, 20)
		near(t, r.JoinMoves, r.IdealJoin)
		near(t, r.LeaveMoves, r.IdealLeave)
	})
	t.Run("a table made anew moves more", func(t *testing.T) {
		r := reshuffler.Compare(reshuffler.BucketTable, 12, 960, 20)
		is.New(t).True(r.LeaveMoves > 2*r.IdealLeave)
	})
	t.Run("one daemon has all of the load", func(t *testing.T) {
		near(t, reshuffler.Compare(reshuffler.Rendezvous, 4, 1, 10).Skew, 4)
	})
}
