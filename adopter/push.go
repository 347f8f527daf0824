package adopter

import (
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Request is a push of a manifest by an operator.
type Request struct {
	ID PushID
	// Base is the accepted version on which the document is based, zero without one.
	Base     unit.ManifestVersion
	Document []byte
	Author   string
}

// PushEvent is an input of a [Push].
type PushEvent interface{ pushEvent() }

// RowsRead is the result of [ReadRows].
type RowsRead struct {
	// Current is the accepted record, or the zero value if there is none.
	Current Record
	// RowVersion is the version of the row of Current, or zero if there is none.
	RowVersion uint64
	// Accepted is the record of the push id, or the zero value if there is none.
	Accepted Record
}

// ReadFailed reports that [ReadRows] had no response.
type ReadFailed struct{}

// Stored reports that [Store] took effect.
type Stored struct{}

// StoreFailed reports that [Store] had no response.
type StoreFailed struct{}

// Committed reports that [Commit] took effect.
type Committed struct{}

// Conflicted reports that a condition of [Commit] did not hold.
type Conflicted struct{}

// Unsent reports that [Commit] was not sent, so it has no effect.
type Unsent struct{}

// Uncertain reports that [Commit] had no response, so it may or may not take effect.
type Uncertain struct{}

// Expired reports that the deadline of the push has passed.
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

// PushEffect is an action that the caller of [Push.Step] has to carry out.
type PushEffect interface{ pushEffect() }

// ReadRows requests a read of the current row and, after it, of the row of the push id. In
// this order, a changed current row and an absent push row prove that the push was not
// accepted and will not be accepted.
type ReadRows struct {
	// Backoff requests a wait before the read, because an attempt failed.
	Backoff bool
}

// Store requests that the document is stored under its digest.
type Store struct {
	Digest string
	// Backoff requests a wait before the write, because an attempt failed.
	Backoff bool
}

// Commit requests the transaction that accepts the record. On the condition that the
// current row has RowVersion and that the push row is absent, it writes the current row,
// the history row and the push row.
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

// Push is the state machine of one push. It has one effect in flight at a time; each event
// other than [Expired] is the result of that effect.
type Push struct {
	request    Request
	record     Record
	rowVersion uint64
	stored     bool
	uncertain  bool
}

// NewPush validates the request and returns the state machine and its first effect. The
// time of the push, now, is in nanoseconds since the Unix epoch.
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
		return p, p.refuse(result.ManifestInvalid, "the push id must have 1 to %d letters, digits and hyphens", maxPushIDBytes)
	}
	if _, problems := manifest.Parse(request.Document); problems.HasErrors() {
		return p, Done{Err: problems.Err()}
	}
	return p, ReadRows{}
}

// Step handles one event and returns the next effect.
func (p *Push) Step(e PushEvent) PushEffect {
	switch e := e.(type) {
	case RowsRead:
		return p.rowsRead(e)
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

func (p *Push) rowsRead(e RowsRead) PushEffect {
	if e.Accepted.Version != 0 {
		if e.Accepted.Version != p.record.Version || e.Accepted.Digest != p.record.Digest {
			return p.refuse(result.PushReused, "push id %s was already accepted as version %d with the digest %.12s", p.request.ID, e.Accepted.Version, e.Accepted.Digest)
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
		return p.refuse(result.PushUnconfirmed, "the store did not confirm the push in time; retry with push id %s", p.request.ID)
	}
	return p.refuse(result.StoreUnavailable, "the store did not answer in time; push %s was not accepted", p.request.ID)
}

func (p *Push) refuse(code result.Code, format string, args ...any) PushEffect {
	return Done{Record: p.record, Err: result.New(code, format, args...)}
}
