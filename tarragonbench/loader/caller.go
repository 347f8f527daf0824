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

// schema creates the tables in a group.
const schema = `
CREATE TABLE stock (key bigint PRIMARY KEY, value bigint NOT NULL);
CREATE TABLE ledger (item bigint NOT NULL);
CREATE INDEX ledger_item ON ledger (item)`

// keyedAttempts bounds how often a keyed write is sent.
const keyedAttempts = 6

// Loader is one load on a deployment.
type Loader struct {
	settings Settings
	callers  []*caller
	groups   map[unit.GroupName]*group
	began    time.Time

	mu     sync.Mutex
	report Report
}

// caller carries out one request at a time.
type caller struct {
	loader *Loader
	group  *group
	id     int
	random *rand.Rand
	queue  chan arrival
	own    *row
	value  int64

	conn *pgx.Conn
}

// New returns a load that has not begun.
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
			loader: l, group: g, id: len(g.rows), own: &row{},
			random: rand.New(rand.NewPCG(l.settings.Seed, uint64(i+1))), queue: make(chan arrival, l.settings.Queue),
		}
		g.rows = append(g.rows, c.own)
		l.callers = append(l.callers, c)
	}
	for _, share := range l.settings.Mix {
		l.report.Classes[share.Class] = newFigures()
	}
	return l
}

// Prepare creates the tables and opens the callers' connections.
func (l *Loader) Prepare(ctx context.Context) error {
	for _, g := range l.groups {
		if err := l.access().Retry(ctx, g.name, l.settings.Timeout, func(ctx context.Context, conn *pgx.Conn) error { return create(ctx, conn, len(g.rows)) }); err != nil {
			return fmt.Errorf("loader: tables of %s: %w", g.name, err)
		}
	}
	for _, c := range l.callers {
		if err := c.connect(ctx); err != nil {
			return fmt.Errorf("loader: caller %d: %w", c.id, err)
		}
	}
	return nil
}

func create(ctx context.Context, conn *pgx.Conn, rows int) error {
	var n int
	if conn.QueryRow(ctx, "SELECT count(*) FROM stock").Scan(&n) == nil && n == rows {
		return nil // Done by an attempt whose answer was lost.
	}
	var b strings.Builder
	b.WriteString(schema)
	for key := range rows {
		fmt.Fprintf(&b, ";\nINSERT INTO stock (key, value) VALUES (%d, 0)", key)
	}
	_, err := conn.Exec(ctx, b.String(), pgx.QueryExecModeSimpleProtocol)
	return err
}

// Gap returns the longest time between two acknowledged writes of a group, or
// from one up to to, of which the second one was acknowledged after from.
func (l *Loader) Gap(group unit.GroupName, from, to time.Time) time.Duration {
	first, last := l.GapBounds(group, from, to)
	return last.Sub(first)
}

// GapBounds returns when the longest gap began and ended.
func (l *Loader) GapBounds(group unit.GroupName, from, to time.Time) (first, last time.Time) {
	begin, end := l.groups[group].acks.gap(from.Sub(l.began), to.Sub(l.began))
	return l.began.Add(begin), l.began.Add(end)
}

// Run puts the load on and returns when all requests have ended.
func (l *Loader) Run(ctx context.Context) {
	l.began = time.Now()
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

func (l *Loader) waitUntil(ctx context.Context, at time.Duration) {
	timer := time.NewTimer(at - time.Since(l.began))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (l *Loader) now() time.Duration { return time.Since(l.began) }

func (l *Loader) count(class Class, f func(*Figures)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.report.Classes[class])
}

func (l *Loader) violated(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Violations = append(l.report.Violations, fmt.Sprintf(format, args...))
}

func (c *caller) work(ctx context.Context) {
	defer c.hangUp()
	for a := range c.queue {
		if c.conn != nil && c.random.Float64() < c.loader.settings.Roam {
			c.hangUp()
		}
		once, cancel := context.WithTimeout(ctx, c.loader.settings.Timeout)
		err := c.request(once, a.share)
		cancel()
		c.finish(a, err)
	}
}

// finish counts a request.
func (c *caller) finish(a arrival, err error) {
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
		c.hangUp()
	}
}

// request carries out one request.
func (c *caller) request(ctx context.Context, share Share) error {
	if share.Class == KeyedWrite {
		return c.keyed(ctx)
	}
	if err := c.connect(ctx); err != nil {
		return historian.Unsent(err)
	}
	switch share.Class {
	case SessionRead:
		return c.read(ctx, "SELECT value FROM stock WHERE key = $1", c.own, c.id, c.loader.now())
	case StaleRead:
		key := c.random.IntN(len(c.group.rows))
		query := fmt.Sprintf("SELECT value FROM stock WHERE key = $1 /*tarragon_max_staleness='%s'*/", share.Staleness)
		return c.read(ctx, query, c.group.rows[key], key, c.loader.now()-share.Staleness)
	case Transaction:
		first := c.group.items.Add(2) - 2
		err := c.transaction(ctx, first)
		c.group.note(err, first, first+1)
		return err
	}
	if c.random.IntN(2) == 0 {
		return c.raise(ctx)
	}
	item := c.group.items.Add(1) - 1
	_, err := c.conn.Exec(ctx, "INSERT INTO ledger (item) VALUES ($1)", item)
	c.group.note(err, item)
	return err
}

// read reads a row that must show at least what was acknowledged before since.
func (c *caller) read(ctx context.Context, query string, r *row, key int, since time.Duration) error {
	least := r.atLeast(since)
	var value int64
	if err := c.conn.QueryRow(ctx, query, key).Scan(&value); err != nil {
		return err
	}
	if value < least {
		c.loader.violated("%s of row %d of %s gave %d after %d was acknowledged", query, key, c.group.name, value, least)
	}
	return nil
}

// raise raises the value of the caller's own row.
func (c *caller) raise(ctx context.Context) error {
	c.value++
	_, err := c.conn.Exec(ctx, "UPDATE stock SET value = $1 WHERE key = $2 AND value < $1", c.value, c.id)
	if err == nil {
		c.own.add(c.value, c.loader.now())
	}
	return err
}

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

func (c *caller) keyed(ctx context.Context) error {
	item := c.group.items.Add(1) - 1
	query := fmt.Sprintf("INSERT INTO ledger (item) VALUES ($1) /*tarragon_request_key='load-%d-%d'*/", c.loader.settings.Seed, item)
	var err error
	doubtful := false
	for range keyedAttempts {
		if err = c.connect(ctx); err == nil {
			_, err = c.conn.Exec(ctx, query, pgx.QueryExecModeSimpleProtocol, item)
		} else {
			err = historian.Unsent(err)
		}
		outcome, _ := historian.Classify(err)
		if outcome == historian.Done || (outcome == historian.NotRun && !doubtful) || ctx.Err() != nil {
			break
		}
		doubtful = true
		c.hangUp()
	}
	if outcome, _ := historian.Classify(err); doubtful && outcome == historian.NotRun && !historian.Cancelled(err) {
		err = fmt.Errorf("an earlier attempt is unknown: %v", err)
	}
	c.group.note(err, item)
	return err
}

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

// access returns how connections to the daemons are opened.
func (l *Loader) access() historian.Settings {
	return historian.Settings{User: "demo", Password: "demo", Daemons: l.settings.Daemons}
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
