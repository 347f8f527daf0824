package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/result"
)

// meters are the metrics of an Entry.
type meters struct {
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

// readClass distinguishes reads by the staleness that they accept.
type readClass int

const (
	// sessionRead requires the writes of the session.
	sessionRead readClass = iota
	// staleRead has a staleness bound.
	staleRead
	readClasses
)

func newMeters(registry metrics.Registry) *meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("entry."+name, registry)
	}
	return &meters{
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

// recordRefusal counts a refused request. The registry has one counter for each
// result code.
func (f *meters) recordRefusal(code result.Code) {
	metrics.GetOrRegisterCounter("entry.refusals."+code.String(), f.registry).Inc(1)
}

// recordClose counts a connection that the daemon closed. The registry has one counter for
// each result code.
func (f *meters) recordClose(code result.Code) {
	metrics.GetOrRegisterCounter("entry.closes."+code.String(), f.registry).Inc(1)
}

// recordServed counts a batch that was served, and records its duration.
func (f *meters) recordServed(p plan, primary bool, elapsed time.Duration) {
	if !p.read {
		f.writes.Inc(1)
		f.writeTime.Update(elapsed)
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
	f.readTime.Update(elapsed)
}
