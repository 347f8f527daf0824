package engine

import (
	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/unit"
)

// Statement is a request of a caller: [Begin], [Commit], [Rollback], [Read], [Write],
// [Set], [Prepare], [Execute] or [Deallocate]; or a request of the engine to an instance:
// [Discard], [Status] or [StepDown].
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits a transaction.
type Commit struct{}

// Rollback rolls back a transaction.
type Rollback struct{}

// Read is a read statement. Text is passed on unchanged.
type Read struct{ Text string }

// Write is a write statement. Text is passed on unchanged.
type Write struct{ Text string }

// Set sets a value of the session.
type Set struct{ Name, Value string }

// Prepare names a statement for the rest of the session.
type Prepare struct {
	Name       string
	Definition Definition
}

// Definition defines a prepared statement.
type Definition struct {
	Writes bool
	Text   string
}

// Execute runs a prepared statement. Text is passed on unchanged.
type Execute struct{ Name, Text string }

// Deallocate removes the name of a prepared statement.
type Deallocate struct{ Name string }

// Discard clears the values and the prepared statements of a connection.
type Discard struct{}

// Status requests the status of an instance.
type Status struct{}

// StepDown makes an instance stop acting as the primary of any term below Term.
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

// TransactionState is the transaction state of a session or of a connection.
type TransactionState byte

// The transaction states.
const (
	Idle   TransactionState = 'I'
	Open   TransactionState = 'T'
	Failed TransactionState = 'E'
)

// Answer is the complete answer to one statement of a caller.
type Answer struct {
	// Rows are passed on as the instance sent them.
	Rows [][]byte
	// Receipt is the instance's acknowledgement of what it ran, passed on unchanged. It is
	// empty for statements that the engine answers itself.
	Receipt string
	// Err is nil on success. Its outcome states whether the statement may have had an
	// effect.
	Err      *result.Error
	State    TransactionState
	Position unit.Position
}

// Request is one statement for an instance.
type Request struct {
	// ID is the ID of the caller's request. It is empty for the engine's own statements.
	ID        unit.RequestID
	Statement Statement
	// After is the position that the instance must have reached. Zero means any position.
	After unit.Position
}

// Reply is the complete reply of an instance to one request.
type Reply struct {
	Rows     [][]byte
	Receipt  string
	Err      *result.Error
	State    TransactionState
	Position unit.Position
	// Load is the load of the instance as seen by the daemon that ran the request, or nil if
	// that is not known.
	Load *router.Report
}

// InstanceStatus is the status that an instance reports.
type InstanceStatus struct {
	Primary bool
	// Term is the current term of the instance.
	Term unit.Term
	// Received is the position of the last record of its log.
	Received unit.Position
}
