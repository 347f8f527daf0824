package carrier_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/standin/target"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/wire/peer"
)

const ledger = "pulp-ledger-1"

// daemon is one daemon with its peer endpoint.
type daemon struct {
	holder  *holder.Holder
	home    *home.Home
	streams *carrier.Streams
	server  *http.Server
}

// newPair returns two daemons. The local one is the home of a target; the remote one
// reaches that home over its peer endpoint.
func newPair(t *testing.T) (local, remote *daemon) {
	t.Helper()
	is := is.New(t)
	a, err := target.New("a", ledger, target.WithPrimary(), target.WithConnectDelay(0), target.WithGroupSize(1))
	is.NoErr(err)
	t.Cleanup(func() { _ = a.Destroy() })
	listeners := make([]net.Listener, 2)
	for i := range listeners {
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
	}
	daemons := []member.Daemon{
		{ID: "d1", Domain: "lautoka-shed", State: member.Live, PeerAddress: listeners[0].Addr().String()},
		{ID: "d2", Domain: "labasa-loft", State: member.Live, PeerAddress: listeners[1].Addr().String()},
	}
	m := &manifest.Manifest{Version: 1, Groups: []manifest.Group{{Name: ledger, Homes: 1, Instances: []manifest.Instance{
		{Name: "a", Domain: "lautoka-shed", Address: a.Address(), Slots: 3, Connections: 20},
	}}}}
	var pair []*daemon
	for i := range daemons {
		d := &daemon{holder: holder.New(member.View{Self: daemons[i].ID, Daemons: daemons})}
		d.holder.AdoptManifest(m)
		d.home = home.New(d.holder)
		t.Cleanup(d.home.Close)
		d.streams = carrier.New(d.holder, d.home)
		mux := http.NewServeMux()
		mux.Handle(d.home.Handler())
		d.server = &http.Server{Handler: mux}
		carrier.Configure(d.server)
		go func() { _ = d.server.Serve(listeners[i]) }()
		t.Cleanup(func() { _ = d.server.Close() })
		pair = append(pair, d)
	}
	return pair[0], pair[1]
}

func runQuery(t *testing.T, stream carrier.Stream, sql string) (size int, refused result.Code) {
	t.Helper()
	is := is.New(t)
	message, err := (&pgproto3.Query{String: sql}).Encode(nil)
	is.NoErr(err)
	is.NoErr(stream.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: &peer.Open{
		Group: ledger, Instance: "a", Class: peer.Class_CLASS_WRITE, Batch: &peer.Batch{Messages: message, Last: true},
	}}}))
	for {
		response, err := stream.Receive()
		is.NoErr(err)
		switch kind := response.Kind.(type) {
		case *peer.CarryResponse_Answer:
			size += len(kind.Answer.Messages)
		case *peer.CarryResponse_Settled:
			return size + len(kind.Settled.Messages), 0
		case *peer.CarryResponse_Refused:
			return size, result.Code(kind.Refused.Code)
		}
	}
}

func withTimeout(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(stop)
	return ctx
}

func TestStreams(t *testing.T) {
	local, remote := newPair(t)
	for name, d := range map[string]*daemon{"on the home": local, "from another daemon": remote} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stream, err := d.streams.Open(withTimeout(t), "a")
			is.NoErr(err)
			size, refused := runQuery(t, stream, "SELECT 1")
			is.Equal(refused, result.Code(0))
			is.True(size > 0)
			d.streams.Release("a", stream)
			again, err := d.streams.Open(withTimeout(t), "a")
			is.NoErr(err)
			is.True(again == stream)
			size, _ = runQuery(t, again, "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 3000) SELECT '"+strings.Repeat("x", 1000)+"' FROM n")
			is.True(size > 3_000_000)
			report, err := d.streams.Report(withTimeout(t), "a")
			is.NoErr(err)
			is.Equal(report.Role, instance.Primary)
			_, known := d.streams.Last("a")
			is.True(known)
		})
	}
}

// Closing a stream rolls back its open transaction, so that a transaction on another
// stream is not blocked by its locks.
func TestClosedStreamIsRolledBack(t *testing.T) {
	local, remote := newPair(t)
	for name, d := range map[string]*daemon{"on the home": local, "from another daemon": remote} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stream, err := d.streams.Open(withTimeout(t), "a")
			is.NoErr(err)
			_, refused := runQuery(t, stream, "BEGIN; INSERT INTO tarragon_requests (key) VALUES ('"+name+"')")
			is.Equal(refused, result.Code(0))
			stream.Close()
			next, err := d.streams.Open(withTimeout(t), "a")
			is.NoErr(err)
			// The statement would block without end on a transaction that is still open.
			defer time.AfterFunc(10*time.Second, next.Close).Stop()
			_, refused = runQuery(t, next, "INSERT INTO tarragon_requests (key) VALUES ('"+name+"')")
			is.Equal(refused, result.Code(0))
		})
	}
}

func TestLostHome(t *testing.T) {
	local, remote := newPair(t)
	t.Run("breaks its streams", func(t *testing.T) {
		is := is.New(t)
		stream, err := remote.streams.Open(withTimeout(t), "a")
		is.NoErr(err)
		runQuery(t, stream, "SELECT 1")
		is.NoErr(local.server.Close())
		_, err = stream.Receive()
		is.Equal(result.CodeOf(err), result.HomeLost)
		// A message that a broken stream rejects has not run.
		err = stream.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: &peer.Open{Group: ledger, Instance: "a"}}})
		is.Equal(result.CodeOf(err), result.HomeUnreachable)
	})
	t.Run("is replaced by the standby", func(t *testing.T) {
		is := is.New(t)
		stream, err := remote.streams.Open(withTimeout(t), "a")
		is.NoErr(err)
		_, refused := runQuery(t, stream, "SELECT 1")
		is.Equal(refused, result.Code(0))
	})
	t.Run("is unreachable when there is no standby", func(t *testing.T) {
		view := remote.holder.Current().View
		view.Daemons = view.Daemons[:1]
		remote.holder.AdoptView(view)
		_, err := remote.streams.Open(withTimeout(t), "a")
		is.New(t).Equal(result.CodeOf(err), result.HomeUnreachable)
	})
}

// TestTextsThatAreNotUTF8 guards against a caller's text that can't be sent to another daemon.
func TestTextsThatAreNotUTF8(t *testing.T) {
	local, remote := newPair(t)
	for name, d := range map[string]*daemon{"on the home": local, "from another daemon": remote} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stream, err := d.streams.Open(withTimeout(t), "a")
			is.NoErr(err)
			const odd = "a\xff\r\nb"
			message, err := (&pgproto3.Query{String: "SHOW application_name"}).Encode(nil)
			is.NoErr(err)
			is.NoErr(stream.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: &peer.Open{
				Group: ledger, Instance: "a", Class: peer.Class_CLASS_WRITE, Settings: map[string][]byte{"application_name": []byte(odd)},
				Batch: &peer.Batch{Messages: message, Statements: []*peer.Statement{{Name: "s", Query: []byte("SELECT '" + odd + "'")}}, Last: true},
			}}}))
			response, err := stream.Receive()
			is.NoErr(err)
			is.True(strings.Contains(string(response.GetSettled().GetMessages()), odd))
		})
	}
}
