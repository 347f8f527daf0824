package entry

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/authenticator"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
)

const testTimeout = 20 * time.Second

// fixture is an Entry on loopback with three fake instances: "a", which is the
// primary, "b" and "c".
type fixture struct {
	t     testing.TB
	fake  *fakeCarrier
	entry *Entry
	addr  string
}

func newFixture(t testing.TB, options ...Option) *fixture {
	t.Helper()
	verifier, err := authenticator.Verifier("secret", []byte("0123456789abcdef"), 4096)
	if err != nil {
		t.Fatal(err)
	}
	m := &manifest.Manifest{
		Version: 1,
		Callers: []manifest.Caller{
			{Name: "demo", SCRAMSecret: verifier, Groups: []unit.GroupName{"ledger"}},
		},
		Groups: []manifest.Group{{Name: "ledger"}, {Name: "other"}},
	}
	for _, name := range []unit.InstanceName{"a", "b", "c"} {
		m.Groups[0].Instances = append(m.Groups[0].Instances, manifest.Instance{Name: name, Slots: 2})
	}
	h := holder.New(member.View{})
	h.AdoptManifest(m)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fixture{t: t, fake: newFake("a", "b", "c"), addr: listener.Addr().String()}
	b.entry = New(listener, h, b.fake, options...)
	t.Cleanup(b.entry.Close)
	return b
}

func (b *fixture) url(suffix string) string {
	return "postgres://demo:secret@" + b.addr + "/ledger?sslmode=disable" + suffix
}

func (b *fixture) connect(suffix string) *pgx.Conn {
	b.t.Helper()
	conn, err := pgx.Connect(b.context(), b.url(suffix))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func (b *fixture) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	b.t.Cleanup(cancel)
	return ctx
}

// mustCode fails the test unless err is the PostgreSQL error of the code.
func mustCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	var refused *pgconn.PgError
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want %v", err, code)
	}
	is := is.New(t)
	is.Equal(refused.Code, code.Entry().SQLState)
	is.Equal(refused.Message[:6], code.String())
}

// mustSelect returns the name of the instance that served a read.
func mustSelect(t *testing.T, b *fixture, conn *pgx.Conn, query string) string {
	t.Helper()
	var name string
	if err := conn.QueryRow(b.context(), query).Scan(&name); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestMixedWorkload(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	conn := b.connect("")
	for range 3 {
		b.fake.replicate("a")
		is.True(mustSelect(t, b, conn, "SELECT x") != "a")
		_, err := conn.Exec(b.context(), "INSERT $1", "x")
		is.NoErr(err)
		is.Equal(mustSelect(t, b, conn, "SELECT y"), "a") // The replicas have not applied the write.
		tx, err := conn.Begin(b.context())
		is.NoErr(err)
		_, err = tx.Exec(b.context(), "INSERT $1", "x")
		is.NoErr(err)
		is.NoErr(tx.Commit(b.context()))
	}
	is.Equal(conn.PgConn().ParameterStatus(positionParameter), "1/7")
	is.Equal(mustSelect(t, b, conn, "SHOW tarragon.position"), "1/7")
	is.Equal(b.fake.openStreams(), 0)
}

func TestPositionFromEarlierSession(t *testing.T) {
	for name, suffix := range map[string]string{
		"parameter": "&tarragon.position=1/9",
		"option":    "&options=-c%20tarragon.position%3D1/9",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			conn := b.connect(suffix)
			is.Equal(conn.PgConn().ParameterStatus(positionParameter), "1/9")
			b.fake.change("b", func(i *fakeInstance) { i.report.Applied.Index = 9 })
			is.Equal(mustSelect(t, b, conn, "SELECT x"), "b")
			opened, _ := b.fake.takeRecorded()
			is.Equal(opened[len(opened)-1].Floor.Index, uint64(9))
		})
	}
}

