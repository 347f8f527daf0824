// Package platformer is the daemon's client of the platform: its table service,
// object store, VM list and database groups.
//
// # Failures
//
// Each attempt has a timeout. Reads are tried again under a retry budget, which
// bounds the extra load during an outage to a tenth of the ordinary one. Writes are
// never repeated here: an attempt without an answer returns [ErrUncertain], because
// the write may have taken effect or may still do so. Who wrote finds out by reading;
// tarragonshed.example/adopter does so for manifests. All calls together are bounded
// by a rate, so that no fault of the daemon can overload the platform.
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
	// ErrUnavailable tells that a read got no answer.
	ErrUnavailable = errors.New("platformer: the platform is unavailable")
	// ErrUncertain tells that a write got no answer: it took effect, did not, or
	// will later.
	ErrUncertain = errors.New("platformer: the platform did not answer whether the write took effect")
	// ErrConflict tells that a condition of a transaction did not hold. Nothing
	// was written.
	ErrConflict = errors.New("platformer: a condition of the transaction does not hold")
	// ErrNotFound tells that there is no such row or object.
	ErrNotFound = errors.New("platformer: not found")
)

// Defaults of a Platformer.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultRate is in calls a second.
	DefaultRate  = 20
	DefaultBurst = 20
	maxAttempts  = 3
	firstBackoff = 50 * time.Millisecond
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

// WithDialer sets how connections are opened.
func WithDialer(dial dialer.Func) Option {
	return func(p *Platformer) { p.dial = dial }
}

// WithTimeout sets the time that one attempt may take.
func WithTimeout(d time.Duration) Option {
	return func(p *Platformer) { p.timeout = d }
}

// WithRate bounds the calls a second and the calls at once.
func WithRate(perSecond float64, burst int) Option {
	return func(p *Platformer) { p.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithRecorder records when the platform becomes unreachable and reachable.
func WithRecorder(r *recorder.Recorder) Option {
	return func(p *Platformer) { p.recorder = r }
}

// WithMetrics registers "platform.calls" and "platform.failures".
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
		return nil, trace.Wrap(err, "platformer: base URL")
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

// attempt is one try of a call.
type attempt func(context.Context) (any, error)

// read tries a read until it has an answer, or attempts or the budget run out.
func (p *Platformer) read(ctx context.Context, try attempt) (any, error) {
	p.budget.deposit()
	backoff := firstBackoff
	for n := 1; ; n++ {
		answer, err := p.once(ctx, try)
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

// write tries a write once.
func (p *Platformer) write(ctx context.Context, try attempt) (any, error) {
	p.budget.deposit()
	answer, err := p.once(ctx, try)
	if errors.Is(err, ErrUnavailable) && !errors.Is(err, errUnsent) {
		return nil, trace.Wrap(ErrUncertain, "%v", err)
	}
	return answer, err
}

// errUnsent marks an ErrUnavailable of a call that was not sent.
var errUnsent = errors.New("platformer: not sent")

func (p *Platformer) once(ctx context.Context, try attempt) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	if err := p.limiter.Wait(ctx); err != nil {
		return nil, errors.Join(ErrUnavailable, errUnsent, err)
	}
	p.calls.Mark(1)
	answer, err := try(ctx)
	err = classify(err)
	failed := errors.Is(err, ErrUnavailable)
	if failed {
		p.failures.Inc(1)
	}
	p.note(failed, err)
	return answer, err
}

// note records the changes between reachable and unreachable.
func (p *Platformer) note(failed bool, err error) {
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

// Reachable reports whether the last call had an answer.
func (p *Platformer) Reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable
}
