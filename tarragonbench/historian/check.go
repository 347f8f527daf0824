package historian

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"tarragonshed.example/unit"
)

// Rule names a promise.
type Rule string

// The rules that a history is checked by.
const (
	// Lost: a done write is not in the final state.
	Lost Rule = "lost"
	// Doubled: an insert took effect more than once.
	Doubled Rule = "doubled"
	// RanAnyway: an operation that did not run took effect.
	RanAnyway Rule = "ran-anyway"
	// Torn: a part of a transaction took effect.
	Torn Rule = "torn"
	// Vanished: what a read has seen is not in the final state.
	Vanished Rule = "vanished"
	// OwnWrite: a read did not see a write of the same caller.
	OwnWrite Rule = "own-write"
	// Backwards: a read saw less than an earlier read of the same caller.
	Backwards Rule = "backwards"
	// NotLinearizable: writes and first reads of sessions have no order that
	// explains them.
	NotLinearizable Rule = "not-linearizable"
)

// Violation is a broken promise.
type Violation struct {
	Rule  Rule           `json:"rule"`
	Group unit.GroupName `json:"group"`
	// Detail names the item or key.
	Detail string `json:"detail"`
	// Operations are those that show it.
	Operations []Operation `json:"operations"`
}

// String formats v with its operations on lines of their own.
func (v Violation) String() string {
	text := fmt.Sprintf("%s in %s: %s", v.Rule, v.Group, v.Detail)
	for _, o := range v.Operations {
		text += "\n\t" + o.String()
	}
	return text
}

// Verdict is the result of checking a history.
type Verdict struct {
	Violations []Violation `json:"violations"`
	// Undecided names the keys whose linearizability could not be decided in time.
	Undecided []string `json:"undecided"`
	// Operations counts the checked operations by kind and outcome.
	Operations map[Kind]map[Outcome]int `json:"operations"`
	// Codes counts the operations that are not done by code.
	Codes map[string]int `json:"codes"`
	// Details holds the first detail of each code.
	Details map[string]string `json:"details"`
}

// Passed reports whether everything was decided and nothing violated.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 && len(v.Undecided) == 0 }

// checker checks the operations of one group.
type checker struct {
	group      unit.GroupName
	operations []Operation
	final      Final
	verdict    *Verdict
}

