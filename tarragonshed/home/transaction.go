package home

import (
	"context"
	"errors"
	"maps"
	"strings"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	// lockPatience is how long a statement of an open transaction waits for a
	// slot before it is taken to hold locks that what runs waits for.
	lockPatience = 5 * time.Millisecond
	// reportInterval is how often a lane's answers carry a report.
	reportInterval = 20 * time.Millisecond
	defaultTimeout = 5 * time.Second
	// leavingGrace is how long a leaving primary still takes writes, so that
	// the planned change of primary is not a gap.
	leavingGrace = time.Second
	// checkTimeout is how long a quiet connection may take to answer.
	checkTimeout = time.Second
)

// transaction is one transaction of a lane.
type transaction struct {
	lane     *lane
	request  *peer.Open
	target   *target
	relay    *relay
	conn     *conn
	deadline time.Time
	floor    unit.Position
	// slot tells that a slot is held, counted that the home and the limiter
	// count the transaction.
	slot, counted bool
	begun         time.Time
	// sent tells that a batch may have reached the instance and is not settled,
	// progressed that an earlier batch is, partial that the batch's end is to
	// come.
	sent, progressed, partial bool
	violated                  *result.Error
	// claimed tells that the request key has been dealt with, wraps what is to
	// be done about it when the batch is settled.
	claimed bool
	wraps   wrap
}

func newTransaction(l *lane, open *peer.Open) *transaction {
	t := &transaction{lane: l, request: open, floor: translator.FromPosition(open.Floor)}
	t.deadline = time.Now().Add(t.timeout())
	return t
}

func (t *transaction) isRead() bool { return t.request.Class == peer.Class_CLASS_READ }

// start gets a slot and a connection. After an error nothing is held.
func (t *transaction) start(ctx context.Context) *result.Error {
	if err := t.find(); err != nil {
		return err
	}
	if err := t.eligible(ctx); err != nil {
		return err
	}
	if !t.lane.home.begin() {
		return result.New(result.ShuttingDown, "the daemon is shutting down")
	}
	if err := t.admit(ctx, priority(t.request)); err != nil {
		t.lane.home.end()
		return err
	}
	t.counted = true
	if err := t.connect(ctx); err != nil {
		t.release()
		return err
	}
	return nil
}

// find finds the instance and looks at whether it takes new work.
func (t *transaction) find() *result.Error {
	now := t.lane.home.holder.Current()
	if now.Manifest == nil {
		return result.New(result.NoManifest, "no manifest is in force")
	}
	name := unit.InstanceName(t.request.Instance)
	i, g, ok := now.Manifest.Instance(name)
	if !ok {
		return result.New(result.InstanceLeaving, "the manifest has no instance %s", name)
	}
	if i.Leaving && (t.isRead() || time.Since(now.ManifestSince) > leavingGrace) {
		return result.New(result.InstanceLeaving, "instance %s is leaving", name)
	}
	t.target = t.lane.home.target(now, g, i)
	return nil
}

// eligible waits until the instance's report says that it can serve the
// transaction.
func (t *transaction) eligible(ctx context.Context) *result.Error {
	patience := time.Now().Add(time.Duration(t.request.FloorWaitMicroseconds) * time.Microsecond)
	if patience.After(t.deadline) {
		patience = t.deadline
	}
	for {
		report, reachable, next := t.target.last()
		if !reachable {
			return t.unreachable()
		}
		if !t.isRead() {
			if t.target.stalled(time.Now()) {
				return result.New(result.NotPrimary, "no majority confirms instance %s in term %d", t.target.name, report.Term)
			}
			if report.Role == instance.Primary {
				return nil
			}
			return result.New(result.NotPrimary, "instance %s is %s in term %d", t.target.name, report.Role, report.Term)
		}
		if report.Role == instance.Primary {
			// It shows what no majority may hold yet.
			return result.New(result.InstanceBehind, "instance %s is the primary, where reads are withheld like writes", t.target.name)
		}
		if t.covered(report) {
			return nil
		}
		if _, ok := await(ctx, t.lane, patience, next); !ok {
			return t.interrupted(result.InstanceBehind, "instance %s has applied %v and has to have applied %v", t.target.name, report.Applied, t.floor)
		}
	}
}

// unreachable refuses at once when the instance's address could not be reached at
// the last try, and reads with a staleness, which only a report can vouch for.
// Otherwise the connection or the answer will tell.
func (t *transaction) unreachable() *result.Error {
	if t.target.control.failing.Load() {
		return result.New(result.InstanceUnreachable, "instance %s can't be reached", t.target.name)
	}
	if t.isRead() && t.request.MaxStalenessMicroseconds > 0 {
		return result.New(result.InstanceUnreachable, "instance %s does not report how stale it is", t.target.name)
	}
	return nil
}

// covered reports whether reads see what the request asks for. A report that
// meets the staleness raises the floor: the answer must not be older than it.
func (t *transaction) covered(r instance.Report) bool {
	if r.Applied.Before(t.floor) {
		return false
	}
	limit := time.Duration(t.request.MaxStalenessMicroseconds) * time.Microsecond
	if limit == 0 {
		return true
	}
	if r.Staleness(time.Now()) > limit {
		return false
	}
	t.floor = r.Applied
	return true
}

// interrupted returns why a wait ended without its result.
func (t *transaction) interrupted(code result.Code, format string, args ...any) *result.Error {
	if t.lane.cancelled {
		return result.New(result.CancelledUnsent, "cancelled before it was sent")
	}
	return result.New(code, format, args...)
}

