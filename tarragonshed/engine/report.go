package engine

import (
	"sync"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// linesPerSecond bounds the lines about refused statements.
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
	left, ok := e.throttle.take(time.Now())
	if !ok {
		return
	}
	entry := err.Code.Entry()
	e.logger.Info("statement refused", "request", id, "database", s.database, "code", err.Code,
		"name", entry.Name, "outcome", entry.Outcome, "cause", err.Detail, "state", string(s.state), "lines-left-out", left)
}
