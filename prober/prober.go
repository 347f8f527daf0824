// Package prober decides which daemons are taken for live, in the manner of the SWIM
// protocol. It holds no socket, goroutine, clock or randomness of its own.
//
// # Entries
//
// What is known of a daemon is an [Entry]. Two entries of one daemon are merged by
// [Merge], which gives the same result in any order and any number of times, so that
// late and replayed messages change nothing. A higher incarnation replaces a lower one:
// the same address with a new incarnation is a new daemon. Within an incarnation a
// daemon refutes a suspicion, or its death, by a higher refutation number, and a leaving
// mark is never withdrawn.
//
// # Probes
//
// A daemon probes the others in a random order, one each [ProbeInterval]. When there is
// no answer it asks [IndirectProbes] other daemons to probe, and suspects the target if
// none of them reaches it. A suspicion that is not refuted in time ends in death. When the
// daemon itself was paused, it gives up what it waited for and suspects nobody for that.
//
// # What the view shows
//
// A daemon that rejoins after it was cut off spreads suspicions and deaths of daemons
// that it could not reach. They are refuted within a message or two, but must not move
// work in the meantime. The view therefore goes on showing a daemon as usable for
// [ContactGracePeriod] after a message of its own.
//
// # Spreading
//
// Each message carries a few changed entries, each a bounded number of times. Exchanges
// with [ExchangePeers] daemons carry digests of all entries, and answers to them the
// entries that differ. Daemons taken for dead are asked now and then, so that the sides
// of a healed partition find each other.
//
// # Usage
//
//	p := prober.New(self, now, rng)
//	for _, effect := range p.Step(prober.Tick{Now: now}) {
//		switch effect := effect.(type) {
//		case prober.Probe:
//			go probe(effect) // Answers with Answered or Unanswered.
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

// Measures of the protocol.
const (
	// ProbeInterval is the time between two probes of a daemon.
	ProbeInterval = time.Second
	// ProbeTimeout is the time that a direct probe has.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectTimeout is the time that all indirect probes together have.
	IndirectTimeout = time.Second
	// IndirectProbes is the number of daemons that are asked to probe.
	IndirectProbes = 3
	// ExchangeInterval is the time between two rounds of exchanges.
	ExchangeInterval = 500 * time.Millisecond
	// ExchangePeers is the number of daemons of one round of exchanges.
	ExchangePeers = 3
	// SuspicionTimeout is the time for refutation among ten daemons. It grows with the
	// logarithm of their number.
	SuspicionTimeout = 3 * time.Second
	// ContactGracePeriod is the time for which a daemon's own message counts for more than
	// what others say of it.
	ContactGracePeriod = 2 * time.Second
	// DeadRetention is the time after which a dead daemon is forgotten.
	DeadRetention = 10 * time.Minute
	// pauseGap is the time between two ticks that tells of a pause of this daemon.
	pauseGap = time.Second
	// maxEntries bounds the daemons that are known.
	maxEntries = 4096
	// reconnectShare is the share of exchange rounds that also ask a dead daemon.
	reconnectShare = 0.25
)

// known is an entry with what this daemon does about it.
type known struct {
	Entry
	suspectSince time.Time
	deadSince    time.Time
	// heardAt is when the daemon itself was last heard of.
	heardAt time.Time
	// state is what the view shows.
	state member.State
	// transmissions counts how often the entry has been sent since it changed.
	transmissions int
}

// pending is a probe that has no answer yet.
type pending struct {
	target   unit.DaemonID
	deadline time.Time
	indirect bool
}

