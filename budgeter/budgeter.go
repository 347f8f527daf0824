// Package budgeter decides how much memory and how many connections the sessions of callers may
// use in one daemon.
//
// # Load
//
// It answers clients that send what is allowed, but too much of it at once: crowds with large
// messages, in one piece or in small ones, many messages sent ahead, answers that are not read, large
// session state, and connections that are held open without a use.
//
// # Sessions
//
// The number of sessions is limited, so that descriptors are left for instances, other daemons,
// probes and metrics. At the limit a new connection takes the place of another one: of the
// oldest that has not sent its startup message, if these are more than a quarter of all, else of
// the session that has been idle longest. It is refused if there is none. An account has a limit of its
// own.
//
// # Bytes
//
// Each session holds up to [Limits.Small] bytes without asking for more. This is the share of ordinary
// sessions, which no other session can take. What a session holds beyond it comes from a common
// budget of [Limits.Bytes] and is granted before it is used: see [Hold]. Messages may use three
// quarters of the budget, and session state one quarter. The rest is left for answers and for what is in the
// sockets.
//
// # Pressure
//
// If a message does not fit, a session that has sent it ahead waits, and is not read meanwhile. Any other
// one is refused. An answer can't be refused, because its statement has run, and neither can what has
// arrived at a socket: if it does not fit, the sessions that hold most are closed.
//
// # Usage
//
//	b := budgeter.New(budgeter.Limits{Bytes: 32 << 20, Small: 4 << 10, Sessions: 3000, PerAccount: 1500})
//	effects := b.Step(budgeter.Connect{ID: 1, Now: now})
//	effects = append(effects, b.Step(budgeter.Start{ID: 1, Account: "demo"})...)
//	effects = append(effects, b.Step(budgeter.Hold{ID: 1, Use: budgeter.Message, Bytes: 1 << 20})...)
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case budgeter.Grant:
//			proceed(effect.ID)
//		case budgeter.Refuse:
//			refuse(effect.ID, effect.Err)
//		case budgeter.Close:
//			disconnect(effect.ID, effect.Err)
//		}
//	}
package budgeter

