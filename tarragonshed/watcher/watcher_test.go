package watcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/standin/target"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/watcher"
	"tarragonshed.example/unit"
)

const (
	group       = unit.GroupName("ledger")
	waitTimeout = 20 * time.Second
)

// fixture is a group of three targets and the watchers of as many daemons.
type fixture struct {
	*testing.T
	targets  []*target.Target
	manifest *manifest.Manifest
	holders  []*holder.Holder
	watchers []*watcher.Watcher
}

func newFixture(t *testing.T, daemons int) *fixture {
	f := &fixture{T: t, manifest: &manifest.Manifest{Version: 1, Groups: []manifest.Group{{Name: group}}}}
	for _, name := range []unit.InstanceName{"a", "b", "c"} {
		tgt, err := target.New(name, group)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = tgt.Destroy() })
		f.targets = append(f.targets, tgt)
		f.manifest.Groups[0].Instances = append(f.manifest.Groups[0].Instances, manifest.Instance{Name: name, Address: tgt.Address()})
	}
	var view member.View
	for i := range daemons {
		view.Daemons = append(view.Daemons, member.Daemon{
			ID: unit.DaemonID(fmt.Sprint("d", i)), Domain: unit.DomainName(fmt.Sprint("x", i)), State: member.Live,
		})
	}
	for _, d := range view.Daemons {
		view.Self = d.ID
		h := holder.New(view)
		h.AdoptManifest(f.manifest)
		w := watcher.New(h)
		t.Cleanup(w.Close)
		f.holders, f.watchers = append(f.holders, h), append(f.watchers, w)
	}
	return f
}

// primary waits until a target other than except is primary and accepts a write.
func (f *fixture) primary(except *target.Target) *target.Target {
	f.Helper()
	var found *target.Target
	f.eventually("a primary accepts a write", func() bool {
		for _, tgt := range f.targets {
			if tgt != except && tgt.Running() && tgt.Report().Role == instance.Primary && f.write(tgt) == nil {
				found = tgt
				return true
			}
		}
		return false
	})
	return found
}

func (f *fixture) write(tgt *target.Target) error {
	ctx, cancel := context.WithTimeout(f.Context(), waitTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://x@%s/%s?sslmode=disable", tgt.Address(), group))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS t (k bigint)")
	return err
}

// replicas returns the number of targets that replicate from the primary and have its
// last record.
func (f *fixture) replicas(primary *target.Target) int {
	count := 0
	for _, tgt := range f.targets {
		r := tgt.Report()
		if r.Role == instance.Replica && r.Primary == primary.Name() && r.Holds(primary.Report().Last) {
			count++
		}
	}
	return count
}

func (f *fixture) eventually(what string, holds func() bool) {
	f.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	f.Fatalf("timed out waiting until %s", what)
}

func TestWatcher(t *testing.T) {
	t.Run("a new group gets a primary and two replicas", func(t *testing.T) {
		f := newFixture(t, 3)
		primary := f.primary(nil)
		f.eventually("two replicas follow the primary", func() bool { return f.replicas(primary) == 2 })
	})
	t.Run("a crashed primary is replaced and follows when it returns", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 3)
		old := f.primary(nil)
		is.NoErr(old.Close())
		primary := f.primary(old)
		is.NoErr(old.Restart())
		f.eventually("two replicas follow the primary", func() bool { return f.replicas(primary) == 2 })
	})
	t.Run("a paused primary is replaced and follows when it resumes", func(t *testing.T) {
		f := newFixture(t, 3)
		old := f.primary(nil)
		old.Pause()
		primary := f.primary(old)
		old.Resume()
		f.eventually("two replicas follow the primary", func() bool { return f.replicas(primary) == 2 })
	})
	t.Run("unresponsive connections alone cause no promotion", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		primary := f.primary(nil)
		term, sequence := primary.Report().Term, uint64(0)
		primary.BlackholeConnections()
		f.eventually("the watcher receives a new report of the primary", func() bool {
			for _, r := range f.watchers[0].Reports(group) {
				if r.Instance != primary.Name() {
					continue
				}
				if sequence == 0 {
					sequence = primary.Report().Sequence
				}
				return r.Sequence > sequence
			}
			return false
		})
		is.Equal(primary.Report().Term, term)
	})
	t.Run("unresponsive connections do not exhaust the connection limit", func(t *testing.T) {
		f := newFixture(t, 1)
		primary := f.primary(nil)
		for range 4 {
			f.eventually("one connection is open", func() bool { return primary.Connections() == 1 })
			primary.BlackholeConnections()
			before := primary.Report().Sequence
			f.eventually("the watcher receives a new report of the primary", func() bool { return f.sequence(primary) > before })
		}
		f.eventually("one connection is open", func() bool { return primary.Connections() == 1 })
	})
}

func TestChangePrimary(t *testing.T) {
	t.Run("by a daemon that watches the group", func(t *testing.T) { changePrimary(t, 1) })
	t.Run("by a daemon that does not watch the group", func(t *testing.T) { changePrimary(t, 5) })
	t.Run("automatically when the manifest marks the primary as leaving", func(t *testing.T) {
		f := newFixture(t, 3)
		old := f.primary(nil)
		f.markLeaving(old)
		f.primary(old)
	})
	t.Run("returns an error at its deadline when no instance runs", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		for _, tgt := range f.targets {
			is.NoErr(tgt.Close())
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := f.watchers[0].ChangePrimary(ctx, group, "b")
		is.True(err != nil)
	})
}

func changePrimary(t *testing.T, daemons int) {
	is := is.New(t)
	f := newFixture(t, daemons)
	old := f.primary(nil)
	f.eventually("two replicas follow the primary", func() bool { return f.replicas(old) == 2 })
	for _, w := range f.watchers {
		target := f.otherThan(old)
		name, err := w.ChangePrimary(t.Context(), group, target.Name())
		is.NoErr(err)
		is.Equal(name, target.Name())
		is.Equal(target.Report().Role, instance.Primary)
		old = f.primary(nil)
		f.eventually("two replicas follow the primary", func() bool { return f.replicas(old) == 2 })
		f.eventually("all watchers return the new primary", func() bool { return f.allReport(old) })
	}
}

// allReport reports whether every watcher of the group returns the target as the primary.
func (f *fixture) allReport(primary *target.Target) bool {
	for _, w := range f.watchers {
		if p, ok := w.Primary(group); ok && p.Instance != primary.Name() {
			return false
		}
	}
	return true
}

func (f *fixture) otherThan(tgt *target.Target) *target.Target {
	if f.targets[0] == tgt {
		return f.targets[1]
	}
	return f.targets[0]
}

// sequence returns the sequence number of the first watcher's latest report of the
// target.
func (f *fixture) sequence(tgt *target.Target) uint64 {
	for _, r := range f.watchers[0].Reports(group) {
		if r.Instance == tgt.Name() {
			return r.Sequence
		}
	}
	return 0
}

// markLeaving marks the target as leaving in a new manifest.
func (f *fixture) markLeaving(tgt *target.Target) {
	next := *f.manifest
	next.Version++
	next.Groups = []manifest.Group{{Name: group}}
	for _, i := range f.manifest.Groups[0].Instances {
		i.Leaving = i.Name == tgt.Name()
		next.Groups[0].Instances = append(next.Groups[0].Instances, i)
	}
	for _, h := range f.holders {
		h.AdoptManifest(&next)
	}
}
