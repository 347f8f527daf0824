package engine

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// TestResizeKeepsNewestManifest guards against a manifest that reverts: a change of the number of
// daemons adopted the manifest in force once more, and a newer one that arrived in between was lost.
func TestResizeKeepsNewestManifest(t *testing.T) {
	const versions = 20_000
	e := New(nil, nil, func() unit.Instant { return 0 })
	defer e.Close()
	e.Adopt(&manifest.Manifest{})
	adopted := make(chan struct{})
	var resizing sync.WaitGroup
	resizing.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-adopted:
				return
			default:
				e.SetDaemons(someDaemons(1 + n%2))
			}
		}
	})
	reverted := 0
	m := &manifest.Manifest{}
	for range versions {
		m = &manifest.Manifest{Version: m.Version + 1}
		e.Adopt(m)
		if e.Manifest().Version < m.Version {
			reverted++
		}
	}
	close(adopted)
	resizing.Wait()
	is := is.New(t)
	is.Equal(reverted, 0)
	is.Equal(e.Manifest().Version, m.Version)
}
