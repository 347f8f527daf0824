// Package tracker determines the log position that the reads of a session must have
// reached: the session's own position, or a read index for a new session. A position
// is the term and index of a record in the replicated log of a group of instances, see
// [unit.Position].
//
// # Positions
//
// The position of a [Session] rises with each acknowledged write and with the data
// that its reads have returned. The answer of a read that is below the position is
// not returned to the caller, so a session reads its own writes and its reads are
// monotonic.
//
// # Read index
//
// A session that begins without a position may belong to a caller that wrote
// through another daemon. Its first read takes a read index: the highest last
// record among a majority of the group's instances, all of which reported after the
// read arrived. An acknowledged write is on a majority of the instances, so at least
// one of those that reported holds it. An [Indexer] has at most one round of report
// requests in flight per group. The round serves all reads that were waiting when it
// began.
//
// # Staleness
//
// A read that accepts stale data needs no read index. It must still have reached the
// session's position.
//
// # Floors
//
// [Floors] holds positions of a group's primary and when they were requested. It
// yields the lowest position that satisfies a read with a given staleness bound.
//
// # Copies of tables
//
// [Copy] tracks how current a copy of a table of the platform's store is.
//
// # Usage
//
//	var session tracker.Session
//	floor, ok := session.Floor(0)
//	if !ok {
//		effects := indexer.Handle(tracker.Arrived{Read: 17})
//		...
//	}
//	session.Initialize(index)
//	session.Raise(position)
package tracker

import (
	"time"

	"tarragonshed.example/unit"
)

// Session is the position of one session. The zero Session is new. It is not safe for
// concurrent use.
type Session struct {
	position unit.Position
	// initialized is set once a read index or a position from the caller is recorded.
	initialized bool
}

// Position returns the position that the session's reads must have reached.
func (s *Session) Position() unit.Position {
	return s.position
}

// Raise records the position of an acknowledged write or of the answer to a read, and
// reports whether the session's position rose.
func (s *Session) Raise(p unit.Position) bool {
	if !s.position.Before(p) {
		return false
	}
	s.position = p
	return true
}

// Initialize records a position that covers all writes that were acknowledged to the
// caller before the session began: a read index, or a position that the caller
// supplied. It reports whether the session's position rose.
func (s *Session) Initialize(p unit.Position) bool {
	s.initialized = true
	return s.Raise(p)
}

// Floor returns the position that a read with the given staleness bound must have
// reached. It returns false if a read index has to be taken first.
func (s *Session) Floor(staleness time.Duration) (unit.Position, bool) {
	return s.position, s.initialized || staleness > 0
}
