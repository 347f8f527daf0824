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

// muted is a connection on which control connections can't start up.
type muted struct {
	net.Conn
	mute *atomic.Bool
}

// Write fails for the startup of a control connection.
func (m *muted) Write(p []byte) (int, error) {
	if m.mute.Load() && bytes.Contains(p, []byte(controller.ApplicationName)) {
		return 0, net.ErrClosed
	}
	return m.Conn.Write(p)
}

// TestWriteOutlivesHome has a daemon cease to be a home of the instance after a
// write was sent and before a report of the instance has come.
func TestWriteOutlivesHome(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.table(t)
	var mute atomic.Bool
	mute.Store(true)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.Default(ctx, network, address)
		return &muted{Conn: inner, mute: &mute}, err
	}
	elsewhere := member.View{Self: "d2", Daemons: []member.Daemon{{ID: "d1", Domain: "lautoka-shed", State: member.Live}}}
	held := holder.New(elsewhere)
	held.AdoptManifest(r.manifest(1))
	second := home.New(held, home.WithDialer(dial))
	t.Cleanup(second.Close)
	connections := 0
	eventually(t, func() bool { // The first home opens no more.
		before := connections
		connections = r.a.Connections()
		time.Sleep(20 * time.Millisecond)
		return r.warm() && connections == before
	})
	r.b.Pause()
	r.c.Pause()
	last := r.a.Report().Last.Index
	l := second.Open()
	defer l.Close()
	begin(t, l, write("a"))
	send(t, l, simple("INSERT INTO batches VALUES (1, 'late')"))
	eventually(t, func() bool { return r.a.Report().Last.Index > last })
	eventually(t, func() bool {
		held.AdoptView(elsewhere)
		return r.a.Connections() == connections
	})
	mute.Store(false)
	r.b.Resume()
	r.c.Resume()
	is.Equal(receive(t, l).refused, result.Code(0))
}
