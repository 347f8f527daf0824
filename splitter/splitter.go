// Package splitter divides documents into parts, so that a receiver only fetches the parts that
// it lacks: those that differ from its earlier version, and those that an attempt that failed
// did not bring.
//
// # Parts
//
// The boundaries of the parts depend on the bytes before them and not on their position. A
// change therefore affects the parts that it is in, at most one part behind it, and no others.
// A part is named by its digest, so it does not matter from which version, which attempt or
// which sender it is.
//
// # Usage
//
//	parts := splitter.Split(body)              // The sender names its parts,
//	digests := splitter.Digests(parts)
//
//	var a splitter.Assembler                   // and the receiver asks for those that it lacks.
//	a.SetBase(earlier)
//	for _, d := range a.Missing(digests) {
//		err := a.Add(d, receive(d))
//		...
//	}
//	body, complete := a.Join(digests)
package splitter

import (
	"crypto/sha256"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPart is the minimum size of a part in bytes. The last part may be smaller.
	minPart = 1 << 10
	// MaxPart is the maximum size of a part in bytes.
	MaxPart = 16 << 10
	// boundaryBits is the number of bits of the rolling hash that are zero at a boundary. A
	// part has minPart + 2^boundaryBits bytes on average.
	boundaryBits = 11
	// digestBytes is the size of a digest. Nobody can find two parts with the same one.
	digestBytes = 16
)

// boundaryMask selects the highest bits of the rolling hash, which depend on the last 64 bytes.
const boundaryMask = (1<<boundaryBits - 1) << (64 - boundaryBits)

// Digest names a part: the beginning of the SHA-256 of its body.
type Digest [digestBytes]byte

// Part is a part of a document.
type Part struct {
	Digest Digest
	Body   []byte
}

// ErrDigest means that the body of a part does not have the digest that names the part.
var ErrDigest = errors.New("splitter: the part does not have its digest")

// gear has a random number for each value of a byte. It must be the same in all daemons.
var gear = func() (table [256]uint64) {
	for n := range table {
		table[n] = xxhash.Sum64([]byte{byte(n)})
	}
	return table
}()

// Split returns the parts of the document in order. Their bodies are slices of it.
func Split(body []byte) []Part {
	var parts []Part
	for len(body) > 0 {
		n := firstBoundary(body)
		parts = append(parts, Part{Digest: digestOf(body[:n]), Body: body[:n:n]})
		body = body[n:]
	}
	return parts
}

// firstBoundary returns the size of the first part.
func firstBoundary(body []byte) int {
	if len(body) <= minPart {
		return len(body)
	}
	end := min(len(body), MaxPart)
	var hash uint64
	for n, b := range body[:end] {
		hash = hash<<1 + gear[b]
		if n >= minPart && hash&boundaryMask == 0 {
			return n + 1
		}
	}
	return end
}

func digestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(sum[:digestBytes])
}

// Digests returns the digests of the parts.
func Digests(parts []Part) []Digest {
	digests := make([]Digest, len(parts))
	for n, p := range parts {
		digests[n] = p.Digest
	}
	return digests
}

// Assembler joins documents from parts that it has received or knows from an earlier version.
// The zero Assembler knows none. It is not safe for concurrent use.
type Assembler struct {
	base     map[Digest][]byte
	received map[Digest][]byte
}

// SetBase sets the document whose parts are known, in place of the one before. The caller must
// not modify it afterwards.
func (a *Assembler) SetBase(body []byte) {
	a.base = make(map[Digest][]byte)
	for _, p := range Split(body) {
		a.base[p.Digest] = p.Body
	}
}

// Missing returns the parts that are neither in the base nor received, in order. It forgets
// received parts that the document does not have.
func (a *Assembler) Missing(document []Digest) []Digest {
	var missing []Digest
	kept := make(map[Digest][]byte)
	wanted := make(map[Digest]bool)
	for _, d := range document {
		if body, ok := a.received[d]; ok {
			kept[d] = body
		} else if _, ok := a.base[d]; !ok && !wanted[d] {
			wanted[d] = true
			missing = append(missing, d)
		}
	}
	a.received = kept
	return missing
}

// Add records a received part. The error is [ErrDigest] if it is not the named one.
func (a *Assembler) Add(d Digest, body []byte) error {
	if digestOf(body) != d {
		return ErrDigest
	}
	if a.received == nil {
		a.received = make(map[Digest][]byte)
	}
	a.received[d] = body
	return nil
}

// Join returns the document with the given parts. It returns false if one is missing.
func (a *Assembler) Join(document []Digest) ([]byte, bool) {
	var body []byte
	for _, d := range document {
		part, ok := a.received[d]
		if !ok {
			part, ok = a.base[d]
		}
		if !ok {
			return nil, false
		}
		body = append(body, part...)
	}
	return body, true
}
