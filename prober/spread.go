package prober

import (
	"cmp"
	"math/bits"
	"slices"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// Limits on dissemination.
const (
	// MaxUpdates is the number of changed entries that one message carries, apart from
	// the entry of its receiver.
	MaxUpdates = 12
	// MaxDiffering is the number of differing entries that a response to a digest
	// carries.
	MaxDiffering = 64
	// retransmitFactor times the bit length of the number of daemons is the number of
	// times that a changed entry is sent.
	retransmitFactor = 3
)

// Self returns the entry of this daemon.
func (p *Prober) Self() Entry { return p.self.Entry }

// View returns a snapshot of the known daemons, ordered by id.
func (p *Prober) View() member.View {
	view := member.View{Self: p.self.ID, Daemons: make([]member.Daemon, 0, len(p.entries))}
	for _, k := range p.entries {
		shown := k.Daemon
		shown.State = k.viewState
		view.Daemons = append(view.Daemons, shown)
	}
	slices.SortFunc(view.Daemons, func(a, b member.Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

// Updates returns the changed entries that the next message to a daemon carries, the
// least often sent first. If the receiver is not considered live or is marked as leaving,
// its own entry always comes first, so that it can refute a suspicion or its death.
func (p *Prober) Updates(to unit.DaemonID) []Entry {
	limit := retransmitFactor * bits.Len(uint(len(p.entries)))
	var changed []*daemonState
	for _, k := range p.entries {
		if k.transmissions < limit && k != p.self && k.ID != to {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(a, b *daemonState) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.ID, b.ID))
	})
	var updates []Entry
	if k, ok := p.entries[to]; ok && (k.Status != Live || k.Leaving) {
		updates = append(updates, k.Entry)
	}
	for _, k := range changed[:min(len(changed), MaxUpdates)] {
		k.transmissions++
		updates = append(updates, k.Entry)
	}
	return updates
}

// Digest returns the hashes of all entries except those of dead daemons. Each daemon
// removes dead entries at a different time, so they would make digests differ.
func (p *Prober) Digest() Digest {
	var d Digest
	for id, k := range p.entries {
		if k.Status != Dead {
			d[bucketOf(id)] += k.hash()
		}
	}
	return d
}

// Differing returns the entries of the buckets in which the other digest differs, or a
// random subset of them if there are more than [MaxDiffering].
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
