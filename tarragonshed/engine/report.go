package engine

import (
	"sync"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// linesPerSecond bounds the lines of each kind about statements.
const linesPerSecond = 20

// throttle counts the lines of the present second.
type throttle struct {
	mu     sync.Mutex
	second int64
	lines  int
	left   int
}

// take reports whether a line may be written, and how many were left out before.
func (t *throttle) take(now time.Time) (left int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if second := now.Unix(); second != t.second {
		t.second, t.lines = second, 0
	}
	if t.lines >= linesPerSecond {
		t.left++
		return 0, false
	}
	t.lines++
	left, t.left = t.left, 0
	return left, true
}

// report writes a line about a statement that was refused or failed.
func (e *Engine) report(s *Session, id unit.RequestID, err *result.Error) {
	left, ok := e.refusals.take(time.Now())
	if !ok {
		return
	}
	entry := err.Code.Entry()
	l, usable := e.authority.Primary(s.groupName())
	e.logger.Info("statement refused", "request", id, "database", s.database, "code", err.Code,
		"name", entry.Name, "outcome", entry.Outcome, "cause", err.Detail, "state", string(s.state),
		"primary", l.Primary, "primary-usable", usable, "term", l.Term, "fence", l.Fence, "lines-left-out", left)
}

// reportRetry writes a line about a statement that is sent again.
func (e *Engine) reportRetry(id unit.RequestID, t *target, err *result.Error, attempt int) {
	left, ok := e.retries.take(time.Now())
	if !ok {
		return
	}
	load := t.Load()
	e.logger.Info("statement sent again", "request", id, "instance", t.name(), "group", t.group.name, "code", err.Code,
		"cause", err.Detail, "attempt", attempt, "running", load.Running, "queued", load.Queued, "connections", load.Size,
		"lines-left-out", left)
}
