package throttler

import (
	"tarragonshed.example/unit"
)

// Lend returns the grants for the wants of another daemon, in their order.
func (t *Throttler) Lend(wants []Want, now unit.Instant) []Grant {
	grants := make([]Grant, 0, len(wants))
	for _, w := range wants {
		grants = append(grants, t.grant(w, now))
	}
	return grants
}

// grant takes operations from the bucket of a share. An extra operation may lapse unused, so
// at most half of what is left is granted beyond the operations that wait.
func (t *Throttler) grant(w Want, now unit.Instant) Grant {
	a, ok := t.account(w.Caller, now)
	if !ok || w.Share < 0 || w.Share >= MaxShares || !t.roster.lends(partitionOf(w.Caller, w.Share), now) {
		return Grant{NotLending: true}
	}
	b := &a.lent[w.Share]
	granted := b.take(max(0, w.Waiting))
	granted += b.take(min(max(0, w.Extra), int(b.tokens)/2))
	part := a.limit.share(w.Share, t.census.stable)
	g := Grant{Granted: granted, Validity: part.validity()}
	if granted < w.Waiting {
		g.RetryAfter = b.wait(part.lendable())
	}
	return g
}

// account returns the state of a limited caller, with its buckets filled up to now.
func (t *Throttler) account(name unit.CallerName, now unit.Instant) (*account, bool) {
	l, ok := t.limits[name]
	if !ok {
		return nil, false
	}
	a, ok := t.accounts[name]
	if !ok {
		a = newAccount(t.self, name, l)
		t.accounts[name] = a
	}
	if now >= t.census.next {
		t.recount(now)
	}
	t.fill(a, now)
	return a, true
}

// fill fills the buckets of a caller up to now. Parts of the limit that change in between
// are filled in steps.
func (t *Throttler) fill(a *account, now unit.Instant) {
	for {
		next, ok := a.limit.next()
		if !ok || next > now {
			break
		}
		t.fillTo(a, next)
		a.limit.expire(next)
	}
	t.fillTo(a, now)
}

func (t *Throttler) fillTo(a *account, now unit.Instant) {
	a.floor.begin(max(a.limit.since, t.roster.floorStart))
	a.floor.fill(a.limit.floor(t.census.floors), now)
	for s := range Share(MaxShares) {
		a.lent[s].begin(max(a.limit.since, t.roster.starts[partitionOf(a.caller, s)]))
		a.lent[s].fill(a.limit.share(s, t.census.stable).lendable(), now)
	}
}
