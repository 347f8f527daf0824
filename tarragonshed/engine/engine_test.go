package engine

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

func TestWhereStatementsGo(t *testing.T) {
	t.Run("writes to the primary", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		served(t, r.open("own"), Write{Text: "1 one"})
		is.Equal(len(r.instances["a"].callers()), 1)
	})
	t.Run("reads to the near replica, with the position that they must see", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		s := r.open("own")
		served(t, s, Write{Text: "1 one"})
		served(t, s, Read{Text: "1"})
		is.Equal(r.instances["b"].callers(), []Request{{ID: "q", Statement: Read{Text: "1"}, After: at}})
	})
	t.Run("reads of the primary's route to the primary", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		served(t, r.open("first"), Read{Text: "1"})
		is.Equal(len(r.instances["a"].callers()), 1)
	})
	t.Run("nothing new to a replica that leaves", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		next := *r.manifest
		next.Groups = []manifest.Group{{Name: "g", Instances: slices.Clone(r.manifest.Groups[0].Instances)}}
		next.Groups[0].Instances[1].Leaving = true
		r.Adopt(&next)
		s := r.open("old")
		for range 20 {
			served(t, s, Read{Text: "1"})
		}
		is.Equal(len(r.instances["b"].callers()), 0)
	})
}

func TestWritesAreNotRepeated(t *testing.T) {
	t.Run("a lost reply is in doubt", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.instances["a"].answer = func(c *fakeConn, q Request) (*Reply, bool) { return nil, true }
		refused(t, r.open("own"), Write{Text: "1 one"}, result.ConnectionLost)
		is.Equal(len(r.instances["a"].callers()), 1)
	})
	t.Run("so is a reply that comes when the authority is lost", func(t *testing.T) {
		r := newRig(t)
		r.instances["a"].answer = func(c *fakeConn, q Request) (*Reply, bool) {
			r.lose()
			return good(c, q)
		}
		refused(t, r.open("own"), Write{Text: "1 one"}, result.AuthorityLost)
	})
	t.Run("no room means not run: it is sent again", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		busy := 3
		r.instances["a"].answer = func(c *fakeConn, q Request) (*Reply, bool) {
			if busy--; busy >= 0 {
				return failing(result.Overloaded, Idle)(c, q)
			}
			return good(c, q)
		}
		served(t, r.open("own"), Write{Text: "1 one"})
		is.Equal(len(r.instances["a"].callers()), 4)
	})
	t.Run("an error of the instance's own is passed on", func(t *testing.T) {
		r := newRig(t)
		r.instances["a"].answer = failing(result.StatementFailed, Idle)
		refused(t, r.open("own"), Write{Text: "1 one"}, result.StatementFailed)
	})
}

func TestReadsAreRepeatedElsewhere(t *testing.T) {
	for name, answer := range map[string]func(*fakeConn, Request) (*Reply, bool){
		"lost reply": func(c *fakeConn, q Request) (*Reply, bool) {
			if q.ID == "" {
				return good(c, q)
			}
			return nil, true
		},
		"behind":  failing(result.InstanceBehind, Idle),
		"no room": failing(result.Overloaded, Idle),
		"failed":  failing(result.StatementFailed, Idle),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.instances["b"].answer = answer
			served(t, r.open("old"), Read{Text: "1"})
			is.Equal(len(r.instances["b"].callers()), 1)
		})
	}
}

