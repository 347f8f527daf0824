package prober

import (
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// Event is an input of a [Prober].
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{ Now time.Time }

// Received reports the entries that a message of any kind carried.
type Received struct {
	Now time.Time
	// Sender is the entry of the daemon that sent the message, as stated by itself.
	Sender  Entry
	Entries []Entry
}

// ProbeSucceeded reports that a direct or indirect probe reached its target.
type ProbeSucceeded struct {
	Now      time.Time
	Sequence uint64
}

// ProbeFailed reports that a direct probe failed before its timeout.
type ProbeFailed struct {
	Now      time.Time
	Sequence uint64
}

// Listed reports the platform's list of VMs.
type Listed struct {
	Now      time.Time
	Revision uint64
	VMs      []member.Daemon
}

// Leave reports that this daemon is leaving.
type Leave struct{ Now time.Time }

// ManifestInForce reports the manifest version that this daemon has in force.
type ManifestInForce struct{ Version unit.ManifestVersion }

func (Tick) event()            {}
func (Received) event()        {}
func (ProbeSucceeded) event()  {}
func (ProbeFailed) event()     {}
func (Listed) event()          {}
func (Leave) event()           {}
func (ManifestInForce) event() {}

// Effect is an action that the caller of [Prober.Step] has to carry out.
type Effect interface{ effect() }

// Probe requests a direct probe of a daemon.
type Probe struct {
	Sequence uint64
	To       member.Daemon
}

// ProbeIndirect requests that the daemon Via probes Target.
type ProbeIndirect struct {
	Sequence uint64
	Via      member.Daemon
	Target   member.Daemon
}

// Exchange requests an exchange of digests with a daemon.
type Exchange struct{ To member.Daemon }

// Changed reports that the view has changed.
type Changed struct{}

// RecordEvent requests the recording of a timeline event.
type RecordEvent struct{ Event recorder.Event }

// EarlierManifest reports the highest known manifest version of an earlier incarnation of
// this daemon.
type EarlierManifest struct{ Version unit.ManifestVersion }

func (Probe) effect()           {}
func (ProbeIndirect) effect()   {}
func (Exchange) effect()        {}
func (Changed) effect()         {}
func (RecordEvent) effect()     {}
func (EarlierManifest) effect() {}
