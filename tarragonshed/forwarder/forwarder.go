// Package forwarder forwards statements to the home of an instance, which is the daemon
// that owns the connections to it.
//
// # Streams
//
// Two daemons share one connect-go stream, on which the messages of wire/peer/forward.proto
// of all leases are interleaved. A [Forwarder] opens it when a statement needs it, and
// closes it after some time without a lease. A lease is the use of an instance by one
// statement or by one transaction. The number of its messages is that of its statements: a
// request opens the lease together with its first statement, and the lease ends with the
// first reply after which no transaction is open.
//
// # Outcomes
//
// A stream is open when the home has sent its first message. Until then no statement is
// sent, so a home that doesn't respond costs no unknown outcome. Each statement waits in a
// bounded queue until one goroutine writes it to the stream. If the stream is lost before,
// the statement has not run ([result.HomeUnreachable]), else its outcome is unknown
// ([result.HomeLost]). A statement that is given up in the queue is never written. At the
// home, a statement that has not been sent to the instance is not run once the stream is
// lost.
//
// # Failed daemons
//
// A daemon whose stream couldn't be opened, was lost or is draining is not available, see
// [Forwarder.Available], until a stream has been opened in the background. An attempt is
// made a short time after the failure, if the daemon is needed. All statements that need
// the first stream to a daemon wait for the same attempt, for a bounded time. Pings on
// streams with leases detect a silent daemon within about a second, also on those that
// accept no more leases.
//
// # Usage
//
//	f := forwarder.New(forwarder.WithLogger(logger))
//	defer f.Close()
//	lease := f.Lease(ctx, "10.1.0.8:8782", request)
//	defer lease.End()
//	reply, err := lease.Run(call, deadline)
//
// The home serves the statements with
//
//	server := forwarder.NewServer(engine)
//	routes.Handle(server.Handler())
//	forwarder.Configure(httpServer)
package forwarder

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/tarragonshed/multiplexer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// openTimeout bounds the time until a daemon has accepted a stream.
	openTimeout = time.Second
	// openWait bounds how long a statement waits for a stream. It allows for a few round trips
	// between regions; another home can serve the statement sooner than a silent one.
	openWait = 250 * time.Millisecond
	// failureBackoff is how long a daemon that failed is not tried again.
	failureBackoff = 500 * time.Millisecond
	// idleTimeout is how long a stream without a lease is kept.
	idleTimeout = 30 * time.Second
	// connectionIdleTimeout is how long a connection without a stream is kept.
	connectionIdleTimeout = time.Second
	// forgetAfter is how long a daemon without a stream is remembered, so that its failure
	// isn't logged again for each attempt.
	forgetAfter = time.Minute
	// connectionPingAfter is how long a connection is without data before the transport
	// sends a ping. Streams with leases send their own ones, see [traffic].
	connectionPingAfter = 15 * time.Second
	// maxMessageBytes bounds the size of a message.
	maxMessageBytes = 32 << 20
)

// Forwarder implements [engine.Forwarder]. It is safe for concurrent use.
type Forwarder struct {
	ctx    context.Context
	stop   context.CancelFunc
	client *http.Client
	logger *log.Logger
	meters meters

	mu    sync.Mutex
	homes map[string]*remoteHome // By address.
	// streams are those that have not ended, also those that accept no more leases.
	streams map[*stream]struct{}
}

// remoteHome is a daemon to which statements are forwarded. The lock of the Forwarder
// guards it.
type remoteHome struct {
	client peerconnect.ForwarderClient
	link   *link
	// stream accepts leases. It is nil if there is none.
	stream *stream
	// opening is the attempt to open a stream that is in progress, or nil.
	opening *opening
	// failedAt is when the daemon failed last. It is zero if it hasn't failed since its
	// stream was opened.
	failedAt time.Time
	failure  *result.Error
	// logged is true if a failure has been logged since the stream was opened.
	logged bool
	// usedAt is when the daemon was last found to have a stream or to be opening one.
	usedAt time.Time
}

// opening is an attempt to open a stream. The results are set when done is closed.
type opening struct {
	done   chan struct{}
	stream *stream
	err    *result.Error
}

type settings struct {
	dial     dialer.Func
	logger   *log.Logger
	registry metrics.Registry
}

// Option configures a [Forwarder] or a [Server] under construction.
type Option func(*settings)

// WithDialer sets the function that opens connections to other daemons.
func WithDialer(dial dialer.Func) Option { return func(s *settings) { s.dial = dial } }

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *log.Logger) Option { return func(s *settings) { s.logger = l } }

