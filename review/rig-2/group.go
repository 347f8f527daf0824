package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// position is a position of an instance's log.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p.term == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

// entry is a committed transaction.
type entry struct {
	at    position
	items map[string]string
}

// group is a service: a primary and its replicas.
type group struct {
	name  string
	store *store
	conf  groupConf

	mu        sync.Mutex
	term      uint64
	primary   *instance
	instances []*instance
}

// groupConf holds the figures of a service, as a site file has them.
type groupConf struct {
	slots, queue, maxConns      int
	work, handshake             time.Duration
	received, applied, promoted time.Duration
}

// smallSite has the figures of vfpct-beaters.
var smallSite = groupConf{
	slots: 3, queue: 24, maxConns: 22, work: 24 * time.Millisecond, handshake: 12 * time.Millisecond,
	received: time.Millisecond, applied: 8 * time.Millisecond, promoted: 600 * time.Millisecond,
}

// instance is one instance of a service.
type instance struct {
	group    *group
	id       string
	zone     string
	listener net.Listener
	slots    chan struct{}

	// The lock of the group guards the fields below.
	log     []entry
	applied int
	term    uint64 // The term that it leads or last led.
	leads   bool
	born    int64
	seq     int
	waiting int
	conns   map[*serverConn]bool
	dark    bool // New connections are not accepted.
	cut     bool // It does not reach the platform's store.
	leaving bool // It reports that it is draining.
	// refuse reports whether the statement is refused, and with which code.
	refuse func(text string) string
	// ran, if set, is called with each statement that runs and the session values of its connection.
	ran func(id string, values map[string]string)
}

func newGroup(s *store, name string, conf groupConf, zones []string) *group {
	g := &group{name: name, store: s, conf: conf, term: 1}
	for _, zone := range zones {
		i := g.add(zone)
		i.log, i.applied = []entry{{at: position{1, 1}}}, 1 // The creation of the database.
	}
	g.primary = g.instances[0]
	g.primary.leads = true
	for _, i := range g.instances {
		i.heartbeat()
	}
	return g
}

// add adds an instance that has no log and has not registered. The lock is held once the group is in use.
func (g *group) add(zone string) *instance {
	i := &instance{
		group: g, id: fmt.Sprintf("i-%s-%d", g.name, len(g.instances)), zone: zone, listener: listen("127.0.0.1"),
		slots: make(chan struct{}, g.conf.slots), born: time.Now().UnixMilli(), term: 1,
		conns: make(map[*serverConn]bool), refuse: func(string) string { return "" },
	}
	g.instances = append(g.instances, i)
	go i.accept()
	return i
}

// heartbeat registers the instance now and at each interval.
func (i *instance) heartbeat() {
	i.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			i.register()
		}
	}()
}

// release replaces an instance: the new one starts first with the log, the old one drains. It goes on
// running while the case lasts ("at times many seconds").
func (g *group) release(old *instance) {
	g.mu.Lock()
	i := g.add(old.zone)
	i.log = append([]entry{}, g.primary.log...)
	i.applied = len(i.log)
	g.mu.Unlock()
	i.heartbeat()
	g.mu.Lock()
	old.leaving = true
	g.mu.Unlock()
	note("instance=%s event=draining successor-at-its-place=%s", old.id, i.id)
	old.register()
}

// register writes the entry of the instance.
func (i *instance) register() {
	i.group.mu.Lock()
	if i.dark || i.cut {
		i.group.mu.Unlock()
		return
	}
	i.seq++
	role := "replica"
	if i.leads {
		role = "primary"
	}
	state := "ready"
	if i.leaving {
		state = "draining"
	}
	e := map[string]any{
		"ServiceName": i.group.name, "Addr": i.listener.Addr().String(), "Zone": i.zone, "Version": "v1", "Slots": i.group.conf.slots,
		"State": state, "ColdLeftMs": 0, "DbRole": role, "Seq": i.seq, "born": i.born,
	}
	i.group.mu.Unlock()
	i.group.store.put("servers", i.id, e)
}

