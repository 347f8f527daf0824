package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/tracker"
	"tarragonshed.example/unit"
)

func TestCopy(t *testing.T) {
	const maxAge = 10 * time.Nanosecond
	at := func(version uint64) unit.Revision { return unit.Revision{Era: 1, Version: version} }
	// checkAsOf checks since when the copy is known to be current.
	checkAsOf := func(t *testing.T, c *tracker.Copy, want unit.Instant) {
		t.Helper()
		is := is.New(t)
		asOf, read := c.AsOf()
		is.True(read)
		is.Equal(asOf, want)
	}
	t.Run("that was never read has no age", func(t *testing.T) {
		is := is.New(t)
		var c tracker.Copy
		is.True(!c.Observe(at(5), 1))
		_, read := c.AsOf()
		is.True(!read)
		is.True(!c.Behind(100, maxAge))
	})
	t.Run("is confirmed by a response without a newer version", func(t *testing.T) {
		is := is.New(t)
		var c tracker.Copy
		c.Include(at(5), 1)
		is.True(c.Observe(at(5), 20))
		checkAsOf(t, &c, 20)
		is.True(!c.Behind(100, maxAge)) // Nothing newer is known, however long ago.
	})
	t.Run("is behind when a newer version is known for longer than the bound", func(t *testing.T) {
		is := is.New(t)
		var c tracker.Copy
		c.Include(at(5), 1)
		is.True(!c.Observe(at(6), 20))
		checkAsOf(t, &c, 1)
		is.True(!c.Behind(11, maxAge))
		is.True(c.Behind(12, maxAge))
		c.Include(at(6), 13)
		is.True(!c.Behind(100, maxAge))
		checkAsOf(t, &c, 13)
	})
	t.Run("is not confirmed by a response that was requested earlier", func(t *testing.T) {
		var c tracker.Copy
		c.Include(at(5), 10)
		c.Observe(at(5), 4)
		checkAsOf(t, &c, 10)
	})
	t.Run("of an earlier era is behind at once", func(t *testing.T) {
		is := is.New(t)
		var c tracker.Copy
		c.Include(at(5), 10)
		restored := unit.Revision{Era: 2, Version: 3}
		is.True(!c.Observe(restored, 11))
		is.True(c.Behind(11, maxAge))
		c.Include(restored, 12)
		is.True(!c.Behind(12, maxAge))
		is.Equal(c.Included(), restored)
	})
	t.Run("is not confirmed by a response of an earlier era", func(t *testing.T) {
		is := is.New(t)
		var c tracker.Copy
		c.Include(unit.Revision{Era: 2, Version: 3}, 10)
		is.True(!c.Observe(at(3), 20))
		checkAsOf(t, &c, 10)
	})
}
