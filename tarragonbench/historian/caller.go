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

// keyedAttempts bounds how often a keyed request is sent until its outcome is known.
const keyedAttempts = 6

// retryPause is the time between two attempts of [Settings.Retry].
const retryPause = 20 * time.Millisecond

// caller is one concurrent caller. Its reads must see its own writes wherever it
// goes.
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

// Run lets the callers work until the context ends.
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

func (c *caller) work(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.pause(ctx)
		if c.conn != nil && c.random.Float64() < c.settings.Roam {
			c.hangUp()
		}
		c.operate(context.WithoutCancel(ctx))
	}
}

func (c *caller) pause(ctx context.Context) {
	timer := time.NewTimer(time.Duration(c.random.ExpFloat64() * float64(c.settings.ThinkTime)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// operate carries out one operation that is chosen at random.
func (c *caller) operate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	o := c.choose()
	if o.Kind == InsertKeyed {
		c.keyed(ctx, o)
		return
	}
	o.Call = c.history.Now()
	err := c.attempt(ctx, &o)
	o.Attempts = 1
	c.finish(o, err)
}

// choose draws an operation.
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
			newest := state.items.Load() / BucketSize
			o.Kind, o.Key = ReadBucket, max(0, newest-int64(c.random.IntN(3)))
		}
		return o
	}
	switch c.random.IntN(6) {
	case 0:
		o.Kind, o.Key, o.Value = WriteRegister, int64(c.random.IntN(c.settings.Registers)), state.values.Add(1)
	case 1:
		c.counter++
		o.Kind, o.Key, o.Value = WriteCounter, int64(c.id), c.counter
	case 2:
		o.Kind, o.Value = InsertPair, state.items.Add(2)-2
		o.Second = o.Value + 1
		o.Key = o.Value / BucketSize
	case 3:
		o.Kind, o.Value = InsertKeyed, state.items.Add(1)-1
		o.Key = o.Value / BucketSize
	default:
		o.Kind, o.Value = Insert, state.items.Add(1)-1
		o.Key = o.Value / BucketSize
	}
	return o
}

// keyed sends an insert under a request key until its outcome is known.
func (c *caller) keyed(ctx context.Context, o Operation) {
	o.Call = c.history.Now()
	var err error
	for o.Attempts < keyedAttempts && ctx.Err() == nil {
		o.Attempts++
		err = c.attempt(ctx, &o)
		if outcome, _ := Classify(err); outcome != Unknown {
			break
		}
		c.hangUp()
	}
	if outcome, _ := Classify(err); outcome == NotRun && o.Attempts > 1 && !Cancelled(err) {
		// The last attempt did not run; an earlier one may have.
		err = fmt.Errorf("an earlier attempt is unknown: %v", err)
	}
	c.finish(o, err)
}

func (c *caller) finish(o Operation, err error) {
	o.Return = c.history.Now()
	o.Session, o.Daemon = c.session, c.daemon.Name
	o.Outcome, o.Code = Classify(err)
	if err != nil {
		o.Detail = err.Error()
		c.hangUp()
	}
	c.history.Add(o)
}

// attempt carries out the operation once.
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
		return c.pair(ctx, o)
	}
}

func (c *caller) write(ctx context.Context, query string, args ...any) error {
	tag, err := c.conn.Exec(ctx, query, args...)
	if err == nil && tag.RowsAffected() != 1 {
		return fmt.Errorf("%d rows affected", tag.RowsAffected())
	}
	return err
}

// pair inserts two items in one transaction.
func (c *caller) pair(ctx context.Context, o *Operation) error {
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

// Retry calls f with a new connection to one daemon after the other until it succeeds
// or the context ends. Each call has the time limit.
func (s Settings) Retry(ctx context.Context, group unit.GroupName, limit time.Duration, f func(context.Context, *pgx.Conn) error) error {
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		once, cancel := context.WithTimeout(ctx, limit)
		conn, err := s.Connect(once, s.Daemons[i%len(s.Daemons)], group)
		if err == nil {
			err = f(once, conn)
			_ = conn.Close(once)
		}
		cancel()
		if err == nil {
			return nil
		}
		last = err
		time.Sleep(retryPause)
	}
	return errors.Join(ctx.Err(), last)
}

// hangUp closes the connection without waiting for the daemon.
func (c *caller) hangUp() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}
