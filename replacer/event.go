package replacer

import "tarragonshed.example/unit"

// Event is an input of the Replacer: [Relisted], [Reported], [Dropped], [Recovered], [SteppedDown],
// [Surveyed], [Promoted], [Verified], [Published] or [Tick].
type Event interface{ event() }

// Relisted replaces the roster. What the restarted instances have reported is obsolete.
type Relisted struct {
	Roster
	Restarted []unit.InstanceName
}

// Reported reports the highest position of a write that a daemon has seen acknowledged. The
// daemon must not have authority any more. Reported precedes [Dropped].
type Reported struct {
	Daemon       unit.DaemonID
	Acknowledged unit.Position
}

// Dropped reports that a daemon has dropped its authority over the group.
type Dropped struct{ Daemon unit.DaemonID }

// Recovered reports that the old primary is reachable again and still leads its term.
type Recovered struct{}

// SteppedDown reports that the old primary accepts no more writes. Received is the position
// of the last record in its log.
type SteppedDown struct{ Received unit.Position }

// Surveyed reports the status of a replica.
type Surveyed struct{ Status Status }

// PromotionResult is the outcome of a promotion call to the platform.
type PromotionResult int

// The outcomes of a promotion call.
const (
	// Accepted means that the platform promotes the instance.
	Accepted PromotionResult = iota
	// NotRunning means that the instance can't be promoted.
	NotRunning
	// Unknown means that the call may or may not have taken effect, or that the platform
	// can't handle it at present. The call is retried.
	Unknown
)

// Promoted reports the outcome of a promotion call.
type Promoted struct {
	Instance unit.InstanceName
	Result   PromotionResult
}

// Verified reports the status of the promoted instance.
type Verified struct{ Status Status }

// Published reports the outcome of writing the row. If neither field is set, the outcome is
// unknown.
type Published struct{ Done, Refused bool }

// Tick advances the time. It must be sent every few milliseconds.
type Tick struct{}

func (Relisted) event()    {}
func (Reported) event()    {}
func (Dropped) event()     {}
func (Recovered) event()   {}
func (SteppedDown) event() {}
func (Surveyed) event()    {}
func (Promoted) event()    {}
func (Verified) event()    {}
func (Published) event()   {}
func (Tick) event()        {}
