package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"google.golang.org/protobuf/proto"

	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// fakeCarrier is a carrier to instances that return their own name for each
// SELECT.
type fakeCarrier struct {
	mu        sync.Mutex
	instances map[unit.InstanceName]*fakeInstance
	opened    []*peer.Open
	executed  []string
	streams   int
}

type fakeInstance struct {
	report instance.Report
	// unreachable makes the instance refuse streams and reports.
	unreachable bool
	// readOnly makes the instance refuse writes by SQLSTATE 25006.
	readOnly bool
	// refuse is the code with which each Open is refused.
	refuse result.Code
	// unresponsive makes the instance answer nothing.
	unresponsive bool
	// breakStream closes the stream after a batch has run, and breakAfterRows
	// closes it after the first rows of the response.
	breakStream, breakAfterRows bool
}

func newFake(names ...unit.InstanceName) *fakeCarrier {
	f := &fakeCarrier{instances: make(map[unit.InstanceName]*fakeInstance)}
	for i, name := range names {
		role := instance.Replica
		if i == 0 {
			role = instance.Primary
		}
		position := unit.Position{Term: 1, Index: 1}
		f.instances[name] = &fakeInstance{readOnly: i > 0, report: instance.Report{
			Instance: name, Sequence: 1, Role: role, Term: 1, Last: position, Applied: position, Primary: names[0],
		}}
	}
	return f
}

// change changes an instance and the sequence number of its report.
func (f *fakeCarrier) change(name unit.InstanceName, change func(*fakeInstance)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[name]
	change(i)
	i.report.Sequence++
}

// promote makes the instance the primary of the next term.
func (f *fakeCarrier) promote(name unit.InstanceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var term unit.Term
	for _, i := range f.instances {
		term = max(term, i.report.Term)
	}
	i := f.instances[name]
	i.readOnly = false
	i.report.Sequence++
	i.report.Role, i.report.Term, i.report.Primary = instance.Primary, term+1, name
	i.report.Last = unit.Position{Term: term + 1, Index: i.report.Last.Index + 1}
	i.report.Applied = i.report.Last
}

// replicate copies the position of the instance to all instances.
func (f *fakeCarrier) replicate(name unit.InstanceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		i.report.Sequence++
		i.report.Last, i.report.Applied = f.instances[name].report.Last, f.instances[name].report.Applied
	}
}

// takeRecorded returns the requests opened and the statements executed since
// the last call.
func (f *fakeCarrier) takeRecorded() ([]*peer.Open, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	opened, executed := f.opened, f.executed
	f.opened, f.executed = nil, nil
	return opened, executed
}

func (f *fakeCarrier) openStreams() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streams
}

func (f *fakeCarrier) Open(_ context.Context, name unit.InstanceName) (carrier.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances[name].unreachable {
		return nil, result.New(result.HomeUnreachable, "no home of %s", name)
	}
	f.streams++
	return &fakeStream{fake: f, responses: make(chan *peer.CarryResponse, 64), closed: make(chan struct{})}, nil
}

func (f *fakeCarrier) Release(_ unit.InstanceName, stream carrier.Stream) {
	stream.Close()
}

func (f *fakeCarrier) Report(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := f.instances[name]; i.unreachable || i.unresponsive {
		return instance.Report{}, result.New(result.HomeUnreachable, "no home of %s", name)
	}
	return f.instances[name].report, ctx.Err()
}

func (f *fakeCarrier) Last(name unit.InstanceName) (instance.Report, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[name].report, true
}

type fakeStream struct {
	fake      *fakeCarrier
	instance  *fakeInstance
	responses chan *peer.CarryResponse
	once      sync.Once
	closed    chan struct{}

	read       bool
	status     byte
	statements map[string]string
	portal     string
	answer     []byte
	// breakStream and breakAfterRows are copied from the instance when a batch
	// is received.
	breakStream, breakAfterRows bool
}

func (f *fakeStream) Close() {
	f.once.Do(func() {
		close(f.closed)
		f.fake.mu.Lock()
		defer f.fake.mu.Unlock()
		f.fake.streams--
	})
}

func (f *fakeStream) Receive() (*peer.CarryResponse, error) {
	select {
	case response := <-f.responses:
		return response, nil
	default:
	}
	select {
	case response := <-f.responses:
		return response, nil
	case <-f.closed:
		return nil, errors.New("stream closed")
	}
}

func (f *fakeStream) Send(request *peer.CarryRequest) error {
	// As on the way to another daemon, where texts that Protobuf can't carry end the stream.
	if _, err := proto.Marshal(request); err != nil {
		f.Close()
		return result.New(result.HomeUnreachable, "%v", err)
	}
	batch := request.GetBatch()
	if open := request.GetOpen(); open != nil {
		batch = open.Batch
		if !f.handleOpen(open) {
			return nil
		}
	} else {
		f.fake.mu.Lock()
		f.breakStream, f.breakAfterRows = f.instance.breakStream, f.instance.breakAfterRows
		f.fake.mu.Unlock()
	}
	if request.GetCancel() != nil && f.instance.unresponsive {
		// The home has not sent the batch to the instance yet.
		f.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Refused{Refused: &peer.Refused{Code: uint32(result.CancelledUnsent)}}}
		return nil
	}
	if request.GetCancel() != nil {
		f.answer, _ = sqlError("57014", "cancelled").Encode(nil)
		f.settle(true)
		return nil
	}
	if f.instance.unresponsive {
		return nil
	}
	return f.handleBatch(batch)
}

