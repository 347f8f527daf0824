package deployer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/unit"
)

// cutTimeout is the statement timeout of the deployment that is cut.
const cutTimeout = 2 * time.Second

// connectTo opens a caller's connection for a group.
func connectTo(ctx context.Context, t *testing.T, d *deployer.Deployment, id unit.DaemonID, group unit.GroupName) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, d.URL(id, group))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// expectRefusal repeats a statement that must be refused with a code. A request
// that is on its way when a connection turns out to be dead, or a primary to be
// without a majority, has an unknown outcome instead.
func expectRefusal(ctx context.Context, t *testing.T, conn *pgx.Conn, code, sql string) {
	t.Helper()
	_, err := conn.Exec(ctx, sql)
	for err != nil && strings.Contains(err.Error(), "outcome unknown") && ctx.Err() == nil {
		_, err = conn.Exec(ctx, sql)
	}
	if err == nil || !strings.Contains(err.Error(), code) {
		t.Fatalf("%s: got %v instead of %s", sql, err, code)
	}
}

// eventuallyRuns repeats a statement until it succeeds.
func eventuallyRuns(ctx context.Context, t *testing.T, conn *pgx.Conn, sql string) {
	t.Helper()
	for {
		_, err := conn.Exec(ctx, sql)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
}

// TestCutDomain checks each line of the table in docs/operators/cut-domains.md.
// The domain labasa-loft, where the primary of pulp-ledger-2 is, is cut off from
// everything but its callers.
func TestCutDomain(t *testing.T) {
	const (
		inside, outside = unit.DaemonID("labasa-loft-1"), unit.DaemonID("suva-office-1")
		own, others     = unit.GroupName("pulp-ledger-2"), unit.GroupName("pulp-ledger-1")
		create          = "CREATE TABLE batches (id integer primary key, charge text)"
		insert          = "INSERT INTO batches VALUES (1, 'rag')"
		count           = "SELECT count(*) FROM batches"
		staleCount      = "/*tarragon_max_staleness='1h'*/ SELECT count(*) FROM batches"
		freshCount      = "/*tarragon_max_staleness='100ms'*/ SELECT count(*) FROM batches"
	)
	is := is.New(t)
	ctx, d := deploy(t, deployer.WithStatementTimeout(cutTimeout))
	known := connectTo(ctx, t, d, inside, others)
	run(ctx, t, known, create)
	run(ctx, t, known, count)
	run(ctx, t, connectTo(ctx, t, d, inside, own), create)
	writer := connectTo(ctx, t, d, inside, own)
	run(ctx, t, writer, "SELECT 1")
	newcomer := connectTo(ctx, t, d, inside, others)

	is.NoErr(d.Inject(deployer.Fault{Kind: deployer.Cut, From: "domain:labasa-loft", To: "any"}))
	is.NoErr(d.Inject(deployer.Fault{Kind: deployer.Cut, From: "domain:labasa-loft", To: "platform"}))

	t.Run("outside, writes go on once another primary is promoted", func(t *testing.T) {
		eventuallyRuns(ctx, t, connectTo(ctx, t, d, outside, own), insert)
	})
	t.Run("outside, reads go on", func(t *testing.T) {
		run(ctx, t, connectTo(ctx, t, d, outside, own), count)
	})
	t.Run("inside, a session whose writes the replica has applied reads on", func(t *testing.T) {
		run(ctx, t, known, count)
	})
	t.Run("inside, reads with a staleness that the replica meets go on", func(t *testing.T) {
		run(ctx, t, newcomer, staleCount)
	})
	t.Run("inside, reads with a staleness that it does not meet are refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, newcomer, "TS2003 not run", freshCount)
	})
	t.Run("inside, the first read of a session that states no staleness is refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, connectTo(ctx, t, d, inside, others), "TS2014 not run", count)
	})
	t.Run("inside, writes to a primary outside are refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, known, "TS2002 not run", insert)
	})
	t.Run("inside, writes to a primary that no majority confirms are refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, writer, "TS2002 not run", insert)
	})
	t.Run("after the cut, all goes on", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(d.Inject(deployer.Fault{Kind: deployer.Heal}))
		eventuallyRuns(ctx, t, writer, "INSERT INTO batches VALUES (2, 'cotton')")
		eventuallyRuns(ctx, t, known, insert)
	})
}
