package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is the platform's metadata store, in the form of tables.
type store struct {
	listener net.Listener
	began    time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	ver     uint64
	changed chan struct{}
	down    bool // Every call is refused with 503.
}

// txTime is how long a transaction takes, as in the site file.
const txTime = 4 * time.Millisecond

func newStore() *store {
	s := &store{listener: listen("127.0.0.1"), began: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
	calls := http.NewServeMux()
	calls.HandleFunc("GET /rows-get", s.get)
	calls.HandleFunc("GET /rows-feed", s.feed)
	calls.HandleFunc("POST /rows-tx", s.tx)
	go http.Serve(s.listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		calls.ServeHTTP(w, r)
	}))
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// setDown makes the store refuse every call, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

func (s *store) nowMs() float64 { return 50_000 + float64(time.Since(s.began).Microseconds())/1000 }

// put writes a row of the operator or of an instance. The lock is not held.
func (s *store) put(table, key string, value any) {
	body, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: body, Ver: s.ver})
	s.notify()
}

// remove deletes a row. The lock is not held.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.notify()
}

func (s *store) write(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "MorePages": more, "Ver": ver, "NowMs": s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(txTime / 2)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var found []row
	for id, v := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= q.Get("From") && (q.Get("Target") == "" || id.key < q.Get("Target")) {
			found = append(found, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(len(found), limit)], more, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, v := range s.history {
			if v.Table == q.Get("Table") && v.Ver > after {
				found = append(found, v)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(found) > 0 || waitMs == 0 {
			s.answer(w, http.StatusOK, found, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expected, Puts, Delete []row }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []row
	for _, e := range body.Expected {
		known := s.rows[e.id()]
		conflict = conflict || known.Ver != e.Ver
		if known.Ver > 0 {
			current = append(current, known)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.ver)
		return
	}
	s.ver++
	for _, p := range body.Puts {
		p.Ver = s.ver
		s.write(p)
	}
	for _, d := range body.Delete {
		s.write(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Deleted: true})
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false, s.ver)
}

// listen returns a listener at a free port of the loopback address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}
