package adopter_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonshed.example/adopter"
	"tarragonshed.example/result"
)

func document(n int) []byte {
	return fmt.Appendf(nil, "[[domains]]\nname = \"d%d\"\nregion = \"r\"\n", n)
}

// store simulates the platform for pushes. A commit without a response can take effect
// later.
type store struct {
	current    adopter.Record
	rowVersion uint64
	pushes     map[adopter.PushID]adopter.Record
	delayed    []adopter.Commit
}

func newStore() *store { return &store{pushes: make(map[adopter.PushID]adopter.Record)} }

func (s *store) readRows(id adopter.PushID) adopter.RowsRead {
	return adopter.RowsRead{Current: s.current, RowVersion: s.rowVersion, Accepted: s.pushes[id]}
}

func (s *store) commit(c adopter.Commit) adopter.PushEvent {
	_, used := s.pushes[c.Record.PushID]
	if s.rowVersion != c.RowVersion || used {
		return adopter.Conflicted{}
	}
	s.rowVersion++
	s.current = c.Record
	s.pushes[c.Record.PushID] = c.Record
	return adopter.Committed{}
}

func (s *store) deliverDelayed() {
	for _, c := range s.delayed {
		s.commit(c)
	}
	s.delayed = nil
}

// respond carries out one effect, with a randomly drawn fault, and returns the event that
// the push receives.
func (s *store) respond(t *rapid.T, id adopter.PushID, e adopter.PushEffect) adopter.PushEvent {
	fault := rapid.SampledFrom([]string{"none", "none", "lost", "delayed", "unsent"}).Draw(t, "fault")
	switch e := e.(type) {
	case adopter.ReadRows:
		if fault != "none" {
			return adopter.ReadFailed{}
		}
		return s.readRows(id)
	case adopter.Store:
		if fault != "none" {
			return adopter.StoreFailed{}
		}
		return adopter.Stored{}
	case adopter.Commit:
		switch fault {
		case "lost":
			s.commit(e)
			return adopter.Uncertain{}
		case "delayed":
			s.delayed = append(s.delayed, e)
			return adopter.Uncertain{}
		case "unsent":
			return adopter.Unsent{}
		}
		return s.commit(e)
	}
	panic("unreachable")
}

func run(s *store, request adopter.Request) adopter.Done {
	p, effect := adopter.NewPush(request, 1)
	for {
		switch e := effect.(type) {
		case adopter.ReadRows:
			effect = p.Step(s.readRows(request.ID))
		case adopter.Store:
			effect = p.Step(adopter.Stored{})
		case adopter.Commit:
			effect = p.Step(s.commit(e))
		case adopter.Done:
			return e
		}
	}
}

func assertCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	if result.CodeOf(err) != code {
		t.Fatalf("error is %v, want code %v", err, code)
	}
}

func TestPush(t *testing.T) {
	t.Run("a push that is based on another version is refused", func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		is.NoErr(run(s, adopter.Request{ID: "a", Document: document(1)}).Err)
		assertCode(t, run(s, adopter.Request{ID: "b", Document: document(2)}).Err, result.PushConflict)
		done := run(s, adopter.Request{ID: "c", Base: 1, Document: document(2)})
		is.NoErr(done.Err)
		is.Equal(done.Record.Version, s.current.Version)
	})
	t.Run("a push that is retried with its id is accepted once", func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		request := adopter.Request{ID: "a", Document: document(1)}
		is.NoErr(run(s, request).Err)
		again := run(s, request)
		is.NoErr(again.Err)
		is.Equal(again.Record, s.current)
		is.Equal(s.rowVersion, uint64(1))
	})
	t.Run("a push id cannot be reused for another manifest", func(t *testing.T) {
		s := newStore()
		run(s, adopter.Request{ID: "a", Document: document(1)})
		assertCode(t, run(s, adopter.Request{ID: "a", Base: 1, Document: document(2)}).Err, result.PushReused)
	})
	t.Run("a manifest with problems is not stored", func(t *testing.T) {
		assertCode(t, run(newStore(), adopter.Request{ID: "a", Document: []byte("x = 1")}).Err, result.ManifestInvalid)
	})
	t.Run("a malformed push id is refused", func(t *testing.T) {
		assertCode(t, run(newStore(), adopter.Request{ID: "a/b", Document: document(1)}).Err, result.ManifestInvalid)
	})
}

// TestConcurrentPushes runs pushes that are based on one version, with requests and
// responses lost or delayed at random. The result reported to each push must match the
// content of the store, and at most one push may be accepted.
func TestConcurrentPushes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		const pushes = 3
		var machines [pushes]*adopter.Push
		var effects [pushes]adopter.PushEffect
		id := func(i int) adopter.PushID { return adopter.PushID(fmt.Sprintf("push-%d", i)) }
		for i := range pushes {
			machines[i], effects[i] = adopter.NewPush(adopter.Request{ID: id(i), Document: document(i)}, 1)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, pushes-1).Draw(t, "push")
			if _, done := effects[i].(adopter.Done); !done {
				effects[i] = machines[i].Step(s.respond(t, id(i), effects[i]))
			}
			if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
				s.deliverDelayed()
			}
		}
		accepted := 0
		for i := range pushes {
			if _, done := effects[i].(adopter.Done); !done {
				effects[i] = machines[i].Step(adopter.Expired{})
			}
		}
		s.deliverDelayed()
		for i := range pushes {
			done := effects[i].(adopter.Done)
			_, held := s.pushes[id(i)]
			if done.Err == nil {
				accepted++
			}
			if done.Err == nil && !held {
				t.Fatalf("push %d was reported as accepted, but the store does not hold it", i)
			}
			if done.Err != nil && result.OutcomeOf(done.Err) == result.NotRun && held {
				t.Fatalf("push %d was refused with %v, but the store holds it", i, done.Err)
			}
		}
		if accepted > 1 || s.rowVersion > 1 {
			t.Fatalf("%d pushes based on one version were accepted", accepted)
		}
	})
}
