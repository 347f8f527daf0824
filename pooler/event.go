package pooler

import (
	"time"

	"tarragonshed.example/result"
)

// Event is what happened: [Acquire], [Withdraw], [Opened], [OpenFailed],
// [Returned], [Closed], [Resize], [Tick], [Suspect] or [Probed].
type Event interface{ event() }

// Acquire asks for a connection.
type Acquire struct {
	Ticket Ticket
	Now    time.Time
}

// Withdraw takes a request for a connection back.
type Withdraw struct{ Ticket Ticket }

// Opened tells that an [Open] succeeded.
type Opened struct {
	Conn Conn
	Now  time.Time
}

// OpenFailed tells that an [Open] failed.
type OpenFailed struct {
	Now time.Time
	// Exhausted tells that the instance has too many connections.
	Exhausted bool
	Err       *result.Error
}

// Returned tells that a connection is idle again, with no answer owed.
type Returned struct {
	Conn Conn
	Now  time.Time
}

// Closed tells that a connection is closed.
type Closed struct {
	Conn Conn
	Now  time.Time
}

// Resize changes the limits.
type Resize struct {
	Limits
	Now time.Time
}

// Tick lets time pass.
type Tick struct{ Now time.Time }

// Suspect tells that a connection owes an answer for long. UnresponsiveSince is since when
// it has said nothing although it owes one.
type Suspect struct {
	Conn              Conn
	UnresponsiveSince time.Time
}

// Probed tells what a fresh connection said about a suspect.
type Probed struct {
	Conn              Conn
	UnresponsiveSince time.Time
	// Answered tells that the instance answered the fresh connection.
	Answered bool
	// ControlLost tells that the control connection to the instance is lost, too.
	ControlLost bool
	// StatementRunning tells that the instance knows of a statement that runs on the
	// suspect.
	StatementRunning bool
}

func (Acquire) event()    {}
func (Withdraw) event()   {}
func (Opened) event()     {}
func (OpenFailed) event() {}
func (Returned) event()   {}
func (Closed) event()     {}
func (Resize) event()     {}
func (Tick) event()       {}
func (Suspect) event()    {}
func (Probed) event()     {}

// Effect is what has to be done: [Assign], [Fail], [Open], [Close] or [Probe].
type Effect interface{ effect() }

// Assign answers a [Acquire].
type Assign struct {
	Ticket Ticket
	Conn   Conn
	// Check asks for a round trip on the connection before it is used.
	Check bool
}

// Fail answers a [Acquire] that can't be given a connection.
type Fail struct {
	Ticket Ticket
	Err    *result.Error
}

// Open opens a connection.
type Open struct{}

// Close closes a connection. No [Closed] is due for it.
type Close struct{ Conn Conn }

// Probe asks the instance about a suspect, by a fresh connection.
type Probe struct {
	Conn              Conn
	UnresponsiveSince time.Time
}

func (Assign) effect() {}
func (Fail) effect()   {}
func (Open) effect()   {}
func (Close) effect()  {}
func (Probe) effect()  {}
