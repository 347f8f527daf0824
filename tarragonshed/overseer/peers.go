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
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// peerTimeout bounds a call to another daemon.
	peerTimeout = 400 * time.Millisecond
	// extendInterval is how often an extension of the authority is looked at.
	extendInterval = 100 * time.Millisecond
	// extendEvery is the time between two questions for an extension: a third of
	// a lease.
	extendEvery = Lease / 3
	// extendAfter is how long the store may fail before the others are asked.
	extendAfter = 150 * time.Millisecond
	// extendAge is the age of a confirmation at which the daemon reads the store
	// whatever its reader does, and asks the others at once if that fails. In good
	// order none gets so old, and two questions fit into what is left of the lease.
	extendAge = 750 * time.Millisecond

	// relayTimeout bounds a question for a confirmation.
	relayTimeout = 300 * time.Millisecond
	// relayedAge is the greatest age of a confirmation that a reader may pass on.
	relayedAge = Lease * 2 / 3
	// relayTries is the number of daemons that are asked for a confirmation in
	// one round.
	relayTries = 3
	// peerIdle is how long a connection to a daemon is kept that is not asked any
	// more. An extension asks them all.
	peerIdle = 5 * time.Second
	// maxPeerBytes bounds a message of another daemon.
	maxPeerBytes = 32 << 20
)

func newPeerClient(dial dialer.Func) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     peerIdle,
		DisableCompression:  true,
	}}
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

// ask calls f for each daemon at once and returns when all have answered.
func (o *Overseer) ask(members []authorizer.Member, f func(context.Context, authorizer.Member, peerconnect.OverseerClient)) {
	ctx, stop := context.WithTimeout(o.ctx, peerTimeout)
	defer stop()
	var all sync.WaitGroup
	for _, m := range members {
		all.Go(func() { f(ctx, m, o.peer(m.Address)) })
	}
	all.Wait()
}

// others returns the other daemons on the list.
func (o *Overseer) others() []authorizer.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(o.auth.View().Listed(), func(m authorizer.Member) bool { return m.Daemon == o.self.Daemon })
}

// someOthers returns at most n other daemons by chance, those first that go before.
func (o *Overseer) someOthers(n int, goesBefore func(authorizer.Member) bool) []authorizer.Member {
	var first, rest []authorizer.Member
	for _, m := range o.others() {
		if goesBefore(m) {
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

// extend asks the other daemons to vouch while the store does not confirm.
func (o *Overseer) extend() {
	expiring := o.expiring()
	if expiring && !o.storeAway(0) {
		o.readNow()
	}
	away := o.storeAway(extendAfter) || expiring && o.storeAway(0)
	if !away || !o.extensionDue() {
		return
	}
	o.mu.Lock()
	asked, epoch := o.now(), o.auth.View().Epoch
	members, ok := o.auth.BeginExtension(asked)
	o.mu.Unlock()
	if ok {
		go o.ask(members, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
			answer, err := c.Vouch(ctx, connect.NewRequest(&peer.VouchRequest{Epoch: epoch}))
			if err != nil {
				o.logger.Debug("daemon does not vouch", "daemon", m.Daemon, "cause", err)
				return
			}
			o.figures.extended.Inc(1)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.auth.RecordVouch(vouchOf(answer.Msg), asked, o.now())
		})
	}
	go o.relay()
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

// expiring reports whether the last confirmation is so old that the authority ends
// soon. A daemon that a reader confirms hears late that the store is away.
func (o *Overseer) expiring() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	confirmed, known := o.auth.Confirmed()
	return known && o.now().Sub(confirmed) > extendAge
}

// readNow reads the store beside the confirmations that come by the reader.
func (o *Overseer) readNow() {
	if o.reading.Swap(true) {
		return
	}
	go func() {
		defer o.reading.Store(false)
		if err := o.read(); err != nil {
			o.lost(err)
			return
		}
		o.regained()
	}()
}

// extensionDue reports whether the last question is old enough.
func (o *Overseer) extensionDue() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.asked) < extendEvery {
		return false
	}
	o.asked = time.Now()
	return true
}