// admit waits for a slot.
func (t *transaction) admit(ctx context.Context, p limiter.Priority) *result.Error {
	asked := time.Now()
	if t.target.TryAdmit(p) {
		t.begin(asked)
		return nil
	}
	id, answer := t.target.Admit(unit.CallerName(t.request.Caller), p, t.deadline)
	if p == limiter.OpenTransaction {
		defer time.AfterFunc(lockPatience, func() { t.target.Overdue(id) }).Stop()
	}
	refusal, ok := await(ctx, t.lane, t.deadline, answer)
	if !ok {
		if t.target.Withdraw(id) {
			return t.interrupted(result.DeadlinePassed, "no slot of instance %s became free in time", t.target.name)
		}
		refusal = <-answer
	}
	if refusal != nil {
		return refusal
	}
	t.begin(asked)
	return nil
}

// begin notes that a slot is held.
func (t *transaction) begin(asked time.Time) {
	t.slot = true
	t.begun = time.Now()
	t.lane.home.metrics.slotWait.Update(t.begun.Sub(asked))
}

// connect gets a connection and gives it the session's settings.
func (t *transaction) connect(ctx context.Context) *result.Error {
	for {
		c, check, err := t.take(ctx)
		if err != nil {
			return err
		}
		if check && !answers(c) {
			continue
		}
		if err := c.adjust(ctx, t.settings()); err != nil {
			return t.settingsError(c, err)
		}
		t.conn = c
		t.relay = newRelay(ctx, t)
		if !c.begin(t.relay) {
			continue
		}
		return nil
	}
}

// readOnly are the settings of reads of sessions without settings. An instance
// that has become the primary must not write for them.
var readOnly = map[string]string{"default_transaction_read_only": "on"}

// settings returns the settings for the connection.
func (t *transaction) settings() map[string]string {
	if !t.isRead() {
		return t.request.Settings
	}
	if len(t.request.Settings) == 0 {
		return readOnly
	}
	settings := maps.Clone(t.request.Settings)
	maps.Copy(settings, readOnly)
	return settings
}

// settingsError gives the connection back or closes it, and tells whether the session's settings
// are to blame. They are not when the connection was lost, or when a late cancel
// request of an earlier statement hit.
func (t *transaction) settingsError(c *conn, err error) *result.Error {
	var failure *queryError
	if !c.isClosed() && errors.As(err, &failure) && refusesSetting(failure.code) {
		t.target.Release(c.id)
		return result.New(result.MalformedOption, "instance %s refused the session's settings: %v", t.target.name, err)
	}
	c.Close()
	return result.New(result.InstanceUnreachable, "instance %s: %v", t.target.name, err)
}

// refusesSetting reports whether an SQLSTATE is of the classes of invalid values,
// unknown names, insufficient rights and unsupported features.
func refusesSetting(code string) bool {
	for _, class := range []string{"22", "42", "0A", "55"} {
		if strings.HasPrefix(code, class) {
			return true
		}
	}
	return false
}

// take waits for a connection.
func (t *transaction) take(ctx context.Context) (c *conn, check bool, err *result.Error) {
	if g, ok := t.target.TryAcquire(); ok {
		return g.Conn, g.Check, nil
	}
	ticket, answer := t.target.Acquire()
	g, ok := await(ctx, t.lane, t.deadline, answer)
	if !ok {
		if !t.target.WithdrawAcquire(ticket) {
			if g = <-answer; g.Conn != nil {
				t.target.Release(g.ID)
			}
		}
		return nil, false, t.interrupted(result.DeadlinePassed, "no connection to instance %s became free in time", t.target.name)
	}
	return g.Conn, g.Check, g.Err
}

// answers makes a round trip on a connection that has been quiet.
func answers(c *conn) bool {
	ctx, stop := context.WithTimeout(context.Background(), checkTimeout)
	defer stop()
	return c.run(ctx, "") == nil
}

// release gives back everything that the transaction holds. The connection is
// idle or closed.
func (t *transaction) release() {
	t.finishSlot()
	if c := t.conn; c != nil {
		t.conn = nil
		c.begin(nil)
		if !c.isClean() {
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), checkTimeout)
				defer stop()
				if c.reset(ctx) == nil {
					t.target.Release(c.id)
				}
			}()
		} else {
			t.target.Release(c.id)
		}
	}
	if t.counted {
		t.counted = false
		t.target.EndTransaction()
		t.lane.home.end()
	}
}

func (t *transaction) finishSlot() {
	if !t.slot {
		return
	}
	t.slot = false
	took := time.Since(t.begun)
	t.target.Finish(took)
	t.lane.home.metrics.execution.Update(took)
}

func priority(open *peer.Open) limiter.Priority {
	switch {
	case open.Priority != peer.Priority_PRIORITY_UNSPECIFIED:
		return max(limiter.Write, limiter.Priority(open.Priority-peer.Priority_PRIORITY_OPEN_TRANSACTION))
	case open.Class == peer.Class_CLASS_READ:
		return limiter.StaleRead
	}
	return limiter.Write
}

// await waits for a value, and takes in requests meanwhile. It returns false
// when the deadline passes, the caller cancels or the lane is lost.
func await[T any](ctx context.Context, l *lane, deadline time.Time, values <-chan T) (value T, ok bool) {
	select {
	case value = <-values:
		return value, true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for !l.cancelled && !l.lost {
		select {
		case value = <-values:
			return value, true
		case request, ok := <-l.readable():
			l.note(request, ok)
		case <-timer.C:
			return value, false
		case <-ctx.Done():
			l.lost = true
		}
	}
	return value, false
}
