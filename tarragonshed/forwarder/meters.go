package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/result"
)

// meters holds the metrics of a Forwarder.
type meters struct {
	registry   metrics.Registry
	opened     metrics.Counter
	lost       metrics.Counter
	statements metrics.Counter
	hop        metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry:   r,
		opened:     metrics.GetOrRegisterCounter("forwarder.streams.opened", r),
		lost:       metrics.GetOrRegisterCounter("forwarder.streams.lost", r),
		statements: metrics.GetOrRegisterCounter("forwarder.statements", r),
		hop:        metrics.GetOrRegisterTimer("forwarder.hop", r),
	}
}

// recordError counts a statement without a reply. There is one counter for each code.
func (m *meters) recordError(code result.Code) {
	metrics.GetOrRegisterCounter("forwarder.errors."+code.String(), m.registry).Inc(1)
}

// recordReply records a reply and the time that the statement spent outside the home.
func (m *meters) recordReply(hop time.Duration) {
	m.statements.Inc(1)
	m.hop.Update(hop)
}

// serverMeters holds the metrics of a Server.
type serverMeters struct {
	streams    metrics.Counter
	leases     metrics.Counter
	statements metrics.Counter
	refused    metrics.Counter
}

func newServerMeters(r metrics.Registry) serverMeters {
	return serverMeters{
		streams:    metrics.GetOrRegisterCounter("forwarder.served.streams", r),
		leases:     metrics.GetOrRegisterCounter("forwarder.served.leases", r),
		statements: metrics.GetOrRegisterCounter("forwarder.served.statements", r),
		refused:    metrics.GetOrRegisterCounter("forwarder.served.refused", r),
	}
}
