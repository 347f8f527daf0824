package overseer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonshed/pacer"
	"tarragonshed.example/unit"
)

// slowStore is a memoryStore whose rows take longer to arrive than a small response may take.
type slowStore struct{ *memoryStore }

// Rows implements Store.
func (s slowStore) Rows(ctx context.Context) ([]Row, Moment, error) {
	const pause = confirmTimeout / 8
	for began := time.Now(); time.Since(began) < 2*confirmTimeout; {
		select {
		case <-time.After(pause):
			pacer.Record(ctx, 1)
		case <-ctx.Done():
			return nil, Moment{}, ctx.Err()
		}
	}
	return s.memoryStore.Rows(ctx)
}

// fill writes the rows of so many groups that they take longer to arrive over a slow link than
// a small response may take.
func fill(t *testing.T, s *memoryStore) {
	t.Helper()
	const groups = 2000
	for n := range groups {
		s.put(t, unit.GroupName(fmt.Sprint("group-", n)))
	}
}

// slowLink is a link over which a response of many rows takes longer than a small one may take.
func slowLink() *link {
	return &link{perRead: 1 << 10, pause: 3 * time.Millisecond}
}

// succeeds reports whether the call succeeds once. A busy machine may delay an attempt.
func succeeds(call func() error) bool {
	const attempts = 10
	for range attempts {
		if call() == nil {
			return true
		}
	}
	return false
}

func TestManyRowsAreReadFromTheStoreOverASlowLink(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	is.NoErr(served(t, "a", store).read())
	o := served(t, "b", slowStore{store})
	is.True(succeeds(o.read))
	_, _, confirmed := o.Membership()
	is.True(confirmed)
}

func TestManyRowsAreReceivedFromTheReaderOverASlowLink(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	reader, o := served(t, "a", store), served(t, "b", store)
	fill(t, store)
	is.NoErr(reader.read())
	o.client = newPeerClient(slowLink().dial)
	is.True(succeeds(func() error { return relay(o, reader) }))
}

func TestManyRowsAreRecalledOverASlowLink(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{era: 1, rows: table{era: 1}} // Nothing is recalled in the first era.
	opener, other := served(t, "a", store), served(t, "b", store)
	is.NoErr(opener.read())
	is.NoErr(other.read())
	is.NoErr(opener.read())
	fill(t, store)
	is.NoErr(other.read())         // It knows rows that the opener doesn't.
	other.store = &refusingStore{} // It does not open the era itself.
	store.restore(store.copy())
	opener.client = newPeerClient(slowLink().dial)
	is.True(succeeds(func() error { return opener.open(pendingEra{seen: true, era: store.era}) }))
}
