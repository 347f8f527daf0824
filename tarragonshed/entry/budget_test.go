package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/framer"
)

// smallMemory are limits that half of a largest batch exhausts.
var smallMemory = WithLimits(Limits{MaxBatch: framer.MiB, Memory: framer.MiB})

// insert returns a statement of about that many bytes.
func insert(bytes int) string { return "INSERT '" + strings.Repeat("x", bytes) + "'" }

func TestBatchWithoutMemory(t *testing.T) {
	t.Run("one message", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, smallMemory)
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		_, err := conn.Exec(b.context(), insert(framer.MiB/2))
		mustCode(t, err, result.Overloaded)
		_, err = conn.Exec(b.context(), insert(framer.MiB/8))
		is.NoErr(err) // The session goes on.
	})
	t.Run("many messages", func(t *testing.T) {
		b := newFixture(t, smallMemory)
		conn := b.connect("")
		var batch pgx.Batch
		for range 50 {
			batch.Queue("INSERT $1", strings.Repeat("x", 10<<10))
		}
		mustCode(t, conn.SendBatch(b.context(), &batch).Close(), result.Overloaded)
		mustSelect(t, b, conn, "SELECT x")
	})
	t.Run("in a transaction", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, smallMemory)
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		tx, err := conn.Begin(b.context())
		is.NoErr(err)
		_, err = tx.Exec(b.context(), insert(framer.MiB/2))
		mustCode(t, err, result.Overloaded)
		is.True(tx.Commit(b.context()) != nil) // Nothing of it is committed.
	})
	t.Run("the largest in calm", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, WithLimits(Limits{MaxBatch: framer.MiB}))
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		_, err := conn.Exec(b.context(), insert(framer.MiB-100))
		is.NoErr(err)
	})
}

func TestPreparedStatementsWithoutMemory(t *testing.T) {
	b := newFixture(t, smallMemory)
	conn := b.connect("")
	for n := range 100 {
		_, err := conn.Prepare(b.context(), fmt.Sprint("p", n), insert(10<<10))
		if err == nil {
			continue
		}
		mustCode(t, err, result.Overloaded)
		is.New(t).True(n > 20) // A quarter of the memory was used before.
		mustSelect(t, b, conn, "SELECT x")
		return
	}
	t.Fatal("all statements were prepared")
}

func TestConnectionsOfOneCaller(t *testing.T) {
	b := newFixture(t, WithLimits(Limits{MaxPerCaller: 1}))
	conn := b.connect("")
	_, err := pgx.Connect(b.context(), b.url(""))
	mustCode(t, err, result.TooManyCallers)
	is.New(t).NoErr(conn.Close(context.Background()))
}
