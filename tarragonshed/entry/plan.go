package entry

import (
	"strings"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/classifier"
	"tarragonshed.example/unit"
)

// plan is what a batch needs.
type plan struct {
	// local tells that no instance is needed.
	local bool
	// read tells that a replica may run the batch.
	read bool
	// begins tells that the batch leaves a transaction open if it succeeds.
	begins bool
	// ends tells that the batch ends a transaction.
	ends bool
	// staleness is the age of data that a read accepts.
	staleness time.Duration
	key       unit.RequestKey
	settings  []setting
}

// plan tells what a batch needs, or why it can't be run.
func (s *session) plan(b *batch) (plan, error) {
	p := plan{local: true, read: true, staleness: s.options.staleness, key: s.options.key}
	if !s.options.stalenessSet {
		p.staleness = s.group.staleness()
	}
	sketch := sketch{plan: &p, open: s.status != statusIdle}
	for _, st := range b.steps {
		var err error
		switch {
		case st.kind == 'Q':
			err = sketch.query(st.text, true)
		case st.kind == 'E' && st.statement != nil:
			err = sketch.query(st.statement.query, true)
		case st.kind == 'P' || (st.kind == 'D' && st.statement != nil):
			err = sketch.query(st.statement.query, false)
		case st.kind == 'B' || st.kind == 'E' || st.kind == 'D':
			p.local = p.local && st.statement != nil && sketch.localQuery(st.statement.query)
		}
		if err != nil {
			return p, err
		}
	}
	p.begins = sketch.open && s.status == statusIdle
	if !p.local && sketch.session {
		return p, result.New(result.NotCarried, "a setting of tarragonshed, DISCARD, RESET ALL or DEALLOCATE can't be combined with other statements")
	}
	return p, nil
}

// sketch follows the statements of a batch.
type sketch struct {
	plan *plan
	// open tells that a transaction would be open.
	open bool
	// session tells that a statement can only be answered by the entry.
	session bool
}

// query takes a query that is executed or only prepared.
func (k *sketch) query(q classifier.Query, executed bool) error {
	if err := k.marks(q.Marks); err != nil {
		return err
	}
	alone := len(q.Statements) <= 1
	for _, st := range q.Statements {
		if err := k.statement(st, executed, alone); err != nil {
			return err
		}
	}
	return nil
}

func (k *sketch) localQuery(q classifier.Query) bool {
	for _, st := range q.Statements {
		if !k.isLocal(st) {
			return false
		}
	}
	return true
}

func (k *sketch) statement(st classifier.Statement, executed, alone bool) error {
	switch st.Kind {
	case classifier.Copy:
		return result.New(result.CopyNotCarried, "COPY is not carried")
	case classifier.NotCarried:
		return result.New(result.NotCarried, "the statement needs a connection of its own")
	}
	if onlyLocal(st) {
		k.session = true
	}
	if !k.isLocal(st) {
		k.plan.local = false
	}
	switch st.Kind {
	case classifier.Write:
		k.plan.read = false
	case classifier.Begin:
		k.plan.read = false
		k.open = k.open || executed
	case classifier.BeginRead:
		k.open = k.open || executed
	case classifier.Commit, classifier.Rollback:
		if executed && k.open {
			k.plan.ends, k.open = true, false
		}
	case classifier.Set, classifier.Reset:
		if executed && !st.Local && !onlyLocal(st) {
			k.plan.settings = append(k.plan.settings, settingOf(st))
		}
	}
	return nil
}

// onlyLocal reports whether no instance can answer the statement.
func onlyLocal(st classifier.Statement) bool {
	switch st.Kind {
	case classifier.Set, classifier.Show:
		return strings.HasPrefix(st.Name, parameterPrefix)
	case classifier.Reset:
		return st.Name == "" || strings.HasPrefix(st.Name, parameterPrefix)
	case classifier.Discard, classifier.Deallocate:
		return true
	}
	return false
}

// isLocal reports whether the entry can answer the statement.
func (k *sketch) isLocal(st classifier.Statement) bool {
	switch st.Kind {
	case classifier.Set, classifier.Reset, classifier.Commit, classifier.Rollback:
		return onlyLocal(st) || !k.open
	}
	return onlyLocal(st)
}

func (k *sketch) marks(marks map[string]string) error {
	for name, value := range marks {
		switch name {
		case "tarragon_max_staleness":
			staleness, err := parseStaleness(value)
			if err != nil {
				return err
			}
			k.plan.staleness = staleness
		case "tarragon_request_key":
			k.plan.key = unit.RequestKey(value)
		default:
			return result.New(result.MalformedOption, "statement mark %q is not known", name)
		}
	}
	return nil
}
