// Package prober implements failure detection and membership among the daemons of a
// deployment, in the manner of the SWIM protocol. A [Prober] is a state machine: its
// caller supplies the clock, the randomness and the network.
//
// # Entries
//
// The state of a daemon is held in an [Entry]. [Merge] combines two entries of one daemon
// and gives the same result in any order and for any number of repetitions, so late and
// replayed messages have no effect. A higher incarnation replaces a lower one: the same
// address with a new incarnation is a new daemon. Within an incarnation, a daemon refutes
// a suspicion or its own death with a higher refutation number, and a leaving mark is
// never withdrawn.
//
// # Probes
//
// A daemon probes the others in random order, one per [ProbeInterval]. If a direct probe
// is not answered, it asks [IndirectProbes] other daemons to probe the target, and
// suspects the target if none of them reaches it. A suspicion that is not refuted in time
// becomes death. After a pause of the probing daemon itself, pending probes are dropped
// and no daemon is suspected because of them.
//
// # View
//
// A daemon that rejoins after a network partition spreads suspicions and deaths of the
// daemons that it could not reach. They are refuted within one or two messages, but work
// must not move in the meantime. A daemon is therefore shown as usable in the view for
// [ContactGracePeriod] after a message that it sent itself.
//
// # Dissemination
//
// Each message carries a few changed entries, and each change is sent a bounded number of
// times. Exchanges with [ExchangePeers] daemons carry digests of all entries, and their
// responses the entries that differ. Some rounds also contact a dead daemon, so that the
// sides of a healed partition rediscover each other.
//
// # Usage
//
//	p := prober.New(self, now, rng)
//	for _, effect := range p.Step(prober.Tick{Now: now}) {
//		switch effect := effect.(type) {
//		case prober.Probe:
//			go probe(effect) // Reports ProbeSucceeded or ProbeFailed.
//		case prober.Changed:
//			holder.AdoptView(p.View())
//		}
//	}
package prober

