package overseer

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// readerAndOther returns two daemons on one member list, the reader of their region first.
func readerAndOther(t *testing.T) (reader, other *Overseer) {
	t.Helper()
	is := is.New(t)
	store := &memoryStore{}
	a, b := served(t, "a", store), served(t, "b", store)
	for range 2 { // The daemon that reads first needs a second read to see the other's row.
		is.NoErr(a.read())
		is.NoErr(b.read())
	}
	if a.ReadsStore() {
		return a, b
	}
	return b, a
}

// TestReadsStore guards against redundant reads while the store is unavailable: in an
// outage of 3 s, each of 32 daemons read all tables itself 3.6 times a second.
func TestReadsStore(t *testing.T) {
	t.Run("the reader of the region", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		is.True(reader.ReadsStore())
		is.True(!other.ReadsStore())
	})
	t.Run("a daemon whose reader has failed", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		other.readerFailedAt[reader.self.Daemon] = time.Now()
		is.True(other.ReadsStore())
	})
	t.Run("only the readers while the store is unavailable", func(t *testing.T) {
		is := is.New(t)
		reader, other := readerAndOther(t)
		other.readerFailedAt[reader.self.Daemon] = time.Now()
		reader.recordStoreFailure(errors.New("refused"))
		other.recordStoreFailure(errors.New("refused"))
		is.True(reader.ReadsStore())
		is.True(!other.ReadsStore())
	})
	t.Run("a daemon without a member list", func(t *testing.T) {
		is := is.New(t)
		o := served(t, "a", &memoryStore{})
		o.recordStoreFailure(errors.New("refused"))
		is.True(o.ReadsStore())
	})
}

func TestReaders(t *testing.T) {
	two := readers{{ID: "a"}, {ID: "b"}}
	// chosen checks which reader a daemon selects. An empty name means that it reads the
	// store itself.
	chosen := func(t *testing.T, self unit.DaemonID, turn int, want unit.DaemonID, failed ...unit.DaemonID) {
		t.Helper()
		is := is.NewRelaxed(t)
		m, ok := two.choose(self, turn, func(d unit.DaemonID) bool { return slices.Contains(failed, d) })
		is.Equal(ok, want != "")
		if ok {
			is.Equal(m.ID, want)
		}
	}
	t.Run("rotate", func(t *testing.T) {
		chosen(t, "z", 6, "a")
		chosen(t, "z", 7, "b")
	})
	t.Run("read the store themselves", func(t *testing.T) { chosen(t, "b", 6, "") })
	t.Run("are skipped after a failure", func(t *testing.T) {
		chosen(t, "z", 6, "b", "a")
		chosen(t, "z", 7, "b", "a")
		chosen(t, "z", 7, "a", "b")
		chosen(t, "z", 6, "", "a", "b")
	})
	t.Run("are unknown", func(t *testing.T) {
		is.New(t).True(readers(nil).mustRead("z"))
	})
}

func TestVMWithASlowLinkIsNoReaderBesideFastOnes(t *testing.T) {
	const domain, slow, fast = "shed", 10, 200
	o := New(Self{Daemon: "a", Domain: domain}, &memoryStore{}, nil, (&clock{}).now)
	t.Cleanup(o.Close)
	// readersAmong returns the readers of daemons whose VMs have the bandwidths.
	readersAmong := func(bandwidths ...float64) readers {
		view := authorizer.View{Members: make(map[unit.DaemonID]authorizer.Member)}
		for n, b := range bandwidths {
			id := unit.DaemonID(fmt.Sprint("daemon-", n))
			view.Members[id] = authorizer.Member{Daemon: id, Domain: domain, Bandwidth: b}
		}
		return o.readersOf(view)
	}
	t.Run("one fast among many", func(t *testing.T) {
		for at := range 20 {
			bandwidths := slices.Repeat([]float64{slow}, 20)
			bandwidths[at] = fast
			chosen := readersAmong(bandwidths...)
			is := is.New(t)
			is.Equal(len(chosen), 1)
			is.Equal(chosen[0].ID, unit.DaemonID(fmt.Sprint("daemon-", at)))
		}
	})
	t.Run("fewer fast ones than readers", func(t *testing.T) {
		bandwidths := slices.Repeat([]float64{slow}, 2*daemonsPerReader)
		bandwidths[7] = fast
		chosen := readersAmong(bandwidths...)
		is := is.New(t)
		is.Equal(len(chosen), 3)
		is.Equal(chosen[0].ID, unit.DaemonID("daemon-7"))
	})
	t.Run("unknown bandwidths", func(t *testing.T) {
		is.New(t).Equal(len(readersAmong(0, 0, 0)), 1)
	})
}