// restartEmpty makes the instance silent for the given time, and starts it again under its id. It then
// holds nothing of before, and its earlier connections are closed.
func (i *instance) restartEmpty(silent time.Duration) {
	g := i.group
	g.mu.Lock()
	i.dark = true
	note("instance=%s event=silent", i.id)
	g.mu.Unlock()
	time.Sleep(silent)
	g.mu.Lock()
	for c := range i.conns {
		c.dead = true
		c.net.Close()
	}
	i.log, i.applied, i.leads, i.seq, i.term = nil, 0, false, 0, 0
	i.born = time.Now().UnixMilli()
	i.dark = false
	g.mu.Unlock()
	note("instance=%s event=started-again log=empty", i.id)
	i.register()
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		for { // While it is dark, a connection is not served.
			i.group.mu.Lock()
			dark := i.dark
			i.group.mu.Unlock()
			if !dark {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		sc := &serverConn{i: i, net: c, r: bufio.NewReaderSize(c, 4096), state: "I", values: map[string]string{}, prepared: map[string]string{}}
		go sc.serve()
	}
}

// promote makes the instance lead the next term with what it has received.
func (g *group) promote(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.id != id {
			continue
		}
		if i.dark {
			return http.StatusConflict
		}
		if i == g.primary && i.leads {
			return http.StatusOK
		}
		time.AfterFunc(g.conf.promoted, func() { g.lead(i) })
		return http.StatusOK
	}
	return http.StatusConflict
}

func (g *group) lead(i *instance) {
	g.mu.Lock()
	old := g.primary
	g.term++
	g.primary, i.leads, i.term, i.applied = i, true, g.term, len(i.log)
	for _, o := range g.instances {
		if o != i {
			o.log, o.applied = append([]entry{}, i.log...), min(o.applied, len(i.log))
			o.applied = len(o.log)
		}
	}
	g.mu.Unlock()
	note("instance=%s event=promoted term=%d", i.id, g.term)
	i.register()
	if old != i { // It learns of the new primary.
		time.AfterFunc(time.Second, func() {
			g.mu.Lock()
			if old.leads = old == g.primary; !old.leads { // What it alone has is rolled back.
				old.log = append([]entry{}, g.primary.log...)
				old.applied = len(old.log)
			}
			g.mu.Unlock()
			old.register()
		})
	}
}

// commit appends a transaction to the primary's log and sends it to the replicas. The lock is held.
func (g *group) commit(i *instance, items map[string]string) position {
	p := position{i.term, 1}
	if n := len(i.log); n > 0 {
		p.number = i.log[n-1].at.number + 1
	}
	i.log = append(i.log, entry{p, items})
	i.applied = len(i.log)
	if i != g.primary {
		return p
	}
	length := len(i.log)
	for _, o := range g.instances {
		if o == i || len(o.log) == 0 { // An empty one is copied to anew, which takes longer.
			continue
		}
		time.AfterFunc(g.conf.received, func() {
			g.mu.Lock()
			if g.primary == i && len(i.log) >= length && len(o.log) > 0 && len(o.log) < length {
				o.log = append([]entry{}, i.log[:length]...)
			}
			g.mu.Unlock()
		})
		time.AfterFunc(g.conf.received+g.conf.applied, func() {
			g.mu.Lock()
			o.applied = max(o.applied, min(length, len(o.log)))
			g.mu.Unlock()
		})
	}
	return p
}

// serverConn is a connection to an instance.
type serverConn struct {
	i        *instance
	net      net.Conn
	r        *bufio.Reader
	state    string
	readOnly bool
	pending  map[string]string
	values   map[string]string
	prepared map[string]string // The kind of each statement, READ or WRITE.
	dead     bool              // It is of an earlier start of the instance. The lock of the group guards it.
}

