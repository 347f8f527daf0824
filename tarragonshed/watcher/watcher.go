// Package watcher detects failed primaries of the groups that are assigned to this
// daemon and performs failovers and planned changes of primary. For each group it
// executes the effects of a [promoter.Promoter].
//
// # Watchers of a group
//
// [placer.Watchers] selects the daemons that watch a group; their order is their rank.
// The views of the daemons may differ, so a group may temporarily have more watchers
// than intended, or none. This affects only the time that a failover takes, not its
// safety.
//
// # Connections
//
// A watcher keeps one control connection to each instance of the group. When the
// instance closes or resets it, or a probe on it fails, the next probe opens a new
// one at once. A call that waits for transactions to end uses a separate connection.
// The watcher polls reports and does not subscribe to them: an instance would push
// one for each change, which costs as much as the writes of a busy primary.
//
// # Usage
//
//	w := watcher.New(holder, watcher.WithRecorder(rec))
//	defer w.Close()
//	primary, err := w.ChangePrimary(ctx, "pulp-ledger-1", "pulp-ledger-1-b")
package watcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/placer"
	"tarragonshed.example/promoter"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/unit"
)

// DefaultWatchers is the number of daemons that watch each group.
const DefaultWatchers = 3

// nonWatcherRank is the rank of a daemon that is not among a group's watchers and
// performs a planned change of primary. It is greater than the ranks of the watchers, so
// that this daemon starts a failover after them.
const nonWatcherRank = 16

// Watcher watches groups. It is safe for concurrent use.
type Watcher struct {
	holder          *holder.Holder
	watchers        int
	dial            dialer.Func
	controlOptions  []controller.Option
	recorder        *recorder.Recorder
	logger          *log.Logger
	meters          meters
	promoterOptions []promoter.Option
	closed          chan struct{}
	done            chan struct{}

	mu     sync.Mutex
	groups map[unit.GroupName]*groupWatcher
}

