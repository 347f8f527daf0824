// Package sampler bounds how often log lines of one kind are written.
//
// # Usage
//
//	var refusals sampler.Sampler
//	if omitted, ok := refusals.Take(time.Now()); ok {
//		logger.Info("statement refused", "lines-left-out", omitted)
//	}
package sampler

import (
	"sync"
	"time"
)

// maxLinesPerSecond bounds the lines of one kind.
const maxLinesPerSecond = 20

// Sampler counts the log lines of the current second. Its zero value is ready to use. It is safe
// for concurrent use.
type Sampler struct {
	mu      sync.Mutex
	second  int64
	lines   int
	omitted int
}

// Take reports whether a line may be written, and how many lines were omitted before it.
func (s *Sampler) Take(now time.Time) (omitted int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.lines = second, 0
	}
	if s.lines >= maxLinesPerSecond {
		s.omitted++
		return 0, false
	}
	s.lines++
	omitted, s.omitted = s.omitted, 0
	return omitted, true
}
