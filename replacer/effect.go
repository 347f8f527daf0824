package replacer

import (
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Effect is an action that the embedding code must carry out: [StepDown], [Survey],
// [Promote], [Verify], [Publish] or [Stop].
type Effect interface{ effect() }

// StepDown requests that the old primary steps down in any term lower than Term.
type StepDown struct{ Term unit.Term }

// Survey queries the status of the instances.
type Survey struct{ Instances []unit.InstanceName }

// Promote requests that the platform promotes the instance.
type Promote struct{ Instance unit.InstanceName }

// Verify queries the status of the promoted instance.
type Verify struct{ Instance unit.InstanceName }

// Publish writes the new primary and its term to the row of the group.
type Publish struct {
	Primary unit.InstanceName
	Term    unit.Term
}

// Stop ends the change. Err is nil if the change is complete or cancelled.
type Stop struct {
	Err *result.Error
	// Cancelled means that the old primary remains the primary.
	Cancelled bool
}

func (StepDown) effect() {}
func (Survey) effect()   {}
func (Promote) effect()  {}
func (Verify) effect()   {}
func (Publish) effect()  {}
func (Stop) effect()     {}
