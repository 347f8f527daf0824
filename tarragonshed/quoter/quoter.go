// Package quoter enforces the rate limits of callers on all daemons together.
//
// It is the I/O code around the decision core [throttler.Throttler], which decides what to
// admit, whom to ask and what to lend. The Quoter passes in operations, manifests and the
// member list, and carries requests between daemons. An operation waits for one lender after
// the other, each for at most 150 ms. A caller without a limit takes no lock.
//
// # Usage
//
//	q := quoter.New("daemon-1", 7, overseer, clock)
//	defer q.Close() // Before the daemon leaves the member list.
//	mux.Handle(q.Handler())
//	q.Adopt(manifest)
//	if err := q.Admit(ctx, "demo"); err != nil {
//		return err // result.RateLimited
//	}
package quoter

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/throttler"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// askTimeout bounds a request to a lender. It allows for a round trip between regions and
	// a stalled process.
	askTimeout = 150 * time.Millisecond
	// membersInterval is the time between two readings of the member list.
	membersInterval = 100 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to a lender is kept.
	peerIdleTimeout = 30 * time.Second
)

// Members provides the member list.
type Members interface {
	// Membership returns the rows of the last confirmation by the store, and when its request
	// was sent. It returns false if there has been none.
	Membership() (authorizer.View, unit.Instant, bool)
}

// Quoter implements [engine.RateLimits] for one daemon. It is safe for concurrent use.
type Quoter struct {
	self    unit.DaemonID
	members Members
	now     func() unit.Instant
	logger  *log.Logger
	meters  meters
	dial    dialer.Func
	ctx     context.Context
	stop    context.CancelFunc
	client  *http.Client
	lines   samplers
	// distance returns the distance to the daemons of a failure domain.
	distance func(unit.DomainName) int

	// limited holds the callers that have a limit.
	limited atomic.Pointer[map[unit.CallerName]bool]

	mu        sync.Mutex
	throttler *throttler.Throttler
	closed    bool
	lastID    throttler.ID
	waiting   map[throttler.ID]chan throttler.Effect // The operations that have no answer yet.
	peers     map[string]peerconnect.QuoterClient
}

// Option configures a Quoter under construction.
type Option func(*Quoter)

// WithLogger sets the logger. Without it, nothing is logged.
func WithLogger(l *log.Logger) Option { return func(q *Quoter) { q.logger = l } }

// WithMetrics sets the registry of the quoter's metrics.
func WithMetrics(r metrics.Registry) Option { return func(q *Quoter) { q.meters = newMeters(r) } }

// WithDialer sets the function that opens connections to other daemons.
func WithDialer(d dialer.Func) Option { return func(q *Quoter) { q.dial = d } }

// WithDomains sets the failure domain of the daemon and those of the deployment, so that near
// lenders are asked first.
func WithDomains(own unit.DomainName, domains []manifest.Domain) Option {
	regions := make(map[unit.DomainName]unit.RegionName)
	for _, d := range domains {
		regions[d.Name] = d.Region
	}
	return func(q *Quoter) {
		q.distance = func(d unit.DomainName) int {
			switch {
			case d == own:
				return 0
			case regions[d] == regions[own]:
				return 1
			}
			return 2
		}
	}
}

// New returns a Quoter that follows the member list. Its clock must include the time during
// which the machine is suspended.
func New(self unit.DaemonID, incarnation unit.Incarnation, members Members, now func() unit.Instant, options ...Option) *Quoter {
	q := &Quoter{
		self: self, members: members, now: now,
		logger: log.New(io.Discard), meters: newMeters(metrics.NewRegistry()), dial: dialer.Default,
		distance: func(unit.DomainName) int { return 0 },
		waiting:  make(map[throttler.ID]chan throttler.Effect),
		peers:    make(map[string]peerconnect.QuoterClient),
	}
	for _, option := range options {
		option(q)
	}
	q.throttler = throttler.New(self, incarnation, throttler.WithDistance(q.distance))
	q.limited.Store(&map[unit.CallerName]bool{})
	q.client = &http.Client{Transport: &http.Transport{
		DialContext: q.dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
	}}
	q.ctx, q.stop = context.WithCancel(context.Background())
	q.readMembers()
	go func() {
		ticker := time.NewTicker(membersInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				q.readMembers()
			case <-q.ctx.Done():
				return
			}
		}
	}()
	return q
}

// Close stops lending, refuses the operations that wait and admits no further ones of callers with
// a limit.
func (q *Quoter) Close() {
	q.stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuseWaiting()
	q.client.CloseIdleConnections()
}