func TestNewSessionUsesReadIndex(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.fake.change("a", func(i *fakeInstance) { i.report.Last.Index, i.report.Applied.Index = 5, 5 })
	b.fake.change("c", func(i *fakeInstance) { i.unreachable = true })
	is.Equal(mustSelect(t, b, b.connect(""), "SELECT x"), "a")
	opened, _ := b.fake.takeRecorded()
	is.Equal(opened[len(opened)-1].Floor.Index, uint64(5))
	stale := b.connect("&tarragon.max_staleness=5s")
	is.Equal(mustSelect(t, b, stale, "SHOW tarragon.max_staleness"), "5s")
}

func TestReplicasBehind(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.fake.change("a", func(i *fakeInstance) { i.report.Last.Index, i.report.Applied.Index = 9, 9 })
	conn := b.connect("&tarragon.position=1/9")
	for _, streams := range []int{3, 1} { // The first read tries each replica once.
		_, err := conn.Exec(b.context(), "SELECT x")
		is.NoErr(err)
		opened, _ := b.fake.takeRecorded()
		is.Equal(len(opened), streams)
		is.Equal(opened[streams-1].Instance, "a")
	}
	b.fake.replicate("a")
	is.True(mustSelect(t, b, conn, "SELECT x") != "a") // The reports now have the position.
}

func TestNoMajority(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, WithLimits(Limits{StatementTimeout: 200 * time.Millisecond}))
	conn := b.connect("")
	for _, name := range []unit.InstanceName{"a", "b"} {
		b.fake.change(name, func(i *fakeInstance) { i.unreachable = true })
	}
	_, err := conn.Exec(b.context(), "SELECT x")
	mustCode(t, err, result.NoMajority)
	_, err = conn.Exec(b.context(), "INSERT x")
	is.True(err != nil)
	_, executed := b.fake.takeRecorded()
	is.Equal(len(executed), 0)
}

func TestWriteWaitsForPrimary(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	conn := b.connect("")
	b.fake.change("a", func(i *fakeInstance) { i.unreachable = true })
	done := make(chan error)
	go func() {
		_, err := conn.Exec(b.context(), "INSERT x")
		done <- err
	}()
	b.fake.promote("b")
	is.NoErr(<-done)
	opened, _ := b.fake.takeRecorded()
	is.Equal(opened[len(opened)-1].Instance, "b")
}

func TestReadThatWrites(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	conn := b.connect("")
	is.Equal(mustSelect(t, b, conn, "SELECT writing()"), "a")
	is.Equal(mustSelect(t, b, conn, "SELECT writing()"), "a")
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	conn := b.connect("")
	exec := func(query string) {
		t.Helper()
		_, err := conn.Exec(b.context(), query)
		is.NoErr(err)
	}
	exec("SET search_path = 'x'")
	exec("BEGIN")
	exec("SET work_mem = '1MB'")
	exec("COMMIT")
	exec("BEGIN; SET work_mem = '2MB'; ROLLBACK")
	b.fake.takeRecorded()
	exec("INSERT x")
	opened, _ := b.fake.takeRecorded()
	is.Equal(translator.FromSettings(opened[0].Settings), map[string]string{"search_path": "x", "work_mem": "1MB"})
	exec("DISCARD ALL")
	exec("INSERT /*tarragon_request_key='k'*/ x")
	opened, _ = b.fake.takeRecorded()
	is.Equal(len(opened[0].Settings), 0)
	is.Equal(string(opened[0].RequestKey), "k")
}

func TestRefusedStatements(t *testing.T) {
	b := newFixture(t, WithLimits(Limits{MaxBatch: 10_000}))
	conn := b.connect("")
	for query, code := range map[string]result.Code{
		"COPY t FROM STDIN":                             result.CopyNotCarried,
		"LISTEN x":                                      result.NotCarried,
		"SET tarragon.position = 'x'":                   result.MalformedOption,
		"SET tarragon.unheard = 'x'":                    result.MalformedOption,
		"INSERT x; DISCARD ALL":                         result.NotCarried,
		"SELECT 1 /*tarragon_unheard='1'*/":             result.MalformedOption,
		"SELECT '" + string(make([]byte, 20_000)) + "'": result.StatementTooLarge,
	} {
		t.Run(code.String()+" "+query[:8], func(t *testing.T) {
			is := is.New(t)
			_, err := conn.Exec(b.context(), query)
			mustCode(t, err, code)
			_, err = conn.Exec(b.context(), "INSERT x")
			is.NoErr(err)
		})
	}
}

