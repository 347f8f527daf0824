package engine

import (
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// maxNameBytes bounds what is logged of the name of a database that may not exist.
const maxNameBytes = 100

// logRefusal logs a statement that was refused or failed.
func (e *Engine) logRefusal(s *Session, id unit.RequestID, err *result.Error) {
	omitted, ok := e.refusalLog.Take(time.Now())
	if !ok {
		return
	}
	entry := err.Code.Entry()
	l, usable := e.authority.Primary(s.groupName())
	e.logger.Info("statement refused", "request", id, "database", s.database, "code", err.Code,
		"name", entry.Name, "outcome", entry.Outcome, "cause", err.Detail, "state", string(s.state),
		"primary", l.Primary, "primary-usable", usable, "term", l.Term, "fence", l.Fence, "lines-left-out", omitted)
}

// RecordRefusal counts and logs a message of a caller that is refused before it is a statement. The
// database and the ID are empty if they are not known.
func (e *Engine) RecordRefusal(database unit.DatabaseName, id unit.RequestID, err *result.Error) {
	e.meters.recordRefusal(err.Code)
	omitted, ok := e.messageLog.Take(time.Now())
	if !ok {
		return
	}
	entry := err.Code.Entry()
	e.logger.Info("message refused", "request", id, "database", database[:min(len(database), maxNameBytes)], "code", err.Code,
		"name", entry.Name, "outcome", entry.Outcome, "cause", err.Detail, "lines-left-out", omitted)
}

// RecordClose counts and logs a session that the daemon closes to save memory or connections. The
// database is empty if it is not known.
func (e *Engine) RecordClose(database unit.DatabaseName, err *result.Error) {
	e.meters.recordClose(err.Code)
	if omitted, ok := e.closeLog.Take(time.Now()); ok {
		e.logger.Warn("session closed", "database", database, "code", err.Code, "cause", err.Detail, "lines-left-out", omitted)
	}
}

// logRetry logs a statement that is retried.
func (e *Engine) logRetry(id unit.RequestID, t *target, err *result.Error, attempt int) {
	omitted, ok := e.retryLog.Take(time.Now())
	if !ok {
		return
	}
	load := t.Load()
	e.logger.Info("statement retried", "request", id, "instance", t.name(), "group", t.group.name, "code", err.Code,
		"cause", err.Detail, "attempt", attempt, "running", load.Running, "queued", load.Queued, "connections", load.Size,
		"lines-left-out", omitted)
}
