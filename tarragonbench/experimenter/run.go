package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/recorder"
	"tarragonshed.example/router"
	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/tarragonbench/loader"
	"tarragonshed.example/tarragonshed/entry"
	"tarragonshed.example/unit"
)

// Bounds of the phases of a run, and of the timeline around a gap.
const (
	prepareTimeout = 30 * time.Second
	verifyTimeout  = 45 * time.Second
	// excerptMargin is the time before and after a gap that the excerpt covers.
	excerptMargin = 50 * time.Millisecond
	excerptLines  = 60
)

// Perform executes all runs of an experiment and calls progress with a line after each.
// An error of a run is in its [Run.Error]. Perform returns an error if the context ends.
func Perform(ctx context.Context, e Experiment, progress func(string)) (Result, error) {
	result := Result{Experiment: e, Commit: commit(), Began: time.Now().UTC()}
	total := len(e.Deployments) * e.Runs
	for _, deployment := range e.Deployments {
		for i := range e.Runs {
			if ctx.Err() != nil {
				return result, ctx.Err()
			}
			r := run(ctx, e, deployment, e.FirstSeed+uint64(i))
			result.Runs = append(result.Runs, r)
			progress(fmt.Sprintf("[%d/%d] %s", len(result.Runs), total, r.line()))
		}
	}
	result.Summary = Summarize(e, result.Runs)
	return result, nil
}

// line summarizes a run in one line.
func (r Run) line() string {
	text := fmt.Sprintf("%s seed %d: %d violations", r.Deployment, r.Seed, len(r.Violations()))
	if len(r.Gaps) > 0 {
		text += fmt.Sprintf(", gaps up to %.0f ms", quantile(r.Gaps, 1))
	}
	if r.Error != "" {
		text += ", failed: " + r.Error
	}
	return text
}

// commit returns the revision that the program was built from, with the suffix "+changes"
// for a modified working tree, or an empty string if it isn't recorded.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+changes"
		}
	}
	return revision + modified
}

// runner executes one run.
type runner struct {
	experiment Experiment
	deployment *deployer.Deployment
	groups     []unit.GroupName
	random     *rand.Rand
	run        *Run
	// chosenDaemon replaces {daemon} in the current cycle.
	chosenDaemon string
	// firstFault is the time of the first fault of the current cycle, or zero.
	firstFault time.Time
	// reversals are the faults that revert those of the current cycle.
	reversals []deployer.Fault
}

// run executes a run. Its error, if any, is in the result.
func run(ctx context.Context, e Experiment, deployment string, seed uint64) Run {
	r := Run{Deployment: deployment, Seed: seed}
	if err := perform(ctx, e, &r); err != nil {
		r.Error = err.Error()
	}
	return r
}

// perform starts a deployment and executes the run r on it.
func perform(ctx context.Context, e Experiment, r *Run) error {
	profile, err := deployer.ProfileNamed(r.Deployment)
	if err != nil {
		return err
	}
	options := []deployer.Option{
		deployer.WithProfile(profile), deployer.WithDaemons(e.Daemons), deployer.WithHomes(e.Homes),
		deployer.WithServiceTime(e.ServiceTime),
	}
	options = append(options, deployer.WithEntryOptions(entry.WithPolicy(router.Policy(e.Policy))))
	if e.ReplicaWait != nil {
		options = append(options, deployer.WithEntryOptions(entry.WithReplicaWait(*e.ReplicaWait)))
	}
	if e.LocalGroups {
		options = append(options, deployer.WithLocalGroups())
	}
	d, err := deployer.New(options...)
	if err != nil {
		return err
	}
	defer d.Close()
	b := &runner{experiment: e, deployment: d, run: r, random: rand.New(rand.NewPCG(r.Seed, 0xbe0c))}
	b.groups = d.Groups()[:min(e.Groups, len(d.Groups()))]
	if e.Mode == History {
		return b.history(ctx)
	}
	return b.load(ctx)
}

// daemons returns the daemons' addresses for callers.
func (b *runner) daemons() []historian.Daemon {
	var list []historian.Daemon
	for _, m := range b.deployment.Daemons() {
		list = append(list, historian.Daemon{Name: string(m.ID), Address: m.CallerAddress})
	}
	return list
}

