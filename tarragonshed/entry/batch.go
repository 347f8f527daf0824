package entry

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/classifier"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/wire/peer"
)

// statement is a prepared statement of a session. It is immutable.
type statement struct {
	wire  *peer.Statement
	query classifier.Query
}

// step is one message of a batch.
type step struct {
	kind byte
	// statement is what Query holds, or what Parse, Bind, Describe and Execute
	// refer to.
	statement *statement
	// text is the query of Query.
	text classifier.Query
	// portal tells that Describe and Close name a portal.
	portal bool
}

// definition is a Parse of the batch and what it replaced in the session.
type definition struct {
	name     string
	previous *statement
}

// batch is what a caller sent up to Sync, or one Query.
type batch struct {
	session *session
	// messages are what the home is to send.
	messages []byte
	steps    []step
	// used are statements that the messages refer to and do not define.
	used     []*peer.Statement
	defined  []definition
	portals  map[string]*statement
	received int
	ended    bool
	// fault is why the batch can't be run.
	fault error
	// reported tells that the caller has been told of the fault.
	reported bool
	// answered is the number of steps that were answered before Sync.
	answered int
	// stream is set once a part of the batch has been sent before Sync.
	stream *stream
	// shared tells that a broken lane may still hold the messages.
	shared bool
}

func newBatch(s *session) *batch {
	return &batch{session: s, messages: takeBuffer()}
}

// free gives back the buffer.
func (b *batch) free() {
	if !b.shared {
		releaseBuffer(b.messages)
	}
	b.messages = nil
}

// collect reads messages until the batch ends. It returns false if the session
// ends.
func (s *session) collect(b *batch) bool {
	for !b.ended {
		more, err := s.collectOne(b)
		if err == nil && more {
			continue
		}
		if b.stream != nil {
			b.stream.abandon()
		}
		s.fatal(err)
		return false
	}
	return true
}

// collectOne reads one message. It returns false or an error if the session
// ends.
func (s *session) collectOne(b *batch) (bool, error) {
	kind, body, err := s.reader.Next()
	switch {
	case err != nil && result.CodeOf(err) == result.StatementTooLarge:
		b.refuse(err)
		b.ended = kind == 'Q' || kind == 'F'
		return true, nil
	case err != nil:
		return false, err
	case kind == 'X':
		return false, nil
	}
	if err := b.add(kind, body); err != nil {
		return false, err
	}
	if kind == 'H' {
		return s.advance(b), nil
	}
	return true, nil
}

func (b *batch) refuse(err error) {
	if b.fault == nil {
		b.fault = err
	}
}

// add takes one message. An error ends the session.
func (b *batch) add(kind byte, body []byte) error {
	b.received += len(body) + framer.HeaderSize
	if b.received > b.session.entry.limits.MaxBatch {
		b.refuse(result.New(result.StatementTooLarge, "the pipelined messages have more than %d bytes", b.session.entry.limits.MaxBatch))
	}
	b.ended = kind == 'Q' || kind == 'S' || kind == 'F'
	if b.fault != nil {
		return nil
	}
	switch kind {
	case 'Q':
		return b.addQuery(body)
	case 'P':
		return b.addParse(body)
	case 'B':
		return b.addBind(body)
	case 'D', 'C':
		return b.addTarget(kind, body)
	case 'E':
		return b.addExecute(body)
	case 'S':
		b.steps = append(b.steps, step{kind: kind})
		b.messages = framer.Append(b.messages, kind, body)
	case 'F':
		b.refuse(result.New(result.NotCarried, "the function call protocol is not carried"))
	case 'H':
		b.messages = framer.Append(b.messages, kind, body)
	case 'd', 'c', 'f':
		// COPY messages outside of COPY are ignored, as PostgreSQL does.
	default:
		return result.New(result.ProtocolViolation, "message %q is not known", kind)
	}
	return nil
}

var errTruncated = result.New(result.ProtocolViolation, "a message is shorter than its contents")

func (b *batch) addQuery(body []byte) error {
	text, _, ok := framer.CutString(body)
	if !ok {
		return errTruncated
	}
	parsed := classifier.Parse(text)
	b.steps = append(b.steps, step{kind: 'Q', text: parsed})
	if rewritten := localSettings(text, parsed); rewritten != text {
		body = append([]byte(rewritten), 0)
	}
	b.messages = framer.Append(b.messages, 'Q', body)
	return nil
}

func (b *batch) addParse(body []byte) error {
	name, rest, ok := framer.CutString(body)
	if !ok {
		return errTruncated
	}
	query, rest, ok := framer.CutString(rest)
	if !ok || len(rest) < 2 || len(rest) < 2+4*int(binary.BigEndian.Uint16(rest)) {
		return errTruncated
	}
	s := prepare(query, rest)
	b.define(name, s)
	b.steps = append(b.steps, step{kind: 'P', statement: s})
	start := len(b.messages)
	b.messages = append(b.messages, 'P', 0, 0, 0, 0)
	b.messages = appendString(b.messages, s.wire.Name)
	b.messages = appendString(b.messages, s.wire.Query)
	b.messages = append(b.messages, rest...)
	b.finish(start)
	return nil
}