// readLine reads a message, which ends at CR LF.
func readLine(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

func (c *serverConn) serve() {
	defer c.net.Close()
	g := c.i.group
	hello, err := readLine(c.r)
	if err != nil {
		return
	}
	words := strings.Split(hello, " ")
	g.mu.Lock()
	full := len(c.i.conns) >= g.conf.maxConns
	if !full {
		c.i.conns[c] = true
	}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(c.i.conns, c)
		g.mu.Unlock()
	}()
	switch {
	case full:
		fmt.Fprintf(c.net, "ERROR CONNLIMIT %s\r\n", c.i.id)
		return
	case len(words) < 3 || words[0] != "STARTUP" || words[1] != g.name || len(words) > 3 && words[3] != c.i.id:
		fmt.Fprintf(c.net, "ERROR WRONGNODE %s\r\n", c.i.id)
		return
	}
	if !c.slot(func() { time.Sleep(g.conf.handshake) }) {
		fmt.Fprintf(c.net, "ERROR RETRY %s\r\n", c.i.id)
		return
	}
	fmt.Fprintf(c.net, "READY I %s\r\n", c.at())
	for {
		line, err := readLine(c.r)
		if err != nil {
			return
		}
		words := strings.SplitN(line, " ", 3)
		if words[0] != "QUERY" || len(words) < 3 {
			return
		}
		c.awaitLight()
		rows, receipt, code := c.run(words[1], words[2])
		if c.awaitLight(); c.dead {
			return
		}
		var b strings.Builder
		for _, v := range rows {
			fmt.Fprintf(&b, "DATAROW %s\r\n", v)
		}
		if code != "" {
			fmt.Fprintf(&b, "ERROR %s %s\r\n", code, c.i.id)
		} else {
			fmt.Fprintf(&b, "COMPLETE %s\r\n", receipt)
		}
		fmt.Fprintf(&b, "READY %s %s\r\n", c.state, c.at())
		if _, err := io.WriteString(c.net, b.String()); err != nil {
			return
		}
	}
}

