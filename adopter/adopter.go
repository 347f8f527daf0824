// Package adopter decides when a daemon puts a manifest in force, and how a push of
// a manifest is accepted. It holds no socket, goroutine or clock.
//
// # Acceptance
//
// The document is stored under its digest first. Then one transaction of the
// platform's table service accepts it: it replaces the row "current", on the condition
// that the row still is what the push is based on, and adds a row for the version and
// one for the push id. A [Push] is the state machine that also resolves lost answers.
//
// # Adoption
//
// A daemon hears of accepted versions as [Record] values, from the platform's row and
// from other daemons. An [Adopter] fetches the highest one and puts it in force. It
// never puts a version in force that is not higher than the present one, so late
// answers, replayed messages and stale peers change nothing.
//
// A daemon keeps nothing over a restart. Its first manifest therefore comes from the
// platform if that answers, and is none lower than it says. If it doesn't answer for
// the time [DefaultPlatformTimeout], the first manifest is the highest that any peer offers, but
// never a lower one than peers remember of the daemon's earlier incarnation.
//
// Versions are taken on trust until their document is there. One that no source can
// deliver does not keep lower ones from being put in force.
//
// # Usage
//
//	a := adopter.New(now)
//	for _, effect := range a.Step(adopter.Heard{Now: now, Record: record, From: adopter.Peer("d2")}) {
//		switch effect := effect.(type) {
//		case adopter.Fetch:
//			go fetch(effect) // Answers with Fetched or FetchFailed.
//		case adopter.Adopt:
//			holder.AdoptManifest(effect.Manifest)
//		case adopter.Reject:
//			log.Error("manifest rejected", "version", effect.Record.Version, "reason", effect.Reason)
//		}
//	}
package adopter

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// DefaultPlatformTimeout is how long a daemon without a manifest waits for the platform before
// it accepts what its peers have.
const DefaultPlatformTimeout = 3 * time.Second

// fetchTimeout is the time after which a fetch without a result is given up.
const fetchTimeout = 5 * time.Second

// Source is where a record was heard of: a daemon, or the platform when empty.
type Source unit.DaemonID

// Platform is the platform as a source.
const Platform Source = ""

// Peer returns the daemon as a source.
func Peer(id unit.DaemonID) Source { return Source(id) }

// Event is something that an Adopter is told.
type Event interface{ event() }

// RecordReceived tells that the platform has accepted a version, or that a daemon has it in force.
type RecordReceived struct {
	Now    time.Time
	Record Record
	// From can deliver the document.
	From Source
}

// NoneAccepted tells that the platform's row was read and that no manifest is accepted.
type NoneAccepted struct{ Now time.Time }

// EarlierManifest tells which version a peer remembers of this daemon.
type EarlierManifest struct{ Version unit.ManifestVersion }

// Fetched is the document that a Fetch effect asked for.
type Fetched struct {
	Now      time.Time
	Record   Record
	From     Source
	Document []byte
}

// FetchFailed tells that a Fetch effect had no result.
type FetchFailed struct {
	Now    time.Time
	Record Record
	From   Source
}

// Tick tells that time has passed.
type Tick struct{ Now time.Time }

func (RecordReceived) event()  {}
func (NoneAccepted) event()    {}
func (EarlierManifest) event() {}
func (Fetched) event()         {}
func (FetchFailed) event()     {}
func (Tick) event()            {}

// Effect is something that an Adopter asks for.
type Effect interface{ effect() }

// Fetch asks for the document of a record.
type Fetch struct {
	Record Record
	From   Source
}

// Adopt asks to put a manifest in force.
type Adopt struct {
	Manifest *manifest.Manifest
	Record   Record
	Document []byte
}

// Reject tells that a record is not put in force, and why.
type Reject struct {
	Record Record
	From   Source
	Reason string
}

func (Fetch) effect()  {}
func (Adopt) effect()  {}
func (Reject) effect() {}

// candidate is a version that may be put in force.
type candidate struct {
	record  Record
	sources []Source
}

// maxCandidates bounds the versions that are kept beside the one in force.
const maxCandidates = 4

// Adopter decides which manifest is in force. It is not safe for concurrent use.
type Adopter struct {
	settle     time.Duration
	started    time.Time
	inForce    Record
	candidates []candidate // Ordered by falling version.
	fetching   *Fetch
	fetchStart time.Time
	ready      *Adopt // Fetched, but not allowed to be put in force yet.
	rejected   map[string]bool

	// answered tells that the platform's row was read, and accepted what it said.
	answered bool
	accepted unit.ManifestVersion
	// remembered is what peers remember of an earlier incarnation.
	remembered unit.ManifestVersion
}

// Option changes an Adopter under construction.
type Option func(*Adopter)

// WithPlatformTimeout replaces [DefaultPlatformTimeout].
func WithPlatformTimeout(d time.Duration) Option {
	return func(a *Adopter) { a.settle = d }
}

// New returns an Adopter of a daemon that starts now.
func New(now time.Time, options ...Option) *Adopter {
	a := &Adopter{settle: DefaultPlatformTimeout, started: now, rejected: make(map[string]bool)}
	for _, option := range options {
		option(a)
	}
	return a
}

// InForce returns the record in force. It is zero while there is none.
func (a *Adopter) InForce() Record { return a.inForce }

// Step takes one event and returns what is to be done.
func (a *Adopter) Step(e Event) []Effect {
	switch e := e.(type) {
	case RecordReceived:
		return a.heard(e)
	case NoneAccepted:
		a.answered = true
		return a.adopt(e.Now)
	case EarlierManifest:
		a.remembered = max(a.remembered, e.Version)
	case Fetched:
		return a.fetched(e)
	case FetchFailed:
		return a.fetchFailed(e)
	case Tick:
		return append(a.adopt(e.Now), a.fetch(e.Now)...)
	}
	return nil
}

