package entry

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

func TestLostLane(t *testing.T) {
	t.Run("a write is not repeated", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		conn := b.connect("")
		b.fake.change("a", func(i *fakeInstance) { i.sever = true })
		_, err := conn.Exec(b.context(), "INSERT x")
		mustCode(t, err, result.HomeLost)
		_, executed := b.fake.take()
		is.Equal(executed, []string{"INSERT x"})
		b.fake.change("a", func(i *fakeInstance) { i.sever = false })
		_, err = conn.Exec(b.context(), "INSERT y")
		is.NoErr(err)
	})
	t.Run("a read is repeated", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.fake.change("b", func(i *fakeInstance) { i.sever = true })
		conn := b.connect("")
		for range 8 {
			is.Equal(mustSelect(t, b, conn, "SELECT x"), "c")
		}
	})
	t.Run("a half answer is not completed", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		for _, name := range []unit.InstanceName{"b", "c"} {
			b.fake.change(name, func(i *fakeInstance) { i.severRows = true })
		}
		conn := b.connect("")
		_, err := conn.Exec(b.context(), "SELECT x")
		mustCode(t, err, result.HomeLost)
		is.Equal(len(b.fake.executed), 1)
	})
	t.Run("a transaction fails as a whole", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		conn := b.connect("")
		_, err := conn.Exec(b.context(), "BEGIN")
		is.NoErr(err)
		b.fake.change("a", func(i *fakeInstance) { i.sever = true })
		_, err = conn.Exec(b.context(), "INSERT x")
		mustCode(t, err, result.TransactionEnded)
		b.fake.change("a", func(i *fakeInstance) { i.sever = false })
		b.fake.take()
		_, err = conn.Exec(b.context(), "INSERT y")
		is.True(err != nil)
		is.Equal(conn.PgConn().TxStatus(), byte(statusFailed))
		tag, err := conn.Exec(b.context(), "COMMIT")
		is.NoErr(err)
		is.Equal(tag.String(), "ROLLBACK")
		_, executed := b.fake.take()
		is.Equal(len(executed), 0)
	})
}

func TestSilentInstance(t *testing.T) {
	t.Run("a read goes elsewhere", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		conn := b.connect("")
		mustSelect(t, b, conn, "SELECT x") // Takes the read index.
		b.fake.change("b", func(i *fakeInstance) { i.silent = true })
		b.fake.change("c", func(i *fakeInstance) { i.unreachable = true })
		is.Equal(mustSelect(t, b, conn, "SELECT x"), "a")
		b.fake.take()
		is.Equal(mustSelect(t, b, conn, "SELECT x"), "a")
		opened, _ := b.fake.take()
		is.Equal(len(opened), 1) // The silent instance was not tried again.
		b.fake.change("b", func(i *fakeInstance) { i.silent = false })
		mustEventually(t, func() bool { return mustSelect(t, b, conn, "SELECT x") == "b" })
	})
	t.Run("a write that was not sent follows the primary", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		conn := b.connect("")
		b.fake.change("a", func(i *fakeInstance) { i.silent = true })
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(b.context(), "INSERT x")
			done <- err
		}()
		b.fake.promote("b")
		is.NoErr(<-done)
	})
}

// TestReadLostOnPrimary loses reads that may have written: only an instance that
// writes nothing may repeat them.
func TestReadLostOnPrimary(t *testing.T) {
	for query, served := range map[string]bool{"SELECT x": true, "SELECT writing()": false} {
		t.Run(query, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.fake.change("a", func(i *fakeInstance) { i.report.Last.Index, i.report.Applied.Index = 5, 5 })
			conn := b.connect("&tarragon.position=1/5")
			b.fake.change("a", func(i *fakeInstance) { i.sever = true })
			_, err := conn.Exec(b.context(), query)
			_, executed := b.fake.take()
			is.Equal(executed, []string{query, query}) // On the primary and on a replica.
			if served {
				is.NoErr(err)
				return
			}
			mustCode(t, err, result.HomeLost)
		})
	}
}

// TestLostReadIsNotRefusedAsNotRun has the replicas refuse what may have run on
// the primary.
func TestLostReadIsNotRefusedAsNotRun(t *testing.T) {
	b := newBench(t)
	b.fake.change("a", func(i *fakeInstance) {
		i.report.Last.Index, i.report.Applied.Index = 5, 5
		i.sever = true
	})
	for _, name := range []unit.InstanceName{"b", "c"} { // Behind, until the primary severs.
		b.fake.change(name, func(i *fakeInstance) { i.refuse = result.NoManifest })
	}
	_, err := b.connect("&tarragon.position=1/5").Exec(b.context(), "SELECT x")
	mustCode(t, err, result.HomeLost)
}
