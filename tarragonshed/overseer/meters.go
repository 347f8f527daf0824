package overseer

import "github.com/rcrowley/go-metrics"

// meters holds the metrics of an Overseer.
type meters struct {
	confirmed   metrics.Counter
	unconfirmed metrics.Counter
	extended    metrics.Counter
	relayed     metrics.Counter
	changes     metrics.Counter
	failed      metrics.Counter
	unproven    metrics.Counter
	lossy       metrics.Counter
	duration    metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("overseer."+name, r) }
	return meters{
		confirmed:   counter("confirmations"),
		unconfirmed: counter("confirmations.failed"),
		extended:    counter("extensions"),
		relayed:     counter("confirmations.relayed"),
		changes:     counter("changes"),
		failed:      counter("changes.failed"),
		unproven:    counter("changes.unproven"),
		lossy:       counter("changes.lossy"),
		duration:    metrics.GetOrRegisterTimer("overseer.change", r),
	}
}
