package overseer

import (
	"bytes"
	"compress/flate"
	"context"

	"connectrpc.com/connect"

	"tarragonshed.example/splitter"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// maxWholeBytes is the size up to which a document is sent as a whole. Splitting it would
// cost a further call.
const maxWholeBytes = 64 << 10

// offer is a large document as it is sent.
type offer struct {
	revision unit.Revision
	digests  [][]byte
	parts    map[splitter.Digest][]byte
	deflated map[splitter.Digest][]byte // The parts that have been requested.
}

// offered returns the document in parts if they have been computed for the revision.
func (t *transfers) offered(name string, revision unit.Revision) (*offer, bool) {
	t.offersMu.Lock()
	defer t.offersMu.Unlock()
	o, ok := t.offers[name]
	return o, ok && o.revision == revision
}

// offer computes the parts of the whole document. Parts that were sent in the last revision are not
// compressed again.
func (t *transfers) offer(d Document) *offer {
	t.offersMu.Lock()
	defer t.offersMu.Unlock()
	o := &offer{revision: d.Revision, parts: make(map[splitter.Digest][]byte), deflated: make(map[splitter.Digest][]byte)}
	earlier := t.offers[d.Name]
	for _, p := range splitter.Split(d.Body) {
		o.digests = append(o.digests, p.Digest[:])
		o.parts[p.Digest] = p.Body
		if earlier != nil && earlier.deflated[p.Digest] != nil {
			o.deflated[p.Digest] = earlier.deflated[p.Digest]
		}
	}
	t.offers[d.Name] = o
	return o
}

// deflatedParts returns those of the parts that the document with the name has.
func (t *transfers) deflatedParts(name string, digests [][]byte) []*peer.Part {
	t.offersMu.Lock()
	defer t.offersMu.Unlock()
	o, ok := t.offers[name]
	if !ok {
		return nil
	}
	var parts []*peer.Part
	var d deflater
	for _, digest := range digests {
		if body, ok := o.deflate(digest, &d); ok {
			parts = append(parts, &peer.Part{Digest: digest, Deflated: body})
		}
	}
	return parts
}

// deflate returns the part in its compressed form, which is kept for other daemons.
func (o *offer) deflate(digest []byte, d *deflater) ([]byte, bool) {
	id, ok := digestIn(digest)
	if !ok {
		return nil, false
	}
	if body, ok := o.deflated[id]; ok {
		return body, true
	}
	part, ok := o.parts[id]
	if ok {
		o.deflated[id] = d.deflate(part)
	}
	return o.deflated[id], ok
}

// deflater compresses parts. Its writer is large and made when it is first needed.
type deflater struct{ writer *flate.Writer }

func (d *deflater) deflate(part []byte) []byte {
	var compressed bytes.Buffer
	if d.writer == nil {
		d.writer, _ = flate.NewWriter(nil, flate.BestSpeed) // The level is valid.
	}
	d.writer.Reset(&compressed)
	_, _ = d.writer.Write(part) // A buffer accepts all data.
	_ = d.writer.Close()
	return bytes.Clone(compressed.Bytes())
}

// offeredDocuments returns the messages with the documents that a daemon with the known ones lacks.
func (o *Overseer) offeredDocuments(known map[string]unit.Revision, acceptsParts bool) []*peer.Document {
	if o.documents == nil {
		return nil
	}
	var all []*peer.Document
	for _, d := range o.documents.Newer(known) {
		message := messageOf(d.Name, d.Revision)
		if acceptsParts && len(d.Body) > maxWholeBytes {
			message.Parts = o.digestsOf(d)
		}
		if len(message.Parts) == 0 {
			message.Body = d.Body
		}
		all = append(all, message)
	}
	return all
}

// digestsOf returns the digests of the parts of the whole document, of which d may be the changes
// only. It returns none if the document has changed meanwhile.
func (o *Overseer) digestsOf(d Document) [][]byte {
	if offered, ok := o.transfers.offered(d.Name, d.Revision); ok {
		return offered.digests
	}
	whole := o.wholeDocument(d.Name)
	if whole.Revision != d.Revision {
		return nil
	}
	return o.transfers.offer(whole).digests
}

// FetchParts implements [peerconnect.OverseerHandler].
func (s service) FetchParts(_ context.Context, r *connect.Request[peer.FetchPartsRequest]) (*connect.Response[peer.FetchPartsResponse], error) {
	parts := s.overseer.transfers.deflatedParts(r.Msg.Document, r.Msg.Digests)
	return connect.NewResponse(&peer.FetchPartsResponse{Parts: parts}), nil
}
