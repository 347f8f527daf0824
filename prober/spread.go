package prober

import (
	"cmp"
	"math/bits"
	"slices"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// Bounds of what one message carries.
const (
	// MaxUpdates is the number of changed entries.
	MaxUpdates = 12
	// MaxDiffering is the number of entries that an answer to a digest carries.
	MaxDiffering = 64
	// spreadFactor times the logarithm of the number of daemons is how often a
	// changed entry is sent.
	spreadFactor = 3
)

// Self returns the entry of this daemon.
func (p *Prober) Self() Entry { return p.self.Entry }

// View returns the daemons as they are known now.
func (p *Prober) View() member.View {
	view := member.View{Self: p.self.ID, Daemons: make([]member.Daemon, 0, len(p.entries))}
	for _, k := range p.entries {
		shown := k.Daemon
		shown.State = k.state
		view.Daemons = append(view.Daemons, shown)
	}
	slices.SortFunc(view.Daemons, func(a, b member.Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

// Updates returns the changed entries that the next message to a daemon carries, those
// first that have been sent least often. A daemon that is not taken for live is told so
// in any case, so that it can refute.
func (p *Prober) Updates(to unit.DaemonID) []Entry {
	limit := spreadFactor * bits.Len(uint(len(p.entries)))
	var fresh []*known
	for _, k := range p.entries {
		if k.transmissions < limit && k != p.self && k.ID != to {
			fresh = append(fresh, k)
		}
	}
	slices.SortFunc(fresh, func(a, b *known) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.ID, b.ID))
	})
	var updates []Entry
	if k, ok := p.entries[to]; ok && (k.Status != Live || k.Leaving) {
		updates = append(updates, k.Entry)
	}
	for _, k := range fresh[:min(len(fresh), MaxUpdates)] {
		k.transmissions++
		updates = append(updates, k.Entry)
	}
	return updates
}

// Digest returns the hashes of all entries but those of dead daemons, which the others
// forget at other times.
func (p *Prober) Digest() Digest {
	var d Digest
	for id, k := range p.entries {
		if k.Status != Dead {
			d[bucketOf(id)] += k.hash()
		}
	}
	return d
}

// Differing returns entries of the buckets in which the other digest differs: a random
// choice if there are more than [MaxDiffering].
func (p *Prober) Differing(other Digest) []Entry {
	own := p.Digest()
	var ids []unit.DaemonID
	for id := range p.entries {
		if bucket := bucketOf(id); own[bucket] != other[bucket] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	p.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var entries []Entry
	for _, id := range ids[:min(len(ids), MaxDiffering)] {
		entries = append(entries, p.entries[id].Entry)
	}
	return entries
}
