package carrier

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// pipeLane is a lane to the home on the same daemon.
type pipeLane struct {
	*home.Pipe
	lanes *Streams
}

// streamLane is a lane to another daemon.
type streamLane struct {
	daemon unit.DaemonID
	stream *connect.BidiStreamForClient[peer.CarryRequest, peer.CarryResponse]
	lanes  *Streams
	stop   context.CancelFunc
	broken atomic.Bool
	// connected is closed when a connection was found, failed when the
	// request could not be made or its connection broke.
	connected, failed chan struct{}
	connecting        sync.Once
	failing           sync.Once
}

type laneKey struct{}

// watchedClient tells a lane that its request could not be made.
type watchedClient struct{ *http.Client }

// Do makes a request.
func (c watchedClient) Do(request *http.Request) (*http.Response, error) {
	response, err := c.Client.Do(request)
	if lane, ok := request.Context().Value(laneKey{}).(*streamLane); ok && err != nil {
		lane.fail()
	}
	return response, err
}

// dial opens a lane to the daemon. It returns when a connection was found.
func (l *Streams) dial(ctx context.Context, d member.Daemon) (Stream, error) {
	lane := &streamLane{daemon: d.ID, lanes: l, connected: make(chan struct{}), failed: make(chan struct{})}
	streamCtx, stop := context.WithCancel(context.WithValue(context.WithoutCancel(ctx), laneKey{}, lane))
	lane.stop = stop
	streamCtx = httptrace.WithClientTrace(streamCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { lane.connecting.Do(func() { close(lane.connected) }) },
	})
	lane.stream = l.peer(d.PeerAddress).Carry(streamCtx)
	if err := lane.stream.Send(nil); err != nil {
		stop()
		return nil, result.New(result.HomeUnreachable, "daemon %s: %v", d.ID, err)
	}
	select {
	case <-lane.connected:
		return lane, nil
	case <-lane.failed:
		stop()
		return nil, result.New(result.HomeUnreachable, "daemon %s can't be reached", d.ID)
	case <-ctx.Done():
		stop()
		return nil, result.New(result.HomeUnreachable, "daemon %s: %v", d.ID, ctx.Err())
	}
}

func (s *streamLane) fail() {
	s.broken.Store(true)
	s.failing.Do(func() { close(s.failed) })
}

// Broken reports whether the lane is known not to work.
func (s *streamLane) Broken() bool { return s.broken.Load() }

// Send sends one message. A message that could not be sent has not been taken by
// the transport to its end, so the home did not get it: a transaction that it
// would have begun did not run.
func (s *streamLane) Send(request *peer.CarryRequest) error {
	err := s.stream.Send(request)
	if err == nil {
		return nil
	}
	s.fail()
	if _, begins := request.Kind.(*peer.CarryRequest_Open); begins {
		return result.New(result.HomeUnreachable, "daemon %s: %v", s.daemon, err)
	}
	return result.New(result.HomeLost, "daemon %s: %v", s.daemon, err)
}

// Receive returns the next message and keeps the report that it carries.
func (s *streamLane) Receive() (*peer.CarryResponse, error) {
	response, err := s.stream.Receive()
	if err != nil {
		s.fail()
		return nil, result.New(result.HomeLost, "daemon %s: %v", s.daemon, err)
	}
	switch kind := response.Kind.(type) {
	case *peer.CarryResponse_Settled:
		s.lanes.keepWire(kind.Settled.Report)
	case *peer.CarryResponse_Refused:
		s.lanes.keepWire(kind.Refused.Report)
		if result.Code(kind.Refused.Code) == result.ShuttingDown {
			s.lanes.fail(s.daemon)
			s.broken.Store(true)
		}
	}
	return response, nil
}

// Close ends the lane. The home learns of it by the end of the request's body: the
// HTTP transport looks at the cancelled context only when the body gives something.
func (s *streamLane) Close() {
	s.fail()
	s.stop()
	_ = s.stream.CloseRequest()
}
