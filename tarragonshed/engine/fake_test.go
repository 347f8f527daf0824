package engine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// fakeInstance answers requests as the test says.
type fakeInstance struct {
	mu    sync.Mutex
	sent  []Request
	conns int
	// answer replies to a request. A nil reply closes the connection, a false
	// one sends nothing.
	answer  func(c *fakeConn, r Request) (*Reply, bool)
	connect *result.Error
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

// at is a position that every fake instance has.
var at = unit.Position{Term: 1, Index: 7}

// good answers everything with success.
func good(c *fakeConn, r Request) (*Reply, bool) {
	switch r.Statement.(type) {
	case Begin:
		c.state = Open
	case Commit, Rollback:
		c.state = Idle
	}
	return &Reply{Receipt: "done", State: c.state, Position: at}, true
}

// failing answers statements of callers with an error and the rest with success.
func failing(code result.Code, state TransactionState) func(*fakeConn, Request) (*Reply, bool) {
	return func(c *fakeConn, r Request) (*Reply, bool) {
		if r.ID == "" {
			return good(c, r)
		}
		return &Reply{Err: result.New(code, "as the test says"), State: state, Position: at}, true
	}
}

// callers returns the requests of callers that were sent.
func (i *fakeInstance) callers() []Request {
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

// all returns the statements that were sent.
func (i *fakeInstance) all() []Statement {
	i.mu.Lock()
	defer i.mu.Unlock()
	var statements []Statement
	for _, r := range i.sent {
		statements = append(statements, r.Statement)
	}
	return statements
}

// rig is an engine before three fake instances, of which a leads.
type rig struct {
	*Engine
	t         *testing.T
	instances map[unit.InstanceName]*fakeInstance
	manifest  *manifest.Manifest

	neighbours []string // Those through which instances are said to be reached.
	// timedOut tells that a try through the neighbour "hung" took all its time.
	timedOut atomic.Bool

	mu      sync.Mutex
	leader  authorizer.Leadership
	holds   bool
	changed chan struct{}
}

func newRig(t *testing.T) *rig {
	r := &rig{
		neighbours: []string{"neighbour"},
		t:          t, instances: make(map[unit.InstanceName]*fakeInstance), holds: true, changed: make(chan struct{}),
		leader: authorizer.Leadership{Group: "g", State: authorizer.Leading, Primary: "a", Term: 1, Incarnation: 1},
	}
	g := manifest.Group{Name: "g"}
	for _, name := range []unit.InstanceName{"a", "b", "c"} {
		r.instances[name] = &fakeInstance{answer: good}
		g.Instances = append(g.Instances, manifest.Instance{
			Name: name, Domain: unit.DomainName("domain-" + name), Address: string(name), Slots: 3, Connections: 20, Incarnation: 1,
		})
	}
	r.manifest = &manifest.Manifest{Version: 1, Groups: []manifest.Group{g}, TransactionIdle: time.Hour}
	for name, consistency := range map[unit.DatabaseName]manifest.Consistency{
		"first": manifest.PrimaryReads, "old": manifest.BoundedReads, "own": manifest.SessionReads,
	} {
		r.manifest.Routes = append(r.manifest.Routes, manifest.Route{
			Database: name, Group: "g", Consistency: consistency, Timeout: time.Minute, MaxStaleness: time.Hour,
		})
	}
	r.Engine = New(r, r, func() unit.Instant { return unit.Instant(time.Since(start)) }, WithDomain("domain-b"), WithPeers(r))
	t.Cleanup(r.Close)
	r.Adopt(r.manifest)
	return r
}

var start = time.Now().Add(-time.Hour)

// Connect implements [Connector].
func (r *rig) Connect(ctx context.Context, _ unit.GroupName, i manifest.Instance, via string) (Conn, *result.Error) {
	if via == "hung" {
		<-ctx.Done()
		r.timedOut.Store(errors.Is(ctx.Err(), context.DeadlineExceeded))
		return nil, result.New(result.InstanceUnreachable, "cut off itself")
	}
	f := r.instances[i.Name]
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connect != nil && via == "" {
		return nil, f.connect
	}
	f.conns++
	return &fakeConn{instance: f, replies: make(chan Reply, 64), closed: make(chan struct{}), state: Idle}, nil
}

// Status implements [Connector].
func (r *rig) Status(Reply) (InstanceStatus, error) {
	return InstanceStatus{Primary: true, Term: 1, Received: at}, nil
}

// Reaching implements [Peers].
func (r *rig) Reaching(context.Context, unit.GroupName, unit.InstanceName) []string {
	return r.neighbours
}

// Primary implements [Authority].
func (r *rig) Primary(unit.GroupName) (authorizer.Leadership, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.holds
}

// Holds implements [Authority].
func (r *rig) Holds(l authorizer.Leadership) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds && l == r.leader
}

// Active implements [Authority].
func (r *rig) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds
}

// Changed implements [Authority].
func (r *rig) Changed() <-chan struct{} { return r.changed }

// lose takes the authority away.
func (r *rig) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = false
}

func (r *rig) open(database unit.DatabaseName) *Session {
	r.t.Helper()
	s, err := r.Open(database)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// served runs a statement that is to succeed.
func served(t *testing.T, s *Session, st Statement) Answer {
	t.Helper()
	a := s.Do("q", st)
	if a.Err != nil {
		t.Fatalf("%#v: %v", st, a.Err)
	}
	return a
}

// refused runs a statement that is to fail with the code.
func refused(t *testing.T, s *Session, st Statement, code result.Code) Answer {
	t.Helper()
	a := s.Do("q", st)
	if a.Err == nil || a.Err.Code != code {
		t.Fatalf("%#v: %v, not %v", st, a.Err, code)
	}
	return a
}

// gain gives the authority back.
func (r *rig) gain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = true
}
