// Package framer reads the messages that a caller sends and walks over those
// that an instance answers, without decoding what is in them.
//
// # Memory
//
// A [Reader] holds a buffer only between the first byte of a message and
// [Reader.Release], so that an idle connection holds none.
//
// # Usage
//
//	reader := framer.New(conn, 16*framer.MiB)
//	for {
//		if err := reader.Await(); err != nil {
//			return err
//		}
//		kind, body, err := reader.Next()
//		...
//		reader.Release()
//	}
package framer

import (
	"encoding/binary"
	"io"
	"sync"

	"tarragonshed.example/result"
)

// Sizes in bytes.
const (
	MiB = 1 << 20
	// HeaderSize is the size of a message's type and length.
	HeaderSize = 5
	bufferSize = 4096
	chunkSize  = 64 << 10
	// skipLimit is the length up to which a message that is too large is
	// passed over. PostgreSQL sends none that is larger.
	skipLimit = 1 << 30
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Reader reads whole messages. It is not safe for concurrent use.
type Reader struct {
	source     io.Reader
	limit      int
	buffer     *[bufferSize]byte
	start, end int
	first      [1]byte
	awaited    bool
}

// New returns a Reader that refuses bodies longer than limit bytes.
func New(source io.Reader, limit int) *Reader {
	return &Reader{source: source, limit: limit}
}

// Reset makes the Reader read from another source.
func (r *Reader) Reset(source io.Reader) {
	r.source = source
}

// Buffered reports whether bytes have been read that no message has used.
func (r *Reader) Buffered() bool {
	return r.awaited || r.end > r.start
}

// Await returns when a byte of the next message is there.
func (r *Reader) Await() error {
	if r.Buffered() {
		return nil
	}
	_, err := io.ReadFull(r.source, r.first[:])
	r.awaited = err == nil
	return err
}

// Release gives back the buffer if no byte in it is unused.
func (r *Reader) Release() {
	if r.buffer == nil || r.end > r.start {
		return
	}
	buffers.Put(r.buffer)
	r.buffer, r.start, r.end = nil, 0, 0
}

// Next returns the type and the body of the next message. The body is valid
// until the next call. A body over the limit is passed over, and Next returns
// [result.StatementTooLarge] with the type; the message after it can be read.
func (r *Reader) Next() (byte, []byte, error) {
	if err := r.fill(HeaderSize); err != nil {
		return 0, nil, err
	}
	header := r.buffer[r.start : r.start+HeaderSize]
	kind := header[0]
	length := int(binary.BigEndian.Uint32(header[1:])) - 4
	r.start += HeaderSize
	if length < 0 || length > skipLimit {
		return kind, nil, result.New(result.ProtocolViolation, "message %q has a length of %d bytes", kind, length)
	}
	if length > r.limit {
		if err := r.skip(length); err != nil {
			return kind, nil, err
		}
		return kind, nil, result.New(result.StatementTooLarge, "message %q has %d bytes, %d are allowed", kind, length, r.limit)
	}
	body, err := r.body(length)
	return kind, body, err
}

// fill makes at least n bytes available in the buffer.
func (r *Reader) fill(n int) error {
	if r.buffer == nil {
		r.buffer = buffers.Get().(*[bufferSize]byte)
	}
	if r.start > 0 && r.start+n > bufferSize {
		copy(r.buffer[:], r.buffer[r.start:r.end])
		r.start, r.end = 0, r.end-r.start
	}
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.awaited {
		r.awaited = false
		r.buffer[r.end] = r.first[0]
		r.end++
	}
	for r.end-r.start < n {
		read, err := r.source.Read(r.buffer[r.end:])
		r.end += read
		if err != nil && r.end-r.start < n {
			return unexpected(err, r.end > r.start)
		}
	}
	return nil
}

func (r *Reader) body(length int) ([]byte, error) {
	if length <= bufferSize {
		if err := r.fill(length); err != nil {
			return nil, err
		}
		body := r.buffer[r.start : r.start+length]
		r.start += length
		return body, nil
	}
	// A long body is read in growing steps, so that a length without its bytes
	// costs no memory.
	body := make([]byte, 0, chunkSize)
	for len(body) < length {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(2*cap(body), length))
			copy(grown, body)
			body = grown
		}
		have := len(body)
		body = body[:min(cap(body), length)]
		used := copy(body[have:], r.buffer[r.start:r.end])
		r.start += used
		if _, err := io.ReadFull(r.source, body[have+used:]); err != nil {
			return nil, unexpected(err, true)
		}
	}
	return body, nil
}

func (r *Reader) skip(length int) error {
	used := min(length, r.end-r.start)
	r.start += used
	_, err := io.CopyN(io.Discard, r.source, int64(length-used))
	return unexpected(err, true)
}

func unexpected(err error, partly bool) error {
	if err == io.EOF && partly {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Walk calls visit with the type and the body of each message in whole
// messages, until visit returns false. It returns false if the messages are not
// whole.
func Walk(messages []byte, visit func(kind byte, body []byte) bool) bool {
	for len(messages) > 0 {
		if len(messages) < HeaderSize {
			return false
		}
		length := int(binary.BigEndian.Uint32(messages[1:])) + 1
		if length < HeaderSize || length > len(messages) {
			return false
		}
		if !visit(messages[0], messages[HeaderSize:length]) {
			return true
		}
		messages = messages[length:]
	}
	return true
}

// Append appends a message to buffer.
func Append(buffer []byte, kind byte, body []byte) []byte {
	buffer = append(buffer, kind)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)+4))
	return append(buffer, body...)
}

// CutString cuts a string that ends with a zero byte off body. It returns false
// if there is none.
func CutString(body []byte) (string, []byte, bool) {
	for i, c := range body {
		if c == 0 {
			return string(body[:i]), body[i+1:], true
		}
	}
	return "", body, false
}
