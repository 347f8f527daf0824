package overseer

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// memoryStore is an in-memory Store that counts calls.
type memoryStore struct {
	mu             sync.Mutex
	rows           table
	history        []Row
	epoch          uint64
	historyDropped bool
	era            unit.Era
	unopened       bool // Whether the daemons have to open the era.
	commits        int
	fullReads      int // The number of calls of Rows.
}

// moment returns the moment of a response. The first era is zero.
func (s *memoryStore) moment() Moment { return Moment{Era: s.era, Now: time.Second, Version: s.epoch} }

func (s *memoryStore) Row(_ context.Context, key string) (Row, Moment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows.rows[key], s.moment(), nil
}

func (s *memoryStore) Rows(context.Context) ([]Row, Moment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullReads++
	return s.rows.since(0), s.moment(), nil
}

func (s *memoryStore) Changes(_ context.Context, after unit.Revision) ([]Row, Moment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case after.Era != s.era:
		return nil, s.moment(), ErrOtherEra
	case s.historyDropped:
		return nil, s.moment(), ErrHistoryDropped
	}
	var changes []Row
	for _, row := range s.history {
		if row.Version > after.Version {
			changes = append(changes, row)
		}
	}
	return changes, s.moment(), nil
}

func (s *memoryStore) Commit(_ context.Context, tx Transaction) (Moment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	for _, e := range tx.Expected {
		if s.rows.expect(e.Key) != e {
			return s.moment(), s.inEra(tx, ErrConflict)
		}
	}
	s.epoch++
	var changes []Row
	for _, p := range tx.Puts {
		changes = append(changes, Row{Key: p.Key, Value: p.Value, Version: s.epoch})
	}
	for _, key := range tx.Deletes {
		changes = append(changes, Row{Key: key, Version: s.epoch, Deleted: true})
	}
	s.history = append(s.history, changes...)
	s.rows = s.rows.with(changes)
	return s.moment(), s.inEra(tx, nil)
}

// inEra returns err, or ErrOtherEra if the transaction is of another era.
func (s *memoryStore) inEra(tx Transaction, err error) error {
	if tx.Era != s.era {
		return ErrOtherEra
	}
	return err
}

// open opens the era.
func (s *memoryStore) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	opened := []Row{{Key: eraKey(s.era), Value: []byte("{}"), Version: s.epoch}, {Key: epochKey, Version: s.epoch}}
	s.history = append(s.history, opened...)
	s.rows = s.rows.with(opened)
}

// storeCopy is a copy of a memoryStore's rows.
type storeCopy struct {
	rows    table
	history []Row
	epoch   uint64
}

func (s *memoryStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: s.rows.with(nil), history: slices.Clone(s.history), epoch: s.epoch}
}

// restore replaces the rows by those of the copy and begins the next era.
func (s *memoryStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.unopened = true
	s.rows, s.history, s.epoch = c.rows.with(nil), slices.Clone(c.history), c.epoch
	s.rows.era = s.era
}

// forget drops the history of changes.
func (s *memoryStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyDropped = true
}

// put writes the row of a group.
func (s *memoryStore) put(t *testing.T, g unit.GroupName) {
	t.Helper()
	_, err := s.Commit(t.Context(), Transaction{Era: s.era, Puts: []Put{encode(groupKey(g), authorizer.Leadership{Group: g}), epochPut()}})
	is.New(t).NoErr(err)
}

// drop deletes the row of a group.
func (s *memoryStore) drop(t *testing.T, g unit.GroupName) {
	t.Helper()
	_, err := s.Commit(t.Context(), Transaction{Era: s.era, Puts: []Put{epochPut()}, Deletes: []string{groupKey(g)}})
	is.New(t).NoErr(err)
}

// clock advances with each reading.
type clock struct{ at atomic.Int64 }

// now returns a later time with each call.
func (c *clock) now() unit.Instant { return unit.Instant(c.at.Add(1)) }

