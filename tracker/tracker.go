// Package tracker keeps what a session must see: its position, and the read
// index that stands in for the position of a session that is new.
//
// # Positions
//
// A [Session] is raised by the positions of acknowledged writes and of what its
// reads saw. A read whose answer is below the position is not given to the
// caller, so a session reads its own writes and never goes back in time.
//
// # Read index
//
// A session that begins without a position may belong to a caller that wrote
// through another daemon. Its first read takes a read index: the highest last
// record among a majority of the group's instances, all asked after the read
// arrived. An acknowledged write is on a majority, so one of the instances asked
// holds it. An [Indexer] has at most one question in flight per group, which
// serves all reads that waited when it was asked.
//
// # Staleness
//
// A read that accepts data of some age needs no read index. It still sees the
// session's position.
//
// # Usage
//
//	var session tracker.Session
//	floor, ok := session.Floor(0)
//	if !ok {
//		effects := indexer.Handle(tracker.Arrived{Read: 17})
//		...
//	}
//	session.Root(index)
//	session.Raise(position)
package tracker

import (
	"time"

	"tarragonshed.example/unit"
)

// Session is the position of one session. The zero Session is new.
type Session struct {
	position unit.Position
	rooted   bool
}

// Position returns the position that the session's reads must see.
func (s *Session) Position() unit.Position {
	return s.position
}

// Raise records an acknowledged write or what a read saw, and reports whether
// the position rose.
func (s *Session) Raise(p unit.Position) bool {
	if !s.position.Before(p) {
		return false
	}
	s.position = p
	return true
}

// Initialize records a position that covers all that was acknowledged to the caller
// before the session: a read index, or what the caller handed back. It reports
// whether the position rose.
func (s *Session) Initialize(p unit.Position) bool {
	s.rooted = true
	return s.Raise(p)
}

// Floor returns the position that a read must see. It returns false if a read
// index has to be taken first.
func (s *Session) Floor(staleness time.Duration) (unit.Position, bool) {
	return s.position, s.rooted || staleness > 0
}
