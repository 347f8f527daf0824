package deployer_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"
	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/standin/deployer"
)

const (
	workers  = 12
	rounds   = 15
	poolSize = 4
)

// runWorkers runs work in one goroutine per worker and fails if any returns an error.
func runWorkers(t *testing.T, work func(worker int) error) {
	t.Helper()
	var running sync.WaitGroup
	failures := make([]error, workers)
	for worker := range workers {
		running.Go(func() { failures[worker] = work(worker) })
	}
	running.Wait()
	if err := errors.Join(failures...); err != nil {
		t.Fatal(err)
	}
}

// TestDrivers runs the workloads of common drivers over all daemons.
func TestDrivers(t *testing.T) {
	ctx, d := deploy(t)
	ids := d.DaemonIDs()
	run(ctx, t, connect(ctx, t, d, ids[0]), "CREATE TABLE entries (id text primary key, n integer)")

	t.Run("pgx with its statement cache, alternating between daemons", func(t *testing.T) {
		runWorkers(t, func(worker int) error {
			for round := range rounds {
				if err := writeAndRead(ctx, d, worker, round); err != nil {
					return fmt.Errorf("worker %d, round %d: %w", worker, round, err)
				}
			}
			return nil
		})
	})
	t.Run("database/sql with a connection pool per daemon", func(t *testing.T) {
		is := is.New(t)
		var pools []*sql.DB
		for _, id := range ids {
			pool, err := sql.Open("pgx", d.URL(id, group))
			is.NoErr(err)
			defer pool.Close()
			pool.SetMaxOpenConns(poolSize)
			pools = append(pools, pool)
		}
		runWorkers(t, func(worker int) error {
			for round := range rounds {
				if err := runTransaction(ctx, pools, worker, round); err != nil {
					return fmt.Errorf("worker %d, round %d: %w", worker, round, err)
				}
			}
			return nil
		})
	})
	t.Run("pgxpool with pipelined batches", func(t *testing.T) {
		is := is.New(t)
		pool, err := pgxpool.New(ctx, d.URL(ids[1], group))
		is.NoErr(err)
		defer pool.Close()
		runWorkers(t, func(worker int) error {
			for round := range rounds {
				key := fmt.Sprintf("batch-%d-%d", worker, round)
				batch := &pgx.Batch{}
				batch.Queue("INSERT INTO entries VALUES ($1, $2)", key, round)
				batch.Queue("SELECT n FROM entries WHERE id = $1", key)
				results := pool.SendBatch(ctx, batch)
				_, err := results.Exec()
				var n int
				err = errors.Join(err, results.QueryRow().Scan(&n), results.Close())
				if err != nil || n != round {
					return fmt.Errorf("%s: got %d: %w", key, n, err)
				}
			}
			return nil
		})
	})
}

// writeAndRead writes through one daemon and reads through another.
func writeAndRead(ctx context.Context, d *deployer.Deployment, worker, round int) error {
	ids := d.DaemonIDs()
	key := fmt.Sprintf("pgx-%d-%d", worker, round)
	writer, err := pgx.Connect(ctx, d.URL(ids[(worker+round)%len(ids)], group))
	if err != nil {
		return err
	}
	defer writer.Close(ctx)
	if _, err := writer.Exec(ctx, "INSERT INTO entries VALUES ($1, $2)", key, round); err != nil {
		return err
	}
	reader, err := pgx.Connect(ctx, d.URL(ids[(worker+round+1)%len(ids)], group))
	if err != nil {
		return err
	}
	defer reader.Close(ctx)
	for _, conn := range []*pgx.Conn{reader, writer, reader} {
		var n int
		if err := conn.QueryRow(ctx, "SELECT n FROM entries WHERE id = $1", key).Scan(&n); err != nil || n != round {
			return fmt.Errorf("%s: got %d: %w", key, n, err)
		}
	}
	return nil
}

// runTransaction runs a transaction in one pool and reads in another.
func runTransaction(ctx context.Context, pools []*sql.DB, worker, round int) error {
	key := fmt.Sprintf("sql-%d-%d", worker, round)
	tx, err := pools[(worker+round)%len(pools)].BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	if _, err := tx.ExecContext(ctx, "INSERT INTO entries VALUES ($1, $2)", key, 0); err != nil {
		return err
	}
	if _, err := tx.ExecContext(ctx, "UPDATE entries SET n = $1 WHERE id = $2", round, key); err != nil {
		return err
	}
	if err := tx.Commit(); err != nil {
		return err
	}
	conn, err := pools[(worker+round)%len(pools)].Conn(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	var n sql.NullInt64
	return conn.QueryRowContext(ctx, "SELECT max(n) FROM entries WHERE id LIKE $1", "sql-%").Scan(&n)
}

// TestHostileCallers checks that invalid requests end in an error with the SQLSTATE of
// their result code, and that the daemon still serves requests afterwards.
func TestHostileCallers(t *testing.T) {
	ctx, d := deploy(t)
	id := d.DaemonIDs()[0]
	conn := connect(ctx, t, d, id)
	mustRefuse := func(t *testing.T, err error, code result.Code) {
		t.Helper()
		is := is.New(t)
		var refused *pgconn.PgError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Code, code.Entry().SQLState)
	}
	t.Run("64 MB statement", func(t *testing.T) {
		_, err := conn.Exec(ctx, "SELECT '"+strings.Repeat("x", 64<<20)+"'")
		mustRefuse(t, err, result.StatementTooLarge)
	})
	t.Run("wrong password", func(t *testing.T) {
		_, err := pgx.Connect(ctx, strings.Replace(d.URL(id, group), "demo:demo", "demo:wrong", 1))
		mustRefuse(t, err, result.AuthenticationFailed)
	})
	t.Run("unknown database", func(t *testing.T) {
		_, err := pgx.Connect(ctx, d.URL(id, "unheard-of"))
		mustRefuse(t, err, result.UnknownDatabase)
	})
	t.Run("the daemon still serves requests", func(t *testing.T) {
		run(ctx, t, conn, "SELECT 1")
	})
}
