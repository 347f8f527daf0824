package overseer

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"tarragonshed.example/unit"
)

// ErrConflict means that a transaction was refused because a row did not have the expected
// version.
var ErrConflict = errors.New("overseer: a row does not have the expected version")

// ErrNotCommitted means that a transaction was certainly not executed.
var ErrNotCommitted = errors.New("overseer: the transaction was not committed")

// ErrHistoryDropped means that the store no longer has the requested history.
var ErrHistoryDropped = errors.New("overseer: the store no longer has the requested history")

// ErrOtherEra means that the store was restored from a copy. A transaction may have been
// executed before or after the restore.
var ErrOtherEra = errors.New("overseer: the store was restored")

// Store keeps the rows of one table. Its operations are linearizable within an era.
type Store interface {
	// Row returns one row. The version is zero if the row does not exist.
	Row(ctx context.Context, key string) (Row, Moment, error)
	// Rows returns a snapshot of all rows.
	Rows(ctx context.Context) ([]Row, Moment, error)
	// Changes returns the rows that were written or deleted after the revision, in the order
	// of the changes and up to one point in time. The error is ErrHistoryDropped if the store
	// no longer has these changes, or ErrOtherEra if the revision is of another era.
	Changes(ctx context.Context, after unit.Revision) ([]Row, Moment, error)
	// Commit executes the transaction atomically. The error is ErrConflict or
	// ErrNotCommitted if it was not executed. With any other error it may have been executed,
	// or may still be while its expectations hold.
	Commit(ctx context.Context, tx Transaction) (Moment, error)
}

// Moment is when the store gave a response.
type Moment struct {
	Era unit.Era
	// Now is the store's clock.
	Now time.Duration
	// Version is the store's newest version.
	Version uint64
}

// Row is a row and its version, which is the number of the transaction that last wrote it.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	// Deleted marks a deleted row in a list of changes.
	Deleted bool
}

// Expectation is the version that a row must have. Zero means that the row must not exist.
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
	// Era is the era of the expected versions.
	Era      unit.Era
	Expected []Expectation
	Puts     []Put
	Deletes  []string
}

// Keys of the rows.
const (
	epochKey     = "epoch"
	dutyKey      = "duty"
	eraPrefix    = "era."
	groupPrefix  = "group."
	memberPrefix = "member."
)

// eraKey returns the key of the row that exists only while the era is open.
func eraKey(e unit.Era) string         { return eraPrefix + strconv.FormatUint(uint64(e), 10) }
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

// opening is the row of an era.
type opening struct {
	// UnlistedUntil is the store's clock until which changes wait for daemons that are not on
	// the list.
	UnlistedUntil time.Duration `json:"unlisted-until,omitempty"`
}
