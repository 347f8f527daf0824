package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/unit"
)

// schema creates the tables of a group. The table ledger has no unique constraint, so that
// a write that runs twice shows in it.
const schema = `
CREATE TABLE stock (key bigint PRIMARY KEY, value bigint NOT NULL);
CREATE TABLE ledger (item bigint NOT NULL);
CREATE INDEX ledger_item ON ledger (item)`

// keyedAttempts bounds the number of times a keyed write is sent.
const keyedAttempts = 6

// Loader generates a load on a deployment and records its results. It serves for one run.
type Loader struct {
	settings Settings
	callers  []*caller
	groups   map[unit.GroupName]*group
	start    time.Time

	mu     sync.Mutex
	report Report
}

// caller executes one request at a time. Its field value is the last value that it has
// sent for its own row.
type caller struct {
	loader *Loader
	group  *group
	id     int
	random *rand.Rand
	queue  chan arrival
	ownRow *row
	value  int64

	conn *pgx.Conn
}

// New returns a Loader whose load has not started.
func New(settings Settings) *Loader {
	l := &Loader{
		settings: settings.withDefaults(), groups: map[unit.GroupName]*group{},
		report: Report{Classes: map[Class]*Figures{}, Codes: map[string]int{}},
	}
	for _, name := range l.settings.Groups {
		l.groups[name] = &group{name: name, inserts: map[int64]historian.Outcome{}}
	}
	for i := range l.settings.Callers {
		g := l.groups[l.settings.Groups[i%len(l.settings.Groups)]]
		c := &caller{
			loader: l, group: g, id: len(g.rows), ownRow: &row{},
			random: rand.New(rand.NewPCG(l.settings.Seed, uint64(i+1))), queue: make(chan arrival, l.settings.Queue),
		}
		g.rows = append(g.rows, c.ownRow)
		l.callers = append(l.callers, c)
	}
	for _, share := range l.settings.Mix {
		l.report.Classes[share.Class] = newFigures()
	}
	return l
}

// Prepare creates the tables and opens the callers' connections. It retries the creation
// until the context ends.
func (l *Loader) Prepare(ctx context.Context) error {
	for _, g := range l.groups {
		if err := l.access().Retry(ctx, g.name, l.settings.Timeout, func(ctx context.Context, conn *pgx.Conn) error { return create(ctx, conn, len(g.rows)) }); err != nil {
			return fmt.Errorf("loader: create tables of group %s: %w", g.name, err)
		}
	}
	for _, c := range l.callers {
		if err := c.connect(ctx); err != nil {
			return fmt.Errorf("loader: connect caller %d: %w", c.id, err)
		}
	}
	return nil
}

// create creates the tables of a group, with the number of rows in stock.
func create(ctx context.Context, conn *pgx.Conn, rows int) error {
	var n int
	if conn.QueryRow(ctx, "SELECT count(*) FROM stock").Scan(&n) == nil && n == rows {
		return nil // An earlier attempt succeeded, but its response was lost.
	}
	var b strings.Builder
	b.WriteString(schema)
	for key := range rows {
		fmt.Fprintf(&b, ";\nINSERT INTO stock (key, value) VALUES (%d, 0)", key)
	}
	_, err := conn.Exec(ctx, b.String(), pgx.QueryExecModeSimpleProtocol)
	return err
}

// Gap returns the longest time without an acknowledged write of a group that ends between
// from and to: the time between two successive acknowledged writes, or between the last
// one and to.
func (l *Loader) Gap(group unit.GroupName, from, to time.Time) time.Duration {
	first, last := l.GapBounds(group, from, to)
	return last.Sub(first)
}

// GapBounds returns the start and the end of the gap that [Loader.Gap] measures.
func (l *Loader) GapBounds(group unit.GroupName, from, to time.Time) (first, last time.Time) {
	begin, end := l.groups[group].acks.gap(from.Sub(l.start), to.Sub(l.start))
	return l.start.Add(begin), l.start.Add(end)
}

// Run generates the load and returns when all requests have ended. It sends no more
// requests once the context ends.
func (l *Loader) Run(ctx context.Context) {
	l.start = time.Now()
	var wait sync.WaitGroup
	for _, c := range l.callers {
		wait.Go(func() { c.work(ctx) })
	}
	random := rand.New(rand.NewPCG(l.settings.Seed, 0))
	arrivals := schedule{settings: l.settings, random: random}
	for a, ok := arrivals.next(); ok && ctx.Err() == nil; a, ok = arrivals.next() {
		l.waitUntil(ctx, a.at)
		c := l.callers[random.IntN(len(l.callers))]
		select {
		case c.queue <- a:
		default:
			l.count(a.share.Class, func(f *Figures) { f.Arrived++; f.Shed++ })
		}
	}
	for _, c := range l.callers {
		close(c.queue)
	}
	wait.Wait()
}

// waitUntil waits until a time since the start of the load, or the end of the context.
func (l *Loader) waitUntil(ctx context.Context, at time.Duration) {
	timer := time.NewTimer(at - time.Since(l.start))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// now returns the time since the start of the load.
func (l *Loader) now() time.Duration { return time.Since(l.start) }

// count updates the figures of a class by f.
func (l *Loader) count(class Class, f func(*Figures)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.report.Classes[class])
}

// addViolation adds a violation to the report.
func (l *Loader) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Violations = append(l.report.Violations, fmt.Sprintf(format, args...))
}

