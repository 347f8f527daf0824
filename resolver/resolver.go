// Package resolver runs a request with a request key at most once and determines
// the outcome of an earlier attempt. A request key is an idempotency key that a
// caller attaches to a request. The package is a decision core without I/O.
//
// # The key's row
//
// The transaction of a request with a key also inserts a row under that key, with
// the outcome [Done]. To determine the outcome of a request, its key is claimed: a
// row with the outcome [Cancelled] is committed. The key is unique, so only the
// first committed row takes effect: a delayed original request can't run after
// a claim, a claim can't succeed after the original request has run, and a repeated
// request gets the recorded outcome.
//
// A row is reported only after a majority of the group's instances has confirmed
// it. A replaced primary may hold rows that were not replicated and that are
// discarded when it rejoins the group, so an unconfirmed claim or outcome could be
// contradicted later.
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
// A row may be absent after a conflict because the transaction that inserted it has
// been rolled back.
//
// # Usage
//
// A Resolver has no connection. The embedding code performs each effect on the
// primary and passes the result to Step:
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
//			return execute() // The request commits together with the row.
//		case resolver.Answer:
//			return answer(e)
//		}
//	}
package resolver

// Outcome is the outcome of a request as recorded in the key's row.
type Outcome string

// The outcomes of a request.
const (
	// Done is written by the request's own transaction.
	Done Outcome = "done"
	// Cancelled is written by a claim.
	Cancelled Outcome = "cancelled"
)

// MaxAttempts is the maximum number of inserts for one key. Another insert is needed
// when an insert conflicts and the conflicting row is then rolled back.
const MaxAttempts = 3

// Purpose is the reason for which a key is resolved.
type Purpose int

// The purposes.
const (
	// Run runs the request, or returns the outcome of an earlier run.
	Run Purpose = iota
	// Claim returns the outcome of the request if it has run, and otherwise cancels it.
	Claim
)

// Verdict is the result that may be reported for the request.
type Verdict int

// The verdicts.
const (
	// Undetermined: the outcome is unknown; the caller may retry with the same key.
	Undetermined Verdict = iota
	// Ran: the request has run exactly once.
	Ran
	// NotRun: the request has not run and can no longer run.
	NotRun
	// Refused: this attempt did not run. The key remains unused.
	Refused
)

// Event is the result of an effect: [Inserted], [Conflicted], [Found], [Absent],
// [Confirmed] or [Failed].
type Event interface{ event() }

// Inserted reports that the row was inserted: committed for [Claim], in the
// request's open transaction for [Run].
type Inserted struct{}

// Conflicted reports that the key already has a row.
type Conflicted struct{}

// Found reports the key's row.
type Found struct {
	Outcome Outcome
	// Tag is the command tag with which the request was answered.
	Tag string
}

// Absent reports that the key has no row.
type Absent struct{}

// Confirmed reports that a majority of the instances holds the row that was
// inserted or found.
type Confirmed struct{}

// Failed reports that an effect failed. Its writes may nevertheless have been
// committed.
type Failed struct{ Err error }

func (Inserted) event()   {}
func (Conflicted) event() {}
func (Found) event()      {}
func (Absent) event()     {}
func (Confirmed) event()  {}
func (Failed) event()     {}

// Effect is an action for the embedding code: [Insert], [LookUp], [Confirm],
// [Execute] or [Answer].
type Effect interface{ effect() }

// Insert requests the insertion of the key's row: for [Cancelled] in a separate
// transaction that is committed, for [Done] in a transaction that stays open.
type Insert struct{ Outcome Outcome }

// LookUp requests the key's row, read after the open transaction is rolled back.
type LookUp struct{}

// Confirm requests a wait until a majority of the instances holds the row that was
// inserted or found.
type Confirm struct{}

// Execute requests the execution of the request in the transaction that holds the
// row.
type Execute struct{}

// Answer is the final effect and holds the result.
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

// Resolver resolves one key for one purpose on one primary. It is not safe for
// concurrent use.
type Resolver struct {
	purpose   Purpose
	attempts  int
	inserting bool
	row       Found
}

// New returns a Resolver and its first effect.
func New(purpose Purpose) (*Resolver, Effect) {
	r := &Resolver{purpose: purpose}
	return r, r.insert()
}

// Step processes the result of the last effect and returns the next effect.
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
