package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/carrier"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// fake is a carrier to instances that share one row.
type fake struct {
	mu        sync.Mutex
	instances map[unit.InstanceName]*fakeInstance
	opened    []*peer.Open
	executed  []string
	lanes     int
}

type fakeInstance struct {
	report instance.Report
	// unreachable refuses lanes and reports.
	unreachable bool
	// readOnly refuses writes by SQLSTATE 25006.
	readOnly bool
	// refuse refuses each Open.
	refuse result.Code
	// silent answers nothing.
	silent bool
	// sever breaks the lane once it has run a batch, or behind its first rows.
	sever, severRows bool
}

func newFake(names ...unit.InstanceName) *fake {
	f := &fake{instances: make(map[unit.InstanceName]*fakeInstance)}
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

// change changes the instance and its report.
func (f *fake) change(name unit.InstanceName, change func(*fakeInstance)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[name]
	change(i)
	i.report.Sequence++
}

// promote makes the instance the primary of the next term.
func (f *fake) promote(name unit.InstanceName) {
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

// replicate has all instances apply the log of the instance.
func (f *fake) replicate(name unit.InstanceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		i.report.Sequence++
		i.report.Last, i.report.Applied = f.instances[name].report.Last, f.instances[name].report.Applied
	}
}

// take returns what was opened and executed since the last call.
func (f *fake) take() ([]*peer.Open, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	opened, executed := f.opened, f.executed
	f.opened, f.executed = nil, nil
	return opened, executed
}

func (f *fake) openLanes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lanes
}

func (f *fake) Open(_ context.Context, name unit.InstanceName) (carrier.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances[name].unreachable {
		return nil, result.New(result.HomeUnreachable, "no home of %s", name)
	}
	f.lanes++
	return &fakeLane{fake: f, responses: make(chan *peer.CarryResponse, 64), closed: make(chan struct{})}, nil
}

func (f *fake) Release(_ unit.InstanceName, lane carrier.Stream) {
	lane.Close()
}

func (f *fake) Report(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := f.instances[name]; i.unreachable || i.silent {
		return instance.Report{}, result.New(result.HomeUnreachable, "no home of %s", name)
	}
	return f.instances[name].report, ctx.Err()
}

func (f *fake) Last(name unit.InstanceName) (instance.Report, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[name].report, true
}

type fakeLane struct {
	fake      *fake
	instance  *fakeInstance
	responses chan *peer.CarryResponse
	once      sync.Once
	closed    chan struct{}

	read       bool
	status     byte
	statements map[string]string
	portal     string
	answer     []byte
	// sever and severRows are those of the instance when the batch came.
	sever, severRows bool
}

func (l *fakeLane) Close() {
	l.once.Do(func() {
		close(l.closed)
		l.fake.mu.Lock()
		defer l.fake.mu.Unlock()
		l.fake.lanes--
	})
}

func (l *fakeLane) Receive() (*peer.CarryResponse, error) {
	select {
	case response := <-l.responses:
		return response, nil
	default:
	}
	select {
	case response := <-l.responses:
		return response, nil
	case <-l.closed:
		return nil, errors.New("lane closed")
	}
}

func (l *fakeLane) Send(request *peer.CarryRequest) error {
	batch := request.GetBatch()
	if open := request.GetOpen(); open != nil {
		batch = open.Batch
		if !l.begin(open) {
			return nil
		}
	} else {
		l.fake.mu.Lock()
		l.sever, l.severRows = l.instance.sever, l.instance.severRows
		l.fake.mu.Unlock()
	}
	if request.GetCancel() != nil && l.instance.silent {
		// Held back at the home.
		l.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Refused{Refused: &peer.Refused{Code: uint32(result.CancelledUnsent)}}}
		return nil
	}
	if request.GetCancel() != nil {
		l.answer, _ = sqlError("57014", "cancelled").Encode(nil)
		l.settle(true)
		return nil
	}
	if l.instance.silent {
		return nil
	}
	return l.run(batch)
}

func (l *fakeLane) begin(open *peer.Open) bool {
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	l.instance = l.fake.instances[unit.InstanceName(open.Instance)]
	l.fake.opened = append(l.fake.opened, open)
	l.sever, l.severRows = l.instance.sever, l.instance.severRows
	l.read, l.status = open.Class == peer.Class_CLASS_READ, statusIdle
	code := l.instance.refuse
	if l.instance.report.Applied.Before(translator.FromPosition(open.Floor)) {
		code = result.InstanceBehind
	}
	if code != 0 {
		l.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Refused{Refused: &peer.Refused{Code: uint32(code)}}}
	}
	return code == 0
}

