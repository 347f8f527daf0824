// Package instance models what one database instance says about itself and what
// may be concluded from it.
//
// # Reports
//
// A [Report] is one atomic statement of an instance: its fields were true
// together at one moment on that instance. Decisions that need two facts of one
// instance must take both from the same report.
//
// # Holding a write
//
// A write is acknowledged when a majority of the group's instances hold it in
// the term in which it was written. [Report.Holds] is that rule. It asks for
// three facts at once: the instance's current term is the write's term, its last
// record is of that term, and its log reaches the write. Counting with fewer
// facts loses acknowledged writes; spec/ keeps a broken variant for each.
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

// Role is what an instance takes itself for.
type Role string

// The roles of an instance.
const (
	// Primary accepts writes in its current term.
	Primary Role = "primary"
	// Replica follows a primary.
	Replica Role = "replica"
	// Detached has neither been promoted nor told whom to follow in its
	// current term. It refuses writes and replication of lower terms.
	Detached Role = "detached"
)

// Follower is the report of a replica as its primary last received it.
type Follower struct {
	Instance unit.InstanceName `json:"instance"`
	// Term is the replica's current term when it sent the report.
	Term unit.Term `json:"term"`
	// Last is the last record of the replica's log.
	Last unit.Position `json:"last"`
}

// Holds reports whether the replica holds the write at p in the term in which
// it was written.
func (f Follower) Holds(p unit.Position) bool {
	return holds(f.Term, f.Last, p)
}

// Report is one atomic statement of an instance about itself.
type Report struct {
	Instance unit.InstanceName `json:"instance"`
	// Boot tells apart the lives of the instance's process.
	Boot uint64 `json:"boot"`
	// Sequence orders the reports of one boot.
	Sequence uint64 `json:"sequence"`
	Role     Role   `json:"role"`
	// Term is the current term: the highest one granted, followed or led.
	Term unit.Term `json:"term"`
	// GrantedTo names the proposer that Term was granted to. It is empty when
	// the instance learned Term by following.
	GrantedTo string `json:"granted-to"`
	// Last is the last record of the log.
	Last unit.Position `json:"last"`
	// Applied is the last record that reads on the instance see.
	Applied unit.Position `json:"applied"`
	// FreshAt is a time of the primary's clock, in nanoseconds since the Unix
	// epoch: everything committed before it is visible on the instance. On a
	// primary it is the last time at which a majority confirmed its term.
	FreshAt int64 `json:"fresh-at"`
	// Primary names the instance that is led by or followed in Term.
	Primary unit.InstanceName `json:"primary"`
	// Quiesced tells that a primary admits no new write transactions.
	Quiesced bool `json:"quiesced"`
	// Followers is filled on a primary only.
	Followers []Follower `json:"followers,omitempty"`
}

// Holds reports whether the instance holds the write at p in the term in which
// it was written.
func (r Report) Holds(p unit.Position) bool {
	return holds(r.Term, r.Last, p)
}

// Supersedes reports whether r is later than q from the same instance.
func (r Report) Supersedes(q Report) bool {
	if r.Boot != q.Boot {
		return r.Boot > q.Boot
	}
	return r.Sequence > q.Sequence
}

// Staleness returns the age of what reads on the instance see at now.
func (r Report) Staleness(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, r.FreshAt))
}

// Majority returns how many of n instances make a majority.
func Majority(n int) int {
	return n/2 + 1
}

func holds(term unit.Term, last, p unit.Position) bool {
	return term == p.Term && last.Term == p.Term && last.Index >= p.Index
}
