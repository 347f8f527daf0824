package overseer

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
)

// TestRowsOfRestoredStore checks that rows are read whole when the store was restored, also
// if a version was given out again.
func TestRowsOfRestoredStore(t *testing.T) {
	// restored returns a store whose newest row has the version that another one had before,
	// and two daemons that have read the earlier rows.
	restored := func(t *testing.T) (store *memoryStore, reader, other *Overseer) {
		t.Helper()
		is := is.New(t)
		store = &memoryStore{}
		reader, other = served(t, "a", store), served(t, "b", store)
		is.NoErr(reader.read())
		is.NoErr(other.read())
		is.NoErr(reader.read())
		c := store.copy()
		store.put(t, "lost")
		is.NoErr(reader.read())
		is.NoErr(other.read())
		store.restore(c)
		store.open()
		is.Equal(store.rows.epoch(), reader.table.epoch())
		return store, reader, other
	}
	// checkRows checks that the daemon has the rows of the store.
	checkRows := func(t *testing.T, o *Overseer, store *memoryStore) {
		t.Helper()
		is := is.New(t)
		is.Equal(o.table, store.rows)
		_, lost := o.auth.View().Leaderships["lost"]
		is.True(!lost)
	}
	t.Run("are read by a reader", func(t *testing.T) {
		store, reader, _ := restored(t)
		is.New(t).NoErr(reader.read())
		checkRows(t, reader, store)
	})
	t.Run("are relayed to a daemon of the earlier era", func(t *testing.T) {
		is := is.New(t)
		store, reader, other := restored(t)
		is.NoErr(reader.read())
		is.NoErr(relay(other, reader))
		checkRows(t, other, store)
	})
	t.Run("are not replaced by relayed ones of the earlier era", func(t *testing.T) {
		is := is.New(t)
		store, reader, other := restored(t)
		is.NoErr(other.read())
		is.NoErr(relay(other, reader))
		checkRows(t, other, store)
	})
	t.Run("end a change that was claimed before", func(t *testing.T) {
		is := is.New(t)
		store, reader, _ := restored(t)
		c := &primaryChange{Overseer: reader, row: authorizer.Leadership{Group: "lost"}}
		is.True(!c.superseded())
		_, err := store.Commit(t.Context(), Transaction{Era: c.era})
		is.Equal(err, ErrOtherEra)
		is.NoErr(reader.read())
		is.True(c.superseded())
		_, _, err = c.readRow(t.Context())
		is.Equal(err, ErrOtherEra)
	})
}
