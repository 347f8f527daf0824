package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is TERM.NUMBER of an instance's log.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p.term == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

// entry is one commit in a log.
type entry struct {
	at    position
	items map[string]string
	ids   []string
}

// group is one service: a primary and its replicas. The lock guards all instances.
type group struct {
	name        string
	store       *store
	record      *record
	work        time.Duration // How long a read, a write or a commit occupies a slot.
	lag         time.Duration // How much later replicas apply a commit.
	sync        int           // SyncReplicas: how many replicas receive a commit before it is acknowledged.
	slotWait    time.Duration // How long a statement waits for a slot before the answer RETRY.
	promoteTime time.Duration

	mu        sync.Mutex
	term      uint64
	leader    *instance // The instance that was promoted last.
	promoting *instance
	instances []*instance
	runs      []run
	committed []commit
	led       []leading
}

// leading is that an instance has led from a moment on.
type leading struct {
	from     time.Time
	instance string
	log      []entry // Its log at that moment.
}

// ledAt returns the instance that led at the time. The lock is held.
func (g *group) ledAt(at time.Time) (id string, ok bool) {
	for _, l := range g.led {
		if !at.Before(l.from) {
			id, ok = l.instance, true
		}
	}
	return id, ok
}

// run is a statement that an instance ran.
type run struct {
	at       time.Time // When the instance read it.
	done     time.Time // When the instance had run it.
	instance string
	id, text string
}

// commit is a write that took effect.
type commit struct {
	at       time.Time
	instance string
	pos      position
	ids      []string
}

// instance is one database instance.
type instance struct {
	group    *group
	id, zone string
	addr     string
	born     int64
	seq      int
	slots    chan struct{}
	listener net.Listener
	primary  bool
	term     uint64 // The term in which it leads or led.
	log      []entry
	applied  int
	down     bool
	draining bool
	deaf     bool          // Whether it receives nothing, as a replica.
	dark     chan struct{} // Closed when it falls silent.
	conns    map[net.Conn]bool
}

const slotCount, maxConns = 5, 34

func newGroup(name string, zones []string, s *store, r *record) (*group, error) {
	g := &group{name: name, store: s, record: r, work: 30 * time.Millisecond, lag: 20 * time.Millisecond, promoteTime: 600 * time.Millisecond, slotWait: 100 * time.Millisecond, term: 1}
	for _, zone := range zones {
		if _, err := g.add(zone); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// add starts an instance: the first one as the primary, a later one as a replica with the log
// of the primary.
func (g *group) add(zone string) (*instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	i := &instance{
		group: g, id: fmt.Sprintf("i-%s-%d", g.name, len(g.instances)), zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slotCount), listener: l, term: g.term, conns: map[net.Conn]bool{}, dark: make(chan struct{}),
		log: []entry{{at: position{1, 1}}},
	}
	if g.leader == nil {
		g.leader, i.primary = i, true
	} else {
		i.log = append([]entry{}, g.leader.log...)
	}
	i.applied = len(i.log)
	g.instances = append(g.instances, i)
	g.mu.Unlock()
	go i.accept(l)
	i.register()
	return i, nil
}

// release replaces the instance: a new one starts, then the old one drains, and exits after
// the given time.
func (i *instance) release(after time.Duration) error {
	added, err := i.group.add(i.zone)
	if err != nil {
		return err
	}
	i.group.record.log("release: instance %s starts in place of %s", added.id, i.id)
	i.drain()
	time.AfterFunc(after, func() {
		i.crash()
		i.group.store.remove("servers", i.id)
	})
	return nil
}

// register writes the instance's entry to the store.
func (i *instance) register() {
	g := i.group
	g.mu.Lock()
	i.seq++
	e := map[string]any{
		"ServiceName": g.name, "Addr": i.addr, "Zone": i.zone, "Version": "v1", "Slots": slotCount, "State": "ready",
		"ColdLeftMs": 0, "Seq": i.seq, "DbRole": "replica", "born": i.born,
	}
	if i.primary {
		e["DbRole"] = "primary"
	}
	if i.draining {
		e["State"] = "draining"
	}
	g.mu.Unlock()
	g.store.put("servers", i.id, e)
}

// drain reports that the instance is leaving, as before a planned shutdown.
func (i *instance) drain() {
	i.group.mu.Lock()
	i.draining = true
	i.group.mu.Unlock()
	i.register()
	i.group.record.log("instance %s reports draining", i.id)
}

// crash ends the instance at once: connections and listener are closed.
func (i *instance) crash() {
	i.group.mu.Lock()
	i.down = true
	conns := maps.Clone(i.conns)
	i.group.mu.Unlock()
	i.listener.Close()
	for c := range conns {
		c.Close()
	}
	i.group.record.log("instance %s has ended", i.id)
}

// goDark ends the instance without a word: nothing that is sent to it is answered any more.
func (i *instance) goDark() {
	i.group.mu.Lock()
	i.down = true
	i.group.mu.Unlock()
	close(i.dark)
	i.group.record.log("instance %s is dark", i.id)
}

// isDark reports whether the instance has fallen silent.
func (i *instance) isDark() bool {
	select {
	case <-i.dark:
		return true
	default:
		return false
	}
}

// promote designates the instance that takes over.
func (g *group) promote(id string) (int, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		switch {
		case i.id != id:
		case i.down:
			return 409, "this instance is not running"
		case g.promoting == i || g.leader == i && g.promoting == nil:
			return 200, "the present primary: nothing changes"
		default:
			g.promoting = i
			time.AfterFunc(g.promoteTime, func() { g.lead(i) })
			return 200, "takes over"
		}
	}
	return 409, "no such instance"
}

