// Package adopter decides when a daemon puts a manifest in force and how a push of a
// manifest is accepted. [Adopter] and [Push] are state machines: their caller supplies
// the clock and performs all reads and writes.
//
// # Acceptance
//
// The document is stored under its digest first. Then one transaction of the platform's
// table service accepts it. The transaction replaces the row "current", on the condition
// that the row still is the one that the push is based on, and adds one row for the
// version and one for the push id. A [Push] also resolves transactions whose response was
// lost.
//
// # Adoption
//
// A daemon receives accepted versions as [Record] values, from the platform's row and from
// other daemons. An [Adopter] fetches the document of the highest one and puts it in
// force. The version in force never decreases, so late responses, replayed messages and
// stale peers have no effect.
//
// A daemon does not persist manifests over a restart. If the platform responds, the first
// manifest in force is at least the version that the platform has accepted. If it does not
// respond within [DefaultPlatformTimeout], the first manifest in force is the highest
// version that any peer offers, but never one below the version that peers remember of the
// daemon's earlier incarnation.
//
// A version is not known to be valid until its document has been fetched. A version whose
// document cannot be fetched from any source does not prevent the adoption of lower ones.
//
// # Usage
//
//	a := adopter.New(now)
//	for _, effect := range a.Step(adopter.RecordReceived{Now: now, Record: record, From: adopter.Peer("d2")}) {
//		switch effect := effect.(type) {
//		case adopter.Fetch:
//			go fetch(effect) // Reports Fetched or FetchFailed.
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

// DefaultPlatformTimeout is the time that a daemon without a manifest waits for the
// platform before it adopts a version that only its peers have reported.
const DefaultPlatformTimeout = 3 * time.Second

// fetchTimeout is the time after which a fetch without a result counts as failed.
const fetchTimeout = 5 * time.Second

// Source is the origin of a record: a daemon, or the platform if it is empty.
type Source unit.DaemonID

// Platform is the platform as a source.
const Platform Source = ""

// Peer returns the daemon as a source.
func Peer(id unit.DaemonID) Source { return Source(id) }

// Event is an input of an [Adopter].
type Event interface{ event() }

// RecordReceived reports that the platform has accepted a version, or that a daemon has it
// in force.
type RecordReceived struct {
	Now    time.Time
	Record Record
	// From is a source of the document.
	From Source
}

// NoneAccepted reports that the platform's row was read and that no manifest is accepted.
type NoneAccepted struct{ Now time.Time }

// EarlierManifest reports the version that a peer remembers of an earlier incarnation of
// this daemon.
type EarlierManifest struct{ Version unit.ManifestVersion }

// Fetched reports the document that a [Fetch] effect requested.
type Fetched struct {
	Now      time.Time
	Record   Record
	From     Source
	Document []byte
}

// FetchFailed reports that a [Fetch] effect had no result.
type FetchFailed struct {
	Now    time.Time
	Record Record
	From   Source
}

// Tick reports that time has passed.
type Tick struct{ Now time.Time }

func (RecordReceived) event()  {}
func (NoneAccepted) event()    {}
func (EarlierManifest) event() {}
func (Fetched) event()         {}
func (FetchFailed) event()     {}
func (Tick) event()            {}

// Effect is an action that the caller of [Adopter.Step] has to carry out.
type Effect interface{ effect() }

// Fetch requests the document of a record.
type Fetch struct {
	Record Record
	From   Source
}

// Adopt requests that a manifest is put in force.
type Adopt struct {
	Manifest *manifest.Manifest
	Record   Record
	Document []byte
}

// Reject reports that a record is not put in force, and the reason.
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

// maxCandidates bounds the number of versions that are kept besides the one in force.
const maxCandidates = 4

// Adopter decides which manifest is in force. It is not safe for concurrent use.
type Adopter struct {
	platformTimeout time.Duration
	started         time.Time
	inForce         Record
	candidates      []candidate // Ordered by descending version.
	fetching        *Fetch
	fetchStart      time.Time
	ready           *Adopt // Fetched, but not allowed to be put in force yet.
	rejected        map[string]bool

	// platformRead reports whether the platform's row was read.
	platformRead bool
	// acceptedVersion is the highest version that the platform's row has shown.
	acceptedVersion unit.ManifestVersion
	// earlierManifest is the highest version that peers remember of an earlier
	// incarnation of this daemon.
	earlierManifest unit.ManifestVersion
}

// Option configures an [Adopter].
type Option func(*Adopter)

// WithPlatformTimeout replaces [DefaultPlatformTimeout].
func WithPlatformTimeout(d time.Duration) Option {
	return func(a *Adopter) { a.platformTimeout = d }
}

// New returns an Adopter of a daemon that starts at now.
func New(now time.Time, options ...Option) *Adopter {
	a := &Adopter{platformTimeout: DefaultPlatformTimeout, started: now, rejected: make(map[string]bool)}
	for _, option := range options {
		option(a)
	}
	return a
}

// InForce returns the record in force, or the zero value if there is none.
func (a *Adopter) InForce() Record { return a.inForce }

