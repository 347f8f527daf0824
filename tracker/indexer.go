package tracker

import (
	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// ReadID identifies a waiting read within one [Indexer].
type ReadID uint64

// Round is the sequence number of a round of report requests of one [Indexer].
type Round uint64

// Event is an input of an Indexer: [Arrived], [Abandoned], [Reported] or [Resized].
type Event interface{ event() }

// Arrived reports that a read needs a read index.
type Arrived struct{ Read ReadID }

// Abandoned reports that a read no longer waits.
type Abandoned struct{ Read ReadID }

// Reported reports the position of the last record of an instance, as answered to a
// request of the round.
type Reported struct {
	Round    Round
	Instance unit.InstanceName
	Last     unit.Position
}

// Resized reports the new number of instances in the group.
type Resized struct{ Instances int }

func (Arrived) event()   {}
func (Abandoned) event() {}
func (Reported) event()  {}
func (Resized) event()   {}

// Effect is an action for the embedding code: [RequestReports], [Serve] or [EndRound].
type Effect interface{ effect() }

// RequestReports requests a report from every instance of the group. The request to an
// instance that can't be reached is retried until the round ends.
type RequestReports struct{ Round Round }

// Serve supplies the waiting reads with their read index.
type Serve struct {
	Reads []ReadID
	Index unit.Position
}

// EndRound ends a round; its remaining requests can be cancelled.
type EndRound struct{ Round Round }

func (RequestReports) effect() {}
func (Serve) effect()          {}
func (EndRound) effect()       {}

// Indexer determines the read indexes of one group. It is not safe for concurrent
// use.
type Indexer struct {
	instances int
	round     Round
	inFlight  bool
	// inRound holds the reads that the round in flight serves. They arrived before
	// the round began.
	inRound     []ReadID
	waiting     []ReadID
	lastRecords map[unit.InstanceName]unit.Position
}

// NewIndexer returns an Indexer for a group of the given number of instances.
func NewIndexer(instances int) *Indexer {
	return &Indexer{instances: instances, lastRecords: make(map[unit.InstanceName]unit.Position)}
}

// Handle processes one event and returns the resulting effects in order.
func (x *Indexer) Handle(event Event) []Effect {
	switch e := event.(type) {
	case Arrived:
		x.waiting = append(x.waiting, e.Read)
		return x.beginRound(nil)
	case Abandoned:
		return x.abandon(e.Read)
	case Reported:
		return x.report(e)
	case Resized:
		x.instances = e.Instances
	}
	return nil
}

func (x *Indexer) beginRound(effects []Effect) []Effect {
	if x.inFlight || len(x.waiting) == 0 {
		return effects
	}
	x.round++
	x.inFlight = true
	x.inRound, x.waiting = x.waiting, nil
	clear(x.lastRecords)
	return append(effects, RequestReports{Round: x.round})
}

func (x *Indexer) report(e Reported) []Effect {
	if !x.inFlight || e.Round != x.round {
		return nil
	}
	x.lastRecords[e.Instance] = x.lastRecords[e.Instance].Max(e.Last)
	if len(x.lastRecords) < instance.Majority(x.instances) {
		return nil
	}
	var index unit.Position
	for _, p := range x.lastRecords {
		index = index.Max(p)
	}
	effects := []Effect{Serve{Reads: x.inRound, Index: index}, EndRound{Round: x.round}}
	x.inFlight, x.inRound = false, nil
	return x.beginRound(effects)
}

func (x *Indexer) abandon(read ReadID) []Effect {
	x.waiting = removeRead(x.waiting, read)
	x.inRound = removeRead(x.inRound, read)
	if !x.inFlight || len(x.inRound) > 0 {
		return nil
	}
	x.inFlight = false
	return x.beginRound([]Effect{EndRound{Round: x.round}})
}

func removeRead(reads []ReadID, read ReadID) []ReadID {
	for i, r := range reads {
		if r == read {
			return append(reads[:i:i], reads[i+1:]...)
		}
	}
	return reads
}