// Check checks the history after Settle.
func (h *History) Check() Verdict {
	verdict := Verdict{Operations: map[Kind]map[Outcome]int{}, Codes: map[string]int{}, Details: map[string]string{}}
	byGroup := map[unit.GroupName][]Operation{}
	for _, o := range h.Operations() {
		byGroup[o.Group] = append(byGroup[o.Group], o)
		if verdict.Operations[o.Kind] == nil {
			verdict.Operations[o.Kind] = map[Outcome]int{}
		}
		verdict.Operations[o.Kind][o.Outcome]++
		if o.Outcome != Done {
			verdict.Codes[o.Code]++
			if verdict.Details[o.Code] == "" {
				verdict.Details[o.Code] = o.String()
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, group := range h.settings.Groups {
		c := checker{group: group, operations: byGroup[group], final: h.final[group], verdict: &verdict}
		c.checkFinal()
		c.checkReads()
		c.checkSessions()
		c.checkOrder()
	}
	return verdict
}

func (c *checker) violated(rule Rule, detail string, operations ...Operation) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{Rule: rule, Group: c.group, Detail: detail, Operations: operations})
}

// items returns what an insert writes.
func (o Operation) items() []int64 {
	switch o.Kind {
	case Insert, InsertKeyed:
		return []int64{o.Value}
	case InsertPair:
		return []int64{o.Value, o.Second}
	}
	return nil
}

// checkFinal compares each insert and counter with the final state.
func (c *checker) checkFinal() {
	counters := map[int64]Operation{}
	for _, o := range c.operations {
		if o.Kind == WriteCounter && o.Outcome == Done {
			counters[o.Key] = o
		}
		found := 0
		for _, item := range o.items() {
			n := c.final.Entries[o.Key][item]
			found += min(n, 1)
			switch {
			case n == 0 && o.Outcome == Done:
				c.violated(Lost, fmt.Sprintf("item %d", item), o)
			case n > 0 && o.Outcome == NotRun:
				c.violated(RanAnyway, fmt.Sprintf("item %d", item), o)
			case n > 1:
				c.violated(Doubled, fmt.Sprintf("item %d is there %d times", item, n), o)
			}
		}
		if found == 1 && o.Kind == InsertPair {
			c.violated(Torn, fmt.Sprintf("items %d and %d", o.Value, o.Second), o)
		}
	}
	for key, o := range counters {
		if c.final.Counters[key] < o.Value {
			c.violated(Lost, fmt.Sprintf("counter %d is %d", key, c.final.Counters[key]), o)
		}
	}
}

// checkReads checks that nothing read was lost later, came from a write that did
// not run, or was there twice.
func (c *checker) checkReads() {
	refused := map[int64]Operation{}
	for _, o := range c.operations {
		if o.Kind == WriteRegister && o.Outcome == NotRun {
			refused[o.Value] = o
		}
	}
	for _, o := range c.operations {
		if o.Outcome != Done {
			continue
		}
		if w, ok := refused[o.Value]; ok && o.Kind == ReadRegister {
			c.violated(RanAnyway, fmt.Sprintf("register %d has value %d", o.Key, o.Value), w, o)
		}
		if o.Kind == ReadCounter && c.final.Counters[o.Key] < o.Value {
			c.violated(Vanished, fmt.Sprintf("counter %d was %d and ends as %d", o.Key, o.Value, c.final.Counters[o.Key]), o)
		}
		seen := map[int64]bool{}
		for _, item := range o.Seen {
			if seen[item] {
				c.violated(Doubled, fmt.Sprintf("item %d is seen twice", item), o)
			}
			seen[item] = true
			if c.final.Entries[o.Key][item] == 0 {
				c.violated(Vanished, fmt.Sprintf("item %d of bucket %d", item, o.Key), o)
			}
		}
	}
}

// view is what a caller must see of a key.
type view struct {
	items   map[int64]Operation
	counter Operation
}

type viewKey struct {
	caller int
	kind   Kind
	key    int64
}

// checkSessions checks that each caller sees its own writes and never goes back.
// A caller does one operation at a time.
func (c *checker) checkSessions() {
	views := map[viewKey]*view{}
	at := func(caller int, kind Kind, key int64) *view {
		k := viewKey{caller, kind, key}
		if views[k] == nil {
			views[k] = &view{items: map[int64]Operation{}}
		}
		return views[k]
	}
	for _, o := range c.operations {
		if o.Outcome != Done {
			continue
		}
		switch o.Kind {
		case Insert, InsertKeyed, InsertPair:
			for _, item := range o.items() {
				at(o.Caller, ReadBucket, o.Key).items[item] = o
			}
		case ReadBucket:
			v := at(o.Caller, ReadBucket, o.Key)
			for item, earlier := range v.items {
				if !slices.Contains(o.Seen, item) {
					c.violated(ruleOf(earlier), fmt.Sprintf("item %d of bucket %d is not seen", item, o.Key), earlier, o)
				}
			}
			for _, item := range o.Seen {
				if _, known := v.items[item]; !known {
					v.items[item] = o
				}
			}
		case WriteCounter, ReadCounter:
			v := at(o.Caller, ReadCounter, o.Key)
			if o.Kind == ReadCounter && o.Value < v.counter.Value {
				c.violated(ruleOf(v.counter), fmt.Sprintf("counter %d is seen as %d after %d", o.Key, o.Value, v.counter.Value), v.counter, o)
			}
			if o.Value >= v.counter.Value {
				v.counter = o
			}
		}
	}
}

// ruleOf returns the rule that a read breaks which misses what the operation did
// or saw.
func ruleOf(earlier Operation) Rule {
	if earlier.writes() {
		return OwnWrite
	}
	return Backwards
}

// orderTimeout bounds the search for an order of the operations on one key.
const orderTimeout = 10 * time.Second

// checkOrder checks each register and bucket for linearizability.
func (c *checker) checkOrder() {
	keys := map[string][]Operation{}
	for _, o := range c.operations {
		switch {
		case o.Kind == WriteRegister, o.Kind == ReadRegister && o.Fresh:
			name := fmt.Sprintf("register %d", o.Key)
			keys[name] = append(keys[name], o)
		case o.items() != nil, o.Kind == ReadBucket && o.Fresh:
			name := fmt.Sprintf("bucket %d", o.Key)
			keys[name] = append(keys[name], o)
		}
	}
	names := make([]string, 0, len(keys))
	for name := range keys {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		ok, decided := linearizable(keys[name], orderTimeout)
		switch {
		case !decided:
			c.verdict.Undecided = append(c.verdict.Undecided, fmt.Sprintf("%s of %s", name, c.group))
		case !ok:
			c.violated(NotLinearizable, name, keys[name]...)
		}
	}
}
