package replacer

import (
	"fmt"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// Roster lists the instances of a group other than its old primary. All but the replicas matter
// only where replicas are synchronous.
type Roster struct {
	// Replicas are the instances that may be promoted.
	Replicas []unit.InstanceName
	// Leaving are the instances that will end soon but still count as synchronous replicas.
	// One of them is promoted only if no other instance has every acknowledged write.
	Leaving []unit.InstanceName
	// Departed are the instances that were no longer listed in the old primary's term. They may
	// still run, and may have received writes, but can't be promoted.
	Departed []unit.InstanceName
	// Forgotten is the number of incarnations of instances that received writes in the old
	// primary's term and have restarted without them.
	Forgotten int
}

// Plan describes a change.
type Plan struct {
	Group unit.GroupName
	// Primary is the instance to replace. It is empty if the group had no primary.
	Primary unit.InstanceName
	// Term is the highest known term.
	Term unit.Term
	Roster
	// Revocation reports when no daemon uses the old primary any more. It is owned by the
	// Replacer.
	Revocation *authorizer.Revocation
	// Synchronous is the number of replicas that must receive a write before it is
	// acknowledged. If it is not zero, the change looks for a position that no acknowledged
	// write exceeds, and promotes an instance that has received it:
	//
	//   - the last position of the old primary when it stepped down,
	//   - the highest position among as many answers as can't all lack a write: those of all
	//     instances but Synchronous, because the old primary and Synchronous replicas have it,
	//   - the last write that any daemon has seen acknowledged, if all of them report it.
	//
	// A group does not remain without a primary for ever for want of that: see
	// [Replacer.Unproven].
	Synchronous int
	// VacantSince is since when the row is known to name no primary.
	VacantSince unit.Instant
	// Acknowledged is the highest position of a write that this daemon has seen acknowledged.
	Acknowledged unit.Position
	// Planned means that the old primary works and steps down first.
	Planned bool
	// Voluntary means that the change is planned and the old primary could remain. It is
	// promoted again unless a replica has received all that it had.
	Voluntary bool
	// Cancellable means that the row named the old primary until the claim, so that no other
	// instance has been promoted since.
	Cancellable bool
}

// Status is what an instance reports about itself.
type Status struct {
	Instance unit.InstanceName
	Primary  bool
	// Received is the position of the last record in its log.
	Received unit.Position
	// Term is the highest term that the instance has seen.
	Term unit.Term
}

// String returns the status as one word for a log.
func (s Status) String() string {
	role := "replica"
	if s.Primary {
		role = "primary"
	}
	return fmt.Sprintf("%s=%s:%d:%v", s.Instance, role, s.Term, s.Received)
}
