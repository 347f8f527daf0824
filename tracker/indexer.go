package tracker

import (
	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// ReadID names a waiting read within one Indexer.
type ReadID uint64

// Round counts the questions of one Indexer.
type Round uint64

// Event is what an Indexer is told.
type Event interface{ event() }

// Arrived tells that a read needs a read index.
type Arrived struct{ Read ReadID }

// Abandoned tells that a read no longer waits.
type Abandoned struct{ Read ReadID }

// Reported tells the last record of an instance that was asked in a round.
type Reported struct {
	Round    Round
	Instance unit.InstanceName
	Last     unit.Position
}

// Resized tells that the group's instances have changed.
type Resized struct{ Instances int }

func (Arrived) event()   {}
func (Abandoned) event() {}
func (Reported) event()  {}
func (Resized) event()   {}

// Effect is what an Indexer wants done.
type Effect interface{ effect() }

// RequestReports asks every instance of the group for its report. An instance that can't be
// reached is asked again until the round ends.
type RequestReports struct{ Round Round }

// Serve gives the waiting reads their read index.
type Serve struct {
	Reads []ReadID
	Index unit.Position
}

// EndRound ends a round; its answers are no longer wanted.
type EndRound struct{ Round Round }

func (RequestReports) effect() {}
func (Serve) effect()          {}
func (EndRound) effect()       {}

// Indexer takes the read indexes of one group. It is not safe for concurrent
// use.
type Indexer struct {
	instances int
	round     Round
	asking    bool
	// served are the reads of the round in flight; they arrived before it.
	served  []ReadID
	waiting []ReadID
	last    map[unit.InstanceName]unit.Position
}

// NewIndexer returns an Indexer for a group of that many instances.
func NewIndexer(instances int) *Indexer {
	return &Indexer{instances: instances, last: make(map[unit.InstanceName]unit.Position)}
}

// Handle takes one event and returns its effects in order.
func (x *Indexer) Handle(event Event) []Effect {
	switch e := event.(type) {
	case Arrived:
		x.waiting = append(x.waiting, e.Read)
		return x.begin(nil)
	case Abandoned:
		return x.abandon(e.Read)
	case Reported:
		return x.report(e)
	case Resized:
		x.instances = e.Instances
	}
	return nil
}

func (x *Indexer) begin(effects []Effect) []Effect {
	if x.asking || len(x.waiting) == 0 {
		return effects
	}
	x.round++
	x.asking = true
	x.served, x.waiting = x.waiting, nil
	clear(x.last)
	return append(effects, RequestReports{Round: x.round})
}

func (x *Indexer) report(e Reported) []Effect {
	if !x.asking || e.Round != x.round {
		return nil
	}
	x.last[e.Instance] = x.last[e.Instance].Max(e.Last)
	if len(x.last) < instance.Majority(x.instances) {
		return nil
	}
	var index unit.Position
	for _, p := range x.last {
		index = index.Max(p)
	}
	effects := []Effect{Serve{Reads: x.served, Index: index}, EndRound{Round: x.round}}
	x.asking, x.served = false, nil
	return x.begin(effects)
}

func (x *Indexer) abandon(read ReadID) []Effect {
	x.waiting = without(x.waiting, read)
	x.served = without(x.served, read)
	if !x.asking || len(x.served) > 0 {
		return nil
	}
	x.asking = false
	return x.begin([]Effect{EndRound{Round: x.round}})
}

func without(reads []ReadID, read ReadID) []ReadID {
	for i, r := range reads {
		if r == read {
			return append(reads[:i:i], reads[i+1:]...)
		}
	}
	return reads
}
