package overseer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
	"tarragonshed.example/wire/peer/peerconnect"
)

const (
	// openDelay is the time per rank that a daemon waits before it opens an era.
	openDelay = 300 * time.Millisecond
	// openInterval is the time between two attempts to open an era.
	openInterval = 200 * time.Millisecond
	// recallLimit bounds the time that a daemon's recollection takes to arrive. One that takes
	// longer than a lease is not needed any more.
	recallLimit = Lease
	// maxBatch bounds the rows in one transaction.
	maxBatch = 90
)

// errNotOpened means that the store was restored and its era is not open yet, so its rows
// confirm nothing.
var errNotOpened = errors.New("overseer: the era of the store is not open")

// pendingEra is an era that was not open when it was last read. The zero pendingEra is none.
// A store that names no era is in era zero.
type pendingEra struct {
	seen   bool
	era    unit.Era
	seenAt unit.Instant // When the first response of the era arrived.
}

// commit executes the transaction on condition that its era is still open. A call of an
// earlier era that is executed late therefore changes nothing.
func (o *Overseer) commit(ctx context.Context, tx Transaction) (Moment, error) {
	o.mu.Lock()
	known, open := o.table.era, o.table.expect(eraKey(tx.Era))
	o.mu.Unlock()
	if tx.Era != known {
		return Moment{}, ErrOtherEra
	}
	tx.Expected = append(tx.Expected, open)
	return o.store.Commit(ctx, tx)
}

// pendingEra returns the newest era if it is not open, as far as this daemon knows.
func (o *Overseer) pendingEra() (unit.Era, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending.era, o.isPending()
}

// isPending reports whether the newest era is not open, as far as this daemon knows. The caller
// holds mu.
func (o *Overseer) isPending() bool {
	opened := o.table.open() && o.table.era >= o.pending.era
	return o.pending.seen && !opened
}

// awaitOpening records that an era is not open and makes this daemon open it unless another one
// does before. It returns errNotOpened.
func (o *Overseer) awaitOpening(era unit.Era) error {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	isNew := !o.pending.seen || o.pending.era != era
	if !isNew && o.opening {
		return errNotOpened
	}
	if isNew {
		o.pending = pendingEra{seen: true, era: era, seenAt: now}
		o.logger.Warn("era of the store is not open", "era", era, "known", o.table.era)
	}
	o.opening = true
	go o.openWhenDue(o.pending)
	return errNotOpened
}

// openWhenDue opens the era when it is this daemon's turn, unless it is open by then.
func (o *Overseer) openWhenDue(p pendingEra) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.opening = false
	}()
	o.sleep(o.turnToOpen(p))
	for o.ctx.Err() == nil && o.stillPending(p) {
		err := o.open(p)
		if err == nil {
			o.logger.Info("era of the store opened", "era", p.era, "after", o.now().Sub(p.seenAt))
			o.announceToPeers()
			return
		}
		o.logger.Info("era of the store not opened", "era", p.era, "cause", err)
		o.sleep(openInterval)
	}
}

// sleep waits for d or until the overseer is closed.
func (o *Overseer) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-o.ctx.Done():
	}
}

// turnToOpen returns how long this daemon waits before it opens the era. The first daemon of
// its list tries at once, because it may learn of everything that the others know. Later ones
// follow when they need not know that, one after the other, and daemons without a list last.
func (o *Overseer) turnToOpen(p pendingEra) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	listed := o.auth.View().Listed()
	rank := slices.IndexFunc(listed, func(m authorizer.Member) bool { return m.Daemon == o.self.Daemon })
	switch {
	case p.era <= 1:
		return rand.N(openDelay) // All daemons start at the same time.
	case rank == 0:
		return 0
	case rank < 0:
		rank = len(listed)
	}
	return Lease + time.Duration(rank)*openDelay + rand.N(openDelay)
}

// stillPending reports whether the era is the newest one known and not open.
func (o *Overseer) stillPending(p pendingEra) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending == p && o.isPending()
}

// open writes the rows with which the era begins. It returns an error if they can't be
// determined yet, or if another daemon has written rows.
func (o *Overseer) open(p pendingEra) error {
	ctx, stop := context.WithTimeout(o.ctx, callTimeout)
	defer stop()
	rows, moment, err := o.store.Rows(ctx)
	if err != nil {
		return err
	}
	found := newTable(moment.Era, rows)
	if moment.Era != p.era {
		return ErrOtherEra
	}
	if found.open() {
		o.confirmNow()
		return errors.New("overseer: another daemon has opened the era")
	}
	view, _ := decode(found, moment.Now)
	asked := o.now() // An authority that a daemon reports may have ended by the time of its response.
	o.mu.Lock()
	restoration := authorizer.NewRestoration(o.auth.Config(), view, p.seenAt, o.auth.Recollect(asked))
	o.mu.Unlock()
	o.recall(restoration, p.era)
	if !restoration.Ready(asked) {
		return errors.New("overseer: daemons have not responded or have changes in progress")
	}
	return o.write(found, restoration.Rows(o.now()))
}