// lead makes the instance the primary of the next term with what it has received. The old
// primary goes on until it is told to step down or a second after it can reach the new one.
func (g *group) lead(i *instance) {
	g.mu.Lock()
	if g.promoting != i || i.down {
		g.promoting = nil
		g.mu.Unlock()
		return
	}
	old := g.leader
	g.promoting, g.leader = nil, i
	g.term++
	i.deaf = false
	i.primary, i.term, i.applied = true, g.term, len(i.log)
	g.led = append(g.led, leading{from: time.Now(), instance: i.id, log: append([]entry{}, i.log...)})
	for _, other := range g.instances {
		if other != i && other != old {
			other.deaf = false // A promote ends it.
			other.follow(i)
		}
	}
	g.mu.Unlock()
	g.record.log("instance %s leads term %d", i.id, i.term)
	i.register()
	if old != i {
		time.AfterFunc(time.Second, func() {
			g.mu.Lock()
			demoted := !old.down && old != g.leader
			if demoted {
				old.primary = false
				old.follow(g.leader)
			}
			g.mu.Unlock()
			if demoted {
				g.record.log("instance %s has reached the new primary and follows it", old.id)
				old.register()
			}
		})
	}
}

// follow makes the instance's log that of the leader. Commits that the leader lacks are
// rolled back. The lock is held.
func (i *instance) follow(leader *instance) {
	common := 0
	for common < len(i.log) && common < len(leader.log) && i.log[common].at == leader.log[common].at {
		common++
	}
	i.log = append([]entry{}, leader.log...)
	i.applied = min(max(i.applied, 0), common)
	length := len(i.log)
	time.AfterFunc(i.group.lag, func() { i.apply(length) })
}

func (i *instance) apply(length int) {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	i.applied = max(i.applied, min(length, len(i.log)))
}

// has reports whether the log holds the position and has applied it. The lock is held.
func (i *instance) has(p position) bool {
	last := i.log[i.applied-1].at
	if p.term == last.term {
		return p.number <= last.number
	}
	for _, e := range i.log[:i.applied] {
		if e.at == p {
			return true
		}
	}
	return false
}

func (i *instance) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

// conn is one connection to an instance.
type conn struct {
	*instance
	net      net.Conn
	state    byte
	readOnly bool
	values   map[string]string
	prepared map[string]bool // Whether the name writes.
	pending  map[string]string
	ids      []string
}

