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
	// pollInterval and pollJitter space the questions for a primary that is
	// not known.
	pollInterval = 20 * time.Millisecond
	pollJitter   = 5 * time.Millisecond
	// observeInterval spaces the questions about instances that run a
	// statement for long.
	observeInterval = 100 * time.Millisecond
	// reportTimeout bounds one question for a report.
	reportTimeout = time.Second
)

// group is what the sessions of one group share.
type group struct {
	entry *Entry
	name  unit.GroupName

	mu          sync.Mutex
	manifest    *manifest.Manifest
	config      manifest.Group
	regions     map[unit.DomainName]unit.RegionName
	known       bool
	seen        map[unit.InstanceName]sighting
	outstanding map[unit.InstanceName]int
	behind      map[unit.InstanceName]backlog
	// down are the instances that failed, by the time of the failure.
	down   map[unit.InstanceName]time.Time
	budget retrier.Budget

	// turn counts requests.
	turn atomic.Uint64
	// news is closed when a report has come in.
	news chan struct{}
	// seekers wait for a primary, observers watch long statements.
	seekers   int
	observers int
	polling   bool

	indexer  *tracker.Indexer
	lastRead tracker.ReadID
	waiting  map[tracker.ReadID]chan unit.Position
	endRound context.CancelFunc
}

// sighting is the latest report of an instance.
type sighting struct {
	report instance.Report
	// asked is a time after which the report was taken.
	asked time.Time
}

func newGroup(e *Entry, name unit.GroupName) *group {
	return &group{
		entry:       e,
		name:        name,
		seen:        make(map[unit.InstanceName]sighting),
		outstanding: make(map[unit.InstanceName]int),
		behind:      make(map[unit.InstanceName]backlog),
		down:        make(map[unit.InstanceName]time.Time),
		news:        make(chan struct{}),
		indexer:     tracker.NewIndexer(0),
		waiting:     make(map[tracker.ReadID]chan unit.Position),
	}
}

// refresh takes over the manifest in force. The caller holds the lock.
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

// removed returns an error when the manifest in force does not have the group any
// more.
func (g *group) removed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refresh() {
		return nil
	}
	return result.New(result.UnknownDatabase, "group %s is not in the manifest any more", g.name)
}

// staleness returns the staleness that the manifest grants to reads.
func (g *group) staleness() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return time.Duration(g.config.MaxStaleness)
}

// choose chooses an instance. An instance on which the request failed is left
// out until a report that was taken later has come in. It returns the channel
// that announces the next report.
func (g *group) choose(request router.Request, failed map[unit.InstanceName]time.Time) (router.Effect, <-chan struct{}) {
	request.Policy, request.Sequence = g.entry.policy, g.turn.Add(1)
	request.Now = time.Now()
	request.Random = [2]float64{rand.Float64(), rand.Float64()}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.refresh() {
		return router.WaitForReports{}, g.news
	}
	return router.Choose(request, g.candidates(failed)), g.news
}

// candidates returns what is known of the instances. The caller holds the lock.
func (g *group) candidates(failed map[unit.InstanceName]time.Time) []router.Candidate {
	candidates := make([]router.Candidate, len(g.config.Instances))
	for i, config := range g.config.Instances {
		candidates[i] = g.candidate(config, failed)
	}
	return candidates
}

func (g *group) candidate(config manifest.Instance, failed map[unit.InstanceName]time.Time) router.Candidate {
	s, known := g.seen[config.Name]
	if last, ok := g.entry.carrier.Last(config.Name); ok && (!known || last.Supersedes(s.report)) {
		s.report, known = last, true
		g.seen[config.Name] = s
	}
	failure, excluded := failed[config.Name]
	_, down := g.down[config.Name]
	return router.Candidate{
		Instance:    config.Name,
		Distance:    g.distance(config.Domain),
		Slots:       config.Slots,
		Outstanding: g.outstanding[config.Name],
		Leaving:     config.Leaving,
		Excluded:    down || (excluded && !s.asked.After(failure)),
		Known:       known,
		Report:      s.report,
		CatchUp:     g.behind[config.Name].lag(),
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

// note takes a report that was taken after asked.
func (g *group) note(report instance.Report, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.seen[report.Instance]
	if !known || report.Supersedes(s.report) {
		s.report = report
	}
	if !s.report.Supersedes(report) && asked.After(s.asked) {
		s.asked = asked
	}
	g.seen[report.Instance] = s
	g.announce()
}

// begin counts a statement sent to an instance, end its end.
func (g *group) begin(name unit.InstanceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outstanding[name]++
}

func (g *group) end(name unit.InstanceName) {
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

// seek has the instances asked for reports until the returned function is
// called. However many seek, each instance is asked by one poller.
func (g *group) seek() (end func()) {
	return g.count(&g.seekers)
}

// observe is seek with a longer interval.
func (g *group) observe() (end func()) {
	return g.count(&g.observers)
}

func (g *group) count(wanting *int) (end func()) {
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
	asking := make(map[unit.InstanceName]*sync.Mutex)
	for {
		interval, wanted := g.pollInterval()
		if !wanted {
			return
		}
		for _, name := range g.instances() {
			busy := asking[name]
			if busy == nil {
				busy = &sync.Mutex{}
				asking[name] = busy
			}
			if !busy.TryLock() {
				continue
			}
			go func() {
				defer busy.Unlock()
				g.ask(g.entry.ctx, name)
			}()
		}
		select {
		case <-time.After(interval + rand.N(pollJitter)):
		case <-g.entry.ctx.Done():
		}
	}
}

// pollInterval returns false when nobody wants reports any more.
func (g *group) pollInterval() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.polling = g.seekers+g.observers > 0 && g.entry.ctx.Err() == nil
	if g.seekers > 0 {
		return pollInterval, g.polling
	}
	return observeInterval, g.polling
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

func (g *group) ask(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := g.entry.carrier.Report(ctx, name)
	if err == nil {
		g.note(report, asked)
	}
	return report, err
}

// index returns a read index that covers all writes acknowledged before the
// call.
func (g *group) index(ctx context.Context) (unit.Position, error) {
	g.mu.Lock()
	g.refresh()
	g.lastRead++
	read := g.lastRead
	served := make(chan unit.Position, 1)
	g.waiting[read] = served
	g.perform(g.indexer.Handle(tracker.Arrived{Read: read}))
	g.mu.Unlock()
	g.entry.metrics.indexReads.Inc(1)
	select {
	case index := <-served:
		return index, nil
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waiting, read)
		g.perform(g.indexer.Handle(tracker.Abandoned{Read: read}))
		return unit.Position{}, result.New(result.NoMajority, "no majority of group %s answered in time", g.name)
	}
}

// perform carries out the effects of the indexer. The caller holds the lock.
func (g *group) perform(effects []tracker.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case tracker.RequestReports:
			g.beginRound(e.Round)
		case tracker.EndRound:
			g.endRound()
		case tracker.Serve:
			for _, read := range e.Reads {
				if served, ok := g.waiting[read]; ok {
					served <- e.Index
					delete(g.waiting, read)
				}
			}
		}
	}
}

func (g *group) beginRound(round tracker.Round) {
	g.entry.metrics.indexRounds.Inc(1)
	ctx, end := context.WithCancel(g.entry.ctx)
	g.endRound = end
	for _, config := range g.config.Instances {
		go g.answerRound(ctx, round, config.Name)
	}
}

// answerRound asks an instance until it answers or the round ends.
func (g *group) answerRound(ctx context.Context, round tracker.Round, name unit.InstanceName) {
	for ctx.Err() == nil {
		report, err := g.ask(ctx, name)
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
