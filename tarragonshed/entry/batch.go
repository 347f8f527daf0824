package entry

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"os"
	"strings"
	"time"

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

// step is one message of a batch that a response is sent for.
type step struct {
	kind byte
	// statement is the prepared statement that Parse, Bind, Describe or Execute
	// refers to, or nil if it does not exist.
	statement *statement
	// simpleQuery is the parsed text of a Query message.
	simpleQuery classifier.Query
	// portal is true if Describe or Close names a portal.
	portal bool
}

// definition records a Parse of the batch: the name that it defined and the
// statement that had the name before.
type definition struct {
	name     string
	previous *statement
}

// batch holds the messages of a caller up to Sync, or one Query.
type batch struct {
	session *session
	// messages are the encoded messages for the home.
	messages []byte
	steps    []step
	// referenced are the statements that the messages refer to but don't
	// define.
	referenced []*peer.Statement
	defined    []definition
	portals    map[string]*statement
	received   int
	ended      bool
	// ahead is true if the batch began to arrive before the previous one was answered.
	ahead bool
	// held is the memory that is granted for the messages, and stateBytes that of the
	// statements that the batch prepares.
	held, stateBytes int
	// redefines is true if the batch may change the prepared statements.
	redefines bool
	// fault is the reason why the batch can't be run, or nil.
	fault error
	// reported is true if an error response for the batch has been queued.
	reported bool
	// answered is the number of steps that were answered before Sync.
	answered int
	// flushRun is set once a part of the batch has been sent before Sync.
	flushRun *flushRun
	// shared is true if a broken stream may still refer to messages, so that
	// the buffer must not be reused.
	shared bool
}

func newBatch(s *session) *batch {
	return &batch{session: s, messages: takeBuffer()}
}

// free returns the buffer to the pool.
func (b *batch) free() {
	if !b.shared {
		releaseBuffer(b.messages)
	}
	b.messages = nil
}

// collect reads messages until the batch is complete. It returns false if the
// session ends.
func (s *session) collect(b *batch) bool {
	for !b.ended {
		more, err := s.collectMessage(b)
		if err == nil && more {
			continue
		}
		if b.flushRun != nil {
			b.flushRun.abandon()
		}
		s.fatal(err)
		return false
	}
	return true
}

// collectMessage reads one message. It returns false or an error if the session
// ends.
func (s *session) collectMessage(b *batch) (bool, error) {
	kind, body, err := s.nextMessage()
	switch {
	case err != nil && (result.CodeOf(err) == result.StatementTooLarge || result.CodeOf(err) == result.Overloaded):
		b.setFault(err)
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
		return s.runPart(b), nil
	}
	return true, nil
}

// nextMessage reads one message. From its first byte on it must arrive within the statement timeout,
// so that half a message does not hold its memory for as long as the caller likes.
func (s *session) nextMessage() (byte, []byte, error) {
	if err := s.reader.Await(); err != nil {
		return 0, nil, err
	}
	if s.reader.Whole() {
		return s.reader.Next()
	}
	s.conn.SetReadDeadline(time.Now().Add(s.entry.limits.StatementTimeout))
	kind, body, err := s.reader.Next()
	s.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = result.New(result.ProtocolViolation, "a message was not received within %v", s.entry.limits.StatementTimeout)
	}
	return kind, body, err
}

// setFault sets the fault of the batch unless it has one.
func (b *batch) setFault(err error) {
	if b.fault == nil {
		b.fault = err
	}
}

// add adds one message to the batch. An error ends the session.
func (b *batch) add(kind byte, body []byte) error {
	b.received += len(body) + framer.HeaderSize
	if b.received > b.session.entry.limits.MaxBatch {
		b.setFault(result.New(result.StatementTooLarge, "the pipelined messages have more than %d bytes", b.session.entry.limits.MaxBatch))
	}
	b.ended = kind == 'Q' || kind == 'S' || kind == 'F'
	if b.fault != nil || b.hold(0) != nil {
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
		return b.addDescribeOrClose(kind, body)
	case 'E':
		return b.addExecute(body)
	case 'S':
		b.steps = append(b.steps, step{kind: kind})
		b.messages = framer.Append(b.messages, kind, body)
	case 'F':
		b.setFault(result.New(result.NotCarried, "the function call protocol is not supported"))
	case 'H':
		b.messages = framer.Append(b.messages, kind, body)
	case 'd', 'c', 'f':
		// COPY messages outside of COPY are ignored, as PostgreSQL does.
	default:
		return result.New(result.ProtocolViolation, "unknown message type %q", kind)
	}
	return nil
}

