package promoter

import (
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// Moment is the time of an event and a random number for the delays that it may
// start.
type Moment struct {
	At time.Time
	// Random is uniform in [0, 1).
	Random float64
}

func (m Moment) moment() Moment { return m }

// Event is what a [Promoter] is told: [Tick], [Reported], [Failed],
// [Disconnected], [Ranked], [Reconfigured] or [ChangeRequested].
type Event interface{ moment() Moment }

// Call names the call that an answer or a failure belongs to.
type Call int

// The calls of a target.
const (
	// NoCall marks a report that an instance pushed.
	NoCall Call = iota
	ProbeCall
	GrantCall
	PromoteCall
	FollowCall
	QuiesceCall
)

// Cause tells why a call failed.
type Cause int

// The causes of failed calls.
const (
	// TimedOut means that nothing was heard in time.
	TimedOut Cause = iota
	// Refused means that the instance's machine refused or reset a fresh
	// connection: no process listens.
	Refused
	// Denied means that the instance answered with an error: it is alive.
	Denied
)

// Tick tells the time. It is due at [Promoter.Next].
type Tick struct{ Moment }

// Reported is the answer to a call, or a report that an instance pushed.
type Reported struct {
	Moment
	Call   Call
	Report instance.Report
	// Took is how long the call took.
	Took time.Duration
}

// Failed tells that a call got no report.
type Failed struct {
	Moment
	Instance unit.InstanceName
	Call     Call
	Cause    Cause
}

// Disconnected tells that an established connection to the instance broke.
type Disconnected struct {
	Moment
	Instance unit.InstanceName
}

// Ranked gives the place of this Promoter among those of the group. The one
// with rank zero acts at once, the others later.
type Ranked struct {
	Moment
	Rank int
}

// Reconfigured replaces the members of the group.
type Reconfigured struct {
	Moment
	Members []Member
}

// ChangeRequested asks for a planned change of primary. It is answered by
// [ChangeEnded].
type ChangeRequested struct {
	Moment
	// Target is the instance to promote. When empty, one is chosen.
	Target unit.InstanceName
}
