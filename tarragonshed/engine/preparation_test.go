package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/pooler"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// statefulInstance is a fake instance whose connections keep values, prepared statements and
// transactions. It records each statement of a caller that runs on a connection with another state
// than that of the caller's session: the value "office" must be the id of the request, and the text
// of a prepared statement must be that of its execution.
type statefulInstance struct {
	mu    sync.Mutex
	conns map[*fakeConn]*connState
	// fault returns what goes wrong with a request. It may be nil.
	fault func(Request) fault
	wrong []string
	runs  map[unit.RequestID]int
}

// fault is what goes wrong with one request.
type fault struct {
	// code is that of the error in the reply. It is zero if the request succeeds.
	code result.Code
	// runs is true if the request takes effect although the reply has an error.
	runs bool
	// lost is true if the connection ends instead of a reply.
	lost bool
	// late is how long the reply takes. Later replies on the connection wait for it.
	late time.Duration
}

// connState is the state of one connection at the instance.
type connState struct {
	values   map[string]string
	prepared map[string]Definition
	held     []*Reply // Replies that wait for a late one.
	holding  bool
}

func newStatefulInstance(i *fakeInstance) *statefulInstance {
	s := &statefulInstance{conns: make(map[*fakeConn]*connState), runs: make(map[unit.RequestID]int)}
	i.answer = s.answer
	return s
}

