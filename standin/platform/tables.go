package platform

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"tarragonshed.example/wire/platform/gen/table"
)

// tableService holds the rows of all tables.
type tableService struct {
	mu       sync.Mutex
	revision uint64
	tables   map[string]map[string]table.Row
}

// Get returns one row.
func (s *tableService) Get(_ context.Context, payload *table.GetPayload) (*table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.tables[payload.Table][payload.Key]
	if !ok {
		return nil, table.MakeNotFound(fmt.Errorf("platform: table %q has no row %q", payload.Table, payload.Key))
	}
	return &row, nil
}

// Scan returns the rows whose key starts with the prefix, ordered by key.
func (s *tableService) Scan(_ context.Context, payload *table.ScanPayload) (*table.ScanResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []*table.Row{}
	for key, row := range s.tables[payload.Table] {
		if payload.Prefix != nil && !strings.HasPrefix(key, *payload.Prefix) {
			continue
		}
		if payload.After != nil && key <= *payload.After {
			continue
		}
		rows = append(rows, &row)
	}
	slices.SortFunc(rows, func(a, b *table.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(rows) > payload.Limit {
		rows = rows[:payload.Limit]
	}
	return &table.ScanResult{Rows: rows}, nil
}

// Commit applies all writes if all conditions hold, and nothing otherwise.
func (s *tableService) Commit(_ context.Context, payload *table.CommitPayload) (*table.CommitResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range payload.Conditions {
		if version := s.tables[c.Table][c.Key].Version; version != c.Version {
			return nil, table.MakeConflict(fmt.Errorf("platform: row %q of table %q has version %d, not %d", c.Key, c.Table, version, c.Version))
		}
	}
	s.revision++
	for _, w := range payload.Writes {
		s.apply(w)
	}
	return &table.CommitResult{Revision: s.revision}, nil
}

func (s *tableService) apply(w *table.Write) {
	if w.Delete != nil && *w.Delete {
		delete(s.tables[w.Table], w.Key)
		return
	}
	rows, ok := s.tables[w.Table]
	if !ok {
		rows = make(map[string]table.Row)
		s.tables[w.Table] = rows
	}
	value := append([]byte{}, w.Value...)
	rows[w.Key] = table.Row{Key: w.Key, Value: value, Version: s.revision}
}
