package throttler

import (
	"math"
	"slices"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/placer"
	"tarragonshed.example/unit"
)

const (
	// demandWindow is the time over which the demand of a caller is averaged.
	demandWindow = time.Second
	// borrowerKind is the kind of work in the weights of [placer].
	borrowerKind = "rate-borrower"
)

// account is the state of a limited caller.
type account struct {
	caller     unit.CallerName
	limit      *limit
	floor      bucket
	lent       [MaxShares]bucket // What this daemon lends of each share.
	emptyUntil [MaxShares]unit.Instant
	doublings  [MaxShares]int  // Of the time until a share is asked again.
	missing    [MaxShares]bool // Whether the last answer of a share's lender was of no use.
	first      int             // The share that is asked first.
	grants     []granted
	waiting    []ID
	demand     demand
	asking     bool
	asked      Share // The share that is being asked.
}

// granted is a number of operations that may be used until a time.
type granted struct {
	count int
	until unit.Instant
}

// newAccount returns the state of a caller. Daemons begin with different shares.
func newAccount(self unit.DaemonID, name unit.CallerName, l *limit) *account {
	return &account{caller: name, limit: l, first: int(placer.Hash(borrowerKind, string(name), self) % MaxShares)}
}

// demand is an exponentially decaying count of operations.
type demand struct {
	count float64
	at    unit.Instant
}

func (d *demand) add(now unit.Instant) {
	d.count = d.count*math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds()) + 1
	d.at = now
}

// expected returns the number of operations that are expected within the time.
func (d *demand) expected(within time.Duration) int {
	return int(d.count * within.Seconds() / demandWindow.Seconds())
}

// held returns the number of granted operations that may still be used.
func (a *account) held(now unit.Instant) int {
	a.grants = slices.DeleteFunc(a.grants, func(g granted) bool { return g.count == 0 || now >= g.until })
	n := 0
	for _, g := range a.grants {
		n += g.count
	}
	return n
}

// useGrant uses one granted operation.
func (a *account) useGrant(now unit.Instant) bool {
	if a.held(now) == 0 {
		return false
	}
	a.grants[0].count--
	return true
}

func (a *account) cancel(id ID) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w ID) bool { return w == id })
}

// extra returns how many operations to request in advance: those that are used well before
// they lapse.
func (a *account) extra(now unit.Instant) int {
	expected, held := a.demand.expected(a.limit.current.validity()/2), a.held(now)
	if held > expected/2 {
		return 0
	}
	return expected - held
}

// lender is another daemon that lends.
type lender struct {
	busy        bool // Whether a request is in flight.
	number      uint64
	asked       unit.Instant // When the request in flight was sent.
	wants       []Want
	pending     []*account // Those to ask for next.
	address     string
	failedUntil unit.Instant
}

// request admits an operation, or lets it wait for a lender.
func (t *Throttler) request(e Request) {
	a, ok := t.account(e.Caller, e.Now)
	if !ok {
		t.emit(Admit{ID: e.ID, Source: Unlimited})
		return
	}
	a.demand.add(e.Now)
	switch {
	case a.useGrant(e.Now):
		t.emit(Admit{ID: e.ID, Source: FromLender})
	case t.roster.hasFloors(e.Now) && a.floor.take(1) == 1:
		t.emit(Admit{ID: e.ID, Source: FromFloor})
	default:
		a.waiting = append(a.waiting, e.ID)
		t.ask(a, e.Now)
		return
	}
	t.prefetch(a, e.Now)
}

// ask asks lenders for the waiting operations of a caller, one share after the other, and
// refuses them once all are used up.
func (t *Throttler) ask(a *account, now unit.Instant) {
	for !a.asking && len(a.waiting) > 0 {
		share, m, ok := t.choose(a, now)
		switch {
		case !ok:
			t.refuse(a, now)
		case m.Daemon == t.self:
			waiting := len(a.waiting)
			t.receive(a, share, waiting, t.grant(Want{Caller: a.caller, Share: share, Waiting: waiting}, now), now, now)
		default:
			t.enqueue(a, share, m, now)
		}
	}
}

// prefetch asks another daemon for operations that are expected soon.
func (t *Throttler) prefetch(a *account, now unit.Instant) {
	if a.asking || a.extra(now) == 0 {
		return
	}
	if share, m, ok := t.choose(a, now); ok && m.Daemon != t.self {
		t.enqueue(a, share, m, now)
	}
}

// choose returns the share to ask, and its lender: this daemon if it lends one, otherwise a
// near one. Of equally near ones, daemons prefer different ones.
func (t *Throttler) choose(a *account, now unit.Instant) (share Share, m authorizer.Member, found bool) {
	n, best := a.limit.current.shares(), 0
	for i := range n {
		s := Share((a.first + i) % n)
		candidate, ok := t.available(a, s, now)
		switch {
		case !ok:
			continue
		case candidate.Daemon == t.self:
			return s, candidate, true
		}
		if distance := t.distance(candidate.Domain); !found || distance < best {
			share, m, best, found = s, candidate, distance, true
		}
	}
	return share, m, found
}

