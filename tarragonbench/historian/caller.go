package historian

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"tarragonshed.example/unit"
)

// keyedAttempts bounds the number of times a keyed request is sent.
const keyedAttempts = 6

// retryInterval is the time between two attempts of [Settings.Retry].
const retryInterval = 20 * time.Millisecond

// caller is one of the concurrent callers. Its reads must see its own writes, whichever
// daemon it connects to.
type caller struct {
	history  *History
	settings Settings
	group    unit.GroupName
	id       int
	random   *rand.Rand
	counter  int64

	conn    *pgx.Conn
	daemon  Daemon
	session int
	fresh   bool
}

// Run executes the callers' operations until the context ends and the last ones have
// returned.
func (h *History) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for i := range h.settings.Callers {
		c := &caller{
			history: h, settings: h.settings, id: i,
			group:  h.settings.Groups[i%len(h.settings.Groups)],
			random: rand.New(rand.NewPCG(h.settings.Seed, uint64(i))),
		}
		wait.Go(func() { c.work(ctx) })
	}
	wait.Wait()
}

// work executes operations until the context ends. With the probability Settings.Roam, an
// operation goes to a daemon chosen anew.
func (c *caller) work(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		c.think(ctx)
		if c.conn != nil && c.random.Float64() < c.settings.Roam {
			c.disconnect()
		}
		c.execute(context.WithoutCancel(ctx))
	}
}

