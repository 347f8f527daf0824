package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/result"
)

// figures are the metrics of an Entry.
type figures struct {
	registry metrics.Registry

	callers      metrics.Counter
	replicaReads [readClasses]metrics.Counter
	primaryReads [readClasses]metrics.Counter
	writes       metrics.Counter
	retries      metrics.Counter
	indexRounds  metrics.Counter
	indexReads   metrics.Counter
	readTime     metrics.Timer
	writeTime    metrics.Timer
}

// readClass tells reads apart by what they must see.
type readClass int

const (
	// sessionRead must see the session's writes.
	sessionRead readClass = iota
	// staleRead states a staleness.
	staleRead
	readClasses
)

func newFigures(registry metrics.Registry) *figures {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("entry."+name, registry)
	}
	return &figures{
		registry:     registry,
		callers:      counter("callers"),
		replicaReads: [...]metrics.Counter{counter("reads.replica.session"), counter("reads.replica.stale")},
		primaryReads: [...]metrics.Counter{counter("reads.primary.session"), counter("reads.primary.stale")},
		writes:       counter("writes"),
		retries:      counter("retries"),
		indexRounds:  counter("read-index.rounds"),
		indexReads:   counter("read-index.reads"),
		readTime:     metrics.GetOrRegisterTimer("entry.time.read", registry),
		writeTime:    metrics.GetOrRegisterTimer("entry.time.write", registry),
	}
}

// refused counts a refusal. The registry keeps one counter for each code.
func (f *figures) refused(code result.Code) {
	metrics.GetOrRegisterCounter("entry.refusals."+code.String(), f.registry).Inc(1)
}

func (f *figures) served(p plan, primary bool, took time.Duration) {
	if !p.read {
		f.writes.Inc(1)
		f.writeTime.Update(took)
		return
	}
	class := sessionRead
	if p.staleness > 0 {
		class = staleRead
	}
	if primary {
		f.primaryReads[class].Inc(1)
	} else {
		f.replicaReads[class].Inc(1)
	}
	f.readTime.Update(took)
}
