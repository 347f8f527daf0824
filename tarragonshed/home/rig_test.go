package home_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/standin/target"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	ledger      = "pulp-ledger-1"
	waitTimeout = 10 * time.Second
)

// rig is a group of three instances and one daemon that is the home of all of them.
type rig struct {
	a, b, c *target.Target
	holder  *holder.Holder
	home    *home.Home
}

func newRig(t *testing.T, options ...target.Option) *rig {
	t.Helper()
	return newRigWith(t, nil, options...)
}

func newRigWith(t *testing.T, homeOptions []home.Option, options ...target.Option) *rig {
	t.Helper()
	start := func(name unit.InstanceName, extra target.Option) *target.Target {
		i, err := target.New(name, ledger, append(append([]target.Option{target.WithConnectDelay(0)}, options...), extra)...)
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = i.Destroy() })
		return i
	}
	r := &rig{}
	r.a = start("a", target.WithPrimary())
	r.b = start("b", target.WithFollow("a", r.a.Address()))
	r.c = start("c", target.WithFollow("a", r.a.Address()))
	r.holder = holder.New(member.View{Self: "d1", Daemons: []member.Daemon{{ID: "d1", Domain: "lautoka-shed", State: member.Live}}})
	r.holder.AdoptManifest(r.manifest(1))
	r.home = home.New(r.holder, homeOptions...)
	t.Cleanup(r.home.Close)
	r.awaitReports(t, "a", "b", "c")
	return r
}

// warm reports whether the home has its control connection and its warm connections
// to a, and no others. There are four warm connections, or five if a statement was
// using one when there was capacity to open another (see TestWarmBesideUsed of
// pooler).
func (r *rig) warm() bool {
	n := r.a.Connections()
	return n == 5 || n == 6
}

// manifest returns a manifest of the instances and of additional ones that are
// unreachable.
func (r *rig) manifest(version unit.ManifestVersion, further ...unit.InstanceName) *manifest.Manifest {
	g := manifest.Group{Name: ledger, Homes: 1}
	for _, i := range []*target.Target{r.a, r.b, r.c} {
		g.Instances = append(g.Instances, manifest.Instance{Name: i.Name(), Domain: "lautoka-shed", Address: i.Address(), Slots: 3, Connections: 20})
	}
	for _, name := range further {
		g.Instances = append(g.Instances, manifest.Instance{Name: name, Domain: "lautoka-shed", Address: "127.0.0.1:1", Slots: 3, Connections: 20})
	}
	return &manifest.Manifest{Version: version, Groups: []manifest.Group{g}}
}

// awaitReports waits until the home has a report of each instance.
func (r *rig) awaitReports(t *testing.T, names ...unit.InstanceName) {
	t.Helper()
	eventually(t, func() bool {
		for _, name := range names {
			if _, ok := r.home.Last(name); !ok {
				return false
			}
		}
		return true
	})
}

// promote makes an instance the primary of the term and the others its replicas.
func (r *rig) promote(t *testing.T, term unit.Term, to *target.Target, others ...*target.Target) {
	t.Helper()
	is := is.New(t)
	r.grant(t, term, append([]*target.Target{to}, others...)...)
	_, err := r.control(t, to).Promote(t.Context(), term, "p")
	is.NoErr(err)
	for _, i := range others {
		_, err := r.control(t, i).Follow(t.Context(), term, to.Name(), to.Address())
		is.NoErr(err)
	}
}

// grant grants the term in which promote promotes. The instances then receive no records of an
// earlier one.
func (r *rig) grant(t *testing.T, term unit.Term, instances ...*target.Target) {
	t.Helper()
	is := is.New(t)
	for _, i := range instances {
		report, err := r.control(t, i).Grant(t.Context(), term, "p")
		is.NoErr(err)
		is.Equal(report.GrantedTo, "p")
	}
}

