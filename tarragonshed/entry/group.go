package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/retrier"
	"tarragonshed.example/router"
	"tarragonshed.example/tracker"
	"tarragonshed.example/unit"
)

const (
	// pollInterval and pollJitter determine the time between two requests for
	// reports while sessions wait for an instance. The jitter spreads the
	// requests of several daemons.
	pollInterval = 20 * time.Millisecond
	pollJitter   = 5 * time.Millisecond
	// slowPollInterval is the interval of requests for reports while long
	// statements are supervised.
	slowPollInterval = 100 * time.Millisecond
	// reportTimeout bounds one request for a report.
	reportTimeout = time.Second
)

// group is the state that the sessions of one instance group share.
type group struct {
	entry *Entry
	name  unit.GroupName

	mu          sync.Mutex
	manifest    *manifest.Manifest
	config      manifest.Group
	regions     map[unit.DomainName]unit.RegionName
	known       bool
	reports     map[unit.InstanceName]latestReport
	outstanding map[unit.InstanceName]int
	behind      map[unit.InstanceName]catchUpPenalty
	// down maps the instances that failed to the time of the failure.
	down   map[unit.InstanceName]time.Time
	budget retrier.Budget

	// requestSequence counts requests. The routing policy may use it to rotate
	// over the replicas.
	requestSequence atomic.Uint64
	// updated is closed and replaced when a report has been received or an
	// instance has recovered.
	updated chan struct{}
	// pollers counts the sessions that wait for an instance, slowPollers the
	// runs that supervise a long statement.
	pollers     int
	slowPollers int
	polling     bool

	indexer      *tracker.Indexer
	lastRead     tracker.ReadID
	waitingReads map[tracker.ReadID]chan unit.Position
	endRound     context.CancelFunc
}

// latestReport is the latest report of an instance.
type latestReport struct {
	report instance.Report
	// requestedAt is the start of the latest request that the instance answered
	// with a report: the report was taken after it.
	requestedAt time.Time
}

func newGroup(e *Entry, name unit.GroupName) *group {
	return &group{
		entry:        e,
		name:         name,
		reports:      make(map[unit.InstanceName]latestReport),
		outstanding:  make(map[unit.InstanceName]int),
		behind:       make(map[unit.InstanceName]catchUpPenalty),
		down:         make(map[unit.InstanceName]time.Time),
		updated:      make(chan struct{}),
		indexer:      tracker.NewIndexer(0),
		waitingReads: make(map[tracker.ReadID]chan unit.Position),
	}
}

// refresh loads the manifest in force and reports whether it has the group. The
// caller holds the lock.
func (g *group) refresh() bool {
	m := g.entry.holder.Current().Manifest
	if m == g.manifest {
		return g.known
	}
	g.manifest = m
	g.config, g.known = m.Group(g.name)
	g.regions = make(map[unit.DomainName]unit.RegionName)
	for _, d := range m.Domains {
		g.regions[d.Name] = d.Region
	}
	g.indexer.Handle(tracker.Resized{Instances: len(g.config.Instances)})
	return g.known
}

// removed returns an error if the manifest in force no longer has the group.
func (g *group) removed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refresh() {
		return nil
	}
	return result.New(result.UnknownDatabase, "group %s has been removed from the manifest", g.name)
}

// staleness returns the staleness bound that the manifest sets for reads of the
// group.
func (g *group) staleness() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return time.Duration(g.config.MaxStaleness)
}

// choose selects an instance for a request. An instance on which the request
// failed is excluded until a report that was taken after the failure has been
// received. The returned channel is closed at the next update.
func (g *group) choose(request router.Request, failed map[unit.InstanceName]time.Time) (router.Effect, <-chan struct{}) {
	request.Policy, request.Sequence = g.entry.policy, g.requestSequence.Add(1)
	request.Now = time.Now()
	request.Random = [2]float64{rand.Float64(), rand.Float64()}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.refresh() {
		return router.WaitForReports{}, g.updated
	}
	return router.Choose(request, g.candidates(failed)), g.updated
}

// candidates returns the state of all instances for the router. The caller
// holds the lock.
func (g *group) candidates(failed map[unit.InstanceName]time.Time) []router.Candidate {
	candidates := make([]router.Candidate, len(g.config.Instances))
	for i, config := range g.config.Instances {
		candidates[i] = g.candidate(config, failed)
	}
	return candidates
}

func (g *group) candidate(config manifest.Instance, failed map[unit.InstanceName]time.Time) router.Candidate {
	s, known := g.reports[config.Name]
	if last, ok := g.entry.carrier.Last(config.Name); ok && (!known || last.Supersedes(s.report)) {
		s.report, known = last, true
		g.reports[config.Name] = s
	}
	failure, excluded := failed[config.Name]
	_, down := g.down[config.Name]
	return router.Candidate{
		Instance:    config.Name,
		Distance:    g.distance(config.Domain),
		Slots:       config.Slots,
		Outstanding: g.outstanding[config.Name],
		Leaving:     config.Leaving,
		Excluded:    down || (excluded && !s.requestedAt.After(failure)),
		Known:       known,
		Report:      s.report,
		CatchUp:     g.behind[config.Name].remaining(),
	}
}

