// Package resolver decides what becomes of a request with a request key.
//
// # The key's row
//
// The transaction of a request with a key also writes a row under that key, with
// the outcome [Done]. Whoever must find out what became of a request claims the
// key by committing a row with the outcome [Cancelled]. Rows of one key conflict,
// so the first that is committed stands: a late original can't run after a claim,
// a claim can't succeed after the original, and a repeated request gets the
// outcome that is recorded.
//
// A row counts only once a majority of the group's instances confirms it: a
// primary that has been replaced may hold rows that will be dropped. So neither a
// claim nor an outcome that was looked up is told before that.
//
// # States
//
//	state       event                       next         effect
//	-           New for [Run]               inserting    Insert(Done)
//	-           New for [Claim]             inserting    Insert(Cancelled)
//	inserting   Inserted, for Run           -            Execute
//	inserting   Inserted, for Claim         confirming   Confirm
//	inserting   Conflicted                  looking      LookUp
//	inserting   Failed, for Run             -            Answer(Refused)
//	inserting   Failed, for Claim           -            Answer(Undetermined)
//	looking     Found                       confirming   Confirm
//	looking     Absent                      inserting    Insert, at most [MaxAttempts] times
//	looking     Absent, no attempt left     -            Answer(Undetermined)
//	looking     Failed                      -            Answer(Undetermined)
//	confirming  Confirmed, row is Done      -            Answer(Ran)
//	confirming  Confirmed, row is Cancelled -            Answer(NotRun)
//	confirming  Failed                      -            Answer(Undetermined)
//
// A row may be absent after a conflict because the transaction that wrote it has
// been rolled back.
//
// # Usage
//
// A Resolver has no connection. The embedder carries out each effect on the
// primary and hands in what came of it:
//
//	r, effect := resolver.New(resolver.Claim)
//	for {
//		switch e := effect.(type) {
//		case resolver.Insert:
//			effect = r.Step(insert(key, e.Outcome))
//		case resolver.LookUp:
//			effect = r.Step(lookUp(key))
//		case resolver.Confirm:
//			effect = r.Step(confirm())
//		case resolver.Execute:
//			return execute() // And commit together with the row.
//		case resolver.Answer:
//			return answer(e)
//		}
//	}
package resolver

// Outcome is what the key's row says.
type Outcome string

// The outcomes of a request.
const (
	// Done is written by the request's own transaction.
	Done Outcome = "done"
	// Cancelled is written by a claim.
	Cancelled Outcome = "cancelled"
)

// MaxAttempts bounds how often a row is inserted whose key comes and goes.
const MaxAttempts = 3

// Purpose tells why a key is used.
type Purpose int

// The purposes.
const (
	// Run runs the request, or gives the outcome of an earlier run.
	Run Purpose = iota
	// Claim finds out what became of the request and otherwise cancels it.
	Claim
)

// Verdict is what may be told of the request.
type Verdict int

// The verdicts.
const (
	// Undetermined: nothing may be told; ask again with the same key.
	Undetermined Verdict = iota
	// Ran: the request has run, once.
	Ran
	// NotRun: the request has not run and can't run any more.
	NotRun
	// Refused: this attempt did not run. The key is not spent.
	Refused
)

// Event is what came of an effect: [Inserted], [Conflicted], [Found], [Absent],
// [Confirmed] or [Failed].
type Event interface{ event() }

// Inserted tells that the row is written: committed for a claim, in the
// request's open transaction otherwise.
type Inserted struct{}

// Conflicted tells that the key has a row.
type Conflicted struct{}

// Found is the key's row.
type Found struct {
	Outcome Outcome
	// Tag is the command tag that the request was answered with.
	Tag string
}

// Absent tells that the key has no row.
type Absent struct{}

// Confirmed tells that a majority holds what the last step wrote or saw.
type Confirmed struct{}

// Failed tells that a step had no result. What it should have written may have
// been committed.
type Failed struct{ Err error }

func (Inserted) event()   {}
func (Conflicted) event() {}
func (Found) event()      {}
func (Absent) event()     {}
func (Confirmed) event()  {}
func (Failed) event()     {}

// Effect is what has to be done: [Insert], [LookUp], [Confirm], [Execute] or
// [Answer].
type Effect interface{ effect() }

// Insert asks to write the key's row: for [Cancelled] in a transaction of its own
// that is committed, for [Done] in one that is left open.
type Insert struct{ Outcome Outcome }

// LookUp asks for the key's row after the open transaction is rolled back.
type LookUp struct{}

// Confirm asks to wait until a majority holds what the last step wrote or saw.
type Confirm struct{}

// Execute asks to run the request in the transaction that holds the row.
type Execute struct{}

// Answer ends the work on the key.
type Answer struct {
	Verdict Verdict
	// Tag is set for [Ran].
	Tag string
	// Err is the failure that led to [Undetermined] or [Refused], if any.
	Err error
}

func (Insert) effect()  {}
func (LookUp) effect()  {}
func (Confirm) effect() {}
func (Execute) effect() {}
func (Answer) effect()  {}

// Resolver is the work on one key for one purpose on one primary.
type Resolver struct {
	purpose   Purpose
	attempts  int
	inserting bool
	row       Found
}

// New begins and returns the first effect.
func New(purpose Purpose) (*Resolver, Effect) {
	r := &Resolver{purpose: purpose}
	return r, r.insert()
}

// Step takes what came of the last effect and returns the next one.
func (r *Resolver) Step(event Event) Effect {
	switch e := event.(type) {
	case Inserted:
		return r.inserted()
	case Conflicted:
		r.inserting = false
		return LookUp{}
	case Found:
		r.row = e
		return Confirm{}
	case Absent:
		if r.attempts == MaxAttempts {
			return Answer{Verdict: Undetermined}
		}
		return r.insert()
	case Confirmed:
		return r.confirmed()
	case Failed:
		return r.failed(e)
	}
	return Answer{Verdict: Undetermined}
}

func (r *Resolver) insert() Effect {
	r.attempts++
	r.inserting = true
	if r.purpose == Claim {
		return Insert{Outcome: Cancelled}
	}
	return Insert{Outcome: Done}
}

func (r *Resolver) inserted() Effect {
	r.inserting = false
	if r.purpose == Run {
		return Execute{}
	}
	r.row = Found{Outcome: Cancelled}
	return Confirm{}
}

func (r *Resolver) confirmed() Effect {
	if r.row.Outcome == Done {
		return Answer{Verdict: Ran, Tag: r.row.Tag}
	}
	return Answer{Verdict: NotRun}
}

func (r *Resolver) failed(e Failed) Effect {
	if r.inserting && r.purpose == Run {
		return Answer{Verdict: Refused, Err: e.Err}
	}
	return Answer{Verdict: Undetermined, Err: e.Err}
}
