package entry

import (
	"testing"
	"time"

	"tarragonshed.example/router"
)

// TestRunGoesOnAfterSupervision guards against a data race between a run that makes its next attempt and
// the supervision of the last one, which has not noticed yet that its batch has ended. It needs the race
// detector.
func TestRunGoesOnAfterSupervision(t *testing.T) {
	g := &group{polling: true} // Nobody polls.
	r := &run{session: &session{group: g}, deadline: time.Now().Add(time.Hour)}
	end := r.supervise(nil)
	for supervised := false; !supervised; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		supervised = g.slowPollers > 0
		g.mu.Unlock()
	}
	time.Sleep(superviseInterval)
	end()
	r.use = router.Use{Instance: "next"}
	r.deadline = time.Now()
}