func (g *group) distance(domain unit.DomainName) router.Distance {
	switch {
	case domain == g.entry.domain:
		return router.SameDomain
	case g.regions[domain] == g.regions[g.entry.domain]:
		return router.SameRegion
	}
	return router.OtherRegion
}

// recordReport records a report that was taken after requestedAt.
func (g *group) recordReport(report instance.Report, requestedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.reports[report.Instance]
	if !known || report.Supersedes(s.report) {
		s.report = report
	}
	if !s.report.Supersedes(report) && requestedAt.After(s.requestedAt) {
		s.requestedAt = requestedAt
	}
	g.reports[report.Instance] = s
	g.notifyWaiters()
}

// beginStatement counts a statement that is sent to an instance. It is paired
// with endStatement.
func (g *group) beginStatement(name unit.InstanceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outstanding[name]++
}

func (g *group) endStatement(name unit.InstanceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outstanding[name]--
}

func (g *group) countRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.RecordRequest()
}

func (g *group) takeRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Take()
}

// startPolling has the reports of all instances requested periodically until
// the returned function is called. The callers share one polling loop.
func (g *group) startPolling() (end func()) {
	return g.addPoller(&g.pollers)
}

// startSlowPolling is like startPolling, with a longer interval.
func (g *group) startSlowPolling() (end func()) {
	return g.addPoller(&g.slowPollers)
}

func (g *group) addPoller(wanting *int) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*wanting++
	if !g.polling {
		g.polling = true
		go g.poll()
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		*wanting--
	}
}

func (g *group) poll() {
	requesting := make(map[unit.InstanceName]*sync.Mutex)
	for {
		interval, wanted := g.pollInterval()
		if !wanted {
			return
		}
		for _, name := range g.instances() {
			busy := requesting[name]
			if busy == nil {
				busy = &sync.Mutex{}
				requesting[name] = busy
			}
			if !busy.TryLock() {
				continue
			}
			go func() {
				defer busy.Unlock()
				g.requestReport(g.entry.ctx, name)
			}()
		}
		select {
		case <-time.After(interval + rand.N(pollJitter)):
		case <-g.entry.ctx.Done():
		}
	}
}

// pollInterval returns the interval of the polling loop, and false if the loop
// has to end because nothing needs reports.
func (g *group) pollInterval() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.polling = g.pollers+g.slowPollers > 0 && g.entry.ctx.Err() == nil
	if g.pollers > 0 {
		return pollInterval, g.polling
	}
	return slowPollInterval, g.polling
}

func (g *group) instances() []unit.InstanceName {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	names := make([]unit.InstanceName, len(g.config.Instances))
	for i, config := range g.config.Instances {
		names[i] = config.Name
	}
	return names
}

func (g *group) requestReport(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := time.Now()
	report, err := g.entry.carrier.Report(ctx, name)
	if err == nil {
		g.recordReport(report, requestedAt)
	}
	return report, err
}

// readIndex returns a position that covers all writes acknowledged before the
// call.
func (g *group) readIndex(ctx context.Context) (unit.Position, error) {
	g.mu.Lock()
	g.refresh()
	g.lastRead++
	read := g.lastRead
	served := make(chan unit.Position, 1)
	g.waitingReads[read] = served
	g.perform(g.indexer.Handle(tracker.Arrived{Read: read}))
	g.mu.Unlock()
	g.entry.meters.indexReads.Inc(1)
	select {
	case index := <-served:
		return index, nil
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waitingReads, read)
		g.perform(g.indexer.Handle(tracker.Abandoned{Read: read}))
		return unit.Position{}, result.New(result.NoMajority, "no majority of group %s answered in time", g.name)
	}
}

// perform executes the effects of the indexer. The caller holds the lock.
func (g *group) perform(effects []tracker.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case tracker.RequestReports:
			g.beginRound(e.Round)
		case tracker.EndRound:
			g.endRound()
		case tracker.Serve:
			for _, read := range e.Reads {
				if served, ok := g.waitingReads[read]; ok {
					served <- e.Index
					delete(g.waitingReads, read)
				}
			}
		}
	}
}

func (g *group) beginRound(round tracker.Round) {
	g.entry.meters.indexRounds.Inc(1)
	ctx, end := context.WithCancel(g.entry.ctx)
	g.endRound = end
	for _, config := range g.config.Instances {
		go g.collectReport(ctx, round, config.Name)
	}
}

// collectReport requests a report of the instance for a round until it answers
// or the round ends.
func (g *group) collectReport(ctx context.Context, round tracker.Round, name unit.InstanceName) {
	for ctx.Err() == nil {
		report, err := g.requestReport(ctx, name)
		if err == nil {
			g.mu.Lock()
			g.perform(g.indexer.Handle(tracker.Reported{Round: round, Instance: name, Last: report.Last}))
			g.mu.Unlock()
			return
		}
		select {
		case <-time.After(pollInterval + rand.N(pollJitter)):
		case <-ctx.Done():
		}
	}
}
