package router

import "time"

const (
	// firstPass is how long an instance that lacked a position is passed over.
	firstPass = 60 * time.Millisecond
	// longestPass is the same after it has lacked positions again and again: it
	// costs reads a round trip to find out that it still does.
	longestPass = 500 * time.Millisecond
)

// Lag remembers that an instance lacked the positions that reads needed, and for how
// long reads pass it over. Each read names the age of the data that it accepts: an
// instance that lacks what is a second old may well have what is two seconds old. The zero
// Lag is that of an instance that lacked nothing. It is not safe for concurrent use.
type Lag struct {
	lacked time.Duration // The greatest age of which it lacked data.
	length time.Duration // Of the present pass.
	until  time.Time
}

// RecordBehind records that the instance lacked the position of a read that accepts data of
// the age. It is passed over for a time that doubles with each pass.
func (l *Lag) RecordBehind(age time.Duration, now time.Time) {
	if now.Before(l.until) { // Sent before the pass began, or of an older age.
		l.lacked = max(l.lacked, age)
		return
	}
	l.lacked = age
	l.length = min(max(firstPass, 2*l.length), longestPass)
	l.until = now.Add(l.length)
}

// RecordCaughtUp records that the instance had the position of such a read.
func (l *Lag) RecordCaughtUp(age time.Duration) {
	if age <= l.lacked {
		*l = Lag{}
	}
}

// Behind reports whether a read that accepts data of the age passes the instance over.
func (l *Lag) Behind(age time.Duration, now time.Time) bool {
	return age <= l.lacked && now.Before(l.until)
}
