package overseer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/pacer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// peerTimeout bounds a call to another daemon.
	peerTimeout = 400 * time.Millisecond
	// verifyTimeout bounds the opening of a connection to an instance that another daemon asks
	// about. The response has to arrive within peerTimeout.
	verifyTimeout = 300 * time.Millisecond
	// extendCheckInterval is the time between two checks whether the authority has to be
	// extended.
	extendCheckInterval = 100 * time.Millisecond
	// extendRequestInterval is the time between two requests for an extension.
	extendRequestInterval = Lease / 3
	// extendDelay is how long the store may fail before other daemons are requested to
	// vouch.
	extendDelay = 150 * time.Millisecond
	// extendConfirmationAge is the age of a confirmation above which the daemon reads the
	// store independently of its reader, and requests an extension at once if that read
	// fails. In normal operation no confirmation gets this old. The rest of the lease is
	// long enough for two requests.
	extendConfirmationAge = 750 * time.Millisecond

	// relayTimeout is how long nothing of the response to a relay request may arrive, in addition
	// to the time for which it may be held.
	relayTimeout = 300 * time.Millisecond
	// maxRelayedAge is the maximum age of a confirmation from a reader.
	maxRelayedAge = Lease * 2 / 3
	// relayAttempts is the number of daemons that are tried in one round for a relayed
	// confirmation.
	relayAttempts = 3
	// peerIdleTimeout is how long an unused connection to a daemon is kept. Extensions open
	// a connection to every daemon.
	peerIdleTimeout = 5 * time.Second
	// maxPeerBytes bounds the size of a message from another daemon.
	maxPeerBytes = 32 << 20
)

func newPeerClient(dial dialer.Func) *http.Client {
	return &http.Client{Transport: pacer.Transport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	})}
}

// peer returns the client of the daemon at the address.
func (o *Overseer) peer(address string) peerconnect.OverseerClient {
	o.peersMu.Lock()
	defer o.peersMu.Unlock()
	c, ok := o.peers[address]
	if !ok {
		c = peerconnect.NewOverseerClient(o.client, "http://"+address,
			connect.WithSendCompression(""), connect.WithReadMaxBytes(maxPeerBytes))
		o.peers[address] = c
	}
	return c
}

// callAll calls f concurrently for each daemon and returns when all calls have returned. A call may
// take peerTimeout.
func (o *Overseer) callAll(members []authorizer.Member, f func(context.Context, authorizer.Member, peerconnect.OverseerClient)) {
	o.callEach(members, peerTimeout, f)
}

// callEach is like callAll. A call may take as long as its response arrives, up to the limit.
func (o *Overseer) callEach(members []authorizer.Member, limit time.Duration, f func(context.Context, authorizer.Member, peerconnect.OverseerClient)) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() {
			ctx, call := pacer.Begin(o.ctx, peerTimeout, pacer.WithLimit(limit))
			defer call.End()
			f(ctx, m, o.peer(m.Address))
		})
	}
	wg.Wait()
}

// others returns the other daemons on the member list.
func (o *Overseer) others() []authorizer.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(o.auth.View().Listed(), func(m authorizer.Member) bool { return m.Daemon == o.self.Daemon })
}

// sampleOthers returns at most n other daemons in random order, the preferred ones first.
func (o *Overseer) sampleOthers(n int, preferred func(authorizer.Member) bool) []authorizer.Member {
	var first, rest []authorizer.Member
	for _, m := range o.others() {
		if preferred(m) {
			first = append(first, m)
		} else {
			rest = append(rest, m)
		}
	}
	rand.Shuffle(len(first), func(a, b int) { first[a], first[b] = first[b], first[a] })
	rand.Shuffle(len(rest), func(a, b int) { rest[a], rest[b] = rest[b], rest[a] })
	all := append(first, rest...)
	return all[:min(n, len(all))]
}

// extend requests the other daemons to vouch while the store does not confirm the rows.
func (o *Overseer) extend() {
	expiring := o.expiring()
	if expiring && !o.storeUnavailable(0) {
		o.readInBackground()
	}
	away := o.storeUnavailable(extendDelay) || expiring && o.storeUnavailable(0)
	if !away || !o.extensionDue() {
		return
	}
	o.mu.Lock()
	sent, view := o.now(), o.auth.View()
	members, ok := o.auth.BeginExtension(sent)
	o.mu.Unlock()
	if ok {
		go o.callAll(members, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
			response, err := c.Vouch(ctx, connect.NewRequest(&peer.VouchRequest{Era: uint64(view.Era), Epoch: view.Epoch}))
			if err != nil {
				o.logger.Debug("vouch request failed", "daemon", m.Daemon, "cause", err)
				return
			}
			o.meters.extended.Inc(1)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.auth.RecordVouch(vouchOf(response.Msg), sent, o.now())
		})
	}
	go o.relayFromPeers()
	if o.documents != nil {
		go o.fetch()
	}
}

func vouchOf(r *peer.VouchResponse) authorizer.Vouch {
	v := authorizer.Vouch{
		Daemon: unit.DaemonID(r.Daemon), Incarnation: unit.Incarnation(r.Incarnation), Idle: r.Idle, Ahead: r.Ahead,
	}
	for _, group := range r.Dropped {
		v.Dropped = append(v.Dropped, unit.GroupName(group))
	}
	return v
}