// Prober is the state machine of one daemon. It is not safe for concurrent use.
type Prober struct {
	rng      *rand.Rand
	self     *known
	entries  map[unit.DaemonID]*known
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

// New returns the Prober of the daemon self, which starts now.
func New(self member.Daemon, now time.Time, rng *rand.Rand) *Prober {
	entry := Entry{Daemon: self, Leaving: self.State == member.Leaving}
	k := &known{Entry: entry, state: entry.Member().State}
	return &Prober{
		rng: rng, self: k, entries: map[unit.DaemonID]*known{self.ID: k},
		pending: make(map[uint64]pending), listed: make(map[unit.DaemonID]unit.Incarnation),
		lastTick: now, nextProbe: now, nextExchange: now,
	}
}

// Step takes one event and returns what is to be done.
func (p *Prober) Step(e Event) []Effect {
	p.effects, p.changed = nil, false
	switch e := e.(type) {
	case Tick:
		p.tick(e.Now)
	case Received:
		p.received(e)
	case ProbeSucceeded:
		p.answered(e)
	case ProbeFailed:
		p.unanswered(e)
	case Listed:
		p.list(e)
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

// received merges what a message carried. Its sender is alive, whatever others say.
func (p *Prober) received(e Received) {
	if e.Sender.Valid() {
		p.merge(e.Now, e.Sender)
		p.contact(e.Now, e.Sender)
	}
	for _, entry := range e.Entries {
		if entry.Valid() {
			p.merge(e.Now, entry)
		}
	}
}

// contact notes a message of a daemon itself.
func (p *Prober) contact(now time.Time, sender Entry) {
	if k, ok := p.entries[sender.ID]; ok && k.Incarnation == sender.Incarnation {
		k.heardAt = now
		p.show(now, k)
	}
}

// show settles what the view shows of a daemon.
func (p *Prober) show(now time.Time, k *known) {
	shown := k.Entry
	if k != p.self && now.Sub(k.heardAt) < ContactGracePeriod {
		shown.Status = Live
	}
	if state := shown.Member().State; state != k.state {
		k.state = state
		p.changed = true
	}
}

// merge merges one entry into what is known.
func (p *Prober) merge(now time.Time, heard Entry) {
	k, ok := p.entries[heard.ID]
	if heard.ID == p.self.ID {
		p.mergeSelf(heard)
		return
	}
	if !ok {
		p.add(now, heard)
		return
	}
	before := k.Entry
	k.Entry = Merge(before, heard)
	if k.Entry == before {
		return
	}
	if k.Incarnation != before.Incarnation {
		k.heardAt = time.Time{}
	}
	p.show(now, k)
	p.changed = p.changed || !k.shows(before)
	if k.Entry.same(before) {
		return // Only the manifest version differs, which is not spread on its own.
	}
	k.transmissions = 0
	p.noteChange(now, k, before)
}

func (p *Prober) add(now time.Time, heard Entry) {
	if heard.Status == Dead || len(p.entries) >= maxEntries {
		return // A dead daemon that was forgotten stays so.
	}
	k := &known{Entry: heard}
	p.entries[heard.ID] = k
	p.show(now, k)
	p.changed = true
	p.insert(heard.ID)
	p.note(recorder.MemberJoined, k, "")
	p.noteChange(now, k, Entry{})
}

// insert puts a daemon at a random place of the ring of probes.
func (p *Prober) insert(id unit.DaemonID) {
	at := p.rng.IntN(len(p.ring) + 1)
	p.ring = append(p.ring, id)
	p.ring[at], p.ring[len(p.ring)-1] = p.ring[len(p.ring)-1], p.ring[at]
}

// noteChange keeps the times of a status and tells the timeline.
func (p *Prober) noteChange(now time.Time, k *known, before Entry) {
	if k.Incarnation != before.Incarnation && before.ID != "" {
		p.note(recorder.MemberJoined, k, "with a new incarnation")
		before = Entry{}
	}
	if k.Leaving && !before.Leaving {
		p.note(recorder.MemberLeaving, k, "")
	}
	if k.Status == before.Status {
		return
	}
	switch k.Status {
	case Live:
		p.note(recorder.MemberRefuted, k, "")
	case Suspect:
		k.suspectSince = now
		p.note(recorder.MemberSuspected, k, "")
	case Dead:
		k.deadSince = now
		p.note(recorder.MemberDead, k, "")
	}
}

// mergeSelf takes what others say of this daemon.
func (p *Prober) mergeSelf(heard Entry) {
	before := p.self.Entry
	switch {
	case heard.Incarnation > before.Incarnation:
		// Another life of this daemon has begun, so this one takes no new work.
		p.self.Leaving = true
	case heard.Incarnation < before.Incarnation:
		p.remember(max(heard.Manifest, heard.EarlierManifest))
	default:
		p.remember(max(heard.Manifest, heard.EarlierManifest))
		p.self.Leaving = before.Leaving || heard.Leaving
		if heard.Status != Live && heard.Refutation >= before.Refutation {
			p.self.Refutation = heard.Refutation + 1
			p.note(recorder.MemberRefuted, p.self, "")
		} else if heard.Refutation > before.Refutation {
			p.self.Refutation = heard.Refutation
		}
	}
	if p.self.Entry == before {
		return
	}
	p.self.transmissions = 0
	p.self.state = p.self.Entry.Member().State
	p.changed = true
	if p.self.Leaving && !before.Leaving {
		p.note(recorder.MemberLeaving, p.self, "")
	}
}

func (p *Prober) remember(version unit.ManifestVersion) {
	if version > p.self.Manifest && version > p.self.EarlierManifest {
		p.self.EarlierManifest = version
		p.effects = append(p.effects, EarlierManifest{Version: version})
	}
}

func (p *Prober) note(kind recorder.Kind, k *known, detail string) {
	p.effects = append(p.effects, RecordEvent{Event: recorder.Event{Kind: kind, Daemon: k.ID, Domain: k.Domain, Detail: detail}})
}