// load executes a run of mode "load".
func (b *runner) load(ctx context.Context) error {
	e := b.experiment
	l := loader.New(loader.Settings{
		Seed: b.run.Seed, Callers: e.Load.Callers, Daemons: b.daemons(), Groups: b.groups,
		Phases: e.Load.Phases, Mix: e.Load.Mix, Roam: e.Load.Roam, Duration: e.duration(),
	})
	prepareCtx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	if err := l.Prepare(prepareCtx); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	err := b.cycles(ctx, func(from, to time.Time) {
		for _, g := range b.groups {
			b.run.Gaps = append(b.run.Gaps, float64(l.Gap(g, from, to))/float64(time.Millisecond))
		}
		b.recordExcerpt(l, from, to)
	})
	<-done
	b.run.Replicas = b.replicaShares()
	verifyCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	report, verifyErr := l.Verify(verifyCtx)
	if verifyErr != nil {
		return verifyErr
	}
	b.run.Load = &report
	return err
}

// history executes a run of mode "history".
func (b *runner) history(ctx context.Context) error {
	e := b.experiment
	h := historian.New(historian.Settings{
		Seed: b.run.Seed, Callers: e.History.Callers, Daemons: b.daemons(), Groups: b.groups,
		ThinkTime: e.History.Pause, Roam: e.History.Roam, Reads: e.History.Reads,
	})
	prepareCtx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	if err := h.Prepare(prepareCtx); err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(runCtx)
	}()
	err := b.cycles(ctx, func(from, to time.Time) {})
	stop()
	<-done
	verifyCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	if verifyErr := h.ReadFinalStates(verifyCtx); verifyErr != nil {
		return verifyErr
	}
	verdict := h.Check()
	b.run.Verdict = &verdict
	return err
}