// served returns an overseer whose service is reachable but that starts no background work.
func served(t *testing.T, daemon unit.DaemonID, store Store) *Overseer {
	t.Helper()
	if m, ok := store.(*memoryStore); ok && !m.unopened && !m.rows.open() {
		m.open()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	o := New(Self{Daemon: daemon, Incarnation: 1, Address: l.Addr().String()}, store, nil, (&clock{}).now)
	mux := http.NewServeMux()
	mux.Handle(o.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // Returns when the test ends.
	t.Cleanup(func() { _ = server.Close(); o.Close() })
	return o
}

// relay makes o obtain the reader's last confirmation.
func relay(o, reader *Overseer) error {
	_, err := o.relayFrom(reader.self.Address, 0, maxRelayedAge)
	return err
}

// TestEnlistOnce guards against repeated writes: with 100 daemons, a daemon wrote its row
// again and again until its reader had read it.
func TestEnlistOnce(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	reader, o := served(t, "a", store), served(t, "b", store)
	is.NoErr(reader.read())
	is.NoErr(relay(o, reader))
	for range 5 { // The reader does not read the store again.
		is.NoErr(o.enlist(t.Context()))
		is.NoErr(relay(o, reader))
	}
	is.Equal(store.commits, 2) // One for each daemon.
}

// TestRelayedChanges checks that a daemon with the rows of an earlier epoch obtains all
// later changes, including deletions, from its reader.
func TestRelayedChanges(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	store.put(t, "kept")
	store.put(t, "dropped")
	reader, o := served(t, "a", store), served(t, "b", store)
	relayAndCompare := func() {
		t.Helper()
		is.NoErr(reader.read())
		is.NoErr(relay(o, reader))
		is.Equal(o.table, store.rows)
		is.Equal(reader.table, store.rows)
	}
	relayAndCompare()
	store.put(t, "new")
	relayAndCompare()
	store.drop(t, "dropped")
	relayAndCompare()
	store.put(t, "newest")
	store.forget()
	fullReads := store.fullReads
	relayAndCompare()
	is.Equal(store.fullReads, fullReads+1) // The history was dropped.
}

// TestOlderRelay checks that a daemon keeps its rows if its reader has older ones.
func TestOlderRelay(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	reader, o := served(t, "a", store), served(t, "b", store)
	is.NoErr(reader.read())
	store.put(t, "new")
	is.NoErr(o.read())
	is.NoErr(relay(o, reader))
	is.Equal(o.table, store.rows)
}

// TestHeldRelay checks that a reader holds a request until the store has confirmed the rows
// again, so that the relayed confirmation is recent however long the request waited.
func TestHeldRelay(t *testing.T) {
	for name, next := range map[string]func(*memoryStore){
		"unchanged rows":                         func(*memoryStore) {},
		"changed rows":                           func(s *memoryStore) { s.put(t, "new") },
		"all rows after the history was dropped": func(s *memoryStore) { s.put(t, "new"); s.forget() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{}
			reader, o := served(t, "a", store), served(t, "b", store)
			is.NoErr(reader.read())
			is.NoErr(relay(o, reader))
			before, _ := o.auth.Confirmed()
			done := make(chan error, 1)
			go func() {
				_, err := o.relayFrom(reader.self.Address, time.Minute, maxRelayedAge)
				done <- err
			}()
			for waiting := true; waiting; { // The request arrives at an unknown time.
				select {
				case err := <-done:
					is.NoErr(err)
					waiting = false
				case <-time.After(10 * time.Millisecond):
					next(store)
					is.NoErr(reader.read())
				}
			}
			after, _ := o.auth.Confirmed()
			is.True(after > before)
		})
	}
}

// TestLivenessCheckDoesNotReadStore checks that the liveness check of the next daemon does
// not make that daemon read the store.
func TestLivenessCheckDoesNotReadStore(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	first, second := served(t, "a", store), served(t, "b", store)
	is.NoErr(second.read())
	is.NoErr(first.read())
	is.NoErr(second.read())
	first.pruneOnce()
	is.Equal(len(second.wake), 0)
	is.True(!first.respondedAt["b"].IsZero())
}
