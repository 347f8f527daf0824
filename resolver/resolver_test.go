package resolver_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
	"tarragonshed.example/resolver"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func Example() {
	r, effect := resolver.New(resolver.Claim)
	fmt.Printf("%T\n", effect)
	effect = r.Step(resolver.Conflicted{}) // The original has run.
	fmt.Printf("%T\n", effect)
	effect = r.Step(resolver.Found{Outcome: resolver.Done, Tag: "INSERT 0 1"})
	fmt.Printf("%T\n", effect)
	fmt.Println(r.Step(resolver.Confirmed{}).(resolver.Answer).Tag)
	// Output:
	// resolver.Insert
	// resolver.LookUp
	// resolver.Confirm
	// INSERT 0 1
}

func TestResolver(t *testing.T) {
	err := errors.New("connection lost")
	for name, c := range map[string]struct {
		purpose resolver.Purpose
		events  []resolver.Event
		want    resolver.Effect
	}{
		"a first run executes the request":     {resolver.Run, []resolver.Event{resolver.Inserted{}}, resolver.Execute{}},
		"a run whose insert failed is refused": {resolver.Run, []resolver.Event{resolver.Failed{Err: err}}, resolver.Answer{Verdict: resolver.Refused, Err: err}},
		"a claim whose insert failed may be committed and is undetermined": {
			resolver.Claim, []resolver.Event{resolver.Failed{Err: err}}, resolver.Answer{Verdict: resolver.Undetermined, Err: err},
		},
		"a claim is confirmed before it is reported": {resolver.Claim, []resolver.Event{resolver.Inserted{}}, resolver.Confirm{}},
		"after a confirmed claim the request has not run": {
			resolver.Claim, []resolver.Event{resolver.Inserted{}, resolver.Confirmed{}}, resolver.Answer{Verdict: resolver.NotRun},
		},
		"a repeated request that was cancelled has not run": {
			resolver.Run,
			[]resolver.Event{resolver.Conflicted{}, resolver.Found{Outcome: resolver.Cancelled}, resolver.Confirmed{}},
			resolver.Answer{Verdict: resolver.NotRun},
		},
		"a recorded outcome that no majority confirms is undetermined": {
			resolver.Run,
			[]resolver.Event{resolver.Conflicted{}, resolver.Found{Outcome: resolver.Done}, resolver.Failed{Err: err}},
			resolver.Answer{Verdict: resolver.Undetermined, Err: err},
		},
		"a key whose row is rolled back after each conflict is undetermined": {
			resolver.Run,
			[]resolver.Event{
				resolver.Conflicted{},
				resolver.Absent{},
				resolver.Conflicted{},
				resolver.Absent{},
				resolver.Conflicted{},
				resolver.Absent{},
			},
			resolver.Answer{Verdict: resolver.Undetermined},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, effect := resolver.New(c.purpose)
			for _, event := range c.events {
				effect = r.Step(event)
			}
			is.Equal(effect, c.want)
		})
	}
}

// group simulates a replaced primary (index 0) and its successor (index 1). Rows that
// exist only on the replaced primary are discarded.
type group struct {
	rows [2]resolver.Outcome
	runs [2]int
}

// work is one resolution of the key on one of the primaries.
type work struct {
	primary  int
	resolver *resolver.Resolver
	effect   resolver.Effect
	holds    bool // Its open transaction has inserted the key's row.
}

// TestAtMostOnce interleaves original requests, repeated requests and claims on both
// primaries. It guards against a request that runs twice, and against one that runs
// although its caller received the verdict NotRun. I4 and I5 are the invariants in
// docs/design/failover.md.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &group{}
		var works []*work
		reported := make(map[resolver.Verdict]bool)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				w := &work{primary: rapid.IntRange(0, 1).Draw(t, "primary")}
				w.resolver, w.effect = resolver.New(resolver.Purpose(rapid.IntRange(0, 1).Draw(t, "purpose")))
				works = append(works, w)
			},
			"step": func(t *rapid.T) {
				if len(works) == 0 {
					t.Skip()
				}
				w := works[rapid.IntRange(0, len(works)-1).Draw(t, "work")]
				g.step(t, w, works, reported)
			},
			"": func(t *rapid.T) {
				if g.runs[1] > 1 {
					t.Fatal("I5: the request ran twice")
				}
				if reported[resolver.NotRun] && (g.runs[1] > 0 || reported[resolver.Ran]) {
					t.Fatal("I4: the request was reported as not run, but it ran")
				}
			},
		})
	})
}

func (g *group) step(t *rapid.T, w *work, works []*work, reported map[resolver.Verdict]bool) {
	row := &g.rows[w.primary]
	switch e := w.effect.(type) {
	case resolver.Insert:
		switch {
		case *row != "":
			w.effect = w.resolver.Step(resolver.Conflicted{})
		case g.held(w, works):
			return // The insert blocks on the transaction that holds the key.
		case e.Outcome == resolver.Cancelled:
			*row = e.Outcome
			w.effect = w.resolver.Step(resolver.Inserted{})
		default:
			w.holds = true
			w.effect = w.resolver.Step(resolver.Inserted{})
		}
	case resolver.LookUp:
		if *row == "" {
			w.effect = w.resolver.Step(resolver.Absent{})
			return
		}
		w.effect = w.resolver.Step(resolver.Found{Outcome: *row})
	case resolver.Confirm:
		if w.primary == 0 {
			w.effect = w.resolver.Step(resolver.Failed{})
			return
		}
		w.effect = w.resolver.Step(resolver.Confirmed{})
	case resolver.Execute:
		w.holds = false
		w.effect = nil
		if rapid.Bool().Draw(t, "commits") {
			*row = resolver.Done
			g.runs[w.primary]++
			// The answer is lost, or never sent by the replaced primary.
		}
	case resolver.Answer:
		reported[e.Verdict] = true
		w.effect = nil
	}
}

func (g *group) held(w *work, works []*work) bool {
	for _, other := range works {
		if other != w && other.primary == w.primary && other.holds {
			return true
		}
	}
	return false
}