// expiring reports whether the last confirmation is so old that the authority expires soon.
// A daemon that relies on a reader detects an outage of the store late.
func (o *Overseer) expiring() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	confirmed, known := o.auth.Confirmed()
	return known && o.now().Sub(confirmed) > extendConfirmationAge
}

// readInBackground reads the store without waiting for the reader, unless such a read is
// already in flight.
func (o *Overseer) readInBackground() {
	if o.reading.Swap(true) {
		return
	}
	go func() {
		defer o.reading.Store(false)
		if err := o.read(); err != nil {
			o.recordStoreFailure(err)
			return
		}
		o.recordStoreSuccess()
	}()
}

// extensionDue reports whether an extension is to be requested now, and if so records the
// request.
func (o *Overseer) extensionDue() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.extensionRequestedAt) < extendRequestInterval {
		return false
	}
	o.extensionRequestedAt = time.Now()
	return true
}

// nextPeer returns the address of another daemon, a different one at each call. Every
// second one is of the same failure domain if there are any: such a daemon is near, but may
// be partitioned from the store together with this one.
func (o *Overseer) nextPeer() (string, bool) {
	turn := int(o.turn.Add(1))
	var addresses, sameDomain []string
	for _, m := range o.others() {
		addresses = append(addresses, m.Address)
		if m.Domain == o.self.Domain {
			sameDomain = append(sameDomain, m.Address)
		}
	}
	if len(sameDomain) > 0 && turn%2 == 0 {
		addresses = sameDomain
	}
	if len(addresses) == 0 {
		for _, seed := range o.seeds {
			if seed != o.self.Address {
				addresses = append(addresses, seed)
			}
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	slices.Sort(addresses)
	return addresses[turn/2%len(addresses)], true
}

// relayFromPeers requests a confirmation from other daemons until one provides it. If the
// confirmed member list lacks this daemon, it also requests to be added to the list.
func (o *Overseer) relayFromPeers() {
	for range relayAttempts {
		address, ok := o.nextPeer()
		if !ok {
			return
		}
		if _, err := o.relayFrom(address, 0, Majority); err != nil {
			continue
		}
		if o.isListed() || o.enlistThrough(address) == nil {
			return
		}
	}
}

// errNoConfirmation means that a daemon has no confirmation that is recent enough.
var errNoConfirmation = errors.New("overseer: the daemon has no recent confirmation")

// relayFrom obtains a confirmation that is no older than maxAge from the daemon at the
// address, which may hold the request for up to maxHold. It returns for how long the
// request was held.
func (o *Overseer) relayFrom(address string, maxHold, maxAge time.Duration) (time.Duration, error) {
	ctx, call := pacer.Begin(o.ctx, relayTimeout, pacer.WithFirst(maxHold+relayTimeout), pacer.WithLimit(maxHold+transferTimeout))
	defer call.End()
	o.mu.Lock()
	known := o.table
	o.mu.Unlock()
	held, err := o.relaySince(ctx, address, known, maxHold, maxAge)
	return held, call.Err(err)
}

// relaySince obtains a confirmation from the daemon at the address, with the rows that have
// changed since the known ones.
func (o *Overseer) relaySince(ctx context.Context, address string, known table, maxHold, maxAge time.Duration) (time.Duration, error) {
	sent := o.now()
	request := &peer.RelayRequest{Era: uint64(known.era), Epoch: known.epoch(), Patience: int64(maxHold)}
	response, err := o.peer(address).Relay(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, err
	}
	held, age := time.Duration(response.Msg.Held), time.Duration(response.Msg.Age)
	if !response.Msg.Confirmed || age > maxAge {
		return held, errNoConfirmation
	}
	o.meters.relayed.Inc(1)
	// This is a lower bound for when the response was given: the request was sent before it
	// arrived, and the response was delayed by the time for which the request was held.
	responded := sent.Add(held)
	if !o.adoptRelayed(response.Msg, known, responded.Add(-age)) {
		return o.relaySince(ctx, address, table{}, 0, maxAge)
	}
	o.receiveDocuments(address, response.Msg.Documents, responded)
	return held, nil
}

// adoptRelayed adopts the rows of another daemon's confirmation. It returns false if rows
// have been deleted since the known ones, which the response does not list.
func (o *Overseer) adoptRelayed(response *peer.RelayResponse, known table, confirmed unit.Instant) bool {
	revision := unit.Revision{Era: unit.Era(response.Era), Version: response.Epoch}
	switch {
	case revision.Before(known.revision()):
		return true // The other daemon receives the newer rows shortly.
	case revision == known.revision():
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.table.revision() == revision {
			o.auth.Reconfirm(confirmed, time.Duration(response.StoreNow))
		}
		return true
	case revision.Era != known.era:
		known = table{era: revision.Era} // The response has all rows.
	}
	rows := make([]Row, 0, len(response.Rows))
	for _, r := range response.Rows {
		rows = append(rows, Row{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	updated := known.with(rows)
	if len(updated.rows) != int(response.Count) {
		return false
	}
	o.adopt(updated, time.Duration(response.StoreNow), confirmed)
	return true
}

// announceToPeers notifies the other daemons that rows have changed.
func (o *Overseer) announceToPeers() {
	o.confirmNow()
	go o.callAll(o.others(), func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		if _, err := c.Announce(ctx, connect.NewRequest(&peer.AnnounceRequest{})); err != nil {
			o.logger.Debug("daemon not notified of changed rows", "daemon", m.Daemon, "cause", err)
		}
	})
}
