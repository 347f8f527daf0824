package prober

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// Status is whether a daemon is taken for live. A higher status overrides a lower one
// of the same refutation.
type Status uint8

// The statuses of a daemon.
const (
	Live Status = iota
	Suspect
	Dead
)

// maxFieldBytes bounds each name and address of an entry.
const maxFieldBytes = 256

// maxRefutation leaves room for refutations above each number that is taken in.
const maxRefutation = 1 << 62

// Entry is what is known of a daemon. The State of the embedded Daemon is not used;
// [Entry.Member] derives it.
type Entry struct {
	member.Daemon
	// Refutation is raised by the daemon itself, to refute a suspicion or its death.
	Refutation uint64
	Status     Status
	// Leaving is never withdrawn for an incarnation.
	Leaving bool
	// EarlierManifest is the highest manifest version that an earlier incarnation had.
	EarlierManifest unit.ManifestVersion
}

// Valid reports whether the entry can be used.
func (e Entry) Valid() bool {
	for _, field := range []string{string(e.ID), string(e.Domain), e.PeerAddress, e.OperatorAddress, e.CallerAddress} {
		if len(field) > maxFieldBytes {
			return false
		}
	}
	return e.ID != "" && e.PeerAddress != "" && e.Status <= Dead && e.Refutation < maxRefutation
}

// Member returns the daemon with the state that follows from the entry.
func (e Entry) Member() member.Daemon {
	d := e.Daemon
	switch {
	case e.Status == Dead:
		d.State = member.Dead
	case e.Leaving:
		d.State = member.Leaving
	case e.Status == Suspect:
		d.State = member.Suspect
	default:
		d.State = member.Live
	}
	return d
}

// Merge returns what follows from two entries of one daemon. It is commutative,
// associative and idempotent.
func Merge(a, b Entry) Entry {
	if a.Incarnation < b.Incarnation {
		a, b = b, a
	}
	if a.Incarnation > b.Incarnation {
		a.EarlierManifest = max(a.EarlierManifest, b.EarlierManifest, b.Manifest)
		return a
	}
	merged := a
	if b.overrides(a) {
		merged = b
	}
	merged.Leaving = a.Leaving || b.Leaving
	merged.Manifest = max(a.Manifest, b.Manifest)
	merged.EarlierManifest = max(a.EarlierManifest, b.EarlierManifest)
	return merged
}

// overrides reports whether e is later than f of the same incarnation. Addresses break
// the tie of two processes that run with one id.
func (e Entry) overrides(f Entry) bool {
	if e.Refutation != f.Refutation {
		return e.Refutation > f.Refutation
	}
	if e.Status != f.Status {
		return e.Status > f.Status
	}
	return slices.Compare(e.fields(), f.fields()) > 0
}

func (e Entry) fields() []string {
	return []string{string(e.Domain), e.PeerAddress, e.OperatorAddress, e.CallerAddress}
}

// same reports whether e and f differ in manifest versions only.
func (e Entry) same(f Entry) bool {
	e.Manifest, e.EarlierManifest = f.Manifest, f.EarlierManifest
	return e == f
}

// shows reports whether e and f look the same in a view, but for the state.
func (e Entry) shows(f Entry) bool {
	return e.Daemon == f.Daemon
}

// Buckets is the number of parts of a [Digest].
const Buckets = 16

// Digest holds a hash of the entries of each bucket.
type Digest [Buckets]uint32

// bucketOf returns the bucket of a daemon.
func bucketOf(id unit.DaemonID) int {
	return int(xxhash.Sum64String(string(id)) % Buckets)
}

// hash returns a hash of what [Entry.same] compares.
func (e Entry) hash() uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range append([]string{string(e.ID)}, e.fields()...) {
		_, _ = d.WriteString(field) // Digest writes don't fail.
		_, _ = d.Write([]byte{0})
	}
	leaving := byte(0)
	if e.Leaving {
		leaving = 1
	}
	_, _ = d.Write([]byte{byte(e.Status), leaving})
	for _, number := range []uint64{uint64(e.Incarnation), e.Refutation} {
		for shift := 0; shift < 64; shift += 8 {
			_, _ = d.Write([]byte{byte(number >> shift)})
		}
	}
	return uint32(d.Sum64())
}
