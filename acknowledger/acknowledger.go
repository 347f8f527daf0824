// Package acknowledger decides when the answer to a write, or to a read at the
// primary, may be returned to the caller.
//
// # Withheld answers
//
// A write is acknowledged only when a majority of the group's instances holds it
// in the term in which it was written. A term is a numbered period with at most
// one primary. A read at the primary may have seen records that no majority holds
// yet, so its answer is withheld by the same rule.
// Both wait for a position in the log: that of the write's record, or that of the
// last record that the read saw.
//
// # Evidence
//
// An instance holds a position by [instance.Report.Holds] or, in the primary's
// last report, by [instance.Follower.Holds]: its current term, the term of its
// last record and the position's term are equal, and its log reaches the position.
// Once an instance has held a position in its term, this remains valid evidence: a
// later primary was granted its term by a majority, which has an instance in
// common with the majority that held the position, and its log is at least as high
// as that instance's.
//
// # State table
//
// A wait for a position p of term T:
//
//	state      event                                         next      effect
//	-          Await, p at or below the confirmed one of T   -         Release(p)
//	-          Await, instance had a term above T            -         Refuse(not primary) for a read
//	-          Await                                         waiting
//	waiting    Reported: a majority holds p in T             -         Release(p)
//	waiting    Reported: a majority holds a record q         obsolete  RequestHistory(primary of q)
//	           of a term above T
//	waiting    Reported or Disconnected: T is no longer      waiting   RequestReports
//	           the latest
//	obsolete   HistoryRead: log has q and has p              -         Release(q)
//	obsolete   HistoryRead: log has q and lacks p            -         Refuse(unconfirmed; not primary for a read)
//	any        Expire past the deadline                      -         Refuse(unconfirmed; no majority for a read)
//	any        Abandon                                       -
//
// A write of an earlier term is released with q, the position of the later record.
// With its own position, a later read of the session would be accepted by an
// obsolete primary that has a higher position but lacks the write.
//
// # Usage
//
// One Acknowledger serves one group. It has no lock, clock or connection: the
// caller passes events in and carries out the effects.
//
//	a := acknowledger.New(len(group.Instances))
//	effects := a.Step(acknowledger.Await{ID: 1, Position: p, Term: p.Term, Wrote: true, Deadline: deadline})
//	effects = append(effects, a.Step(acknowledger.Reported{Report: report})...)
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case acknowledger.Release:
//			answer(effect.ID, effect.Position)
//		case acknowledger.Refuse:
//			refuse(effect.ID, effect.Err)
//		}
//	}
package acknowledger