// WithMetrics sets the registry in which the metrics are registered.
func WithMetrics(r metrics.Registry) Option { return func(s *settings) { s.registry = r } }

func newSettings(options []Option) settings {
	s := settings{dial: dialer.Default, logger: log.New(io.Discard), registry: metrics.NewRegistry()}
	for _, option := range options {
		option(&s)
	}
	return s
}

// New returns a Forwarder without a stream. The caller must call Close.
func New(options ...Option) *Forwarder {
	s := newSettings(options)
	f := &Forwarder{
		logger: s.logger, meters: newMeters(s.registry),
		homes: make(map[string]*remoteHome), streams: make(map[*stream]struct{}),
	}
	transport := multiplexer.NewTransport(f.dial(s.dial), nil, connectionPingAfter)
	transport.IdleConnTimeout = connectionIdleTimeout
	f.client = &http.Client{Transport: transport}
	f.ctx, f.stop = context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		pace := pace{interval: checkInterval, last: time.Now()}
		for {
			select {
			case now := <-ticker.C:
				f.closeUnused(now)
				if pace.judges(now) {
					f.checkSilence(now)
				}
			case <-f.ctx.Done():
				return
			}
		}
	}()
	return f
}

// dial returns a function that opens connections with dial and records when data arrives.
func (f *Forwarder) dial(dial dialer.Func) dialer.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		f.mu.Lock()
		l := f.home(address).link
		f.mu.Unlock()
		return l.join(c), nil
	}
}

// Close closes all streams. Statements in flight fail.
func (f *Forwarder) Close() {
	defer f.stop()
	for _, s := range f.openStreams() {
		s.close()
	}
}

// openStreams returns the streams that have not ended.
func (f *Forwarder) openStreams() []*stream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.streams))
}

// forget removes a stream that has ended.
func (f *Forwarder) forget(s *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.streams, s)
}

// Available reports whether statements can be forwarded to the daemon at the address. It
// is true for a daemon that hasn't been tried. For one that failed it starts an attempt to
// open a stream once the backoff is over.
func (f *Forwarder) Available(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.homes[address]
	if !ok || h.failedAt.IsZero() {
		return true
	}
	if time.Since(h.failedAt) >= failureBackoff {
		f.beginOpening(address, h)
	}
	return false
}

// beginOpening starts an attempt to open a stream unless one is in progress. The caller holds
// the lock.
func (f *Forwarder) beginOpening(address string, h *remoteHome) {
	if h.opening == nil {
		h.opening = &opening{done: make(chan struct{})}
		go f.runOpening(address, h, h.opening)
	}
}

// Lease implements [engine.Forwarder].
func (f *Forwarder) Lease(ctx context.Context, address string, r engine.LeaseRequest) engine.Lease {
	return &lease{forwarder: f, ctx: ctx, address: address, request: r}
}

// Position implements [engine.Forwarder]. The age has to be counted back from a time before
// the call, because the time that the response took is unknown.
func (f *Forwarder) Position(ctx context.Context, address string, group unit.GroupName, maxAge time.Duration) (unit.Position, time.Duration, *result.Error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(openTimeout)
	}
	w, stop := newWait(ctx, deadline)
	defer stop()
	r, err := f.requestPosition(address, group, maxAge, w)
	if err != nil {
		f.meters.recordError(err.Code)
		return unit.Position{}, 0, err
	}
	return decodePosition(r.GetPosition()), time.Duration(r.GetAge()), nil
}

func (f *Forwarder) requestPosition(address string, group unit.GroupName, maxAge time.Duration, w wait) (*peer.ForwardedPosition, *result.Error) {
	s, id, replies, err := f.attach(address, w)
	if err != nil {
		return nil, err
	}
	defer s.detach(id)
	m := &message{request: &peer.ForwardRequest{Id: id, Kind: &peer.ForwardRequest_Position{Position: &peer.ForwardPosition{
		Group: []byte(group), MaxAge: int64(maxAge), Remaining: remaining(w.deadline, time.Now(), s.margin()),
	}}}}
	response, err := s.roundTrip(m, replies, w)
	if err != nil {
		return nil, err
	}
	switch kind := response.Kind.(type) {
	case *peer.ForwardResponse_Position:
		return kind.Position, nil
	case *peer.ForwardResponse_Refused:
		return nil, decodeError(kind.Refused)
	}
	return nil, result.New(result.HomeLost, "daemon %s sent a response of another kind", address)
}

