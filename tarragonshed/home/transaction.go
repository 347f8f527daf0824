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
	// lockTimeout is how long a statement of an open transaction waits for a slot.
	// After that the transaction is assumed to hold locks that the running statements
	// wait for, and may exceed the number of slots.
	lockTimeout = 5 * time.Millisecond
	// reportInterval is the minimum time between two answers of a stream that carry a
	// report.
	reportInterval = 20 * time.Millisecond
	defaultTimeout = 5 * time.Second
	// leavingGrace is how long a leaving primary accepts writes, so that a planned
	// change of primary causes no gap in service.
	leavingGrace = time.Second
	// checkTimeout is the timeout of a round trip that checks or resets an idle
	// connection.
	checkTimeout = time.Second
)

// transaction is one transaction of a stream.
type transaction struct {
	stream   *stream
	request  *peer.Open
	target   *target
	relay    *relay
	conn     *conn
	deadline time.Time
	floor    unit.Position
	// slot reports whether the transaction holds a slot, and counted whether the home
	// and the limiter count it as open.
	slot, counted bool
	begun         time.Time
	// sent reports whether a batch may have reached the instance and is not settled,
	// progressed whether an earlier batch is settled, and partial whether the end of
	// the batch has yet to arrive.
	sent, progressed, partial bool
	violated                  *result.Error
	// claimed reports whether the request key has been handled. keyAction is what to
	// do about it when the batch is settled.
	claimed   bool
	keyAction keyAction
}

func newTransaction(s *stream, open *peer.Open) *transaction {
	t := &transaction{stream: s, request: open, floor: translator.FromPosition(open.Floor)}
	t.deadline = time.Now().Add(t.timeout())
	return t
}

func (t *transaction) isRead() bool { return t.request.Class == peer.Class_CLASS_READ }

// start acquires a slot and a connection. After an error it holds neither.
func (t *transaction) start(ctx context.Context) *result.Error {
	if err := t.find(); err != nil {
		return err
	}
	if err := t.eligible(ctx); err != nil {
		return err
	}
	if !t.stream.home.begin() {
		return result.New(result.ShuttingDown, "the daemon is shutting down")
	}
	if err := t.admit(ctx, priority(t.request)); err != nil {
		t.stream.home.end()
		return err
	}
	t.counted = true
	if err := t.connect(ctx); err != nil {
		t.release()
		return err
	}
	return nil
}

// find looks up the instance and checks that it accepts new requests.
func (t *transaction) find() *result.Error {
	now := t.stream.home.holder.Current()
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
	t.target = t.stream.home.target(now, g, i)
	return nil
}

// eligible waits until the instance's report shows that it can serve the transaction.
func (t *transaction) eligible(ctx context.Context) *result.Error {
	floorDeadline := time.Now().Add(time.Duration(t.request.FloorWaitMicroseconds) * time.Microsecond)
	if floorDeadline.After(t.deadline) {
		floorDeadline = t.deadline
	}
	for {
		report, reachable, next := t.target.last()
		if !reachable {
			return t.unreachableError()
		}
		if !t.isRead() {
			if t.target.isStalled(time.Now()) {
				return result.New(result.NotPrimary, "no majority confirms instance %s in term %d", t.target.name, report.Term)
			}
			if report.Role == instance.Primary {
				return nil
			}
			return result.New(result.NotPrimary, "instance %s is %s in term %d", t.target.name, report.Role, report.Term)
		}
		if report.Role == instance.Primary {
			// A primary may return records that no majority holds yet.
			return result.New(result.InstanceBehind, "instance %s is the primary, where reads require confirmation by a majority", t.target.name)
		}
		if t.satisfies(report) {
			return nil
		}
		if _, ok := await(ctx, t.stream, floorDeadline, next); !ok {
			return t.waitError(result.InstanceBehind, "instance %s has applied %v but the read requires %v", t.target.name, report.Applied, t.floor)
		}
	}
}

// unreachableError returns an error when the last attempt to reach the instance's
// address failed, or when the request is a read with a staleness bound, which only a
// report can prove. Otherwise it returns nil: the request is attempted, and a
// connection failure is reported then.
func (t *transaction) unreachableError() *result.Error {
	if t.target.control.unreachable.Load() {
		return result.New(result.InstanceUnreachable, "instance %s can't be reached", t.target.name)
	}
	if t.isRead() && t.request.MaxStalenessMicroseconds > 0 {
		return result.New(result.InstanceUnreachable, "no report of the staleness of instance %s", t.target.name)
	}
	return nil
}

