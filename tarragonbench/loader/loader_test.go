package loader

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/standin/target"
	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/unit"
)

func TestScheduleFollowsItsPhases(t *testing.T) {
	is := is.New(t)
	s := schedule{random: rand.New(rand.NewPCG(1, 0)), settings: Settings{
		Phases: []Phase{{Rate: 100}, {After: 50 * time.Second, Rate: 400, Writes: 3}}, Duration: 100 * time.Second,
		Mix: []Share{{Class: Write, Weight: 1}, {Class: SessionRead, Weight: 3}},
	}}
	var arrived, written [2]float64
	for a, ok := s.next(); ok; a, ok = s.next() {
		half := int(a.at / (50 * time.Second))
		arrived[half]++
		if a.share.Class == Write {
			written[half]++
		}
	}
	between := func(v, low, high float64) { t.Helper(); is.True(v > low && v < high) }
	between(arrived[0], 4700, 5300)
	between(arrived[1], 19400, 20600)
	between(written[0]/arrived[0], 0.22, 0.28)
	between(written[1]/arrived[1], 0.47, 0.53)
}

func TestGap(t *testing.T) {
	is := is.New(t)
	var a acknowledgements
	for _, at := range []time.Duration{1, 100, 110, 90, 150} {
		a.add(at * time.Millisecond)
	}
	gap := func(from, end time.Duration) time.Duration {
		first, last := a.gap(from*time.Millisecond, end*time.Millisecond)
		return last - first
	}
	is.Equal(gap(105, 160), 40*time.Millisecond)
	is.Equal(gap(155, 1000), 850*time.Millisecond) // No write is acknowledged after from.
	is.Equal(gap(50, 120), 89*time.Millisecond)    // A write after the end does not count.
}

// runLoad runs a load on a primary, and on a replica that applies no more writes unless
// primaryOnly is set.
func runLoad(t *testing.T, mix []Share, primaryOnly bool) Report {
	t.Helper()
	is := is.New(t)
	a, err := target.New("a", "ledger", target.WithPrimary(), target.WithConnectDelay(0), target.WithConnections(100))
	is.NoErr(err)
	t.Cleanup(func() { _ = a.Destroy() })
	b, err := target.New("b", "ledger", target.WithFollow("a", a.Address()), target.WithConnectDelay(0), target.WithConnections(100))
	is.NoErr(err)
	t.Cleanup(func() { _ = b.Destroy() })
	daemons := []historian.Daemon{{Name: "a", Address: a.Address()}, {Name: "b", Address: b.Address()}}
	if primaryOnly {
		daemons = daemons[:1]
	}
	l := New(Settings{
		Seed: 1, Callers: 6, Daemons: daemons[:1], Groups: []unit.GroupName{"ledger"}, Mix: mix,
		Phases: []Phase{{Rate: 2000}}, Duration: time.Second, Roam: 0.3,
	})
	is.NoErr(l.Prepare(t.Context()))
	b.SetApplyLag(time.Hour)
	l.settings.Daemons = daemons
	l.Run(t.Context())
	l.settings.Daemons = daemons[:1]
	report, err := l.Verify(t.Context())
	is.NoErr(err)
	return report
}

func TestLoadOnAPrimary(t *testing.T) {
	is := is.New(t)
	mix := []Share{{Write, 1, 0}, {KeyedWrite, 1, 0}, {Transaction, 1, 0}, {SessionRead, 1, 0}, {StaleRead, 1, time.Second}}
	r := runLoad(t, mix, true)
	is.Equal(r.Violations, nil)
	is.Equal(len(r.Codes), 0)
	for _, share := range mix {
		f := r.Classes[share.Class]
		is.True(f.Done > 0 && f.Done == f.Arrived)
		is.True(f.P50 > 0 && f.P50 <= f.P99 && f.P99 <= f.Max)
	}
	is.True(r.Goodput > 0)
}

// violationRounds bounds the rounds of load in which a violation may show itself. On a busy
// machine, no read of the lagging replica may follow a write within the second of one round.
const violationRounds = 20

// Reads of a replica that applies no more writes miss acknowledged ones, and must be
// reported as violations.
func TestViolationsAreFound(t *testing.T) {
	session, stale, refused := 0, 0, 0
	for range violationRounds {
		r := runLoad(t, []Share{{Write, 1, 0}, {SessionRead, 1, 0}, {StaleRead, 1, time.Millisecond}}, false)
		for _, v := range r.Violations {
			if strings.Contains(v, "staleness") {
				stale++
			} else {
				session++
			}
		}
		refused += r.Codes["25006"]
		if session > 0 && stale > 0 && refused > 0 {
			return
		}
	}
	t.Fatalf("%d violations of sessions, %d of staleness, %d refused writes", session, stale, refused)
}
