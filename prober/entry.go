package prober

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// Status is the liveness of a daemon. A higher status overrides a lower one of the same
// refutation number.
type Status uint8

// The statuses of a daemon.
const (
	Live Status = iota
	Suspect
	Dead
)

// maxFieldBytes bounds each name and address of an entry.
const maxFieldBytes = 256

// maxRefutation bounds the refutation numbers that are accepted, so that a refutation of
// any of them does not overflow.
const maxRefutation = 1 << 62

// Entry is the replicated state of a daemon. The State of the embedded Daemon is not
// used; [Entry.Member] derives it.
type Entry struct {
	member.Daemon
	// Refutation is incremented by the daemon itself to refute a suspicion or its death.
	Refutation uint64
	Status     Status
	// Leaving is never withdrawn for an incarnation.
	Leaving bool
	// EarlierManifest is the highest known manifest version of an earlier incarnation.
	EarlierManifest unit.ManifestVersion
}

// Valid reports whether all fields are within their bounds and the id and the peer address
// are set.
func (e Entry) Valid() bool {
	for _, field := range []string{string(e.ID), string(e.Domain), e.PeerAddress, e.OperatorAddress, e.CallerAddress} {
		if len(field) > maxFieldBytes {
			return false
		}
	}
	return e.ID != "" && e.PeerAddress != "" && e.Status <= Dead && e.Refutation < maxRefutation
}

// Member returns the daemon with the state derived from the entry.
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

// Merge combines two entries of one daemon. It is commutative, associative and
// idempotent.
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

// overrides reports whether e is later than f of the same incarnation. The failure domain
// and the addresses break the tie between two processes that run with one id.
func (e Entry) overrides(f Entry) bool {
	if e.Refutation != f.Refutation {
		return e.Refutation > f.Refutation
	}
	if e.Status != f.Status {
		return e.Status > f.Status
	}
	return slices.Compare(e.domainAndAddresses(), f.domainAndAddresses()) > 0
}

func (e Entry) domainAndAddresses() []string {
	return []string{string(e.Domain), e.PeerAddress, e.OperatorAddress, e.CallerAddress}
}

// sameExceptManifests reports whether e and f are equal apart from manifest versions.
func (e Entry) sameExceptManifests(f Entry) bool {
	e.Manifest, e.EarlierManifest = f.Manifest, f.EarlierManifest
	return e == f
}

// sameInView reports whether e and f are equal in a view, apart from the state.
func (e Entry) sameInView(f Entry) bool {
	return e.Daemon == f.Daemon
}

// Buckets is the number of hash buckets of a [Digest].
const Buckets = 16

// Digest holds, for each bucket, the sum of the hashes of its entries.
type Digest [Buckets]uint32

func bucketOf(id unit.DaemonID) int {
	return int(xxhash.Sum64String(string(id)) % Buckets)
}

// hash covers the same fields as sameExceptManifests.
func (e Entry) hash() uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range append([]string{string(e.ID)}, e.domainAndAddresses()...) {
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
