package tracker

import (
	"time"

	"tarragonshed.example/unit"
)

// Copy tracks how current a daemon's copy of a table of the platform's store is.
//
// Every response of the store contains the store's newest version. If the copy includes
// all changes up to that version, it is as current as the response. If it does not, the
// change may be one of another table, or one that the daemon has not received.
//
// The zero Copy is that of a table that was never read. It is not safe for concurrent use.
type Copy struct {
	// included is the version up to which the copy includes all changes of the table.
	included uint64
	newest   uint64       // The newest known version of the store.
	asOf     unit.Instant // When the copy was last known to be current.
	read     bool
}

// Include records that the copy includes all changes up to the version, according to a
// response to a request that was sent at the given time.
func (c *Copy) Include(version uint64, sent unit.Instant) {
	c.read = true
	c.included = max(c.included, version)
	c.confirm(version, sent)
}

// Observe records the store's newest version in a response to a request that was sent at
// the given time, and reports whether the response confirms the copy.
func (c *Copy) Observe(newest uint64, sent unit.Instant) bool {
	if !c.read || newest > c.included {
		c.newest = max(c.newest, newest)
		return false
	}
	c.confirm(newest, sent)
	return true
}

func (c *Copy) confirm(newest uint64, sent unit.Instant) {
	c.newest = max(c.newest, newest)
	c.asOf = max(c.asOf, sent)
}

// Included returns the version up to which the copy includes all changes.
func (c *Copy) Included() uint64 { return c.included }

// AsOf returns when the copy was last known to be current, or false if the table was never
// read.
func (c *Copy) AsOf() (unit.Instant, bool) { return c.asOf, c.read }

// Behind reports whether the store has a version that the copy may lack, and the copy was
// last known to be current longer than maxAge before now.
func (c *Copy) Behind(now unit.Instant, maxAge time.Duration) bool {
	return c.read && c.newest > c.included && now.Sub(c.asOf) > maxAge
}
