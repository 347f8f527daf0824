// Package acknowledger decides when the answer to a write, or to a read at the
// primary, may be given to the caller.
//
// # What is withheld
//
// A write is acknowledged only when a majority of the group's instances holds it
// in the term in which it was written. A read at the primary may have seen
// records that no majority holds yet, so its answer is withheld by the same rule.
// Both are a wait for a position: of the write's record, or of the last record
// that the read saw.
//
// # What counts
//
// An instance holds a position by [instance.Report.Holds] or, as the primary last
// heard from it, by [instance.Follower.Holds]: its current term, the term of its
// last record and the position's term are one, and its log reaches the position.
// Once an instance has held a position in its term, that stays evidence: whoever
// is elected later was granted by a majority, which has an instance in common
// with the majority that held the position, and has a log at least as high.
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
//	waiting    Reported: a majority holds a record q         obsolete  AskHistory(primary of q)
//	           of a term above T
//	waiting    Reported or Lost: T is no longer the latest   waiting   AskReports
//	obsolete   HistoryRead: log has q and has p              -         Release(q)
//	obsolete   HistoryRead: log has q and lacks p            -         Refuse(unconfirmed; not primary for a read)
//	any        Expire past the deadline                      -         Refuse(unconfirmed; no majority for a read)
//	any        Abandon                                       -
//
// A write that is left over from an earlier term is released with q, the later
// record's position: its own position is below that of a late, obsolete primary
// that lacks it.
//
// # Usage
//
// One Acknowledger serves one group. It has no lock, clock or connection: the
// caller passes events in and carries the effects out.
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

// WaitID names one wait.
type WaitID uint64

// Event is what happened: [Await], [Reported], [Disconnected], [HistoryRead], [Expire]
// or [Abandon].
type Event interface{ event() }

// Await starts a wait.
type Await struct {
	ID WaitID
	// Position must be held by a majority.
	Position unit.Position
	// Term is the instance's current term when it gave Position.
	Term unit.Term
	// Wrote tells a committed write from a read.
	Wrote    bool
	Deadline time.Time
}

// Reported is a report of any instance of the group.
type Reported struct{ Report instance.Report }

// Disconnected tells that the connection that reports came by has been lost.
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

// Effect is what has to be done: [Release], [Refuse], [RequestReports] or
// [RequestHistory].
type Effect interface{ effect() }

// Release ends a wait: the answer may be given. The session must see Position
// from now on.
type Release struct {
	ID       WaitID
	Position unit.Position
}

// Refuse ends a wait: the answer must not be given.
type Refuse struct {
	ID  WaitID
	Err *result.Error
}

// RequestReports asks for reports of the group's other instances until no wait is
// left.
type RequestReports struct{}

// RequestHistory asks the primary for its log history.
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
	latest    unit.Term
	primary   unit.InstanceName // Of the term of confirmed.
	lost      bool
	waits     map[WaitID]Await
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

// Resize changes the number of instances of the group. Evidence that was
// counted before stays.
func (a *Acknowledger) Resize(instances int) { a.majority = instance.Majority(instances) }

// Step takes an event in and returns what has to be done, in order.
func (a *Acknowledger) Step(event Event) []Effect {
	switch event := event.(type) {
	case Await:
		return a.await(event)
	case Reported:
		return a.reported(event.Report)
	case Disconnected:
		a.lost = true
		return a.askReports()
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
		return []Effect{refuse(w, result.NotPrimary, "the instance's term was taken from it")}
	}
	a.waits[w.ID] = w
	a.latest = max(a.latest, w.Term)
	if w.Position.Term < a.confirmed.Term && a.primary != "" {
		return []Effect{RequestHistory{Primary: a.primary}}
	}
	if a.lost || w.Position.Term < a.latest {
		return a.askReports()
	}
	return nil
}

func (a *Acknowledger) reported(r instance.Report) []Effect {
	a.latest = max(a.latest, r.Term)
	a.note(r.Instance, r.Term, r.Last)
	for _, f := range r.Followers {
		a.note(f.Instance, f.Term, f.Last)
	}
	before := a.confirmed
	a.confirm()
	if r.Role == instance.Primary && r.Term == a.confirmed.Term {
		a.primary = r.Instance
		a.lost = false
	}
	var effects []Effect
	if before != a.confirmed {
		effects = a.release()
	}
	if len(a.waits) == 0 {
		return effects
	}
	if a.primary != "" && a.obsolete(a.confirmed.Term) {
		return append(effects, RequestHistory{Primary: a.primary})
	}
	if a.obsolete(a.latest) {
		return append(effects, RequestReports{})
	}
	return effects
}

// note keeps evidence: what the instance held in its own current term.
func (a *Acknowledger) note(name unit.InstanceName, term unit.Term, last unit.Position) {
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

func (a *Acknowledger) historyRead(extents []Extent) []Effect {
	if !has(extents, a.confirmed) {
		return nil // Of an instance that dropped its log, or asked too early.
	}
	var effects []Effect
	for _, w := range a.ordered() {
		if w.Position.Term >= a.confirmed.Term {
			continue
		}
		delete(a.waits, w.ID)
		switch {
		case has(extents, w.Position):
			effects = append(effects, Release{ID: w.ID, Position: a.confirmed})
		case w.Wrote:
			effects = append(effects, refuse(w, result.Unconfirmed, "term %d does not have the write at %v", a.confirmed.Term, w.Position))
		default:
			effects = append(effects, refuse(w, result.NotPrimary, "term %d does not have what was read at %v", a.confirmed.Term, w.Position))
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

func (a *Acknowledger) askReports() []Effect {
	if len(a.waits) == 0 {
		return nil
	}
	return []Effect{RequestReports{}}
}

// obsolete reports whether a wait is for a term before the given one.
func (a *Acknowledger) obsolete(term unit.Term) bool {
	for _, w := range a.waits {
		if w.Position.Term < term {
			return true
		}
	}
	return false
}

// ordered returns the waits by id, so that equal events give equal effects.
func (a *Acknowledger) ordered() []Await {
	list := make([]Await, 0, len(a.waits))
	for _, w := range a.waits {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func has(extents []Extent, p unit.Position) bool {
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