func (i *instance) serve(n net.Conn) {
	defer n.Close()
	g := i.group
	g.mu.Lock()
	full := len(i.conns) >= maxConns
	if !i.down {
		i.conns[n] = true
	}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(i.conns, n)
		g.mu.Unlock()
	}()
	r := bufio.NewReaderSize(n, 64<<10)
	line, err := readMessage(r)
	if i.isDark() {
		io.Copy(io.Discard, n)
		return
	}
	words := strings.Split(line, " ")
	switch {
	case err != nil:
		return
	case len(words) < 3 || words[0] != "STARTUP" || words[1] != g.name || len(words) > 3 && words[3] != i.id:
		fmt.Fprint(n, "ERROR WRONGNODE\r\n")
		return
	case full:
		fmt.Fprint(n, "ERROR CONNLIMIT\r\n")
		return
	}
	time.Sleep(12 * time.Millisecond) // A new connection.
	c := &conn{instance: i, net: n, state: 'I', values: map[string]string{}, prepared: map[string]bool{}}
	fmt.Fprintf(n, "READY I %s\r\n", c.position())
	for {
		line, err := readMessage(r)
		if err == nil && i.isDark() || err == nil && !c.query(line) && i.isDark() {
			io.Copy(io.Discard, n)
			return
		}
		if err != nil || c.down {
			return
		}
	}
}

// readMessage reads one message, which ends with CR LF. A field may contain any other byte.
func readMessage(r *bufio.Reader) (string, error) {
	var b []byte
	for {
		part, err := r.ReadBytes('\n')
		b = append(b, part...)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(string(b), "\r\n") {
			return string(b[:len(b)-2]), nil
		}
	}
}

func (c *conn) position() position {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.log[c.applied-1].at
}

// query runs one query and answers it.
func (c *conn) query(line string) bool {
	kind, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	if kind != "QUERY" {
		return false
	}
	at := time.Now()
	rows, digest, code := c.run(id, text)
	if c.down {
		return false
	}
	if id != "-" && code == "" {
		c.group.mu.Lock()
		c.group.runs = append(c.group.runs, run{at: at, done: time.Now(), instance: c.id, id: id, text: text})
		c.group.mu.Unlock()
	}
	var b strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&b, "DATAROW %s\r\n", row)
	}
	if code != "" {
		fmt.Fprintf(&b, "ERROR %s %s\r\n", code, c.id)
	} else {
		fmt.Fprintf(&b, "COMPLETE %s\r\n", digest)
	}
	fmt.Fprintf(&b, "READY %c %s\r\n", c.state, c.position())
	_, err := c.net.Write([]byte(b.String()))
	return err == nil
}

func (c *conn) fail(code string) ([]string, string, string) {
	if c.state == 'T' {
		c.state = 'E'
	}
	return nil, "", code
}

// take takes a slot for the given time, or returns false if none is free soon.
func (c *conn) take(d time.Duration) bool {
	select {
	case c.slots <- struct{}{}:
	case <-time.After(c.group.slotWait):
		return false
	}
	time.Sleep(d)
	<-c.slots
	return true
}

