package deployer_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"tarragonshed.example/adopter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/pusher"
	"tarragonshed.example/unit"
)

// push pushes a changed manifest and waits until it is in force on all daemons.
func push(ctx context.Context, t *testing.T, d *deployer.Deployment, change func(*manifest.Manifest)) {
	t.Helper()
	pushFor(ctx, t, d, change, "")
}

// pushFor does the same as push but does not wait for one of the daemons.
func pushFor(ctx context.Context, t *testing.T, d *deployer.Deployment, change func(*manifest.Manifest), without unit.DaemonID) {
	t.Helper()
	is := is.New(t)
	client, err := platformer.New(d.PlatformURL)
	is.NoErr(err)
	defer client.Close()
	p := pusher.New(client, nil)
	current, err := p.Current(ctx)
	is.NoErr(err)
	document, err := p.Document(ctx, current)
	is.NoErr(err)
	m, problems := manifest.Parse(document)
	is.NoErr(problems.Err())
	change(m)
	document, err = manifest.Encode(m)
	is.NoErr(err)
	request := adopter.Request{ID: adopter.PushID("test-" + current.PushID), Base: current.Version, Document: document}
	record, err := p.Push(ctx, request)
	is.NoErr(err)
	for _, id := range d.DaemonIDs() {
		if id == without {
			continue
		}
		running, ok := d.Daemon(id)
		is.True(ok)
		for running.Holder().Current().Manifest.Version < record.Version {
			is.NoErr(ctx.Err()) // The version did not come into force in time.
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func TestManifestChanges(t *testing.T) {
	ctx, d := deploy(t)
	setup := connect(ctx, t, d, "lautoka-shed-1")
	run(ctx, t, setup, "CREATE TABLE batches (id integer primary key, charge text)")

	t.Run("a change of homes and a leaving instance abort no request", func(t *testing.T) {
		is := is.New(t)
		writing, stop := context.WithCancel(ctx)
		var callers sync.WaitGroup
		errs := make(chan error, len(d.DaemonIDs()))
		written := make(chan int, len(d.DaemonIDs()))
		for n, id := range d.DaemonIDs() {
			conn := connect(ctx, t, d, id)
			callers.Go(func() {
				count := 0
				for ; writing.Err() == nil; count++ {
					if _, err := conn.Exec(ctx, "INSERT INTO batches VALUES ($1, 'rag')", n*1_000_000+count); err != nil {
						errs <- err
						break
					}
				}
				written <- count
			})
		}
		push(ctx, t, d, func(m *manifest.Manifest) { m.Groups[0].Homes = 1 })
		push(ctx, t, d, func(m *manifest.Manifest) {
			m.Groups[0].Homes = 2
			m.Groups[0].Instances[2].Leaving = true
		})
		push(ctx, t, d, func(m *manifest.Manifest) { m.Groups[0].Instances[2].Leaving = false })
		stop()
		callers.Wait()
		close(errs)
		for err := range errs {
			t.Errorf("a request was aborted: %v", err)
		}
		total := 0
		for range d.DaemonIDs() {
			total += <-written
		}
		is.True(total > 0)
		expectCount(ctx, t, setup, total)
	})

	t.Run("a group in use is removed after its open transaction", func(t *testing.T) {
		is := is.New(t)
		open := connect(ctx, t, d, "labasa-loft-1")
		run(ctx, t, open, "BEGIN")
		run(ctx, t, open, "INSERT INTO batches VALUES (-1, 'open')")
		push(ctx, t, d, func(m *manifest.Manifest) {
			m.Groups = m.Groups[1:]
			for i := range m.Callers {
				m.Callers[i].Groups = nil
			}
		})
		run(ctx, t, open, "COMMIT")
		_, err := open.Exec(ctx, "SELECT 1")
		var refused *pgconn.PgError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Code, "3D000")
		is.True(strings.HasPrefix(refused.Message, "TS1003"))
	})
}
