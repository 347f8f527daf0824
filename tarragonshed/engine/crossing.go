package engine

import (
	"fmt"
	"time"

	"tarragonshed.example/router"
)

const (
	// crossingPeriod is the time over which the share of reads that leave the failure domain is
	// computed.
	crossingPeriod = 10 * time.Second
	// crossingRise is the rise of that share that is logged.
	crossingRise = 0.1
)

// crossings counts the reads of a group, and those that leave the failure domain of the daemon.
type crossings struct {
	since         time.Time
	reads, leaves int
	// known is the share at the last log line, or a lower one since.
	known float64
}

// record counts a read. At the end of a period it returns the share of the reads that left the
// domain, and whether it has risen so much that it is to be logged.
func (c *crossings) record(d router.Distance, now time.Time) (share float64, risen bool) {
	if c.since.IsZero() {
		c.since = now
	}
	c.reads++
	if d != router.SameDomain {
		c.leaves++
	}
	if now.Sub(c.since) < crossingPeriod {
		return 0, false
	}
	share = float64(c.leaves) / float64(c.reads)
	risen = share >= c.known+crossingRise
	if risen || share < c.known {
		c.known = share
	}
	c.since, c.reads, c.leaves = now, 0, 0
	return share, risen
}

// logCrossings logs which part of a group's reads leaves the failure domain, and what is known of
// the instances.
func (g *group) logCrossings(share float64, candidates []router.ReadCandidate, target time.Duration) {
	now := time.Now()
	omitted, ok := g.engine.crossLog.Take(now)
	if !ok {
		return
	}
	fields := []any{"group", g.name, "share", fmt.Sprintf("%.2f", share), "lines-left-out", omitted}
	g.mu.Lock()
	for _, c := range candidates {
		o := g.spreader.Overview(c.Instance, target, now)
		fields = append(fields, string(c.Instance), fmt.Sprintf("share %.2f, demand %.2f, queued %.0f, mean %v, failures %.2f",
			o.Share, o.Demand, o.Queued, o.Mean.Round(time.Millisecond), o.Failures))
	}
	g.mu.Unlock()
	g.engine.logger.Info("reads leave the failure domain", fields...)
}
