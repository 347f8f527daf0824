// Package historian records the operations of concurrent callers and their results, and
// checks whether the guarantees of tarragonshed hold in that history.
//
// # Tables
//
// Callers work on three tables of each group, see [Schema]. Registers are
// written by all callers with values that are unique. A counter is written by
// one caller only, with increasing values, and read by all. Entries are inserted into
// buckets. No unique constraint prevents a duplicate entry, so that an insert that runs
// twice is found.
//
// # Outcomes
//
// An operation is done, did not run, or has an unknown outcome. It did not run
// when the response has a "not run" code or is an error of the database itself,
// when nothing was sent, or when its COMMIT was never sent.
//
// # Checks
//
//   - Done inserts are in the final state exactly once, unknown ones at most
//     once, and those that did not run not at all. Transactions are atomic.
//   - Every value and item that a read has returned is in the final state.
//   - A caller reads its own writes, and its reads are monotonic, over all of its
//     connections and daemons.
//   - Writes and the first reads of new sessions are linearizable, for each
//     register and each bucket (by porcupine).
//
// # Usage
//
//	h := historian.New(historian.Settings{Seed: 7, Callers: 8, Daemons: daemons, Groups: groups})
//	if err := h.Prepare(ctx); err != nil {
//		return err
//	}
//	h.Run(ctx) // Until the context ends; faults are injected meanwhile.
//	if err := h.ReadFinalStates(ctx); err != nil {
//		return err
//	}
//	for _, v := range h.Check().Violations {
//		fmt.Println(v)
//	}
package historian

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/unit"
)

// Schema creates the tables of a group.
const Schema = `
CREATE TABLE registers (key bigint PRIMARY KEY, value bigint NOT NULL);
CREATE TABLE counters (key bigint PRIMARY KEY, value bigint NOT NULL);
CREATE TABLE entries (bucket bigint NOT NULL, item bigint NOT NULL);
CREATE INDEX entries_bucket ON entries (bucket)`

// Kind is the kind of an operation.
type Kind string

// The kinds of operations.
const (
	WriteRegister Kind = "write-register"
	ReadRegister  Kind = "read-register"
	WriteCounter  Kind = "write-counter"
	ReadCounter   Kind = "read-counter"
	Insert        Kind = "insert"
	InsertKeyed   Kind = "insert-keyed"
	InsertPair    Kind = "insert-pair"
	ReadBucket    Kind = "read-bucket"
)

// Outcome is the outcome of an operation as its caller knows it.
type Outcome string

// The outcomes of an operation.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not run"
	Unknown Outcome = "outcome unknown"
)

// Operation is one operation of a caller.
type Operation struct {
	Group  unit.GroupName `json:"group"`
	Caller int            `json:"caller"`
	// Session is the number of connections that the caller has opened so far.
	Session int    `json:"session"`
	Daemon  string `json:"daemon"`
	// Fresh is true for the first operation of a session.
	Fresh bool  `json:"fresh,omitempty"`
	Kind  Kind  `json:"kind"`
	Key   int64 `json:"key"`
	// Value is the value written or read, or the item inserted.
	Value int64 `json:"value"`
	// Second is the other item of a pair.
	Second int64 `json:"second,omitempty"`
	// Seen lists the items read from a bucket.
	Seen []int64 `json:"seen,omitempty"`
	// Call and Return are in nanoseconds since the history began.
	Call     int64   `json:"call"`
	Return   int64   `json:"return"`
	Outcome  Outcome `json:"outcome"`
	Code     string  `json:"code,omitempty"`
	Detail   string  `json:"detail,omitempty"`
	Attempts int     `json:"attempts"`
}

// String formats o as one line.
func (o Operation) String() string {
	return fmt.Sprintf("%9.3fms..%9.3fms caller %d/%d at %s: %s %s key %d value %d,%d seen %v: %s %s", ms(o.Call), ms(o.Return),
		o.Caller, o.Session, o.Daemon, o.Group, o.Kind, o.Key, o.Value, o.Second, o.Seen, o.Outcome, o.Detail)
}

