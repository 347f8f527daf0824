package overseer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

// bodies holds one document.
type bodies struct {
	mu       sync.Mutex
	document Document
}

func (b *bodies) get() Document {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.document
}

// States implements Documents.
func (b *bodies) States() map[string]DocumentState {
	d := b.get()
	return map[string]DocumentState{d.Name: {Revision: d.Revision}}
}

// Newer implements Documents.
func (b *bodies) Newer(known map[string]unit.Revision) []Document {
	if d := b.get(); known[d.Name].Before(d.Revision) {
		return []Document{d}
	}
	return nil
}

// Offer implements Documents.
func (b *bodies) Offer(d Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.document.Revision.Before(d.Revision) {
		b.document = d
	}
}

// Confirm implements Documents.
func (*bodies) Confirm(string, unit.Revision, unit.Instant) {}

// largeDocument returns a document of many routes in the version.
func largeDocument(version uint64) Document {
	const routes = 5000
	random := rand.New(rand.NewPCG(version, 0))
	var body bytes.Buffer
	for n := range routes {
		fmt.Fprintf(&body, `{"Name":"r-%x","Host":"host-%d","TimeoutMs":800,"ServiceName":"ledger"},`, random.Uint64(), n)
	}
	return Document{Name: "config", Revision: unit.Revision{Version: version}, Body: body.Bytes()}
}

// link counts the bytes that arrive. It may cut each connection after some, and be slow.
type link struct {
	perConnection int           // Zero if connections are not cut.
	perRead       int           // Zero if reads are not limited.
	pause         time.Duration // Before each read.
	mu            sync.Mutex
	received      int
}

// errCut is the error of a connection that was cut.
var errCut = errors.New("connection cut")

// dial opens a connection over the link.
func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &linkConn{Conn: c, link: l}, err
}

// total returns how many bytes have arrived.
func (l *link) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link *link
	read int
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	if limit := c.link.perConnection; limit > 0 {
		if c.read >= limit {
			return 0, errCut
		}
		p = p[:min(len(p), limit-c.read)]
	}
	if limit := c.link.perRead; limit > 0 {
		p = p[:min(len(p), limit)]
	}
	time.Sleep(c.link.pause)
	n, err := c.Conn.Read(p)
	c.read += n
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.link.received += n
	return n, err
}

// senderAndReceiver returns a daemon with the document, and one with the known document behind the link.
func senderAndReceiver(t *testing.T, document, known Document, l *link) (sender, receiver *Overseer) {
	t.Helper()
	store := &memoryStore{}
	sender, receiver = served(t, "a", store), served(t, "b", store)
	sender.documents, receiver.documents = &bodies{document: document}, &bodies{document: known}
	receiver.client = newPeerClient(l.dial)
	return sender, receiver
}

func TestLargeDocumentArrivesOverConnectionsThatAreCut(t *testing.T) {
	is := is.New(t)
	const attempts = 50
	document := largeDocument(2)
	sender, receiver := senderAndReceiver(t, document, Document{Name: "config"}, &link{perConnection: 100_000})
	for range attempts {
		receiver.fetchFrom(sender.self.Address)
	}
	is.True(bytes.Equal(receiver.documents.(*bodies).get().Body, document.Body))
}

func TestChangeOfALargeDocumentIsNotSentAsAWhole(t *testing.T) {
	is := is.New(t)
	known := largeDocument(1)
	document := Document{Name: "config", Revision: unit.Revision{Version: 2}, Body: append(bytes.Clone(known.Body), "{one route more}"...)}
	l := &link{}
	sender, receiver := senderAndReceiver(t, document, known, l)
	receiver.fetchFrom(sender.self.Address)
	is.True(bytes.Equal(receiver.documents.(*bodies).get().Body, document.Body))
	is.True(l.total() < len(document.Body)/10)
}

// heldDocuments receives a document only when it is released.
type heldDocuments struct {
	bodies
	release chan struct{}
}

// Offer implements Documents.
func (h *heldDocuments) Offer(d Document) {
	<-h.release
	h.bodies.Offer(d)
}

func TestConfirmationIsNotDelayedByADocumentThatIsBeingReceived(t *testing.T) {
	is := is.New(t)
	const patience = 20 * time.Second // It is spent only if the confirmation is delayed.
	sender, receiver := senderAndReceiver(t, largeDocument(2), Document{Name: "config"}, &link{})
	held := &heldDocuments{bodies: bodies{document: Document{Name: "config"}}, release: make(chan struct{})}
	receiver.documents = held
	is.NoErr(sender.read())
	confirmed := make(chan error, 1)
	go func() { confirmed <- relay(receiver, sender) }()
	select {
	case err := <-confirmed:
		is.NoErr(err)
	case <-time.After(patience):
		t.Error("not confirmed while a document is being received")
	}
	close(held.release)
}

func TestAssembledDocumentIsNotHeldTwice(t *testing.T) {
	is := is.New(t)
	sender, receiver := senderAndReceiver(t, largeDocument(2), largeDocument(1), &link{})
	receiver.fetchFrom(sender.self.Address)
	is.Equal(receiver.documents.(*bodies).get().Revision.Version, uint64(2))
	is.Equal(len(receiver.transfers.assemblers), 0)
}

func TestSenderWithoutTheMissingPartsEndsTheTransfer(t *testing.T) {
	is := is.New(t)
	document := largeDocument(2)
	sender, receiver := senderAndReceiver(t, document, Document{Name: "config"}, &link{})
	offered := sender.offeredDocuments(nil, true)
	is.Equal(len(offered), 1)
	sender.transfers.offer(largeDocument(3)) // It has a newer version by now.
	_, _, err := receiver.fetchBody(sender.self.Address, offered[0])
	is.Equal(err, errNoPart)
}
