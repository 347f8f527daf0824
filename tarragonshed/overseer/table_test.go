package overseer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// memory is a store in memory that counts its calls.
type memory struct {
	mu       sync.Mutex
	rows     table
	history  []Row
	epoch    uint64
	forgot   bool
	commits  int
	readings int // Of all rows.
}

func (s *memory) Row(_ context.Context, key string) (Row, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows.rows[key], time.Second, nil
}

func (s *memory) Rows(context.Context) ([]Row, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readings++
	return s.rows.since(0), time.Second, nil
}

func (s *memory) Changes(_ context.Context, after uint64) ([]Row, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forgot {
		return nil, 0, ErrHistoryDropped
	}
	var changes []Row
	for _, row := range s.history {
		if row.Version > after {
			changes = append(changes, row)
		}
	}
	return changes, time.Second, nil
}

func (s *memory) Commit(_ context.Context, tx Transaction) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	for _, e := range tx.Expected {
		if s.rows.expect(e.Key) != e {
			return 0, ErrConflict
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
	return time.Second, nil
}

// forget drops the history of changes.
func (s *memory) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgot = true
}

// put writes the row of a group.
func (s *memory) put(t *testing.T, g unit.GroupName) {
	t.Helper()
	_, err := s.Commit(t.Context(), Transaction{Puts: []Put{encode(groupKey(g), authorizer.Leadership{Group: g}), epochPut()}})
	is.New(t).NoErr(err)
}

// drop drops the row of a group.
func (s *memory) drop(t *testing.T, g unit.GroupName) {
	t.Helper()
	_, err := s.Commit(t.Context(), Transaction{Puts: []Put{epochPut()}, Deletes: []string{groupKey(g)}})
	is.New(t).NoErr(err)
}

// clock goes on when it is told to.
type clock struct{ at atomic.Int64 }

// now never returns the same moment twice.
func (c *clock) now() unit.Instant { return unit.Instant(c.at.Add(1)) }

// served returns an overseer whose service runs, but that does nothing by itself.
func served(t *testing.T, daemon unit.DaemonID, store Store) *Overseer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	o := New(Self{Daemon: daemon, Incarnation: 1, Address: l.Addr().String()}, store, nil, (&clock{}).now)
	mux := http.NewServeMux()
	mux.Handle(o.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // Ends with the test.
	t.Cleanup(func() { _ = server.Close(); o.Close() })
	return o
}

// relay lets o take the reader's confirmation as it is.
func relay(o, reader *Overseer) error {
	_, err := o.relayFrom(reader.self.Address, 0, relayedAge)
	return err
}

// TestEnlistOnce is what the sweep over 100 daemons showed: a daemon that had put
// itself on the list did so again and again until its reader knew of it.
func TestEnlistOnce(t *testing.T) {
	is := is.New(t)
	store := &memory{}
	reader, o := served(t, "a", store), served(t, "b", store)
	is.NoErr(reader.read())
	is.NoErr(relay(o, reader))
	for range 5 { // The reader does not read again.
		is.NoErr(o.enlist(t.Context()))
		is.NoErr(relay(o, reader))
	}
	is.Equal(store.commits, 2) // One for each daemon.
}

// TestRelayedChanges: whoever knows the rows of an epoch is sent what came later.
func TestRelayedChanges(t *testing.T) {
	is := is.New(t)
	store := &memory{}
	store.put(t, "kept")
	store.put(t, "dropped")
	reader, o := served(t, "a", store), served(t, "b", store)
	agree := func() {
		t.Helper()
		is.NoErr(reader.read())
		is.NoErr(relay(o, reader))
		is.Equal(o.table, store.rows)
		is.Equal(reader.table, store.rows)
	}
	agree()
	store.put(t, "new")
	agree()
	store.drop(t, "dropped")
	agree()
	store.put(t, "newest")
	store.forget()
	readings := store.readings
	agree()
	is.Equal(store.readings, readings+1) // The history is gone.
}

// TestOlderRelay: a daemon that knows newer rows than its reader keeps them.
func TestOlderRelay(t *testing.T) {
	is := is.New(t)
	store := &memory{}
	reader, o := served(t, "a", store), served(t, "b", store)
	is.NoErr(reader.read())
	store.put(t, "new")
	is.NoErr(o.read())
	is.NoErr(relay(o, reader))
	is.Equal(o.table, store.rows)
}

// TestHeldRelay: a reader answers when the store has confirmed the rows once more, so
// what it passes on is young, however long the question waited.
func TestHeldRelay(t *testing.T) {
	for name, next := range map[string]func(*memory){
		"unchanged rows":   func(*memory) {},
		"changed rows":     func(s *memory) { s.put(t, "new") },
		"all rows, afresh": func(s *memory) { s.put(t, "new"); s.forget() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memory{}
			reader, o := served(t, "a", store), served(t, "b", store)
			is.NoErr(reader.read())
			is.NoErr(relay(o, reader))
			before, _ := o.auth.Confirmed()
			answered := make(chan error, 1)
			go func() {
				_, err := o.relayFrom(reader.self.Address, time.Minute, relayedAge)
				answered <- err
			}()
			for waiting := true; waiting; { // The question comes at some time.
				select {
				case err := <-answered:
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

// TestRingMakesNoReads: that a daemon asks the next one whether it lives does not make
// that one ask the store.
func TestRingMakesNoReads(t *testing.T) {
	is := is.New(t)
	store := &memory{}
	first, second := served(t, "a", store), served(t, "b", store)
	is.NoErr(second.read())
	is.NoErr(first.read())
	is.NoErr(second.read())
	first.pruneOnce()
	is.Equal(len(second.wake), 0)
	is.True(!first.heard["b"].IsZero())
}
