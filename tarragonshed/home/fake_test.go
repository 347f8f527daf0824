package home_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/home"
)

// fake is a stand-in for an instance that answers each message with a function. It
// does not interpret SQL.
type fake struct {
	net.Listener
	// answer handles one message on a connection; n is the number of the connection.
	answer func(b *pgproto3.Backend, n int, message pgproto3.FrontendMessage)
	// report is the answer on control connections. If it is empty, control
	// connections are refused.
	report string
	// once makes the fake close a connection after its first answer.
	once bool
	// single makes the fake accept only one data connection.
	single   bool
	accepted atomic.Int32
}

func newFake(t testing.TB, answer func(*pgproto3.Backend, int, pgproto3.FrontendMessage)) *fake {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f := &fake{Listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go f.serve(c, n)
		}
	}()
	return f
}

func (f *fake) serve(c net.Conn, n int) {
	b := pgproto3.NewBackend(c, c)
	startup, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	_, cancel := startup.(*pgproto3.CancelRequest)
	message, _ := startup.(*pgproto3.StartupMessage)
	control := !cancel && message.Parameters["application_name"] == "tarragon-control"
	if cancel || control && f.report == "" {
		_ = c.Close()
		return
	}
	if _, first := startup.(*pgproto3.StartupMessage); first && !control && f.single && f.accepted.Add(1) > 1 {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = b.Flush()
		_ = c.Close()
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: uint32(n + 1), SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		message, err := b.Receive()
		if err != nil {
			return
		}
		if control {
			row(b, f.report)
			continue
		}
		f.answer(b, n, message)
		if f.once {
			_ = b.Flush()
			_ = c.Close()
		}
	}
}

// newFakeHome returns a home of the fake instance.
func newFakeHome(t testing.TB, f *fake, options ...home.Option) *home.Home {
	t.Helper()
	current := holder.New(member.View{Self: "d1", Daemons: []member.Daemon{{ID: "d1", Domain: "lautoka-shed", State: member.Live}}})
	current.AdoptManifest(&manifest.Manifest{Version: 1, Groups: []manifest.Group{{Name: ledger, Homes: 1, Instances: []manifest.Instance{
		{Name: "a", Domain: "lautoka-shed", Address: f.Addr().String(), Slots: 3, Connections: 20},
	}}}})
	h := home.New(current, options...)
	t.Cleanup(h.Close)
	return h
}

// row sends an answer of one row with one column.
func row(b *pgproto3.Backend, text string) {
	b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("c"), DataTypeOID: 25, DataTypeSize: -1}}})
	b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
