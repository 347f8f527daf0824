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
	holder *holder.Holder
	home   *home.Home
	lanes  *carrier.Streams
	server *http.Server
}

// newPair returns two daemons: one is the home of a target, the other is not.
func newPair(t *testing.T) (near, far *daemon) {
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
		d.lanes = carrier.New(d.holder, d.home)
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

func ask(t *testing.T, lane carrier.Stream, sql string) (size int, refused result.Code) {
	t.Helper()
	is := is.New(t)
	message, err := (&pgproto3.Query{String: sql}).Encode(nil)
	is.NoErr(err)
	is.NoErr(lane.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: &peer.Open{
		Group: ledger, Instance: "a", Class: peer.Class_CLASS_WRITE, Batch: &peer.Batch{Messages: message, Last: true},
	}}}))
	for {
		response, err := lane.Receive()
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

func within(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(stop)
	return ctx
}

func TestLanes(t *testing.T) {
	near, far := newPair(t)
	for name, d := range map[string]*daemon{"on the home": near, "from another daemon": far} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lane, err := d.lanes.Open(within(t), "a")
			is.NoErr(err)
			size, refused := ask(t, lane, "SELECT 1")
			is.Equal(refused, result.Code(0))
			is.True(size > 0)
			d.lanes.Release("a", lane)
			again, err := d.lanes.Open(within(t), "a")
			is.NoErr(err)
			is.True(again == lane)
			size, _ = ask(t, again, "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 3000) SELECT '"+strings.Repeat("x", 1000)+"' FROM n")
			is.True(size > 3_000_000)
			report, err := d.lanes.Report(within(t), "a")
			is.NoErr(err)
			is.Equal(report.Role, instance.Primary)
			_, known := d.lanes.Last("a")
			is.True(known)
		})
	}
}

// An open transaction ends with its lane: another one can write.
func TestClosedLaneIsRolledBack(t *testing.T) {
	near, far := newPair(t)
	for name, d := range map[string]*daemon{"on the home": near, "from another daemon": far} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lane, err := d.lanes.Open(within(t), "a")
			is.NoErr(err)
			_, refused := ask(t, lane, "BEGIN; INSERT INTO tarragon_requests (key) VALUES ('"+name+"')")
			is.Equal(refused, result.Code(0))
			lane.Close()
			next, err := d.lanes.Open(within(t), "a")
			is.NoErr(err)
			// It would wait for the open transaction without end.
			defer time.AfterFunc(10*time.Second, next.Close).Stop()
			_, refused = ask(t, next, "INSERT INTO tarragon_requests (key) VALUES ('"+name+"')")
			is.Equal(refused, result.Code(0))
		})
	}
}

func TestHomeThatIsGone(t *testing.T) {
	near, far := newPair(t)
	t.Run("breaks its lanes", func(t *testing.T) {
		is := is.New(t)
		lane, err := far.lanes.Open(within(t), "a")
		is.NoErr(err)
		ask(t, lane, "SELECT 1")
		is.NoErr(near.server.Close())
		_, err = lane.Receive()
		is.Equal(result.CodeOf(err), result.HomeLost)
		// What a broken lane does not take has not run.
		err = lane.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: &peer.Open{Group: ledger, Instance: "a"}}})
		is.Equal(result.CodeOf(err), result.HomeUnreachable)
	})
	t.Run("is stood in for by the next one", func(t *testing.T) {
		is := is.New(t)
		lane, err := far.lanes.Open(within(t), "a")
		is.NoErr(err)
		_, refused := ask(t, lane, "SELECT 1")
		is.Equal(refused, result.Code(0))
	})
	t.Run("can't be reached when it is alone", func(t *testing.T) {
		view := far.holder.Current().View
		view.Daemons = view.Daemons[:1]
		far.holder.AdoptView(view)
		_, err := far.lanes.Open(within(t), "a")
		is.New(t).Equal(result.CodeOf(err), result.HomeUnreachable)
	})
}