import (
	"container/list"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

const (
	// messageNumerator and messageDenominator are the share of the budget up to which messages
	// are granted.
	messageNumerator, messageDenominator = 3, 4
	// stateDivisor is the inverse of the share of the budget for session state.
	stateDivisor = 4
	// unstartedDivisor is the inverse of the share of connections that need not have sent their
	// startup message.
	unstartedDivisor = 4
	// minIdle is how long a session must have been idle before another one takes its place. Closing
	// it earlier could lose a query that is in flight.
	minIdle = 150 * time.Millisecond
	// retryAfter is when a refused caller should come back.
	retryAfter = time.Second
)

// Limits are the limits of one daemon.
type Limits struct {
	// Bytes is the common budget.
	Bytes int64
	// Small is the number of bytes that each session holds outside the budget.
	Small int64
	// Sessions is the maximum number of connections of callers.
	Sessions int
	// PerAccount is the maximum number of sessions of one account. Sessions without an account
	// are not counted.
	PerAccount int
}

// Use is what bytes are held for.
type Use int

// The uses.
const (
	// Message is a message that is received, and its statement until it has ended.
	Message Use = iota
	// State is what the session keeps from one statement to the next.
	State
	// Answer is an answer that its caller has not received yet.
	Answer
	// Socket is what is in the socket buffers of the session: input that is not read, and
	// answers that are on their way.
	Socket

	numUses
)

// Event is an input of a [Budgeter]: [Connect], [Start], [Hold], [Withdraw], [Busy], [Idle] or
// [Disconnect].
type Event interface{ event() }

// Connect reports a new connection. It is answered by [Grant] or [Refuse]. A refused one is not counted.
type Connect struct {
	ID  unit.SessionID
	Now time.Time
}

// Start reports that the session has sent its startup message. It is answered by [Grant] or
// [Refuse].
type Start struct {
	ID      unit.SessionID
	Account unit.CallerName
}

// Hold requests that the session may hold this many bytes in total for the use. It is answered by
// [Grant], [Refuse] or, for the session itself or another one, [Close]. If the message was sent
// ahead, the answer may come later. Fewer bytes than before are always granted.
type Hold struct {
	ID    unit.SessionID
	Use   Use
	Bytes int64
	// Ahead reports that the message was sent before the last answer of the session.
	Ahead bool
}

// Withdraw reports that the session waits no longer for a [Hold].
type Withdraw struct{ ID unit.SessionID }

// Busy reports that the session has received a message.
type Busy struct{ ID unit.SessionID }

// Idle reports that the session has sent its answer and is outside a transaction.
type Idle struct {
	ID  unit.SessionID
	Now time.Time
}

// Disconnect reports the end of a session. What it held returns to the budget.
type Disconnect struct{ ID unit.SessionID }

func (Connect) event()    {}
func (Start) event()      {}
func (Hold) event()       {}
func (Withdraw) event()   {}
func (Busy) event()       {}
func (Idle) event()       {}
func (Disconnect) event() {}

// Effect is an output of a [Budgeter]: [Grant], [Refuse] or [Close].
type Effect interface{ effect() }

// Grant lets the session proceed.
type Grant struct{ ID unit.SessionID }

// Refuse reports that what the session asked for is not granted.
type Refuse struct {
	ID  unit.SessionID
	Err *result.Error
}

// Close asks for the end of a session. A session that is closed because it is idle may turn out to be
// busy; it then stays open and reports [Busy].
type Close struct {
	ID  unit.SessionID
	Err *result.Error
	// IfIdle reports that the session must only be closed if it is idle.
	IfIdle bool
}

func (Grant) effect()  {}
func (Refuse) effect() {}
func (Close) effect()  {}

// session is what is known of one session.
type session struct {
	id        unit.SessionID
	account   unit.CallerName
	held      [numUses]int64
	started   bool
	closing   bool          // Whether its end has been asked for.
	mayStay   bool          // Whether a closing session stays if it is busy.
	idleSince time.Time     // Valid while it is in the list of idle sessions.
	place     *list.Element // Its place among the unstarted or the idle sessions, or nil.
	waiting   *list.Element // Its place among the waiting sessions, or nil.
}

// waiter is a message that waits for bytes.
type waiter struct {
	session *session
	bytes   int64
}

// Budgeter is the budget of one daemon. It is not safe for concurrent use.
type Budgeter struct {
	limits   Limits
	sessions map[unit.SessionID]*session
	accounts map[unit.CallerName]int
	holders  map[unit.SessionID]*session // The sessions that hold a part of the budget.
	closing  int                         // The number of sessions whose end has been asked for.

	used      int64      // The part of the budget that is held.
	state     int64      // The part of the budget that session state would need alone.
	unstarted *list.List // Oldest first.
	idle      *list.List // Longest idle first.
	waiting   *list.List // Of waiters, oldest first.
}

// New returns a Budgeter without sessions.
func New(l Limits) *Budgeter {
	return &Budgeter{
		limits: l, sessions: make(map[unit.SessionID]*session), accounts: make(map[unit.CallerName]int),
		holders:   make(map[unit.SessionID]*session),
		unstarted: list.New(), idle: list.New(), waiting: list.New(),
	}
}

// Used returns the part of the budget that is held.
func (b *Budgeter) Used() int64 { return b.used }

// Sessions returns the number of sessions.
func (b *Budgeter) Sessions() int { return len(b.sessions) }

// Step processes an event and returns the resulting effects in order. Events of sessions that
// have ended have no effect.
func (b *Budgeter) Step(event Event) []Effect {
	switch event := event.(type) {
	case Connect:
		return b.connect(event)
	case Start:
		return b.with(event.ID, func(s *session) []Effect { return b.start(s, event.Account) })
	case Hold:
		return b.with(event.ID, func(s *session) []Effect { return b.hold(s, event) })
	case Withdraw:
		return b.with(event.ID, b.withdraw)
	case Busy:
		return b.with(event.ID, b.busy)
	case Idle:
		return b.with(event.ID, func(s *session) []Effect { return b.rest(s, event.Now) })
	case Disconnect:
		return b.with(event.ID, b.disconnect)
	}
	return nil
}

// with calls f with the session of that ID, if there is one.
func (b *Budgeter) with(id unit.SessionID, f func(*session) []Effect) []Effect {
	if s := b.sessions[id]; s != nil {
		return f(s)
	}
	return nil
}

func (b *Budgeter) connect(c Connect) []Effect {
	var effects []Effect
	if len(b.sessions)-b.closing >= b.limits.Sessions {
		victim := b.victim(c.Now)
		if victim == nil {
			return []Effect{Refuse{ID: c.ID, Err: result.New(result.TooManyCallers, "the daemon has %d sessions", len(b.sessions))}}
		}
		effects = append(effects, b.close(victim, victim.started,
			result.New(result.TooManyCallers, "another session takes the place of this one, which was idle")))
	}
	s := &session{id: c.ID}
	s.place = b.unstarted.PushBack(s)
	b.sessions[c.ID] = s
	return append(effects, Grant{ID: c.ID})
}

// victim returns the session whose place a new one may take, or nil.
func (b *Budgeter) victim(now time.Time) *session {
	first := b.unstarted.Front()
	if first != nil && b.unstarted.Len() > b.limits.Sessions/unstartedDivisor {
		return first.Value.(*session)
	}
	if longest := b.idle.Front(); longest != nil && now.Sub(longest.Value.(*session).idleSince) >= minIdle {
		return longest.Value.(*session)
	}
	if first != nil {
		return first.Value.(*session)
	}
	return nil
}

// close marks a session as closing.
func (b *Budgeter) close(s *session, ifIdle bool, err *result.Error) Effect {
	s.closing, s.mayStay = true, ifIdle
	b.closing++
	b.leavePlace(s)
	return Close{ID: s.id, Err: err, IfIdle: ifIdle}
}

// leavePlace takes the session off the list of unstarted or idle sessions.
func (b *Budgeter) leavePlace(s *session) {
	if s.place == nil {
		return
	}
	if s.started {
		b.idle.Remove(s.place)
	} else {
		b.unstarted.Remove(s.place)
	}
	s.place = nil
}

func (b *Budgeter) start(s *session, account unit.CallerName) []Effect {
	b.leavePlace(s)
	s.started = true
	if account == "" {
		return []Effect{Grant{ID: s.id}}
	}
	if b.accounts[account] >= b.limits.PerAccount {
		return []Effect{Refuse{ID: s.id, Err: result.New(result.TooManyCallers, "the account has %d sessions", b.accounts[account])}}
	}
	s.account = account
	b.accounts[account]++
	return []Effect{Grant{ID: s.id}}
}

func (b *Budgeter) busy(s *session) []Effect {
	b.leavePlace(s)
	if s.closing && s.mayStay {
		s.closing = false
		b.closing--
	}
	return nil
}

func (b *Budgeter) rest(s *session, now time.Time) []Effect {
	if s.closing || s.place != nil {
		return nil
	}
	s.idleSince = now
	s.place = b.idle.PushBack(s)
	return nil
}

// charge returns the part of the budget that a session holds.
func (b *Budgeter) charge(held [numUses]int64) int64 {
	sum := int64(0)
	for _, bytes := range held {
		sum += bytes
	}
	return b.excess(sum)
}

// excess returns how many of the bytes of one session are no longer small.
func (b *Budgeter) excess(bytes int64) int64 { return max(0, bytes-b.limits.Small) }

// hold grants, refuses or postpones what a session asks for.
func (b *Budgeter) hold(s *session, h Hold) []Effect {
	b.leaveQueue(s) // What it waited for is replaced.
	if h.Bytes <= s.held[h.Use] {
		b.set(s, h.Use, h.Bytes)
		return append([]Effect{Grant{ID: s.id}}, b.admit()...)
	}
	switch h.Use {
	case Answer, Socket:
		return b.force(s, h.Use, h.Bytes)
	case State:
		more := b.excess(h.Bytes) - b.excess(s.held[State])
		if more > 0 && b.state+more > b.limits.Bytes/stateDivisor {
			return []Effect{Refuse{ID: s.id, Err: overloaded("the state of the sessions")}}
		}
	}
	if b.fits(s, h.Use, h.Bytes) {
		b.set(s, h.Use, h.Bytes)
		return []Effect{Grant{ID: s.id}}
	}
	if h.Use == Message && h.Ahead {
		s.waiting = b.waiting.PushBack(waiter{session: s, bytes: h.Bytes})
		return nil
	}
	return []Effect{Refuse{ID: s.id, Err: overloaded("the messages of the sessions")}}
}

// overloaded returns the error for something that does not fit into the budget.
func overloaded(what string) *result.Error {
	return result.New(result.Overloaded, "the memory for %s is used up; try again in %v", what, retryAfter)
}

// fits reports whether the session may hold this many bytes for a message or its state.
func (b *Budgeter) fits(s *session, u Use, bytes int64) bool {
	held := s.held
	held[u] = bytes
	more := b.charge(held) - b.charge(s.held)
	return more == 0 || b.used+more <= b.limits.Bytes*messageNumerator/messageDenominator
}

// force grants bytes that are already there, and closes the sessions that hold most until all fit. The
// session itself may be one of them.
func (b *Budgeter) force(s *session, u Use, bytes int64) []Effect {
	b.set(s, u, bytes)
	excess := b.used - b.limits.Bytes
	for _, holder := range b.holders {
		if holder.closing {
			excess -= b.charge(holder.held)
		}
	}
	var effects []Effect
	for excess > 0 {
		largest := b.largest()
		if largest == nil {
			break
		}
		excess -= b.charge(largest.held)
		effects = append(effects, b.close(largest, false,
			result.New(result.SessionClosed, "the memory of the sessions is used up, and this one holds most of it")))
	}
	if s.closing {
		return effects
	}
	return append(effects, Grant{ID: s.id})
}

// largest returns the session that holds the largest part of the budget and is not closing, or nil.
func (b *Budgeter) largest() *session {
	var largest *session
	for _, s := range b.holders {
		if s.closing {
			continue
		}
		if largest == nil || b.charge(s.held) > b.charge(largest.held) ||
			b.charge(s.held) == b.charge(largest.held) && s.id < largest.id {
			largest = s
		}
	}
	return largest
}

// set changes what a session holds.
func (b *Budgeter) set(s *session, u Use, bytes int64) {
	b.used -= b.charge(s.held)
	if u == State {
		b.state += b.excess(bytes) - b.excess(s.held[State])
	}
	s.held[u] = bytes
	charge := b.charge(s.held)
	b.used += charge
	if charge > 0 {
		b.holders[s.id] = s
	} else {
		delete(b.holders, s.id)
	}
}

// admit grants messages that wait, oldest first, as far as they fit.
func (b *Budgeter) admit() []Effect {
	var effects []Effect
	for first := b.waiting.Front(); first != nil; first = b.waiting.Front() {
		w := first.Value.(waiter)
		if !b.fits(w.session, Message, w.bytes) {
			break
		}
		b.leaveQueue(w.session)
		b.set(w.session, Message, w.bytes)
		effects = append(effects, Grant{ID: w.session.id})
	}
	return effects
}

func (b *Budgeter) withdraw(s *session) []Effect {
	b.leaveQueue(s)
	return b.admit()
}

// leaveQueue takes the session off the list of waiting sessions.
func (b *Budgeter) leaveQueue(s *session) {
	if s.waiting != nil {
		b.waiting.Remove(s.waiting)
		s.waiting = nil
	}
}

func (b *Budgeter) disconnect(s *session) []Effect {
	b.leaveQueue(s)
	b.leavePlace(s)
	for u := range numUses {
		b.set(s, u, 0)
	}
	if s.closing {
		b.closing--
	}
	if s.account != "" {
		b.accounts[s.account]--
		if b.accounts[s.account] == 0 {
			delete(b.accounts, s.account)
		}
	}
	delete(b.sessions, s.id)
	return b.admit()
}
