// Package watcher watches the groups that are given to this daemon and carries
// out what a [promoter.Promoter] decides for each.
//
// # Watchers of a group
//
// The first daemons by [placer.Watchers] watch a group; the order is their rank.
// Views may differ, so a group may for a while have more watchers or none:
// nothing but speed rests on it.
//
// # Connections
//
// A watcher keeps one control connection to each instance of the group. When the
// other end closes or resets it, or a probe on it fails, the next probe opens a
// new one at once. A call that waits for transactions to end uses a connection of
// its own. Reports are asked for and not pushed: a push for each change would cost
// as much as the writes of a busy primary.
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

// visitorRank is the rank of a daemon that is not among a group's watchers but
// was asked for a planned change.
const visitorRank = 16

// Watcher watches groups. It is safe for concurrent use.
type Watcher struct {
	holder   *holder.Holder
	watchers int
	dial     dialer.Func
	control  []controller.Option
	recorder *recorder.Recorder
	logger   *log.Logger
	meters   meters
	promoter []promoter.Option
	closed   chan struct{}
	done     chan struct{}

	mu     sync.Mutex
	shards map[unit.GroupName]*shard
}

type meters struct {
	probes, failures, promotions, changes metrics.Counter
}

// Option changes a Watcher under construction.
type Option func(*Watcher)

// WithDialer replaces [dialer.Default].
func WithDialer(dial dialer.Func) Option {
	return func(w *Watcher) { w.dial = dial }
}

// WithControlOptions adds options of the control connections, such as the user.
func WithControlOptions(options ...controller.Option) Option {
	return func(w *Watcher) { w.control = append(w.control, options...) }
}

// WithRecorder sets where events go.
func WithRecorder(rec *recorder.Recorder) Option {
	return func(w *Watcher) { w.recorder = rec }
}

// WithLogger sets where logs go.
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
	return func(w *Watcher) { w.promoter = append(w.promoter, options...) }
}

// New starts to watch the groups that the holder's snapshots give to this
// daemon, until Close.
func New(h *holder.Holder, options ...Option) *Watcher {
	w := &Watcher{
		holder: h, watchers: DefaultWatchers, dial: dialer.Default, logger: log.New(io.Discard),
		meters: newMeters(metrics.NewRegistry()),
		closed: make(chan struct{}), done: make(chan struct{}), shards: make(map[unit.GroupName]*shard),
	}
	for _, option := range options {
		option(w)
	}
	go func() {
		defer close(w.done)
		for {
			snapshot := w.holder.Current()
			w.place(snapshot)
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

// Reports returns the latest reports of a group that this daemon watches.
func (w *Watcher) Reports(group unit.GroupName) []instance.Report {
	s := w.shard(group)
	if s == nil {
		return nil
	}
	return s.reports()
}

// Primary returns the primary of a group that this daemon watches, as far as it
// knows.
func (w *Watcher) Primary(group unit.GroupName) (promoter.Primary, bool) {
	s := w.shard(group)
	if s == nil {
		return promoter.Primary{}, false
	}
	primary := s.primary()
	return primary, primary.Instance != ""
}

// ChangePrimary makes the target the primary of the group without losing a
// write, or another instance that is not leaving when target is empty. It
// returns the primary after the change. Any daemon may do it.
func (w *Watcher) ChangePrimary(ctx context.Context, group unit.GroupName, target unit.InstanceName) (unit.InstanceName, error) {
	s := w.shard(group)
	if s == nil {
		visitor, err := w.visit(group)
		if err != nil {
			return "", err
		}
		defer visitor.close()
		s = visitor
	}
	w.meters.changes.Inc(1)
	return s.changePrimary(ctx, target)
}

// Close stops all watching.
func (w *Watcher) Close() {
	close(w.closed)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.shards {
		s.close()
	}
}

func (w *Watcher) shard(group unit.GroupName) *shard {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shards[group]
}

// visit returns a shard for a group that others watch.
func (w *Watcher) visit(group unit.GroupName) (*shard, error) {
	snapshot := w.holder.Current()
	if snapshot.Manifest == nil {
		return nil, trace.NotFound("watcher: no manifest is in force")
	}
	g, ok := snapshot.Manifest.Group(group)
	if !ok {
		return nil, trace.NotFound("watcher: no group is named %s", group)
	}
	return w.newShard(snapshot.View.Self, g, visitorRank), nil
}

// place starts and ends shards so that there is one for each group that the
// snapshot gives to this daemon.
func (w *Watcher) place(snapshot holder.Snapshot) {
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
			w.placeGroup(snapshot, group, rank)
		}
	}
	for name, s := range w.shards {
		if !kept[name] {
			s.close()
			delete(w.shards, name)
		}
	}
}

func (w *Watcher) placeGroup(snapshot holder.Snapshot, group manifest.Group, rank int) {
	if s := w.shards[group.Name]; s != nil {
		s.adopt(group, rank)
		return
	}
	w.shards[group.Name] = w.newShard(snapshot.View.Self, group, rank)
}

// rank returns the place of this daemon among the group's watchers, -1 if it is
// none.
func (w *Watcher) rank(snapshot holder.Snapshot, group unit.GroupName) int {
	for rank, d := range placer.Watchers(snapshot.View, group, w.watchers) {
		if d.ID == snapshot.View.Self {
			return rank
		}
	}
	return -1
}

// proposer returns a name that no other promoter has had.
func proposer(self unit.DaemonID) string {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:])
	return string(self) + "/" + hex.EncodeToString(nonce[:])
}
