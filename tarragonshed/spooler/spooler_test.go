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

// stuck is a reader that reads when it is let.
type stuck struct {
	let  chan struct{}
	text bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	return s.text.Write(b)
}

func TestNobodyReads(t *testing.T) {
	is := is.New(t)
	out := &stuck{let: make(chan struct{})}
	s := New(out, WithCapacity(4))
	for n := range 100 { // None of these waits.
		fmt.Fprintf(s, "line %d\n", n)
	}
	is.True(s.Dropped() >= 95)
	close(out.let)
	s.Close(time.Minute)
	text := out.text.String()
	is.True(strings.HasPrefix(text, "line 0\n"))
	is.True(strings.Contains(text, "lines dropped"))
	is.Equal(s.Dropped(), int64(0))
}

type broken struct{}

func (broken) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestFailuresAreCounted(t *testing.T) {
	is := is.New(t)
	s := New(broken{})
	fmt.Fprint(s, "a\n")
	fmt.Fprint(s, "b\n")
	s.Close(time.Minute)
	is.Equal(s.Failed(), int64(2))
}
