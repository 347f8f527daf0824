package promoter

import (
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// Moment is the time of an event and a random number for the delays that the event
// may start. A [Promoter] takes both from its caller, so that equal events give
// equal effects.
type Moment struct {
	At time.Time
	// Random is uniform in [0, 1).
	Random float64
}

func (m Moment) moment() Moment { return m }

// Event is an input of a [Promoter]: [Tick], [Reported], [Failed],
// [Disconnected], [Ranked], [Reconfigured] or [ChangeRequested].
type Event interface{ moment() Moment }

// Call is the kind of call that an answer or a failure belongs to.
type Call int

// The calls to an instance.
const (
	// NoCall marks a report that an instance pushed.
	NoCall Call = iota
	ProbeCall
	GrantCall
	PromoteCall
	FollowCall
	QuiesceCall
)

// Cause is the reason for which a call failed.
type Cause int

// The causes of failed calls.
const (
	// TimedOut means that no answer arrived within the timeout.
	TimedOut Cause = iota
	// Refused means that the instance's VM refused or reset a new connection:
	// no process listens.
	Refused
	// Denied means that the instance answered with an error: it is alive.
	Denied
)

// Tick reports that time has passed. It is due at [Promoter.Next].
type Tick struct{ Moment }

// Reported is the answer to a call, or a report that an instance pushed.
type Reported struct {
	Moment
	Call   Call
	Report instance.Report
	// Took is the duration of the call.
	Took time.Duration
}

// Failed reports that a call returned no report.
type Failed struct {
	Moment
	Instance unit.InstanceName
	Call     Call
	Cause    Cause
}

// Disconnected reports that an established connection to the instance broke.
type Disconnected struct {
	Moment
	Instance unit.InstanceName
}

// Ranked sets the rank of this Promoter among those of the group. The Promoter
// with rank zero acts at once, the others after a delay of [Timing.Stagger] for
// each rank.
type Ranked struct {
	Moment
	Rank int
}

// Reconfigured replaces the members of the group.
type Reconfigured struct {
	Moment
	Members []Member
}

// ChangeRequested requests a planned change of primary. [ChangeEnded] is the
// answer.
type ChangeRequested struct {
	Moment
	// Target is the instance to promote. When empty, one is chosen.
	Target unit.InstanceName
}