// satisfies reports whether reads at the instance meet the floor and the staleness
// bound of the request. A report that meets the staleness bound raises the floor to
// its position, because the answer must not be older than the report.
func (t *transaction) satisfies(r instance.Report) bool {
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

// waitError returns the error of a wait that ended without a result. It reports a
// cancellation if the caller has cancelled the request.
func (t *transaction) waitError(code result.Code, format string, args ...any) *result.Error {
	if t.stream.cancelled {
		return result.New(result.CancelledUnsent, "cancelled before it was sent")
	}
	return result.New(code, format, args...)
}

// admit waits for a slot.
func (t *transaction) admit(ctx context.Context, p limiter.Priority) *result.Error {
	requestedAt := time.Now()
	request := limiter.Request{Caller: unit.CallerName(t.request.Caller), Priority: p, Deadline: t.deadline}
	if t.target.TryAdmit(request) {
		t.beginSlot(requestedAt)
		return nil
	}
	id, answer := t.target.Admit(request)
	if p == limiter.OpenTransaction {
		defer time.AfterFunc(lockTimeout, func() { t.target.Overdue(id) }).Stop()
	}
	refusal, ok := await(ctx, t.stream, t.deadline, answer)
	if !ok {
		if t.target.Withdraw(id) {
			return t.waitError(result.DeadlinePassed, "no slot of instance %s became free in time", t.target.name)
		}
		refusal = <-answer
	}
	if refusal != nil {
		return refusal
	}
	t.beginSlot(requestedAt)
	return nil
}

// beginSlot records that the transaction holds a slot.
func (t *transaction) beginSlot(requestedAt time.Time) {
	t.slot = true
	t.begun = time.Now()
	t.stream.home.metrics.slotWait.Update(t.begun.Sub(requestedAt))
}

// connect acquires a connection and applies the session's settings.
func (t *transaction) connect(ctx context.Context) *result.Error {
	for {
		c, check, err := t.acquire(ctx)
		if err != nil {
			return err
		}
		if check && !responds(c) {
			continue
		}
		if err := c.applySettings(ctx, t.settings()); err != nil {
			return t.settingsError(c, err)
		}
		t.conn = c
		t.relay = newRelay(ctx, t)
		if !c.assign(t.relay) {
			continue
		}
		return nil
	}
}

// readOnly holds the settings for reads of sessions without settings of their own.
// They prevent a read from writing on an instance that has become the primary.
var readOnly = map[string]string{"default_transaction_read_only": "on"}

// settings returns the settings to apply to the connection.
func (t *transaction) settings() map[string]string {
	if t.isRead() && len(t.request.Settings) == 0 {
		return readOnly
	}
	settings := translator.FromSettings(t.request.Settings)
	if t.isRead() {
		maps.Copy(settings, readOnly)
	}
	return settings
}

// settingsError releases or closes the connection and returns the error of applying
// the settings. The settings are at fault only if the instance rejected them: not
// when the connection was lost, and not when a late cancel request for an earlier
// statement cancelled the query.
func (t *transaction) settingsError(c *conn, err error) *result.Error {
	var failure *queryError
	if !c.isClosed() && errors.As(err, &failure) && refusesSetting(failure.code) {
		t.target.Release(c.id)
		return result.New(result.MalformedOption, "instance %s refused the session's settings: %v", t.target.name, err)
	}
	c.Close()
	return result.New(result.InstanceUnreachable, "instance %s: %v", t.target.name, err)
}

// refusesSetting reports whether an SQLSTATE belongs to one of the classes invalid
// value, unknown name or insufficient privilege, unsupported feature, or wrong object
// state.
func refusesSetting(code string) bool {
	for _, class := range []string{"22", "42", "0A", "55"} {
		if strings.HasPrefix(code, class) {
			return true
		}
	}
	return false
}

// acquire waits for a connection. check reports whether the connection has been idle
// for so long that it must be checked first.
func (t *transaction) acquire(ctx context.Context) (c *conn, check bool, err *result.Error) {
	if g, ok := t.target.TryAcquire("", nil); ok {
		return g.Conn, g.Check, nil
	}
	ticket, answer := t.target.Acquire("")
	g, ok := await(ctx, t.stream, t.deadline, answer)
	if !ok {
		if !t.target.WithdrawAcquire(ticket) {
			if g = <-answer; g.Conn != nil {
				t.target.Release(g.ID)
			}
		}
		return nil, false, t.waitError(result.DeadlinePassed, "no connection to instance %s became free in time", t.target.name)
	}
	return g.Conn, g.Check, g.Err
}

// responds reports whether an idle connection completes a round trip within
// checkTimeout.
func responds(c *conn) bool {
	ctx, stop := context.WithTimeout(context.Background(), checkTimeout)
	defer stop()
	return c.run(ctx, "") == nil
}

// release releases everything that the transaction holds. The connection must be idle
// or closed.
func (t *transaction) release() {
	t.finishSlot()
	if c := t.conn; c != nil {
		t.conn = nil
		c.assign(nil)
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
		t.stream.home.end()
	}
}

func (t *transaction) finishSlot() {
	if !t.slot {
		return
	}
	t.slot = false
	took := time.Since(t.begun)
	t.target.Finish(took)
	t.stream.home.metrics.execution.Update(took)
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

// await waits for a value and accepts requests in the meantime. It returns false when
// the deadline passes, the caller cancels or the stream is lost.
func await[T any](ctx context.Context, s *stream, deadline time.Time, values <-chan T) (value T, ok bool) {
	select {
	case value = <-values:
		return value, true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for !s.cancelled && !s.lost {
		select {
		case value = <-values:
			return value, true
		case request, ok := <-s.incoming():
			s.accept(request, ok)
		case <-timer.C:
			return value, false
		case <-ctx.Done():
			s.lost = true
		}
	}
	return value, false
}