// think waits between two operations for an exponentially distributed time.
func (c *caller) think(ctx context.Context) {
	timer := time.NewTimer(time.Duration(c.random.ExpFloat64() * float64(c.settings.ThinkTime)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// execute executes one operation that is chosen at random.
func (c *caller) execute(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	o := c.choose()
	if o.Kind == InsertKeyed {
		c.insertKeyed(ctx, o)
		return
	}
	o.Call = c.history.Now()
	err := c.attempt(ctx, &o)
	o.Attempts = 1
	c.record(o, err)
}

// choose returns an operation that is chosen at random.
func (c *caller) choose() Operation {
	state := c.history.groups[c.group]
	o := Operation{Group: c.group, Caller: c.id}
	if c.random.Float64() < c.settings.Reads {
		switch c.random.IntN(3) {
		case 0:
			o.Kind, o.Key = ReadRegister, int64(c.random.IntN(c.settings.Registers))
		case 1:
			o.Kind, o.Key = ReadCounter, int64(c.random.IntN(c.settings.Callers))
			if c.random.IntN(2) == 0 {
				o.Key = int64(c.id)
			}
		default:
			newest := state.nextItem.Load() / BucketSize
			o.Kind, o.Key = ReadBucket, max(0, newest-int64(c.random.IntN(3)))
		}
		return o
	}
	switch c.random.IntN(6) {
	case 0:
		o.Kind, o.Key, o.Value = WriteRegister, int64(c.random.IntN(c.settings.Registers)), state.nextValue.Add(1)
	case 1:
		c.counter++
		o.Kind, o.Key, o.Value = WriteCounter, int64(c.id), c.counter
	case 2:
		o.Kind, o.Value = InsertPair, state.nextItem.Add(2)-2
		o.Second = o.Value + 1
		o.Key = o.Value / BucketSize
	case 3:
		o.Kind, o.Value = InsertKeyed, state.nextItem.Add(1)-1
		o.Key = o.Value / BucketSize
	default:
		o.Kind, o.Value = Insert, state.nextItem.Add(1)-1
		o.Key = o.Value / BucketSize
	}
	return o
}

// insertKeyed sends an insert under a request key until its outcome is known.
func (c *caller) insertKeyed(ctx context.Context, o Operation) {
	o.Call = c.history.Now()
	var err error
	for o.Attempts < keyedAttempts && ctx.Err() == nil {
		o.Attempts++
		err = c.attempt(ctx, &o)
		if outcome, _ := Classify(err); outcome != Unknown {
			break
		}
		c.disconnect()
	}
	if outcome, _ := Classify(err); outcome == NotRun && o.Attempts > 1 && !Cancelled(err) {
		// The last attempt did not run, but an earlier one may have.
		err = fmt.Errorf("an earlier attempt is unknown: %v", err)
	}
	c.record(o, err)
}

// record adds an operation that has returned to the history, and disconnects after an
// error.
func (c *caller) record(o Operation, err error) {
	o.Return = c.history.Now()
	o.Session, o.Daemon = c.session, c.daemon.Name
	o.Outcome, o.Code = Classify(err)
	if err != nil {
		o.Detail = err.Error()
		c.disconnect()
	}
	c.history.Add(o)
}

// attempt executes the operation once.
func (c *caller) attempt(ctx context.Context, o *Operation) error {
	if err := c.connect(ctx); err != nil {
		return &unsent{err}
	}
	o.Fresh, c.fresh = c.fresh, false
	switch o.Kind {
	case ReadRegister:
		return c.conn.QueryRow(ctx, "SELECT value FROM registers WHERE key = $1", o.Key).Scan(&o.Value)
	case ReadCounter:
		return c.conn.QueryRow(ctx, "SELECT value FROM counters WHERE key = $1", o.Key).Scan(&o.Value)
	case ReadBucket:
		rows, err := c.conn.Query(ctx, "SELECT item FROM entries WHERE bucket = $1", o.Key)
		if err != nil {
			return err
		}
		o.Seen, err = pgx.CollectRows(rows, pgx.RowTo[int64])
		return err
	case WriteRegister:
		return c.write(ctx, "UPDATE registers SET value = $1 WHERE key = $2", o.Value, o.Key)
	case WriteCounter:
		return c.write(ctx, "UPDATE counters SET value = $1 WHERE key = $2 AND value < $1", o.Value, o.Key)
	case Insert:
		return c.write(ctx, "INSERT INTO entries (bucket, item) VALUES ($1, $2)", o.Key, o.Value)
	case InsertKeyed:
		mode := []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeDescribeExec}[o.Value%2]
		return c.write(ctx, fmt.Sprintf("INSERT INTO entries (bucket, item) VALUES ($1, $2) /*tarragon_request_key='entry-%d-%d'*/", o.Value, c.settings.Seed), mode, o.Key, o.Value)
	default:
		return c.insertPair(ctx, o)
	}
}

// write executes a statement that must affect exactly one row.
func (c *caller) write(ctx context.Context, query string, args ...any) error {
	tag, err := c.conn.Exec(ctx, query, args...)
	if err == nil && tag.RowsAffected() != 1 {
		return fmt.Errorf("%d rows affected", tag.RowsAffected())
	}
	return err
}

// insertPair inserts two items in one transaction. One in eight transactions is abandoned
// before its COMMIT.
func (c *caller) insertPair(ctx context.Context, o *Operation) error {
	tx, err := c.conn.Begin(ctx)
	if err != nil {
		return &unsent{err}
	}
	for _, item := range []int64{o.Value, o.Second} {
		if _, err := tx.Exec(ctx, "INSERT INTO entries (bucket, item) VALUES ($1, $2)", o.Key, item); err != nil {
			return &unsent{err}
		}
	}
	if c.random.IntN(8) == 0 {
		return &unsent{errors.New("historian: left without COMMIT")}
	}
	return tx.Commit(ctx)
}

// connect opens a connection to a daemon chosen at random, unless one is open.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	c.daemon = c.settings.Daemons[c.random.IntN(len(c.settings.Daemons))]
	conn, err := c.settings.Connect(ctx, c.daemon, c.group)
	if err != nil {
		return err
	}
	c.conn, c.fresh = conn, true
	c.session++
	return nil
}

// Connect opens a connection to a daemon.
func (s Settings) Connect(ctx context.Context, d Daemon, group unit.GroupName) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&%s", s.User, s.Password, d.Address, group, s.Parameters))
	if err != nil {
		return nil, err
	}
	if d.Dial != nil {
		config.DialFunc = d.Dial
	}
	return pgx.ConnectConfig(ctx, config)
}

// Retry calls f with a new connection, to the daemons in turn, until f succeeds or the
// context ends. Each attempt is bounded by the timeout. The error holds that of the context
// and that of the last attempt.
func (s Settings) Retry(ctx context.Context, group unit.GroupName, timeout time.Duration, f func(context.Context, *pgx.Conn) error) error {
	var lastErr error
	for i := 0; ctx.Err() == nil; i++ {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		conn, err := s.Connect(attemptCtx, s.Daemons[i%len(s.Daemons)], group)
		if err == nil {
			err = f(attemptCtx, conn)
			_ = conn.Close(attemptCtx)
		}
		cancel()
		if err == nil {
			return nil
		}
		lastErr = err
		time.Sleep(retryInterval)
	}
	return errors.Join(ctx.Err(), lastErr)
}

// disconnect closes the connection without waiting for the daemon.
func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}
