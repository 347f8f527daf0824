package engine

import (
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Statement is what a caller asks for: [Begin], [Commit], [Rollback], [Read],
// [Write], [Set], [Prepare], [Execute] or [Deallocate]; or what the engine asks of an
// instance for itself: [Discard], [Status] or [StepDown].
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps what it wrote.
type Commit struct{}

// Rollback ends a transaction and keeps nothing.
type Rollback struct{}

// Read reads. Text is passed on unchanged.
type Read struct{ Text string }

// Write writes. Text is passed on unchanged.
type Write struct{ Text string }

// Set gives the session a value.
type Set struct{ Name, Value string }

// Prepare gives a statement a name, which holds in the session.
type Prepare struct {
	Name       string
	Definition Definition
}

// Definition is what a prepared statement does.
type Definition struct {
	Writes bool
	Text   string
}

// Execute runs a prepared statement. Text is passed on unchanged.
type Execute struct{ Name, Text string }

// Deallocate gives up the name of a prepared statement.
type Deallocate struct{ Name string }

// Discard clears the values and names of a connection.
type Discard struct{}

// Status asks an instance about itself.
type Status struct{}

// StepDown tells an instance that it is no primary below the term.
type StepDown struct{ Term unit.Term }

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}
func (Discard) statement()    {}
func (Status) statement()     {}
func (StepDown) statement()   {}

// TransactionState is the state of a session or of a connection.
type TransactionState byte

// The states.
const (
	Idle   TransactionState = 'I'
	Open   TransactionState = 'T'
	Failed TransactionState = 'E'
)

// Answer is the whole answer to one statement of a caller.
type Answer struct {
	// Rows are as the instance sent them.
	Rows [][]byte
	// Receipt is the instance's mark of what it ran. It is empty for
	// statements that the engine answers itself.
	Receipt string
	// Err is nil on success. Its outcome tells whether anything is kept.
	Err      *result.Error
	State    TransactionState
	Position unit.Position
}

// Request is one statement for an instance.
type Request struct {
	// ID is empty for statements of the engine's own.
	ID        unit.RequestID
	Statement Statement
	// After is the position that the instance must have reached. Zero asks for
	// none.
	After unit.Position
}

// Reply is the whole reply of an instance to one request.
type Reply struct {
	Rows     [][]byte
	Receipt  string
	Err      *result.Error
	State    TransactionState
	Position unit.Position
}

// InstanceStatus is what an instance says about itself.
type InstanceStatus struct {
	Primary bool
	// Term is the term that the instance is in.
	Term unit.Term
	// Received is the last record of its log.
	Received unit.Position
}
