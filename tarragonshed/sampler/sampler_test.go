package sampler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTake(t *testing.T) {
	is := is.New(t)
	var s Sampler
	now := time.Unix(1000, 0)
	take := func(n int) (written int) {
		for range n {
			if omitted, ok := s.Take(now); ok {
				is.Equal(omitted, 0)
				written++
			}
		}
		return written
	}
	is.Equal(take(maxLinesPerSecond+5), maxLinesPerSecond)
	now = now.Add(time.Second)
	omitted, ok := s.Take(now)
	is.True(ok)
	is.Equal(omitted, 5)
	is.Equal(take(1), 1)
}
