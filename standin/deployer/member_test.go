package deployer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/unit"
)

// await waits until a condition holds and fails when the context ends.
func await(ctx context.Context, t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		if ctx.Err() != nil {
			t.Fatalf("%s: condition did not hold in time", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stateCounts counts the states of a daemon in the views of the other running daemons.
func stateCounts(d *deployer.Deployment, id unit.DaemonID) map[member.State]int {
	states := make(map[member.State]int)
	for _, observer := range d.DaemonIDs() {
		running, ok := d.Daemon(observer)
		if !ok || observer == id {
			continue
		}
		found, _ := running.Holder().Current().View.Find(id)
		states[found.State]++
	}
	return states
}

func TestMembership(t *testing.T) {
	ctx, d := deploy(t)
	others := len(d.DaemonIDs()) - 1
	awaitState := func(t *testing.T, id unit.DaemonID, state member.State, count int) {
		t.Helper()
		await(ctx, t, string(id)+" "+string(state), func() bool { return stateCounts(d, id)[state] == count })
	}
	inject := func(t *testing.T, kind deployer.FaultKind, id unit.DaemonID) {
		t.Helper()
		is.New(t).NoErr(d.Inject(deployer.Fault{Kind: kind, Daemon: id}))
	}
	for _, id := range d.DaemonIDs() {
		awaitState(t, id, member.Live, others)
	}
	setup := connect(ctx, t, d, "labasa-loft-1")
	run(ctx, t, setup, "CREATE TABLE batches (id integer primary key, charge text)")

	t.Run("a resumed daemon adopts the manifest that was pushed during its pause", func(t *testing.T) {
		const paused = unit.DaemonID("suva-office-1")
		before, ok := d.Daemon(paused)
		is.New(t).True(ok)
		inject(t, deployer.PauseDaemon, paused)
		awaitState(t, paused, member.Dead, others)
		version := before.Holder().Current().Manifest.Version
		pushFor(ctx, t, d, func(m *manifest.Manifest) { m.Groups[0].Homes = 1 }, paused)
		is.New(t).Equal(before.Holder().Current().Manifest.Version, version)
		inject(t, deployer.ResumeDaemon, paused)
		awaitState(t, paused, member.Live, others)
		await(ctx, t, "manifest", func() bool { return before.Holder().Current().Manifest.Version == version+1 })
	})
	t.Run("the daemons of a domain are restarted one by one and then together", func(t *testing.T) {
		restarted := []unit.DaemonID{"lautoka-shed-1", "lautoka-shed-2"}
		written := 0
		write := func(t *testing.T) {
			t.Helper()
			written++
			run(ctx, t, setup, "INSERT INTO batches VALUES ($1, 'rag')", written)
		}
		for _, id := range restarted {
			inject(t, deployer.StopDaemon, id)
			write(t)
			inject(t, deployer.StartDaemon, id)
			awaitState(t, id, member.Live, others)
		}
		for _, id := range restarted {
			inject(t, deployer.StopDaemon, id)
		}
		write(t)
		for _, id := range restarted {
			inject(t, deployer.StartDaemon, id)
		}
		for _, id := range restarted {
			awaitState(t, id, member.Live, others)
		}
		write(t)
		expectCount(ctx, t, connect(ctx, t, d, restarted[0]), written)
	})
	t.Run("a VM that the list marks as leaving is leaving in all views and not ready", func(t *testing.T) {
		const leaving = unit.DaemonID("labasa-loft-2")
		running, _ := d.Daemon(leaving)
		inject(t, deployer.MarkLeaving, leaving)
		awaitState(t, leaving, member.Leaving, others)
		await(ctx, t, "not ready", func() bool { return !running.Ready() })
	})
}
