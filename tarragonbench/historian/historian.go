// Package historian records what concurrent callers do and see, and checks
// whether the promises of tarragonshed hold in that history.
//
// # Tables
//
// Callers work on three tables of each group, see [Schema]. Registers are
// written by all callers with values that are unique. A counter is written by
// one caller only, upwards, and read by all. Entries are inserted into buckets;
// nothing but the promises keeps an entry from being there twice.
//
// # Outcomes
//
// An operation is done, did not run, or has an unknown outcome. It did not run
// when the answer carries a "not run" code or a plain error of the database,
// when nothing was sent, or when its COMMIT was never sent.
//
// # Checks
//
//   - Done inserts are in the final state exactly once, unknown ones at most
//     once, and those that did not run not at all. Transactions are whole.
//   - What any read has seen is in the final state.
//   - A caller's reads see its own writes and never go back, over all of its
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
//	h.Run(ctx) // Until the context ends; faults strike meanwhile.
//	if err := h.Settle(ctx); err != nil {
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

// Schema creates the tables in a group.
const Schema = `
CREATE TABLE registers (key bigint PRIMARY KEY, value bigint NOT NULL);
CREATE TABLE counters (key bigint PRIMARY KEY, value bigint NOT NULL);
CREATE TABLE entries (bucket bigint NOT NULL, item bigint NOT NULL);
CREATE INDEX entries_bucket ON entries (bucket)`

// Kind names what an operation does.
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

// Outcome tells what became of an operation.
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
	// Session counts the caller's connections.
	Session int    `json:"session"`
	Daemon  string `json:"daemon"`
	// Fresh tells that it is the first of its session.
	Fresh bool  `json:"fresh,omitempty"`
	Kind  Kind  `json:"kind"`
	Key   int64 `json:"key"`
	// Value is what was written or read, or the item inserted.
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

func ms(ns int64) float64 { return float64(ns) / 1e6 }

// Final is the state of a group after the run.
type Final struct {
	Registers map[int64]int64 `json:"registers"`
	Counters  map[int64]int64 `json:"counters"`
	// Entries counts the rows of each bucket's items.
	Entries map[int64]map[int64]int `json:"entries"`
}

// Daemon is an address that callers connect to.
type Daemon struct {
	Name    string
	Address string
	// Dial opens connections. Nil means a plain dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings say how a history comes about. Zero fields have defaults.
type Settings struct {
	Seed    uint64
	Callers int
	Daemons []Daemon
	Groups  []unit.GroupName
	// Registers is the number of registers of each group.
	Registers int
	// ThinkTime is the mean of a caller's exponential pause between operations.
	ThinkTime time.Duration
	// Roam is the share of operations before which a caller moves to another daemon.
	Roam float64
	// Reads is the share of operations that read.
	Reads float64
	// Timeout bounds an operation.
	Timeout time.Duration
	// Parameters are added to the connection string.
	Parameters string
	// User and Password log in.
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

// History is what happened in one run. It is safe for concurrent use.
type History struct {
	settings Settings
	began    time.Time
	groups   map[unit.GroupName]*groupState

	mu         sync.Mutex
	operations []Operation
	final      map[unit.GroupName]Final
}

// groupState hands out what must be unique in a group.
type groupState struct {
	values atomic.Int64
	items  atomic.Int64
}

// BucketSize is the number of items that are inserted into a bucket.
const BucketSize = 32

// New returns an empty history.
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

// Operations returns the operations so far, in the order of their returns.
func (h *History) Operations() []Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Operation(nil), h.operations...)
}

// Now returns the time since the history began, in nanoseconds.
func (h *History) Now() int64 { return int64(time.Since(h.began)) }

// Began returns when the history began.
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

// Gap returns the longest time without a write of the group done, between two
// that were, in the part of the history that begins at from.
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

func (o Operation) writes() bool {
	switch o.Kind {
	case WriteRegister, WriteCounter, Insert, InsertKeyed, InsertPair:
		return true
	}
	return false
}