import (
	"sort"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// WaitID identifies a wait.
type WaitID uint64

// Event is an input of an [Acknowledger]: [Await], [Reported], [Disconnected],
// [HistoryRead], [Expire] or [Abandon].
type Event interface{ event() }

// Await starts a wait.
type Await struct {
	ID WaitID
	// Position is the position that a majority must hold.
	Position unit.Position
	// Term is the instance's current term when it gave Position.
	Term unit.Term
	// Wrote is set for a committed write and not set for a read.
	Wrote bool
	// Deadline is the time from which [Expire] refuses the wait.
	Deadline time.Time
}

// Reported carries a report of an instance of the group.
type Reported struct{ Report instance.Report }

// Disconnected reports that the connection on which the primary's reports arrived
// was lost.
type Disconnected struct{ Instance unit.InstanceName }

// HistoryRead is the answer to [RequestHistory].
type HistoryRead struct{ Extents []Extent }

// Expire ends the waits whose deadline is not after Now.
type Expire struct{ Now time.Time }

// Abandon ends a wait without an effect.
type Abandon struct{ ID WaitID }

func (Await) event()        {}
func (Reported) event()     {}
func (Disconnected) event() {}
func (HistoryRead) event()  {}
func (Expire) event()       {}
func (Abandon) event()      {}

// Extent is the range of a log's indexes that was written in one term.
type Extent struct {
	Term  unit.Term
	First unit.Index
	Last  unit.Index
}

// Effect is an action that the caller carries out: [Release], [Refuse],
// [RequestReports] or [RequestHistory].
type Effect interface{ effect() }

// Release ends a wait: the answer may be returned. From now on, reads of the
// session must see Position.
type Release struct {
	ID       WaitID
	Position unit.Position
}

// Refuse ends a wait: the answer must not be returned. Err is returned instead.
type Refuse struct {
	ID  WaitID
	Err *result.Error
}

// RequestReports requests reports of the group's instances until no wait is left.
type RequestReports struct{}

// RequestHistory requests the log history of the primary.
type RequestHistory struct{ Primary unit.InstanceName }

func (Release) effect()        {}
func (Refuse) effect()         {}
func (RequestReports) effect() {}
func (RequestHistory) effect() {}

// Acknowledger holds the waits of one group.
type Acknowledger struct {
	majority int
	// held is the highest position that each instance has held in its term.
	held map[unit.InstanceName]unit.Position
	// confirmed is the highest position that a majority has held in its term.
	confirmed unit.Position
	// latestTerm is the highest term seen in a report or a wait.
	latestTerm unit.Term
	// primary is the primary of the confirmed position's term, empty if unknown.
	primary unit.InstanceName
	// disconnected is set from [Disconnected] to the next report of that primary.
	disconnected bool
	waits        map[WaitID]Await
}

// New returns an Acknowledger for a group of the given number of instances.
func New(instances int) *Acknowledger {
	return &Acknowledger{
		majority: instance.Majority(instances),
		held:     make(map[unit.InstanceName]unit.Position),
		waits:    make(map[WaitID]Await),
	}
}

// Confirmed returns the highest position that a majority is known to have held
// in its term.
func (a *Acknowledger) Confirmed() unit.Position { return a.confirmed }

// Covers reports whether a wait for p would be released at once.
func (a *Acknowledger) Covers(p unit.Position) bool {
	return p.IsZero() || p.Term == a.confirmed.Term && p.Index <= a.confirmed.Index
}

// Waiting returns the number of waits.
func (a *Acknowledger) Waiting() int { return len(a.waits) }

// Resize changes the number of instances of the group. The confirmed position and
// the evidence stay.
func (a *Acknowledger) Resize(instances int) { a.majority = instance.Majority(instances) }

// Step processes an event and returns the effects to carry out, in order.
func (a *Acknowledger) Step(event Event) []Effect {
	switch event := event.(type) {
	case Await:
		return a.await(event)
	case Reported:
		return a.reported(event.Report)
	case Disconnected:
		a.disconnected = true
		return a.requestReports()
	case HistoryRead:
		return a.historyRead(event.Extents)
	case Expire:
		return a.expire(event.Now)
	case Abandon:
		delete(a.waits, event.ID)
	}
	return nil
}

func (a *Acknowledger) await(w Await) []Effect {
	if a.Covers(w.Position) {
		return []Effect{Release{ID: w.ID, Position: w.Position}}
	}
	if w.Term > w.Position.Term && !w.Wrote {
		return []Effect{refuse(w, result.NotPrimary, "the instance is no longer primary: a later term was granted")}
	}
	a.waits[w.ID] = w
	a.latestTerm = max(a.latestTerm, w.Term)
	if w.Position.Term < a.confirmed.Term && a.primary != "" {
		return []Effect{RequestHistory{Primary: a.primary}}
	}
	if a.disconnected || w.Position.Term < a.latestTerm {
		return a.requestReports()
	}
	return nil
}

func (a *Acknowledger) reported(r instance.Report) []Effect {
	a.latestTerm = max(a.latestTerm, r.Term)
	a.recordHeld(r.Instance, r.Term, r.Last)
	for _, f := range r.Followers {
		a.recordHeld(f.Instance, f.Term, f.Last)
	}
	before := a.confirmed
	a.confirm()
	if r.Role == instance.Primary && r.Term == a.confirmed.Term {
		a.primary = r.Instance
		a.disconnected = false
	}
	var effects []Effect
	if before != a.confirmed {
		effects = a.release()
	}
	if len(a.waits) == 0 {
		return effects
	}
	if a.primary != "" && a.hasWaitBefore(a.confirmed.Term) {
		return append(effects, RequestHistory{Primary: a.primary})
	}
	if a.hasWaitBefore(a.latestTerm) {
		return append(effects, RequestReports{})
	}
	return effects
}

// recordHeld raises the highest position that the instance has held, if its last
// record is of its current term.
func (a *Acknowledger) recordHeld(name unit.InstanceName, term unit.Term, last unit.Position) {
	f := instance.Follower{Instance: name, Term: term, Last: last}
	if f.Holds(last) && a.held[name].Before(last) {
		a.held[name] = last
	}
}

// confirm raises the confirmed position to the highest one that a majority
// holds in the position's own term.
func (a *Acknowledger) confirm() {
	positions := make([]unit.Position, 0, len(a.held))
	for _, p := range a.held {
		positions = append(positions, p)
	}
	sort.Slice(positions, func(i, j int) bool { return positions[j].Before(positions[i]) })
	for i, p := range positions {
		if i+1 < a.majority || p.Term != positions[i+1-a.majority].Term {
			continue
		}
		if a.confirmed.Before(p) {
			if p.Term != a.confirmed.Term {
				a.primary = ""
			}
			a.confirmed = p
		}
		return
	}
}

// release ends the waits that the confirmed position covers.
func (a *Acknowledger) release() []Effect {
	var effects []Effect
	for _, w := range a.ordered() {
		if a.Covers(w.Position) {
			delete(a.waits, w.ID)
			effects = append(effects, Release{ID: w.ID, Position: w.Position})
		}
	}
	return effects
}

// historyRead ends the waits for terms before that of the confirmed position, by
// whether the later log contains their positions.
func (a *Acknowledger) historyRead(extents []Extent) []Effect {
	if !contains(extents, a.confirmed) {
		return nil // The log was lost, or the history was read too early.
	}
	var effects []Effect
	for _, w := range a.ordered() {
		if w.Position.Term >= a.confirmed.Term {
			continue
		}
		delete(a.waits, w.ID)
		switch {
		case contains(extents, w.Position):
			effects = append(effects, Release{ID: w.ID, Position: a.confirmed})
		case w.Wrote:
			effects = append(effects, refuse(w, result.Unconfirmed, "the log of term %d does not contain the write at %v", a.confirmed.Term, w.Position))
		default:
			effects = append(effects, refuse(w, result.NotPrimary, "the log of term %d does not contain the record read at %v", a.confirmed.Term, w.Position))
		}
	}
	return effects
}

func (a *Acknowledger) expire(now time.Time) []Effect {
	var effects []Effect
	for _, w := range a.ordered() {
		if w.Deadline.After(now) {
			continue
		}
		delete(a.waits, w.ID)
		if w.Wrote {
			effects = append(effects, refuse(w, result.Unconfirmed, "no majority was known to hold %v in time", w.Position))
		} else {
			effects = append(effects, refuse(w, result.NoMajority, "no majority was known to hold %v in time", w.Position))
		}
	}
	return effects
}

func (a *Acknowledger) requestReports() []Effect {
	if len(a.waits) == 0 {
		return nil
	}
	return []Effect{RequestReports{}}
}

// hasWaitBefore reports whether a wait is for a term before the given one.
func (a *Acknowledger) hasWaitBefore(term unit.Term) bool {
	for _, w := range a.waits {
		if w.Position.Term < term {
			return true
		}
	}
	return false
}

// ordered returns the waits in the order of their IDs, so that equal events give
// equal effects.
func (a *Acknowledger) ordered() []Await {
	list := make([]Await, 0, len(a.waits))
	for _, w := range a.waits {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func contains(extents []Extent, p unit.Position) bool {
	for _, e := range extents {
		if e.Term == p.Term && e.First <= p.Index && p.Index <= e.Last {
			return true
		}
	}
	return false
}

func refuse(w Await, code result.Code, format string, args ...any) Refuse {
	return Refuse{ID: w.ID, Err: result.New(code, format, args...)}
}
