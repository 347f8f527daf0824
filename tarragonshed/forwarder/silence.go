package forwarder

import "time"

const (
	// checkInterval is the interval at which the streams are checked.
	checkInterval = 100 * time.Millisecond
	// pingAfter is how long nothing passes on a stream with leases before a ping is sent.
	pingAfter = 400 * time.Millisecond
	// pingTimeout is how long the answer to a ping may take.
	pingTimeout = 500 * time.Millisecond
	// maxSilence is how long a home with leases of a daemon waits for its next message.
	maxSilence = 2 * time.Second
	// silenceCheckInterval is the interval at which a home checks that.
	silenceCheckInterval = 500 * time.Millisecond
	// lateness is how late a check is if this process was probably suspended.
	lateness = 200 * time.Millisecond
)

// pace tells which checks may judge other daemons. After this process was suspended, what
// arrived since may not have been read yet.
type pace struct {
	interval time.Duration
	last     time.Time
	skipped  bool
}

// judges reports whether the check at the given time may judge. It is false for a late check
// that follows one that wasn't, so that a slow VM still judges.
func (p *pace) judges(now time.Time) bool {
	late := now.Sub(p.last) >= p.interval+lateness
	p.last, p.skipped = now, late && !p.skipped
	return !p.skipped
}

// traffic is what a daemon knows of the messages on a stream.
type traffic struct {
	// sinceLeases is when the stream last began to have leases. It is zero if it has none.
	sinceLeases time.Time
	// readAt and sentAt are when data arrived and a message was written last.
	readAt, sentAt time.Time
	// pingedAt is when a ping without an answer was sent. It is zero if there is none.
	pingedAt time.Time
}

// action is what a check of a stream requires.
type action int

const (
	actionNone action = iota
	// actionPing means that a ping is due.
	actionPing
	// actionEnd means that the daemon no longer answers and the stream has to be ended.
	actionEnd
)

// check decides what is due on a stream. The home needs messages, too, to notice that the
// sender is lost, so a ping is due if either direction is quiet.
func (t traffic) check(now time.Time) action {
	if t.sinceLeases.IsZero() {
		return actionNone
	}
	if !t.pingedAt.IsZero() && !t.readAt.After(t.pingedAt) {
		if now.Sub(t.pingedAt) >= pingTimeout {
			return actionEnd
		}
		return actionNone
	}
	quietSince := t.readAt
	if t.sentAt.Before(quietSince) {
		quietSince = t.sentAt
	}
	if now.Sub(quietSince) >= pingAfter && now.Sub(t.sinceLeases) >= pingAfter {
		return actionPing
	}
	return actionNone
}
