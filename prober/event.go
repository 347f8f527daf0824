package prober

import (
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// Event is something that a Prober is told.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{ Now time.Time }

// Received tells the entries that came with a message of any kind.
type Received struct {
	Now time.Time
	// Sender is the entry of the daemon that sent the message about itself.
	Sender  Entry
	Entries []Entry
}

// ProbeSucceeded tells that a direct or indirect probe reached its target.
type ProbeSucceeded struct {
	Now      time.Time
	Sequence uint64
}

// ProbeFailed tells that a direct probe failed before its time was over.
type ProbeFailed struct {
	Now      time.Time
	Sequence uint64
}

// Listed tells the platform's list of VMs.
type Listed struct {
	Now      time.Time
	Revision uint64
	VMs      []member.Daemon
}

// Leave tells that this daemon is leaving.
type Leave struct{ Now time.Time }

// ManifestInForce tells the manifest version that this daemon has in force.
type ManifestInForce struct{ Version unit.ManifestVersion }

func (Tick) event()            {}
func (Received) event()        {}
func (ProbeSucceeded) event()  {}
func (ProbeFailed) event()     {}
func (Listed) event()          {}
func (Leave) event()           {}
func (ManifestInForce) event() {}

// Effect is something that a Prober asks for.
type Effect interface{ effect() }

// Probe asks to probe a daemon directly.
type Probe struct {
	Sequence uint64
	To       member.Daemon
}

// ProbeIndirect asks to have a daemon probe another.
type ProbeIndirect struct {
	Sequence uint64
	Via      member.Daemon
	Target   member.Daemon
}

// Exchange asks to exchange digests with a daemon.
type Exchange struct{ To member.Daemon }

// Changed tells that the view has changed.
type Changed struct{}

// RecordEvent is an event for the timeline.
type RecordEvent struct{ Event recorder.Event }

// EarlierManifest tells which manifest version an earlier incarnation of this daemon had.
type EarlierManifest struct{ Version unit.ManifestVersion }

func (Probe) effect()           {}
func (ProbeIndirect) effect()   {}
func (Exchange) effect()        {}
func (Changed) effect()         {}
func (RecordEvent) effect()     {}
func (EarlierManifest) effect() {}
