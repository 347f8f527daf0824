package operator

import (
	"context"
	"runtime/debug"

	"tarragonshed.example/adopter"
	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/operator/gen/daemon"
	"tarragonshed.example/wire/operator/gen/types"
)

// daemonService implements the service "daemon".
type daemonService struct{ *Operator }

// Status returns the state of the daemon and its view of the others.
func (s *daemonService) Status(context.Context) (*daemon.StatusResult, error) {
	now := s.holder.Current()
	self, _ := now.View.Find(now.View.Self)
	record, _ := s.Operator.manifest()
	status := &daemon.StatusResult{
		ID: string(self.ID), Domain: string(self.Domain), Incarnation: uint64(self.Incarnation), State: string(self.State),
		StartedAt: s.started.UnixNano(), Manifest: wireRecord(record), Daemons: []*daemon.Daemon{},
	}
	if now.Manifest != nil {
		status.ManifestSince = now.ManifestSince.UnixNano()
		status.Manifest.Version = uint64(now.Manifest.Version)
	}
	if s.platform != nil {
		status.PlatformReachable = s.platform.Reachable()
	}
	for _, session := range s.Operator.sessions() {
		status.Sessions++
		if session.State == StateTransaction || session.State == StateActive {
			status.Transactions++
		}
	}
	for _, d := range now.View.Daemons {
		status.Daemons = append(status.Daemons, wireDaemon(d))
	}
	return status, nil
}

// The states of a session.
const (
	StateIdle        = "idle"
	StateActive      = "active"
	StateTransaction = "in transaction"
)

// Version returns the version of the program.
func (s *daemonService) Version(context.Context) (*daemon.VersionResult, error) {
	answer := &daemon.VersionResult{Version: s.version, Revision: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return answer, nil
	}
	answer.Go = info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			answer.Revision = setting.Value
		}
	}
	return answer, nil
}

// Sessions returns the callers' sessions, ordered by id.
func (s *daemonService) Sessions(_ context.Context, payload *daemon.SessionsPayload) (*daemon.SessionsResult, error) {
	all := s.Operator.sessions()
	answer := &daemon.SessionsResult{Total: len(all), Sessions: []*daemon.Session{}}
	for _, session := range all[:min(len(all), payload.Limit)] {
		answer.Sessions = append(answer.Sessions, &daemon.Session{
			ID: uint64(session.ID), Caller: string(session.Caller), Group: string(session.Group), Address: session.Address,
			State: session.State, Since: session.Since.UnixNano(), Position: wirePosition(session.Position),
		})
	}
	return answer, nil
}

// Drain starts the drain.
func (s *daemonService) Drain(context.Context) error {
	if s.Operator.drain == nil {
		return missing("drain")
	}
	s.Operator.drain()
	return nil
}

// Timeline returns the kept events after a time, oldest first.
func (s *daemonService) Timeline(_ context.Context, payload *daemon.TimelinePayload) (*daemon.TimelineResult, error) {
	since := recorder.Time{Wall: payload.SinceWall, Counter: payload.SinceCounter}
	events := s.recorder.Since(since)
	answer := &daemon.TimelineResult{
		Source: string(s.holder.Current().View.Self), Events: []*daemon.TimelineEvent{}, More: len(events) > payload.Limit,
	}
	for _, e := range events[:min(len(events), payload.Limit)] {
		answer.Events = append(answer.Events, wireEvent(e))
	}
	return answer, nil
}

func wireEvent(e recorder.Event) *daemon.TimelineEvent {
	wire := &daemon.TimelineEvent{
		Time: &types.HybridTime{Wall: e.Time.Wall, Counter: e.Time.Counter}, Kind: string(e.Kind), Source: e.Source,
		Domain: text(e.Domain), Group: text(e.Group), Instance: text(e.Instance), Daemon: text(e.Daemon),
		Request: text(e.Request), Detail: text(e.Detail),
	}
	if e.Term != 0 {
		term := uint64(e.Term)
		wire.Term = &term
	}
	if !e.Position.IsZero() {
		wire.Position = wirePosition(e.Position)
	}
	return wire
}

func wireDaemon(d member.Daemon) *daemon.Daemon {
	return &daemon.Daemon{
		ID: string(d.ID), Incarnation: uint64(d.Incarnation), Domain: string(d.Domain), State: string(d.State),
		Manifest: uint64(d.Manifest), PeerAddress: d.PeerAddress, OperatorAddress: d.OperatorAddress, CallerAddress: d.CallerAddress,
	}
}

func wireRecord(r adopter.Record) *types.ManifestRecord {
	wire := &types.ManifestRecord{Version: uint64(r.Version), Digest: r.Digest, PushID: text(r.PushID), Author: text(r.Author)}
	if r.PushedAt != 0 {
		wire.PushedAt = &r.PushedAt
	}
	return wire
}

func wirePosition(p unit.Position) *types.Position {
	return &types.Position{Term: uint64(p.Term), Index: uint64(p.Index)}
}

// text returns nil for the empty string.
func text[S ~string](s S) *string {
	if s == "" {
		return nil
	}
	plain := string(s)
	return &plain
}
