package promoter

import (
	"time"

	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// Effect is an action that the caller of a [Promoter] carries out: [Probe],
// [Grant], [Promote], [Follow], [Quiesce], [Emit] or [ChangeEnded].
type Effect interface{ effect() }

// Probe requests the status of an instance.
type Probe struct {
	Instance unit.InstanceName
	// Fresh requests a new connection, because the established one may be
	// broken.
	Fresh   bool
	Timeout time.Duration
}

// Grant requests that an instance grant the term to the proposer.
type Grant struct {
	Instance unit.InstanceName
	Term     unit.Term
	Proposer string
	Timeout  time.Duration
}

// Promote requests that an instance become the primary of the term.
type Promote struct {
	Instance unit.InstanceName
	Term     unit.Term
	Proposer string
	Timeout  time.Duration
}

// Follow requests that an instance replicate from the primary.
type Follow struct {
	Instance unit.InstanceName
	Term     unit.Term
	Primary  unit.InstanceName
	// Address is the host:port of the primary.
	Address string
	Timeout time.Duration
}

// Quiesce requests that the primary admit no new write transaction for the period.
// A zero period lifts an earlier quiesce.
type Quiesce struct {
	Instance unit.InstanceName
	Term     unit.Term
	Period   time.Duration
	Timeout  time.Duration
}

// Emit requests that the event be recorded.
type Emit struct{ Event recorder.Event }

// ChangeEnded is the answer to [ChangeRequested]. Primary names the primary after
// the change. Err is nil if that is the requested one.
type ChangeEnded struct {
	Primary Primary
	Err     error
}

func (Probe) effect()       {}
func (Grant) effect()       {}
func (Promote) effect()     {}
func (Follow) effect()      {}
func (Quiesce) effect()     {}
func (Emit) effect()        {}
func (ChangeEnded) effect() {}