// cycles injects and reverts the faults of each cycle. It calls after with the time of the
// first fault and the end of a cycle, unless the cycle had no fault.
func (b *runner) cycles(ctx context.Context, after func(from, to time.Time)) error {
	runStart := time.Now()
	for i := range b.experiment.Cycles {
		start := runStart.Add(b.experiment.Warmup + time.Duration(i)*b.experiment.Cycle)
		wait(ctx, start)
		b.firstFault = time.Time{}
		err := b.injectFaults(ctx, start)
		wait(ctx, start.Add(b.experiment.Cycle))
		b.revert()
		if !b.firstFault.IsZero() {
			after(b.firstFault, start.Add(b.experiment.Cycle))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// wait waits until a time or the end of the context.
func wait(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// injectFaults injects the faults of a cycle.
func (b *runner) injectFaults(ctx context.Context, start time.Time) error {
	ids := b.deployment.DaemonIDs()
	b.chosenDaemon = string(ids[b.random.IntN(len(ids))])
	names := map[unit.GroupName]*strings.Replacer{}
	for _, g := range b.groups {
		r, err := b.names(g)
		if err != nil {
			return err
		}
		names[g] = r
	}
	for _, s := range b.experiment.Faults {
		wait(ctx, start.Add(s.After+time.Duration(b.random.Float64()*float64(s.Jitter))))
		for _, f := range b.faults(s, names) {
			if b.firstFault.IsZero() {
				b.firstFault = time.Now()
			}
			if err := b.deployment.Inject(f); err != nil {
				return fmt.Errorf("%s: %w", f, err)
			}
			b.run.InjectedFaults = append(b.run.InjectedFaults, fmt.Sprintf("%v %s", time.Since(start).Round(time.Millisecond), f))
			b.reversals = append(b.reversals, reversalsOf(f)...)
		}
	}
	return nil
}

// faults returns the scheduled fault with its placeholders replaced, once for each group
// if the replaced names differ between groups.
func (b *runner) faults(s ScheduledFault, names map[unit.GroupName]*strings.Replacer) []deployer.Fault {
	fill := func(r *strings.Replacer) deployer.Fault {
		f := s.Fault
		f.Seed = b.run.Seed
		daemon := string(f.Daemon)
		for _, field := range []*string{&f.Target, &daemon, &f.From, &f.To} {
			*field = strings.ReplaceAll(r.Replace(*field), "{daemon}", b.chosenDaemon)
		}
		f.Daemon = unit.DaemonID(daemon)
		return f
	}
	var list []deployer.Fault
	seen := map[string]bool{}
	for _, g := range b.groups {
		f := fill(names[g])
		if !seen[f.String()] {
			list = append(list, f)
		}
		seen[f.String()] = true
	}
	return list
}

// names returns a replacer of the placeholders of a group by the current names.
func (b *runner) names(group unit.GroupName) (*strings.Replacer, error) {
	primary, err := b.deployment.Target("primary:" + string(group))
	if err != nil {
		return nil, err
	}
	described, _ := b.deployment.Group(group)
	var primaryDomain, otherDomain unit.DomainName
	var replica unit.InstanceName
	for _, i := range described.Instances {
		if i.Name == primary.Name() {
			primaryDomain = i.Domain
		} else {
			replica = i.Name
		}
	}
	for _, d := range b.deployment.Profile.Domains {
		if d.Name != primaryDomain {
			otherDomain = d.Name
		}
	}
	pairs := []string{
		"{group}", string(group), "{primary}", string(primary.Name()), "{replica}", string(replica),
		"{primary-domain}", string(primaryDomain), "{other-domain}", string(otherDomain),
	}
	return strings.NewReplacer(pairs...), nil
}

// reversalsOf returns the faults that revert f.
func reversalsOf(f deployer.Fault) []deployer.Fault {
	switch f.Kind {
	case deployer.StopTarget:
		return []deployer.Fault{{Kind: deployer.StartTarget, Target: f.Target}}
	case deployer.PauseTarget:
		return []deployer.Fault{{Kind: deployer.ResumeTarget, Target: f.Target}}
	case deployer.StopDaemon:
		return []deployer.Fault{{Kind: deployer.StartDaemon, Daemon: f.Daemon}}
	case deployer.PauseDaemon:
		return []deployer.Fault{{Kind: deployer.ResumeDaemon, Daemon: f.Daemon}}
	case deployer.Cut:
		return []deployer.Fault{{Kind: deployer.Heal}}
	case deployer.Lag:
		return []deployer.Fault{{Kind: deployer.Lag, Target: f.Target, Receive: f.Receive}}
	case deployer.PlatformDown, deployer.PlatformSlow, deployer.PlatformLoseAnswers:
		return []deployer.Fault{{Kind: deployer.PlatformUp}}
	}
	return nil
}

// replicaShares returns the shares of reads that replicas served, by class.
func (b *runner) replicaShares() map[string]float64 {
	shares := map[string]float64{}
	for _, class := range []string{"session", "stale"} {
		var replica, primary int64
		for _, id := range b.deployment.DaemonIDs() {
			if d, ok := b.deployment.Daemon(id); ok {
				replica += counter(d.Metrics(), "entry.reads.replica."+class)
				primary += counter(d.Metrics(), "entry.reads.primary."+class)
			}
		}
		if replica+primary > 0 {
			shares[class] = float64(replica) / float64(replica+primary)
		}
	}
	return shares
}

// counter returns the value of a counter, or zero if there is none of that name.
func counter(registry metrics.Registry, name string) int64 {
	if c, ok := registry.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// revert reverts all faults of the cycle. It ignores errors, as a target or daemon may be
// running already.
func (b *runner) revert() {
	for _, f := range b.reversals {
		_ = b.deployment.Inject(f)
	}
	b.reversals = nil
}

// recordExcerpt records the timeline around the longest gap between from and to, unless an
// earlier gap of the run is longer.
func (b *runner) recordExcerpt(l *loader.Loader, from, to time.Time) {
	group, begin, end := b.groups[0], time.Time{}, time.Time{}
	for _, g := range b.groups {
		if first, last := l.GapBounds(g, from, to); last.Sub(first) > end.Sub(begin) {
			group, begin, end = g, first, last
		}
	}
	if float64(end.Sub(begin))/float64(time.Millisecond) < quantile(b.run.Gaps, 1) {
		return
	}
	b.run.Timeline = []string{fmt.Sprintf("%s last write acknowledged to callers of %s", begin.UTC().Format("15:04:05.000000"), group)}
	for _, event := range b.deployment.Timeline(recorder.Time{Wall: begin.Add(-excerptMargin).UnixNano()}) {
		if event.Time.Wall > end.Add(excerptMargin).UnixNano() || (event.Group != "" && event.Group != group) || event.Kind == recorder.WriteAcknowledged {
			continue
		}
		if len(b.run.Timeline) < excerptLines {
			b.run.Timeline = append(b.run.Timeline, event.String())
		}
	}
	b.run.Timeline = append(b.run.Timeline, fmt.Sprintf("%s next write acknowledged", end.UTC().Format("15:04:05.000000")))
}