func TestFailedParseDefinesNothing(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	conn := b.connect("")
	_, err := conn.Prepare(b.context(), "p", "BROKEN")
	is.True(err != nil)
	_, err = conn.Prepare(b.context(), "p", "SELECT x")
	is.NoErr(err)
	is.True(mustSelect(t, b, conn, "p") != "")
}

func TestPipeline(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	conn := b.connect("")
	batch := &pgx.Batch{}
	batch.Queue("INSERT $1", "x")
	batch.Queue("SELECT x")
	batch.Queue("INSERT $1", "y")
	results := conn.SendBatch(b.context(), batch)
	for range 3 {
		_, err := results.Exec()
		is.NoErr(err)
	}
	is.NoErr(results.Close())
}

func TestFlush(t *testing.T) {
	flush := func(t *testing.T, b *fixture, conn *pgx.Conn, query string) error {
		t.Helper()
		is := is.New(t)
		p := conn.PgConn().StartPipeline(b.context())
		p.SendPrepare("p", query, nil)
		p.SendFlushRequest()
		is.NoErr(p.Flush())
		_, err := p.GetResults() // Comes before Sync is sent.
		if err == nil {
			p.SendQueryPrepared("p", nil, nil, nil)
		}
		is.NoErr(p.Sync())
		is.NoErr(p.Close())
		return err
	}
	t.Run("outside of a transaction", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		is.NoErr(flush(t, b, conn, "INSERT x"))
		_, executed := b.fake.takeRecorded()
		is.Equal(executed, []string{"INSERT x"})
		is.Equal(b.fake.openStreams(), 0)
	})
	t.Run("in a transaction", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		_, err := conn.Exec(b.context(), "BEGIN")
		is.NoErr(err)
		is.NoErr(flush(t, b, conn, "INSERT x"))
		_, err = conn.Exec(b.context(), "COMMIT")
		is.NoErr(err)
		_, executed := b.fake.takeRecorded()
		is.Equal(executed, []string{"BEGIN", "INSERT x", "COMMIT"})
	})
	t.Run("answered by the entry", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		is.NoErr(flush(t, b, b.connect(""), "SET tarragon.max_staleness = '5s'"))
	})
	for query, code := range map[string]result.Code{
		"LISTEN x": result.NotCarried,
		"INSERT x": result.HomeLost,
	} {
		t.Run("refused: "+query, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			b.fake.change("a", func(i *fakeInstance) { i.breakStream = true })
			conn := b.connect("")
			mustCode(t, flush(t, b, conn, query), code)
			b.fake.change("a", func(i *fakeInstance) { i.breakStream = false })
			_, err := conn.Exec(b.context(), "INSERT y")
			is.NoErr(err)
		})
	}
}

func TestCancel(t *testing.T) {
	t.Run("running statement", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		done := make(chan error)
		go func() {
			_, err := conn.Exec(b.context(), "SELECT hang")
			done <- err
		}()
		mustEventually(t, func() bool {
			b.fake.mu.Lock()
			defer b.fake.mu.Unlock()
			return len(b.fake.executed) > 0
		})
		is.NoErr(conn.PgConn().CancelRequest(b.context()))
		var failure *pgconn.PgError
		is.True(errors.As(<-done, &failure))
		is.Equal(failure.Code, "57014")
	})
	t.Run("statement waiting for an instance", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		b.fake.change("a", func(i *fakeInstance) { i.unreachable = true })
		done := make(chan error)
		go func() {
			_, err := conn.Exec(b.context(), "INSERT x")
			done <- err
		}()
		for {
			is.NoErr(conn.PgConn().CancelRequest(b.context()))
			select {
			case err := <-done:
				mustCode(t, err, result.CancelledUnsent)
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
}

func mustEventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true in time")
		}
	}
}
