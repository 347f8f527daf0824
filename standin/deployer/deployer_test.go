package deployer_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/unit"
)

const group = unit.GroupName("pulp-ledger-1")

// testTimeout bounds the database calls and the waits of a test.
const testTimeout = time.Minute

// deploy starts a small deployment and closes it at the end of the test.
func deploy(t *testing.T, options ...deployer.Option) (context.Context, *deployer.Deployment) {
	t.Helper()
	options = append([]deployer.Option{deployer.WithoutLatency(), deployer.WithDaemons(2)}, options...)
	d, err := deployer.New(options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx, d
}

// connect opens a caller's connection to the test's group through a daemon.
func connect(ctx context.Context, t *testing.T, d *deployer.Deployment, id unit.DaemonID) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, d.URL(id, group))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func run(ctx context.Context, t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(ctx, sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func expectCount(ctx context.Context, t *testing.T, conn *pgx.Conn, want int) {
	t.Helper()
	is := is.New(t)
	var got int
	is.NoErr(conn.QueryRow(ctx, "SELECT count(*) FROM batches").Scan(&got))
	is.Equal(got, want)
}

func TestWholePath(t *testing.T) {
	ctx, d := deploy(t)
	first := connect(ctx, t, d, "lautoka-shed-1")
	run(ctx, t, first, "CREATE TABLE batches (id integer primary key, charge text)")
	run(ctx, t, first, "INSERT INTO batches VALUES ($1, $2)", 1, "rag")

	t.Run("a new session on another daemon reads acknowledged writes", func(t *testing.T) {
		expectCount(ctx, t, connect(ctx, t, d, "labasa-loft-2"), 1)
	})
	t.Run("writes succeed after the primary has been stopped", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(d.Inject(deployer.Fault{Kind: deployer.StopTarget, Target: "primary:pulp-ledger-1"}))
		run(ctx, t, connect(ctx, t, d, "lautoka-shed-2"), "INSERT INTO batches VALUES ($1, $2)", 2, "cotton")
		expectCount(ctx, t, connect(ctx, t, d, "suva-office-1"), 2)
		expectCount(ctx, t, first, 2)
	})
	t.Run("the stopped primary restarts as a replica", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(d.Inject(deployer.Fault{Kind: deployer.StartTarget, Target: "pulp-ledger-1-a"}))
		old, err := d.Target("pulp-ledger-1-a")
		is.NoErr(err)
		for old.Report().Role != "replica" && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(ctx.Err())
	})
}
