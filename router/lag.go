package router

import "time"

const (
	// initialBackoff is how long reads skip an instance after the first read that found
	// it behind.
	initialBackoff = 60 * time.Millisecond
	// maxBackoff bounds the exponential backoff. Each read that probes an instance
	// which is still behind loses a round trip.
	maxBackoff = 500 * time.Millisecond
	// farBehindBound is the staleness bound from which an unmet read shows that an instance
	// is far behind. Below it the instance may only lack the latest writes.
	farBehindBound = time.Second
	// lagEvidenceTimeout is how long an unmet read is taken as evidence of the present lag.
	lagEvidenceTimeout = 2 * time.Second
)

// Lag records that an instance was behind the positions that reads required, and for how
// long reads skip it. It compares staleness bounds, the maximum age of the data that a
// read accepts: an instance that lacks a write of one second ago may well have applied all
// writes older than two seconds. The zero Lag is that of an instance that is not known to
// be behind. It is not safe for concurrent use.
type Lag struct {
	unmetStaleness time.Duration // Largest staleness bound that the instance did not meet.
	backoff        time.Duration // Length of the current backoff.
	until          time.Time     // End of the current backoff.

	farBehind      time.Duration // Smallest unmet bound of farBehindBound or more.
	farBehindSince time.Time     // First unmet read with such a bound, or zero.
	farBehindAt    time.Time     // Last such read.
}

// RecordBehind records that the instance was behind the position required by a read with
// the given staleness bound. Reads skip the instance for a time that doubles with each
// backoff up to maxBackoff.
func (l *Lag) RecordBehind(staleness time.Duration, now time.Time) {
	if staleness >= farBehindBound {
		if l.FarBehindFor(now) == 0 {
			l.farBehind, l.farBehindSince = staleness, now
		}
		l.farBehind, l.farBehindAt = min(l.farBehind, staleness), now
	}
	if now.Before(l.until) { // Sent before the backoff began, or with a larger bound.
		l.unmetStaleness = max(l.unmetStaleness, staleness)
		return
	}
	l.unmetStaleness = staleness
	l.backoff = min(max(initialBackoff, 2*l.backoff), maxBackoff)
	l.until = now.Add(l.backoff)
}

// RecordCaughtUp records that the instance had reached the position required by a read
// with the given staleness bound. It ends the backoff, except if the bound is larger than
// all those that the instance did not meet: such a read shows nothing about smaller bounds.
func (l *Lag) RecordCaughtUp(staleness time.Duration) {
	if staleness <= l.farBehind {
		l.farBehind, l.farBehindSince, l.farBehindAt = 0, time.Time{}, time.Time{}
	}
	if staleness <= l.unmetStaleness {
		l.unmetStaleness, l.backoff, l.until = 0, 0, time.Time{}
	}
}

// Behind reports whether a read with the given staleness bound skips the instance.
func (l *Lag) Behind(staleness time.Duration, now time.Time) bool {
	return staleness <= l.unmetStaleness && now.Before(l.until)
}

// FarBehindFor returns for how long the instance has not met reads that accept data of
// farBehindBound or older. It is zero if the instance is not known to be far behind.
func (l *Lag) FarBehindFor(now time.Time) time.Duration {
	if l.farBehindAt.IsZero() || now.Sub(l.farBehindAt) > lagEvidenceTimeout {
		return 0
	}
	return max(now.Sub(l.farBehindSince), 1)
}
