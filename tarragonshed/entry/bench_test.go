package entry

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// echoCarrier is a carrier whose streams answer every batch with the same
// messages.
type echoCarrier struct {
	*fakeCarrier
	stream carrier.Stream
}

type echoStream struct{ response *peer.CarryResponse }

func (s *echoStream) Send(*peer.CarryRequest) error              { return nil }
func (s *echoStream) Receive() (*peer.CarryResponse, error)      { return s.response, nil }
func (s *echoStream) Close()                                     {}
func (e *echoCarrier) Release(unit.InstanceName, carrier.Stream) {}
func (e *echoCarrier) Last(unit.InstanceName) (instance.Report, bool) {
	return instance.Report{}, false
}

func (e *echoCarrier) Open(context.Context, unit.InstanceName) (carrier.Stream, error) {
	return e.stream, nil
}

func newEcho() *echoCarrier {
	answer, _ := (&pgproto3.ParseComplete{}).Encode(nil)
	answer, _ = (&pgproto3.BindComplete{}).Encode(answer)
	answer, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte("42")}}).Encode(answer)
	answer, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(answer)
	return &echoCarrier{fakeCarrier: newFake("a", "b", "c"), stream: &echoStream{response: &peer.CarryResponse{
		Kind: &peer.CarryResponse_Settled{Settled: &peer.Settled{TransactionStatus: statusIdle, Messages: answer}},
	}}}
}

// useEcho replaces the carrier by an echoCarrier.
func (b *fixture) useEcho() {
	echo := newEcho()
	b.entry.carrier = echo
	for name, i := range echo.instances {
		b.entry.group("ledger").reports[name] = latestReport{report: i.report}
	}
}

// startSession serves a connection without authentication.
func startSession(t testing.TB, e *Entry, conn net.Conn) {
	t.Helper()
	c := e.open(conn)
	s, err := newSession(e, conn, map[string]string{"user": "demo", "database": "ledger"})
	if err != nil || c == nil {
		t.Fatal(err)
	}
	s.budget = c.budget
	c.session.Store(s)
	s.group = e.group("ledger")
	s.tracker.Initialize(unit.Position{})
	e.addSession(s)
	e.running.Go(func() {
		defer c.budget.Close()
		defer conn.Close()
		defer e.removeSession(s)
		s.serve()
	})
}

func prepareMessages() []byte {
	messages, _ := (&pgproto3.Parse{Name: "p", Query: "SELECT n FROM entries WHERE id = $1"}).Encode(nil)
	return messages
}

func executeMessages() []byte {
	messages, _ := (&pgproto3.Bind{PreparedStatement: "p", Parameters: [][]byte{[]byte("7")}}).Encode(nil)
	messages, _ = (&pgproto3.Execute{}).Encode(messages)
	messages, _ = (&pgproto3.Sync{}).Encode(messages)
	return messages
}

// exchange sends messages and reads up to ReadyForQuery, which is the end of
// the last write of the session.
func exchange(t testing.TB, conn net.Conn, messages []byte) {
	if _, err := conn.Write(messages); err != nil {
		t.Fatal(err)
	}
	var buffer [4096]byte
	for {
		n, err := conn.Read(buffer[:])
		if err != nil {
			t.Fatal(err)
		}
		if n >= 6 && buffer[n-6] == 'Z' {
			return
		}
	}
}

// BenchmarkStatement runs a prepared read through a session.
func BenchmarkStatement(b *testing.B) {
	f := newFixture(b)
	f.useEcho()
	near, far := net.Pipe()
	b.Cleanup(func() { far.Close() })
	startSession(b, f.entry, near)
	exchange(b, far, append(prepareMessages(), executeMessages()...))
	messages := executeMessages()
	b.ReportAllocs()
	for b.Loop() {
		exchange(b, far, messages)
	}
}

const (
	idleSessions = 2000
	// maxIdleMemory is in bytes for each session, both ends of the connection
	// included.
	maxIdleMemory = 16 << 10
)

// TestIdleMemory measures the memory of a session over TCP that has run a
// prepared statement and is idle.
func TestIdleMemory(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.useEcho()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	connect := func() {
		far, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { far.Close() })
		near, err := listener.Accept()
		is.NoErr(err)
		startSession(t, b.entry, near)
		exchange(t, far, append(prepareMessages(), executeMessages()...))
	}
	connect() // Allocates what all sessions share.
	before := memoryInUse()
	for range idleSessions {
		connect()
	}
	perSession := (memoryInUse() - before) / idleSessions
	t.Logf("%d bytes for each idle session", perSession)
	is.True(perSession < maxIdleMemory)
}

func memoryInUse() int {
	runtime.GC()
	time.Sleep(time.Millisecond)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapInuse + m.StackInuse)
}
