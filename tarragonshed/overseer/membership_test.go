package overseer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

func TestMembership(t *testing.T) {
	t.Run("there is none before a confirmation", func(t *testing.T) {
		is := is.New(t)
		_, _, ok := served(t, "a", &memoryStore{}).Membership()
		is.True(!ok)
	})
	t.Run("a daemon that leaves says so", func(t *testing.T) {
		is := is.New(t)
		store := &memoryStore{}
		a, b := served(t, "a", store), served(t, "b", store)
		is.NoErr(a.read())
		is.NoErr(b.read())
		is.NoErr(b.Leave(t.Context()))
		is.NoErr(a.read())
		view, _, ok := a.Membership()
		is.True(ok)
		is.True(view.Members["b"].Removed > 0)
		is.True(view.Members["b"].Left)
		is.NoErr(served(t, "b", store).read())
		is.NoErr(a.read())
		view, _, _ = a.Membership()
		is.True(!view.Members["b"].Left)
	})
	t.Run("an odd speed or bandwidth counts as unknown", func(t *testing.T) {
		is := is.New(t)
		store := &memoryStore{}
		is.NoErr(served(t, "b", store).read())
		for _, odd := range []float64{-1, maxSpeed + 1, maxBandwidth + 1, math.Inf(1), math.NaN()} {
			self := Self{Daemon: "a", Incarnation: 1, Address: "a:1", Speed: odd, Bandwidth: odd}
			o := New(self, store, nil, func() unit.Instant { return 1 })
			t.Cleanup(o.Close)
			is.NoErr(o.read())
			before := store.commits
			is.NoErr(o.read())
			is.Equal(store.commits, before)
		}
	})
	t.Run("the time of listing is not that of an old view", func(t *testing.T) {
		is := is.New(t)
		store := &memoryStore{}
		a := served(t, "a", store)
		is.NoErr(a.refresh(t.Context()))
		confirmed, _ := a.auth.Confirmed()
		suspended := 20 * time.Second
		a.now = func() unit.Instant { return confirmed.Add(suspended) }
		is.NoErr(a.enlist(t.Context()))
		view, _, _ := a.Membership()
		is.Equal(view.Members["a"].Listed, store.moment().Now+suspended)
	})
}