func TestTransactions(t *testing.T) {
	t.Run("one connection from the first statement to the end", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		s := r.open("first")
		served(t, s, Begin{})
		is.Equal(r.instances["a"].conns, 0) // BEGIN is sent with the first statement.
		served(t, s, Write{Text: "1 one"})
		served(t, s, Read{Text: "1"})
		is.Equal(served(t, s, Commit{}).State, Idle)
		is.Equal(r.instances["a"].all(), []Statement{Begin{}, Write{Text: "1 one"}, Read{Text: "1"}, Commit{}})
	})
	t.Run("a lost reply before COMMIT: nothing is kept", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.instances["a"].answer = func(c *fakeConn, q Request) (*Reply, bool) {
			if _, ok := q.Statement.(Write); ok {
				return nil, true
			}
			return good(c, q)
		}
		s := r.open("first")
		served(t, s, Begin{})
		is.Equal(refused(t, s, Write{Text: "1 one"}, result.RolledBack).State, Failed)
		refused(t, s, Read{Text: "1"}, result.ProtocolViolation)
		is.Equal(refused(t, s, Commit{}, result.RolledBack).State, Idle)
	})
	commitLost := func(c *fakeConn, q Request) (*Reply, bool) {
		if _, ok := q.Statement.(Commit); ok {
			return nil, true
		}
		return good(c, q)
	}
	t.Run("a lost reply to COMMIT: in doubt", func(t *testing.T) {
		r := newRig(t)
		r.instances["a"].answer = commitLost
		s := r.open("first")
		served(t, s, Begin{})
		served(t, s, Write{Text: "1 one"})
		refused(t, s, Commit{}, result.ConnectionLost)
	})
	t.Run("unless it wrote nothing", func(t *testing.T) {
		r := newRig(t)
		r.instances["a"].answer = commitLost
		s := r.open("first")
		served(t, s, Begin{})
		served(t, s, Read{Text: "1"})
		refused(t, s, Commit{}, result.RolledBack)
	})
	t.Run("COMMIT is not sent without authority", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		s := r.open("first")
		served(t, s, Begin{})
		served(t, s, Write{Text: "1 one"})
		r.lose()
		refused(t, s, Commit{}, result.RolledBack)
		is.True(!slices.Contains(r.instances["a"].all(), Statement(Commit{})))
	})
	t.Run("a caller that leaves", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		s := r.open("first")
		served(t, s, Begin{})
		served(t, s, Write{Text: "1 one"})
		s.Close()
		for !slices.Contains(r.instances["a"].all(), Statement(Rollback{})) {
			time.Sleep(time.Millisecond)
		}
		is.True(!slices.Contains(r.instances["a"].all(), Statement(Commit{})))
	})
	t.Run("one that rests for too long", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.manifest.TransactionIdle = time.Millisecond
		s := r.open("first")
		served(t, s, Begin{})
		served(t, s, Write{Text: "1 one"})
		for s.State() != Failed {
			time.Sleep(time.Millisecond)
		}
		refused(t, s, Read{Text: "1"}, result.RolledBack)
		is.Equal(served(t, s, Rollback{}).State, Idle)
	})
	t.Run("a read-only one begins at the next replica", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.instances["b"].answer = func(c *fakeConn, q Request) (*Reply, bool) {
			if _, ok := q.Statement.(Begin); ok {
				return &Reply{Err: result.New(result.InstanceBehind, ""), State: Idle, Position: at}, true
			}
			return good(c, q)
		}
		s := r.open("old")
		served(t, s, Begin{ReadOnly: true})
		served(t, s, Read{Text: "1"})
		served(t, s, Commit{})
		is.Equal(len(r.instances["b"].callers()), 0)
	})
}

func TestConnectionsTakeOverTheSession(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	shape := Definition{Text: "q2c"}
	one, two := r.open("first"), r.open("first")
	served(t, one, Set{Name: "colour", Value: "blue"})
	served(t, one, Prepare{Name: "s1", Definition: shape})
	served(t, one, Execute{Name: "s1", Text: "1"})
	served(t, one, Execute{Name: "s1", Text: "2"}) // The connection has it all.
	served(t, two, Prepare{Name: "other", Definition: shape})
	served(t, two, Execute{Name: "other", Text: "3"}) // A session without the value.
	is.Equal(r.instances["a"].all(), []Statement{
		Set{Name: "colour", Value: "blue"},
		Prepare{Name: "p1", Definition: shape},
		Execute{Name: "p1", Text: "1"},
		Execute{Name: "p1", Text: "2"},
		Discard{},
		Prepare{Name: "p1", Definition: shape},
		Execute{Name: "p1", Text: "3"},
	})
	refused(t, two, Execute{Name: "s1", Text: "1"}, result.UnknownStatement)
	served(t, one, Deallocate{Name: "s1"})
	refused(t, one, Execute{Name: "s1", Text: "1"}, result.UnknownStatement)
}

// TestValuesOfATransactionAreNotTrusted sets a value in a transaction that is
// rolled back: what the connection has then is not known.
func TestValuesOfATransactionAreNotTrusted(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.open("first")
	served(t, s, Begin{})
	served(t, s, Read{Text: "1"})
	served(t, s, Set{Name: "colour", Value: "blue"})
	served(t, s, Read{Text: "2"})
	served(t, s, Commit{})
	served(t, s, Read{Text: "3"})
	is.Equal(r.instances["a"].all()[4:], []Statement{
		Commit{}, Discard{}, Set{Name: "colour", Value: "blue"}, Read{Text: "3"},
	})
}

