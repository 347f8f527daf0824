package historian

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/standin/target"
	"tarragonshed.example/unit"
)

const group unit.GroupName = "ledger"

// verdict returns the rules that operations violate. The operations are given in the order
// of their returns.
func verdict(final Final, operations ...Operation) []Rule {
	h := New(Settings{Groups: []unit.GroupName{group}})
	for i, o := range operations {
		o.Group = group
		if o.Return == 0 {
			o.Call, o.Return = int64(10*i+1), int64(10*i+5)
		}
		if o.Outcome == "" {
			o.Outcome = Done
		}
		h.Add(o)
	}
	h.SetFinal(group, final)
	var rules []Rule
	for _, v := range h.Check().Violations {
		if !slices.Contains(rules, v.Rule) {
			rules = append(rules, v.Rule)
		}
	}
	return rules
}

func entries(counts map[int64]int) Final {
	return Final{Entries: map[int64]map[int64]int{0: counts}}
}

func TestEachRuleIsFound(t *testing.T) {
	insert := func(item int64, outcome Outcome) Operation {
		return Operation{Kind: Insert, Value: item, Outcome: outcome}
	}
	read := func(caller int, fresh bool, items ...int64) Operation {
		return Operation{Kind: ReadBucket, Caller: caller, Fresh: fresh, Seen: items}
	}
	counter := func(kind Kind, value int64) Operation { return Operation{Kind: kind, Value: value} }
	register := func(kind Kind, value int64) Operation { return Operation{Kind: kind, Value: value, Fresh: true} }
	pair := Operation{Kind: InsertPair, Value: 1, Second: 2, Outcome: Unknown}
	unknownInsert := insert(1, Unknown)
	for name, c := range map[string]struct {
		got  []Rule
		want []Rule
	}{
		"nothing":                           {verdict(entries(map[int64]int{1: 1}), insert(1, Done), insert(2, Unknown), insert(3, NotRun), read(0, true, 1)), nil},
		"unknown took effect":               {verdict(entries(map[int64]int{1: 1}), unknownInsert, read(1, true), read(2, true, 1)), nil},
		"lost":                              {verdict(entries(nil), insert(1, Done)), []Rule{Lost}},
		"lost counter":                      {verdict(Final{}, counter(WriteCounter, 3)), []Rule{Lost}},
		"doubled":                           {verdict(entries(map[int64]int{1: 2}), insert(1, Unknown)), []Rule{Doubled}},
		"ran anyway":                        {verdict(entries(map[int64]int{1: 1}), insert(1, NotRun)), []Rule{RanAnyway}},
		"torn":                              {verdict(entries(map[int64]int{1: 1}), pair), []Rule{Torn}},
		"vanished":                          {verdict(entries(nil), unknownInsert, read(1, false, 1)), []Rule{Vanished}},
		"own write":                         {verdict(entries(map[int64]int{1: 1}), insert(1, Done), read(0, false)), []Rule{OwnWrite}},
		"another's write":                   {verdict(entries(map[int64]int{1: 1}), insert(1, Done), read(1, false)), nil},
		"backwards":                         {verdict(entries(map[int64]int{1: 1}), insert(1, Done), read(1, false, 1), read(1, false)), []Rule{Backwards}},
		"counter backwards":                 {verdict(Final{Counters: map[int64]int64{0: 2}}, counter(ReadCounter, 2), counter(ReadCounter, 1)), []Rule{Backwards}},
		"stale first read":                  {verdict(entries(map[int64]int{1: 1}), insert(1, Done), read(1, true)), []Rule{NotLinearizable}},
		"stale register":                    {verdict(Final{}, register(WriteRegister, 1), register(WriteRegister, 2), register(ReadRegister, 1)), []Rule{NotLinearizable}},
		"value of a write that did not run": {verdict(Final{}, Operation{Kind: WriteRegister, Value: 1, Outcome: NotRun}, Operation{Kind: ReadRegister, Value: 1}), []Rule{RanAnyway}},
		"unknown write that no read saw is ignored": {verdict(Final{}, Operation{Kind: WriteRegister, Value: 1, Outcome: Unknown}, register(ReadRegister, 0)), nil},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.got, c.want) })
	}
}

// targets starts a primary and a replica that applies writes 100 ms late.
func targets(t *testing.T) (primary, replica Daemon) {
	a, err := target.New("a", group, target.WithPrimary(), target.WithConnectDelay(0), target.WithConnections(100))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Destroy() })
	b, err := target.New("b", group, target.WithFollow("a", a.Address()), target.WithConnectDelay(0), target.WithConnections(100))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Destroy() })
	b.SetApplyLag(100 * time.Millisecond)
	return Daemon{Name: "a", Address: a.Address()}, Daemon{Name: "b", Address: b.Address()}
}

// history runs callers on the daemons for 1500 operations, at most 20 s, and checks the
// history.
func history(t *testing.T, daemons ...Daemon) Verdict {
	t.Helper()
	h := New(Settings{Seed: 1, Callers: 6, Daemons: daemons, Groups: []unit.GroupName{group}, ThinkTime: time.Millisecond})
	allDaemons := h.settings.Daemons
	h.settings.Daemons = daemons[:1]
	if err := h.Prepare(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.settings.Daemons = allDaemons
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() {
		defer cancel()
		for len(h.Operations()) < 1500 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}()
	h.Run(ctx)
	h.settings.Daemons = daemons[:1]
	if err := h.ReadFinalStates(t.Context()); err != nil {
		t.Fatal(err)
	}
	return h.Check()
}

func TestOnePrimaryPasses(t *testing.T) {
	primary, _ := targets(t)
	v := history(t, primary)
	for _, violation := range v.Violations {
		t.Error(violation)
	}
	for _, kind := range []Kind{WriteRegister, ReadRegister, WriteCounter, ReadCounter, Insert, InsertKeyed, InsertPair, ReadBucket} {
		is.New(t).True(v.Operations[kind][Done] > 0)
	}
}

// Callers that read a replica directly, without a daemon, see stale data. The checks of
// sessions and of linearizability must find it, and no other rule may be reported.
func TestReadsOfAReplicaAreCaught(t *testing.T) {
	primary, replica := targets(t)
	v := history(t, primary, replica)
	found := map[Rule]bool{}
	for _, violation := range v.Violations {
		found[violation.Rule] = true
	}
	for _, rule := range []Rule{OwnWrite, Backwards, NotLinearizable} {
		if !found[rule] {
			t.Errorf("rule %s is not reported as violated", rule)
		}
	}
	for _, rule := range []Rule{Lost, Doubled, RanAnyway, Torn} {
		if found[rule] {
			t.Errorf("rule %s is reported as violated", rule)
		}
	}
}