func (f *fakeStream) handleOpen(open *peer.Open) bool {
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	f.instance = f.fake.instances[unit.InstanceName(open.Instance)]
	f.fake.opened = append(f.fake.opened, open)
	f.breakStream, f.breakAfterRows = f.instance.breakStream, f.instance.breakAfterRows
	f.read, f.status = open.Class == peer.Class_CLASS_READ, statusIdle
	code := f.instance.refuse
	if f.instance.report.Applied.Before(translator.FromPosition(open.Floor)) {
		code = result.InstanceBehind
	}
	if code != 0 {
		f.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Refused{Refused: &peer.Refused{Code: uint32(code)}}}
	}
	return code == 0
}

func (f *fakeStream) handleBatch(batch *peer.Batch) error {
	if f.statements == nil {
		f.statements = make(map[string]string)
	}
	for _, s := range batch.Statements {
		f.statements[s.Name] = string(s.Query)
	}
	failed := false
	held := false
	framer.Walk(batch.Messages, func(kind byte, body []byte) bool {
		if !failed {
			failed = !f.handleMessage(kind, append([]byte(nil), body...))
		}
		held = held || f.portal == "SELECT hang"
		return true
	})
	if f.breakAfterRows {
		f.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Answer{Answer: &peer.Answer{Messages: f.answer}}}
	}
	if f.breakStream || f.breakAfterRows {
		f.fake.replicate(f.instance.report.Instance)
		f.Close()
		return nil
	}
	if !batch.Last {
		f.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Answer{Answer: &peer.Answer{Messages: f.answer}}}
		f.answer = nil
		return nil
	}
	if !held {
		f.settle(failed)
	}
	return nil
}

func (f *fakeStream) settle(failed bool) {
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	if failed && f.status == statusOpen {
		f.status = statusFailed
	}
	p := f.instance.report.Last
	f.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Settled{Settled: &peer.Settled{
		TransactionStatus: uint32(f.status),
		Position:          &peer.Position{Term: uint64(p.Term), Index: uint64(p.Index)},
		Messages:          f.answer,
	}}}
	f.answer = nil
}

func (f *fakeStream) handleMessage(kind byte, body []byte) bool {
	switch kind {
	case 'Q':
		text, _, _ := framer.CutString(body)
		for _, query := range strings.Split(text, ";") {
			if !f.execute(strings.TrimSpace(query), true) {
				return false
			}
		}
	case 'P':
		var m pgproto3.Parse
		m.Decode(body)
		if strings.HasPrefix(m.Query, "BROKEN") {
			f.reply(sqlError("42601", "syntax error"))
			return false
		}
		f.statements[m.Name] = m.Query
		f.reply(&pgproto3.ParseComplete{})
	case 'B':
		var m pgproto3.Bind
		m.Decode(body)
		query, ok := f.statements[m.PreparedStatement]
		if !ok {
			f.reply(sqlError("26000", "no statement "+m.PreparedStatement))
			return false
		}
		f.portal = query
		f.reply(&pgproto3.BindComplete{})
	case 'D':
		var m pgproto3.Describe
		m.Decode(body)
		query := f.portal
		if m.ObjectType == 'S' {
			query = f.statements[m.Name]
			var oids []uint32
			if strings.Contains(query, "$1") {
				oids = []uint32{textOID}
			}
			f.reply(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		if strings.HasPrefix(query, "SELECT") {
			f.reply(showDescription("value"))
		} else {
			f.reply(&pgproto3.NoData{})
		}
	case 'C':
		f.reply(&pgproto3.CloseComplete{})
	case 'E':
		return f.execute(f.portal, false)
	}
	return true
}

func (f *fakeStream) execute(query string, simple bool) bool {
	f.portal = query
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	f.fake.executed = append(f.fake.executed, query)
	switch verb, _, _ := strings.Cut(strings.ToUpper(query), " "); verb {
	case "SELECT":
		if strings.Contains(query, "writing()") && (f.read || f.instance.readOnly) {
			f.reply(sqlError(sqlStateReadOnly, "read-only"))
			return false
		}
		if simple {
			f.reply(showDescription("value"))
		}
		f.reply(&pgproto3.DataRow{Values: [][]byte{[]byte(f.instance.report.Instance)}})
		if !f.breakAfterRows {
			f.reply(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		}
	case "BEGIN":
		f.status = statusOpen
		f.reply(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case "COMMIT", "ROLLBACK":
		if f.status == statusFailed {
			verb = "ROLLBACK"
		}
		f.status = statusIdle
		f.reply(&pgproto3.CommandComplete{CommandTag: []byte(verb)})
	case "SET":
		f.reply(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	default:
		if f.instance.readOnly {
			f.reply(sqlError(sqlStateReadOnly, "read-only"))
			return false
		}
		f.instance.report.Last.Index++
		f.instance.report.Applied = f.instance.report.Last
		f.instance.report.Sequence++
		f.reply(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	}
	return true
}

func (f *fakeStream) reply(m pgproto3.BackendMessage) {
	f.answer, _ = m.Encode(f.answer)
}

// startupPacket returns a startup packet with the code and contents.
func startupPacket(code uint32, rest string) []byte {
	packet := binary.BigEndian.AppendUint32(nil, uint32(8+len(rest)))
	packet = binary.BigEndian.AppendUint32(packet, code)
	return append(packet, rest...)
}
