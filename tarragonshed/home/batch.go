package home

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

// headerSize is the size of a message's type and length.
const headerSize = 5

// frame is one whole message of a batch.
type frame struct {
	kind byte
	raw  []byte // With its header.
}

func (f frame) body() []byte { return f.raw[headerSize:] }

// split cuts the first message off a batch.
func split(b []byte) (frame, []byte, error) {
	if len(b) < headerSize {
		return frame{}, nil, result.New(result.ProtocolViolation, "a message is cut")
	}
	size := int(binary.BigEndian.Uint32(b[1:headerSize])) + 1
	if size < headerSize || size > len(b) {
		return frame{}, nil, result.New(result.ProtocolViolation, "a message is cut")
	}
	return frame{kind: b[0], raw: b[:size]}, b[size:], nil
}

// send notes the answers that a batch will have, adds what the connection needs
// to have prepared, and writes it. It reports whether any byte may have reached
// the instance.
func (c *conn) send(b *peer.Batch) (sent bool, err error) {
	c.mu.Lock()
	out, err := c.compose(b)
	c.mu.Unlock()
	if err != nil {
		return false, err
	}
	return c.write(out)
}

// compose returns the bytes to write. The lock is held.
func (c *conn) compose(b *peer.Batch) ([]byte, error) {
	if err := check(b.Messages); err != nil {
		return nil, err
	}
	out := c.prepare(b)
	if len(out) == 0 && !c.mustRewrite(b.Messages) {
		return b.Messages, c.noteAll(b.Messages)
	}
	for rest := b.Messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return nil, err
		}
		if name, ok := parsedName(f); ok && name != "" && c.prepared.exists(name) {
			out = c.injectClose(out, name)
		}
		c.note(f)
		out = append(out, f.raw...)
		rest = after
	}
	return out, nil
}

// check refuses what would end the connection or leave it in another protocol.
func check(messages []byte) error {
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return err
		}
		switch f.kind {
		case 'P', 'B', 'D', 'E', 'C', 'S', 'Q', 'F', 'H':
		default:
			return result.New(result.ProtocolViolation, "a batch has a message of type %q", f.kind)
		}
		rest = after
	}
	return nil
}

// prepare injects the statements that the batch refers to and the connection
// does not have.
func (c *conn) prepare(b *peer.Batch) []byte {
	var out []byte
	for _, s := range b.Statements {
		if c.prepared.has(s) {
			continue
		}
		if s.Name != "" && c.prepared.exists(s.Name) {
			out = c.injectClose(out, s.Name)
		}
		out = append(out, encode(&pgproto3.Parse{Name: s.Name, Query: s.Query, ParameterOIDs: s.ParameterTypes})...)
		if c.push(owed{kind: 'P', swallow: true, name: s.Name}) {
			c.prepared.note(s.Name, s.Query, s.ParameterTypes)
		}
	}
	for {
		name, ok := c.prepared.surplus()
		if !ok || refersTo(b, name) {
			break
		}
		out = c.injectClose(out, name)
	}
	if len(out) > 0 && len(b.Messages) > 0 && b.Messages[0] == 'Q' {
		// A failed Parse would make the instance skip the query.
		out = append(out, encode(&pgproto3.Sync{})...)
		c.push(owed{kind: 'S', swallow: true})
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
	if c.push(owed{kind: 'C', swallow: true, name: name}) {
		c.prepared.drop(name)
	}
	return append(out, encode(&pgproto3.Close{ObjectType: 'S', Name: name})...)
}

// mustRewrite reports whether a Parse of the batch takes a name that exists.
func (c *conn) mustRewrite(messages []byte) bool {
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return false
		}
		if name, ok := parsedName(f); ok && name != "" && c.prepared.exists(name) {
			return true
		}
		rest = after
	}
	return false
}

func (c *conn) noteAll(messages []byte) error {
	for rest := messages; len(rest) > 0; {
		f, after, err := split(rest)
		if err != nil {
			return err
		}
		c.note(f)
		rest = after
	}
	return nil
}

// note notes the answer that one of the caller's messages will have.
func (c *conn) note(f frame) {
	switch f.kind {
	case 'H':
		return
	case 'P':
		c.noteParse(f)
	case 'C':
		c.noteClose(f)
	case 'Q':
		c.prepared.dropUnnamed()
		c.push(owed{kind: 'Q'})
	default:
		c.push(owed{kind: f.kind})
	}
}

func (c *conn) noteParse(f frame) {
	var parse pgproto3.Parse
	if parse.Decode(f.body()) != nil {
		c.push(owed{kind: 'P'})
		return
	}
	if c.push(owed{kind: 'P', name: parse.Name}) {
		c.prepared.note(parse.Name, parse.Query, parse.ParameterOIDs)
	}
}

func (c *conn) noteClose(f frame) {
	var message pgproto3.Close
	if message.Decode(f.body()) != nil || message.ObjectType != 'S' {
		c.push(owed{kind: 'C'})
		return
	}
	if c.push(owed{kind: 'C', name: message.Name}) {
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

// encode encodes a message of the home's own, which can't fail by its size.
func encode(message pgproto3.FrontendMessage) []byte {
	b, err := message.Encode(nil)
	if err != nil {
		return nil
	}
	return b
}
