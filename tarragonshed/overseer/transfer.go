package overseer

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/splitter"
	"tarragonshed.example/tarragonshed/pacer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	// partsPerCall is the number of parts that are requested with one call. All of them
	// together are about as large as a document that is sent as a whole.
	partsPerCall = 32
	// maxPartBytes bounds the size of a part.
	maxPartBytes = splitter.MaxPart
	// transferTimeout bounds one call of a transfer, which usually ends when it makes no
	// progress for [peerTimeout].
	transferTimeout = 10 * time.Second
)

// errNoPart means that a daemon has sent none of the missing parts. It has a newer version
// of the document, which the next attempt fetches.
var errNoPart = errors.New("overseer: the daemon has none of the missing parts")

// errIncompleteDocument means that parts of a document have disappeared while it was fetched.
var errIncompleteDocument = errors.New("overseer: parts of the document are missing")

// transfers holds the parts of documents that are sent to and received from other daemons.
type transfers struct {
	offersMu sync.Mutex
	offers   map[string]*offer // The documents that are sent, by name.

	receiving  sync.Mutex // Held while documents are being fetched.
	assemblers map[string]*assembler

	progressedAt atomic.Int64 // When a part was last received, as a unit.Instant, or zero.

	arrival atomic.Pointer[arrival] // The document whose parts are being received, or nil.
}

// arrival is a document whose parts are being received.
type arrival struct {
	document *peer.Document
	from     string
	missing  int // The number of parts.
}

// recordProgress records that a part was received.
func (t *transfers) recordProgress(now unit.Instant) { t.progressedAt.Store(int64(now)) }

// progressed returns when a part was last received, or zero.
func (t *transfers) progressed() unit.Instant { return unit.Instant(t.progressedAt.Load()) }

// assembler joins the parts of one document that are received.
type assembler struct {
	splitter.Assembler
	base unit.Revision // The revision in force whose parts are known.
}

// fetchFrom requests newer documents from the daemon at the address, unless documents are being
// fetched already.
func (o *Overseer) fetchFrom(address string) {
	if o.transfers.receiving.TryLock() {
		defer o.transfers.receiving.Unlock()
		o.transferFrom(address)
	}
}

// transferFrom fetches the documents that the daemon at the address has in a newer version, and
// reports whether it received them all. The caller holds transfers.receiving.
func (o *Overseer) transferFrom(address string) bool {
	ctx, call := o.beginTransfer()
	defer call.End()
	request := &peer.FetchRequest{Known: versionsOf(o.documents), AcceptsParts: true}
	response, err := o.peer(address).Fetch(ctx, connect.NewRequest(request))
	if err != nil {
		o.logger.Info("documents not received from another daemon", "from", address, "bytes", call.Received(), "took", call.Took(), "cause", call.Err(err))
		return false // The next call contacts the next daemon.
	}
	complete := true
	for _, d := range response.Msg.Documents {
		complete = o.receive(address, d) && complete
	}
	return complete
}

// Receiving describes the document that this daemon is receiving from another one, for a log.
func (o *Overseer) Receiving() string {
	a := o.transfers.arrival.Load()
	if a == nil {
		return "nothing"
	}
	return fmt.Sprintf("%s version %d from %s, %d of %d parts missing", a.document.Name, a.document.Version, a.from, a.missing, len(a.document.Parts))
}

// beginTransfer begins a call of a transfer.
func (o *Overseer) beginTransfer() (context.Context, *pacer.Call) {
	return pacer.Begin(o.ctx, peerTimeout, pacer.WithLimit(transferTimeout))
}

// receive passes in a document that the daemon at the address offers, after it has fetched the missing
// parts. It reports whether it received them.
func (o *Overseer) receive(address string, d *peer.Document) bool {
	began, body, fetched := o.now(), d.Body, len(d.Body)
	if len(d.Parts) > 0 {
		var err error
		if body, fetched, err = o.fetchBody(address, d); err != nil {
			o.logger.Info("document not received from another daemon", "document", d.Name, "version", d.Version,
				"from", address, "bytes", fetched, "took", o.now().Sub(began), "cause", err)
			return false
		}
	}
	o.logger.Info("document received from another daemon", "document", d.Name, "era", d.Era, "version", d.Version,
		"from", address, "size", len(body), "bytes", fetched, "took", o.now().Sub(began))
	o.documents.Offer(Document{Name: d.Name, Revision: revisionOf(d), Body: body})
	return true
}

