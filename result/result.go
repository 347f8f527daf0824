// Package result defines the numbered result codes of tarragonshed.
//
// # Outcomes
//
// Every refusal reports whether the statement ran. [NotRun] is used only when the
// statement was never sent to an instance or provably can no longer run.
// [Unknown] is used whenever neither can be proved. [Ran] is used when the
// statement took effect but its response could not be delivered completely.
//
// # Usage
//
//	err := result.New(result.Overloaded, "instance %s expects a wait of %v", name, wait)
//	...
//	if result.OutcomeOf(err) == result.NotRun {
//		retry()
//	}
//
// docs/RESULTS.md holds the table of all codes; a test compares it with [Table].
package result

import (
	"errors"
	"fmt"
	"sort"
)

// Code is a numbered result code. It is formatted as "TS" and four digits.
type Code int

// Outcome reports whether a refused statement ran.
type Outcome string

// The outcomes of a refused statement.
const (
	NotRun  Outcome = "not run"
	Unknown Outcome = "outcome unknown"
	Ran     Outcome = "ran"
)

// Entry describes one code.
type Entry struct {
	Code    Code
	Name    string
	Outcome Outcome
	// SQLState is the SQLSTATE that callers receive. It is empty for codes
	// that callers never see.
	SQLState string
	// Meaning describes the code in one sentence for docs/RESULTS.md.
	Meaning string
}

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
}

// New returns an [Error] whose detail is formatted as by [fmt.Sprintf].
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error formats the code, the outcome and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%v %s: %s", e.Code, e.Code.Entry().Outcome, e.Detail)
}

// String formats c as "TS" and four digits.
func (c Code) String() string {
	return fmt.Sprintf("TS%04d", int(c))
}

// Entry returns the description of c. An unlisted code has outcome Unknown.
func (c Code) Entry() Entry {
	entry, ok := entries[c]
	if !ok {
		return Entry{Code: c, Name: "unlisted", Outcome: Unknown, SQLState: "XX000"}
	}
	return entry
}

// CodeOf returns the code of the [Error] in err's chain, or zero if there is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// OutcomeOf returns the outcome of err's code, or [Unknown] if err has no code.
func OutcomeOf(err error) Outcome {
	code := CodeOf(err)
	if code == 0 {
		return Unknown
	}
	return code.Entry().Outcome
}

// Table returns the entries of all codes, ordered by code.
func Table() []Entry {
	table := make([]Entry, 0, len(entries))
	for _, entry := range entries {
		table = append(table, entry)
	}
	sort.Slice(table, func(i, j int) bool { return table[i].Code < table[j].Code })
	return table
}