// available returns the lender of the share unless it is known to grant nothing now.
func (t *Throttler) available(a *account, s Share, now unit.Instant) (authorizer.Member, bool) {
	m, ok := t.roster.lender(partitionOf(a.caller, s), now)
	if !ok || now < a.emptyUntil[s] {
		return authorizer.Member{}, false
	}
	l, known := t.lenders[m.Daemon]
	return m, !known || now >= l.failedUntil
}

// refuse refuses the waiting operations of a caller.
func (t *Throttler) refuse(a *account, now unit.Instant) {
	retry, unreachable := maxRetry, false
	for s := range Share(a.limit.current.shares()) {
		after := a.emptyUntil[s].Sub(now)
		if after <= 0 { // Its lender is not known or has not responded.
			after = lenderRetry
			unreachable = true
		}
		unreachable = unreachable || a.missing[s]
		retry = min(retry, after)
	}
	for _, id := range a.waiting {
		t.emit(Refuse{ID: id, Caller: a.caller, RetryAfter: retry, Unreachable: unreachable})
	}
	a.waiting = nil
}

// enqueue asks a lender as soon as its request in flight has ended. One request carries the
// wants of all callers that wait for this lender.
func (t *Throttler) enqueue(a *account, s Share, m authorizer.Member, now unit.Instant) {
	l, ok := t.lenders[m.Daemon]
	if !ok {
		l = &lender{}
		t.lenders[m.Daemon] = l
	}
	a.asking, a.asked = true, s
	l.address = m.Address
	l.pending = append(l.pending, a)
	t.flush(m.Daemon, l, now)
}

// flush sends the pending wants.
func (t *Throttler) flush(d unit.DaemonID, l *lender, now unit.Instant) {
	if l.busy || len(l.pending) == 0 {
		return
	}
	l.wants = make([]Want, 0, len(l.pending))
	for _, a := range l.pending {
		l.wants = append(l.wants, Want{Caller: a.caller, Share: a.asked, Waiting: len(a.waiting), Extra: a.extra(now)})
	}
	l.pending = nil
	l.busy, l.asked = true, now
	l.number++
	t.emit(Ask{Lender: d, Address: l.address, Number: l.number, Wants: l.wants})
}

// answered distributes the grants of a lender.
func (t *Throttler) answered(e Answered) {
	l, ok := t.lenders[e.Lender]
	if !ok || !l.busy || l.number != e.Number {
		return
	}
	if len(e.Grants) != len(l.wants) {
		t.failed(Failed{Lender: e.Lender, Number: e.Number, Now: e.Now})
		return
	}
	asked := make([]*account, 0, len(l.wants))
	for i, w := range l.wants {
		if a, ok := t.accounts[w.Caller]; ok && a.asking && a.asked == w.Share {
			a.asking = false
			g := e.Grants[i]
			g.Granted = min(g.Granted, w.Waiting+w.Extra)
			t.receive(a, w.Share, w.Waiting, g, l.asked, e.Now)
			asked = append(asked, a)
		}
	}
	for _, a := range asked { // Still busy, so that one request carries what more they want.
		t.ask(a, e.Now)
	}
	l.busy = false
	t.flush(e.Lender, l, e.Now)
}

// receive admits waiting operations from a grant that was requested at asked.
func (t *Throttler) receive(a *account, s Share, wanted int, g Grant, asked, now unit.Instant) {
	until := asked.Add(min(g.Validity, MaxValidity))
	a.missing[s] = g.NotLending || now >= until
	switch {
	case g.NotLending:
		a.emptyUntil[s] = now.Add(lenderRetry)
		return
	case now >= until: // Asking once more would probably take as long.
		a.emptyUntil[s] = now.Add(minRetry)
		return
	case g.Granted < wanted:
		retry := max(shortestRetry, min(maxRetry, g.RetryAfter)<<a.doublings[s])
		if len(a.limit.earlier) > 0 { // The lender may not know the new limit yet.
			retry = min(retry, lenderRetry)
		}
		a.emptyUntil[s] = now.Add(retry)
	}
	a.doublings[s] = min(a.doublings[s]+1, maxDoublings)
	if g.Granted > 0 {
		a.doublings[s] = 0
		t.admitWaiting(a, g.Granted, until)
	}
}

// admitWaiting admits waiting operations from granted ones, and keeps the rest of these.
func (t *Throttler) admitWaiting(a *account, count int, until unit.Instant) {
	used := min(count, len(a.waiting))
	for _, id := range a.waiting[:used] {
		t.emit(Admit{ID: id, Source: FromLender})
	}
	a.waiting = a.waiting[used:]
	a.grants = append(a.grants, granted{count: count - used, until: until})
}

// failed turns to other lenders after one has not responded.
func (t *Throttler) failed(e Failed) {
	l, ok := t.lenders[e.Lender]
	if !ok || !l.busy || l.number != e.Number {
		return
	}
	l.busy = false
	l.failedUntil = e.Now.Add(lenderRetry)
	retry := l.pending
	for _, w := range l.wants {
		if a, ok := t.accounts[w.Caller]; ok && a.asking && a.asked == w.Share {
			retry = append(retry, a)
		}
	}
	l.pending = nil
	for _, a := range retry {
		a.asking = false
	}
	for _, a := range retry {
		t.ask(a, e.Now)
	}
}