// Step handles one event and returns the effects that the caller has to carry out.
func (a *Adopter) Step(e Event) []Effect {
	switch e := e.(type) {
	case RecordReceived:
		return a.recordReceived(e)
	case NoneAccepted:
		a.platformRead = true
		return a.adopt(e.Now)
	case EarlierManifest:
		a.earlierManifest = max(a.earlierManifest, e.Version)
	case Fetched:
		return a.fetched(e)
	case FetchFailed:
		return a.fetchFailed(e)
	case Tick:
		return append(a.adopt(e.Now), a.fetch(e.Now)...)
	}
	return nil
}

func (a *Adopter) recordReceived(e RecordReceived) []Effect {
	if !e.Record.Valid() {
		return nil
	}
	if e.From == Platform {
		a.platformRead = true
		a.acceptedVersion = max(a.acceptedVersion, e.Record.Version)
	}
	if a.rejected[e.Record.Digest] {
		return nil
	}
	if e.Record.Version <= a.inForce.Version {
		return a.rejectConflict(e, a.inForce)
	}
	effects := a.addCandidate(e)
	return append(append(effects, a.adopt(e.Now)...), a.fetch(e.Now)...)
}

// addCandidate adds the source to the candidate of the version. If two records of one
// version have different digests, the platform's record wins, or the first one if neither
// is from the platform.
func (a *Adopter) addCandidate(e RecordReceived) []Effect {
	index, found := slices.BinarySearchFunc(a.candidates, e.Record.Version, func(c candidate, v unit.ManifestVersion) int {
		return cmp.Compare(v, c.record.Version)
	})
	if !found {
		a.candidates = slices.Insert(a.candidates, index, candidate{record: e.Record})
	}
	c := &a.candidates[index]
	if c.record.Digest != e.Record.Digest {
		if e.From != Platform {
			return a.rejectConflict(e, c.record)
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

// rejectConflict rejects a record whose digest differs from that of a known record of the
// same version.
func (a *Adopter) rejectConflict(e RecordReceived, known Record) []Effect {
	if e.Record.Version != known.Version || e.Record.Digest == known.Digest {
		return nil
	}
	reason := fmt.Sprintf("version %d is known with another digest, %.12s", known.Version, known.Digest)
	return []Effect{Reject{Record: e.Record, From: e.From, Reason: reason}}
}

// fetch requests the document of the highest candidate, unless it is being fetched or
// has been fetched already.
func (a *Adopter) fetch(now time.Time) []Effect {
	if a.fetching != nil && now.Sub(a.fetchStart) >= fetchTimeout {
		a.dropSource(a.fetching.Record, a.fetching.From)
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

// dropSource removes a source from a candidate, and the candidate with its last source. A
// later record of the version adds the candidate again.
func (a *Adopter) dropSource(record Record, from Source) {
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
		return nil // The version is no longer a candidate.
	}
	if manifest.Digest(e.Document) != e.Record.Digest {
		a.dropSource(e.Record, e.From)
		reject := Reject{Record: e.Record, From: e.From, Reason: "the document does not match the digest of the record"}
		return append([]Effect{reject}, a.fetch(e.Now)...)
	}
	m, problems := manifest.Parse(e.Document)
	if m == nil {
		a.rejected[e.Record.Digest] = true
		a.dropCandidates(func(c candidate) bool { return c.record.Digest == e.Record.Digest })
		reject := Reject{Record: e.Record, From: e.From, Reason: problems.Err().Error()}
		return append([]Effect{reject}, a.fetch(e.Now)...)
	}
	m.Version = e.Record.Version
	if a.ready == nil || a.ready.Record.Version < e.Record.Version {
		a.ready = &Adopt{Manifest: m, Record: e.Record, Document: e.Document}
	}
	return append(a.adopt(e.Now), a.fetch(e.Now)...)
}

func (a *Adopter) dropCandidates(match func(candidate) bool) {
	a.candidates = slices.DeleteFunc(a.candidates, match)
}

func (a *Adopter) fetchFailed(e FetchFailed) []Effect {
	a.dropSource(e.Record, e.From)
	return a.fetch(e.Now)
}

// adopt puts the fetched manifest in force if mayAdopt allows it.
func (a *Adopter) adopt(now time.Time) []Effect {
	if a.ready == nil || a.ready.Record.Version <= a.inForce.Version || !a.mayAdopt(now) {
		return nil
	}
	adopted := *a.ready
	a.ready = nil
	a.inForce = adopted.Record
	a.dropCandidates(func(c candidate) bool { return c.record.Version <= a.inForce.Version })
	return []Effect{adopted}
}

// mayAdopt reports whether the fetched manifest may be put in force. Only the first
// manifest is subject to conditions.
func (a *Adopter) mayAdopt(now time.Time) bool {
	version := a.ready.Record.Version
	switch {
	case a.inForce.Version > 0:
		return true
	case a.platformRead:
		return version >= a.acceptedVersion
	}
	return version >= a.earlierManifest && now.Sub(a.started) >= a.platformTimeout
}
