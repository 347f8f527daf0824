// Package throttler decides which operations of a rate-limited caller a daemon admits, so
// that all daemons together stay within the limit.
//
// # The load it answers
//
// Each of some 10,000 callers may use any of 4 to 460 daemons. Most callers need a few
// operations a second, spread over many daemons; a few need hundreds, sometimes through a
// single daemon. Retries and hot callers exceed their limit many times over. Daemons are
// added, removed, cut off, suspended and restarted meanwhile, and the store is unavailable
// for seconds. In any span of time t, at most rate*t+burst operations of a caller are
// admitted.
//
// # Shares and lenders
//
// A limit has up to [MaxShares] shares. Each is the token bucket of one daemon, its lender,
// so the loss of a lender costs one share. The other daemons request what their waiting
// operations need, and a little more for a caller with steady demand. A grant is spent for
// the lender when it is made. The borrower may use it for at most [MaxValidity], counted from
// when it sent the request, and what is not used by then lapses. So a lost response costs tokens,
// and no response gives them twice. See allotment.lendable for the burst that this takes.
//
// # Who lends
//
// The lender is the daemon with the highest weight of those that have been on the member
// list for [LendingLease]. It lends for one LendingLease after it sent the request of its
// last confirmation by the store, on a clock that counts suspensions. The store may thus be
// away for a while. A daemon that becomes the lender begins
//
//   - one LendingLease after it was added to the list; its predecessor stops at that time,
//     or earlier because its confirmation, made before the listing, has expired;
//   - one LendingLease after it learned that its predecessor was removed from the list, or
//     at once if the predecessor left by itself.
//
// It begins with an empty bucket. A daemon that restarted stays on the list and so lends at
// once: its earlier incarnation has ended. In the meantime the other shares and the floors
// remain.
//
// # Floors
//
// An eighth of the limit is divided evenly among the daemons as their floors, which need
// nobody. A daemon may use its floor for [FloorLease] after its last confirmation, and from
// one FloorLease after it was added to the list. It divides by the number of daemons that
// are on the list or were removed less than a FloorLease ago. Every daemon that uses a floor
// is then counted by every other one, so the floors never exceed the eighth. A floor that
// can't hold one operation is nil, and where none can, the lenders have the eighth too.
//
// # Changed limits
//
// A lower limit applies as soon as a daemon knows it, and operations granted before lapse.
// Daemons that know different limits stay within the larger one. If the limits are divided
// differently, a daemon uses the smaller one of both parts until no daemon can use the
// earlier limit: for one LendingLease and the time that a manifest takes. A daemon that has
// just started does not know the earlier limit, and uses what is certain whatever it was, see
// allotment.certain. This assumes that rate and burst change in proportion.
//
// # Usage
//
//	t := throttler.New("daemon-1", 7)
//	t.Step(throttler.Limits{Callers: m.Callers, Now: now})
//	t.Step(throttler.Confirmed{View: view, Sent: sent, Now: now})
//	for _, effect := range t.Step(throttler.Request{ID: 1, Caller: "demo", Now: now}) {
//		switch effect := effect.(type) {
//		case throttler.Admit:
//			run(effect.ID)
//		case throttler.Refuse:
//			refuse(effect.ID, effect.RetryAfter)
//		case throttler.Ask:
//			go ask(effect) // Later Answered or Failed.
//		}
//	}
package throttler

