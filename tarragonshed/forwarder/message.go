package forwarder

import (
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// maxRemaining bounds a time that another daemon sends, so that adding it doesn't overflow.
const maxRemaining = 24 * time.Hour

// encodeCall returns the message for a statement, without its lease, values and time.
func encodeCall(c engine.Call) *peer.ForwardRun {
	run := &peer.ForwardRun{Request: []byte(c.ID), After: encodePosition(c.After)}
	switch st := c.Statement.(type) {
	case engine.Read:
		run.Kind, run.Text = peer.ForwardKind_FORWARD_KIND_READ, []byte(st.Text)
	case engine.Write:
		run.Kind, run.Text = peer.ForwardKind_FORWARD_KIND_WRITE, []byte(st.Text)
	case engine.Begin:
		run.Kind, run.ReadOnly = peer.ForwardKind_FORWARD_KIND_BEGIN, st.ReadOnly
	case engine.Commit:
		run.Kind = peer.ForwardKind_FORWARD_KIND_COMMIT
	case engine.Rollback:
		run.Kind = peer.ForwardKind_FORWARD_KIND_ROLLBACK
	case engine.Execute:
		run.Kind, run.Name, run.Text = peer.ForwardKind_FORWARD_KIND_EXECUTE, []byte(st.Name), []byte(st.Text)
		run.Definition = encodeDefinition(c.Definition)
	case engine.Set:
		run.Kind, run.Name, run.Text = peer.ForwardKind_FORWARD_KIND_SET, []byte(st.Name), []byte(st.Value)
	case engine.Prepare:
		run.Kind, run.Name = peer.ForwardKind_FORWARD_KIND_PREPARE, []byte(st.Name)
		run.Definition = encodeDefinition(st.Definition)
	case engine.Deallocate:
		run.Kind, run.Name = peer.ForwardKind_FORWARD_KIND_DEALLOCATE, []byte(st.Name)
	case engine.Discard:
		run.Kind = peer.ForwardKind_FORWARD_KIND_DISCARD
	case engine.Status:
		run.Kind = peer.ForwardKind_FORWARD_KIND_STATUS
	case engine.StepDown:
		run.Kind, run.Term = peer.ForwardKind_FORWARD_KIND_STEP_DOWN, uint64(st.Term)
	}
	return run
}

// decodeCall returns the statement of a message, without its values. The result is false
// if its kind is unknown.
func decodeCall(run *peer.ForwardRun) (engine.Call, bool) {
	c := engine.Call{ID: unit.RequestID(run.GetRequest()), After: decodePosition(run.GetAfter())}
	name, text := string(run.GetName()), string(run.GetText())
	switch run.GetKind() {
	case peer.ForwardKind_FORWARD_KIND_READ:
		c.Statement = engine.Read{Text: text}
	case peer.ForwardKind_FORWARD_KIND_WRITE:
		c.Statement = engine.Write{Text: text}
	case peer.ForwardKind_FORWARD_KIND_BEGIN:
		c.Statement = engine.Begin{ReadOnly: run.GetReadOnly()}
	case peer.ForwardKind_FORWARD_KIND_COMMIT:
		c.Statement = engine.Commit{}
	case peer.ForwardKind_FORWARD_KIND_ROLLBACK:
		c.Statement = engine.Rollback{}
	case peer.ForwardKind_FORWARD_KIND_EXECUTE:
		c.Statement, c.Definition = engine.Execute{Name: name, Text: text}, decodeDefinition(run.GetDefinition())
	case peer.ForwardKind_FORWARD_KIND_SET:
		c.Statement = engine.Set{Name: name, Value: text}
	case peer.ForwardKind_FORWARD_KIND_PREPARE:
		c.Statement = engine.Prepare{Name: name, Definition: decodeDefinition(run.GetDefinition())}
	case peer.ForwardKind_FORWARD_KIND_DEALLOCATE:
		c.Statement = engine.Deallocate{Name: name}
	case peer.ForwardKind_FORWARD_KIND_DISCARD:
		c.Statement = engine.Discard{}
	case peer.ForwardKind_FORWARD_KIND_STATUS:
		c.Statement = engine.Status{}
	case peer.ForwardKind_FORWARD_KIND_STEP_DOWN:
		c.Statement = engine.StepDown{Term: unit.Term(run.GetTerm())}
	default:
		return engine.Call{}, false
	}
	return c, true
}

func encodeDefinition(d engine.Definition) *peer.ForwardDefinition {
	return &peer.ForwardDefinition{Writes: d.Writes, Text: []byte(d.Text)}
}

func decodeDefinition(d *peer.ForwardDefinition) engine.Definition {
	return engine.Definition{Writes: d.GetWrites(), Text: string(d.GetText())}
}

func encodePosition(p unit.Position) *peer.Position {
	if p.IsZero() {
		return nil
	}
	return &peer.Position{Term: uint64(p.Term), Index: uint64(p.Index)}
}

func decodePosition(p *peer.Position) unit.Position {
	return unit.Position{Term: unit.Term(p.GetTerm()), Index: unit.Index(p.GetIndex())}
}

func encodeValues(values map[string]string) *peer.ForwardValues {
	encoded := &peer.ForwardValues{Values: make([]*peer.ForwardValue, 0, len(values))}
	for name, value := range values {
		encoded.Values = append(encoded.Values, &peer.ForwardValue{Name: []byte(name), Value: []byte(value)})
	}
	return encoded
}

func decodeValues(values *peer.ForwardValues) map[string]string {
	decoded := make(map[string]string, len(values.GetValues()))
	for _, v := range values.GetValues() {
		decoded[string(v.GetName())] = string(v.GetValue())
	}
	return decoded
}

// encodeLease encodes a request for a lease. The margin is subtracted from its times.
func encodeLease(r engine.LeaseRequest, now time.Time, margin time.Duration) *peer.ForwardLease {
	encoded := &peer.ForwardLease{
		Group: []byte(r.Group), Instance: []byte(r.Instance), Incarnation: uint64(r.Incarnation), Caller: []byte(r.Caller),
		Priority: uint32(r.Priority), RouteRank: int64(r.Rank.Route), CallerRank: int64(r.Rank.Caller),
	}
	if !r.Deadline.IsZero() {
		encoded.Remaining = remaining(r.Deadline, now, margin)
	}
	if !r.Target.IsZero() {
		encoded.Target = int64(r.Target.Sub(now) - margin)
	}
	return encoded
}

// decodeLease returns the request for a lease that arrived at now. The result is false if
// the priority is unknown.
func decodeLease(l *peer.ForwardLease, now time.Time) (engine.LeaseRequest, bool) {
	p := limiter.Priority(l.GetPriority())
	if p < limiter.OpenTransaction || p > limiter.StaleRead {
		return engine.LeaseRequest{}, false
	}
	r := engine.LeaseRequest{
		Group: unit.GroupName(l.GetGroup()), Instance: unit.InstanceName(l.GetInstance()),
		Incarnation: unit.Incarnation(l.GetIncarnation()), Caller: unit.CallerName(l.GetCaller()), Priority: p,
		Rank: limiter.Rank{Route: int(l.GetRouteRank()), Caller: int(l.GetCallerRank())},
	}
	if l.GetRemaining() != 0 {
		r.Deadline = after(now, l.GetRemaining())
	}
	if l.GetTarget() != 0 {
		r.Target = after(now, l.GetTarget())
	}
	return r, true
}

// remaining returns the time in nanoseconds that the home gets for a statement with the
// deadline. It leaves out the margin, so that the home's refusal arrives before the
// deadline, but at most a quarter of the time. It is at least 1.
func remaining(deadline, now time.Time, margin time.Duration) int64 {
	left := deadline.Sub(now)
	return max(1, int64(left-min(margin, left/4)))
}

// after returns the time that is the received number of nanoseconds after now.
func after(now time.Time, nanoseconds int64) time.Time {
	return now.Add(min(max(time.Duration(nanoseconds), -maxRemaining), maxRemaining))
}

func encodeReply(r engine.Reply, took time.Duration) *peer.ForwardReply {
	encoded := &peer.ForwardReply{
		Rows: r.Rows, Receipt: []byte(r.Receipt), State: uint32(r.State), Position: encodePosition(r.Position),
		Took: uint64(took.Microseconds()),
	}
	if r.Err != nil {
		encoded.Error = encodeError(r.Err)
	}
	if l := r.Load; l != nil {
		encoded.Load = &peer.ForwardLoad{
			Slots: uint32(l.Slots), Running: uint32(l.Running), Queued: uint32(l.Queued), Mean: int64(l.Mean),
		}
	}
	return encoded
}

func decodeReply(r *peer.ForwardReply) engine.Reply {
	reply := engine.Reply{
		Rows: r.GetRows(), Receipt: string(r.GetReceipt()), State: engine.TransactionState(r.GetState()),
		Position: decodePosition(r.GetPosition()),
	}
	if r.GetError() != nil {
		reply.Err = decodeError(r.GetError())
	}
	if l := r.GetLoad(); l != nil {
		reply.Load = &router.Report{
			Slots: int(l.GetSlots()), Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Mean: time.Duration(l.GetMean()),
		}
	}
	return reply
}

func encodeError(err *result.Error) *peer.ForwardError {
	return &peer.ForwardError{Code: uint32(err.Code), Detail: []byte(err.Detail)}
}

func decodeError(err *peer.ForwardError) *result.Error {
	return &result.Error{Code: result.Code(err.GetCode()), Detail: string(err.GetDetail())}
}
