// Package spooler writes lines to an output without blocking the caller.
//
// # Why
//
// A process that writes its log to a pipe blocks when the reader of the pipe stops
// reading. A Spooler buffers a bounded number of lines and writes them in its own
// goroutine. While the output blocks and the buffer is full, new lines are dropped
// and counted. The count is written after the next line that is written.
//
// A line longer than [MaxLineBytes] is cut and marked, because a value may be as long as what
// a caller sent.
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
	"sync"
	"sync/atomic"
	"time"
)

// DefaultCapacity is the default number of buffered lines.
const DefaultCapacity = 2048

// MaxLineBytes is the length of the longest line, its end included.
const MaxLineBytes = 8 << 10

// cutMark is the last field of a line that was cut.
const cutMark = " line-cut=true\n"

// maxEscapeBytes is the length of the longest escape in a quoted value, as in \u000a.
const maxEscapeBytes = 6

// Spooler writes lines in the background. It is safe for concurrent use.
type Spooler struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	failed    atomic.Int64
	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
}

// Option configures a [Spooler].
type Option func(*Spooler)

// WithCapacity sets the number of buffered lines instead of [DefaultCapacity].
func WithCapacity(n int) Option { return func(s *Spooler) { s.lines = make(chan []byte, n) } }

// New returns a Spooler that writes to out.
func New(out io.Writer, options ...Option) *Spooler {
	s := &Spooler{out: out, lines: make(chan []byte, DefaultCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	go func() {
		defer close(s.done)
		for {
			select {
			case line := <-s.lines:
				s.writeBuffered(line)
			case <-s.closing:
				s.writeRest()
				return
			}
		}
	}()
	return s
}

// writeRest writes the lines that are buffered.
func (s *Spooler) writeRest() {
	for {
		select {
		case line := <-s.lines:
			s.writeBuffered(line)
		default:
			return
		}
	}
}

// writeBuffered writes one line and reports the lines that were dropped before.
func (s *Spooler) writeBuffered(line []byte) {
	s.writeLine(line)
	if n := s.dropped.Swap(0); n > 0 {
		s.writeLine(fmt.Appendf(nil, "level=warn msg=\"log lines dropped: output blocked\" lines=%d\n", n))
	}
}

// writeLine writes one line. A failure is only counted, because the log itself is what
// can't be written.
func (s *Spooler) writeLine(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.failed.Add(1)
	}
}

// Write buffers one line in the logfmt format, or drops it if the buffer is full or the Spooler is
// closed. It never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	if s.isClosing() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- cut(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Spooler) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// cut returns a copy of the line that is at most MaxLineBytes long. A quoted value that is cut is
// closed, so that the line can still be decoded.
func cut(line []byte) []byte {
	if len(line) <= MaxLineBytes {
		return bytes.Clone(line)
	}
	kept := line[:MaxLineBytes-len(cutMark)-len(`"`)]
	quoted := false
	for n := 0; n < len(kept); n++ {
		switch kept[n] {
		case '"':
			quoted = !quoted
		case '\\':
			if n+maxEscapeBytes > len(kept) {
				kept = kept[:n] // The escape may not be whole.
			}
			n++ // What it escapes.
		}
	}
	short := append(make([]byte, 0, MaxLineBytes), kept...)
	if quoted {
		short = append(short, '"')
	}
	return append(short, cutMark...)
}

// Dropped returns the number of dropped lines that have not been reported.
func (s *Spooler) Dropped() int64 { return s.dropped.Load() }

// Failed returns the number of lines that could not be written.
func (s *Spooler) Failed() int64 { return s.failed.Load() }

// Close writes the buffered lines. It returns when all are written or after the
// timeout. Lines that are written meanwhile or later may be dropped.
func (s *Spooler) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
