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

// cutTimeout is the statement timeout of the deployment with a cut domain.
const cutTimeout = 2 * time.Second

// connectTo opens a caller's connection to a group through a daemon.
func connectTo(ctx context.Context, t *testing.T, d *deployer.Deployment, id unit.DaemonID, group unit.GroupName) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, d.URL(id, group))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// expectRefusal runs a statement that must be refused with a code. It repeats the
// statement while its outcome is unknown: a request that is in flight when a
// connection breaks, or when the primary loses its majority, is not refused.
func expectRefusal(ctx context.Context, t *testing.T, conn *pgx.Conn, code, sql string) {
	t.Helper()
	_, err := conn.Exec(ctx, sql)
	for err != nil && strings.Contains(err.Error(), "outcome unknown") && ctx.Err() == nil {
		_, err = conn.Exec(ctx, sql)
	}
	if err == nil || !strings.Contains(err.Error(), code) {
		t.Fatalf("%s: error is %v, want %s", sql, err, code)
	}
}

// retryUntilRuns repeats a statement until it succeeds.
func retryUntilRuns(ctx context.Context, t *testing.T, conn *pgx.Conn, sql string) {
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
// The domain labasa-loft, which holds the primary of pulp-ledger-2, is cut off from
// all nodes but its callers.
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
	usedSession := connectTo(ctx, t, d, inside, others)
	run(ctx, t, usedSession, create)
	run(ctx, t, usedSession, count)
	run(ctx, t, connectTo(ctx, t, d, inside, own), create)
	writer := connectTo(ctx, t, d, inside, own)
	run(ctx, t, writer, "SELECT 1")
	unusedSession := connectTo(ctx, t, d, inside, others)

	is.NoErr(d.Inject(deployer.Fault{Kind: deployer.Cut, From: "domain:labasa-loft", To: "any"}))
	is.NoErr(d.Inject(deployer.Fault{Kind: deployer.Cut, From: "domain:labasa-loft", To: "platform"}))

	t.Run("outside, writes succeed once another primary is promoted", func(t *testing.T) {
		retryUntilRuns(ctx, t, connectTo(ctx, t, d, outside, own), insert)
	})
	t.Run("outside, reads succeed", func(t *testing.T) {
		run(ctx, t, connectTo(ctx, t, d, outside, own), count)
	})
	t.Run("inside, reads of a session whose writes the replica has applied succeed", func(t *testing.T) {
		run(ctx, t, usedSession, count)
	})
	t.Run("inside, reads with a staleness bound that the replica meets succeed", func(t *testing.T) {
		run(ctx, t, unusedSession, staleCount)
	})
	t.Run("inside, reads with a staleness bound that it does not meet are refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, unusedSession, "TS2003 not run", freshCount)
	})
	t.Run("inside, the first read of a session without a staleness bound is refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, connectTo(ctx, t, d, inside, others), "TS2014 not run", count)
	})
	t.Run("inside, writes to a primary outside are refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, usedSession, "TS2002 not run", insert)
	})
	t.Run("inside, writes to a primary that no majority confirms are refused as not run", func(t *testing.T) {
		expectRefusal(ctx, t, writer, "TS2002 not run", insert)
	})
	t.Run("after the cut, writes succeed", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(d.Inject(deployer.Fault{Kind: deployer.Heal}))
		retryUntilRuns(ctx, t, writer, "INSERT INTO batches VALUES (2, 'cotton')")
		retryUntilRuns(ctx, t, usedSession, insert)
	})
}
