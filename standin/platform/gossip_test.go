package platform_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/adopter"
	"tarragonshed.example/member"
	"tarragonshed.example/tarragonshed/gossiper"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/pusher"
)

func TestGossiperFollowsThePlatform(t *testing.T) {
	is := is.New(t)
	p, client := start(t)
	self := member.Daemon{ID: "d1", Incarnation: 1, Domain: "x", State: member.Live, PeerAddress: "127.0.0.1:1"}
	other := member.Daemon{ID: "d2", Incarnation: 1, Domain: "x", State: member.Live, PeerAddress: "127.0.0.1:2"}
	h := holder.New(member.View{})
	g := gossiper.New(h, self, gossiper.WithPlatform(client))
	defer g.Close()
	p.SetVM(self)
	p.SetVM(other)
	is.True(eventually(func() bool { return len(h.Current().View.Daemons) == 2 }))
	is.True(h.Current().Manifest == nil)

	_, err := pusher.New(client, nil).Push(context.Background(), adopter.Request{ID: "a", Document: document(1)})
	is.NoErr(err)
	is.True(eventually(func() bool { return h.Current().Manifest != nil }))
	is.Equal(int(h.Current().Manifest.Version), 1)

	p.MarkLeaving("d2")
	is.True(eventually(func() bool { return len(h.Current().View.In("x")) == 1 }))
}
