// Package member models the daemons of a deployment as one of them sees them.
//
// # Usage
//
// A [View] is an immutable snapshot. Code that places work on daemons takes one
// snapshot per decision, so that a decision never mixes two views:
//
//	for _, d := range view.In("lautoka-shed") {
//		if d.State == member.Live {
//			candidates = append(candidates, d.ID)
//		}
//	}
package member

import "tarragonshed.example/unit"

// State is the state of a daemon in a [View].
type State string

// The states of a daemon.
const (
	Live State = "live"
	// Suspect is the state of a daemon that did not answer probes and has not
	// refuted the suspicion yet.
	Suspect State = "suspect"
	// Leaving is the state of a daemon that takes no new work. It is never
	// withdrawn for an incarnation.
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Daemon is one daemon and its addresses.
type Daemon struct {
	ID          unit.DaemonID
	Incarnation unit.Incarnation
	Domain      unit.DomainName
	State       State
	// PeerAddress is the host:port of its connect-go endpoint.
	PeerAddress string
	// OperatorAddress is the host:port of its operator API.
	OperatorAddress string
	// CallerAddress is the host:port at which callers reach it.
	CallerAddress string
	// Manifest is the highest manifest version that the daemon has reported to have in
	// force.
	Manifest unit.ManifestVersion
}

// Usable reports whether the daemon may be given new work. A suspect
// daemon is usable until it is declared dead.
func (d Daemon) Usable() bool {
	return d.State == Live || d.State == Suspect
}

// View is an immutable snapshot of the daemons, ordered by id.
type View struct {
	Self    unit.DaemonID
	Daemons []Daemon
}

// Find returns the daemon with the id.
func (v View) Find(id unit.DaemonID) (Daemon, bool) {
	for _, d := range v.Daemons {
		if d.ID == id {
			return d, true
		}
	}
	return Daemon{}, false
}

// In returns the usable daemons of a failure domain.
func (v View) In(domain unit.DomainName) []Daemon {
	var found []Daemon
	for _, d := range v.Daemons {
		if d.Domain == domain && d.Usable() {
			found = append(found, d)
		}
	}
	return found
}
