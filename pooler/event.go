package pooler

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Event is an input of a [Pooler]: [Acquire], [Withdraw], [Opened], [OpenFailed],
// [Returned], [Closed], [Resize], [Tick], [Suspect] or [Probed].
type Event interface{ event() }

// Acquire requests a connection of the caller.
type Acquire struct {
	Ticket Ticket
	Caller unit.CallerName
	Now    time.Time
}

// Withdraw cancels a request for a connection.
type Withdraw struct{ Ticket Ticket }

// Opened reports that an [Open] for the caller succeeded.
type Opened struct {
	Conn   Conn
	Caller unit.CallerName
	Now    time.Time
}

// OpenFailed reports that an [Open] for the caller failed.
type OpenFailed struct {
	Caller unit.CallerName
	Now    time.Time
	// Exhausted is set if the instance rejected the connection because it has too
	// many.
	Exhausted bool
	Err       *result.Error
}

// Returned reports that a connection is idle again, with no pending responses.
type Returned struct {
	Conn Conn
	Now  time.Time
}

// Closed reports that a connection has been closed.
type Closed struct {
	Conn Conn
	Now  time.Time
}

// Resize changes the limits.
type Resize struct {
	Limits
	Now time.Time
}

// Tick reports the current time, for timeouts and for the opening of connections.
type Tick struct{ Now time.Time }

// Suspect reports that a response on a connection has been pending for too long.
// UnresponsiveSince is the time since when the instance has sent nothing on the
// connection although a response is pending.
type Suspect struct {
	Conn              Conn
	UnresponsiveSince time.Time
}

// Probed reports the result of a [Probe].
type Probed struct {
	Conn              Conn
	UnresponsiveSince time.Time
	// Answered is set if the instance answered on the new connection.
	Answered bool
	// ControlLost is set if the control connection to the instance is lost, too.
	ControlLost bool
	// StatementRunning is set if the instance reports a statement that runs on the
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

// Effect is an action for the embedding code: [Assign], [Fail], [Open], [Close] or [Probe].
type Effect interface{ effect() }

// Assign assigns a connection to the request of an [Acquire].
type Assign struct {
	Ticket Ticket
	Conn   Conn
	// Check requests a round trip on the connection before it is used.
	Check bool
}

// Fail rejects the request of an [Acquire], because no connection could be opened.
type Fail struct {
	Ticket Ticket
	Err    *result.Error
}

// Open opens a connection of the caller.
type Open struct{ Caller unit.CallerName }

// Close closes a connection. It needs no [Closed] event in return.
type Close struct{ Conn Conn }

// Probe requests a query over a new connection whether a statement runs on the suspect.
type Probe struct {
	Conn              Conn
	UnresponsiveSince time.Time
}

func (Assign) effect() {}
func (Fail) effect()   {}
func (Open) effect()   {}
func (Close) effect()  {}
func (Probe) effect()  {}