type meters struct {
	probes, failures, promotions, changes metrics.Counter
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithDialer replaces [dialer.Default].
func WithDialer(dial dialer.Func) Option {
	return func(w *Watcher) { w.dial = dial }
}

// WithControlOptions adds options of the control connections, such as the user.
func WithControlOptions(options ...controller.Option) Option {
	return func(w *Watcher) { w.controlOptions = append(w.controlOptions, options...) }
}

// WithRecorder sets the recorder of timeline events.
func WithRecorder(rec *recorder.Recorder) Option {
	return func(w *Watcher) { w.recorder = rec }
}

// WithLogger sets the logger. Without it, nothing is logged.
func WithLogger(logger *log.Logger) Option {
	return func(w *Watcher) { w.logger = logger }
}

// WithMetrics registers the metrics "watcher-probes", "watcher-probe-failures",
// "watcher-promotions" and "watcher-planned-changes".
func WithMetrics(registry metrics.Registry) Option {
	return func(w *Watcher) { w.meters = newMeters(registry) }
}

// WithWatchers replaces [DefaultWatchers].
func WithWatchers(n int) Option {
	return func(w *Watcher) { w.watchers = n }
}

// WithPromoterOptions adds options of the promoters, such as the timing.
func WithPromoterOptions(options ...promoter.Option) Option {
	return func(w *Watcher) { w.promoterOptions = append(w.promoterOptions, options...) }
}

// New starts to watch the groups that the holder's snapshots assign to this daemon.
// It does so until [Watcher.Close] is called.
func New(h *holder.Holder, options ...Option) *Watcher {
	w := &Watcher{
		holder: h, watchers: DefaultWatchers, dial: dialer.Default, logger: log.New(io.Discard),
		meters: newMeters(metrics.NewRegistry()),
		closed: make(chan struct{}), done: make(chan struct{}), groups: make(map[unit.GroupName]*groupWatcher),
	}
	for _, option := range options {
		option(w)
	}
	go func() {
		defer close(w.done)
		for {
			snapshot := w.holder.Current()
			w.reconcile(snapshot)
			select {
			case <-snapshot.Changed:
			case <-w.closed:
				return
			}
		}
	}()
	return w
}

func newMeters(registry metrics.Registry) meters {
	return meters{
		probes:     metrics.GetOrRegisterCounter("watcher-probes", registry),
		failures:   metrics.GetOrRegisterCounter("watcher-probe-failures", registry),
		promotions: metrics.GetOrRegisterCounter("watcher-promotions", registry),
		changes:    metrics.GetOrRegisterCounter("watcher-planned-changes", registry),
	}
}

// Reports returns the latest report of each instance of a group that this daemon
// watches, or nil for any other group.
func (w *Watcher) Reports(group unit.GroupName) []instance.Report {
	g := w.group(group)
	if g == nil {
		return nil
	}
	return g.reports()
}

// Primary returns the last known primary of a group that this daemon watches. It
// returns false if none is known or this daemon does not watch the group.
func (w *Watcher) Primary(group unit.GroupName) (promoter.Primary, bool) {
	g := w.group(group)
	if g == nil {
		return promoter.Primary{}, false
	}
	primary := g.primary()
	return primary, primary.Instance != ""
}

// ChangePrimary performs a planned change of primary, in which no write is lost. If
// target is empty, an instance that is not leaving is chosen. ChangePrimary returns the
// primary after the change. Daemons that do not watch the group may call it as well.
func (w *Watcher) ChangePrimary(ctx context.Context, group unit.GroupName, target unit.InstanceName) (unit.InstanceName, error) {
	g := w.group(group)
	if g == nil {
		temporary, err := w.newTemporary(group)
		if err != nil {
			return "", err
		}
		defer temporary.close()
		g = temporary
	}
	w.meters.changes.Inc(1)
	return g.changePrimary(ctx, target)
}

// Close stops watching all groups and cancels the calls in flight.
func (w *Watcher) Close() {
	close(w.closed)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.groups {
		g.close()
	}
}

func (w *Watcher) group(name unit.GroupName) *groupWatcher {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.groups[name]
}

// newTemporary returns a groupWatcher for a group that this daemon does not watch. The
// caller closes it.
func (w *Watcher) newTemporary(group unit.GroupName) (*groupWatcher, error) {
	snapshot := w.holder.Current()
	if snapshot.Manifest == nil {
		return nil, trace.NotFound("watcher: no manifest is in force")
	}
	found, ok := snapshot.Manifest.Group(group)
	if !ok {
		return nil, trace.NotFound("watcher: the manifest in force has no group %s", group)
	}
	return w.newGroupWatcher(snapshot.View.Self, found, nonWatcherRank), nil
}

// reconcile opens and closes groupWatchers so that there is one for each group that the
// snapshot assigns to this daemon.
func (w *Watcher) reconcile(snapshot holder.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := make(map[unit.GroupName]bool)
	if snapshot.Manifest != nil {
		for _, group := range snapshot.Manifest.Groups {
			rank := w.rank(snapshot, group.Name)
			if rank < 0 {
				continue
			}
			kept[group.Name] = true
			w.reconcileGroup(snapshot, group, rank)
		}
	}
	for name, g := range w.groups {
		if !kept[name] {
			g.close()
			delete(w.groups, name)
		}
	}
}

func (w *Watcher) reconcileGroup(snapshot holder.Snapshot, group manifest.Group, rank int) {
	if g := w.groups[group.Name]; g != nil {
		g.reconfigure(group, rank)
		return
	}
	w.groups[group.Name] = w.newGroupWatcher(snapshot.View.Self, group, rank)
}

// rank returns the rank of this daemon among the group's watchers, or -1 if it is not
// one of them.
func (w *Watcher) rank(snapshot holder.Snapshot, group unit.GroupName) int {
	for rank, d := range placer.Watchers(snapshot.View, group, w.watchers) {
		if d.ID == snapshot.View.Self {
			return rank
		}
	}
	return -1
}

// proposer returns a unique proposer name. Two promoters with one name could create two
// primaries in one term, so a promoter never reuses the name of an earlier one.
func proposer(self unit.DaemonID) string {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:])
	return string(self) + "/" + hex.EncodeToString(nonce[:])
}
