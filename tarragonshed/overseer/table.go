package overseer

import (
	"maps"
	"slices"
	"strings"

	"tarragonshed.example/unit"
)

// table is a snapshot of the store's rows in one era. Every transaction writes the epoch's
// row, so its version is the newest one in the table. The zero table is that of a daemon that
// has read nothing.
type table struct {
	era  unit.Era
	rows map[string]Row
}

// newTable returns a table of the rows.
func newTable(era unit.Era, rows []Row) table {
	t := table{era: era, rows: make(map[string]Row, len(rows))}
	t.apply(rows)
	return t
}

// with returns a copy of the table with the changes applied in order.
func (t table) with(changes []Row) table {
	next := table{era: t.era, rows: maps.Clone(t.rows)}
	if next.rows == nil {
		next.rows = make(map[string]Row, len(changes))
	}
	next.apply(changes)
	return next
}

func (t table) apply(changes []Row) {
	for _, row := range changes {
		if row.Deleted {
			delete(t.rows, row.Key)
			continue
		}
		t.rows[row.Key] = row
	}
}

// epoch returns the version of the epoch's row, or zero if nothing is known.
func (t table) epoch() uint64 { return t.rows[epochKey].Version }

// revision returns the revision of the newest row.
func (t table) revision() unit.Revision { return unit.Revision{Era: t.era, Version: t.epoch()} }

// open reports whether the era of the rows is open.
func (t table) open() bool {
	_, ok := t.rows[eraKey(t.era)]
	return ok
}

// expect returns the expectation that the row still has its known version.
func (t table) expect(key string) Expectation {
	return Expectation{Key: key, Version: t.rows[key].Version}
}

// since returns the rows that were written after the epoch, sorted by key. Rows deleted
// since then are not included. The receiver detects them because it then has more rows than
// the table.
func (t table) since(epoch uint64) []Row {
	var rows []Row
	for _, row := range t.rows {
		if row.Version > epoch {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// changesFor returns the rows that a daemon with the table of the given revision lacks: all
// rows if that is of another era.
func (t table) changesFor(known unit.Revision) []Row {
	if known.Era != t.era {
		return t.since(0)
	}
	return t.since(known.Version)
}
