package manifest

import (
	"time"

	"tarragonshed.example/unit"
)

// Consistency is the consistency guarantee of the reads of a route.
type Consistency string

// The consistency guarantees.
const (
	// PrimaryReads see every acknowledged write.
	PrimaryReads Consistency = "primary"
	// BoundedReads see every write that was acknowledged more than
	// [Route.MaxStaleness] earlier.
	BoundedReads Consistency = "bounded-staleness"
	// SessionReads see what BoundedReads see, and also the writes of their own session.
	SessionReads Consistency = "read-your-writes"
)

// Route maps a database name to a group and defines how its callers are served.
// A manifest document contains no routes: its callers connect to a database by the
// name of its group. Only adapters to other platforms set routes.
type Route struct {
	Database    unit.DatabaseName
	Group       unit.GroupName
	Consistency Consistency
	// MaxStaleness is the maximum age of the data that bounded and session reads see.
	MaxStaleness time.Duration
	// Timeout is the time limit of one statement.
	Timeout time.Duration
	// TargetLatency is the latency below which a whole operation should stay.
	TargetLatency time.Duration
	// Priority orders routes under overload. Zero is the highest.
	Priority int
	// Public is true if the route serves callers without a key.
	Public bool
}

// Route returns the route of the database.
func (m *Manifest) Route(name unit.DatabaseName) (Route, bool) {
	for _, r := range m.Routes {
		if r.Database == name {
			return r, true
		}
	}
	return Route{}, false
}
