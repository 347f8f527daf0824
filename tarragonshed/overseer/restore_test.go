package overseer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// awaitRead reads the store until the daemon has rows of the store's era.
func awaitRead(t *testing.T, o *Overseer, store *memoryStore) {
	t.Helper()
	for o.read() != nil || o.era() != store.moment().Era {
		time.Sleep(time.Millisecond)
	}
}

// leading is the row of the group with the primary.
func leading(g unit.GroupName, primary unit.InstanceName, term unit.Term) authorizer.Leadership {
	return authorizer.Leadership{Group: g, State: authorizer.Leading, Primary: primary, Incarnation: 1, Term: term}
}

// putRow writes the row of a group.
func (s *memoryStore) putRow(t *testing.T, l authorizer.Leadership) {
	t.Helper()
	_, err := s.Commit(t.Context(), Transaction{Era: s.era, Puts: []Put{encode(groupKey(l.Group), l), epochPut()}})
	is.New(t).NoErr(err)
}

// pairWithRow returns two listed daemons whose clocks stand still, and the store, in whose
// rows a leads the group g.
func pairWithRow(t *testing.T) (store *memoryStore, first, second *Overseer) {
	t.Helper()
	is := is.New(t)
	store = &memoryStore{era: 1}
	store.rows.era = 1
	first, second = served(t, "d-1", store), served(t, "d-2", store)
	store.putRow(t, leading("g", "a", 1))
	for _, o := range []*Overseer{first, second, first} {
		o.now = func() unit.Instant { return unit.Instant(time.Hour) }
		is.NoErr(o.read())
	}
	return store, first, second
}

func TestRowsOfRestoredStoreAreUsedOnceOpened(t *testing.T) {
	t.Run("a primary in use stays in use", func(t *testing.T) {
		is := is.New(t)
		store, first, second := pairWithRow(t)
		c := store.copy()
		store.putRow(t, leading("g", "b", 2))
		is.NoErr(first.read())
		is.NoErr(second.read())
		store.restore(c)
		is.Equal(second.read(), errNotOpened)
		second.recordStoreSuccess() // Its reader has not seen the era yet.
		is.True(second.storeUnavailable(0))
		_, ok := second.Primary("g") // The authority of the earlier era.
		is.True(ok)
		awaitRead(t, first, store)
		awaitRead(t, second, store)
		for _, o := range []*Overseer{first, second} {
			l, ok := o.Primary("g")
			is.True(ok)
			is.Equal(l, leading("g", "b", 2))
		}
	})
	t.Run("a daemon that the store has lost is on the list", func(t *testing.T) {
		is := is.New(t)
		store, first, _ := pairWithRow(t)
		c := store.copy()
		third := served(t, "d-3", store)
		third.now = first.now
		is.NoErr(third.read())
		is.NoErr(first.read())
		store.restore(c)
		awaitRead(t, first, store)
		is.Equal(len(first.auth.View().Listed()), 3)
	})
	t.Run("without a recollection no primary is named", func(t *testing.T) {
		is := is.New(t)
		store, first, second := pairWithRow(t)
		first.Close()
		second.Close()
		second.auth, second.table = newAuthorizer(second.self), table{} // It has restarted, too.
		store.restore(store.copy())
		restarted := served(t, "d-1", store)
		restarted.self.Incarnation = 2
		restarted.auth = newAuthorizer(restarted.self)
		restarted.now = func() unit.Instant { return unit.Instant(2 * time.Hour) }
		is.Equal(restarted.read(), errNotOpened)
		restarted.mu.Lock()
		restarted.pending.seenAt -= unit.Instant(Lease)
		p := restarted.pending
		restarted.mu.Unlock()
		is.NoErr(restarted.open(p))
		is.NoErr(restarted.read())
		is.Equal(restarted.rowOf("g").State, authorizer.Changing)
		is.Equal(restarted.diagnose(manifest.Group{Name: "g"}, restarted.rowOf("g"), true), unestablished)
	})
	t.Run("a daemon that was asked to recall learns of the restore", func(t *testing.T) {
		is := is.New(t)
		store, first, second := pairWithRow(t)
		store.restore(store.copy())
		c := &primaryChange{Overseer: second, era: 1, row: leading("g", "a", 1)}
		is.True(!c.superseded())
		response, err := service{overseer: second}.Recall(t.Context(), connect.NewRequest(&peer.RecallRequest{Era: 2}))
		is.NoErr(err)
		is.Equal(response.Msg.Held, []string{"g"})
		is.Equal(len(response.Msg.Rows), len(second.table.rows))
		is.True(c.superseded())
		awaitRead(t, first, store)
		awaitRead(t, second, store)
		_, err = service{overseer: second}.Recall(t.Context(), connect.NewRequest(&peer.RecallRequest{Era: 2}))
		is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition) // The era is open.
	})
	t.Run("rows that the asking daemon has are not sent", func(t *testing.T) {
		is := is.New(t)
		store, first, second := pairWithRow(t)
		is.NoErr(second.read())
		store.restore(store.copy())
		response, err := service{overseer: second}.Recall(t.Context(), connect.NewRequest(&peer.RecallRequest{
			Era: 2, KnownEra: 1, KnownEpoch: first.table.epoch(),
		}))
		is.NoErr(err)
		is.Equal(len(response.Msg.Rows), 0)
		is.Equal(recollectionOf(response.Msg, first.auth.View()).View, first.auth.View())
	})
	t.Run("a store that names no era", func(t *testing.T) {
		is := is.New(t)
		store := &memoryStore{unopened: true}
		o := served(t, "d-1", store)
		is.Equal(o.read(), errNotOpened)
		for o.read() != nil {
			time.Sleep(time.Millisecond)
		}
		is.True(o.isListed())
	})
	t.Run("a store that is restored once more", func(t *testing.T) {
		is := is.New(t)
		store, first, second := pairWithRow(t)
		c := store.copy()
		store.restore(c)
		is.Equal(second.read(), errNotOpened)
		store.restore(c)
		awaitRead(t, first, store)
		awaitRead(t, second, store)
		is.Equal(second.era(), unit.Era(3))
	})
}

