package overseer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

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
	if a.ReadsStore() {
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
		is.True(reader.ReadsStore())
		is.True(!other.ReadsStore())
	})
	t.Run("a daemon whose reader has failed", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		other.doubted[reader.self.Daemon] = time.Now()
		is.True(other.ReadsStore())
	})
	t.Run("while the store is away nobody else", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		other.doubted[reader.self.Daemon] = time.Now()
		reader.lost(errors.New("refused"))
		other.lost(errors.New("refused"))
		is.True(reader.ReadsStore())
		is.True(!other.ReadsStore())
	})
	t.Run("a daemon that knows no others", func(t *testing.T) {
		is := is.New(t)
		o := served(t, "a", &memory{})
		o.lost(errors.New("refused"))
		is.True(o.ReadsStore())
	})
}

func TestReaders(t *testing.T) {
	two := readers{{ID: "a"}, {ID: "b"}}
	// chosen checks whom a daemon asks. Nobody means that it reads for itself.
	chosen := func(t *testing.T, self unit.DaemonID, turn int, want unit.DaemonID, doubted ...unit.DaemonID) {
		t.Helper()
		is := is.NewRelaxed(t)
		m, ok := two.choose(self, turn, func(d unit.DaemonID) bool { return slices.Contains(doubted, d) })
		is.Equal(ok, want != "")
		if ok {
			is.Equal(m.ID, want)
		}
	}
	t.Run("take turns", func(t *testing.T) {
		chosen(t, "z", 6, "a")
		chosen(t, "z", 7, "b")
	})
	t.Run("read for themselves", func(t *testing.T) { chosen(t, "b", 6, "") })
	t.Run("are doubted", func(t *testing.T) {
		chosen(t, "z", 6, "", "a")
		chosen(t, "z", 7, "b", "a")
	})
	t.Run("are not known", func(t *testing.T) {
		is.New(t).True(readers(nil).has("z"))
	})
}