func (r *rig) control(t *testing.T, i *target.Target) *controller.Conn {
	t.Helper()
	c, err := controller.Dial(t.Context(), dialer.Default, i.Address(), controller.WithDatabase(ledger))
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within the timeout")
		}
	}
}

// stream is the client's end of a stream to a home.
type stream interface {
	Send(*peer.CarryRequest) error
	Receive() (*peer.CarryResponse, error)
	Close()
}

// answer is the home's answer to one batch.
type answer struct {
	text     string // Rows, command tags and errors in order.
	status   byte
	position unit.Position
	refused  result.Code
	answered bool
	size     int
	parts    int
}

func open(class peer.Class, name unit.InstanceName) *peer.Open {
	return &peer.Open{Group: ledger, Instance: string(name), Class: class, TimeoutMicroseconds: 5e6, Caller: "demo"}
}

func write(name unit.InstanceName) *peer.Open { return open(peer.Class_CLASS_WRITE, name) }

func read(name unit.InstanceName, floor unit.Position) *peer.Open {
	o := open(peer.Class_CLASS_READ, name)
	o.Floor = &peer.Position{Term: uint64(floor.Term), Index: uint64(floor.Index)}
	return o
}

func begin(t *testing.T, s stream, o *peer.Open) {
	t.Helper()
	is.New(t).NoErr(s.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: o}}))
}

func send(t *testing.T, s stream, b *peer.Batch) {
	t.Helper()
	is.New(t).NoErr(s.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: b}}))
}

func messages(list ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range list {
		b, _ = m.Encode(b)
	}
	return b
}

func simple(sql string) *peer.Batch {
	return &peer.Batch{Messages: messages(&pgproto3.Query{String: sql}), Last: true}
}

func query(t *testing.T, s stream, o *peer.Open, sql string) answer {
	t.Helper()
	if o != nil {
		begin(t, s, o)
	}
	send(t, s, simple(sql))
	return receive(t, s)
}

func receive(t *testing.T, s stream) answer {
	t.Helper()
	var a answer
	for {
		response, err := s.Receive()
		if err != nil {
			t.Fatalf("the stream ended: %v", err)
		}
		switch kind := response.Kind.(type) {
		case *peer.CarryResponse_Answer:
			a.parts++
			a.add(kind.Answer.Messages)
		case *peer.CarryResponse_Settled:
			a.add(kind.Settled.Messages)
			a.status = byte(kind.Settled.TransactionStatus)
			p := kind.Settled.Position
			a.position = unit.Position{Term: unit.Term(p.GetTerm()), Index: unit.Index(p.GetIndex())}
			return a
		case *peer.CarryResponse_Refused:
			a.refused, a.answered = result.Code(kind.Refused.Code), kind.Refused.Answered
			return a
		}
	}
}

func (a *answer) add(b []byte) {
	a.size += len(b)
	for len(b) > 0 {
		size := int(b[1])<<24 | int(b[2])<<16 | int(b[3])<<8 | int(b[4])
		body := b[5 : size+1]
		switch b[0] {
		case 'D':
			var row pgproto3.DataRow
			_ = row.Decode(body)
			for _, v := range row.Values {
				if len(v) < 100 {
					a.text += string(v) + " "
				}
			}
		case 'C':
			a.text += string(body[:len(body)-1]) + ";"
		case 'E':
			var e pgproto3.ErrorResponse
			_ = e.Decode(body)
			a.text += "error " + e.Code + ";"
		default:
			a.text += fmt.Sprintf("%c ", b[0])
		}
		b = b[size+1:]
	}
}

func (r *rig) table(t *testing.T) unit.Position {
	t.Helper()
	s := r.home.Open()
	defer s.Close()
	a := query(t, s, write("a"), "CREATE TABLE batches (id bigint PRIMARY KEY, note text)")
	is.New(t).Equal(a.refused, result.Code(0))
	return a.position
}

func withTimeout(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(stop)
	return ctx
}