// interrupted is a store on which another daemon writes before the n-th transaction.
type interrupted struct {
	*memoryStore
	mu    sync.Mutex
	left  int
	other func()
}

func (s *interrupted) Commit(ctx context.Context, tx Transaction) (Moment, error) {
	s.mu.Lock()
	s.left--
	due := s.left == 0
	s.mu.Unlock()
	if due {
		s.other()
	}
	return s.memoryStore.Commit(ctx, tx)
}

func TestManyRowsOfRestoredStore(t *testing.T) {
	const groups = 3 * maxBatch
	// restored returns a daemon that knows many rows that the store has lost.
	restored := func(t *testing.T) (*memoryStore, *Overseer, pendingEra) {
		t.Helper()
		store, first, second := pairWithRow(t)
		second.Close()
		c := store.copy()
		for n := range groups {
			store.putRow(t, leading(unit.GroupName(fmt.Sprint("g-", n)), "a", 1))
		}
		is.New(t).NoErr(first.read())
		store.restore(c)
		return store, first, pendingEra{seen: true, era: 2, seenAt: first.now() - unit.Instant(Lease)}
	}
	t.Run("are written in several transactions", func(t *testing.T) {
		is := is.New(t)
		store, o, p := restored(t)
		is.NoErr(o.open(p))
		is.NoErr(o.read())
		is.Equal(len(o.auth.View().Leaderships), groups+1)
		is.Equal(o.table, store.rows)
	})
	t.Run("do not open the era if another daemon writes meanwhile", func(t *testing.T) {
		is := is.New(t)
		store, o, p := restored(t)
		late := encode(groupKey("g"), leading("g", "late", 9))
		o.store = &interrupted{memoryStore: store, left: 3, other: func() {
			_, err := store.Commit(t.Context(), Transaction{Era: 2, Puts: []Put{late, epochPut()}})
			is.NoErr(err)
		}}
		is.Equal(o.open(p), ErrConflict)
		is.True(!store.rows.open())
		is.NoErr(o.open(p))
		is.True(store.rows.open())
	})
}

