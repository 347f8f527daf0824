package forwarder

import "time"

// IdleTimeout is how long a stream without a lease is kept.
const IdleTimeout = idleTimeout

// CloseUnused closes the streams that are unused at the given time.
func (f *Forwarder) CloseUnused(now time.Time) { f.closeUnused(now) }

// Checked returns the number of streams that are checked for silence.
func (f *Forwarder) Checked() int { return len(f.openStreams()) }
