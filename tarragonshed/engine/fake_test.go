package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// fakeInstance answers requests by a function that the test sets.
type fakeInstance struct {
	mu    sync.Mutex
	sent  []Request
	conns int
	// callers are the callers of the connections opened on their behalf.
	callers []unit.CallerName
	// answer replies to a request. A nil reply closes the connection, and no reply is sent
	// if the second result is false.
	answer  func(c *fakeConn, r Request) (*Reply, bool)
	connect *result.Error
	// unsendable is the text of a write that can't be encoded for the instance.
	unsendable string
}

// fakeConn is a connection to a fakeInstance.
type fakeConn struct {
	instance *fakeInstance
	replies  chan Reply
	closed   chan struct{}
	once     sync.Once
	state    TransactionState
}

func (c *fakeConn) Close() { c.once.Do(func() { close(c.closed) }) }

func (c *fakeConn) Receive() (Reply, error) {
	select {
	case r := <-c.replies:
		return r, nil
	case <-c.closed:
		return Reply{}, errors.New("closed")
	}
}

func (c *fakeConn) Send(requests ...Request) error {
	for _, r := range requests {
		if w, ok := r.Statement.(Write); ok && c.instance.unsendable != "" && w.Text == c.instance.unsendable {
			return result.New(result.ProtocolViolation, "injected by the test")
		}
	}
	for _, r := range requests {
		c.instance.mu.Lock()
		c.instance.sent = append(c.instance.sent, r)
		answer := c.instance.answer
		c.instance.mu.Unlock()
		reply, replies := answer(c, r)
		switch {
		case !replies:
		case reply == nil:
			c.Close()
		default:
			c.replies <- *reply
		}
	}
	return nil
}

// replyPosition is the position in the replies of all fake instances.
var replyPosition = unit.Position{Term: 1, Index: 7}

// succeed answers every request with success.
func succeed(c *fakeConn, r Request) (*Reply, bool) {
	switch r.Statement.(type) {
	case Begin:
		c.state = Open
	case Commit, Rollback:
		c.state = Idle
	}
	return &Reply{Receipt: "done", State: c.state, Position: replyPosition}, true
}

// failWith answers the statements of callers with an error and all others with success.
func failWith(code result.Code, state TransactionState) func(*fakeConn, Request) (*Reply, bool) {
	return func(c *fakeConn, r Request) (*Reply, bool) {
		if r.ID == "" {
			return succeed(c, r)
		}
		return &Reply{Err: result.New(code, "injected by the test"), State: state, Position: replyPosition}, true
	}
}

// callerRequests returns the requests sent to the instance on behalf of callers.
func (i *fakeInstance) callerRequests() []Request {
	i.mu.Lock()
	defer i.mu.Unlock()
	var requests []Request
	for _, r := range i.sent {
		if r.ID != "" {
			requests = append(requests, r)
		}
	}
	return requests
}

// callersConnected returns the callers of the connections opened on their behalf.
func (i *fakeInstance) callersConnected() []unit.CallerName {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.callers)
}

// statements returns all statements sent to the instance.
func (i *fakeInstance) statements() []Statement {
	i.mu.Lock()
	defer i.mu.Unlock()
	var statements []Statement
	for _, r := range i.sent {
		statements = append(statements, r.Statement)
	}
	return statements
}

// harness is an engine with three fake instances, a, b and c. Instance a is the primary,
// and b is in the engine's failure domain. The database "first" reads at the primary,
// "old" has bounded staleness, and "own" reads the session's own writes.
type harness struct {
	*Engine
	t         *testing.T
	instances map[unit.InstanceName]*fakeInstance
	manifest  *manifest.Manifest

	peers []string // The daemons that report that they reach the instances.
	// timedOut is true if an attempt through the peer "hung" ended by its timeout.
	timedOut atomic.Bool

	mu      sync.Mutex
	leader  authorizer.Leadership
	holds   bool
	changed chan struct{}
}

