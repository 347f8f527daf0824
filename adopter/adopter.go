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
// platform if that answers. If it doesn't answer for the time [DefaultSettle], the
// first manifest is the highest that any peer offers, but never a lower one than peers
// remember of the daemon's earlier incarnation.
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
	"fmt"
	"slices"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// DefaultSettle is how long a daemon without a manifest waits for the platform before
// it accepts what its peers have.
const DefaultSettle = 3 * time.Second

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

// Heard tells that a source knows of an accepted version.
type Heard struct {
	Now    time.Time
	Record Record
	From   Source
	// Holds tells that the source can deliver the document.
	Holds bool
}

// Answered tells that the platform's row was read and that no manifest is accepted.
type Answered struct{ Now time.Time }

// Remembered tells which version a peer remembers of this daemon.
type Remembered struct{ Version unit.ManifestVersion }

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

func (Heard) event()       {}
func (Answered) event()    {}
func (Remembered) event()  {}
func (Fetched) event()     {}
func (FetchFailed) event() {}
func (Tick) event()        {}

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

// candidate is a version that is to be put in force.
type candidate struct {
	record   Record
	sources  []Source
	document []byte
	manifest *manifest.Manifest
}

// Adopter decides which manifest is in force. It is not safe for concurrent use.
type Adopter struct {
	settle   time.Duration
	started  time.Time
	answered bool
	floor    unit.ManifestVersion
	inForce  Record
	next     candidate
	fetching time.Time
	rejected map[string]bool
}

// Option changes an Adopter under construction.
type Option func(*Adopter)

// WithSettle replaces [DefaultSettle].
func WithSettle(d time.Duration) Option {
	return func(a *Adopter) { a.settle = d }
}

// New returns an Adopter of a daemon that starts now.
func New(now time.Time, options ...Option) *Adopter {
	a := &Adopter{settle: DefaultSettle, started: now, rejected: make(map[string]bool)}
	for _, option := range options {
		option(a)
	}
	return a
}

// InForce returns the record in force. It is zero while there is none.
func (a *Adopter) InForce() Record { return a.inForce }

// Known returns the highest record that the daemon has heard of.
func (a *Adopter) Known() Record {
	if a.next.record.Version > a.inForce.Version {
		return a.next.record
	}
	return a.inForce
}

// Step takes one event and returns what is to be done.
func (a *Adopter) Step(e Event) []Effect {
	switch e := e.(type) {
	case Heard:
		return a.heard(e)
	case Answered:
		a.answered = true
		return a.adopt(e.Now)
	case Remembered:
		a.floor = max(a.floor, e.Version)
	case Fetched:
		return a.fetched(e)
	case FetchFailed:
		return a.fetchFailed(e)
	case Tick:
		return append(a.adopt(e.Now), a.fetch(e.Now)...)
	}
	return nil
}

func (a *Adopter) heard(e Heard) []Effect {
	if e.From == Platform {
		a.answered = true
	}
	if !e.Record.Valid() || a.rejected[e.Record.Digest] {
		return nil
	}
	if e.Record.Version <= a.inForce.Version {
		return a.contradiction(e, a.inForce)
	}
	switch {
	case e.Record.Version < a.next.record.Version:
		return nil
	case e.Record.Version > a.next.record.Version:
		a.next = candidate{record: e.Record}
		a.fetching = time.Time{}
	case e.Record.Digest != a.next.record.Digest && e.From == Platform:
		a.next = candidate{record: e.Record} // The platform's word counts.
		a.fetching = time.Time{}
	case e.Record.Digest != a.next.record.Digest:
		return a.contradiction(e, a.next.record)
	}
	if e.Holds && !slices.Contains(a.next.sources, e.From) {
		a.next.sources = append(a.next.sources, e.From)
	}
	return append(a.adopt(e.Now), a.fetch(e.Now)...)
}

// contradiction rejects a record that has another digest than a known one of the
// same version.
func (a *Adopter) contradiction(e Heard, known Record) []Effect {
	if e.Record.Version != known.Version || e.Record.Digest == known.Digest {
		return nil
	}
	reason := fmt.Sprintf("version %d has the digest %.12s", known.Version, known.Digest)
	return []Effect{Reject{Record: e.Record, From: e.From, Reason: reason}}
}

// fetch asks the first source for the next document unless that is under way.
func (a *Adopter) fetch(now time.Time) []Effect {
	if a.next.document != nil || len(a.next.sources) == 0 {
		return nil
	}
	if !a.fetching.IsZero() {
		if now.Sub(a.fetching) < fetchTimeout {
			return nil
		}
		a.dropSource(a.next.sources[0])
		if len(a.next.sources) == 0 {
			a.fetching = time.Time{}
			return nil
		}
	}
	a.fetching = now
	return []Effect{Fetch{Record: a.next.record, From: a.next.sources[0]}}
}

func (a *Adopter) dropSource(source Source) {
	a.next.sources = slices.DeleteFunc(a.next.sources, func(s Source) bool { return s == source })
}

func (a *Adopter) fetched(e Fetched) []Effect {
	if e.Record.Version != a.next.record.Version || e.Record.Digest != a.next.record.Digest || a.next.document != nil {
		return nil // Overtaken by a later version.
	}
	if manifest.Digest(e.Document) != e.Record.Digest {
		reject := Reject{Record: e.Record, From: e.From, Reason: "the document does not have the digest of the record"}
		return append([]Effect{reject}, a.fetchFailed(FetchFailed{Now: e.Now, Record: e.Record, From: e.From})...)
	}
	m, problems := manifest.Parse(e.Document)
	if m == nil {
		a.rejected[e.Record.Digest] = true
		a.next = candidate{}
		a.fetching = time.Time{}
		return []Effect{Reject{Record: e.Record, From: e.From, Reason: problems.Err().Error()}}
	}
	m.Version = e.Record.Version
	a.next.manifest, a.next.document = m, e.Document
	return a.adopt(e.Now)
}

func (a *Adopter) fetchFailed(e FetchFailed) []Effect {
	if e.Record.Version != a.next.record.Version || a.next.document != nil {
		return nil
	}
	a.fetching = time.Time{}
	a.dropSource(e.From)
	return a.fetch(e.Now)
}

// adopt puts the next manifest in force if that is allowed by now.
func (a *Adopter) adopt(now time.Time) []Effect {
	if a.next.document == nil {
		return nil
	}
	first := a.inForce.Version == 0
	if first && !a.answered && now.Sub(a.started) < a.settle {
		return nil
	}
	if a.next.record.Version < a.floor {
		return nil
	}
	a.inForce = a.next.record
	adopted := Adopt{Manifest: a.next.manifest, Record: a.next.record, Document: a.next.document}
	a.next = candidate{}
	a.fetching = time.Time{}
	return []Effect{adopted}
}
