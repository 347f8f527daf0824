package historian

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// keyedAttempts bounds how often a keyed request is sent until its outcome is known.
const keyedAttempts = 6

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
	timer := time.NewTimer(time.Duration(c.random.ExpFloat64() * float64(c.settings.Pause)))
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

// unsent is the error of an operation whose deciding statement was never sent.
type unsent struct{ err error }

// Unsent marks err as that of an operation whose deciding statement was never
// sent.
func Unsent(err error) error { return &unsent{err} }

// Cancelled reports whether err says that the request key is claimed, so that the
// request can't run any more.
func Cancelled(err error) bool { return result.Code(codeOf(err)) == result.RequestCancelled }

func (u *unsent) Error() string { return "before the deciding statement: " + u.err.Error() }
func (u *unsent) Unwrap() error { return u.err }

// Classify tells the outcome and the code of an operation.
func Classify(err error) (Outcome, string) {
	var u *unsent
	var e *pgconn.PgError
	switch {
	case err == nil:
		return Done, ""
	case errors.As(err, &u):
		return NotRun, codeText(err)
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return NotRun, "rolled back"
	case codeOf(err) > 0:
		switch result.Code(codeOf(err)).Entry().Outcome {
		case result.NotRun:
			return NotRun, codeText(err)
		case result.Ran:
			return Done, codeText(err)
		}
		return Unknown, codeText(err)
	case errors.As(err, &e) && e.Severity != "FATAL":
		return NotRun, e.Code
	case pgconn.SafeToRetry(err):
		return NotRun, "unsent"
	default:
		return Unknown, codeText(err)
	}
}

// codeOf returns the result code that the message begins with, or zero.
func codeOf(err error) int {
	var e *pgconn.PgError
	if !errors.As(err, &e) || !strings.HasPrefix(e.Message, "TS") || len(e.Message) < 6 {
		return 0
	}
	code, _ := strconv.Atoi(e.Message[2:6])
	return code
}

func codeText(err error) string {
	var e *pgconn.PgError
	switch {
	case codeOf(err) > 0:
		return result.Code(codeOf(err)).String()
	case errors.As(err, &e):
		return e.Code
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	default:
		return "connection"
	}
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

// Prepare creates the tables and their rows through the first daemon that does it.
func (h *History) Prepare(ctx context.Context) error {
	for _, g := range h.settings.Groups {
		if err := h.retry(ctx, g, h.create); err != nil {
			return fmt.Errorf("historian: tables of %s: %w", g, err)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began = time.Now()
	return nil
}

func (h *History) create(ctx context.Context, conn *pgx.Conn) error {
	var n int
	if conn.QueryRow(ctx, "SELECT count(*) FROM counters").Scan(&n) == nil && n == h.settings.Callers {
		return nil // Done by an attempt whose answer was lost.
	}
	var b strings.Builder
	b.WriteString(Schema)
	for k := range h.settings.Registers {
		fmt.Fprintf(&b, ";\nINSERT INTO registers (key, value) VALUES (%d, 0)", k)
	}
	for k := range h.settings.Callers {
		fmt.Fprintf(&b, ";\nINSERT INTO counters (key, value) VALUES (%d, 0)", k)
	}
	_, err := conn.Exec(ctx, b.String(), pgx.QueryExecModeSimpleProtocol)
	return err
}

// Settle reads the final state of all groups by new sessions, after the faults
// are over. It tries until the context ends.
func (h *History) Settle(ctx context.Context) error {
	for _, g := range h.settings.Groups {
		err := h.retry(ctx, g, func(ctx context.Context, conn *pgx.Conn) error {
			final, err := ReadFinal(ctx, conn)
			if err == nil {
				h.SetFinal(g, final)
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("historian: final state of %s: %w", g, err)
		}
	}
	return nil
}

// retry calls f with a new connection to one daemon after the other until it succeeds.
func (h *History) retry(ctx context.Context, group unit.GroupName, f func(context.Context, *pgx.Conn) error) error {
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		once, cancel := context.WithTimeout(ctx, 2*h.settings.Timeout)
		conn, err := h.settings.Connect(once, h.settings.Daemons[i%len(h.settings.Daemons)], group)
		if err == nil {
			err = f(once, conn)
			_ = conn.Close(once)
		}
		cancel()
		if err == nil {
			return nil
		}
		last = err
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Join(ctx.Err(), last)
}

// ReadFinal reads the state of a group's tables in one transaction.
func ReadFinal(ctx context.Context, conn *pgx.Conn) (Final, error) {
	final := Final{Registers: map[int64]int64{}, Counters: map[int64]int64{}, Entries: map[int64]map[int64]int{}}
	tx, err := conn.BeginTx(ctx, pgx.TxOptions{IsoLevel: pgx.RepeatableRead})
	if err != nil {
		return final, err
	}
	defer func() { _ = tx.Rollback(ctx) }()
	var a, b int64
	scan := func(query string, f func()) error {
		rows, err := tx.Query(ctx, query)
		if err != nil {
			return err
		}
		_, err = pgx.ForEachRow(rows, []any{&a, &b}, func() error { f(); return nil })
		return err
	}
	return final, errors.Join(
		scan("SELECT key, value FROM registers", func() { final.Registers[a] = b }),
		scan("SELECT key, value FROM counters", func() { final.Counters[a] = b }),
		scan("SELECT bucket, item FROM entries", func() {
			if final.Entries[a] == nil {
				final.Entries[a] = map[int64]int{}
			}
			final.Entries[a][b]++
		}),
	)
}
