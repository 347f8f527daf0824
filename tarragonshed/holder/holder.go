// Package holder holds the current manifest and the current view of the daemons. All
// parts of a daemon read both from here.
//
// # Usage
//
//	snapshot := holder.Current()
//	group, ok := snapshot.Manifest.Group("pulp-ledger-1")
//	...
//	select {
//	case <-snapshot.Changed: // Closed when a newer snapshot is in force.
//	case <-ctx.Done():
//	}
package holder

import (
	"sync"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
)

// Snapshot is the manifest and the view that are in force at one moment. It is
// immutable.
type Snapshot struct {
	// Manifest is nil if none is in force yet.
	Manifest *manifest.Manifest
	// ManifestSince is the time at which the manifest came into force on this daemon.
	ManifestSince time.Time
	View          member.View
	// Changed is closed when a newer snapshot comes into force.
	Changed <-chan struct{}
}

// Holder holds the current snapshot. It is safe for concurrent use.
type Holder struct {
	mu      sync.RWMutex
	current Snapshot
	changed chan struct{}
}

// New returns a Holder with the given view and without a manifest.
func New(view member.View) *Holder {
	changed := make(chan struct{})
	return &Holder{current: Snapshot{View: view, Changed: changed}, changed: changed}
}

// Current returns the current snapshot.
func (h *Holder) Current() Snapshot {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// AdoptManifest puts m in force if its version is higher than the current one,
// and reports whether it did.
func (h *Holder) AdoptManifest(m *manifest.Manifest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Manifest != nil && m.Version <= h.current.Manifest.Version {
		return false
	}
	h.current.Manifest = m
	h.current.ManifestSince = time.Now()
	h.notifyChanged()
	return true
}

// AdoptView puts view in force, which must be newer than the current one.
func (h *Holder) AdoptView(view member.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current.View = view
	h.notifyChanged()
}

func (h *Holder) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
	h.current.Changed = h.changed
}
