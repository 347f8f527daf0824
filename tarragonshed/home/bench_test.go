package home_test

import (
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

func newEchoFake(t testing.TB) *fake {
	f := newFake(t, func(b *pgproto3.Backend, _ int, message pgproto3.FrontendMessage) {
		if _, ok := message.(*pgproto3.Query); ok {
			b.Send(&pgproto3.ParameterStatus{Name: "tarragon_position", Value: "1:1:7"})
			row(b, "price")
		}
	})
	f.report = `{"instance":"a","boot":1,"sequence":1,"role":"replica","term":1,"last":{"term":1,"index":7},"applied":{"term":1,"index":7}}`
	return f
}

// BenchmarkHome runs statements sequentially through a home.
func BenchmarkHome(b *testing.B) {
	is := is.New(b)
	h := newFakeHome(b, newEchoFake(b))
	for known := false; !known; {
		_, known = h.Last("a")
	}
	s := h.Open()
	defer s.Close()
	o := read("a", unit.Position{Term: 1, Index: 7})
	o.Batch = simple("SELECT price FROM stock")
	request := &peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: o}}
	b.ReportAllocs()
	for b.Loop() {
		is.NoErr(s.Send(request))
		response, err := s.Receive()
		is.NoErr(err)
		is.True(response.GetSettled() != nil)
	}
}

// BenchmarkRelay runs statements sequentially through a plain TCP relay, as a
// baseline.
func BenchmarkRelay(b *testing.B) {
	is := is.New(b)
	f := newEchoFake(b)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer front.Close()
	go func() {
		near, err := front.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.Addr().String())
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(far, near) }()
		_, _ = io.Copy(near, far)
	}()
	conn, err := net.Dial("tcp", front.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "demo"}})
	ready := func() {
		is.NoErr(frontend.Flush())
		for {
			message, err := frontend.Receive()
			is.NoErr(err)
			if _, ok := message.(*pgproto3.ReadyForQuery); ok {
				return
			}
		}
	}
	ready()
	b.ReportAllocs()
	for b.Loop() {
		frontend.Send(&pgproto3.Query{String: "SELECT price FROM stock"})
		ready()
	}
}
