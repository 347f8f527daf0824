package engine

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/result"
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
	transactionsExpired metrics.Counter
	forwarded           metrics.Counter
	homesUnreachable    metrics.Counter
	latency             metrics.Timer
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
		transactionsExpired: counter("transactions.expired"),
		forwarded:           counter("statements.forwarded"),
		homesUnreachable:    counter("homes.unreachable"),
		latency:             metrics.GetOrRegisterTimer("engine.latency", registry),
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
