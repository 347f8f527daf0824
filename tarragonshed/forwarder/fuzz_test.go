package forwarder

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// countingLocal counts leases. Every second statement leaves a transaction open.
type countingLocal struct{ open, statements atomic.Int64 }

func (l *countingLocal) Lease(context.Context, engine.LeaseRequest) (engine.Lease, *result.Error) {
	l.open.Add(1)
	return l, nil
}

func (l *countingLocal) Run(engine.Call, time.Time) (engine.Reply, *result.Error) {
	if l.statements.Add(1)%2 == 0 {
		return engine.Reply{State: engine.Open}, nil
	}
	return engine.Reply{State: engine.Idle}, nil
}

func (l *countingLocal) End() { l.open.Add(-1) }

func (l *countingLocal) Position(context.Context, unit.GroupName, time.Duration) (unit.Position, time.Duration, *result.Error) {
	return unit.Position{}, 0, nil
}

func run(id uint64, lease *peer.ForwardLease, kind peer.ForwardKind) *peer.ForwardRequest {
	return &peer.ForwardRequest{Id: id, Kind: &peer.ForwardRequest_Run{Run: &peer.ForwardRun{Lease: lease, Kind: kind, Remaining: 1}}}
}

// FuzzHandle sends arbitrary requests to a home. Whatever arrives, all leases end with the
// stream.
func FuzzHandle(f *testing.F) {
	read := peer.ForwardKind_FORWARD_KIND_READ
	lease := &peer.ForwardLease{Group: []byte("g"), Instance: []byte("a\xff")}
	end := &peer.ForwardRequest{Id: 1, Kind: &peer.ForwardRequest_End{}}
	position := &peer.ForwardRequest{Id: 1, Kind: &peer.ForwardRequest_Position{Position: &peer.ForwardPosition{MaxAge: -1 << 63}}}
	for _, seed := range [][]*peer.ForwardRequest{
		{run(1, lease, read), run(1, nil, read), end},
		{run(1, lease, read), run(1, lease, read), run(1, nil, read), run(1, nil, read)},
		{run(7, nil, read), end, {Id: 3}},
		{run(1, lease, 99), run(1, &peer.ForwardLease{Priority: 1 << 31}, read)},
		{run(1, &peer.ForwardLease{Remaining: 1<<63 - 1, Target: -1 << 63}, read)},
		{{Kind: &peer.ForwardRequest_Ping{}}, {Kind: &peer.ForwardRequest_Ping{}}, run(1, lease, read)},
		{position, position, run(1, lease, read), end},
	} {
		var encoded bytes.Buffer
		for _, request := range seed {
			if _, err := protodelim.MarshalTo(&encoded, request); err != nil {
				f.Fatal(err)
			}
		}
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		local := &countingLocal{}
		s := NewServer(local)
		st := s.open(t.Context(), func(r *peer.ForwardResponse) error {
			_, err := proto.Marshal(r)
			return err
		})
		messages := bytes.NewReader(data)
		for {
			request := &peer.ForwardRequest{}
			if protodelim.UnmarshalFrom(messages, request) != nil {
				break
			}
			st.handle(request)
		}
		s.close(st)
		is.Equal(local.open.Load(), int64(0))
		is.Equal(st.count(), 0)
		is.NoErr(s.Drain(t.Context()))
	})
}

// TestManyLeases guards against a daemon that never ends its leases.
func TestManyLeases(t *testing.T) {
	is := is.New(t)
	local := &countingLocal{}
	local.statements.Store(1)
	refused := make(chan uint32, maxLeases+1)
	s := NewServer(local)
	st := s.open(t.Context(), func(r *peer.ForwardResponse) error {
		if r.GetRefused() != nil {
			refused <- r.GetRefused().GetCode()
		}
		return nil
	})
	for id := range uint64(maxLeases) {
		is.True(st.add(id, nil))
	}
	st.handle(run(maxLeases, &peer.ForwardLease{}, peer.ForwardKind_FORWARD_KIND_READ))
	is.Equal(result.Code(<-refused), result.Overloaded)
	s.close(st)
}