// prepare returns the statement of a query and the encoded parameter types.
func prepare(query string, types []byte) *statement {
	parsed := classifier.Parse(query)
	query = localSettings(query, parsed)
	digest := xxhash.New()
	digest.WriteString(query)
	digest.Write(types)
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	s := &statement{
		wire:  &peer.Statement{Name: "ts_" + hex.EncodeToString(sum[:]), Query: query},
		query: parsed,
	}
	for count := binary.BigEndian.Uint16(types); count > 0; count-- {
		types = types[2:]
		s.wire.ParameterTypes = append(s.wire.ParameterTypes, binary.BigEndian.Uint32(types))
		types = types[2:]
	}
	return s
}

// define gives the session's statement name a new meaning, which is taken back
// if the batch fails.
func (b *batch) define(name string, s *statement) {
	if b.session.statements == nil {
		b.session.statements = make(map[string]*statement)
	}
	b.defined = append(b.defined, definition{name: name, previous: b.session.statements[name]})
	b.session.statements[name] = s
}

// settleDefinitions keeps the first definitions and takes back the others.
func (b *batch) settleDefinitions(confirmed int) {
	for i := len(b.defined) - 1; i >= confirmed; i-- {
		d := b.defined[i]
		if d.previous == nil {
			delete(b.session.statements, d.name)
		} else {
			b.session.statements[d.name] = d.previous
		}
	}
	b.defined = nil
}

// use notes that the messages refer to a statement.
func (b *batch) use(s *statement) {
	for _, u := range b.used {
		if u.Name == s.wire.Name {
			return
		}
	}
	for _, done := range b.steps {
		if done.kind == 'P' && done.statement.wire.Name == s.wire.Name {
			return
		}
	}
	b.used = append(b.used, s.wire)
}

// unprepared is the name of a statement that no session prepares.
const unprepared = "ts_none"

func (b *batch) find(name string) (*statement, string) {
	s := b.session.statements[name]
	if s == nil {
		return nil, unprepared
	}
	b.use(s)
	return s, s.wire.Name
}

func (b *batch) addBind(body []byte) error {
	portal, rest, ok := framer.CutString(body)
	if !ok {
		return errTruncated
	}
	name, rest, ok := framer.CutString(rest)
	if !ok {
		return errTruncated
	}
	s, wireName := b.find(name)
	if b.portals == nil {
		b.portals = make(map[string]*statement)
	}
	b.portals[portal] = s
	b.steps = append(b.steps, step{kind: 'B', statement: s})
	start := len(b.messages)
	b.messages = append(b.messages, 'B', 0, 0, 0, 0)
	b.messages = appendString(b.messages, portal)
	b.messages = appendString(b.messages, wireName)
	b.messages = append(b.messages, rest...)
	b.finish(start)
	return nil
}

// addTarget takes Describe or Close.
func (b *batch) addTarget(kind byte, body []byte) error {
	if len(body) < 2 {
		return errTruncated
	}
	name, _, ok := framer.CutString(body[1:])
	if !ok {
		return errTruncated
	}
	added := step{kind: kind, portal: body[0] == 'P'}
	wireName := name
	switch {
	case added.portal:
		added.statement = b.portals[name]
	case kind == 'C':
		// Other sessions may use the statement on the connection: closing a
		// name that is not prepared gets the same answer.
		delete(b.session.statements, name)
		wireName = unprepared
	default:
		added.statement, wireName = b.find(name)
	}
	b.steps = append(b.steps, added)
	start := len(b.messages)
	b.messages = append(b.messages, kind, 0, 0, 0, 0, body[0])
	b.messages = appendString(b.messages, wireName)
	b.finish(start)
	return nil
}

func (b *batch) addExecute(body []byte) error {
	portal, _, ok := framer.CutString(body)
	if !ok {
		return errTruncated
	}
	b.steps = append(b.steps, step{kind: 'E', statement: b.portals[portal]})
	b.messages = framer.Append(b.messages, 'E', body)
	return nil
}

// finish writes the length of the message that begins at start.
func (b *batch) finish(start int) {
	binary.BigEndian.PutUint32(b.messages[start+1:], uint32(len(b.messages)-start-1))
}

func appendString(buffer []byte, s string) []byte {
	return append(append(buffer, s...), 0)
}

// localSettings turns SET and RESET into SET LOCAL, so that a connection's
// settings end with the transaction.
func localSettings(text string, parsed classifier.Query) string {
	for i := len(parsed.Statements) - 1; i >= 0; i-- {
		s := parsed.Statements[i]
		switch {
		case s.Kind == classifier.Set && !s.Local && !strings.HasPrefix(s.Name, parameterPrefix):
			text = text[:s.Start] + "SET LOCAL " + text[s.NameStart:]
		case s.Kind == classifier.Reset && s.Name != "" && !strings.HasPrefix(s.Name, parameterPrefix):
			text = text[:s.Start] + "SET LOCAL " + text[s.NameStart:s.End] + " TO DEFAULT" + text[s.End:]
		}
	}
	return text
}
