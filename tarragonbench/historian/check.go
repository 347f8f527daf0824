package historian

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"tarragonshed.example/unit"
)

// Rule names a guarantee that a history can violate.
type Rule string

// The rules that a history is checked against, with the violation that each one reports.
const (
	// Lost reports that a done write is not in the final state.
	Lost Rule = "lost"
	// Doubled reports that an insert took effect more than once.
	Doubled Rule = "doubled"
	// RanAnyway reports that an operation with the outcome NotRun took effect.
	RanAnyway Rule = "ran-anyway"
	// Torn reports that only a part of a transaction took effect.
	Torn Rule = "torn"
	// Vanished reports that a value or item that a read has returned is not in the final
	// state.
	Vanished Rule = "vanished"
	// OwnWrite reports that a read did not see a write of the same caller.
	OwnWrite Rule = "own-write"
	// Backwards reports that a read returned an older state than an earlier read of the
	// same caller (no monotonic reads).
	Backwards Rule = "backwards"
	// NotLinearizable reports that the writes and the first reads of sessions have no
	// linearization.
	NotLinearizable Rule = "not-linearizable"
)

// Violation is a violated rule.
type Violation struct {
	Rule  Rule           `json:"rule"`
	Group unit.GroupName `json:"group"`
	// Detail names the item or key.
	Detail string `json:"detail"`
	// Operations are those that show the violation.
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

// Passed reports whether no rule is violated and the linearizability of all keys was
// decided.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 && len(v.Undecided) == 0 }

// checker checks the operations of one group.
type checker struct {
	group      unit.GroupName
	operations []Operation
	final      Final
	verdict    *Verdict
}

// Check checks the history. [History.ReadFinalStates] must have succeeded before.
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
		c.checkLinearizability()
	}
	return verdict
}

// addViolation adds a violation to the verdict.
func (c *checker) addViolation(rule Rule, detail string, operations ...Operation) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{Rule: rule, Group: c.group, Detail: detail, Operations: operations})
}

// items returns the items that an insert writes.
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
				c.addViolation(Lost, fmt.Sprintf("item %d", item), o)
			case n > 0 && o.Outcome == NotRun:
				c.addViolation(RanAnyway, fmt.Sprintf("item %d", item), o)
			case n > 1:
				c.addViolation(Doubled, fmt.Sprintf("item %d is there %d times", item, n), o)
			}
		}
		if found == 1 && o.Kind == InsertPair {
			c.addViolation(Torn, fmt.Sprintf("items %d and %d", o.Value, o.Second), o)
		}
	}
	for key, o := range counters {
		if c.final.Counters[key] < o.Value {
			c.addViolation(Lost, fmt.Sprintf("counter %d is %d", key, c.final.Counters[key]), o)
		}
	}
}

// checkReads checks that values and items that were read are in the final state, were not
// written by an operation with the outcome NotRun, and were read only once.
func (c *checker) checkReads() {
	notRun := map[int64]Operation{}
	for _, o := range c.operations {
		if o.Kind == WriteRegister && o.Outcome == NotRun {
			notRun[o.Value] = o
		}
	}
	for _, o := range c.operations {
		if o.Outcome != Done {
			continue
		}
		if w, ok := notRun[o.Value]; ok && o.Kind == ReadRegister {
			c.addViolation(RanAnyway, fmt.Sprintf("register %d has value %d", o.Key, o.Value), w, o)
		}
		if o.Kind == ReadCounter && c.final.Counters[o.Key] < o.Value {
			c.addViolation(Vanished, fmt.Sprintf("counter %d was %d and ends as %d", o.Key, o.Value, c.final.Counters[o.Key]), o)
		}
		seen := map[int64]bool{}
		for _, item := range o.Seen {
			if seen[item] {
				c.addViolation(Doubled, fmt.Sprintf("item %d is seen twice", item), o)
			}
			seen[item] = true
			if c.final.Entries[o.Key][item] == 0 {
				c.addViolation(Vanished, fmt.Sprintf("item %d of bucket %d", item, o.Key), o)
			}
		}
	}
}

// view is the state of a key that a caller's next read must at least return.
type view struct {
	items   map[int64]Operation
	counter Operation
}

type viewKey struct {
	caller int
	kind   Kind
	key    int64
}

// checkSessions checks that each caller reads its own writes and that its reads are
// monotonic. It relies on a caller executing one operation at a time.
func (c *checker) checkSessions() {
	views := map[viewKey]*view{}
	viewOf := func(caller int, kind Kind, key int64) *view {
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
				viewOf(o.Caller, ReadBucket, o.Key).items[item] = o
			}
		case ReadBucket:
			v := viewOf(o.Caller, ReadBucket, o.Key)
			for item, earlier := range v.items {
				if !slices.Contains(o.Seen, item) {
					c.addViolation(violatedRule(earlier), fmt.Sprintf("item %d of bucket %d is not seen", item, o.Key), earlier, o)
				}
			}
			for _, item := range o.Seen {
				if _, known := v.items[item]; !known {
					v.items[item] = o
				}
			}
		case WriteCounter, ReadCounter:
			v := viewOf(o.Caller, ReadCounter, o.Key)
			if o.Kind == ReadCounter && o.Value < v.counter.Value {
				c.addViolation(violatedRule(v.counter), fmt.Sprintf("counter %d is seen as %d after %d", o.Key, o.Value, v.counter.Value), v.counter, o)
			}
			if o.Value >= v.counter.Value {
				v.counter = o
			}
		}
	}
}

// violatedRule returns the rule that is violated by a read that misses what the earlier
// operation wrote or read.
func violatedRule(earlier Operation) Rule {
	if earlier.writes() {
		return OwnWrite
	}
	return Backwards
}

// linearizationTimeout bounds the search for a linearization of the operations on one key.
const linearizationTimeout = 10 * time.Second

// checkLinearizability checks each register and bucket for linearizability.
func (c *checker) checkLinearizability() {
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
		ok, decided := linearizable(keys[name], linearizationTimeout)
		switch {
		case !decided:
			c.verdict.Undecided = append(c.verdict.Undecided, fmt.Sprintf("%s of %s", name, c.group))
		case !ok:
			c.addViolation(NotLinearizable, name, keys[name]...)
		}
	}
}
