package spooler

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

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
