package controller_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/unit"
)

const listenQuery = "LISTEN tarragon_status; SELECT tarragon_status()"

func TestConn(t *testing.T) {
	t.Run("sends the documented calls", func(t *testing.T) {
		is := is.New(t)
		fake := newFake()
		conn, err := controller.Dial(t.Context(), fake.dial, "127.0.0.1:1", controller.WithDatabase("g"))
		is.NoErr(err)
		defer conn.Close()
		report, err := conn.Grant(t.Context(), 7, "it's")
		is.NoErr(err)
		is.Equal(report.Instance, fake.report.Instance)
		_, err = conn.Promote(t.Context(), 7, "p")
		is.NoErr(err)
		_, err = conn.Follow(t.Context(), 7, "a", "127.0.0.1:2")
		is.NoErr(err)
		_, err = conn.Quiesce(t.Context(), 7, 1500*time.Millisecond)
		is.NoErr(err)
		fake.expect(
			t, "SELECT tarragon_grant(7, 'it''s')", "SELECT tarragon_promote(7, 'p')",
			"SELECT tarragon_follow(7, 'a', '127.0.0.1:2')", "SELECT tarragon_quiesce(7, 1500)",
		)
		is.Equal(fake.parameters["application_name"], controller.ApplicationName)
		is.Equal(fake.parameters["database"], "g")
	})
	t.Run("a call that times out breaks the connection", func(t *testing.T) {
		is := is.New(t)
		fake := newFake()
		conn, err := controller.Dial(t.Context(), fake.dial, "127.0.0.1:1")
		is.NoErr(err)
		defer conn.Close()
		fake.unresponsive = true
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = conn.Status(ctx)
		is.True(err != nil)
		is.True(conn.Broken())
	})
	t.Run("Done is closed when the target closes the connection", func(t *testing.T) {
		is := is.New(t)
		fake := newFake()
		conn, err := controller.Dial(t.Context(), fake.dial, "127.0.0.1:1")
		is.NoErr(err)
		is.True(!conn.Broken())
		fake.close()
		<-conn.Done()
		is.True(conn.Broken())
	})
	t.Run("a refused connection returns ECONNREFUSED", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(listener.Close())
		_, err = controller.Dial(t.Context(), dialer.Default, listener.Addr().String())
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	})
}

func TestReceiver(t *testing.T) {
	is := is.New(t)
	fake := newFake()
	received := make(chan instance.Report, 4)
	conn, err := controller.Dial(t.Context(), fake.dial, "127.0.0.1:1", controller.WithReceiver(func(r instance.Report) { received <- r }))
	is.NoErr(err)
	for range 20 {
		_, err := conn.Status(t.Context()) // Each call interrupts the wait for notifications.
		is.NoErr(err)
	}
	is.Equal((<-received).Term, unit.Term(1))
	is.Equal((<-received).Term, unit.Term(2))
	is.Equal((<-received).Term, unit.Term(3))
	conn.Close()
	<-conn.Done()
}

func TestListen(t *testing.T) {
	is := is.New(t)
	fake := newFake()
	var terms []uint64
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	err := controller.Listen(ctx, fake.dial, "127.0.0.1:1", func(r instance.Report) {
		terms = append(terms, uint64(r.Term))
		if len(terms) == 3 {
			cancel()
		}
	})
	is.True(err != nil)
	is.Equal(terms, []uint64{1, 2, 3}) // The current report, then each pushed one.
	fake.expect(t, listenQuery)
}

// TestListenWithoutResults guards against a panic that ended the daemon: a target that
// responds to the subscription without any result, such as one that speaks the protocol but
// is no database of ours.
func TestListenWithoutResults(t *testing.T) {
	is := is.New(t)
	fake := newFake()
	fake.empty = true
	err := controller.Listen(t.Context(), fake.dial, "127.0.0.1:1", func(instance.Report) { t.Error("there is no report") })
	is.True(err != nil)
	fake.expect(t, listenQuery)
}

// fakeTarget responds to every query with its report, and pushes two more reports
// after listenQuery.
type fakeTarget struct {
	report       instance.Report
	unresponsive bool
	empty        bool // Whether it responds without a result.
	queries      chan string
	parameters   map[string]string
	close        func()
}

func newFake() *fakeTarget {
	return &fakeTarget{report: instance.Report{Instance: "a", Term: 1}, queries: make(chan string, 64)}
}

func (f *fakeTarget) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	f.close = func() { _ = server.Close() }
	go f.serve(server)
	return client, nil
}

func (f *fakeTarget) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	f.parameters = startup.(*pgproto3.StartupMessage).Parameters
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		query, ok := message.(*pgproto3.Query)
		if !ok {
			return
		}
		f.queries <- query.String
		if f.unresponsive {
			continue
		}
		f.respond(backend)
		if query.String == listenQuery {
			f.push(backend, 2)
			f.push(backend, 3)
		}
	}
}

func (f *fakeTarget) respond(backend *pgproto3.Backend) {
	if f.empty {
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		return
	}
	text, _ := json.Marshal(f.report)
	backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("report"), DataTypeOID: 25}}})
	backend.Send(&pgproto3.DataRow{Values: [][]byte{text}})
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func (f *fakeTarget) push(backend *pgproto3.Backend, term unit.Term) {
	report := f.report
	report.Term = term
	text, _ := json.Marshal(report)
	backend.Send(&pgproto3.NotificationResponse{Channel: controller.Channel, Payload: string(text)})
}

func (f *fakeTarget) expect(t *testing.T, queries ...string) {
	t.Helper()
	is := is.New(t)
	for _, want := range queries {
		is.Equal(<-f.queries, want)
	}
}
