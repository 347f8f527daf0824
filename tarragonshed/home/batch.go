package home

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

// headerSize is the size in bytes of a message's type and length.
const headerSize = 5

// frame is one complete message of a batch.
type frame struct {
	kind byte
	raw  []byte // Includes the header.
}

func (f frame) body() []byte { return f.raw[headerSize:] }

// split returns the first message of a batch and the remaining bytes.
func split(b []byte) (frame, []byte, error) {
	if len(b) < headerSize {
		return frame{}, nil, result.New(result.ProtocolViolation, "a batch contains a truncated message")
	}
	size := int(binary.BigEndian.Uint32(b[1:headerSize])) + 1
	if size < headerSize || size > len(b) {
		return frame{}, nil, result.New(result.ProtocolViolation, "a batch contains a truncated message")
	}
	return frame{kind: b[0], raw: b[:size]}, b[size:], nil
}

// send writes a batch, preceded by the prepared statements that it refers to and the
// connection lacks. It registers the response expected for each message, and reports
// whether any byte may have reached the instance.
func (c *conn) send(b *peer.Batch) (sent bool, err error) {
	c.mu.Lock()
	out, err := c.compose(b)
	c.mu.Unlock()
	if err != nil {
		return false, err
	}
	return c.write(out)
}

// compose returns the bytes to write. The caller holds the lock.
func (c *conn) compose(b *peer.Batch) ([]byte, error) {
	if err := validate(b.Messages); err != nil {
		return nil, err
	}
	out := c.prepare(b)
	if len(out) == 0 && !c.mustRewrite(b.Messages) {
		return b.Messages, c.expectAll(b.Messages)
	}
	for rest := b.Messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return nil, err
		}
		if name, ok := parsedName(f); ok && name != "" && c.prepared.mayExist(name) {
			out = c.injectClose(out, name)
		}
		c.expect(f)
		out = append(out, f.raw...)
		rest = after
	}
	return out, nil
}

// validate rejects messages that would end the connection or switch it to another
// protocol.
func validate(messages []byte) error {
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return err
		}
		switch f.kind {
		case 'P', 'B', 'D', 'E', 'C', 'S', 'Q', 'F', 'H':
		default:
			return result.New(result.ProtocolViolation, "a batch contains a message of unsupported type %q", f.kind)
		}
		rest = after
	}
	return nil
}

// prepare returns messages that prepare the statements that the batch refers to and
// the connection lacks, and that close the statements in excess of maxPrepared.
func (c *conn) prepare(b *peer.Batch) []byte {
	var out []byte
	for _, s := range b.Statements {
		if c.prepared.has(s) {
			continue
		}
		if s.Name != "" && c.prepared.mayExist(s.Name) {
			out = c.injectClose(out, s.Name)
		}
		out = append(out, encode(&pgproto3.Parse{Name: s.Name, Query: string(s.Query), ParameterOIDs: s.ParameterTypes})...)
		if c.push(pendingResponse{kind: 'P', discard: true, name: s.Name}) {
			c.prepared.add(s.Name, s.Query, s.ParameterTypes)
		}
	}
	for {
		name, ok := c.prepared.evictable()
		if !ok || refersTo(b, name) {
			break
		}
		out = c.injectClose(out, name)
	}
	if len(out) > 0 && len(b.Messages) > 0 && b.Messages[0] == 'Q' {
		// Without a Sync, a failed Parse would make the instance skip the query.
		out = append(out, encode(&pgproto3.Sync{})...)
		c.push(pendingResponse{kind: 'S', discard: true})
	}
	return out
}

func refersTo(b *peer.Batch, name string) bool {
	for _, s := range b.Statements {
		if s.Name == name {
			return true
		}
	}
	return false
}

func (c *conn) injectClose(out []byte, name string) []byte {
	if c.push(pendingResponse{kind: 'C', discard: true, name: name}) {
		c.prepared.drop(name)
	}
	return append(out, encode(&pgproto3.Close{ObjectType: 'S', Name: name})...)
}

// mustRewrite reports whether a Parse of the batch reuses the name of an existing
// statement, which must be closed first.
func (c *conn) mustRewrite(messages []byte) bool {
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return false
		}
		if name, ok := parsedName(f); ok && name != "" && c.prepared.mayExist(name) {
			return true
		}
		rest = after
	}
	return false
}

func (c *conn) expectAll(messages []byte) error {
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return err
		}
		c.expect(f)
		rest = after
	}
	return nil
}

// expect registers the response to one of the caller's messages.
func (c *conn) expect(f frame) {
	switch f.kind {
	case 'H':
		return
	case 'P':
		c.expectParse(f)
	case 'C':
		c.expectClose(f)
	case 'Q':
		c.prepared.dropUnnamed()
		c.push(pendingResponse{kind: 'Q'})
	default:
		c.push(pendingResponse{kind: f.kind})
	}
}

func (c *conn) expectParse(f frame) {
	var parse pgproto3.Parse
	if parse.Decode(f.body()) != nil {
		c.push(pendingResponse{kind: 'P'})
		return
	}
	if c.push(pendingResponse{kind: 'P', name: parse.Name}) {
		c.prepared.add(parse.Name, []byte(parse.Query), parse.ParameterOIDs)
	}
}

func (c *conn) expectClose(f frame) {
	var message pgproto3.Close
	if message.Decode(f.body()) != nil || message.ObjectType != 'S' {
		c.push(pendingResponse{kind: 'C'})
		return
	}
	if c.push(pendingResponse{kind: 'C', name: message.Name}) {
		c.prepared.drop(message.Name)
	}
}

func parsedName(f frame) (string, bool) {
	if f.kind != 'P' {
		return "", false
	}
	for i, b := range f.body() {
		if b == 0 {
			return string(f.body()[:i]), true
		}
	}
	return "", false
}

// encode encodes a message that the home adds. Such messages are too small for Encode
// to fail.
func encode(message pgproto3.FrontendMessage) []byte {
	b, err := message.Encode(nil)
	if err != nil {
		return nil
	}
	return b
}
