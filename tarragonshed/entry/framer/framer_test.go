package framer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/internal/chunker"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/framer"
)

const limit = 10_000

// message is a message as the protocol defines it: a type, a length that counts itself, a body.
type message struct {
	kind byte
	body []byte
}

func (m message) encode() []byte {
	return append(binary.BigEndian.AppendUint32([]byte{m.kind}, uint32(4+len(m.body))), m.body...)
}

// checkMessages fails the test unless a Reader returns the messages, however they arrive, and then the
// end of the stream. A body over the limit is skipped.
func checkMessages(t *testing.T, messages []message, sizes []byte, awaits bool) {
	t.Helper()
	var stream []byte
	for _, m := range messages {
		stream = append(stream, m.encode()...)
	}
	r := framer.New(chunker.New(stream, sizes), limit)
	for _, m := range messages {
		if awaits {
			if err := r.Await(); err != nil {
				t.Fatal(err)
			}
		}
		whole, available := r.Whole(), r.Buffered()
		kind, body, err := r.Next()
		tooLarge := len(m.body) > limit
		if kind != m.kind || tooLarge != (result.CodeOf(err) == result.StatementTooLarge) || !tooLarge && (err != nil || !bytes.Equal(body, m.body)) {
			t.Fatalf("got %q with %d bytes, %v, want %q with %d", kind, len(body), err, m.kind, len(m.body))
		}
		if whole && !available {
			t.Fatalf("a message is whole of which nothing is buffered")
		}
		r.Release()
	}
	if _, _, err := r.Next(); err != io.EOF {
		t.Fatalf("got %v at the end of the stream", err)
	}
}

// TestRoundTrips checks messages of all bytes, split anywhere, several in one segment, around the size of
// the buffer and the limit. The messages are the same in every run.
func TestRoundTrips(t *testing.T) {
	random := rand.New(rand.NewPCG(37, 2))
	lengths := []int{0, 0, 1, 5, 100, 4090, 4091, 4092, 4096, 4097, limit - 1, limit, limit + 1, 3 * limit}
	for range 3000 {
		messages := make([]message, random.IntN(5))
		for n := range messages {
			body := make([]byte, lengths[random.IntN(len(lengths))])
			for i := range body {
				body[i] = byte(random.UintN(256))
			}
			messages[n] = message{kind: byte(random.UintN(256)), body: body}
		}
		sizes := make([]byte, random.IntN(4))
		for n := range sizes {
			sizes[n] = byte(random.UintN(256))
		}
		checkMessages(t, messages, sizes, random.IntN(2) == 0)
	}
}

// TestSplitAtEachByte checks two messages that arrive in two parts.
func TestSplitAtEachByte(t *testing.T) {
	messages := []message{{kind: 'Q', body: []byte("a\r\nb\x00")}, {kind: 'S'}}
	for at := range 14 {
		checkMessages(t, messages, []byte{byte(at), 255}, true)
		checkMessages(t, messages, []byte{byte(at), 255}, false)
	}
}

func TestWhole(t *testing.T) {
	is := is.New(t)
	first, second := message{kind: 'Q', body: []byte("SELECT 1\x00")}.encode(), message{kind: 'S'}.encode()
	r := framer.New(bytes.NewReader(append(append(first, second...), 'Q', 0, 0)), limit)
	is.True(!r.Whole()) // Nothing has been read.
	_, _, err := r.Next()
	is.NoErr(err)
	is.True(r.Whole())
	_, _, err = r.Next()
	is.NoErr(err)
	is.True(!r.Whole()) // Only a part of its header has come.
	_, _, err = r.Next()
	is.Equal(err, io.ErrUnexpectedEOF)
}
