package historian

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
)

// Prepare creates the tables and their rows in all groups. It tries the daemons in turn
// until one succeeds or the context ends.
func (h *History) Prepare(ctx context.Context) error {
	for _, g := range h.settings.Groups {
		if err := h.settings.Retry(ctx, g, 2*h.settings.Timeout, h.create); err != nil {
			return fmt.Errorf("historian: create tables of group %s: %w", g, err)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began = time.Now()
	return nil
}

// create creates the tables and rows of a group.
func (h *History) create(ctx context.Context, conn *pgx.Conn) error {
	var n int
	if conn.QueryRow(ctx, "SELECT count(*) FROM counters").Scan(&n) == nil && n == h.settings.Callers {
		return nil // An earlier attempt succeeded, but its response was lost.
	}
	var b strings.Builder
	b.WriteString(Schema)
	for k := range h.settings.Registers {
		fmt.Fprintf(&b, ";\nINSERT INTO registers (key, value) VALUES (%d, 0)", k)
	}
	for k := range h.settings.Callers {
		fmt.Fprintf(&b, ";\nINSERT INTO counters (key, value) VALUES (%d, 0)", k)
	}
	_, err := conn.Exec(ctx, b.String(), pgx.QueryExecModeSimpleProtocol)
	return err
}

// ReadFinalStates reads the final state of each group by a new session. It is called after
// the faults have ended, and retries until the context ends.
func (h *History) ReadFinalStates(ctx context.Context) error {
	for _, g := range h.settings.Groups {
		err := h.settings.Retry(ctx, g, 2*h.settings.Timeout, func(ctx context.Context, conn *pgx.Conn) error {
			final, err := ReadFinal(ctx, conn)
			if err == nil {
				h.SetFinal(g, final)
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("historian: read final state of group %s: %w", g, err)
		}
	}
	return nil
}

// ReadFinal reads the state of a group's tables in one transaction.
func ReadFinal(ctx context.Context, conn *pgx.Conn) (Final, error) {
	final := Final{Registers: map[int64]int64{}, Counters: map[int64]int64{}, Entries: map[int64]map[int64]int{}}
	tx, err := conn.BeginTx(ctx, pgx.TxOptions{IsoLevel: pgx.RepeatableRead})
	if err != nil {
		return final, err
	}
	defer func() { _ = tx.Rollback(ctx) }()
	var a, b int64
	scan := func(query string, f func()) error {
		rows, err := tx.Query(ctx, query)
		if err != nil {
			return err
		}
		_, err = pgx.ForEachRow(rows, []any{&a, &b}, func() error { f(); return nil })
		return err
	}
	return final, errors.Join(
		scan("SELECT key, value FROM registers", func() { final.Registers[a] = b }),
		scan("SELECT key, value FROM counters", func() { final.Counters[a] = b }),
		scan("SELECT bucket, item FROM entries", func() {
			if final.Entries[a] == nil {
				final.Entries[a] = map[int64]int{}
			}
			final.Entries[a][b]++
		}),
	)
}
