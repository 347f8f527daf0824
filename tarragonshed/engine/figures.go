package engine

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/result"
)

// figures are the metrics of an Engine.
type figures struct {
	registry metrics.Registry

	sessions     metrics.Counter
	replicaReads metrics.Counter
	primaryReads metrics.Counter
	writes       metrics.Counter
	retries      metrics.Counter
	opened       metrics.Counter
	expired      metrics.Counter
	latency      metrics.Timer
}

func newFigures(registry metrics.Registry) *figures {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("engine."+name, registry)
	}
	return &figures{
		registry:     registry,
		sessions:     counter("sessions"),
		replicaReads: counter("reads.replica"),
		primaryReads: counter("reads.primary"),
		writes:       counter("writes"),
		retries:      counter("retries"),
		opened:       counter("connections.opened"),
		expired:      counter("transactions.expired"),
		latency:      metrics.GetOrRegisterTimer("engine.latency", registry),
	}
}

// refused counts a refusal. The registry keeps one counter for each code.
func (f *figures) refused(code result.Code) {
	metrics.GetOrRegisterCounter("engine.refusals."+code.String(), f.registry).Inc(1)
}

// ran counts a statement that an instance ran.
func (f *figures) ran(writes, primary bool, took time.Duration) {
	switch {
	case writes:
		f.writes.Inc(1)
	case primary:
		f.primaryReads.Inc(1)
	default:
		f.replicaReads.Inc(1)
	}
	f.latency.Update(took)
}
