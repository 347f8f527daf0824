// Package platformer is the daemon's client of the platform: its table service,
// object store, VM list and database groups.
//
// # Failures
//
// Each attempt has a timeout. Reads are retried within a retry budget, which limits
// the additional load during an outage to a tenth of the normal load. Writes are
// never retried here: an attempt without an answer returns [ErrUncertain], because
// the write may have taken effect or may still do so. The caller determines the
// outcome by reading, as tarragonshed.example/adopter does for manifests. The rate
// of all calls together is limited, so that a fault in the daemon can't overload the
// platform.
//
// # Usage
//
//	client, err := platformer.New("http://127.0.0.1:7300", platformer.WithDialer(dial))
//	if err != nil {
//		return err
//	}
//	defer client.Close()
//	row, err := client.Get(ctx, "manifest", "current")
//	if errors.Is(err, platformer.ErrNotFound) {
//		...
//	}
package platformer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	goahttp "goa.design/goa/v3/http"
	"golang.org/x/time/rate"

	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/dialer"
	databaseclient "tarragonshed.example/wire/platform/gen/http/database/client"
	fleetclient "tarragonshed.example/wire/platform/gen/http/fleet/client"
	objectclient "tarragonshed.example/wire/platform/gen/http/object/client"
	tableclient "tarragonshed.example/wire/platform/gen/http/table/client"
)

// Errors of calls. Returned errors wrap them.
var (
	// ErrUnavailable means that a read got no answer, or that a write was not sent.
	ErrUnavailable = errors.New("platformer: the platform is unavailable")
	// ErrUncertain means that a write got no answer: it may have taken effect, may
	// take effect later, or may never do so.
	ErrUncertain = errors.New("platformer: no answer from the platform; the outcome of the write is unknown")
	// ErrConflict means that a condition of a transaction did not hold. Nothing
	// was written.
	ErrConflict = errors.New("platformer: a condition of the transaction does not hold")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = errors.New("platformer: not found")
)

// Defaults of a Platformer.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultRate is the rate limit in calls per second.
	DefaultRate    = 20
	DefaultBurst   = 20
	maxAttempts    = 3
	initialBackoff = 50 * time.Millisecond
)

// Platformer is a client of the platform. It is safe for concurrent use.
type Platformer struct {
	timeout  time.Duration
	dial     dialer.Func
	limiter  *rate.Limiter
	recorder *recorder.Recorder
	calls    metrics.Meter
	failures metrics.Counter
	budget   budget
	http     *http.Client

	tables  *tableclient.Client
	objects *objectclient.Client
	fleet   *fleetclient.Client
	groups  *databaseclient.Client

	mu          sync.Mutex
	unreachable bool
}

// Option changes a Platformer under construction.
type Option func(*Platformer)

// WithDialer sets the function that opens connections.
func WithDialer(dial dialer.Func) Option {
	return func(p *Platformer) { p.dial = dial }
}

// WithTimeout sets the timeout of one attempt.
func WithTimeout(d time.Duration) Option {
	return func(p *Platformer) { p.timeout = d }
}

// WithRate limits the rate of calls and the burst of calls above that rate.
func WithRate(perSecond float64, burst int) Option {
	return func(p *Platformer) { p.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithRecorder sets the recorder of the events that the platform became unreachable
// or reachable again.
func WithRecorder(r *recorder.Recorder) Option {
	return func(p *Platformer) { p.recorder = r }
}

// WithMetrics registers the metrics "platform.calls" and "platform.failures".
func WithMetrics(registry metrics.Registry) Option {
	return func(p *Platformer) {
		p.calls = metrics.GetOrRegisterMeter("platform.calls", registry)
		p.failures = metrics.GetOrRegisterCounter("platform.failures", registry)
	}
}

// New returns a client of the platform at the base URL. It opens no connection.
func New(base string, options ...Option) (*Platformer, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, trace.Wrap(err, "platformer: parsing the base URL")
	}
	if parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, trace.BadParameter("platformer: %q is not an http or https URL", base)
	}
	p := &Platformer{
		timeout:  DefaultTimeout,
		dial:     dialer.Default,
		limiter:  rate.NewLimiter(DefaultRate, DefaultBurst),
		calls:    metrics.NilMeter{},
		failures: metrics.NilCounter{},
	}
	for _, option := range options {
		option(p)
	}
	p.http = &http.Client{Transport: &http.Transport{DialContext: p.dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	encode, decode := goahttp.RequestEncoder, goahttp.ResponseDecoder
	p.tables = tableclient.NewClient(parsed.Scheme, parsed.Host, p.http, encode, decode, false)
	p.objects = objectclient.NewClient(parsed.Scheme, parsed.Host, p.http, encode, decode, false)
	p.fleet = fleetclient.NewClient(parsed.Scheme, parsed.Host, p.http, encode, decode, false)
	p.groups = databaseclient.NewClient(parsed.Scheme, parsed.Host, p.http, encode, decode, false)
	return p, nil
}

// Close closes idle connections.
func (p *Platformer) Close() {
	p.http.CloseIdleConnections()
}

// attempt makes one attempt at a call.
type attempt func(context.Context) (any, error)

// read attempts a read until it gets an answer, maxAttempts is reached or the retry
// budget is empty.
func (p *Platformer) read(ctx context.Context, try attempt) (any, error) {
	p.budget.deposit()
	backoff := initialBackoff
	for n := 1; ; n++ {
		answer, err := p.attemptOnce(ctx, try)
		if !errors.Is(err, ErrUnavailable) {
			return answer, err
		}
		if n == maxAttempts || ctx.Err() != nil || !p.budget.withdraw() {
			return nil, err
		}
		select {
		case <-time.After(backoff/2 + rand.N(backoff)):
		case <-ctx.Done():
			return nil, err
		}
		backoff *= 2
	}
}

// write attempts a write once.
func (p *Platformer) write(ctx context.Context, try attempt) (any, error) {
	p.budget.deposit()
	answer, err := p.attemptOnce(ctx, try)
	if errors.Is(err, ErrUnavailable) && !errors.Is(err, errNotSent) {
		return nil, trace.Wrap(ErrUncertain, "%v", err)
	}
	return answer, err
}

// errNotSent marks an ErrUnavailable of a call that the rate limiter did not admit in
// time. The call was not sent, so its outcome is known.
var errNotSent = errors.New("platformer: call not sent")

// attemptOnce makes one attempt under the rate limit and the timeout.
func (p *Platformer) attemptOnce(ctx context.Context, try attempt) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	if err := p.limiter.Wait(ctx); err != nil {
		return nil, errors.Join(ErrUnavailable, errNotSent, err)
	}
	p.calls.Mark(1)
	answer, err := try(ctx)
	err = classify(err)
	failed := errors.Is(err, ErrUnavailable)
	if failed {
		p.failures.Inc(1)
	}
	p.recordReachability(failed, err)
	return answer, err
}

// recordReachability records an event when the platform becomes unreachable, and when
// it becomes reachable again.
func (p *Platformer) recordReachability(failed bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed == p.unreachable {
		return
	}
	p.unreachable = failed
	if failed {
		p.recorder.Record(recorder.Event{Kind: recorder.PlatformUnreachable, Detail: err.Error()})
		return
	}
	p.recorder.Record(recorder.Event{Kind: recorder.PlatformReachable})
}

// Reachable reports whether the last call that was sent got an answer. It is true
// before the first call.
func (p *Platformer) Reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable
}