func (a *Adopter) heard(e RecordReceived) []Effect {
	if !e.Record.Valid() {
		return nil
	}
	if e.From == Platform {
		a.answered = true
		a.accepted = max(a.accepted, e.Record.Version)
	}
	if a.rejected[e.Record.Digest] {
		return nil
	}
	if e.Record.Version <= a.inForce.Version {
		return a.contradiction(e, a.inForce)
	}
	effects := a.consider(e)
	return append(append(effects, a.adopt(e.Now)...), a.fetch(e.Now)...)
}

// consider adds the source to the candidate of the version. Of two digests under one
// version the platform's counts, and else the first one.
func (a *Adopter) consider(e RecordReceived) []Effect {
	at, found := slices.BinarySearchFunc(a.candidates, e.Record.Version, func(c candidate, v unit.ManifestVersion) int {
		return cmp.Compare(v, c.record.Version)
	})
	if !found {
		a.candidates = slices.Insert(a.candidates, at, candidate{record: e.Record})
	}
	c := &a.candidates[at]
	if c.record.Digest != e.Record.Digest {
		if e.From != Platform {
			return a.contradiction(e, c.record)
		}
		*c = candidate{record: e.Record}
	}
	if !slices.Contains(c.sources, e.From) {
		c.sources = append(c.sources, e.From)
	}
	if len(a.candidates) > maxCandidates {
		a.candidates = a.candidates[:maxCandidates]
	}
	return nil
}

// contradiction rejects a record that has another digest than a known one of the
// same version.
func (a *Adopter) contradiction(e RecordReceived, known Record) []Effect {
	if e.Record.Version != known.Version || e.Record.Digest == known.Digest {
		return nil
	}
	reason := fmt.Sprintf("version %d has the digest %.12s", known.Version, known.Digest)
	return []Effect{Reject{Record: e.Record, From: e.From, Reason: reason}}
}

// fetch asks for the document of the highest candidate unless that is under way.
func (a *Adopter) fetch(now time.Time) []Effect {
	if a.fetching != nil && now.Sub(a.fetchStart) >= fetchTimeout {
		a.giveUp(a.fetching.Record, a.fetching.From)
	}
	if len(a.candidates) == 0 {
		return nil
	}
	best := a.candidates[0]
	if a.fetching != nil && a.fetching.Record.Version >= best.record.Version {
		return nil
	}
	if a.ready != nil && a.ready.Record.Version >= best.record.Version {
		return nil
	}
	a.fetching = &Fetch{Record: best.record, From: best.sources[0]}
	a.fetchStart = now
	return []Effect{*a.fetching}
}

// giveUp drops a source of a candidate, and the candidate with its last source. It is
// considered again when it is heard of again.
func (a *Adopter) giveUp(record Record, from Source) {
	if a.fetching != nil && a.fetching.Record.Version == record.Version && a.fetching.From == from {
		a.fetching = nil
	}
	for i := range a.candidates {
		if a.candidates[i].record.Version != record.Version {
			continue
		}
		c := &a.candidates[i]
		c.sources = slices.DeleteFunc(c.sources, func(s Source) bool { return s == from })
		if len(c.sources) == 0 {
			a.candidates = slices.Delete(a.candidates, i, i+1)
		}
		return
	}
}

func (a *Adopter) fetched(e Fetched) []Effect {
	if a.fetching != nil && a.fetching.Record.Version == e.Record.Version {
		a.fetching = nil
	}
	if !slices.ContainsFunc(a.candidates, func(c candidate) bool {
		return c.record.Version == e.Record.Version && c.record.Digest == e.Record.Digest
	}) {
		return nil // Late.
	}
	if manifest.Digest(e.Document) != e.Record.Digest {
		a.giveUp(e.Record, e.From)
		reject := Reject{Record: e.Record, From: e.From, Reason: "the document does not have the digest of the record"}
		return append([]Effect{reject}, a.fetch(e.Now)...)
	}
	m, problems := manifest.Parse(e.Document)
	if m == nil {
		a.rejected[e.Record.Digest] = true
		a.forget(func(c candidate) bool { return c.record.Digest == e.Record.Digest })
		reject := Reject{Record: e.Record, From: e.From, Reason: problems.Err().Error()}
		return append([]Effect{reject}, a.fetch(e.Now)...)
	}
	m.Version = e.Record.Version
	if a.ready == nil || a.ready.Record.Version < e.Record.Version {
		a.ready = &Adopt{Manifest: m, Record: e.Record, Document: e.Document}
	}
	return append(a.adopt(e.Now), a.fetch(e.Now)...)
}

func (a *Adopter) forget(which func(candidate) bool) {
	a.candidates = slices.DeleteFunc(a.candidates, which)
}

func (a *Adopter) fetchFailed(e FetchFailed) []Effect {
	a.giveUp(e.Record, e.From)
	return a.fetch(e.Now)
}

// adopt puts the fetched manifest in force if that is allowed by now.
func (a *Adopter) adopt(now time.Time) []Effect {
	if a.ready == nil || a.ready.Record.Version <= a.inForce.Version || !a.allowed(now) {
		return nil
	}
	adopted := *a.ready
	a.ready = nil
	a.inForce = adopted.Record
	a.forget(func(c candidate) bool { return c.record.Version <= a.inForce.Version })
	return []Effect{adopted}
}

// allowed reports whether the fetched manifest may be put in force. That is in question
// for the first one only.
func (a *Adopter) allowed(now time.Time) bool {
	version := a.ready.Record.Version
	switch {
	case a.inForce.Version > 0:
		return true
	case a.answered:
		return version >= a.accepted
	}
	return version >= a.remembered && now.Sub(a.started) >= a.settle
}
