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

// echo is a carrier whose lanes answer every batch with the same messages.
type echo struct {
	*fake
	lane carrier.Lane
}

type echoLane struct{ response *peer.CarryResponse }

func (l *echoLane) Send(*peer.CarryRequest) error              { return nil }
func (l *echoLane) Receive() (*peer.CarryResponse, error)      { return l.response, nil }
func (l *echoLane) Close()                                     {}
func (e *echo) Release(unit.InstanceName, carrier.Lane)        {}
func (e *echo) Last(unit.InstanceName) (instance.Report, bool) { return instance.Report{}, false }
func (e *echo) Open(context.Context, unit.InstanceName) (carrier.Lane, error) {
	return e.lane, nil
}

func newEcho() *echo {
	answer, _ := (&pgproto3.ParseComplete{}).Encode(nil)
	answer, _ = (&pgproto3.BindComplete{}).Encode(answer)
	answer, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte("42")}}).Encode(answer)
	answer, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(answer)
	return &echo{fake: newFake("a", "b", "c"), lane: &echoLane{response: &peer.CarryResponse{
		Kind: &peer.CarryResponse_Settled{Settled: &peer.Settled{TransactionStatus: statusIdle, Messages: answer}},
	}}}
}

// echo makes the bench's instances answer every batch with the same messages.
func (b *bench) echo() {
	echo := newEcho()
	b.entry.carrier = echo
	for name, i := range echo.instances {
		b.entry.group("ledger").seen[name] = sighting{report: i.report}
	}
}

// startSession serves a connection as if it had been authenticated.
func startSession(t testing.TB, e *Entry, conn net.Conn) {
	t.Helper()
	s, err := newSession(e, conn, map[string]string{"user": "demo", "database": "ledger"})
	if err != nil {
		t.Fatal(err)
	}
	s.group = e.group("ledger")
	s.tracker.Initialize(unit.Position{})
	e.add(s)
	e.running.Go(func() {
		defer conn.Close()
		defer e.remove(s)
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

// exchange sends messages and reads up to ReadyForQuery, which ends what the
// session writes at once.
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
	bench := newBench(b)
	bench.echo()
	near, far := net.Pipe()
	b.Cleanup(func() { far.Close() })
	startSession(b, bench.entry, near)
	exchange(b, far, append(prepareMessages(), executeMessages()...))
	messages := executeMessages()
	b.ReportAllocs()
	for b.Loop() {
		exchange(b, far, messages)
	}
}

const (
	idleSessions = 2000
	// maxIdleMemory is in bytes, both ends of the connection included.
	maxIdleMemory = 16 << 10
)

// TestIdleMemory measures what a session over TCP costs that has run a prepared
// statement and is idle.
func TestIdleMemory(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.echo()
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
	connect() // What all sessions share.
	before := inUse()
	for range idleSessions {
		connect()
	}
	perSession := (inUse() - before) / idleSessions
	t.Logf("%d bytes for each idle session", perSession)
	is.True(perSession < maxIdleMemory)
}

func inUse() int {
	runtime.GC()
	time.Sleep(time.Millisecond)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapInuse + m.StackInuse)
}