func (l *fakeLane) run(batch *peer.Batch) error {
	if l.statements == nil {
		l.statements = make(map[string]string)
	}
	for _, s := range batch.Statements {
		l.statements[s.Name] = s.Query
	}
	failed := false
	held := false
	framer.Walk(batch.Messages, func(kind byte, body []byte) bool {
		if !failed {
			failed = !l.message(kind, append([]byte(nil), body...))
		}
		held = held || l.portal == "SELECT hang"
		return true
	})
	if l.severRows {
		l.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Answer{Answer: &peer.Answer{Messages: l.answer}}}
	}
	if l.sever || l.severRows {
		l.fake.replicate(l.instance.report.Instance)
		l.Close()
		return nil
	}
	if !batch.Last {
		l.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Answer{Answer: &peer.Answer{Messages: l.answer}}}
		l.answer = nil
		return nil
	}
	if !held {
		l.settle(failed)
	}
	return nil
}

func (l *fakeLane) settle(failed bool) {
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	if failed && l.status == statusOpen {
		l.status = statusFailed
	}
	p := l.instance.report.Last
	l.responses <- &peer.CarryResponse{Kind: &peer.CarryResponse_Settled{Settled: &peer.Settled{
		TransactionStatus: uint32(l.status),
		Position:          &peer.Position{Term: uint64(p.Term), Index: uint64(p.Index)},
		Messages:          l.answer,
	}}}
	l.answer = nil
}

func (l *fakeLane) message(kind byte, body []byte) bool {
	switch kind {
	case 'Q':
		text, _, _ := framer.CutString(body)
		for _, query := range strings.Split(text, ";") {
			if !l.execute(strings.TrimSpace(query), true) {
				return false
			}
		}
	case 'P':
		var m pgproto3.Parse
		m.Decode(body)
		if strings.HasPrefix(m.Query, "BROKEN") {
			l.reply(sqlError("42601", "syntax error"))
			return false
		}
		l.statements[m.Name] = m.Query
		l.reply(&pgproto3.ParseComplete{})
	case 'B':
		var m pgproto3.Bind
		m.Decode(body)
		query, ok := l.statements[m.PreparedStatement]
		if !ok {
			l.reply(sqlError("26000", "no statement "+m.PreparedStatement))
			return false
		}
		l.portal = query
		l.reply(&pgproto3.BindComplete{})
	case 'D':
		var m pgproto3.Describe
		m.Decode(body)
		query := l.portal
		if m.ObjectType == 'S' {
			query = l.statements[m.Name]
			var oids []uint32
			if strings.Contains(query, "$1") {
				oids = []uint32{textOID}
			}
			l.reply(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		if strings.HasPrefix(query, "SELECT") {
			l.reply(showDescription("value"))
		} else {
			l.reply(&pgproto3.NoData{})
		}
	case 'C':
		l.reply(&pgproto3.CloseComplete{})
	case 'E':
		return l.execute(l.portal, false)
	}
	return true
}

func (l *fakeLane) execute(query string, simple bool) bool {
	l.portal = query
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	l.fake.executed = append(l.fake.executed, query)
	switch verb, _, _ := strings.Cut(strings.ToUpper(query), " "); verb {
	case "SELECT":
		if strings.Contains(query, "writing()") && (l.read || l.instance.readOnly) {
			l.reply(sqlError(sqlStateReadOnly, "read-only"))
			return false
		}
		if simple {
			l.reply(showDescription("value"))
		}
		l.reply(&pgproto3.DataRow{Values: [][]byte{[]byte(l.instance.report.Instance)}})
		if !l.severRows {
			l.reply(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		}
	case "BEGIN":
		l.status = statusOpen
		l.reply(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case "COMMIT", "ROLLBACK":
		if l.status == statusFailed {
			verb = "ROLLBACK"
		}
		l.status = statusIdle
		l.reply(&pgproto3.CommandComplete{CommandTag: []byte(verb)})
	case "SET":
		l.reply(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	default:
		if l.instance.readOnly {
			l.reply(sqlError(sqlStateReadOnly, "read-only"))
			return false
		}
		l.instance.report.Last.Index++
		l.instance.report.Applied = l.instance.report.Last
		l.instance.report.Sequence++
		l.reply(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	}
	return true
}

func (l *fakeLane) reply(m pgproto3.BackendMessage) {
	l.answer, _ = m.Encode(l.answer)
}

// startupPacket returns a packet with the code and the rest.
func startupPacket(code uint32, rest string) []byte {
	packet := binary.BigEndian.AppendUint32(nil, uint32(8+len(rest)))
	packet = binary.BigEndian.AppendUint32(packet, code)
	return append(packet, rest...)
}