// fetchBody returns the body of a document in parts, and how many bytes of it were fetched. What
// a failed attempt has fetched is kept for the next one.
func (o *Overseer) fetchBody(address string, d *peer.Document) (body []byte, fetched int, err error) {
	document := make([]splitter.Digest, 0, len(d.Parts))
	for _, part := range d.Parts {
		digest, ok := digestIn(part)
		if !ok {
			return nil, 0, fmt.Errorf("overseer: digest of %d bytes", len(part))
		}
		document = append(document, digest)
	}
	a := o.assemblerOf(d.Name)
	defer o.transfers.arrival.Store(nil)
	for missing := a.Missing(document); len(missing) > 0; {
		o.transfers.arrival.Store(&arrival{document: d, from: address, missing: len(missing)})
		n, err := o.fetchParts(address, d.Name, a, missing[:min(len(missing), partsPerCall)])
		fetched += n
		if err != nil {
			return nil, fetched, err
		}
		before := len(missing)
		if missing = a.Missing(document); len(missing) >= before {
			return nil, fetched, errNoPart
		}
	}
	body, complete := a.Join(document)
	if !complete {
		return nil, fetched, errIncompleteDocument
	}
	delete(o.transfers.assemblers, d.Name) // It holds the earlier version in memory.
	return body, fetched, nil
}

// assemblerOf returns the assembler of the document, which knows the parts of the one in force.
func (o *Overseer) assemblerOf(name string) *assembler {
	a, ok := o.transfers.assemblers[name]
	if !ok {
		a = &assembler{}
		o.transfers.assemblers[name] = a
	}
	if current := o.wholeDocument(name); a.base != current.Revision {
		a.base = current.Revision
		a.SetBase(current.Body)
	}
	return a
}

// fetchParts fetches parts of the document and adds them to a. It returns how many bytes they
// were.
func (o *Overseer) fetchParts(address, name string, a *assembler, missing []splitter.Digest) (fetched int, err error) {
	ctx, call := o.beginTransfer()
	defer call.End()
	request := &peer.FetchPartsRequest{Document: name}
	for _, digest := range missing {
		request.Digests = append(request.Digests, digest[:])
	}
	response, err := o.peer(address).FetchParts(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, call.Err(err)
	}
	for _, part := range response.Msg.Parts {
		if err := addPart(a, part); err != nil {
			return fetched, err
		}
		fetched += len(part.Deflated)
	}
	o.transfers.recordProgress(o.now())
	return fetched, nil
}

// addPart adds a part in a message to a.
func addPart(a *assembler, part *peer.Part) error {
	body, err := inflate(part.Deflated)
	if err != nil {
		return fmt.Errorf("overseer: part of a document: %w", err)
	}
	digest, ok := digestIn(part.Digest)
	if !ok {
		return splitter.ErrDigest
	}
	return a.Add(digest, body)
}

// inflate returns the part in its original form.
func inflate(deflated []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), maxPartBytes))
}

// digestIn returns the digest in a message.
func digestIn(digest []byte) (splitter.Digest, bool) {
	if len(digest) != len(splitter.Digest{}) {
		return splitter.Digest{}, false
	}
	return splitter.Digest(digest), true
}

// wholeDocument returns the document in force, or an empty one. Its body does not depend on what
// another daemon knows.
func (o *Overseer) wholeDocument(name string) Document {
	known := make(map[string]unit.Revision)
	for other, state := range o.documents.States() {
		if other != name {
			known[other] = state.Revision
		}
	}
	for _, d := range o.documents.Newer(known) {
		if d.Name == name {
			return d
		}
	}
	return Document{Name: name}
}