// attach returns a stream to the daemon, with a new number and the channel of its
// responses.
func (f *Forwarder) attach(address string, w wait) (*stream, uint64, <-chan *peer.ForwardResponse, *result.Error) {
	for {
		s, err := f.open(address, w)
		if err != nil {
			return nil, 0, nil, err
		}
		if id, replies, ok := s.attach(); ok {
			return s, id, replies, nil
		}
		f.release(s)
	}
}

// open returns the stream to the daemon. If there is none, it waits up to openWait for an
// attempt to open one, which it starts if none is in progress.
func (f *Forwarder) open(address string, w wait) (*stream, *result.Error) {
	f.mu.Lock()
	h := f.home(address)
	if h.stream != nil {
		defer f.mu.Unlock()
		return h.stream, nil
	}
	if !h.failedAt.IsZero() {
		defer f.mu.Unlock()
		return nil, h.failure
	}
	f.beginOpening(address, h)
	o := h.opening
	f.mu.Unlock()
	slow := time.NewTimer(openWait)
	defer slow.Stop()
	select {
	case <-o.done:
		return o.stream, o.err
	case <-slow.C:
		return nil, f.recordSlow(address, h)
	case <-w.timer.C:
		return nil, result.New(result.DeadlinePassed, "no stream to daemon %s was opened in time", address)
	case <-w.ctx.Done():
		return nil, result.New(result.CancelledUnsent, "no stream to daemon %s was opened: %v", address, w.ctx.Err())
	}
}

// recordSlow makes a daemon unavailable that has not accepted a stream within openWait. The
// attempt goes on, and its success makes the daemon available again.
func (f *Forwarder) recordSlow(address string, h *remoteHome) *result.Error {
	err := result.New(result.HomeUnreachable, "daemon %s did not accept a stream within %v", address, openWait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.opening != nil && h.failedAt.IsZero() {
		h.failedAt, h.failure = time.Now(), err
	}
	return err
}

// home returns the daemon at the address. The caller holds the lock.
func (f *Forwarder) home(address string) *remoteHome {
	h, ok := f.homes[address]
	if !ok {
		h = &remoteHome{
			client: peerconnect.NewForwarderClient(f.client, "http://"+address,
				connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes)),
			link: &link{arrivals: arrivals{base: time.Now()}}, usedAt: time.Now(),
		}
		f.homes[address] = h
	}
	return h
}

// runOpening opens a stream and records the result.
func (f *Forwarder) runOpening(address string, h *remoteHome, o *opening) {
	s, err := openStream(f, address, h)
	if err != nil {
		o.err = result.New(result.HomeUnreachable, "daemon %s: %v", address, err)
	}
	if errors.Is(err, errOpenTimeout) {
		h.link.cut()
	}
	o.stream = s
	f.mu.Lock()
	h.opening = nil
	known := h.logged
	h.logged = err != nil
	if err == nil {
		h.stream, h.failedAt = s, time.Time{}
		f.streams[s] = struct{}{}
	} else {
		h.failedAt, h.failure = time.Now(), o.err
	}
	f.mu.Unlock()
	close(o.done)
	if err == nil {
		f.meters.opened.Inc(1)
		f.logger.Info("stream to daemon opened", "address", address)
		s.start()
	} else if !known {
		f.logger.Warn("stream to daemon can't be opened", "address", address, "cause", err)
	}
}

// release makes later leases use another stream.
func (f *Forwarder) release(s *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.homes[s.address]; h != nil && h.stream == s {
		h.stream = nil
	}
}

// fail makes later leases use another stream, and the daemon unavailable for a short time.
func (f *Forwarder) fail(s *stream, cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.homes[s.address]; h != nil && h.stream == s {
		h.stream, h.failedAt, h.logged = nil, time.Now(), true
		h.failure = result.New(result.HomeUnreachable, "daemon %s: %s", s.address, cause)
	}
}

// closeUnused closes streams that haven't had a lease for idleTimeout, and forgets daemons
// that haven't had a stream for forgetAfter.
func (f *Forwarder) closeUnused(now time.Time) {
	var unused []*stream
	f.mu.Lock()
	for address, h := range f.homes {
		if h.stream != nil && h.stream.unusedFor(now) >= idleTimeout {
			unused = append(unused, h.stream)
			h.stream = nil
		}
		if h.stream != nil || h.opening != nil {
			h.usedAt = now
		} else if now.Sub(h.usedAt) >= forgetAfter {
			delete(f.homes, address)
		}
	}
	f.mu.Unlock()
	for _, s := range unused {
		s.retire()
	}
}

// checkSilence sends pings that are due and ends the streams of silent daemons.
func (f *Forwarder) checkSilence(now time.Time) {
	for _, s := range f.openStreams() {
		s.check(now)
	}
}
