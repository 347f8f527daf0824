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

// localStream is a stream to the home on the same daemon.
type localStream struct {
	*home.Pipe
	streams *Streams
}

// remoteStream is a stream to another daemon.
type remoteStream struct {
	daemon  unit.DaemonID
	bidi    *connect.BidiStreamForClient[peer.CarryRequest, peer.CarryResponse]
	streams *Streams
	stop    context.CancelFunc
	broken  atomic.Bool
	// connected is closed when the transport has a connection for the stream.
	// failed is closed when the request could not be made or its connection broke.
	connected, failed chan struct{}
	connecting        sync.Once
	failing           sync.Once
}

type streamKey struct{}

// observedClient marks a stream as failed when its HTTP request can't be made.
type observedClient struct{ *http.Client }

// Do sends a request and marks the stream in its context as failed on an error.
func (c observedClient) Do(request *http.Request) (*http.Response, error) {
	response, err := c.Client.Do(request)
	if stream, ok := request.Context().Value(streamKey{}).(*remoteStream); ok && err != nil {
		stream.fail()
	}
	return response, err
}

// dial opens a stream to the daemon. It returns when the transport has a connection.
func (s *Streams) dial(ctx context.Context, d member.Daemon) (Stream, error) {
	stream := &remoteStream{daemon: d.ID, streams: s, connected: make(chan struct{}), failed: make(chan struct{})}
	streamCtx, stop := context.WithCancel(context.WithValue(context.WithoutCancel(ctx), streamKey{}, stream))
	stream.stop = stop
	streamCtx = httptrace.WithClientTrace(streamCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { stream.connecting.Do(func() { close(stream.connected) }) },
	})
	stream.bidi = s.peer(d.PeerAddress).Carry(streamCtx)
	if err := stream.bidi.Send(nil); err != nil {
		stop()
		return nil, result.New(result.HomeUnreachable, "daemon %s: %v", d.ID, err)
	}
	select {
	case <-stream.connected:
		return stream, nil
	case <-stream.failed:
		stop()
		return nil, result.New(result.HomeUnreachable, "daemon %s can't be reached", d.ID)
	case <-ctx.Done():
		stop()
		return nil, result.New(result.HomeUnreachable, "daemon %s: %v", d.ID, ctx.Err())
	}
}

func (s *remoteStream) fail() {
	s.broken.Store(true)
	s.failing.Do(func() { close(s.failed) })
}

// Broken reports whether the stream is known to have failed or been closed.
func (s *remoteStream) Broken() bool { return s.broken.Load() }

// Send sends one message. When it fails, the transport has not accepted the whole
// message, so the home did not receive it: a transaction that the message would
// have begun has not run.
func (s *remoteStream) Send(request *peer.CarryRequest) error {
	err := s.bidi.Send(request)
	if err == nil {
		return nil
	}
	s.fail()
	if _, begins := request.Kind.(*peer.CarryRequest_Open); begins {
		return result.New(result.HomeUnreachable, "daemon %s: %v", s.daemon, err)
	}
	return result.New(result.HomeLost, "daemon %s: %v", s.daemon, err)
}

// Receive returns the next message and caches the report that it carries.
func (s *remoteStream) Receive() (*peer.CarryResponse, error) {
	response, err := s.bidi.Receive()
	if err != nil {
		s.fail()
		return nil, result.New(result.HomeLost, "daemon %s: %v", s.daemon, err)
	}
	switch kind := response.Kind.(type) {
	case *peer.CarryResponse_Settled:
		s.streams.storeWire(kind.Settled.Report)
	case *peer.CarryResponse_Refused:
		s.streams.storeWire(kind.Refused.Report)
		if result.Code(kind.Refused.Code) == result.ShuttingDown {
			s.streams.fail(s.daemon)
			s.broken.Store(true)
		}
	}
	return response, nil
}

// Close ends the stream. It closes the request body because the HTTP transport
// checks the cancelled context only when the body yields data, so cancelling alone
// does not end the stream at the home.
func (s *remoteStream) Close() {
	s.fail()
	s.stop()
	_ = s.bidi.CloseRequest()
}
