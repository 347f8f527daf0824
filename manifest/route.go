package manifest

import (
	"time"

	"tarragonshed.example/unit"
)

// Consistency tells what the reads of a route must see.
type Consistency string

// The consistencies.
const (
	// PrimaryReads see every acknowledged write.
	PrimaryReads Consistency = "primary"
	// BoundedReads see every write that was acknowledged longer than
	// MaxStaleness before.
	BoundedReads Consistency = "bounded-staleness"
	// SessionReads see what BoundedReads see, and the writes of their session.
	SessionReads Consistency = "read-your-writes"
)

// Route leads callers of a database to a group and says how they are served.
// Documents of operators have no routes: there each group is the route of its
// own name. Adapters to other platforms fill them in.
type Route struct {
	Database    unit.DatabaseName
	Group       unit.GroupName
	Consistency Consistency
	// MaxStaleness bounds the age of what bounded and session reads see.
	MaxStaleness time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// TargetLatency is the latency that a whole operation is to stay below.
	TargetLatency time.Duration
	// Priority orders routes under load. Zero is the highest.
	Priority int
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
