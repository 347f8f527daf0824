package engine

import (
	"context"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

const (
	// keyTimeout is how long an unknown key waits for a manifest that may contain it. In
	// normal operation the manifest is confirmed to be the newest one within this time.
	keyTimeout = 600 * time.Millisecond
	// keyPollInterval is how often a waiting key is looked up again.
	keyPollInterval = 20 * time.Millisecond
)

// unlimited admits all operations.
type unlimited struct{}

// Admit implements [RateLimits].
func (unlimited) Admit(context.Context, unit.CallerName) *result.Error { return nil }

// indexKeys returns the callers by their keys.
func indexKeys(callers []manifest.Caller) map[manifest.Key]*manifest.Caller {
	index := make(map[manifest.Key]*manifest.Caller)
	for n := range callers {
		for _, k := range callers[n].Keys {
			index[k] = &callers[n]
		}
	}
	return index
}

// anonymous is the caller without an account, on deployments without keys and on public routes.
var anonymous = &manifest.Caller{}

// caller returns the caller that has the key according to the manifest in force. The result is
// false if the route requires a key and no caller has this one.
func (e *Engine) caller(r manifest.Route, key manifest.Key) (*manifest.Caller, bool) {
	current := e.current.Load()
	if !current.manifest.KeysRequired {
		return anonymous, true
	}
	if c, ok := current.callers[key]; ok {
		return c, true
	}
	return anonymous, r.Public
}

// awaitCaller is like caller. An unknown key may be newer than the manifest in force, so it is
// refused only once the manifest has been confirmed to be the newest one since the call. All
// callers wait for the daemon's regular confirmations, so unknown keys cause no requests.
func (e *Engine) awaitCaller(r manifest.Route, key manifest.Key) (*manifest.Caller, *result.Error) {
	since, until := e.now(), time.Now().Add(keyTimeout)
	for {
		currentAt, known := e.currentAt()
		if c, ok := e.caller(r, key); ok {
			return c, nil
		}
		if known && currentAt >= since {
			return nil, errUnknownKey()
		}
		if !pause(e.waiting, keyPollInterval, until) {
			return nil, result.New(result.CutOff, "the key is unknown, and a newer manifest may contain it")
		}
	}
}

func errUnknownKey() *result.Error {
	return result.New(result.AuthenticationFailed, "no caller has this key")
}

// admit returns the route of a new operation and its caller, and counts the operation towards the
// caller's rate limit.
func (s *Session) admit() (manifest.Route, *group, *manifest.Caller, *result.Error) {
	e := s.engine
	route, g, err := e.route(s.database)
	if err != nil {
		return route, nil, nil, err
	}
	c, ok := e.caller(route, s.key)
	if !ok {
		return route, nil, nil, errUnknownKey()
	}
	if c.RateLimit != nil {
		err = e.rates.Admit(e.waiting, c.Name)
	}
	return route, g, c, err
}

// checkKey reports an open transaction whose caller no longer has the key with which it began.
func (t *transaction) checkKey() *result.Error {
	if c, ok := t.session.engine.caller(t.route, t.session.key); ok && c.Name == t.caller.Name {
		return nil
	}
	return result.New(result.RolledBack, "the key of the session no longer belongs to caller %q", t.caller.Name)
}
