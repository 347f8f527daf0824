package engine

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/router"
)

// meters holds the metrics of an Engine.
type meters struct {
	registry metrics.Registry

	sessions            metrics.Counter
	replicaReads        metrics.Counter
	primaryReads        metrics.Counter
	writes              metrics.Counter
	retries             metrics.Counter
	connectionsOpened   metrics.Counter
	preparations        metrics.Counter // Round trips to prepare a connection for a statement.
	unprepared          metrics.Counter // Those that failed, so that the statement was not sent.
	transactionsExpired metrics.Counter
	forwarded           metrics.Counter
	homesUnreachable    metrics.Counter
	latency             metrics.Timer

	readsByDistance   map[router.Distance]metrics.Counter // The reads for which an instance was chosen.
	refusalsByLimiter map[limiter.Reason]metrics.Counter
}

func newMeters(registry metrics.Registry) *meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("engine."+name, registry)
	}
	return &meters{
		registry:            registry,
		sessions:            counter("sessions"),
		replicaReads:        counter("reads.replica"),
		primaryReads:        counter("reads.primary"),
		writes:              counter("writes"),
		retries:             counter("retries"),
		connectionsOpened:   counter("connections.opened"),
		preparations:        counter("preparations"),
		unprepared:          counter("preparations.failed"),
		transactionsExpired: counter("transactions.expired"),
		forwarded:           counter("statements.forwarded"),
		homesUnreachable:    counter("homes.unreachable"),
		latency:             metrics.GetOrRegisterTimer("engine.latency", registry),
		readsByDistance: map[router.Distance]metrics.Counter{
			router.SameDomain:  counter("reads.same-domain"),
			router.SameRegion:  counter("reads.same-region"),
			router.OtherRegion: counter("reads.other-region"),
		},
		refusalsByLimiter: map[limiter.Reason]metrics.Counter{
			limiter.QueueFull:   counter("refusals." + limiter.QueueFull.String()),
			limiter.Displaced:   counter("refusals." + limiter.Displaced.String()),
			limiter.CallerShare: counter("refusals." + limiter.CallerShare.String()),
			limiter.Deadline:    counter("refusals." + limiter.Deadline.String()),
		},
	}
}

// recordRefusal counts a refused statement. There is one counter for each code.
func (m *meters) recordRefusal(code result.Code) {
	metrics.GetOrRegisterCounter("engine.refusals."+code.String(), m.registry).Inc(1)
}

// recordClose counts a session that the daemon closed. There is one counter for each code.
func (m *meters) recordClose(code result.Code) {
	metrics.GetOrRegisterCounter("engine.closes."+code.String(), m.registry).Inc(1)
}

// recordLimiterRefusal counts a request for a slot that the limiter of an instance refused.
func (m *meters) recordLimiterRefusal(r limiter.Reason) { m.refusalsByLimiter[r].Inc(1) }

// recordStatement counts a statement that an instance ran and records its latency.
func (m *meters) recordStatement(writes, primary bool, took time.Duration) {
	switch {
	case writes:
		m.writes.Inc(1)
	case primary:
		m.primaryReads.Inc(1)
	default:
		m.replicaReads.Inc(1)
	}
	m.latency.Update(took)
}
