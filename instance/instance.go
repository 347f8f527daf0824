// Package instance models the status reports of a database instance and the
// conclusions that may be drawn from them.
//
// # Reports
//
// A [Report] is an atomic snapshot of an instance's state: all of its fields were
// true at the same moment. A decision that needs two facts about an instance must
// take both from the same report.
//
// # Holding a write
//
// A write is acknowledged when a majority of the group's instances hold it in
// the term in which it was written. [Report.Holds] implements this rule. It
// requires three conditions at once: the instance's current term is the term of
// the write, its last record is of that term, and its log includes the write.
// Omitting a condition loses acknowledged writes; spec/ has a broken variant that
// shows this for each condition.
//
// # Usage
//
//	held := 0
//	for _, r := range reports {
//		if r.Holds(write) {
//			held++
//		}
//	}
//	acknowledged := held >= instance.Majority(len(instances))
package instance

import (
	"time"

	"tarragonshed.example/unit"
)

// Role is the role of an instance in its own view. After a failover, an earlier
// primary may still report [Primary] in an earlier term.
type Role string

// The roles of an instance.
const (
	// Primary accepts writes in its current term.
	Primary Role = "primary"
	// Replica follows a primary.
	Replica Role = "replica"
	// Detached has neither been promoted nor been assigned a primary to follow
	// in its current term. It refuses writes and replication of lower terms.
	Detached Role = "detached"
)

// Follower is the state of a replica as its primary last received it.
type Follower struct {
	Instance unit.InstanceName `json:"instance"`
	// Term is the replica's current term when it sent the report.
	Term unit.Term `json:"term"`
	// Last is the position of the last record of the replica's log.
	Last unit.Position `json:"last"`
}

// Holds reports whether the replica holds the write at p in the term in which
// it was written.
func (f Follower) Holds(p unit.Position) bool {
	return holds(f.Term, f.Last, p)
}

// Report is an atomic snapshot of the state of an instance, made by that instance.
type Report struct {
	Instance unit.InstanceName `json:"instance"`
	// Boot distinguishes the runs of the instance's process. A later run has a
	// larger value.
	Boot uint64 `json:"boot"`
	// Sequence orders the reports with the same Boot.
	Sequence uint64 `json:"sequence"`
	Role     Role   `json:"role"`
	// Term is the current term: the highest one that the instance has granted,
	// followed or led.
	Term unit.Term `json:"term"`
	// GrantedTo names the proposer that Term was granted to. It is empty when
	// the instance learned Term by following.
	GrantedTo string `json:"granted-to"`
	// Last is the position of the last record of the log.
	Last unit.Position `json:"last"`
	// Applied is the position of the last record that is visible to reads on the
	// instance.
	Applied unit.Position `json:"applied"`
	// FreshAt is a time of the primary's clock, in nanoseconds since the Unix
	// epoch. Everything committed before it is visible on the instance. On a
	// primary it is the last time at which a majority confirmed its term.
	FreshAt int64 `json:"fresh-at"`
	// Primary names the primary of Term: this instance or the one it follows.
	Primary unit.InstanceName `json:"primary"`
	// Quiesced reports that a primary admits no new write transactions.
	Quiesced bool `json:"quiesced"`
	// Followers is set on a primary only.
	Followers []Follower `json:"followers,omitempty"`
}

// Holds reports whether the instance holds the write at p in the term in which
// it was written.
func (r Report) Holds(p unit.Position) bool {
	return holds(r.Term, r.Last, p)
}

// Supersedes reports whether r is later than q. Both must be reports of the same
// instance.
func (r Report) Supersedes(q Report) bool {
	if r.Boot != q.Boot {
		return r.Boot > q.Boot
	}
	return r.Sequence > q.Sequence
}

// Staleness returns the age, at now, of the data that is visible to reads on the
// instance.
func (r Report) Staleness(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, r.FreshAt))
}

// Majority returns the number of instances that form a majority of n.
func Majority(n int) int {
	return n/2 + 1
}

func holds(term unit.Term, last, p unit.Position) bool {
	return term == p.Term && last.Term == p.Term && last.Index >= p.Index
}