// awaitLight waits while the instance is silent.
func (c *serverConn) awaitLight() {
	g := c.i.group
	for {
		g.mu.Lock()
		dark := c.i.dark
		g.mu.Unlock()
		if !dark {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// at returns the last applied position.
func (c *serverConn) at() position {
	c.i.group.mu.Lock()
	defer c.i.group.mu.Unlock()
	if c.i.applied == 0 {
		return position{}
	}
	return c.i.log[c.i.applied-1].at
}

// slot runs f in a slot. It returns false if too many wait.
func (c *serverConn) slot(f func()) bool {
	g := c.i.group
	g.mu.Lock()
	if c.i.waiting >= g.conf.queue+g.conf.slots {
		g.mu.Unlock()
		return false
	}
	c.i.waiting++
	g.mu.Unlock()
	c.i.slots <- struct{}{}
	f()
	<-c.i.slots
	g.mu.Lock()
	c.i.waiting--
	g.mu.Unlock()
	return true
}

func (c *serverConn) failed(code string) (rows []string, receipt, result string) {
	if c.state == "T" && code != "RETRY" {
		c.state = "E"
	}
	return nil, "", code
}

// atOldPrimary holds the ids of the writes that were committed at a primary after another instance's
// promotion had taken effect.
var atOldPrimary sync.Map

// reached holds the ids of the requests that an instance has received.
var reached sync.Map

// arrivedAtInstance reports whether an instance has received the request.
func arrivedAtInstance(id string) bool {
	_, ok := reached.Load(id)
	return ok
}

// run runs one statement and returns its rows and receipt, or the code of an error.
func (c *serverConn) run(id, text string) (rows []string, receipt, code string) {
	g, i := c.i.group, c.i
	if id != "-" {
		reached.Store(id, true)
	}
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		words := strings.SplitN(rest, " ", 2)
		g.mu.Lock()
		has := false
		for _, e := range i.log[:i.applied] {
			has = has || e.at.String() == words[0]
		}
		g.mu.Unlock()
		if !has {
			return nil, "", "LAGGING"
		}
		text = words[1]
	}
	word, rest, _ := strings.Cut(text, " ")
	if code := i.refuse(text); code != "" {
		note("instance=%s id=%s refused=%s text=%q", i.id, id, code, cut(text))
		return c.failed(code)
	}
	if c.state == "E" && text != "ROLLBACK" {
		return nil, "", "MALFORMED"
	}
	switch word {
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return nil, "-", ""
	case "STATUS", "STEPDOWN":
		g.mu.Lock()
		defer g.mu.Unlock()
		var term uint64
		if word == "STEPDOWN" {
			_, _ = fmt.Sscan(rest, &term)
			i.leads = i.leads && i.term >= term
		}
		role, last := "replica", position{}
		if i.leads {
			role = "primary"
		}
		if n := len(i.log); n > 0 {
			last = i.log[n-1].at
		}
		return []string{fmt.Sprintf("%s %d %s 0 0 0 %d", role, g.term, last, len(i.conns))}, "-", ""
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return nil, "-", ""
	case "PARSE":
		words := strings.SplitN(rest, " ", 3)
		c.prepared[words[0]] = words[1]
		return nil, "-", ""
	case "CLOSE":
		delete(c.prepared, rest)
		return nil, "-", ""
	case "BEGIN":
		g.mu.Lock()
		defer g.mu.Unlock()
		if rest == "" && !i.leads {
			return nil, "", "READONLY"
		}
		c.state, c.readOnly, c.pending = "T", rest == "READ", map[string]string{}
		return nil, "-", ""
	case "ROLLBACK":
		c.state, c.pending = "I", nil
		return nil, "-", ""
	}
	if !c.slot(func() { time.Sleep(g.conf.work); rows, receipt, code = c.execute(id, word, rest) }) {
		return c.failed("RETRY")
	}
	return rows, receipt, code
}

// execute runs a statement that occupies a slot.
func (c *serverConn) execute(id, word, rest string) (rows []string, receipt, code string) {
	g, i := c.i.group, c.i
	g.mu.Lock()
	defer g.mu.Unlock()
	kind := word
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		var ok bool
		if kind, ok = c.prepared[name]; !ok {
			return c.failed("UNKNOWN")
		}
		rest = arguments
	}
	receipt = i.id + "." + id
	if c.dead {
		return nil, "", "FAILED" // It is not sent.
	}
	if i.ran != nil && kind != "COMMIT" {
		i.ran(id, c.values)
	}
	log := i.log[:i.applied]
	position := position{}
	if len(log) > 0 {
		position = log[len(log)-1].at
	}
	item, data, _ := strings.Cut(rest, " ")
	switch kind {
	case "READ":
		if c.state == "T" && !c.readOnly && !i.leads {
			return c.failed("READONLY")
		}
		value, ok := c.pending[item]
		for n := len(log) - 1; n >= 0 && !ok; n-- {
			value, ok = log[n].items[item]
		}
		if !ok {
			value = "-"
		}
		note("instance=%s ran=%s id=%s values=%s position=%v", i.id, word, id, show(c.values), position)
		return []string{value}, receipt, ""
	case "WRITE":
		if !i.leads || c.readOnly && c.state == "T" {
			return c.failed("READONLY")
		}
		if c.state == "T" {
			c.pending[item] = data
			note("instance=%s ran=%s id=%s values=%s in=transaction", i.id, word, id, show(c.values))
			return nil, receipt, ""
		}
		if i != g.primary {
			atOldPrimary.Store(id, true)
		}
		p := g.commit(i, map[string]string{item: data})
		note("instance=%s ran=%s id=%s values=%s committed=%v", i.id, word, id, show(c.values), p)
		return nil, receipt, ""
	case "COMMIT":
		items := c.pending
		c.state, c.pending = "I", nil
		if len(items) > 0 && !i.leads {
			return nil, "", "READONLY"
		}
		if len(items) > 0 {
			note("instance=%s ran=COMMIT id=%s committed=%v", i.id, id, g.commit(i, items))
		}
		return nil, receipt, ""
	}
	return nil, "", "MALFORMED"
}

// show returns the session values of a connection.
func show(values map[string]string) string {
	text, _ := json.Marshal(values)
	return string(text)
}

// slowPromotion, if set, returns how late the platform carries out a call to promote that it has
// received. The answer comes after that.
var slowPromotion func() time.Duration

// servePromotions serves the platform's call that promotes an instance.
func servePromotions(groups ...*group) string {
	l := listen("127.0.0.1")
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ ServiceName, Id string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		if slowPromotion != nil {
			if late := slowPromotion(); late > 0 {
				note("promote service=%s id=%s fence=%s event=received-and-carried-out-later late=%v", body.ServiceName, body.Id, r.Header.Get("X-Fence-Token"), late)
				time.Sleep(late)
			}
		}
		status := http.StatusNotFound
		for _, g := range groups {
			if g.name == body.ServiceName {
				status = g.promote(body.Id)
			}
		}
		note("promote service=%s id=%s holder=%s fence=%s status=%d", body.ServiceName, body.Id, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token"), status)
		w.WriteHeader(status)
	}))
	return l.Addr().String()
}
