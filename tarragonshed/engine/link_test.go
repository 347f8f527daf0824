package engine

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestClosedLinkStopsReceiving checks that the receiving goroutine of a closed link ends,
// even if more replies are in flight than the link buffers.
func TestClosedLinkStopsReceiving(t *testing.T) {
	is := is.New(t)
	replies := 3 * replyBuffer
	conn := &fakeConn{
		instance: &fakeInstance{answer: succeed}, replies: make(chan Reply, replies),
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