// ms converts nanoseconds to milliseconds.
func ms(ns int64) float64 { return float64(ns) / 1e6 }

// Final is the state of a group after the run.
type Final struct {
	Registers map[int64]int64 `json:"registers"`
	Counters  map[int64]int64 `json:"counters"`
	// Entries holds the number of rows by bucket and item.
	Entries map[int64]map[int64]int `json:"entries"`
}

// Daemon is a daemon that callers connect to.
type Daemon struct {
	Name    string
	Address string
	// Dial opens connections. Nil means a plain dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings describe how a history is generated. A zero field has a default where there is
// one.
type Settings struct {
	Seed    uint64
	Callers int
	Daemons []Daemon
	Groups  []unit.GroupName
	// Registers is the number of registers of each group.
	Registers int
	// ThinkTime is the mean of a caller's exponentially distributed wait between operations.
	ThinkTime time.Duration
	// Roam is the share of operations before which a caller reconnects to a daemon chosen
	// at random.
	Roam float64
	// Reads is the share of operations that read.
	Reads float64
	// Timeout bounds an operation.
	Timeout time.Duration
	// Parameters are added to the connection string.
	Parameters string
	// User and Password are the credentials of the client account.
	User, Password string
}

func (s Settings) withDefaults() Settings {
	if s.Callers == 0 {
		s.Callers = 8
	}
	if s.Registers == 0 {
		s.Registers = 4
	}
	if s.ThinkTime == 0 {
		s.ThinkTime = 5 * time.Millisecond
	}
	if s.Roam == 0 {
		s.Roam = 0.2
	}
	if s.Reads == 0 {
		s.Reads = 0.5
	}
	if s.Timeout == 0 {
		s.Timeout = 5 * time.Second
	}
	if s.User == "" {
		s.User, s.Password = "demo", "demo"
	}
	return s
}

// History holds the operations and the final states of one run. It is safe for concurrent use.
type History struct {
	settings Settings
	began    time.Time
	groups   map[unit.GroupName]*groupState

	mu         sync.Mutex
	operations []Operation
	final      map[unit.GroupName]Final
}

// groupState holds the next register value and the next item of a group, both unique in
// the group.
type groupState struct {
	nextValue atomic.Int64
	nextItem  atomic.Int64
}

// BucketSize is the number of items that are inserted into a bucket; a pair at the end of
// a bucket adds one more.
const BucketSize = 32

// New returns a history without operations.
func New(settings Settings) *History {
	h := &History{
		settings: settings.withDefaults(), began: time.Now(),
		groups: map[unit.GroupName]*groupState{}, final: map[unit.GroupName]Final{},
	}
	for _, g := range settings.Groups {
		h.groups[g] = &groupState{}
	}
	return h
}

// Operations returns the operations recorded so far, in the order of their recording.
func (h *History) Operations() []Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Operation(nil), h.operations...)
}

// Now returns the time since the history began, in nanoseconds.
func (h *History) Now() int64 { return int64(time.Since(h.began)) }

// Began returns the time at which the history began.
func (h *History) Began() time.Time { return h.began }

// Add records an operation.
func (h *History) Add(o Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// SetFinal records the final state of a group.
func (h *History) SetFinal(group unit.GroupName, final Final) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.final[group] = final
}

// Gap returns the longest time between two successive done writes of the group of which
// the second one returned after from, in nanoseconds since the history began.
func (h *History) Gap(group unit.GroupName, from int64) time.Duration {
	last, longest := int64(0), int64(0)
	for _, o := range h.Operations() {
		if o.Group != group || o.Outcome != Done || !o.writes() {
			continue
		}
		if last > 0 && o.Return > from {
			longest = max(longest, o.Return-last)
		}
		last = o.Return
	}
	return time.Duration(longest)
}

// writes reports whether the operation writes.
func (o Operation) writes() bool {
	switch o.Kind {
	case WriteRegister, WriteCounter, Insert, InsertKeyed, InsertPair:
		return true
	}
	return false
}
