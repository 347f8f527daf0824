package adopter

import (
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Request is what an operator pushes.
type Request struct {
	ID PushID
	// Base is the version that the document was made from.
	Base     unit.ManifestVersion
	Document []byte
	Author   string
}

// PushEvent is something that a Push is told.
type PushEvent interface{ pushEvent() }

// RowsRead is the answer to Look.
type RowsRead struct {
	// Current is the accepted record, zero without one.
	Current Record
	// RowVersion is the version of the row of Current, zero without one.
	RowVersion uint64
	// Accepted is the record of the push id, zero without one.
	Accepted Record
}

// ReadFailed tells that Look had no answer.
type ReadFailed struct{}

// Stored tells that Store took effect.
type Stored struct{}

// StoreFailed tells that Store had no answer.
type StoreFailed struct{}

// Committed tells that Commit took effect.
type Committed struct{}

// Conflicted tells that a condition of Commit did not hold.
type Conflicted struct{}

// Unsent tells that Commit was not sent.
type Unsent struct{}

// Uncertain tells that Commit had no answer.
type Uncertain struct{}

// Expired tells that the time for the push is over.
type Expired struct{}

func (RowsRead) pushEvent()    {}
func (ReadFailed) pushEvent()  {}
func (Stored) pushEvent()      {}
func (StoreFailed) pushEvent() {}
func (Committed) pushEvent()   {}
func (Conflicted) pushEvent()  {}
func (Unsent) pushEvent()      {}
func (Uncertain) pushEvent()   {}
func (Expired) pushEvent()     {}

// PushEffect is something that a Push asks for.
type PushEffect interface{ pushEffect() }

// ReadRows asks to read the current row first and the row of the push id after it. In
// this order an absent push row and a changed current row prove that the push was
// not and will not be accepted.
type ReadRows struct {
	// Backoff asks to wait before, because an attempt failed.
	Backoff bool
}

// Store asks to store the document under its digest.
type Store struct {
	Digest  string
	Backoff bool
}

// Commit asks for the transaction that accepts the record: on the condition that the
// current row has RowVersion and that the push row is absent, it writes the current
// row, the history row and the push row.
type Commit struct {
	Record     Record
	RowVersion uint64
}

// Done ends the push. Err is nil if the manifest is accepted.
type Done struct {
	Record Record
	Err    error
}

func (ReadRows) pushEffect() {}
func (Store) pushEffect()    {}
func (Commit) pushEffect()   {}
func (Done) pushEffect()     {}

// Push is the state machine of one push. Its events answer its effects one by one.
type Push struct {
	request    Request
	record     Record
	rowVersion uint64
	stored     bool
	uncertain  bool
}

// NewPush checks the request and returns the machine and the first effect.
func NewPush(request Request, now int64) (*Push, PushEffect) {
	p := &Push{request: request}
	p.record = Record{
		Version:  request.Base + 1,
		Digest:   manifest.Digest(request.Document),
		PushID:   request.ID,
		Author:   request.Author,
		PushedAt: now,
	}
	if !request.ID.Valid() {
		return p, p.refuse(result.ManifestInvalid, "the push id has to have 1 to %d letters, digits and hyphens", maxPushIDBytes)
	}
	if _, problems := manifest.Parse(request.Document); problems.HasErrors() {
		return p, Done{Err: problems.Err()}
	}
	return p, ReadRows{}
}

// Step takes one event and returns what is to be done.
func (p *Push) Step(e PushEvent) PushEffect {
	switch e := e.(type) {
	case RowsRead:
		return p.looked(e)
	case Stored:
		p.stored = true
		return p.commit()
	case StoreFailed:
		return Store{Digest: p.record.Digest, Backoff: true}
	case Committed:
		return Done{Record: p.record}
	case Uncertain:
		p.uncertain = true
		return ReadRows{Backoff: true}
	case Conflicted:
		return ReadRows{}
	case Expired:
		return p.expired()
	}
	return ReadRows{Backoff: true}
}

func (p *Push) looked(e RowsRead) PushEffect {
	if e.Accepted.Version != 0 {
		if e.Accepted.Version != p.record.Version || e.Accepted.Digest != p.record.Digest {
			return p.refuse(result.PushReused, "push id %s was accepted as version %d with the digest %.12s", p.request.ID, e.Accepted.Version, e.Accepted.Digest)
		}
		return Done{Record: e.Accepted}
	}
	if e.Current.Version != p.request.Base {
		same := ""
		if e.Current.Digest == p.record.Digest {
			same = ", which has the same content"
		}
		return p.refuse(result.PushConflict, "the push is based on version %d, but version %d of push %s is accepted%s", p.request.Base, e.Current.Version, e.Current.PushID, same)
	}
	p.rowVersion = e.RowVersion
	if !p.stored {
		return Store{Digest: p.record.Digest}
	}
	return p.commit()
}

func (p *Push) commit() PushEffect {
	return Commit{Record: p.record, RowVersion: p.rowVersion}
}

func (p *Push) expired() PushEffect {
	if p.uncertain {
		return p.refuse(result.PushUnconfirmed, "ask again with push id %s", p.request.ID)
	}
	return p.refuse(result.StoreUnavailable, "the store did not answer in time; push %s was not accepted", p.request.ID)
}

func (p *Push) refuse(code result.Code, format string, args ...any) PushEffect {
	return Done{Record: p.record, Err: result.New(code, format, args...)}
}
