package target

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// call executes a function of the control protocol and returns its result as text.
func (t *Target) call(ctx context.Context, name string, args []string) (string, error) {
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	number, err := strconv.ParseUint(arg(0), 10, 64)
	if err != nil && name != "tarragon_status" && name != "tarragon_history" {
		return "", fail("22023", "%s: the term %q is not a number", name, arg(0))
	}
	term := unit.Term(number)
	t.gate.wait(ctx)
	switch name {
	case "tarragon_status":
		return jsonText(t.log.report())
	case "tarragon_history":
		return jsonText(t.log.history())
	case "tarragon_grant":
		report, changed := t.log.grant(term, arg(1))
		if changed {
			t.revokeWrite()
			t.recordEvent(recorder.TermGranted, report, "granted to "+arg(1))
		}
		return jsonText(report)
	case "tarragon_promote":
		report, changed := t.log.promote(term, arg(1))
		if changed {
			t.recordEvent(recorder.PrimaryPromoted, report, "promoted by "+arg(1))
		}
		return jsonText(report)
	case "tarragon_follow":
		report, changed := t.log.follow(term, unit.InstanceName(arg(1)), arg(2))
		if changed {
			t.revokeWrite()
			t.recordEvent(recorder.InstanceFollows, report, "follows "+arg(1))
		}
		return jsonText(report)
	case "pg_terminate_backend":
		return t.terminate(uint32(number)), nil
	case "tarragon_quiesce":
		return t.quiesce(ctx, term, arg(1))
	default:
		return "", fail("42883", "function %s does not exist", name)
	}
}

func (t *Target) quiesce(ctx context.Context, term unit.Term, milliseconds string) (string, error) {
	ms, err := strconv.ParseInt(milliseconds, 10, 64)
	if err != nil {
		return "", fail("22023", "tarragon_quiesce: the time %q is not a number of milliseconds", milliseconds)
	}
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	if t.log.quiesce(term, until) && ms > 0 {
		waitCtx, cancel := context.WithDeadline(ctx, until)
		defer cancel()
		if t.database.lockWriter(waitCtx) == nil {
			t.database.unlockWriter()
		}
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
	}
	return jsonText(t.log.report())
}

// terminate closes the connection with the process ID and returns the result of
// pg_terminate_backend: "t", or "f" if there is no such connection.
func (t *Target) terminate(pid uint32) string {
	t.mu.Lock()
	s, ok := t.sessions[pid]
	t.mu.Unlock()
	if !ok {
		return "f"
	}
	s.cancelCurrent()
	s.disconnect()
	return "t"
}

func (t *Target) recordEvent(kind recorder.Kind, r instance.Report, detail string) {
	t.recorder.Record(recorder.Event{Kind: kind, Group: t.group, Instance: t.name, Term: r.Term, Position: r.Last, Detail: detail})
}

func jsonText(v any) (string, error) {
	b, err := json.Marshal(v)
	return string(b), err
}

// activity answers a query on pg_stat_activity with the state and the wait event
// of the connection whose process ID is the statement's last token.
func (s *session) activity(p *parsed, out *resultWriter) (string, error) {
	pid, err := strconv.ParseUint(p.at(len(p.tokens)-1).text, 10, 32)
	if err != nil {
		return "", fail("0A000", "pg_stat_activity supports only queries for a single pid")
	}
	s.target.mu.Lock()
	queried, ok := s.target.sessions[uint32(pid)]
	s.target.mu.Unlock()
	if !ok {
		return "SELECT 0", nil
	}
	return "SELECT 1", out.single("activity", queried.activityState())
}

// activityState returns the state and the wait event, separated by a slash. A
// session whose lock is free is idle.
func (s *session) activityState() string {
	if s.mu.TryLock() {
		defer s.mu.Unlock()
		return "idle/ClientRead"
	}
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancel == nil {
		return "active/ClientRead"
	}
	return "active/"
}
