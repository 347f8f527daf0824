package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

func pos(term unit.Term, index unit.Index) unit.Position {
	return unit.Position{Term: term, Index: index}
}

func ms(n int) unit.Instant { return unit.Instant(time.Duration(n) * time.Millisecond) }

func expectOldest(t *testing.T, f *Floors, since unit.Instant, want unit.Position, known bool) {
	t.Helper()
	is := is.NewRelaxed(t)
	p, ok := f.Oldest(since)
	is.Equal(p, want)
	is.Equal(ok, known)
}

func TestFloors(t *testing.T) {
	t.Run("the oldest position within the staleness bound", func(t *testing.T) {
		var f Floors
		f.Observe(pos(1, 10), ms(0))
		f.Observe(pos(1, 20), ms(100))
		f.Observe(pos(1, 30), ms(200))
		expectOldest(t, &f, ms(0), pos(1, 10), true)
		expectOldest(t, &f, ms(50), pos(1, 20), true)
		expectOldest(t, &f, ms(200), pos(1, 30), true)
		expectOldest(t, &f, ms(201), unit.Position{}, false)
	})
	t.Run("a late answer does not lower a position", func(t *testing.T) {
		var f Floors
		f.Observe(pos(1, 20), ms(100))
		f.Observe(pos(1, 10), ms(50))
		f.Observe(pos(1, 15), ms(150)) // An answer that arrives out of order.
		expectOldest(t, &f, ms(120), pos(1, 20), true)
	})
	t.Run("a higher term discards the positions of lower terms", func(t *testing.T) {
		is := is.New(t)
		var f Floors
		f.Observe(pos(1, 90), ms(100))
		f.Observe(pos(2, 70), ms(200))
		expectOldest(t, &f, ms(0), pos(2, 70), true)
		f.Observe(pos(1, 95), ms(300))
		expectOldest(t, &f, ms(201), unit.Position{}, false)
		is.Equal(f.RequiredPosition(pos(1, 90)), pos(2, 70)) // Below the first position of the new term, or rolled back.
		is.Equal(f.RequiredPosition(pos(2, 80)), pos(2, 80))
		is.Equal(f.RequiredPosition(unit.Position{}), unit.Position{})
	})
	t.Run("many observations keep the positions that reads need", func(t *testing.T) {
		is := is.New(t)
		var f Floors
		for n := range 20_000 { // One per millisecond.
			f.Observe(pos(1, unit.Index(n+1)), ms(n))
		}
		p, ok := f.Oldest(ms(20_000 - 2500))
		is.True(ok)
		is.True(p.Index >= 17_500)
		is.True(p.Index <= 17_600) // At most a few times minFloorInterval too high.
		is.True(len(f.entries) <= 2*maxFloors+1)
	})
}
