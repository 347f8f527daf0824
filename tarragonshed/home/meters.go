package home

import "github.com/rcrowley/go-metrics"

// meters holds the home's metrics.
type meters struct {
	batches   metrics.Counter
	refused   metrics.Counter
	lost      metrics.Counter
	slotWait  metrics.Timer
	execution metrics.Timer
	withheld  metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		batches:   metrics.GetOrRegisterCounter("home.batches", r),
		refused:   metrics.GetOrRegisterCounter("home.refused", r),
		lost:      metrics.GetOrRegisterCounter("home.connections-lost", r),
		slotWait:  metrics.GetOrRegisterTimer("home.slot-wait", r),
		execution: metrics.GetOrRegisterTimer("home.execution", r),
		withheld:  metrics.GetOrRegisterTimer("home.withheld", r),
	}
}
