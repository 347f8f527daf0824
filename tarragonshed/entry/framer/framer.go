// Package framer splits byte streams of the PostgreSQL protocol into messages: it
// reads the messages of a caller and iterates over the responses of an instance.
// It does not decode message bodies.
//
// # Memory
//
// A [Reader] takes a buffer from a pool at the first byte of a message and
// returns it in [Reader.Release], so that an idle connection holds no buffer.
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
	"cmp"
	"encoding/binary"
	"io"
	"sync"

	"tarragonshed.example/result"
)

// Sizes in bytes.
const (
	MiB = 1 << 20
	// HeaderSize is the size of the type and length fields of a message.
	HeaderSize = 5
	bufferSize = 4096
	chunkSize  = 64 << 10
	// skipLimit is the maximum length of a message that is skipped because it is
	// too large. PostgreSQL sends no larger messages.
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
	grant      func(bytes int) error
}

// New returns a Reader that rejects bodies longer than limit bytes.
func New(source io.Reader, limit int) *Reader {
	return &Reader{source: source, limit: limit}
}

// SetBudget sets the function that grants the memory for a body that does not fit into the buffer. It
// is called before the memory is used, with the total for the body, and may wait. If it fails, the body is
// skipped, and Next returns its error with the type; the following message can be read.
func (r *Reader) SetBudget(grant func(bytes int) error) { r.grant = grant }

// Reset sets the source of the Reader. Buffered bytes are kept.
func (r *Reader) Reset(source io.Reader) {
	r.source = source
}

// Buffered reports whether bytes have been read from the source that Next has
// not consumed.
func (r *Reader) Buffered() bool {
	return r.awaited || r.end > r.start
}

// Await blocks until the first byte of the next message has been received.
func (r *Reader) Await() error {
	if r.Buffered() {
		return nil
	}
	_, err := io.ReadFull(r.source, r.first[:])
	r.awaited = err == nil
	return err
}

// Whole reports whether the next message has been read from the source as a whole.
func (r *Reader) Whole() bool {
	if r.awaited || r.end-r.start < HeaderSize {
		return false
	}
	return r.end-r.start > int(binary.BigEndian.Uint32(r.buffer[r.start+1:]))
}

// Release returns the buffer to the pool unless it holds unconsumed bytes.
func (r *Reader) Release() {
	if r.buffer == nil || r.end > r.start {
		return
	}
	buffers.Put(r.buffer)
	r.buffer, r.start, r.end = nil, 0, 0
}

// Next returns the type and the body of the next message. The body is valid
// until the next call. A body over the limit is skipped, and Next returns
// [result.StatementTooLarge] with the type; the following message can be read.
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

// fill reads from the source until the buffer holds at least n bytes.
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
	// A long body is read in growing chunks, so that a caller that announces a
	// large length without sending the bytes does not cause a large allocation.
	var body []byte
	for len(body) < length {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), chunkSize), length)
			if err := r.reserve(size); err != nil {
				return nil, cmp.Or(r.skip(length-len(body)), err)
			}
			body = append(make([]byte, 0, size), body...)
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

// reserve asks for the memory for a body.
func (r *Reader) reserve(size int) error {
	if r.grant == nil {
		return nil
	}
	return r.grant(size)
}

func (r *Reader) skip(length int) error {
	used := min(length, r.end-r.start)
	r.start += used
	_, err := io.CopyN(io.Discard, r.source, int64(length-used))
	return unexpected(err, true)
}

// unexpected replaces io.EOF by io.ErrUnexpectedEOF if a part of a message has
// been read.
func unexpected(err error, partial bool) error {
	if err == io.EOF && partial {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Walk calls visit with the type and the body of each message, until visit
// returns false. It returns false if a message is truncated or has an invalid
// length.
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

// Append appends a message of the given type and body to buffer.
func Append(buffer []byte, kind byte, body []byte) []byte {
	buffer = append(buffer, kind)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)+4))
	return append(buffer, body...)
}

// CutString returns the zero-terminated string at the start of body, without its
// terminator, and the rest of body. It returns false if there is no terminator.
func CutString(body []byte) (string, []byte, bool) {
	for i, c := range body {
		if c == 0 {
			return string(body[:i]), body[i+1:], true
		}
	}
	return "", body, false
}
