package tracker

import (
	"time"

	"tarragonshed.example/unit"
)

// Copy tracks how current a daemon's copy of a table of the platform's store is.
//
// Every response of the store contains the store's newest revision. If the copy includes
// all changes up to that revision, it is as current as the response. If it does not, the
// change may be one of another table, or one that the daemon has not received. A copy of
// an earlier era than the store's is behind at once.
//
// The zero Copy is that of a table that was never read. It is not safe for concurrent use.
type Copy struct {
	// included is the revision up to which the copy includes all changes of the table.
	included unit.Revision
	newest   unit.Revision // The newest known revision of the store.
	asOf     unit.Instant  // When the copy was last known to be current.
	read     bool
}

// Include records that the copy includes all changes up to the revision, according to a
// response to a request that was sent at the given time.
func (c *Copy) Include(r unit.Revision, sent unit.Instant) {
	c.read = true
	c.included = c.included.Max(r)
	c.confirm(r, sent)
}

// Observe records the store's newest revision in a response to a request that was sent at
// the given time, and reports whether the response confirms the copy.
func (c *Copy) Observe(newest unit.Revision, sent unit.Instant) bool {
	if !c.read || c.included.Before(newest) || newest.Era < c.included.Era {
		c.newest = c.newest.Max(newest)
		return false
	}
	c.confirm(newest, sent)
	return true
}

func (c *Copy) confirm(newest unit.Revision, sent unit.Instant) {
	c.newest = c.newest.Max(newest)
	c.asOf = max(c.asOf, sent)
}

// Included returns the revision up to which the copy includes all changes.
func (c *Copy) Included() unit.Revision { return c.included }

// AsOf returns when the copy was last known to be current, or false if the table was never
// read.
func (c *Copy) AsOf() (unit.Instant, bool) { return c.asOf, c.read }

// Behind reports whether the store has a version that the copy may lack, and the copy was
// last known to be current longer than maxAge before now or in an earlier era.
func (c *Copy) Behind(now unit.Instant, maxAge time.Duration) bool {
	if !c.read || !c.included.Before(c.newest) {
		return false
	}
	return c.included.Era < c.newest.Era || now.Sub(c.asOf) > maxAge
}
