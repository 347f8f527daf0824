// Package spooler writes lines without ever making their writer wait.
//
// # Why
//
// A process that writes its log to a pipe stops when nobody reads the pipe. A
// Spooler keeps a bounded number of lines and writes them in a goroutine of its
// own; when that stands still, new lines are dropped and counted, and the count is
// written once there is room again.
//
// # Usage
//
//	out := spooler.New(os.Stdout)
//	defer out.Close(time.Second)
//	logger := log.New(out)
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// DefaultCapacity is the number of lines that are kept.
const DefaultCapacity = 2048

// Spooler writes lines in the background. It is safe for concurrent use.
type Spooler struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
	ended   chan struct{}
}

// Option changes a Spooler under construction.
type Option func(*Spooler)

// WithCapacity sets the number of lines that are kept.
func WithCapacity(n int) Option { return func(s *Spooler) { s.lines = make(chan []byte, n) } }

// New returns a Spooler that writes to out.
func New(out io.Writer, options ...Option) *Spooler {
	s := &Spooler{out: out, lines: make(chan []byte, DefaultCapacity), ended: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	go func() {
		defer close(s.ended)
		for line := range s.lines {
			s.put(line)
			if n := s.dropped.Swap(0); n > 0 {
				s.put(fmt.Appendf(nil, "level=warn msg=\"lines dropped: nobody reads the log\" lines=%d\n", n))
			}
		}
	}()
	return s
}

// put writes one line. There is nobody to tell about a failure but the counter.
func (s *Spooler) put(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.failed.Add(1)
	}
}

// Write keeps one line, or drops it when there is no room. It never fails. It must
// not be called after Close.
func (s *Spooler) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported.
func (s *Spooler) Dropped() int64 { return s.dropped.Load() }

// Failed returns the number of lines that could not be written.
func (s *Spooler) Failed() int64 { return s.failed.Load() }

// Close writes what is kept, for no longer than the patience.
func (s *Spooler) Close(patience time.Duration) {
	close(s.lines)
	select {
	case <-s.ended:
	case <-time.After(patience):
	}
}
