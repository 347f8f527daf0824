package adopter

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"tarragonshed.example/unit"
)

// Names of the rows and objects that hold manifests.
const (
	// Table holds all rows.
	Table = "manifest"
	// CurrentKey is the row of the accepted version.
	CurrentKey = "current"
	// HistoryPrefix comes before the version of each accepted manifest.
	HistoryPrefix = "history/"
	pushPrefix    = "push/"
	objectPrefix  = "manifest/"
)

// maxPushIDBytes bounds a push id.
const maxPushIDBytes = 64

// digestBytes is the length of a digest.
const digestBytes = 32

// PushID identifies a push over all of its attempts.
type PushID string

// Record is an accepted version as the platform's rows hold it.
type Record struct {
	Version unit.ManifestVersion `json:"version"`
	// Digest is the SHA-256 of the document, in hex.
	Digest string `json:"digest"`
	PushID PushID `json:"push-id"`
	// Author tells who pushed, as the operator API knows it.
	Author string `json:"author,omitempty"`
	// PushedAt is the time of the push in nanoseconds since the Unix epoch, by the
	// clock of the daemon that took it.
	PushedAt int64 `json:"pushed-at,omitempty"`
}

// Valid reports whether the record names a version and a well-formed digest.
func (r Record) Valid() bool {
	decoded, err := hex.DecodeString(r.Digest)
	return err == nil && len(decoded) == digestBytes && r.Version > 0
}

// Encode returns the value of a row.
func (r Record) Encode() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // Strings and numbers always encode.
	}
	return encoded
}

// DecodeRecord reads the value of a row.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("adopter: record: %w", err)
	}
	if !r.Valid() {
		return Record{}, fmt.Errorf("adopter: record %q has no version or digest", value)
	}
	return r, nil
}

// HistoryKey returns the key of the row of a version. Keys are ordered by version.
func HistoryKey(v unit.ManifestVersion) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, v)
}

// PushKey returns the key of the row of a push.
func PushKey(id PushID) string { return pushPrefix + string(id) }

// ObjectName returns the name of the object of a document.
func ObjectName(digest string) string { return objectPrefix + digest }

// Valid reports whether the id has 1 to 64 letters, digits and hyphens.
func (id PushID) Valid() bool {
	if len(id) == 0 || len(id) > maxPushIDBytes {
		return false
	}
	for _, c := range id {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