import (
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

const (
	// minRetry is the usual time until a lender that has nothing left is asked again. It
	// bounds the requests for a caller that is over its limit.
	minRetry = 100 * time.Millisecond
	// shortestRetry and maxRetry bound that time.
	shortestRetry = 5 * time.Millisecond
	maxRetry      = 10 * time.Second
	// maxDoublings bounds how often the time is doubled while the lender grants nothing,
	// because others use up what there is.
	maxDoublings = 2
	// lenderRetry is how long a lender is not asked after it has not responded, or has
	// responded that it doesn't lend.
	lenderRetry = 500 * time.Millisecond
)

// ID identifies one request for admission.
type ID uint64

// Share numbers the shares of a limit.
type Share int

// Source is what an operation was admitted from.
type Source int

// The sources.
const (
	// FromFloor means the daemon's own floor.
	FromFloor Source = iota
	// FromLender means a grant of a lender, which may be this daemon.
	FromLender
	// Unlimited means that the caller's limit has been removed.
	Unlimited
)

// Event is an input of a [Throttler].
type Event interface{ isEvent() }

// Confirmed reports that the store has confirmed the member list.
type Confirmed struct {
	View authorizer.View
	// Sent is when the request was sent.
	Sent, Now unit.Instant
}

// Limits reports the callers of a new manifest. Those without a limit cost nothing.
type Limits struct {
	Callers []manifest.Caller
	Now     unit.Instant
}

// Request requests the admission of one operation. It is answered by [Admit] or [Refuse].
type Request struct {
	ID     ID
	Caller unit.CallerName
	Now    unit.Instant
}

// Cancel withdraws a request that has not been answered.
type Cancel struct {
	ID     ID
	Caller unit.CallerName
}

// Answered reports the response to an [Ask].
type Answered struct {
	Lender unit.DaemonID
	Number uint64
	Grants []Grant // In the order of the wants.
	Now    unit.Instant
}

// Failed reports that there is no response to an [Ask].
type Failed struct {
	Lender unit.DaemonID
	Number uint64
	Now    unit.Instant
}

func (Confirmed) isEvent() {}
func (Limits) isEvent()    {}
func (Request) isEvent()   {}
func (Cancel) isEvent()    {}
func (Answered) isEvent()  {}
func (Failed) isEvent()    {}

// Effect is an output of a [Throttler].
type Effect interface{ isEffect() }

// Admit admits an operation.
type Admit struct {
	ID     ID
	Source Source
}

// Refuse refuses an operation because the limit is used up.
type Refuse struct {
	ID         ID
	Caller     unit.CallerName
	RetryAfter time.Duration
	// Unreachable reports whether a lender of the caller is missing or does not respond in
	// time, so that the operation may be within the limit.
	Unreachable bool
}

// Ask asks a lender for operations of several callers.
type Ask struct {
	Lender  unit.DaemonID
	Address string
	Number  uint64
	Wants   []Want
}

// LendingChanged reports in how many partitions of the callers this daemon now lends.
type LendingChanged struct{ Partitions int }

func (Admit) isEffect()          {}
func (Refuse) isEffect()         {}
func (Ask) isEffect()            {}
func (LendingChanged) isEffect() {}

// Want is a request to the lender of one share.
type Want struct {
	Caller unit.CallerName
	Share  Share
	// Waiting is the number of operations that wait.
	Waiting int
	// Extra is the number of operations that are expected soon.
	Extra int
}

// Grant is the response to a [Want].
type Grant struct {
	Granted int
	// Validity is how long the operations may be used, from when the request was sent.
	Validity time.Duration
	// NotLending means that the daemon does not lend this share now.
	NotLending bool
	// RetryAfter is when the share may have another operation. It is set if fewer were
	// granted than wait.
	RetryAfter time.Duration
}

// Throttler is the state of one daemon. It is not safe for concurrent use.
type Throttler struct {
	self     unit.DaemonID
	roster   *roster
	census   census
	adopted  bool // Whether limits have been adopted since the start.
	limits   map[unit.CallerName]*limit
	removed  map[unit.CallerName]bool // Callers that have had a limit.
	accounts map[unit.CallerName]*account
	lenders  map[unit.DaemonID]*lender
	lending  int // Partitions in which this daemon lends.
	distance func(unit.DomainName) int
	effects  []Effect
}

// Option configures a Throttler under construction.
type Option func(*Throttler)

// WithDistance sets the distance to the daemons of a failure domain. Of several lenders, near
// ones are asked first.
func WithDistance(d func(unit.DomainName) int) Option { return func(t *Throttler) { t.distance = d } }

// limit is the limit of a caller.
type limit struct {
	allowance
	since unit.Instant // Before which no operations are saved up.
}

// New returns a Throttler that knows no limits.
func New(self unit.DaemonID, incarnation unit.Incarnation, options ...Option) *Throttler {
	t := &Throttler{
		self: self, roster: newRoster(self, incarnation),
		limits:   make(map[unit.CallerName]*limit),
		removed:  make(map[unit.CallerName]bool),
		accounts: make(map[unit.CallerName]*account),
		lenders:  make(map[unit.DaemonID]*lender),
		distance: func(unit.DomainName) int { return 0 },
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Step processes an event.
func (t *Throttler) Step(e Event) []Effect {
	t.effects = nil
	switch e := e.(type) {
	case Confirmed:
		t.confirm(e)
	case Limits:
		t.adopt(e)
	case Request:
		t.request(e)
	case Cancel:
		if a, ok := t.accounts[e.Caller]; ok {
			a.cancel(e.ID)
		}
	case Answered:
		t.answered(e)
	case Failed:
		t.failed(e)
	}
	return t.effects
}

func (t *Throttler) emit(e Effect) { t.effects = append(t.effects, e) }

// confirm records a confirmation of the member list.
func (t *Throttler) confirm(e Confirmed) {
	if t.roster.observe(e.View, e.Sent, e.Now) {
		t.recount(e.Now)
	}
	lending := 0
	for p := range partition(partitions) {
		if t.roster.lends(p, e.Now) {
			lending++
		}
	}
	if lending != t.lending {
		t.lending = lending
		t.emit(LendingChanged{Partitions: lending})
	}
}

// recount counts the members again. The buckets are filled up to now first, because the
// parts of the limits depend on the number.
func (t *Throttler) recount(now unit.Instant) {
	c := t.roster.count(now)
	if c.floors != t.census.floors || c.stable != t.census.stable {
		for _, a := range t.accounts {
			t.fill(a, now)
		}
	}
	t.census = c
}

// adopt replaces the limits.
func (t *Throttler) adopt(e Limits) {
	limited := make(map[unit.CallerName]bool)
	for _, c := range e.Callers {
		if c.RateLimit != nil {
			limited[c.Name] = true
			t.setLimit(c.Name, allotmentOf(*c.RateLimit), e.Now)
		}
	}
	for name := range t.limits {
		if !limited[name] {
			t.removeLimit(name)
		}
	}
	t.adopted = true
}

func (t *Throttler) setLimit(name unit.CallerName, a allotment, now unit.Instant) {
	l, ok := t.limits[name]
	switch {
	case !ok:
		l = &limit{allowance: allowance{current: a}}
		if t.removed[name] {
			l.since = now // What was used before is not known any more.
		}
		if !t.adopted {
			l.earlier = []earlierLimit{{unknown: true, until: now.Add(limitDelay)}}
		}
		t.limits[name] = l
	case l.current != a:
		if account, ok := t.accounts[name]; ok {
			t.fill(account, now)
			account.emptyUntil = [MaxShares]unit.Instant{} // By the earlier limit.
		}
		l.replace(a, now)
		l.since = now
	}
}

// removeLimit admits the waiting operations of a caller that has no limit any more.
func (t *Throttler) removeLimit(name unit.CallerName) {
	if a, ok := t.accounts[name]; ok {
		for _, id := range a.waiting {
			t.emit(Admit{ID: id, Source: Unlimited})
		}
		a.waiting = nil
	}
	delete(t.accounts, name)
	delete(t.limits, name)
	t.removed[name] = true
}
