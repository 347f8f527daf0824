package target

import (
	"context"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"github.com/matryer/is"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

const testTimeout = 20 * time.Second

// startGroup starts a primary "a" and replicas "b" and "c".
func startGroup(t *testing.T, options ...Option) [3]*Target {
	t.Helper()
	var list [3]*Target
	for i, name := range []unit.InstanceName{"a", "b", "c"} {
		initial := WithPrimary()
		if i > 0 {
			initial = WithFollow("a", list[0].Address())
		}
		inst, err := New(name, "ledger", append([]Option{WithConnectDelay(0), initial}, options...)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = inst.Destroy() })
		list[i] = inst
	}
	return list
}

func connect(t *testing.T, inst *Target, parameters string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://x@%s/ledger?sslmode=disable&%s", inst.Address(), parameters))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, query string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(t.Context(), query, args...); err != nil {
		t.Fatalf("%s: %v", query, err)
	}
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

func position(conn *pgx.Conn) string { return conn.PgConn().ParameterStatus(positionParameter) }

// call executes a control function that returns a report.
func call(t *testing.T, inst *Target, query string) instance.Report {
	t.Helper()
	conn := connect(t, inst, "application_name=tarragon-control")
	defer conn.Close(t.Context())
	var r instance.Report
	results, err := conn.PgConn().Exec(t.Context(), query).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(results[0].Rows[0][0], &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", condition)
}

func applied(inst *Target, p unit.Position) func() bool {
	return func() bool { return inst.Report().Applied == p }
}

func TestPositions(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	conn := connect(t, g[0], "default_query_exec_mode=simple_protocol")
	exec(t, conn, "CREATE TABLE t (k bigint primary key, v text)")
	is.Equal(position(conn), "1:1:2")
	exec(t, conn, "INSERT INTO t VALUES (1, 'a')")
	is.Equal(position(conn), "1:1:3")
	exec(t, conn, "BEGIN; INSERT INTO t VALUES (2, 'b'); SELECT 1")
	is.Equal(position(conn), "1:1:3") // The snapshot of the open transaction.
	exec(t, conn, "COMMIT")
	is.Equal(position(conn), "1:1:4")
	for _, inst := range g {
		eventually(t, "write applied", applied(inst, unit.Position{Term: 1, Index: 4}))
		var n int
		replica := connect(t, inst, "")
		is.NoErr(replica.QueryRow(t.Context(), "SELECT count(*) FROM t").Scan(&n))
		is.Equal(n, 2)
		is.Equal(position(replica), "1:1:4")
	}
	eventually(t, "both replicas have acknowledged the write to the primary", func() bool {
		r, held := g[0].Report(), 0
		for _, f := range r.Followers {
			if f.Holds(unit.Position{Term: 1, Index: 4}) {
				held++
			}
		}
		return held == 2
	})
	_, err := connect(t, g[1], "").Exec(t.Context(), "INSERT INTO t VALUES (3, 'c')")
	is.Equal(sqlState(err), "25006")
}

func TestDataTypesInExtendedProtocol(t *testing.T) {
	is := is.New(t)
	conn := connect(t, startGroup(t)[0], "")
	exec(t, conn, "CREATE TABLE t (id bigserial primary key, n int, ok boolean, f float8, b bytea, at timestamptz, s text, d numeric(10,2))")
	at := time.Date(2026, 2, 3, 4, 5, 6, 7000, time.UTC)
	var id, n int64
	is.NoErr(conn.QueryRow(t.Context(), "INSERT INTO t (n, ok, f, b, at, s, d) VALUES ($1, $2, $3, $4, $5, $6, 1.25) RETURNING id",
		7, true, 1.5, []byte{0, 1}, at, "x").Scan(&id))
	is.Equal(id, int64(1))
	var ok bool
	var f, d float64
	var b []byte
	var got time.Time
	var s string
	is.NoErr(conn.QueryRow(t.Context(), "SELECT n, ok, f, b, at, s, d FROM t WHERE id = $1 AND n + 1 > $2::int", id, 3).Scan(&n, &ok, &f, &b, &got, &s, &d))
	is.Equal([]any{n, ok, f, b, s, d}, []any{int64(7), true, 1.5, []byte{0, 1}, "x", 1.25})
	is.True(got.Equal(at))
	tag, err := conn.Exec(t.Context(), "UPDATE t SET n = n + $1 WHERE id = $2", 1, id)
	is.NoErr(err)
	is.Equal(tag.String(), "UPDATE 1")
	is.NoErr(conn.QueryRow(t.Context(), "SELECT sum(n), now(), $1::text || 'y' FROM t", "x").Scan(&n, &got, &s))
	is.Equal([]any{n, s}, []any{int64(8), "xy"})
	rows, err := conn.Query(t.Context(), "SELECT count(*), 1, n AS m, t.s, id FROM t")
	is.NoErr(err)
	rows.Close()
	var names []string
	for _, f := range rows.FieldDescriptions() {
		names = append(names, f.Name)
	}
	is.Equal(names, []string{"count", "?column?", "m", "s", "id"})

	db, err := sql.Open("pgx", conn.Config().ConnString())
	is.NoErr(err)
	defer db.Close()
	tx, err := db.BeginTx(t.Context(), nil)
	is.NoErr(err)
	_, err = tx.Exec("INSERT INTO t (n) VALUES ($1)", 9)
	is.NoErr(err)
	is.NoErr(tx.Commit())
	is.NoErr(db.QueryRow("SELECT count(*) FROM t").Scan(&n))
	is.Equal(n, int64(2))
}

func TestErrorsHaveSQLStates(t *testing.T) {
	conn := connect(t, startGroup(t)[0], "default_query_exec_mode=simple_protocol")
	exec(t, conn, "INSERT INTO tarragon_requests (key) VALUES ('k')")
	for query, want := range map[string]string{
		"SELEC 1":             "42601",
		"SELECT * FROM ghost": "42P01",
		"SELECT ghost()":      "42883",
		"INSERT INTO tarragon_requests (key) VALUES ('k')": "23505",
		"BEGIN READ ONLY; DELETE FROM tarragon_requests":   "25006",
	} {
		_, err := conn.Exec(t.Context(), query)
		is.New(t).Equal(sqlState(err), want)
		if want == "25006" {
			_, err = conn.Exec(t.Context(), "SELECT 1")
			is.New(t).Equal(sqlState(err), "25P02")
			exec(t, conn, "ROLLBACK")
		}
	}
	_, err := conn.Exec(t.Context(), "DELETE FROM tarragon_requests; SELECT * FROM ghost")
	is.New(t).Equal(sqlState(err), "42P01")
	var n int
	is.New(t).NoErr(conn.QueryRow(t.Context(), "SELECT count(*) FROM tarragon_requests").Scan(&n))
	is.New(t).Equal(n, 1) // The batch was rolled back as a whole.
}

func TestGrantPromoteFollow(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	conn := connect(t, g[0], "")
	exec(t, conn, "CREATE TABLE t (k bigint primary key)")
	for _, inst := range g {
		eventually(t, "applied", applied(inst, unit.Position{Term: 1, Index: 2}))
	}
	is.Equal(call(t, g[1], "SELECT tarragon_grant(2, 'p')").GrantedTo, "p")
	is.Equal(call(t, g[1], "SELECT tarragon_grant(2, 'q')").GrantedTo, "p") // A term is granted only once.
	is.Equal(call(t, g[2], "SELECT tarragon_grant(2, 'p')").Role, instance.Detached)

	// The old primary has not received the grant. Its writes are truncated from the log
	// when it follows the new primary.
	exec(t, conn, "INSERT INTO t VALUES (1)")
	is.Equal(position(conn), "1:1:3")
	is.Equal(call(t, g[1], "SELECT tarragon_promote(2, 'q')").Role, instance.Detached)
	is.Equal(call(t, g[1], "SELECT tarragon_promote(2, 'p')").Last, unit.Position{Term: 2, Index: 3})
	is.Equal(call(t, g[1], "SELECT tarragon_promote(2, 'p')").Last, unit.Position{Term: 2, Index: 3})
	follow := fmt.Sprintf("SELECT tarragon_follow(2, 'b', '%s')", g[1].Address())
	is.Equal(call(t, g[2], follow).Role, instance.Replica)

	tx, err := conn.Begin(t.Context())
	is.NoErr(err)
	_, err = tx.Exec(t.Context(), "INSERT INTO t VALUES (2)")
	is.NoErr(err)
	is.Equal(call(t, g[0], follow).Primary, unit.InstanceName("b"))
	is.Equal(sqlState(tx.Commit(t.Context())), "25006")

	exec(t, connect(t, g[1], ""), "INSERT INTO t VALUES (3)")
	for _, inst := range g {
		eventually(t, "applied in term 2", applied(inst, unit.Position{Term: 2, Index: 4}))
		var list []int64
		rows, err := connect(t, inst, "").Query(t.Context(), "SELECT k FROM t")
		is.NoErr(err)
		list, err = pgx.CollectRows(rows, pgx.RowTo[int64])
		is.NoErr(err)
		is.Equal(list, []int64{3})
	}
	is.Equal(g[0].log.history(), []span{{1, 1, 2}, {2, 3, 4}})
	is.Equal(call(t, g[2], "SELECT tarragon_promote(2, 'p')").Role, instance.Replica) // It already follows a primary in the term.
}

func TestQuiesce(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	conn := connect(t, g[0], "")
	exec(t, conn, "CREATE TABLE t (k bigint)")
	is.True(call(t, g[0], "SELECT tarragon_quiesce(1, 60000)").Quiesced)
	_, err := conn.Exec(t.Context(), "INSERT INTO t VALUES (1)")
	is.Equal(sqlState(err), "25006")
	is.True(!call(t, g[0], "SELECT tarragon_quiesce(1, 0)").Quiesced)
	exec(t, conn, "INSERT INTO t VALUES (1)")
}

func TestNotificationsCarryLatestReport(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	control := connect(t, g[0], "application_name=tarragon-control")
	exec(t, control, "LISTEN tarragon_status")
	exec(t, connect(t, g[0], ""), "CREATE TABLE t (k bigint)")
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for {
		n, err := control.WaitForNotification(ctx)
		is.NoErr(err)
		var r instance.Report
		is.NoErr(json.Unmarshal([]byte(n.Payload), &r))
		if r.Last.Index == 2 && len(r.Followers) == 2 && r.Followers[0].Last.Index == 2 && r.Followers[1].Last.Index == 2 {
			return
		}
	}
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, WithConnections(3), WithSlots(1))
	sleeper, waiter := connect(t, g[0], ""), connect(t, g[0], "")
	control := connect(t, g[0], "application_name=tarragon-control")
	_, err := pgx.Connect(t.Context(), control.Config().ConnString())
	is.Equal(sqlState(err), "53300")

	reserved := startGroup(t, WithConnections(3), WithReservedConnections(2))
	caller := connect(t, reserved[0], "")
	_, err = pgx.Connect(t.Context(), caller.Config().ConnString())
	is.Equal(sqlState(err), "53300")
	connect(t, reserved[0], "application_name=tarragon-control")

	slept := make(chan error, 1)
	go func() {
		_, err := sleeper.Exec(context.Background(), "SELECT pg_sleep(3600)")
		slept <- err
	}()
	eventually(t, "slot acquired", func() bool { return len(g[0].slots) == 1 })
	var one int
	is.NoErr(control.QueryRow(t.Context(), "SELECT 1").Scan(&one)) // Control connections need no slot.
	waited := make(chan error, 1)
	go func() {
		_, err := waiter.Exec(context.Background(), "SELECT 1", pgx.QueryExecModeSimpleProtocol)
		waited <- err
	}()
	eventually(t, "statement that waits for a slot is cancelled", func() bool {
		_ = waiter.PgConn().CancelRequest(t.Context())
		select {
		case err := <-waited:
			return sqlState(err) == "57014"
		default:
			return false
		}
	})
	is.NoErr(sleeper.PgConn().CancelRequest(t.Context()))
	is.Equal(sqlState(<-slept), "57014")
}

