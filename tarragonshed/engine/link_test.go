package engine

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestClosedLinkEnds: a connection that is given up while more replies are owed than are
// kept for those who wait leaves nothing behind.
func TestClosedLinkEnds(t *testing.T) {
	is := is.New(t)
	replies := 3 * maxWaiting
	conn := &fakeConn{
		instance: &fakeInstance{answer: good}, replies: make(chan Reply, replies),
		closed: make(chan struct{}), state: Idle,
	}
	gone := make(chan struct{})
	l := newLink(1, conn, new(atomic.Int64), func() { close(gone) })
	for range replies {
		is.NoErr(l.send(Request{ID: "q", Statement: Read{Text: "1"}}))
	}
	l.Close()
	<-gone
}
