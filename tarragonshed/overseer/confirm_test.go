package overseer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// readerAndOther returns two daemons of a list, the reader of their region first.
func readerAndOther(t *testing.T) (reader, other *Overseer) {
	t.Helper()
	is := is.New(t)
	store := &memory{}
	a, b := served(t, "a", store), served(t, "b", store)
	for range 2 { // The first on the list has to hear of the second.
		is.NoErr(a.read())
		is.NoErr(b.read())
	}
	if a.Reads() {
		return a, b
	}
	return b, a
}

// TestReads is what the calls of a day of 32 daemons showed on which the store was away
// for 3 s: each daemon read all tables itself 3.6 times a second.
func TestReads(t *testing.T) {
	t.Run("one of the region", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		is.True(reader.Reads())
		is.True(!other.Reads())
	})
	t.Run("a daemon whose reader has failed", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		other.doubted[reader.self.Daemon] = time.Now()
		is.True(other.Reads())
	})
	t.Run("while the store is away nobody else", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		other.doubted[reader.self.Daemon] = time.Now()
		var relayed, own time.Duration
		for range 10 {
			own = reader.lost(errors.New("refused"))
			relayed = other.lost(errors.New("refused"))
		}
		is.True(reader.Reads())
		is.True(!other.Reads())
		is.True(relayed > own) // The reader looks for its return more often.
	})
	t.Run("a daemon that knows no others", func(t *testing.T) {
		is := is.New(t)
		o := served(t, "a", &memory{})
		o.lost(errors.New("refused"))
		is.True(o.Reads())
	})
}

func region(count int, names ...unit.DaemonID) readers {
	r := readers{count: count}
	for _, n := range names {
		r.order = append(r.order, member.Daemon{ID: n})
	}
	return r
}

// TestReadersFail is what a day showed on which the reader of ten daemons was cut off from
// the store for 12 s: each of them read it for itself.
func TestReadersFail(t *testing.T) {
	r := region(1, "a", "b", "c", "d")
	chosen := func(t *testing.T, self, want unit.DaemonID, doubted ...unit.DaemonID) {
		t.Helper()
		is := is.NewRelaxed(t)
		m, ok := r.choose(self, 0, func(d unit.DaemonID) bool { return slices.Contains(doubted, d) })
		is.Equal(m.ID, want)
		is.Equal(ok, want != "") // Otherwise it reads for itself.
	}
	t.Run("nobody", func(t *testing.T) {
		chosen(t, "a", "")
		chosen(t, "b", "a")
		chosen(t, "z", "a")
	})
	t.Run("the first", func(t *testing.T) {
		chosen(t, "b", "", "a")
		chosen(t, "c", "b", "a")
		chosen(t, "z", "b", "a")
	})
	t.Run("all that may be asked", func(t *testing.T) {
		chosen(t, "z", "", "a", "b", "c", "d")
	})
	t.Run("several readers take turns", func(t *testing.T) {
		is := is.New(t)
		two := region(2, "a", "b", "c")
		first, _ := two.choose("z", 6, func(unit.DaemonID) bool { return false })
		second, _ := two.choose("z", 7, func(unit.DaemonID) bool { return false })
		third, _ := two.choose("z", 7, func(d unit.DaemonID) bool { return d == "b" })
		is.Equal([]unit.DaemonID{first.ID, second.ID, third.ID}, []unit.DaemonID{"a", "b", "a"})
	})
}
