package home_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/home"
)

// mutedConn is a connection on which the startup of control connections fails while
// mute is set.
type mutedConn struct {
	net.Conn
	mute *atomic.Bool
}

// Write fails for the startup message of a control connection.
func (m *mutedConn) Write(p []byte) (int, error) {
	if m.mute.Load() && bytes.Contains(p, []byte(controller.ApplicationName)) {
		return 0, net.ErrClosed
	}
	return m.Conn.Write(p)
}

// TestWriteOutlivesHome guards against losing the answer to a write when the daemon
// ceases to be a home of the instance after it sent the write and before it received
// a report of the instance.
func TestWriteOutlivesHome(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.table(t)
	var mute atomic.Bool
	mute.Store(true)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.Default(ctx, network, address)
		return &mutedConn{Conn: inner, mute: &mute}, err
	}
	view := member.View{Self: "d2", Daemons: []member.Daemon{{ID: "d1", Domain: "lautoka-shed", State: member.Live}}}
	secondHolder := holder.New(view)
	secondHolder.AdoptManifest(r.manifest(1))
	second := home.New(secondHolder, home.WithDialer(dial))
	t.Cleanup(second.Close)
	connections := 0
	eventually(t, func() bool { // The first home has stopped opening connections.
		before := connections
		connections = r.a.Connections()
		time.Sleep(20 * time.Millisecond)
		return r.warm() && connections == before
	})
	r.b.Pause()
	r.c.Pause()
	last := r.a.Report().Last.Index
	s := second.Open()
	defer s.Close()
	begin(t, s, write("a"))
	send(t, s, simple("INSERT INTO batches VALUES (1, 'late')"))
	eventually(t, func() bool { return r.a.Report().Last.Index > last })
	eventually(t, func() bool {
		secondHolder.AdoptView(view)
		return r.a.Connections() == connections
	})
	mute.Store(false)
	r.b.Resume()
	r.c.Resume()
	is.Equal(receive(t, s).refused, result.Code(0))
}