// setFault sets what goes wrong from now on.
func (s *statefulInstance) setFault(f func(Request) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// failOnce makes the next statement of the same type fail.
func (s *statefulInstance) failOnce(st Statement, f fault) {
	failed := false
	s.setFault(func(r Request) fault {
		if failed || fmt.Sprintf("%T", r.Statement) != fmt.Sprintf("%T", st) {
			return fault{}
		}
		failed = true
		return f
	})
}

func (s *statefulInstance) answer(c *fakeConn, r Request) (*Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.conns[c]
	if conn == nil {
		conn = &connState{values: make(map[string]string), prepared: make(map[string]Definition)}
		s.conns[c] = conn
	}
	var f fault
	if s.fault != nil {
		f = s.fault(r)
	}
	if f.lost {
		return nil, true
	}
	var err *result.Error
	if f.code == 0 || f.runs {
		err = s.run(c, conn, r)
	}
	if f.code != 0 {
		err = result.New(f.code, "injected by the test")
	}
	reply := &Reply{Receipt: "done", Err: err, State: c.state, Position: replyPosition}
	if f.late > 0 && !conn.holding {
		conn.holding = true
		time.AfterFunc(f.late, func() { s.release(c) })
	}
	if conn.holding {
		conn.held = append(conn.held, reply)
		return nil, false
	}
	return reply, true
}

// release sends the replies that a late one has held up.
func (s *statefulInstance) release(c *fakeConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.conns[c]
	for _, reply := range conn.held {
		c.replies <- *reply
	}
	conn.held, conn.holding = nil, false
}

// run applies a request to its connection. The caller holds the lock.
func (s *statefulInstance) run(c *fakeConn, conn *connState, r Request) *result.Error {
	switch st := r.Statement.(type) {
	case Begin:
		c.state = Open
	case Commit, Rollback:
		c.state = Idle
	case Set:
		conn.values[st.Name] = st.Value
	case Prepare:
		conn.prepared[st.Name] = st.Definition
	case Discard:
		clear(conn.values)
		clear(conn.prepared)
	case Execute:
		definition, known := conn.prepared[st.Name]
		if !known {
			return result.New(result.UnknownStatement, "%s", st.Name)
		}
		if definition.Text != st.Text {
			s.wrong = append(s.wrong, fmt.Sprintf("%s: %q executed as %q", r.ID, st.Text, definition.Text))
		}
	}
	if r.ID == "" {
		return nil
	}
	s.runs[r.ID]++
	// The id is the name of the session, a dot and a number.
	if want, _, _ := strings.Cut(string(r.ID), "."); conn.values["office"] != want || len(conn.values) > 1 {
		s.wrong = append(s.wrong, fmt.Sprintf("%s: %T ran with the values %v", r.ID, r.Statement, conn.values))
	}
	return nil
}

// mustBeRight checks that no statement ran in another state than that of its session.
func (s *statefulInstance) mustBeRight(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, wrong := range s.wrong {
		t.Error(wrong)
	}
}

// ran returns how often the request ran.
func (s *statefulInstance) ran(id unit.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// office is a session with the value "office" and prepared statements.
type office struct {
	*Session
	name  string
	count int
}

// newOffice opens a session at the primary.
func newOffice(h *harness, name string) *office {
	o := &office{Session: h.open("first"), name: name}
	mustSucceed(h.t, o.Session, Set{Name: "office", Value: name})
	for _, text := range []string{"shape " + name, "other " + name} {
		mustSucceed(h.t, o.Session, Prepare{Name: text[:5], Definition: Definition{Text: text, Writes: true}})
	}
	return o
}

// do runs a statement under the next id.
func (o *office) do(st Statement) (unit.RequestID, Answer) {
	o.count++
	id := unit.RequestID(fmt.Sprintf("%s.%d", o.name, o.count))
	return id, o.Do(id, st)
}

// execute runs a prepared statement.
func (o *office) execute() (unit.RequestID, Answer) {
	return o.do(Execute{Name: "shape", Text: "shape " + o.name})
}

// newStateful returns a harness whose primary keeps the state of its connections. It accepts only one
// connection, so that sessions take turns on it.
func newStateful(t *testing.T) (*harness, *statefulInstance) {
	h := newHarness(t)
	instance := newStatefulInstance(h.instances["a"])
	next := *h.manifest
	next.Groups = slices.Clone(next.Groups)
	next.Groups[0].Instances = slices.Clone(next.Groups[0].Instances)
	primary := &next.Groups[0].Instances[0]
	primary.Connections, primary.Slots = 1, 1
	primary.Incarnation = 2 // The limits of an incarnation don't change.
	h.manifest, h.leader.Incarnation = &next, 2
	h.Adopt(&next)
	return h, instance
}

// TestRefusedPreparation guards against statements that run on a connection whose values or prepared
// statements the instance has refused to change, as they did when both were sent together.
func TestRefusedPreparation(t *testing.T) {
	faults := map[string]fault{
		"refused":          {code: result.Overloaded},
		"failed":           {code: result.StatementFailed},
		"failed, but done": {code: result.StatementFailed, runs: true},
		"not primary":      {code: result.NotPrimary},
		"no connection":    {code: result.ConnectionsExhausted},
		"lost":             {lost: true},
	}
	for name, f := range faults {
		for _, st := range []Statement{Set{}, Discard{}, Prepare{}} {
			t.Run(fmt.Sprintf("%T %s", st, name), func(t *testing.T) {
				is := is.New(t)
				h, instance := newStateful(t)
				first, second := newOffice(h, "first"), newOffice(h, "second")
				_, answer := first.execute()
				is.True(answer.Err == nil)
				other := &office{Session: h.open("first"), name: "third"}
				mustSucceed(t, other.Session, Set{Name: "other", Value: "x"})
				other.Do("", Read{Text: "1"}) // Leaves a value that the others don't have.
				instance.failOnce(st, f)
				id, answer := second.execute()
				is.True(answer.Err == nil) // It was not sent, so that it could be tried again.
				is.Equal(instance.ran(id), 1)
				_, answer = first.execute()
				is.True(answer.Err == nil)
				instance.mustBeRight(t)
			})
		}
	}
}

// TestLateRefusalOfPreparation guards against a connection that returns to the pool as prepared
// although the instance has refused it after the statement's timeout.
func TestLateRefusalOfPreparation(t *testing.T) {
	for _, st := range []Statement{Set{}, Discard{}, Prepare{}} {
		t.Run(fmt.Sprintf("%T", st), func(t *testing.T) {
			is := is.New(t)
			h, instance := newStateful(t)
			first, second := newOffice(h, "first"), newOffice(h, "second")
			mustSucceed(t, first.Session, Set{Name: "other", Value: "x"})
			first.Do("", Read{Text: "1"})
			h.setTimeouts(20 * time.Millisecond)
			instance.failOnce(st, fault{code: result.Overloaded, late: 100 * time.Millisecond})
			id, answer := second.execute()
			is.Equal(answer.Err.Code.Entry().Outcome, result.NotRun)
			is.Equal(instance.ran(id), 0)
			h.setTimeouts(time.Minute)
			for range 3 {
				id, answer = second.execute()
				is.True(answer.Err == nil)
				is.Equal(instance.ran(id), 1)
			}
			instance.mustBeRight(t)
			is.Equal(h.instances["a"].conns, 1) // The refusal says that the connection is as it was.
		})
	}
}

// TestRefusedPreparationInTransaction checks the values that are set in a transaction and by its
// first statement, and a prepared statement that is first used in it.
func TestRefusedPreparationInTransaction(t *testing.T) {
	for _, code := range []result.Code{result.Overloaded, result.StatementFailed} {
		for _, st := range []Statement{Set{}, Discard{}, Prepare{}, Begin{}} {
			t.Run(fmt.Sprintf("%T %v", st, code), func(t *testing.T) {
				is := is.New(t)
				h, instance := newStateful(t)
				first, second := newOffice(h, "first"), newOffice(h, "second")
				mustSucceed(t, first.Session, Set{Name: "other", Value: "x"})
				first.Do("", Read{Text: "1"})
				mustSucceed(t, second.Session, Begin{})
				instance.failOnce(st, fault{code: code})
				_, answer := second.execute()
				if answer.Err == nil {
					mustSucceed(t, second.Session, Set{Name: "office", Value: "renamed"})
					second.name = "renamed"
					instance.failOnce(st, fault{code: code})
					second.do(Read{Text: "1"})
				}
				second.Do("", Rollback{})
				second.name = second.values["office"]
				instance.setFault(nil)
				for range 2 {
					_, answer = second.do(Read{Text: "1"})
					is.True(answer.Err == nil)
				}
				instance.mustBeRight(t)
			})
		}
	}
}

// TestRefusedPreparationAtHome checks the connections of a home, to which another daemon's sessions bring
// the values.
func TestRefusedPreparationAtHome(t *testing.T) {
	for _, st := range []Statement{Set{}, Discard{}, Prepare{}} {
		for _, code := range []result.Code{result.Overloaded, result.StatementFailed} {
			t.Run(fmt.Sprintf("%T %v", st, code), func(t *testing.T) {
				is := is.New(t)
				daemon, home, _ := newForwarding(t)
				instance := newStatefulInstance(home.instances["a"])
				first, second := newOffice(daemon, "first"), newOffice(daemon, "second")
				mustSucceed(t, first.Session, Set{Name: "other", Value: "x"})
				first.Do("", Read{Text: "1"})
				instance.failOnce(st, fault{code: code})
				id, answer := second.execute()
				is.True(answer.Err == nil)
				is.Equal(instance.ran(id), 1)
				is.Equal(daemon.instances["a"].conns, 0)
				instance.mustBeRight(t)
			})
		}
	}
}

// TestNameOfRefusedDiscardIsNotGivenAgain guards against a name that gets another statement while the
// instance still has the first one under it, because it has refused to discard it.
func TestNameOfRefusedDiscardIsNotGivenAgain(t *testing.T) {
	is := is.New(t)
	h, instance := newStateful(t)
	first := newOffice(h, "first")
	_, answer := first.execute()
	is.True(answer.Err == nil)
	instance.setFault(func(r Request) fault {
		if _, discards := r.Statement.(Discard); discards {
			return fault{code: result.Overloaded}
		}
		return fault{}
	})
	h.setTimeouts(20 * time.Millisecond)
	is.Equal(h.open("first").Do("", Read{Text: "1"}).Err.Code.Entry().Outcome, result.NotRun)
	h.setTimeouts(time.Minute)
	for _, st := range []Execute{{Name: "other", Text: "other first"}, {Name: "shape", Text: "shape first"}} {
		_, answer = first.do(st)
		is.True(answer.Err == nil)
	}
	is.Equal(h.instances["a"].conns, 1)
	instance.mustBeRight(t)
}

// TestPreparedNameUnknown checks that a caller is not told that a name is unknown that it was told is
// prepared, if the instance has forgotten it.
func TestPreparedNameUnknown(t *testing.T) {
	is := is.New(t)
	h, instance := newStateful(t)
	o := newOffice(h, "first")
	_, answer := o.execute()
	is.True(answer.Err == nil)
	instance.mu.Lock()
	for _, conn := range instance.conns {
		clear(conn.prepared)
	}
	instance.mu.Unlock()
	id, answer := o.execute()
	is.True(answer.Err == nil)
	is.Equal(instance.ran(id), 1)
}

// TestFittingConnectionIsPreferred checks that a session gets the idle connection that has its values
// and its prepared statement, although another session has used another one since.
func TestFittingConnectionIsPreferred(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	instance := newStatefulInstance(h.instances["a"])
	offices := []*office{newOffice(h, "first"), newOffice(h, "second")}
	for _, o := range offices { // Both hold a connection at the same time.
		mustSucceed(t, o.Session, Begin{})
		_, answer := o.execute()
		is.True(answer.Err == nil)
	}
	for _, o := range offices {
		_, answer := o.do(Commit{})
		is.True(answer.Err == nil)
	}
	prepared := h.meters.preparations.Count()
	for range 3 {
		for _, o := range offices {
			_, answer := o.execute()
			is.True(answer.Err == nil)
		}
	}
	is.Equal(h.meters.preparations.Count(), prepared)
	instance.mustBeRight(t)
}

// TestLargeValuesAreNotKept checks that an idle connection does not keep the values of a session that has
// large ones, and that no later statement runs with them.
func TestLargeValuesAreNotKept(t *testing.T) {
	is := is.New(t)
	h, instance := newStateful(t)
	large := h.open("first")
	const values = 32
	for n := range values {
		mustSucceed(t, large, Set{Name: fmt.Sprint(n) + strings.Repeat("x", maxValueBytes/values), Value: "y"})
	}
	is.True(large.Do("", Read{Text: "1"}).Err == nil)
	large.Close()
	kept := 0
	h.groups["g"].targets["a"].Each(func(_ pooler.Conn, l *link) { kept += len(l.values) })
	is.Equal(kept, 0)
	_, answer := newOffice(h, "first").do(Read{Text: "1"})
	is.True(answer.Err == nil)
	instance.mustBeRight(t)
}

// TestRandomRefusals lets sessions take turns on a few connections while an instance refuses, loses
// and delays requests. No statement may run in another state than that of its session, and a
// statement that is said not to have run must not have run.
func TestRandomRefusals(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 8))
			h, instance := newStateful(t)
			h.setTimeouts(15 * time.Millisecond)
			faults := rand.New(rand.NewPCG(seed, 9))
			instance.setFault(func(Request) fault { return randomFault(faults) })
			offices := []*office{newOffice(h, "first"), newOffice(h, "second"), newOffice(h, "third")}
			for range 60 {
				randomStep(t, random, instance, offices[random.IntN(len(offices))])
			}
			instance.mustBeRight(t)
		})
	}
}

