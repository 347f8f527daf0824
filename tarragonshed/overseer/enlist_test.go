package overseer

import (
	"context"
	"errors"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// refusingStore refuses every request, as the store does towards some daemons in a partial
// outage.
type refusingStore struct{}

var errRefused = errors.New("refused")

func (refusingStore) Row(context.Context, string) (Row, Moment, error) {
	return Row{}, Moment{}, errRefused
}

func (refusingStore) Rows(context.Context) ([]Row, Moment, error) { return nil, Moment{}, errRefused }

func (refusingStore) Changes(context.Context, unit.Revision) ([]Row, Moment, error) {
	return nil, Moment{}, errRefused
}

func (refusingStore) Commit(context.Context, Transaction) (Moment, error) {
	return Moment{}, ErrNotCommitted
}

// restartedWithoutStore returns a daemon that was on the member list and has restarted while
// the store refuses its requests, and the only other daemon.
func restartedWithoutStore(t *testing.T) (restarted, other *Overseer) {
	t.Helper()
	is := is.New(t)
	store := &memoryStore{}
	before := served(t, "b", store)
	is.NoErr(before.read())
	other = served(t, "a", store)
	is.NoErr(other.read())
	restarted = served(t, "b", refusingStore{})
	restarted.self.Incarnation = 2
	restarted.auth = newAuthorizer(restarted.self)
	restarted.seeds = []string{other.self.Address}
	return restarted, other
}

// TestEnlistmentThroughAnotherDaemon guards against daemons that refuse everything after a
// restart: all daemons were killed while the store refused the requests of 35% of them, and
// these refused all statements until it served them again 6 s later, although they had
// received every row from the others.
func TestEnlistmentThroughAnotherDaemon(t *testing.T) {
	t.Run("gives authority to a restarted daemon", func(t *testing.T) {
		is := is.New(t)
		restarted, other := restartedWithoutStore(t)
		is.True(restarted.read() != nil)
		restarted.relayFromPeers()
		is.True(restarted.Active())
		is.Equal(other.auth.View().Members["b"].Incarnation, unit.Incarnation(2))
	})
	t.Run("keeps the time of listing", func(t *testing.T) {
		is := is.New(t)
		restarted, other := restartedWithoutStore(t)
		before := other.auth.View().Members["b"].Listed
		restarted.relayFromPeers()
		is.Equal(other.auth.View().Members["b"].Listed, before)
	})
	t.Run("is refused by a daemon that the store refuses", func(t *testing.T) {
		is := is.New(t)
		restarted, other := restartedWithoutStore(t)
		other.recordStoreFailure(errRefused)
		restarted.relayFromPeers()
		is.True(!restarted.Active())
		is.Equal(other.auth.View().Members["b"].Incarnation, unit.Incarnation(1))
	})
	t.Run("is refused without a name", func(t *testing.T) {
		is := is.New(t)
		_, other := restartedWithoutStore(t)
		_, err := service{overseer: other}.Enlist(t.Context(), connect.NewRequest(&peer.EnlistRequest{Address: "x:1"}))
		is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	})
	t.Run("is not requested by a daemon on the list", func(t *testing.T) {
		is := is.New(t)
		store := &memoryStore{}
		a, b := served(t, "a", store), served(t, "b", store)
		is.NoErr(a.read())
		is.NoErr(b.read())
		before := store.commits
		b.relayFromPeers()
		is.Equal(store.commits, before)
	})
}
