package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/tarragonshed/multiplexer"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

// Server serves the statements that other daemons forward to this one. It is safe for
// concurrent use.
type Server struct {
	local  engine.Local
	logger *log.Logger
	meters serverMeters

	mu       sync.Mutex
	streams  map[*servedStream]struct{}
	draining bool
	drained  chan struct{} // Closed when the server is draining and has no stream.
}

// NewServer returns a Server that runs statements with local. The dialer isn't used.
func NewServer(local engine.Local, options ...Option) *Server {
	s := newSettings(options)
	return &Server{
		local: local, logger: s.logger, meters: newServerMeters(s.registry),
		streams: make(map[*servedStream]struct{}), drained: make(chan struct{}),
	}
}

// Configure sets the protocols and the HTTP/2 limits that [Forwarder] requires on a server
// of the peer endpoint.
func Configure(server *http.Server) { multiplexer.Configure(server, connectionPingAfter) }

// transportKey is the key of the *transport in the context of a stream.
type transportKey struct{}

// transport is the request that carries a stream.
type transport struct {
	io.ReadCloser
	arrivals
	controller *http.ResponseController
}

// Read implements [io.Reader].
func (t *transport) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	t.record(n)
	return n, err
}

// Handler returns the path and the handler for the server of the peer endpoint. That
// server must be configured by [Configure].
func (s *Server) Handler() (path string, handler http.Handler) {
	path, inner := peerconnect.NewForwarderHandler(service{s}, connect.WithReadMaxBytes(maxMessageBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &transport{ReadCloser: r.Body, arrivals: arrivals{base: time.Now()}, controller: http.NewResponseController(w)}
		r = r.WithContext(context.WithValue(r.Context(), transportKey{}, t))
		r.Body = t
		inner.ServeHTTP(w, r)
	})
}

// Drain refuses new leases and returns when all leases and streams have ended. If ctx ends
// before, it ends those that remain and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		s.checkDrained()
	}
	streams := s.allStreams()
	s.mu.Unlock()
	for _, st := range streams {
		go st.send(&peer.ForwardResponse{Kind: &peer.ForwardResponse_Draining{Draining: &peer.ForwardDraining{}}})
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	left := s.allStreams()
	s.mu.Unlock()
	for _, st := range left {
		st.abort()
	}
	return result.New(result.ShuttingDown, "%d streams have not ended: %v", len(left), ctx.Err())
}

// allStreams returns all streams. The caller holds the lock.
func (s *Server) allStreams() []*servedStream {
	streams := make([]*servedStream, 0, len(s.streams))
	for st := range s.streams {
		streams = append(streams, st)
	}
	return streams
}

// checkDrained closes drained if the last stream has ended. The caller holds the lock.
func (s *Server) checkDrained() {
	if s.draining && len(s.streams) == 0 {
		close(s.drained)
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// open adds a stream. It returns nil if the server is draining.
func (s *Server) open(ctx context.Context, send func(*peer.ForwardResponse) error) *servedStream {
	st := newServedStream(ctx, s, send)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		st.stop()
		return nil
	}
	s.streams[st] = struct{}{}
	s.meters.streams.Inc(1)
	return st
}

// close ends the leases of a stream, waits for their statements and removes the stream.
func (s *Server) close(st *servedStream) {
	st.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
	s.meters.streams.Dec(1)
	s.checkDrained()
}

// logLost logs a stream that has ended without the other daemon closing it.
func (s *Server) logLost(address string, leases int, cause error) {
	level := log.InfoLevel
	if leases > 0 {
		level = log.WarnLevel
	}
	s.logger.Log(level, "stream of daemon lost", "address", address, "leases", leases, "cause", cause)
}

// service implements the Forwarder service for other daemons.
type service struct{ server *Server }

// Forward implements [peerconnect.ForwarderHandler].
func (s service) Forward(ctx context.Context, bidi *connect.BidiStream[peer.ForwardRequest, peer.ForwardResponse]) error {
	address := bidi.Peer().Addr
	st := s.server.open(ctx, bidi.Send)
	if st == nil {
		s.server.logger.Debug("stream of daemon refused", "address", address, "cause", "shutting down")
		return connect.NewError(connect.CodeUnavailable, errors.New("the daemon is shutting down"))
	}
	defer s.server.close(st)
	s.server.logger.Info("stream of daemon opened", "address", address)
	go st.watch()
	st.send(&peer.ForwardResponse{Kind: &peer.ForwardResponse_Ready{Ready: &peer.ForwardReady{}}})
	for {
		request, err := bidi.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			s.server.logLost(address, st.count(), err)
			return err
		}
		st.handle(request)
	}
}
