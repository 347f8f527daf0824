// Package holder holds what is in force on a daemon: the manifest and the view
// of the daemons. Every part of the daemon reads both from here.
//
// # Usage
//
//	now := holder.Current()
//	group, ok := now.Manifest.Group("pulp-ledger-1")
//	...
//	select {
//	case <-now.Changed: // Closed when something newer is in force.
//	case <-ctx.Done():
//	}
package holder

import (
	"sync"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
)

// Snapshot is what was in force at one moment. It is immutable.
type Snapshot struct {
	// Manifest is nil while none is in force.
	Manifest *manifest.Manifest
	// ManifestSince is when the manifest came into force on this daemon.
	ManifestSince time.Time
	View          member.View
	// Changed is closed when a newer snapshot is in force.
	Changed <-chan struct{}
}

// Holder holds the current snapshot. It is safe for concurrent use.
type Holder struct {
	mu      sync.RWMutex
	current Snapshot
	changed chan struct{}
}

// New returns a Holder without a manifest.
func New(view member.View) *Holder {
	changed := make(chan struct{})
	return &Holder{current: Snapshot{View: view, Changed: changed}, changed: changed}
}

// Current returns what is in force.
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
	h.announce()
	return true
}

// AdoptView puts a newer view of the daemons in force.
func (h *Holder) AdoptView(view member.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current.View = view
	h.announce()
}

func (h *Holder) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
	h.current.Changed = h.changed
}
