package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md spells it.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// store is the platform's store: linearizable, atomic transactions, a feed of changes. It
// has no fault of its own.
type store struct {
	mu      sync.Mutex
	started time.Time
	ver     uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	server  *http.Server
	addr    string
}

func newStore() (*store, error) {
	s := &store{started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// write writes one row at the current version. The lock is held.
func (s *store) write(r row) {
	r.Ver = s.ver
	if r.Deleted {
		delete(s.rows, rowID(r.Table, r.Part, r.Key))
	} else {
		s.rows[rowID(r.Table, r.Part, r.Key)] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or an instance does.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: body})
	s.notify()
}

// remove drops a row as an instance that has left does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Deleted: true})
	s.notify()
}

// answer writes an answer. The lock is held.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "MorePages": more, "Ver": s.ver, "NowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, row := range s.rows {
		if row.Table != q.Get("Table") || row.Part != q.Get("part") || row.Key < q.Get("From") ||
			q.Get("Target") != "" && row.Key >= q.Get("Target") {
			continue
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, 200, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := wait == 0; ; {
		s.mu.Lock()
		var rows []row
		for _, row := range s.history {
			if row.Table == q.Get("Table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || expired {
			s.answer(w, 200, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expected, Puts, Delete []row }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(400)
		return
	}
	time.Sleep(4 * time.Millisecond) // TxMs
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(slices.Clone(body.Puts), body.Delete...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(403)
			return
		}
	}
	var current []row
	conflict := false
	for _, e := range body.Expected {
		found := s.rows[rowID(e.Table, e.Part, e.Key)]
		if found.Ver != 0 {
			current = append(current, found)
		}
		conflict = conflict || found.Ver != e.Ver
	}
	if conflict {
		s.answer(w, 412, current, false)
		return
	}
	s.ver++
	for _, p := range body.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range body.Delete {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	s.notify()
	s.answer(w, 200, nil, false)
}

// cloud is the platform's call to promote an instance.
type cloud struct {
	addr   string
	record *record
	groups map[string]*group

	mu     sync.Mutex
	calls  []promoteCall
	server *http.Server
}

// promoteCall is one call to promote as the platform has seen it.
type promoteCall struct {
	at      time.Time
	holder  string
	fence   uint64
	service string
	id      string
	status  int
}

func newCloud(r *record) (*cloud, error) {
	c := &cloud{record: r, groups: map[string]*group{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.promote)
	c.server = &http.Server{Handler: mux}
	go c.server.Serve(l)
	return c, nil
}

func (c *cloud) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ServiceName string `json:"ServiceName"`
		ID          string `json:"Id"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(400)
		return
	}
	status := 409
	effect := "not running"
	if g := c.groups[body.ServiceName]; g != nil {
		status, effect = g.promote(body.ID)
	}
	call := promoteCall{at: time.Now(), holder: r.Header.Get("X-Duty-Holder"), fence: fence, service: body.ServiceName, id: body.ID, status: status}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.record.log("platform: POST /promote holder=%s fence=%d service=%s instance=%s from=%s -> %d (%s)",
		call.holder, fence, body.ServiceName, body.ID, r.RemoteAddr, status, effect)
	w.WriteHeader(status)
	fmt.Fprint(w, "{}")
}

func (c *cloud) seen() []promoteCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}