// recall asks the daemons on all member lists for their recollections. Their lists may have
// further daemons, which are asked then.
func (o *Overseer) recall(r *authorizer.Restoration, era unit.Era) {
	o.mu.Lock()
	known := o.auth.View()
	o.mu.Unlock()
	request := &peer.RecallRequest{Era: uint64(era), KnownEra: uint64(known.Era), KnownEpoch: known.Epoch}
	asked := map[unit.DaemonID]bool{o.self.Daemon: true}
	for {
		members := slices.DeleteFunc(r.Members(), func(m authorizer.Member) bool { return asked[m.Daemon] || m.Removed != 0 })
		if len(members) == 0 {
			return
		}
		responses := make(chan authorizer.Recollection, len(members))
		o.callEach(members, recallLimit, func(ctx context.Context, m authorizer.Member, c peerconnect.OverseerClient) {
			response, err := c.Recall(ctx, connect.NewRequest(request))
			if err != nil || response.Msg.Daemon != string(m.Daemon) {
				o.logger.Info("no recollection from a daemon", "daemon", m.Daemon, "cause", err)
				return
			}
			responses <- recollectionOf(response.Msg, known)
		})
		close(responses)
		for c := range responses {
			r.Record(c)
		}
		for _, m := range members {
			asked[m.Daemon] = true
		}
	}
}

// recollectionOf returns the recollection in a response to a daemon with the known rows.
func recollectionOf(m *peer.RecallResponse, known authorizer.View) authorizer.Recollection {
	c := authorizer.Recollection{
		Daemon: unit.DaemonID(m.Daemon), Incarnation: unit.Incarnation(m.Incarnation), View: known, Age: time.Duration(m.Age),
	}
	if !m.Same {
		rows := make([]Row, 0, len(m.Rows))
		for _, r := range m.Rows {
			rows = append(rows, Row{Key: r.Key, Value: r.Value, Version: r.Version})
		}
		c.View, _ = decode(newTable(unit.Era(m.Era), rows), time.Duration(m.StoreNow))
	}
	c.Held, c.Unsettled, c.Claimed = groupsOf(m.Held), groupsOf(m.Unsettled), groupsOf(m.Claimed)
	return c
}

// groupsOf returns the names in a message as names of groups.
func groupsOf(names []string) (groups []unit.GroupName) {
	for _, name := range names {
		groups = append(groups, unit.GroupName(name))
	}
	return groups
}

// namesOf returns the names of groups as in a message.
func namesOf(groups []unit.GroupName) (names []string) {
	for _, g := range groups {
		names = append(names, string(g))
	}
	return names
}

// Recall implements [peerconnect.OverseerHandler].
func (s service) Recall(_ context.Context, r *connect.Request[peer.RecallRequest]) (*connect.Response[peer.RecallResponse], error) {
	o := s.overseer
	era := unit.Era(r.Msg.Era)
	if era > o.era() {
		_ = o.awaitOpening(era) // This daemon learns of the restore, and ends its changes.
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table.era >= era {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("overseer: era %d is open", era))
	}
	c := o.auth.Recollect(o.now())
	response := &peer.RecallResponse{
		Daemon: string(c.Daemon), Incarnation: uint64(c.Incarnation),
		Era: uint64(o.table.era), StoreNow: int64(c.View.Now), Age: int64(c.Age),
		Held: namesOf(c.Held), Unsettled: namesOf(c.Unsettled), Claimed: namesOf(c.Claimed),
	}
	known := unit.Revision{Era: unit.Era(r.Msg.KnownEra), Version: r.Msg.KnownEpoch}
	if response.Same = known == o.table.revision() && len(o.table.rows) > 0; response.Same {
		return connect.NewResponse(response), nil
	}
	for _, row := range o.table.since(0) {
		response.Rows = append(response.Rows, &peer.RelayedRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return connect.NewResponse(response), nil
}

// write replaces the found rows by those of the view and opens its era with the last
// transaction. Each transaction expects that no other has been executed since the one before.
func (o *Overseer) write(found table, wanted authorizer.View) error {
	puts, deletes := differences(found, wanted)
	expected := found.expect(epochKey)
	for {
		tx := Transaction{Era: wanted.Era, Expected: []Expectation{expected}}
		n := min(len(puts), maxBatch)
		tx.Puts, puts = puts[:n:n], puts[n:]
		if n = min(len(deletes), maxBatch-n); len(puts) == 0 {
			tx.Deletes, deletes = deletes[:n], deletes[n:]
		}
		last := len(puts)+len(deletes) == 0
		if last {
			tx.Puts = append(tx.Puts, encode(eraKey(wanted.Era), opening{UnlistedUntil: wanted.UnlistedUntil}))
		}
		tx.Puts = append(tx.Puts, epochPut())
		ctx, stop := context.WithTimeout(o.ctx, callTimeout)
		moment, err := o.store.Commit(ctx, tx)
		stop()
		if err != nil || last {
			return err
		}
		expected.Version = moment.Version
	}
}

// differences returns what turns the found rows into those of the view, apart from the row of
// the view's era.
func differences(found table, wanted authorizer.View) (puts []Put, deletes []string) {
	var rows []Put
	if wanted.Duty != (authorizer.Duty{}) {
		rows = append(rows, encode(dutyKey, wanted.Duty))
	}
	for _, l := range wanted.Leaderships {
		rows = append(rows, encode(groupKey(l.Group), l))
	}
	for _, m := range wanted.Members {
		rows = append(rows, encode(memberKey(m.Daemon), m))
	}
	slices.SortFunc(rows, func(a, b Put) int { return strings.Compare(a.Key, b.Key) })
	for _, put := range rows {
		if !bytes.Equal(found.rows[put.Key].Value, put.Value) {
			puts = append(puts, put)
		}
	}
	for _, row := range found.since(0) {
		if strings.HasPrefix(row.Key, eraPrefix) {
			deletes = append(deletes, row.Key)
		}
	}
	return puts, deletes
}
