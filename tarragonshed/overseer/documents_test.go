package overseer

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

// fakeDocuments is a document that is never fetched.
type fakeDocuments struct{ state DocumentState }

func (d *fakeDocuments) States() map[string]DocumentState {
	return map[string]DocumentState{"document": d.state}
}

func (*fakeDocuments) Newer(map[string]unit.Revision) []Document { return nil }
func (*fakeDocuments) Offer(Document)                            {}

// Confirm implements Documents.
func (d *fakeDocuments) Confirm(_ string, r unit.Revision, asOf unit.Instant) {
	if !d.state.Revision.Before(r) {
		d.state.AsOf = max(d.state.AsOf, asOf)
	}
}

// readerWithDocuments returns a reader whose document has the age, a daemon with the same
// document that relies on this reader, and the clock of both.
func readerWithDocuments(t *testing.T, age time.Duration) (other *Overseer, clock *atomic.Int64) {
	t.Helper()
	reader, other := readerAndOther(t)
	clock = &atomic.Int64{}
	clock.Store(int64(time.Hour))
	now := func() unit.Instant { return unit.Instant(clock.Load()) }
	for _, o := range []*Overseer{reader, other} {
		o.now = now
		o.documents = &fakeDocuments{DocumentState{Revision: unit.Revision{Version: 1}, Confirmed: true, AsOf: now().Add(-age)}}
	}
	is.New(t).NoErr(reader.read())
	return other, clock
}

// confirmTwice makes the daemon obtain two confirmations from its reader, d apart.
func confirmTwice(o *Overseer, clock *atomic.Int64, d time.Duration) {
	o.confirmOnce()
	clock.Add(int64(d))
	o.confirmOnce()
}

func TestReaderWithOutdatedDocuments(t *testing.T) {
	t.Run("is not relied on", func(t *testing.T) {
		is := is.New(t)
		other, clock := readerWithDocuments(t, 2*maxDocumentAge)
		confirmTwice(other, clock, maxOutdated)
		is.True(other.ReadsStore())
	})
	t.Run("is given the time to read them after an outage", func(t *testing.T) {
		is := is.New(t)
		other, clock := readerWithDocuments(t, 2*maxDocumentAge)
		confirmTwice(other, clock, maxOutdated/2)
		is.True(!other.ReadsStore())
	})
	t.Run("is relied on with current ones", func(t *testing.T) {
		is := is.New(t)
		other, clock := readerWithDocuments(t, 0)
		confirmTwice(other, clock, maxOutdated)
		is.True(!other.ReadsStore())
	})
}

func TestReaderIsKeptWhileItsDocumentsArrive(t *testing.T) {
	is := is.New(t)
	other, clock := readerWithDocuments(t, 2*maxDocumentAge)
	other.confirmOnce()
	clock.Add(int64(maxOutdated))
	other.transfers.recordProgress(other.now())
	other.confirmOnce()
	is.True(!other.ReadsStore())
	clock.Add(int64(maxOutdated))
	other.confirmOnce()
	is.True(other.ReadsStore())
}