// TestLateTransactionOfEarlierEra checks that a transaction that is executed only after a restore
// changes nothing, although the versions that it expects were given out again.
func TestLateTransactionOfEarlierEra(t *testing.T) {
	is := is.New(t)
	store, first, second := pairWithRow(t)
	c := store.copy()
	for range 10 {
		store.putRow(t, leading("g", "b", 2))
	}
	is.NoErr(second.read())
	tx := Transaction{Era: 1, Expected: []Expectation{second.table.expect(groupKey("g")), second.table.expect(eraKey(1))}}
	store.restore(c)
	awaitRead(t, first, store)
	for store.rows.expect(groupKey("g")).Version < tx.Expected[0].Version {
		store.putRow(t, leading("g", "b", 2))
	}
	is.Equal(store.rows.expect(groupKey("g")), tx.Expected[0])
	epoch := store.epoch
	_, err := store.Commit(t.Context(), tx)
	is.True(err != nil)
	is.Equal(store.epoch, epoch) // It was not executed.
	_, err = second.commit(t.Context(), Transaction{Era: 3})
	is.Equal(err, ErrOtherEra) // It is not sent.
}

func TestLeaderOf(t *testing.T) {
	group := manifest.Group{Instances: []manifest.Instance{{Name: "a"}, {Name: "b"}}}
	// check checks which instance leads the group according to the statuses.
	check := func(t *testing.T, statuses map[unit.InstanceName]engine.InstanceStatus, want unit.InstanceName) {
		t.Helper()
		is := is.New(t)
		leader, ok := leaderOf(group, statuses)
		is.Equal(ok, want != "")
		is.Equal(leader, want)
	}
	primary := func(term unit.Term) engine.InstanceStatus {
		return engine.InstanceStatus{Primary: true, Term: term}
	}
	replica := func(term unit.Term) engine.InstanceStatus { return engine.InstanceStatus{Term: term} }
	t.Run("the only primary", func(t *testing.T) {
		check(t, map[unit.InstanceName]engine.InstanceStatus{"a": primary(2), "b": replica(2)}, "a")
	})
	t.Run("of two primaries the one in the later term", func(t *testing.T) {
		check(t, map[unit.InstanceName]engine.InstanceStatus{"a": primary(1), "b": primary(2)}, "b")
	})
	t.Run("two primaries in one term, of which one does not know that it was replaced", func(t *testing.T) {
		check(t, map[unit.InstanceName]engine.InstanceStatus{"a": primary(2), "b": primary(2)}, "")
	})
	t.Run("a primary whose term has ended", func(t *testing.T) {
		check(t, map[unit.InstanceName]engine.InstanceStatus{"a": primary(1), "b": replica(2)}, "")
	})
	t.Run("an instance does not respond", func(t *testing.T) {
		check(t, map[unit.InstanceName]engine.InstanceStatus{"a": primary(2)}, "")
	})
	t.Run("no primary", func(t *testing.T) {
		check(t, map[unit.InstanceName]engine.InstanceStatus{"a": replica(2), "b": replica(2)}, "")
	})
}

func TestPrimaryIsEstablishedAfterRestore(t *testing.T) {
	// establish returns the row that a daemon writes for a group of a and b.
	establish := func(t *testing.T, statuses map[unit.InstanceName]engine.InstanceStatus) (authorizer.Leadership, bool) {
		t.Helper()
		is := is.New(t)
		g := newStrainedGroup(10)
		g.statuses = statuses
		o, store := overseen(t, g)
		row := authorizer.Leadership{Group: "g", State: authorizer.Changing, Primary: "a", Incarnation: 1, Term: 1}
		store.putRow(t, row)
		is.NoErr(o.read())
		ok := o.establish(g.Manifest().Groups[0], row)
		is.NoErr(o.read())
		return o.rowOf("g"), ok
	}
	t.Run("that was promoted in the lost rows", func(t *testing.T) {
		is := is.New(t)
		row, ok := establish(t, map[unit.InstanceName]engine.InstanceStatus{"a": {Term: 2}, "b": {Primary: true, Term: 2}})
		is.True(ok)
		is.Equal(row, leading("g", "b", 2))
	})
	t.Run("unless the instances do not show it", func(t *testing.T) {
		is := is.New(t)
		row, ok := establish(t, map[unit.InstanceName]engine.InstanceStatus{"a": {Term: 2}})
		is.True(!ok)
		is.Equal(row.State, authorizer.Changing)
	})
}
