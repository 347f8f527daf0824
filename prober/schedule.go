package prober

import (
	"maps"
	"math"
	"slices"
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// tick does what is due.
func (p *Prober) tick(now time.Time) {
	p.noticePause(now)
	p.expireProbes(now)
	p.expireEntries(now)
	if !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(ProbeInterval)
		p.probe(now)
	}
	if !now.Before(p.nextExchange) {
		p.nextExchange = now.Add(ExchangeInterval)
		p.exchange()
	}
}

// noticePause gives up open probes and extends suspicions after a pause of this
// daemon: the others had no chance to answer it.
func (p *Prober) noticePause(now time.Time) {
	gap := now.Sub(p.lastTick)
	p.lastTick = now
	if gap < pauseGap {
		return
	}
	clear(p.pending)
	for _, k := range p.entries {
		if k.Status == Suspect {
			k.suspectSince = k.suspectSince.Add(gap)
		}
	}
}

func (p *Prober) expireProbes(now time.Time) {
	for _, sequence := range slices.Sorted(maps.Keys(p.pending)) {
		probe := p.pending[sequence]
		if now.Before(probe.deadline) {
			continue
		}
		delete(p.pending, sequence)
		if probe.indirect {
			p.suspect(now, probe.target)
		} else {
			p.probeIndirectly(now, sequence, probe.target)
		}
	}
}

func (p *Prober) expireEntries(now time.Time) {
	patience := p.suspicionTime()
	for id, k := range p.entries {
		if k.Status != Live {
			p.show(now, k)
		}
		switch {
		case id == p.self.ID:
		case k.Status == Suspect && now.Sub(k.suspectSince) >= patience:
			dead := k.Entry
			dead.Status = Dead
			p.merge(now, dead)
		case k.Status == Dead && now.Sub(k.deadSince) >= DeadRetention:
			delete(p.entries, id)
			p.changed = true
		}
	}
}

// suspicionTime grows with the number of daemons, as refutations take longer to
// spread.
func (p *Prober) suspicionTime() time.Duration {
	return time.Duration(float64(SuspicionTimeout) * max(1, math.Log10(float64(len(p.entries)))))
}

func (p *Prober) suspect(now time.Time, id unit.DaemonID) {
	k, ok := p.entries[id]
	if !ok || k.Status != Live {
		return
	}
	suspected := k.Entry
	suspected.Status = Suspect
	p.merge(now, suspected)
}

// probe probes the next daemon of the ring.
func (p *Prober) probe(now time.Time) {
	k := p.nextOfRing()
	if k == nil {
		return
	}
	p.sequence++
	p.pending[p.sequence] = pending{target: k.ID, deadline: now.Add(ProbeTimeout)}
	p.effects = append(p.effects, Probe{Sequence: p.sequence, To: k.Member()})
}

// nextOfRing returns the next daemon that is not dead, or nil.
func (p *Prober) nextOfRing() *known {
	for range 2 {
		for len(p.ring) > 0 {
			id := p.ring[0]
			p.ring = p.ring[1:]
			if k, ok := p.entries[id]; ok && k.Status != Dead && id != p.self.ID {
				return k
			}
		}
		for id := range p.entries {
			p.ring = append(p.ring, id)
		}
		slices.Sort(p.ring)
		p.rng.Shuffle(len(p.ring), func(i, j int) { p.ring[i], p.ring[j] = p.ring[j], p.ring[i] })
	}
	return nil
}

func (p *Prober) answered(e ProbeSucceeded) {
	delete(p.pending, e.Sequence)
}

// unanswered goes on to indirect probes without waiting for the deadline.
func (p *Prober) unanswered(e ProbeFailed) {
	probe, ok := p.pending[e.Sequence]
	if !ok || probe.indirect {
		return
	}
	delete(p.pending, e.Sequence)
	p.probeIndirectly(e.Now, e.Sequence, probe.target)
}

func (p *Prober) probeIndirectly(now time.Time, sequence uint64, target unit.DaemonID) {
	k, ok := p.entries[target]
	if !ok {
		return
	}
	p.pending[sequence] = pending{target: target, deadline: now.Add(IndirectTimeout), indirect: true}
	via := p.pick(IndirectProbes, func(c *known) bool { return c.Status == Live && c.ID != target })
	for _, helper := range via {
		p.effects = append(p.effects, ProbeIndirect{Sequence: sequence, Via: helper, Target: k.Member()})
	}
}

// exchange asks two daemons of the own failure domain and one of another, as far as
// there are any, and now and then one that is taken for dead.
func (p *Prober) exchange() {
	near := p.pick(ExchangePeers, func(c *known) bool { return c.Status != Dead && c.Domain == p.self.Domain })
	far := p.pick(ExchangePeers, func(c *known) bool { return c.Status != Dead && c.Domain != p.self.Domain })
	nearCount := min(len(near), max(ExchangePeers-1, ExchangePeers-len(far)))
	chosen := append(near[:nearCount:nearCount], far[:min(len(far), ExchangePeers-nearCount)]...)
	if p.rng.Float64() < reconnectShare {
		chosen = append(chosen, p.pick(1, func(c *known) bool { return c.Status == Dead })...)
	}
	for _, to := range chosen {
		p.effects = append(p.effects, Exchange{To: to})
	}
}

// pick returns up to n random daemons that fit.
func (p *Prober) pick(n int, fits func(*known) bool) []member.Daemon {
	var ids []unit.DaemonID
	for id, k := range p.entries {
		if id != p.self.ID && fits(k) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids) // So that the choice depends on the given randomness only.
	p.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var picked []member.Daemon
	for _, id := range ids[:min(n, len(ids))] {
		picked = append(picked, p.entries[id].Member())
	}
	return picked
}