// randomFault returns no fault for most requests.
func randomFault(random *rand.Rand) fault {
	f := fault{runs: random.IntN(2) == 0}
	switch random.IntN(24) {
	case 0, 1, 2, 3:
		f = fault{code: result.Overloaded}
	case 4:
		f.code = result.StatementFailed
	case 5:
		f.lost = true
	case 6:
		f.late = 25 * time.Millisecond
	case 7:
		f = fault{code: result.Overloaded, late: 25 * time.Millisecond}
	}
	return f
}

// randomStep runs one statement of the session, or changes its state.
func randomStep(t *testing.T, random *rand.Rand, instance *statefulInstance, o *office) {
	t.Helper()
	inTransaction := o.State() != Idle
	var id unit.RequestID
	var answer Answer
	switch random.IntN(6) {
	case 0:
		if inTransaction {
			o.do(Commit{})
			return
		}
		o.Do("", Begin{})
		return
	case 1:
		id, answer = o.do(Write{Text: "1 one"})
	case 2:
		id, answer = o.do(Execute{Name: "other", Text: o.prepared["other"].Text})
	case 3:
		id, answer = o.do(Execute{Name: "shape", Text: o.prepared["shape"].Text})
	case 4:
		id, answer = o.do(Read{Text: "1"})
		inTransaction = true // A read may run several times.
	default:
		text := fmt.Sprintf("shape %s %d", o.name, o.count)
		o.Do("", Prepare{Name: "shape", Definition: Definition{Text: text, Writes: true}})
		return
	}
	if inTransaction {
		return
	}
	runs := instance.ran(id)
	if answer.Err == nil && runs != 1 || answer.Err != nil && answer.Err.Code.Entry().Outcome == result.NotRun && runs != 0 {
		t.Errorf("%s ran %d times, answer %v", id, runs, answer.Err)
	}
}
