package promoter

import (
	"time"

	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// Effect is what a [Promoter] asks for: [Probe], [Grant], [Promote], [Follow],
// [Quiesce], [Emit] or [ChangeEnded].
type Effect interface{ effect() }

// Probe asks for the status of an instance.
type Probe struct {
	Instance unit.InstanceName
	// Fresh asks for a connection of its own, because the one in use may be
	// what is broken.
	Fresh   bool
	Timeout time.Duration
}

// Grant asks an instance to grant the term to the proposer.
type Grant struct {
	Instance unit.InstanceName
	Term     unit.Term
	Proposer string
	Timeout  time.Duration
}

// Promote asks an instance to become primary.
type Promote struct {
	Instance unit.InstanceName
	Term     unit.Term
	Proposer string
	Timeout  time.Duration
}

// Follow tells an instance whom to replicate from.
type Follow struct {
	Instance unit.InstanceName
	Term     unit.Term
	Primary  unit.InstanceName
	// Address is the host:port of the primary.
	Address string
	Timeout time.Duration
}

// Quiesce asks the primary to admit no new write transaction for the period.
type Quiesce struct {
	Instance unit.InstanceName
	Term     unit.Term
	Period   time.Duration
	Timeout  time.Duration
}

// Emit asks to record an event.
type Emit struct{ Event recorder.Event }

// ChangeEnded answers [ChangeRequested]. Primary names the primary after the change,
// Err is nil if that is the one asked for.
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