// nextPeer returns the address of another daemon, each time the next one. Every
// second one is of the same failure domain, if there are any: it is close, but may be
// cut off like this daemon.
func (o *Overseer) nextPeer() (string, bool) {
	turn := int(o.turn.Add(1))
	var addresses, near []string
	for _, m := range o.others() {
		addresses = append(addresses, m.Address)
		if m.Domain == o.self.Domain {
			near = append(near, m.Address)
		}
	}
	if len(near) > 0 && turn%2 == 0 {
		addresses = near
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

// relay asks other daemons for a confirmation that the store gave to them, until
// one has it.
func (o *Overseer) relay() {
	for range relayTries {
		address, ok := o.nextPeer()
		if !ok {
			return
		}
		if _, err := o.relayFrom(address, 0, Majority); err == nil {
			return
		}
	}
}

// errNoConfirmation says that a daemon has no young confirmation to pass on.
var errNoConfirmation = errors.New("overseer: the daemon has no young confirmation")

// relayFrom takes a confirmation from the daemon at the address, which may hold its
// answer for the patience, if it is no older than oldest. It returns for how long the
// answer was held.
func (o *Overseer) relayFrom(address string, patience, oldest time.Duration) (time.Duration, error) {
	ctx, stop := context.WithTimeout(o.ctx, patience+relayTimeout)
	defer stop()
	o.mu.Lock()
	known := o.table
	o.mu.Unlock()
	return o.relaySince(ctx, address, known, patience, oldest)
}

// relaySince takes a confirmation from the daemon at the address, with the rows
// that have changed since those known.
func (o *Overseer) relaySince(ctx context.Context, address string, known table, patience, oldest time.Duration) (time.Duration, error) {
	asked := o.now()
	request := &peer.RelayRequest{Epoch: known.epoch(), Patience: int64(patience)}
	answer, err := o.peer(address).Relay(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, err
	}
	held, age := time.Duration(answer.Msg.Held), time.Duration(answer.Msg.Age)
	if !answer.Msg.Confirmed || age > oldest {
		return held, errNoConfirmation
	}
	o.figures.relayed.Inc(1)
	// The store was asked no earlier than this: the question was sent before it
	// came, and the other daemon answered as much later as it held the answer.
	if !o.takeRelayed(answer.Msg, known, asked.Add(held-age)) {
		return o.relaySince(ctx, address, table{}, 0, oldest)
	}
	if o.documents != nil && o.lacks(answer.Msg.Documents) {
		o.fetchFrom(address)
	}
	return held, nil
}

// lacks reports whether one of the documents is newer than the own one.
func (o *Overseer) lacks(offered []*peer.Document) bool {
	known := o.documents.Versions()
	for _, d := range offered {
		if d.Version > known[d.Name] {
			return true
		}
	}
	return false
}

// takeRelayed takes the rows of another daemon's confirmation in. It returns false
// if the answer lacks that rows were dropped.
func (o *Overseer) takeRelayed(answer *peer.RelayResponse, known table, confirmed unit.Instant) bool {
	if answer.Epoch < known.epoch() {
		return true // The other daemon will know the newer rows in a moment.
	}
	if answer.Epoch == known.epoch() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.table.epoch() == answer.Epoch {
			o.auth.Reconfirm(confirmed, time.Duration(answer.StoreNow))
		}
		return true
	}
	rows := make([]Row, 0, len(answer.Rows))
	for _, r := range answer.Rows {
		rows = append(rows, Row{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	now := known.with(rows)
	if len(now.rows) != int(answer.Count) {
		return false
	}
	o.adopt(now, time.Duration(answer.StoreNow), confirmed)
	return true
}

// versionsOf returns the documents in force without their bodies.
func versionsOf(documents Documents) []*peer.Document {
	var all []*peer.Document
	for name, version := range documents.Versions() {
		all = append(all, &peer.Document{Name: name, Version: version})
	}
	return all
}

// fetch asks another daemon for newer documents.
func (o *Overseer) fetch() {
	if address, ok := o.nextPeer(); ok {
		o.fetchFrom(address)
	}
}

func (o *Overseer) fetchFrom(address string) {
	ctx, stop := context.WithTimeout(o.ctx, peerTimeout)
	defer stop()
	request := &peer.FetchRequest{Known: versionsOf(o.documents)}
	answer, err := o.peer(address).Fetch(ctx, connect.NewRequest(request))
	if err != nil {
		return // The next daemon is asked at the next turn.
	}
	for _, d := range answer.Msg.Documents {
		o.logger.Info("document taken from another daemon", "document", d.Name, "version", d.Version, "from", address)
		o.documents.Offer(Document{Name: d.Name, Version: d.Version, Body: d.Body})
	}
}

// spread tells the other daemons that rows have changed.
func (o *Overseer) spread() {
	o.hurry()
	go o.ask(o.others(), func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
		if _, err := c.Announce(ctx, connect.NewRequest(&peer.AnnounceRequest{})); err != nil {
			o.logger.Debug("daemon not told of changed rows", "daemon", m.Daemon, "cause", err)
		}
	})
}
