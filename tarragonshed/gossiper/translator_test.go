package gossiper

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"tarragonshed.example/adopter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/prober"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/wire/peer"
)

// newClosed returns a Gossiper that starts no goroutines.
func newClosed() *Gossiper {
	self := member.Daemon{ID: "self", Incarnation: 5, Domain: "x", PeerAddress: "127.0.0.1:1"}
	g := &Gossiper{
		holder: holder.New(member.View{Self: self.ID}), logger: log.New(io.Discard), closed: true, leaving: make(chan struct{}),
		calls: metrics.NilCounter{}, sent: metrics.NilCounter{}, received: metrics.NilCounter{},
		prober:  prober.New(self, time.Now(), rand.New(rand.NewPCG(1, 1))),
		adopter: adopter.New(time.Now()),
	}
	return g
}

func TestEntryRoundTrip(t *testing.T) {
	is := is.New(t)
	e := prober.Entry{
		Daemon: member.Daemon{
			ID: "d", Incarnation: 3, Domain: "x", State: member.Live, PeerAddress: "p", OperatorAddress: "o", CallerAddress: "c", Manifest: 4,
		},
		Refutation: 2, Status: prober.Suspect, Leaving: true, EarlierManifest: 3,
	}
	is.Equal(entryOf(wireEntry(e)), e)
	malformed := wireEntry(e)
	malformed.Status = 9
	is.True(!entryOf(malformed).Valid())
}

func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	r := adopter.Record{Version: 3, Digest: manifest.Digest([]byte("x"))}
	is.Equal(recordOf(wireRecord(r)), r)
	is.True(wireRecord(adopter.Record{}) == nil)
	is.True(!recordOf(&peer.ManifestRecord{Version: 3, Digest: []byte{1}}).Valid())
}

// FuzzNews passes arbitrary updates to a Gossiper. None of them may change the identity or
// the live status of this daemon's own entry, or put a manifest in force without its
// document.
func FuzzNews(f *testing.F) {
	seed := func(news *peer.News) {
		encoded, err := proto.Marshal(news)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	seed(&peer.News{})
	seed(&peer.News{
		Time:    &peer.HybridTime{Wall: 1 << 62, Counter: 1},
		Sender:  &peer.Entry{Id: "d", PeerAddress: "p", Status: peer.Status_STATUS_DEAD},
		Entries: []*peer.Entry{{Id: "self", Incarnation: 5, PeerAddress: "q", Status: peer.Status_STATUS_DEAD, Refutation: 1 << 63}},
		InForce: &peer.ManifestRecord{Version: 1 << 63, Digest: make([]byte, 32)},
	})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var news peer.News
		if proto.Unmarshal(encoded, &news) != nil {
			return
		}
		g := newClosed()
		g.handleNews(&news)
		g.handleNews(&news)
		g.publish()
		self := g.prober.Self()
		if self.ID != "self" || self.Incarnation != 5 || self.PeerAddress != "127.0.0.1:1" || self.Status != prober.Live {
			t.Fatalf("a message changed this daemon's own entry: %+v", self)
		}
		if g.adopter.InForce().Version != 0 || g.holder.Current().Manifest != nil {
			t.Fatal("a message put a manifest in force")
		}
	})
}
