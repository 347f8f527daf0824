package prober

import (
	"maps"
	"math"
	"slices"
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// tick handles timeouts and starts the probes and exchanges that are due.
func (p *Prober) tick(now time.Time) {
	p.handlePause(now)
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

// handlePause drops pending probes and extends suspicions after a pause of this daemon,
// as responses and refutations could not be processed during the pause.
func (p *Prober) handlePause(now time.Time) {
	gap := now.Sub(p.lastTick)
	p.lastTick = now
	if gap < pauseThreshold {
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
	timeout := p.suspicionTimeout()
	for id, k := range p.entries {
		if k.Status != Live {
			p.updateViewState(now, k)
		}
		switch {
		case id == p.self.ID:
		case k.Status == Suspect && now.Sub(k.suspectSince) >= timeout:
			dead := k.Entry
			dead.Status = Dead
			p.merge(now, dead)
		case k.Status == Dead && now.Sub(k.deadSince) >= DeadRetention:
			delete(p.entries, id)
			p.changed = true
		}
	}
}

// suspicionTimeout grows with the number of daemons, as refutations take longer to spread
// among more daemons.
func (p *Prober) suspicionTimeout() time.Duration {
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

// probe starts a direct probe of the next daemon in the ring.
func (p *Prober) probe(now time.Time) {
	k := p.nextInRing()
	if k == nil {
		return
	}
	p.sequence++
	p.pending[p.sequence] = pending{target: k.ID, deadline: now.Add(ProbeTimeout)}
	p.effects = append(p.effects, Probe{Sequence: p.sequence, To: k.Member()})
}

// nextInRing returns the next daemon in the ring that is not dead, or nil if there is
// none. An empty ring is refilled with all daemons in random order.
func (p *Prober) nextInRing() *daemonState {
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

func (p *Prober) probeSucceeded(e ProbeSucceeded) {
	delete(p.pending, e.Sequence)
}

// probeFailed starts indirect probes without waiting for the deadline.
func (p *Prober) probeFailed(e ProbeFailed) {
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
	via := p.pickRandom(IndirectProbes, func(c *daemonState) bool { return c.Status == Live && c.ID != target })
	for _, helper := range via {
		p.effects = append(p.effects, ProbeIndirect{Sequence: sequence, Via: helper, Target: k.Member()})
	}
}

// exchange starts exchanges with two daemons of this failure domain and one of another,
// as far as there are any, and in some rounds with one dead daemon.
func (p *Prober) exchange() {
	near := p.pickRandom(ExchangePeers, func(c *daemonState) bool { return c.Status != Dead && c.Domain == p.self.Domain })
	far := p.pickRandom(ExchangePeers, func(c *daemonState) bool { return c.Status != Dead && c.Domain != p.self.Domain })
	nearCount := min(len(near), max(ExchangePeers-1, ExchangePeers-len(far)))
	chosen := append(near[:nearCount:nearCount], far[:min(len(far), ExchangePeers-nearCount)]...)
	if p.rng.Float64() < reconnectProbability {
		chosen = append(chosen, p.pickRandom(1, func(c *daemonState) bool { return c.Status == Dead })...)
	}
	for _, to := range chosen {
		p.effects = append(p.effects, Exchange{To: to})
	}
}

// pickRandom returns up to n random daemons for which match returns true.
func (p *Prober) pickRandom(n int, match func(*daemonState) bool) []member.Daemon {
	var ids []unit.DaemonID
	for id, k := range p.entries {
		if id != p.self.ID && match(k) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids) // Map order is random; sorting makes the choice depend on p.rng only.
	p.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var picked []member.Daemon
	for _, id := range ids[:min(n, len(ids))] {
		picked = append(picked, p.entries[id].Member())
	}
	return picked
}
