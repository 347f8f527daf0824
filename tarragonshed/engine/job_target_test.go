package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/limiter"
	"tarragonshed.example/manifest"
)

// TestTargetOfRetry checks that a statement that is sent again keeps the time by which its caller
// expects it to end.
func TestTargetOfRetry(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	b, _ := h.current.Load().groups["g"].find("b")
	for _, r := range []manifest.Route{
		{Timeout: time.Minute, TargetLatency: time.Second}, {TargetLatency: time.Second},
	} {
		began := time.Now().Add(-30 * time.Second)
		until := began.Add(timeout(r))
		is.Equal(leaseRequest(b, r, anonymous, limiter.StaleRead, until).Target, began.Add(time.Second))
	}
	is.True(leaseRequest(b, manifest.Route{}, anonymous, limiter.StaleRead, time.Now()).Target.IsZero())
}