import (
	"math/rand/v2"
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// Timeouts, intervals and limits of the protocol.
const (
	// ProbeInterval is the time between two probes that a daemon sends.
	ProbeInterval = time.Second
	// ProbeTimeout is the timeout of a direct probe.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectTimeout is the timeout of all indirect probes of one target together.
	IndirectTimeout = time.Second
	// IndirectProbes is the number of daemons that are asked to probe a target.
	IndirectProbes = 3
	// ExchangeInterval is the time between two rounds of exchanges.
	ExchangeInterval = 500 * time.Millisecond
	// ExchangePeers is the number of daemons contacted in one round of exchanges.
	ExchangePeers = 3
	// SuspicionTimeout is the time within which a suspicion can be refuted, for up to
	// ten daemons. With more daemons it grows with the logarithm of their number.
	SuspicionTimeout = 3 * time.Second
	// ContactGracePeriod is the time for which a message from a daemon itself overrides
	// a suspicion or death reported by others.
	ContactGracePeriod = 2 * time.Second
	// DeadRetention is the time after which the entry of a dead daemon is removed.
	DeadRetention = 10 * time.Minute
	// pauseThreshold is the time between two ticks from which on this daemon is
	// considered to have been paused.
	pauseThreshold = time.Second
	// maxEntries bounds the number of entries.
	maxEntries = 4096
	// reconnectProbability is the probability that an exchange round also contacts a
	// dead daemon.
	reconnectProbability = 0.25
)

// daemonState is an entry with the local bookkeeping for it.
type daemonState struct {
	Entry
	suspectSince time.Time
	deadSince    time.Time
	// lastContact is when a message from the daemon itself last arrived.
	lastContact time.Time
	// viewState is the state shown in the view.
	viewState member.State
	// transmissions is the number of times that the entry was sent since its last change.
	transmissions int
}

// pending is a probe in flight.
type pending struct {
	target   unit.DaemonID
	deadline time.Time
	indirect bool
}

// Prober is the state machine of one daemon. It is not safe for concurrent use.
type Prober struct {
	rng      *rand.Rand
	self     *daemonState
	entries  map[unit.DaemonID]*daemonState
	ring     []unit.DaemonID
	sequence uint64
	pending  map[uint64]pending

	lastTick     time.Time
	nextProbe    time.Time
	nextExchange time.Time

	listRevision uint64
	listed       map[unit.DaemonID]unit.Incarnation

	effects []Effect
	changed bool
}

// New returns the Prober of the daemon self, which starts at now.
func New(self member.Daemon, now time.Time, rng *rand.Rand) *Prober {
	entry := Entry{Daemon: self, Leaving: self.State == member.Leaving}
	k := &daemonState{Entry: entry, viewState: entry.Member().State}
	return &Prober{
		rng: rng, self: k, entries: map[unit.DaemonID]*daemonState{self.ID: k},
		pending: make(map[uint64]pending), listed: make(map[unit.DaemonID]unit.Incarnation),
		lastTick: now, nextProbe: now, nextExchange: now,
	}
}

// Step handles one event and returns the effects that the caller has to carry out.
func (p *Prober) Step(e Event) []Effect {
	p.effects, p.changed = nil, false
	switch e := e.(type) {
	case Tick:
		p.tick(e.Now)
	case Received:
		p.received(e)
	case ProbeSucceeded:
		p.probeSucceeded(e)
	case ProbeFailed:
		p.probeFailed(e)
	case Listed:
		p.applyList(e)
	case Leave:
		p.leave()
	case ManifestInForce:
		p.self.Manifest = max(p.self.Manifest, e.Version)
		p.changed = true
	}
	if p.changed {
		p.effects = append(p.effects, Changed{})
	}
	return p.effects
}

func (p *Prober) leave() {
	marked := p.self.Entry
	marked.Leaving = true
	p.merge(p.lastTick, marked)
}

// received merges the entries of a message. The message itself proves that its sender is
// alive, whatever status other daemons report for it.
func (p *Prober) received(e Received) {
	if e.Sender.Valid() {
		p.merge(e.Now, e.Sender)
		p.recordContact(e.Now, e.Sender)
	}
	for _, entry := range e.Entries {
		if entry.Valid() {
			p.merge(e.Now, entry)
		}
	}
}

// recordContact records the arrival of a message from the daemon itself.
func (p *Prober) recordContact(now time.Time, sender Entry) {
	if k, ok := p.entries[sender.ID]; ok && k.Incarnation == sender.Incarnation {
		k.lastContact = now
		p.updateViewState(now, k)
	}
}

// updateViewState derives the state of a daemon that the view shows.
func (p *Prober) updateViewState(now time.Time, k *daemonState) {
	shown := k.Entry
	if k != p.self && now.Sub(k.lastContact) < ContactGracePeriod {
		shown.Status = Live
	}
	if state := shown.Member().State; state != k.viewState {
		k.viewState = state
		p.changed = true
	}
}

// merge merges a received entry into the local one.
func (p *Prober) merge(now time.Time, remote Entry) {
	k, ok := p.entries[remote.ID]
	if remote.ID == p.self.ID {
		p.mergeSelf(remote)
		return
	}
	if !ok {
		p.add(now, remote)
		return
	}
	before := k.Entry
	k.Entry = Merge(before, remote)
	if k.Entry == before {
		return
	}
	if k.Incarnation != before.Incarnation {
		k.lastContact = time.Time{}
	}
	p.updateViewState(now, k)
	p.changed = p.changed || !k.sameInView(before)
	if k.Entry.sameExceptManifests(before) {
		return // Only the manifest versions differ, and they are not disseminated on their own.
	}
	k.transmissions = 0
	p.recordChange(now, k, before)
}

func (p *Prober) add(now time.Time, remote Entry) {
	if remote.Status == Dead || len(p.entries) >= maxEntries {
		return // Adding a dead daemon again would undo its removal after DeadRetention.
	}
	k := &daemonState{Entry: remote}
	p.entries[remote.ID] = k
	p.updateViewState(now, k)
	p.changed = true
	p.insertIntoRing(remote.ID)
	p.record(recorder.MemberJoined, k, "")
	p.recordChange(now, k, Entry{})
}

// insertIntoRing adds a daemon at a random position of the probe ring.
func (p *Prober) insertIntoRing(id unit.DaemonID) {
	at := p.rng.IntN(len(p.ring) + 1)
	p.ring = append(p.ring, id)
	p.ring[at], p.ring[len(p.ring)-1] = p.ring[len(p.ring)-1], p.ring[at]
}

// recordChange updates the time of a status change and records timeline events.
func (p *Prober) recordChange(now time.Time, k *daemonState, before Entry) {
	if k.Incarnation != before.Incarnation && before.ID != "" {
		p.record(recorder.MemberJoined, k, "with a new incarnation")
		before = Entry{}
	}
	if k.Leaving && !before.Leaving {
		p.record(recorder.MemberLeaving, k, "")
	}
	if k.Status == before.Status {
		return
	}
	switch k.Status {
	case Live:
		p.record(recorder.MemberRefuted, k, "")
	case Suspect:
		k.suspectSince = now
		p.record(recorder.MemberSuspected, k, "")
	case Dead:
		k.deadSince = now
		p.record(recorder.MemberDead, k, "")
	}
}

// mergeSelf merges an entry that other daemons hold of this daemon.
func (p *Prober) mergeSelf(remote Entry) {
	before := p.self.Entry
	switch {
	case remote.Incarnation > before.Incarnation:
		// A later incarnation of this daemon runs, so this one takes no new work.
		p.self.Leaving = true
	case remote.Incarnation < before.Incarnation:
		p.recordEarlierManifest(max(remote.Manifest, remote.EarlierManifest))
	default:
		p.recordEarlierManifest(max(remote.Manifest, remote.EarlierManifest))
		p.self.Leaving = before.Leaving || remote.Leaving
		if remote.Status != Live && remote.Refutation >= before.Refutation {
			p.self.Refutation = remote.Refutation + 1
			p.record(recorder.MemberRefuted, p.self, "")
		} else if remote.Refutation > before.Refutation {
			p.self.Refutation = remote.Refutation
		}
	}
	if p.self.Entry == before {
		return
	}
	p.self.transmissions = 0
	p.self.viewState = p.self.Entry.Member().State
	p.changed = true
	if p.self.Leaving && !before.Leaving {
		p.record(recorder.MemberLeaving, p.self, "")
	}
}

func (p *Prober) recordEarlierManifest(version unit.ManifestVersion) {
	if version > p.self.Manifest && version > p.self.EarlierManifest {
		p.self.EarlierManifest = version
		p.effects = append(p.effects, EarlierManifest{Version: version})
	}
}

func (p *Prober) record(kind recorder.Kind, k *daemonState, detail string) {
	p.effects = append(p.effects, RecordEvent{Event: recorder.Event{Kind: kind, Daemon: k.ID, Domain: k.Domain, Detail: detail}})
}
