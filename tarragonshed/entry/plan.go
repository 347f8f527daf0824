package entry

import (
	"strings"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/classifier"
	"tarragonshed.example/unit"
)

// plan describes what the execution of a batch needs.
type plan struct {
	// local is true if no instance is needed.
	local bool
	// read is true if a replica may run the batch.
	read bool
	// begins is true if the batch leaves a new transaction open when it
	// succeeds.
	begins bool
	// ends is true if the batch ends a transaction.
	ends bool
	// staleness is the staleness bound of a read.
	staleness time.Duration
	key       unit.RequestKey
	settings  []setting
}

// plan returns the plan of a batch, or an error if the batch can't be run.
func (s *session) plan(b *batch) (plan, error) {
	p := plan{local: true, read: true, staleness: s.options.staleness, key: s.options.key}
	if !s.options.stalenessSet {
		p.staleness = s.group.staleness()
	}
	planner := planner{plan: &p, open: s.status != statusIdle}
	for _, st := range b.steps {
		var err error
		switch {
		case st.kind == 'Q':
			err = planner.addQuery(st.simpleQuery, true)
		case st.kind == 'E' && st.statement != nil:
			err = planner.addQuery(st.statement.query, true)
		case st.kind == 'P' || (st.kind == 'D' && st.statement != nil):
			err = planner.addQuery(st.statement.query, false)
		case st.kind == 'B' || st.kind == 'E' || st.kind == 'D':
			p.local = p.local && st.statement != nil && planner.isLocalQuery(st.statement.query)
		}
		if err != nil {
			return p, err
		}
	}
	p.begins = planner.open && s.status == statusIdle
	if !p.local && planner.entryOnly {
		return p, result.New(result.NotCarried, "a setting of tarragonshed, DISCARD, RESET ALL or DEALLOCATE can't be combined with other statements")
	}
	return p, nil
}

// planner derives the plan from the statements of a batch, in their order.
type planner struct {
	plan *plan
	// open is true if a transaction is open after the statements so far.
	open bool
	// entryOnly is true if the batch has a statement that only the entry can
	// answer.
	entryOnly bool
}

// addQuery adds the statements of a query. If executed is false, the query is
// only prepared or described.
func (p *planner) addQuery(q classifier.Query, executed bool) error {
	if err := p.applyMarks(q.Marks); err != nil {
		return err
	}
	alone := len(q.Statements) <= 1
	for _, st := range q.Statements {
		if err := p.addStatement(st, executed, alone); err != nil {
			return err
		}
	}
	return nil
}

func (p *planner) isLocalQuery(q classifier.Query) bool {
	for _, st := range q.Statements {
		if !p.canAnswerLocally(st) {
			return false
		}
	}
	return true
}

func (p *planner) addStatement(st classifier.Statement, executed, alone bool) error {
	switch st.Kind {
	case classifier.Copy:
		return result.New(result.CopyNotCarried, "COPY is not supported")
	case classifier.NotCarried:
		return result.New(result.NotCarried, "the statement needs a dedicated connection, which is not supported under transaction pooling")
	}
	if requiresEntry(st) {
		p.entryOnly = true
	}
	if !p.canAnswerLocally(st) {
		p.plan.local = false
	}
	switch st.Kind {
	case classifier.Write:
		p.plan.read = false
	case classifier.Begin:
		p.plan.read = false
		p.open = p.open || executed
	case classifier.BeginRead:
		p.open = p.open || executed
	case classifier.Commit, classifier.Rollback:
		if executed && p.open {
			p.plan.ends, p.open = true, false
		}
	case classifier.Set, classifier.Reset:
		if executed && !st.Local && !requiresEntry(st) {
			p.plan.settings = append(p.plan.settings, settingOf(st))
		}
	}
	return nil
}

// requiresEntry reports whether only the entry, and no instance, can answer the
// statement.
func requiresEntry(st classifier.Statement) bool {
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

// canAnswerLocally reports whether the entry can answer the statement itself.
func (p *planner) canAnswerLocally(st classifier.Statement) bool {
	switch st.Kind {
	case classifier.Set, classifier.Reset, classifier.Commit, classifier.Rollback:
		return requiresEntry(st) || !p.open
	}
	return requiresEntry(st)
}

func (p *planner) applyMarks(marks map[string]string) error {
	for name, value := range marks {
		switch name {
		case "tarragon_max_staleness":
			staleness, err := parseStaleness(value)
			if err != nil {
				return err
			}
			p.plan.staleness = staleness
		case "tarragon_request_key":
			p.plan.key = unit.RequestKey(value)
		default:
			return result.New(result.MalformedOption, "unknown statement mark %q", name)
		}
	}
	return nil
}
