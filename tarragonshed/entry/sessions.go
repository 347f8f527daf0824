package entry

import (
	"cmp"
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// Session describes the session of a caller.
type Session struct {
	ID      unit.SessionID
	Caller  unit.CallerName
	Group   unit.GroupName
	Address string
	Since   time.Time
	// Idle is true if the session waits for the caller and no transaction is
	// open.
	Idle bool
}

// Sessions returns the sessions, ordered by ID.
func (e *Entry) Sessions() []Session {
	var described []Session
	for _, s := range e.listSessions() {
		s.mu.Lock()
		idle := s.idle
		s.mu.Unlock()
		described = append(described, Session{
			ID: s.id, Caller: s.caller, Group: s.database, Address: s.conn.RemoteAddr().String(), Since: s.since, Idle: idle,
		})
	}
	slices.SortFunc(described, func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
	return described
}
