package engine

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/limiter"
	"tarragonshed.example/router"
)

func TestCrossings(t *testing.T) {
	var c crossings
	now := time.Now()
	// period records reads until the end of a period and returns its result.
	period := func(leaves int) (share float64, risen bool) {
		for n := range 100 {
			d := router.SameDomain
			if n < leaves {
				d = router.SameRegion
			}
			if n == 99 {
				now = now.Add(crossingPeriod)
			}
			share, risen = c.record(d, now)
		}
		return share, risen
	}
	t.Run("a rise is logged once", func(t *testing.T) {
		is := is.New(t)
		share, risen := period(30)
		is.Equal(share, 0.3)
		is.True(risen)
		_, risen = period(32)
		is.True(!risen)
	})
	t.Run("a rise after a fall is logged", func(t *testing.T) {
		is := is.New(t)
		_, risen := period(0)
		is.True(!risen)
		_, risen = period(12)
		is.True(risen)
	})
}

func TestCrossingMetricsAndLog(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	var lines bytes.Buffer
	h := newHarness(t, WithMetrics(registry), WithLogger(log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})))
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	s := h.open("old")
	mustSucceed(t, s, Read{Text: "1"})
	is.Equal(count("engine.reads.same-domain"), int64(1))

	g := h.current.Load().groups["g"]
	g.logCrossings(0.5, g.readCandidates(nil, time.Hour), 0)
	is.True(strings.Contains(lines.String(), `msg="reads leave the failure domain" group=g share=0.50`))
	is.True(strings.Contains(lines.String(), "demand"))

	target, _ := g.find("b")
	_, pool := target.limits()
	target.Resize(limiter.Limits{}, pool)
	target.Admit(limiter.Request{Priority: limiter.StaleRead, Deadline: time.Now().Add(time.Hour)})
	is.Equal(count("engine.refusals.queue-full"), int64(1))
}
