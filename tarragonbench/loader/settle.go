package loader

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"

	"tarragonshed.example/tarragonbench/historian"
)

// Verify compares the final state with the outcomes of the inserts and returns the
// report. It retries reading the state until the context ends, and then returns an error.
func (l *Loader) Verify(ctx context.Context) (Report, error) {
	for _, g := range l.groups {
		var items []int64
		err := l.access().Retry(ctx, g.name, l.settings.Timeout, func(ctx context.Context, conn *pgx.Conn) error {
			rows, err := conn.Query(ctx, "SELECT item FROM ledger")
			if err != nil {
				return err
			}
			items, err = pgx.CollectRows(rows, pgx.RowTo[int64])
			return err
		})
		if err != nil {
			return Report{}, fmt.Errorf("loader: read final state of group %s: %w", g.name, err)
		}
		l.checkItems(g, items)
	}
	done := 0
	for _, f := range l.report.Classes {
		f.summarize()
		done += f.Done
	}
	l.report.Goodput = float64(done) / l.settings.Duration.Seconds()
	return l.report, nil
}

// checkItems adds a violation for each item that is lost, is stored more than once, or is
// stored although its insert did not run.
func (l *Loader) checkItems(g *group, items []int64) {
	counts := map[int64]int{}
	for _, item := range items {
		counts[item]++
	}
	for item, outcome := range g.inserts {
		switch n := counts[item]; {
		case n == 0 && outcome == historian.Done:
			l.addViolation("item %d of %s is lost", item, g.name)
		case n > 0 && outcome == historian.NotRun:
			l.addViolation("item %d of %s did not run and is there", item, g.name)
		case n > 1:
			l.addViolation("item %d of %s is there %d times", item, g.name, n)
		}
	}
}
