package entry

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

func TestBrokenStream(t *testing.T) {
	t.Run("a write is not repeated", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		b.fake.change("a", func(i *fakeInstance) { i.breakStream = true })
		_, err := conn.Exec(b.context(), "INSERT x")
		mustCode(t, err, result.HomeLost)
		_, executed := b.fake.takeRecorded()
		is.Equal(executed, []string{"INSERT x"})
		b.fake.change("a", func(i *fakeInstance) { i.breakStream = false })
		_, err = conn.Exec(b.context(), "INSERT y")
		is.NoErr(err)
	})
	t.Run("a read is repeated", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		b.fake.change("b", func(i *fakeInstance) { i.breakStream = true })
		conn := b.connect("")
		for range 8 {
			is.Equal(mustSelect(t, b, conn, "SELECT x"), "c")
		}
	})
	t.Run("a read with a partial response is not repeated", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		for _, name := range []unit.InstanceName{"b", "c"} {
			b.fake.change(name, func(i *fakeInstance) { i.breakAfterRows = true })
		}
		conn := b.connect("")
		_, err := conn.Exec(b.context(), "SELECT x")
		mustCode(t, err, result.HomeLost)
		is.Equal(len(b.fake.executed), 1)
	})
	t.Run("a transaction stays failed until it ends", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		_, err := conn.Exec(b.context(), "BEGIN")
		is.NoErr(err)
		b.fake.change("a", func(i *fakeInstance) { i.breakStream = true })
		_, err = conn.Exec(b.context(), "INSERT x")
		mustCode(t, err, result.TransactionEnded)
		b.fake.change("a", func(i *fakeInstance) { i.breakStream = false })
		b.fake.takeRecorded()
		_, err = conn.Exec(b.context(), "INSERT y")
		is.True(err != nil)
		is.Equal(conn.PgConn().TxStatus(), byte(statusFailed))
		tag, err := conn.Exec(b.context(), "COMMIT")
		is.NoErr(err)
		is.Equal(tag.String(), "ROLLBACK")
		_, executed := b.fake.takeRecorded()
		is.Equal(len(executed), 0)
	})
}

func TestUnresponsiveInstance(t *testing.T) {
	t.Run("a read is sent to another instance", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		mustSelect(t, b, conn, "SELECT x") // Initializes the position of the session.
		b.fake.change("b", func(i *fakeInstance) { i.unresponsive = true })
		b.fake.change("c", func(i *fakeInstance) { i.unreachable = true })
		is.Equal(mustSelect(t, b, conn, "SELECT x"), "a")
		b.fake.takeRecorded()
		is.Equal(mustSelect(t, b, conn, "SELECT x"), "a")
		opened, _ := b.fake.takeRecorded()
		is.Equal(len(opened), 1) // The unresponsive instance was not tried again.
		b.fake.change("b", func(i *fakeInstance) { i.unresponsive = false })
		mustEventually(t, func() bool { return mustSelect(t, b, conn, "SELECT x") == "b" })
	})
	t.Run("a write that was not sent is sent to the new primary", func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		conn := b.connect("")
		b.fake.change("a", func(i *fakeInstance) { i.unresponsive = true })
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(b.context(), "INSERT x")
			done <- err
		}()
		b.fake.promote("b")
		is.NoErr(<-done)
	})
}

// TestReadLostOnPrimary breaks the stream of reads on the primary. Such a read
// may have written, so only an instance that accepts no writes may repeat it.
func TestReadLostOnPrimary(t *testing.T) {
	for query, served := range map[string]bool{"SELECT x": true, "SELECT writing()": false} {
		t.Run(query, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			b.fake.change("a", func(i *fakeInstance) { i.report.Last.Index, i.report.Applied.Index = 5, 5 })
			conn := b.connect("&tarragon.position=1/5")
			b.fake.change("a", func(i *fakeInstance) { i.breakStream = true })
			_, err := conn.Exec(b.context(), query)
			_, executed := b.fake.takeRecorded()
			is.Equal(executed, []string{query, query}) // On the primary and on a replica.
			if served {
				is.NoErr(err)
				return
			}
			mustCode(t, err, result.HomeLost)
		})
	}
}

// TestLostReadIsNotRefusedAsNotRun has the replicas refuse a read that may have
// run on the primary. The caller must not get an error whose outcome is "not
// run".
func TestLostReadIsNotRefusedAsNotRun(t *testing.T) {
	b := newFixture(t)
	b.fake.change("a", func(i *fakeInstance) {
		i.report.Last.Index, i.report.Applied.Index = 5, 5
		i.breakStream = true
	})
	for _, name := range []unit.InstanceName{"b", "c"} { // Behind, until the stream to the primary breaks.
		b.fake.change(name, func(i *fakeInstance) { i.refuse = result.NoManifest })
	}
	_, err := b.connect("&tarragon.position=1/5").Exec(b.context(), "SELECT x")
	mustCode(t, err, result.HomeLost)
}
