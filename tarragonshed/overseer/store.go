package overseer

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// ErrConflict says that a transaction was refused because a row had another
// version than expected.
var ErrConflict = errors.New("overseer: a row has another version than expected")

// ErrNotCommitted says that a transaction was certainly not carried out.
var ErrNotCommitted = errors.New("overseer: the store did not carry out the transaction")

// ErrHistoryDropped says that the store has dropped the history asked for.
var ErrHistoryDropped = errors.New("overseer: the store has dropped the history")

// Store keeps the rows of one table. Its answers are linearizable.
type Store interface {
	// Row returns one row. Its version is zero if there is none.
	Row(ctx context.Context, key string) (Row, time.Duration, error)
	// Rows returns all rows as of one moment, and the store's clock.
	Rows(ctx context.Context) ([]Row, time.Duration, error)
	// Changes returns the rows that were written or dropped after the version, in
	// their order and up to one moment, and the store's clock. The error is
	// ErrForgotten if the store does not know them any more.
	Changes(ctx context.Context, after uint64) ([]Row, time.Duration, error)
	// Commit carries out all of the transaction or nothing. The error is
	// ErrConflict or ErrNotDone when it was not carried out; with any other
	// error it may have been, or may be later while its expectations hold. The
	// result is the store's clock.
	Commit(ctx context.Context, tx Transaction) (time.Duration, error)
}

// Row is a row with its version: the number of the transaction that wrote it last.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	// Deleted marks a row that was dropped, among changes.
	Deleted bool
}

// Expectation names the version that a row must have. Zero: there must be none.
type Expectation struct {
	Key     string
	Version uint64
}

// Put is the new value of a row.
type Put struct {
	Key   string
	Value []byte
}

// Transaction is an atomic change of rows.
type Transaction struct {
	Expected []Expectation
	Puts     []Put
	Deletes  []string
}

// Keys of the rows.
const (
	epochKey     = "epoch"
	dutyKey      = "duty"
	groupPrefix  = "group."
	memberPrefix = "member."
)

func groupKey(g unit.GroupName) string { return groupPrefix + string(g) }
func memberKey(d unit.DaemonID) string { return memberPrefix + string(d) }
func epochPut() Put                    { return Put{Key: epochKey, Value: []byte("{}")} }
func encode(key string, value any) Put {
	body, err := json.Marshal(value)
	if err != nil {
		panic("overseer: a row can't be encoded: " + err.Error()) // Rows are plain structs.
	}
	return Put{Key: key, Value: body}
}

// decode returns the view that the rows make and the keys of those that could not
// be read.
func decode(rows table, now time.Duration) (view authorizer.View, bad []string) {
	view = authorizer.View{
		Leaderships: make(map[unit.GroupName]authorizer.Leadership),
		Members:     make(map[unit.DaemonID]authorizer.Member),
		Now:         now,
		Epoch:       rows.epoch(),
	}
	for _, row := range rows.since(0) {
		if !decodeRow(&view, row) {
			bad = append(bad, row.Key)
		}
	}
	return view, bad
}

func decodeRow(view *authorizer.View, row Row) bool {
	switch {
	case row.Key == epochKey:
		return true
	case row.Key == dutyKey:
		return json.Unmarshal(row.Value, &view.Duty) == nil
	case strings.HasPrefix(row.Key, groupPrefix):
		var l authorizer.Leadership
		if json.Unmarshal(row.Value, &l) != nil || groupKey(l.Group) != row.Key {
			return false
		}
		view.Leaderships[l.Group] = l
		return true
	case strings.HasPrefix(row.Key, memberPrefix):
		var m authorizer.Member
		if json.Unmarshal(row.Value, &m) != nil || memberKey(m.Daemon) != row.Key {
			return false
		}
		view.Members[m.Daemon] = m
		return true
	}
	return false
}
