package manifest

import "fmt"

// Key is a secret that identifies a caller. No format verb prints it.
type Key string

// redactedKey is printed in place of a [Key].
const redactedKey = "[redacted]"

// Format implements [fmt.Formatter].
func (Key) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redactedKey)) }

// MarshalText implements [encoding.TextMarshaler].
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }
