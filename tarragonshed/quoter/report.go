package quoter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/tarragonshed/sampler"
	"tarragonshed.example/throttler"
	"tarragonshed.example/unit"
)

// meters holds the metrics of a Quoter. Their number does not depend on the callers.
type meters struct {
	fromFloor, fromLender metrics.Counter // Admitted operations by source.
	refused, unreachable  metrics.Counter // Refused operations, and those of them without a lender.
	asked, askFailed      metrics.Counter // Requests to lenders.
	served, lent          metrics.Counter // Requests of other daemons, and operations granted to them.
	notLending            metrics.Counter // Wants of shares that this daemon does not lend.
	partitions            metrics.Gauge   // Partitions in which this daemon lends.
	changes               metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quoter."+name, r) }
	return meters{
		fromFloor:   counter("admitted.floor"),
		fromLender:  counter("admitted.lender"),
		refused:     counter("refused"),
		unreachable: counter("refused.unreachable"),
		asked:       counter("requests"),
		askFailed:   counter("requests.failed"),
		served:      counter("served"),
		lent:        counter("granted"),
		notLending:  counter("served.not-lending"),
		partitions:  metrics.GetOrRegisterGauge("quoter.partitions", r),
		changes:     counter("partitions.changes"),
	}
}

func (m meters) recordAdmission(s throttler.Source) {
	switch s {
	case throttler.FromFloor:
		m.fromFloor.Inc(1)
	case throttler.FromLender:
		m.fromLender.Inc(1)
	case throttler.Unlimited:
	}
}

func (m meters) recordRefusal(unreachable bool) {
	m.refused.Inc(1)
	if unreachable {
		m.unreachable.Inc(1)
	}
}

func (m meters) recordGrants(grants []throttler.Grant) {
	m.served.Inc(1)
	for _, g := range grants {
		m.lent.Inc(int64(g.Granted))
		if g.NotLending {
			m.notLending.Inc(1)
		}
	}
}

func (m meters) recordLending(partitions int) {
	m.partitions.Update(int64(partitions))
	m.changes.Inc(1)
}

// samplers bound each kind of log line.
type samplers struct{ refusals, grants, failures sampler.Sampler }

// logRefusal logs an operation that was refused.
func (q *Quoter) logRefusal(r throttler.Refuse) {
	if omitted, ok := q.lines.refusals.Take(time.Now()); ok {
		q.logger.Info("operation beyond the rate limit", "caller", r.Caller, "retry-after", r.RetryAfter,
			"lender-unreachable", r.Unreachable, "lines-left-out", omitted)
	}
}

// logGrants logs the wants of another daemon that could not be granted in full.
func (q *Quoter) logGrants(daemon unit.DaemonID, wants []throttler.Want, grants []throttler.Grant) {
	for i, g := range grants {
		w := wants[i]
		if g.NotLending || g.Granted >= w.Waiting {
			continue
		}
		if omitted, ok := q.lines.grants.Take(time.Now()); ok {
			q.logger.Info("share of a rate limit used up", "caller", w.Caller, "share", int(w.Share), "daemon", daemon,
				"waiting", w.Waiting, "granted", g.Granted, "retry-after", g.RetryAfter, "lines-left-out", omitted)
		}
	}
}

// logAskFailure logs a request without a response.
func (q *Quoter) logAskFailure(a throttler.Ask, err error) {
	if omitted, ok := q.lines.failures.Take(time.Now()); ok {
		q.logger.Info("no response from a lender", "lender", a.Lender, "callers", len(a.Wants), "cause", err, "lines-left-out", omitted)
	}
}
