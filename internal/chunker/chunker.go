// Package chunker splits a stream into reads of given sizes, so that tests can show a reader of
// messages each way in which they may arrive.
//
// # Usage
//
//	r := coder.NewReader(chunker.New(stream, []byte{0, 255})) // Reads of 1 and 256 bytes, in turn.
package chunker

import "io"

// Chunker returns a stream in chunks.
type Chunker struct {
	stream []byte
	sizes  []byte
	reads  int
}

// New returns a Chunker of the stream. The chunks are one byte longer than the sizes, which are used
// in turn. Without sizes the whole stream is one chunk.
func New(stream, sizes []byte) *Chunker { return &Chunker{stream: stream, sizes: sizes} }

// Read implements [io.Reader].
func (c *Chunker) Read(b []byte) (int, error) {
	if len(c.stream) == 0 {
		return 0, io.EOF
	}
	size := len(c.stream)
	if len(c.sizes) > 0 {
		size = 1 + int(c.sizes[c.reads%len(c.sizes)])
	}
	c.reads++
	n := copy(b[:min(size, len(b))], c.stream)
	c.stream = c.stream[n:]
	return n, nil
}