var errTruncated = result.New(result.ProtocolViolation, "a message is too short for its fields")

func (b *batch) addQuery(body []byte) error {
	text, _, ok := framer.CutString(body)
	if !ok {
		return errTruncated
	}
	parsed := classifier.Parse(text)
	b.steps = append(b.steps, step{kind: 'Q', simpleQuery: parsed})
	if rewritten := rewriteSettings(text, parsed); rewritten != text {
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
	b.redefines = true
	if err := b.holdStatement(len(name) + len(query)); err != nil {
		b.setFault(err)
		return nil
	}
	s := prepare(query, rest)
	b.define(name, s)
	b.steps = append(b.steps, step{kind: 'P', statement: s})
	start := len(b.messages)
	b.messages = append(b.messages, 'P', 0, 0, 0, 0)
	b.messages = appendString(b.messages, s.wire.Name)
	b.messages = appendString(b.messages, string(s.wire.Query))
	b.messages = append(b.messages, rest...)
	b.endMessage(start)
	return nil
}

// prepare returns a statement for the text of a query and its encoded parameter
// types. The name of the statement at the home is derived from both.
func prepare(query string, types []byte) *statement {
	parsed := classifier.Parse(query)
	query = rewriteSettings(query, parsed)
	digest := xxhash.New()
	digest.WriteString(query)
	digest.Write(types)
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	s := &statement{
		wire:  &peer.Statement{Name: "ts_" + hex.EncodeToString(sum[:]), Query: []byte(query)},
		query: parsed,
	}
	for count := binary.BigEndian.Uint16(types); count > 0; count-- {
		types = types[2:]
		s.wire.ParameterTypes = append(s.wire.ParameterTypes, binary.BigEndian.Uint32(types))
		types = types[2:]
	}
	return s
}

// define sets the prepared statement of a name. The definition is reverted if
// the batch fails.
func (b *batch) define(name string, s *statement) {
	if b.session.statements == nil {
		b.session.statements = make(map[string]*statement)
	}
	b.defined = append(b.defined, definition{name: name, previous: b.session.statements[name]})
	b.session.statements[name] = s
}

// resolveDefinitions keeps the first confirmed definitions of the batch and
// reverts the others.
func (b *batch) resolveDefinitions(confirmed int) {
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

// reference records that the messages refer to a statement, unless the batch
// itself defines it.
func (b *batch) reference(s *statement) {
	for _, u := range b.referenced {
		if u.Name == s.wire.Name {
			return
		}
	}
	for _, done := range b.steps {
		if done.kind == 'P' && done.statement.wire.Name == s.wire.Name {
			return
		}
	}
	b.referenced = append(b.referenced, s.wire)
}

// unprepared is a statement name that is never prepared on a connection. The
// instance then reports the same error as for any missing statement.
const unprepared = "ts_none"

// resolve returns the prepared statement of a name, or nil, and its name at the
// home.
func (b *batch) resolve(name string) (*statement, string) {
	s := b.session.statements[name]
	if s == nil {
		return nil, unprepared
	}
	b.reference(s)
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
	s, wireName := b.resolve(name)
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
	b.endMessage(start)
	return nil
}

// addDescribeOrClose adds a Describe or Close message.
func (b *batch) addDescribeOrClose(kind byte, body []byte) error {
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
		// Other sessions may use the statement on the pooled connection, so it
		// stays prepared. Closing an unprepared name gets the same response.
		b.redefines = true
		delete(b.session.statements, name)
		wireName = unprepared
	default:
		added.statement, wireName = b.resolve(name)
	}
	b.steps = append(b.steps, added)
	start := len(b.messages)
	b.messages = append(b.messages, kind, 0, 0, 0, 0, body[0])
	b.messages = appendString(b.messages, wireName)
	b.endMessage(start)
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

// endMessage writes the length of the message that begins at start.
func (b *batch) endMessage(start int) {
	binary.BigEndian.PutUint32(b.messages[start+1:], uint32(len(b.messages)-start-1))
}

func appendString(buffer []byte, s string) []byte {
	return append(append(buffer, s...), 0)
}

// rewriteSettings replaces SET and RESET by SET LOCAL, so that the settings of
// a pooled connection end with the transaction.
func rewriteSettings(text string, parsed classifier.Query) string {
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