func TestPauseAndCrash(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	conn := connect(t, g[0], "")
	exec(t, conn, "CREATE TABLE t (k bigint)")
	g[0].Pause()
	answered := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO t VALUES (1)")
		answered <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := pgx.Connect(ctx, conn.Config().ConnString())
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(len(answered), 0)
	g[0].Resume()
	is.NoErr(<-answered)

	is.NoErr(g[0].Close())
	_, err = conn.Exec(t.Context(), "SELECT 1")
	is.True(err != nil)
	boot := g[0].Report().Boot
	is.NoErr(g[0].Restart())
	is.True(g[0].Report().Boot > boot)
	exec(t, connect(t, g[0], ""), "INSERT INTO t VALUES (2)")
	for _, inst := range g {
		eventually(t, "write after the restart applied", applied(inst, unit.Position{Term: 1, Index: 4}))
	}
}

func TestLagAndBlackholedConnections(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	old := connect(t, g[0], "")
	exec(t, old, "CREATE TABLE t (k bigint)")
	for _, inst := range g {
		eventually(t, "applied", applied(inst, unit.Position{Term: 1, Index: 2}))
	}
	g[1].SetApplyLag(time.Hour)
	g[2].SetReceiveLag(time.Hour)
	g[0].BlackholeConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := old.Exec(ctx, "SELECT 1")
	is.True(errors.Is(err, context.DeadlineExceeded))
	exec(t, connect(t, g[0], ""), "INSERT INTO t VALUES (1)")
	eventually(t, "record received but not applied", func() bool {
		r := g[1].Report()
		return r.Last.Index == 3 && r.Applied.Index == 2
	})
	is.Equal(g[2].Report().Last.Index, unit.Index(2))
	g[1].SetApplyLag(0)
	eventually(t, "applied", applied(g[1], unit.Position{Term: 1, Index: 3}))
}

func TestIdleTransactionTimeout(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	writer := connect(t, g[0], "")
	exec(t, writer, "CREATE TABLE t (k bigint)")
	idle := connect(t, g[0], "")
	exec(t, idle, "SET idle_in_transaction_session_timeout = 50")
	exec(t, idle, "BEGIN")
	exec(t, idle, "INSERT INTO t VALUES (1)")
	g[0].BlackholeConnections()
	writer = connect(t, g[0], "")
	exec(t, writer, "INSERT INTO t VALUES (2)") // Waits until the idle transaction is rolled back.
	var n int
	is.NoErr(writer.QueryRow(t.Context(), "SELECT count(*) FROM t").Scan(&n))
	is.Equal(n, 1)
}