// work executes the queued requests. With the probability Settings.Roam, a request goes to
// a daemon chosen anew.
func (c *caller) work(ctx context.Context) {
	defer c.disconnect()
	for a := range c.queue {
		if c.conn != nil && c.random.Float64() < c.loader.settings.Roam {
			c.disconnect()
		}
		requestCtx, cancel := context.WithTimeout(ctx, c.loader.settings.Timeout)
		err := c.request(requestCtx, a.share)
		cancel()
		c.record(a, err)
	}
}

// record counts a request that has ended, and disconnects if the connection is unusable.
func (c *caller) record(a arrival, err error) {
	now := c.loader.now()
	outcome, code := historian.Classify(err)
	if outcome == historian.Done && a.share.Class.writes() {
		c.group.acks.add(now)
	}
	c.loader.count(a.share.Class, func(f *Figures) {
		f.Arrived++
		switch outcome {
		case historian.Done:
			f.Done++
			_ = f.latencies.RecordValue(max(shortestLatency, min(longestLatency, int64(now-a.at))))
		case historian.NotRun:
			f.NotRun++
			c.loader.report.Codes[code]++
		default:
			f.Unknown++
			c.loader.report.Codes[code]++
		}
	})
	if err != nil && c.conn != nil && (c.conn.IsClosed() || c.conn.PgConn().TxStatus() != 'I') {
		c.disconnect()
	}
}

// request executes one request of a class.
func (c *caller) request(ctx context.Context, share Share) error {
	if share.Class == KeyedWrite {
		return c.keyedWrite(ctx)
	}
	if err := c.connect(ctx); err != nil {
		return historian.Unsent(err)
	}
	switch share.Class {
	case SessionRead:
		return c.read(ctx, "SELECT value FROM stock WHERE key = $1", c.ownRow, c.id, c.loader.now())
	case StaleRead:
		key := c.random.IntN(len(c.group.rows))
		query := fmt.Sprintf("SELECT value FROM stock WHERE key = $1 /*tarragon_max_staleness='%s'*/", share.Staleness)
		return c.read(ctx, query, c.group.rows[key], key, c.loader.now()-share.Staleness)
	case Transaction:
		first := c.group.nextItem.Add(2) - 2
		err := c.transaction(ctx, first)
		c.group.recordOutcome(err, first, first+1)
		return err
	}
	if c.random.IntN(2) == 0 {
		return c.increment(ctx)
	}
	item := c.group.nextItem.Add(1) - 1
	_, err := c.conn.Exec(ctx, "INSERT INTO ledger (item) VALUES ($1)", item)
	c.group.recordOutcome(err, item)
	return err
}

// read reads a row. A value lower than the last one acknowledged before since is a
// violation.
func (c *caller) read(ctx context.Context, query string, r *row, key int, since time.Duration) error {
	minimum := r.lastAckedBefore(since)
	var value int64
	if err := c.conn.QueryRow(ctx, query, key).Scan(&value); err != nil {
		return err
	}
	if value < minimum {
		c.loader.addViolation("%s of row %d of %s gave %d after %d was acknowledged", query, key, c.group.name, value, minimum)
	}
	return nil
}

// increment increments the value of the caller's own row.
func (c *caller) increment(ctx context.Context) error {
	c.value++
	_, err := c.conn.Exec(ctx, "UPDATE stock SET value = $1 WHERE key = $2 AND value < $1", c.value, c.id)
	if err == nil {
		c.ownRow.recordAck(c.value, c.loader.now())
	}
	return err
}

// transaction inserts two items from first on in one transaction.
func (c *caller) transaction(ctx context.Context, first int64) error {
	tx, err := c.conn.Begin(ctx)
	if err != nil {
		return historian.Unsent(err)
	}
	for item := first; item < first+2; item++ {
		if _, err := tx.Exec(ctx, "INSERT INTO ledger (item) VALUES ($1)", item); err != nil {
			return historian.Unsent(err)
		}
	}
	return tx.Commit(ctx)
}

// keyed sends an insert under a request key until its outcome is known.
func (c *caller) keyedWrite(ctx context.Context) error {
	item := c.group.nextItem.Add(1) - 1
	query := fmt.Sprintf("INSERT INTO ledger (item) VALUES ($1) /*tarragon_request_key='load-%d-%d'*/", c.loader.settings.Seed, item)
	var err error
	unknown := false
	for range keyedAttempts {
		if err = c.connect(ctx); err == nil {
			_, err = c.conn.Exec(ctx, query, pgx.QueryExecModeSimpleProtocol, item)
		} else {
			err = historian.Unsent(err)
		}
		outcome, _ := historian.Classify(err)
		if outcome == historian.Done || (outcome == historian.NotRun && !unknown) || ctx.Err() != nil {
			break
		}
		unknown = true
		c.disconnect()
	}
	if outcome, _ := historian.Classify(err); unknown && outcome == historian.NotRun && !historian.Cancelled(err) {
		err = fmt.Errorf("outcome of an earlier attempt is unknown: %v", err)
	}
	c.group.recordOutcome(err, item)
	return err
}

// connect opens a connection to a daemon chosen at random, unless one is open.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	daemons := c.loader.settings.Daemons
	conn, err := c.loader.access().Connect(ctx, daemons[c.random.IntN(len(daemons))], c.group.name)
	if err == nil {
		c.conn = conn
	}
	return err
}

// access returns the settings by which connections to the daemons are opened.
func (l *Loader) access() historian.Settings {
	return historian.Settings{User: "demo", Password: "demo", Daemons: l.settings.Daemons}
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
