package adopter

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"tarragonshed.example/unit"
)

// Names of the table, rows and objects that hold manifests.
const (
	// Table is the table of all rows.
	Table = "manifest"
	// CurrentKey is the key of the row of the accepted version.
	CurrentKey = "current"
	// HistoryPrefix precedes the version in the key of a history row.
	HistoryPrefix = "history/"
	pushPrefix    = "push/"
	objectPrefix  = "manifest/"
)

const maxPushIDBytes = 64

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// PushID identifies a push. All attempts of one push share it, which makes retries
// idempotent.
type PushID string

// Record describes an accepted version, as stored in the platform's rows.
type Record struct {
	Version unit.ManifestVersion `json:"version"`
	// Digest is the SHA-256 of the document, in hex.
	Digest string `json:"digest"`
	PushID PushID `json:"push-id"`
	// Author is the name of the operator who pushed, as determined by the operator API.
	Author string `json:"author,omitempty"`
	// PushedAt is the time of the push in nanoseconds since the Unix epoch, by the
	// clock of the daemon that received it.
	PushedAt int64 `json:"pushed-at,omitempty"`
}

// Valid reports whether the record has a version and a well-formed digest.
func (r Record) Valid() bool {
	decoded, err := hex.DecodeString(r.Digest)
	return err == nil && len(decoded) == digestBytes && r.Version > 0
}

// Encode returns the JSON encoding of the record, which is the value of its row.
func (r Record) Encode() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // Cannot happen: strings and integers always encode.
	}
	return encoded
}

// DecodeRecord decodes the value of a row. It returns an error if the record is not valid.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("adopter: decode record: %w", err)
	}
	if !r.Valid() {
		return Record{}, fmt.Errorf("adopter: record %q has no version or no valid digest", value)
	}
	return r, nil
}

// HistoryKey returns the key of the history row of a version. The order of the keys is the
// order of the versions.
func HistoryKey(v unit.ManifestVersion) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, v)
}

// PushKey returns the key of the push row of a push id.
func PushKey(id PushID) string { return pushPrefix + string(id) }

// ObjectName returns the name of the object that holds the document with the digest.
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