// refuseWaiting closes the Quoter for operations. Those that wait must not be admitted from the
// shares that this daemon has lent, which have another lender as soon as it has left. The caller holds mu.
func (q *Quoter) refuseWaiting() {
	q.closed = true
	for id, answer := range q.waiting {
		close(answer)
		delete(q.waiting, id)
	}
}

// Handler returns the path and the handler of the Quoter service.
func (q *Quoter) Handler() (string, http.Handler) {
	return peerconnect.NewQuoterHandler(service{quoter: q}, connect.WithCompressMinBytes(1<<30), connect.WithReadMaxBytes(maxMessageBytes))
}

// Adopt puts the limits of a manifest in force.
func (q *Quoter) Adopt(m *manifest.Manifest) {
	limited := make(map[unit.CallerName]bool)
	for _, c := range m.Callers {
		if c.RateLimit != nil {
			limited[c.Name] = true
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.step(throttler.Limits{Callers: m.Callers, Now: q.now()})
	q.limited.Store(&limited)
}

// readMembers passes the member list to the throttler.
func (q *Quoter) readMembers() {
	view, sent, ok := q.members.Membership() // It may wait, which operations must not.
	q.mu.Lock()
	defer q.mu.Unlock()
	if ok && !q.closed {
		q.step(throttler.Confirmed{View: view, Sent: sent, Now: q.now()})
	}
}

// Admit implements [engine.RateLimits].
func (q *Quoter) Admit(ctx context.Context, caller unit.CallerName) *result.Error {
	if !(*q.limited.Load())[caller] {
		return nil
	}
	id, answer, ok := q.request(caller)
	if !ok {
		return errLeaving(caller)
	}
	select {
	case e := <-answer:
		return q.errorOf(caller, e)
	case <-ctx.Done():
	}
	q.cancel(caller, id)
	select {
	case e := <-answer: // It was answered before it was withdrawn.
		return q.errorOf(caller, e)
	default:
		return result.New(result.RateLimited, "no lender has granted an operation of caller %s in time", caller)
	}
}

// request begins the admission of an operation. It returns false if the Quoter is closed.
func (q *Quoter) request(caller unit.CallerName) (throttler.ID, <-chan throttler.Effect, bool) {
	answer := make(chan throttler.Effect, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0, nil, false
	}
	q.lastID++
	id := q.lastID
	q.waiting[id] = answer
	q.step(throttler.Request{ID: id, Caller: caller, Now: q.now()})
	return id, answer, true
}

func (q *Quoter) cancel(caller unit.CallerName, id throttler.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	q.step(throttler.Cancel{ID: id, Caller: caller})
}

func errLeaving(caller unit.CallerName) *result.Error {
	return result.New(result.RateLimited, "the daemon is leaving and admits no operations of caller %s", caller)
}

// errorOf returns nil if the operation was admitted. The effect is nil if the Quoter was closed.
func (q *Quoter) errorOf(caller unit.CallerName, e throttler.Effect) *result.Error {
	if e == nil {
		return errLeaving(caller)
	}
	refused, ok := e.(throttler.Refuse)
	if !ok {
		return nil
	}
	retryAfter := max(time.Millisecond, refused.RetryAfter.Round(time.Millisecond))
	q.logRefusal(refused)
	if refused.Unreachable {
		return result.New(result.RateLimited, "a part of the rate limit of caller %s has no lender, and the rest is used up; try again in %v", caller, retryAfter)
	}
	return result.New(result.RateLimited, "rate limit of caller %s used up; try again in %v", caller, retryAfter)
}

// step passes an event to the throttler and executes the effects. The caller holds mu.
func (q *Quoter) step(e throttler.Event) {
	for _, effect := range q.throttler.Step(e) {
		switch effect := effect.(type) {
		case throttler.Admit:
			q.meters.recordAdmission(effect.Source)
			q.answer(effect.ID, effect)
		case throttler.Refuse:
			q.meters.recordRefusal(effect.Unreachable)
			q.answer(effect.ID, effect)
		case throttler.Ask:
			client := q.peer(effect.Address)
			go q.ask(client, effect)
		case throttler.LendingChanged:
			q.meters.recordLending(effect.Partitions)
			q.logger.Info("lending of rate limits changed", "partitions", effect.Partitions)
		}
	}
}

// answer answers an operation. The caller holds mu.
func (q *Quoter) answer(id throttler.ID, e throttler.Effect) {
	if answer, ok := q.waiting[id]; ok {
		answer <- e
		delete(q.waiting, id)
	}
}