func newHarness(t *testing.T, options ...Option) *harness {
	h := &harness{
		peers: []string{"peer"},
		t:     t, instances: make(map[unit.InstanceName]*fakeInstance), holds: true, changed: make(chan struct{}),
		leader: authorizer.Leadership{Group: "g", State: authorizer.Leading, Primary: "a", Term: 1, Incarnation: 1},
	}
	g := manifest.Group{Name: "g"}
	for _, name := range []unit.InstanceName{"a", "b", "c"} {
		h.instances[name] = &fakeInstance{answer: succeed}
		g.Instances = append(g.Instances, manifest.Instance{
			Name: name, Domain: unit.DomainName("domain-" + name), Address: string(name), Slots: 3, Connections: 20, Incarnation: 1,
		})
	}
	h.manifest = &manifest.Manifest{Version: 1, Groups: []manifest.Group{g}, TransactionIdle: time.Hour}
	for name, consistency := range map[unit.DatabaseName]manifest.Consistency{
		"first": manifest.PrimaryReads, "old": manifest.BoundedReads, "own": manifest.SessionReads,
	} {
		h.manifest.Routes = append(h.manifest.Routes, manifest.Route{
			Database: name, Group: "g", Consistency: consistency, Timeout: time.Minute, MaxStaleness: time.Hour,
		})
	}
	options = append([]Option{WithDomain("domain-b"), WithPeers(h)}, options...)
	h.Engine = New(h, h, func() unit.Instant { return unit.Instant(time.Since(start)) }, options...)
	t.Cleanup(h.Close)
	h.Adopt(h.manifest)
	return h
}

var start = time.Now().Add(-time.Hour)

// Connect implements [Connector].
func (h *harness) Connect(ctx context.Context, _ unit.GroupName, i manifest.Instance, caller unit.CallerName, via string) (Conn, *result.Error) {
	if via == "hung" {
		<-ctx.Done()
		h.timedOut.Store(errors.Is(ctx.Err(), context.DeadlineExceeded))
		return nil, result.New(result.InstanceUnreachable, "the peer is cut off")
	}
	f := h.instances[i.Name]
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connect != nil && via == "" {
		return nil, f.connect
	}
	f.conns++
	if caller != "" {
		f.callers = append(f.callers, caller)
	}
	return &fakeConn{instance: f, replies: make(chan Reply, 64), closed: make(chan struct{}), state: Idle}, nil
}

// largestText is the length of the longest text that the fake protocol carries, with the name of a
// prepared statement and one byte for a position.
const largestText = 100

// Fits implements [Connector].
func (h *harness) Fits(r Request) bool {
	length := 0
	switch st := r.Statement.(type) {
	case Read:
		length = len(st.Text)
	case Execute:
		length = len(st.Name) + len(st.Text)
	case Prepare:
		length = len(st.Name) + len(st.Definition.Text)
	case Set:
		length = len(st.Value)
	}
	if !r.After.IsZero() {
		length++
	}
	return length <= largestText
}

// Status implements [Connector].
func (h *harness) Status(Reply) (InstanceStatus, error) {
	return InstanceStatus{Primary: true, Term: 1, Received: replyPosition}, nil
}

// Reaching implements [Peers].
func (h *harness) Reaching(context.Context, unit.GroupName, unit.InstanceName) []string {
	return h.peers
}

// Primary implements [Authority].
func (h *harness) Primary(unit.GroupName) (authorizer.Leadership, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader, h.holds
}

// Holds implements [Authority].
func (h *harness) Holds(l authorizer.Leadership) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holds && l == h.leader
}

// Active implements [Authority].
func (h *harness) Active() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holds
}

// Changed implements [Authority].
func (h *harness) Changed() <-chan struct{} { return h.changed }

// loseAuthority withdraws the daemon's authority.
func (h *harness) loseAuthority() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holds = false
}

func (h *harness) open(database unit.DatabaseName) *Session {
	h.t.Helper()
	s, err := h.Open(database, "")
	if err != nil {
		h.t.Fatal(err)
	}
	return s
}

// mustSucceed runs a statement that must succeed.
func mustSucceed(t *testing.T, s *Session, st Statement) Answer {
	t.Helper()
	a := s.Do("q", st)
	if a.Err != nil {
		t.Fatalf("%#v: %v", st, a.Err)
	}
	return a
}

// mustFail runs a statement that must fail with the code.
func mustFail(t *testing.T, s *Session, st Statement, code result.Code) Answer {
	t.Helper()
	a := s.Do("q", st)
	if a.Err == nil || a.Err.Code != code {
		t.Fatalf("%#v: got error %v, want code %v", st, a.Err, code)
	}
	return a
}

// setTimeouts sets the timeout of all routes.
func (h *harness) setTimeouts(d time.Duration) {
	next := *h.manifest
	next.Routes = slices.Clone(h.manifest.Routes)
	for n := range next.Routes {
		next.Routes[n].Timeout = d
	}
	h.manifest = &next
	h.Adopt(&next)
}

// gainAuthority grants authority again.
func (h *harness) gainAuthority() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holds = true
}

// someDaemons returns a list of n daemons.
func someDaemons(n int) []Daemon {
	daemons := make([]Daemon, n)
	for i := range daemons {
		daemons[i].ID = unit.DaemonID(fmt.Sprintf("daemon-%d", i))
	}
	return daemons
}
