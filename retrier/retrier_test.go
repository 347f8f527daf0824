package retrier

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	var b Budget
	taken := 0
	for range 10_000 {
		b.RecordRequest()
		for b.Take() { // A burst of retries.
			taken++
		}
	}
	is.Equal(taken, 1019) // The burst and a tenth of the requests.
}

func TestRetryable(t *testing.T) {
	is := is.New(t)
	is.True(Retryable(result.NotRun, false, false))
	is.True(!Retryable(result.NotRun, true, true))
	is.True(Retryable(result.Unknown, true, false))
	is.True(!Retryable(result.Unknown, false, false))
	is.True(!Retryable(result.Ran, true, false))
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	var b Backoff
	is.Equal(b.Delay(0, 0.5), DefaultFirst)
	is.Equal(b.Delay(2, 0), 2*DefaultFirst)
	is.Equal(b.Delay(1000, 0.5), DefaultLimit)
}
