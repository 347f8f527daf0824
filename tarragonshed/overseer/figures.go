package overseer

import "github.com/rcrowley/go-metrics"

// figures are the metrics of an Overseer.
type figures struct {
	confirmed   metrics.Counter
	unconfirmed metrics.Counter
	extended    metrics.Counter
	relayed     metrics.Counter
	changes     metrics.Counter
	failed      metrics.Counter
	gap         metrics.Timer
}

func newFigures(r metrics.Registry) figures {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("overseer."+name, r) }
	return figures{
		confirmed:   counter("confirmations"),
		unconfirmed: counter("confirmations.failed"),
		extended:    counter("extensions"),
		relayed:     counter("confirmations.relayed"),
		changes:     counter("changes"),
		failed:      counter("changes.failed"),
		gap:         metrics.GetOrRegisterTimer("overseer.change", r),
	}
}
