package spooler

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-logfmt/logfmt"
	"github.com/matryer/is"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.written.Write(b)
}

func TestBlockedOutputDropsLines(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out, WithCapacity(4))
	for n := range 100 { // Write does not block.
		fmt.Fprintf(s, "line %d\n", n)
	}
	is.True(s.Dropped() >= 95)
	close(out.release)
	s.Close(time.Minute)
	text := out.written.String()
	is.True(strings.HasPrefix(text, "line 0\n"))
	is.True(strings.Contains(text, "log lines dropped: output blocked"))
	is.Equal(s.Dropped(), int64(0))
}

// TestWritesDuringClose guards against a panic of whoever still logs while the log is closed, as
// sessions did at the end of a process (review/9).
func TestWritesDuringClose(t *testing.T) {
	is := is.New(t)
	for range 50 {
		var out bytes.Buffer
		s := New(&out)
		fmt.Fprint(s, "first\n")
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 100 {
					fmt.Fprint(s, "beside\n")
				}
			})
		}
		s.Close(time.Minute)
		is.True(strings.HasPrefix(out.String(), "first\n"))
		writers.Wait()
		dropped := s.Dropped()
		n, err := fmt.Fprint(s, "late\n")
		is.NoErr(err)
		is.Equal(n, len("late\n"))
		is.Equal(s.Dropped(), dropped+1)
		s.Close(time.Minute)
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestWriteErrorsAreCounted(t *testing.T) {
	is := is.New(t)
	s := New(failingWriter{})
	fmt.Fprint(s, "a\n")
	fmt.Fprint(s, "b\n")
	s.Close(time.Minute)
	is.Equal(s.Failed(), int64(2))
}

// TestLongLinesAreCut guards against log lines as long as a caller's text, and checks that a line that
// is cut can be decoded, wherever that is.
func TestLongLinesAreCut(t *testing.T) {
	for _, text := range []string{"x", "\n", "\x00", `"`, `\`, "x\n", "\x00\"", "\xff", " ", "é"} {
		for shift := range 8 {
			is := is.New(t)
			var out bytes.Buffer
			s := New(&out)
			log.NewWithOptions(s, log.Options{Formatter: log.LogfmtFormatter}).
				Info(strings.Repeat("m", shift), "id", strings.Repeat(text, MaxLineBytes), "cause", "c")
			s.Close(time.Minute)
			is.True(out.Len() <= MaxLineBytes)
			is.True(out.Len() > MaxLineBytes-2*maxEscapeBytes-len(cutMark))
			is.Equal(bytes.Count(out.Bytes(), []byte("\n")), 1)
			d := logfmt.NewDecoder(&out)
			is.True(d.ScanRecord())
			var last string
			for d.ScanKeyval() {
				last = string(d.Key()) + "=" + string(d.Value())
			}
			is.NoErr(d.Err())
			is.Equal(last, "line-cut=true")
		}
	}
}

func TestShortLinesAreKept(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	longest := strings.Repeat("x", MaxLineBytes-1) + "\n"
	fmt.Fprint(s, longest)
	s.Close(time.Minute)
	is.Equal(out.String(), longest)
}