// TestNewTerm lets another instance lead: positions of the old term may have been
// rolled back, so no replica is asked for them.
func TestNewTerm(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.open("own")
	served(t, s, Write{Text: "1 one"})
	next := authorizer.Leadership{Group: "g", State: authorizer.Leading, Primary: "c", Term: 2, Incarnation: 1}
	r.mu.Lock()
	r.leader = next
	r.mu.Unlock()
	led := at
	led.Term, led.Index = 2, 5
	r.instances["c"].answer = func(c *fakeConn, q Request) (*Reply, bool) {
		reply, _ := good(c, q)
		reply.Position = led
		return reply, true
	}
	served(t, r.open("own"), Write{Text: "2 two"})
	served(t, s, Read{Text: "1"})
	is.Equal(r.instances["b"].callers()[0].After, led)
}

// TestCutOff takes the authority away: what needs a primary is refused at once, so
// that the caller can go to another daemon.
func TestCutOff(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.lose()
	refused(t, r.open("own"), Write{Text: "1 one"}, result.CutOff)
	refused(t, r.open("own"), Read{Text: "1"}, result.CutOff)
	is.Equal(len(r.instances["a"].callers()), 0)
}

// TestDetour cuts the daemon off from the primary: statements go through another
// daemon.
func TestDetour(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.instances["a"].connect = result.New(result.InstanceUnreachable, "cut")
	served(t, r.open("own"), Write{Text: "1 one"})
	is.True(r.Reach("g", "a").Tunneled)
}

// TestDetourLasts is what a day showed: replies that came through the other daemon were
// taken for a sign that the instance is reached directly.
func TestDetourLasts(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.instances["a"].connect = result.New(result.InstanceUnreachable, "cut")
	s := r.open("own")
	for end := time.Now().Add(4 * probePause); time.Now().Before(end); time.Sleep(probePause / 20) {
		served(t, s, Write{Text: "1 one"})
		is.True(r.Reach("g", "a").Tunneled)
	}
}

// TestDetourPastHungNeighbours: neighbours that don't reach the instance either cost no
// time.
func TestDetourPastHungNeighbours(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.instances["a"].connect = result.New(result.InstanceUnreachable, "cut")
	r.neighbours = []string{"hung", "neighbour"}
	served(t, r.open("own"), Write{Text: "1 one"})
	is.True(!r.timedOut.Load())
}

func TestUnknownDatabase(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	_, err := r.Open("nowhere")
	is.Equal(err.Code, result.UnknownDatabase)
	s := r.open("own")
	r.Adopt(&manifest.Manifest{Version: 2}) // The route is dropped.
	refused(t, s, Read{Text: "1"}, result.UnknownDatabase)
}

func BenchmarkRead(b *testing.B) {
	t := &testing.T{}
	r := newRig(t)
	defer r.Engine.Close()
	s, err := r.Open("old")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if a := s.Do("q", Read{Text: "1"}); a.Err != nil {
			b.Fatal(a.Err)
		}
	}
}

// TestShedStatementsWait is what a primary showed whose replicas lagged: its slots were
// taken by other daemons at times, and statements were refused after a few tries although
// most of their time was left.
func TestShedStatementsWait(t *testing.T) {
	for _, database := range []unit.DatabaseName{"first", "old"} {
		t.Run(string(database), func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			var mu sync.Mutex
			shed := 0
			for _, f := range r.instances {
				f.answer = func(c *fakeConn, q Request) (*Reply, bool) {
					mu.Lock()
					defer mu.Unlock()
					if q.ID != "" && shed < 12 {
						shed++
						return &Reply{Err: result.New(result.Overloaded, "as the test says"), State: Idle, Position: at}, true
					}
					return good(c, q)
				}
			}
			served(t, r.open(database), Read{Text: "1"})
			is.Equal(shed, 12)
		})
	}
}

// TestStartingDaemonLetsCallersWait is what a day showed on which all machines lost power:
// for the 0.2 s until they were on the list, the daemons refused all statements.
func TestStartingDaemonLetsCallersWait(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.lose()
	answers := make(chan Answer, 2)
	for _, database := range []unit.DatabaseName{"first", "old"} {
		s := r.open(database)
		go func() { answers <- s.Do("q", Read{Text: "1"}) }()
	}
	time.Sleep(2 * primaryPoll)
	r.gain()
	for range 2 {
		is.True((<-answers).Err == nil)
	}
	served(t, r.open("first"), Read{Text: "1"})
	r.lose()
	refused(t, r.open("first"), Read{Text: "1"}, result.CutOff) // It is not starting any more.
}

func TestStartingDaemonWaitsForTheManifest(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	e := New(r, r, r.now)
	defer e.Close()
	opened := make(chan *result.Error, 1)
	go func() {
		_, err := e.Open("first")
		opened <- err
	}()
	time.Sleep(primaryPoll)
	e.Adopt(r.manifest)
	is.Equal(<-opened, nil)
}