func (c *conn) run(id, text string) (rows []string, digest, code string) {
	g := c.group
	word, rest, _ := strings.Cut(text, " ")
	if word == "WAITLSN" {
		at, statement, _ := strings.Cut(rest, " ")
		t, n, _ := strings.Cut(at, ".")
		term, _ := strconv.ParseUint(t, 10, 64)
		number, _ := strconv.ParseUint(n, 10, 64)
		has := false
		for end := time.Now().Add(50 * time.Millisecond); !has && time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			g.mu.Lock()
			has = c.has(position{term, number})
			g.mu.Unlock()
		}
		if !has {
			return c.fail("LAGGING")
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	switch word {
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return nil, "-", ""
	case "STATUS":
		if !c.take(time.Millisecond) {
			return nil, "", "RETRY"
		}
		return c.status(word, rest)
	case "STEPDOWN":
		return c.status(word, rest)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return nil, "-", ""
	case "PARSE":
		words := strings.SplitN(rest, " ", 3)
		c.prepared[words[0]] = len(words) > 1 && words[1] == "WRITE"
		return nil, "-", ""
	case "ROLLBACK":
		c.state, c.pending, c.ids = 'I', nil, nil
		return nil, "-", ""
	}
	if c.state == 'E' {
		return nil, "", "MALFORMED"
	}
	if word == "BEGIN" {
		g.mu.Lock()
		defer g.mu.Unlock()
		if rest != "READ" && !c.primary {
			return nil, "", "READONLY"
		}
		c.state, c.readOnly, c.pending, c.ids = 'T', rest == "READ", map[string]string{}, nil
		return nil, "-", ""
	}
	writes := word == "WRITE"
	item, data, _ := strings.Cut(rest, " ")
	if word == "EXECUTE" {
		name := item
		item, data, _ = strings.Cut(data, " ")
		known := false
		if writes, known = c.prepared[name]; !known {
			return c.fail("UNKNOWN")
		}
	}
	if !c.take(g.work) {
		return nil, "", "RETRY"
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	digest = fmt.Sprintf("%d.%s.%s", c.term, c.id, id)
	switch {
	case word == "COMMIT":
		items, ids := c.pending, c.ids
		if len(items) > 0 && !c.primary {
			return c.fail("READONLY")
		}
		c.state, c.pending, c.ids = 'I', nil, nil
		if len(items) > 0 && !g.commit(c.instance, items, append(ids, id)) {
			return nil, "", "TIMEOUT" // No replica has received it.
		}
		return nil, digest, ""
	case (writes || c.state == 'T' && !c.readOnly) && !c.primary:
		return c.fail("READONLY")
	case writes && c.state == 'T':
		c.pending[item] = data
		c.ids = append(c.ids, id)
		return nil, digest, ""
	case writes:
		if !g.commit(c.instance, map[string]string{item: data}, []string{id}) {
			return nil, "", "TIMEOUT"
		}
		return nil, digest, ""
	}
	value, found := c.pending[item]
	for n := c.applied - 1; n >= 0 && !found; n-- {
		value, found = c.log[n].items[item]
	}
	if !found {
		value = "-"
	}
	return []string{value}, digest, ""
}

// commit appends a commit to the log of an instance and sends it to the replicas. It reports
// whether as many of them as SyncReplicas says have received it. The lock is held.
func (g *group) commit(i *instance, items map[string]string, ids []string) bool {
	p := position{i.term, i.log[len(i.log)-1].at.number + 1}
	i.log = append(i.log, entry{at: p, items: items, ids: ids})
	i.applied = len(i.log)
	g.committed = append(g.committed, commit{at: time.Now(), instance: i.id, pos: p, ids: ids})
	if i != g.leader {
		return g.sync == 0 // A replaced primary has no replicas.
	}
	received := 0
	for _, other := range g.instances {
		if other != i && !other.down && !other.primary && !other.deaf {
			received++
			other.log = append([]entry{}, i.log...)
			length := len(other.log)
			time.AfterFunc(g.lag, func() { other.apply(length) })
		}
	}
	return received >= g.sync
}

func (c *conn) status(word, rest string) ([]string, string, string) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if term, err := strconv.ParseUint(rest, 10, 64); word == "STEPDOWN" && err == nil && c.primary && c.term < term {
		c.primary = false
		g.record.log("instance %s has stepped down before term %d", c.id, term)
	}
	role := "replica"
	if c.primary {
		role = "primary"
	}
	newest := c.log[len(c.log)-1].at
	if c.primary {
		newest.term = c.term
	}
	row := fmt.Sprintf("%s %d %s %d 12 %d %d", role, max(c.term, newest.term), c.log[len(c.log)-1].at, c.log[c.applied-1].at.term, len(c.slots), len(c.conns))
	return []string{row}, "-", ""
}
