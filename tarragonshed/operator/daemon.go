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

// Status returns the state of the daemon and its view of the other daemons.
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

// States of a session.
const (
	StateIdle        = "idle"
	StateActive      = "active"
	StateTransaction = "in transaction"
)

// Version returns the version of the program, and its revision and Go version if the
// binary has build information.
func (s *daemonService) Version(context.Context) (*daemon.VersionResult, error) {
	response := &daemon.VersionResult{Version: s.version, Revision: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return response, nil
	}
	response.Go = info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			response.Revision = setting.Value
		}
	}
	return response, nil
}

// Sessions returns the callers' sessions, ordered by id.
func (s *daemonService) Sessions(_ context.Context, payload *daemon.SessionsPayload) (*daemon.SessionsResult, error) {
	all := s.Operator.sessions()
	response := &daemon.SessionsResult{Total: len(all), Sessions: []*daemon.Session{}}
	for _, session := range all[:min(len(all), payload.Limit)] {
		response.Sessions = append(response.Sessions, &daemon.Session{
			ID: uint64(session.ID), Caller: string(session.Caller), Group: string(session.Group), Address: session.Address,
			State: session.State, Since: session.Since.UnixNano(), Position: wirePosition(session.Position),
		})
	}
	return response, nil
}

// Drain starts draining the daemon and returns without waiting for the end.
func (s *daemonService) Drain(context.Context) error {
	if s.Operator.drain == nil {
		return notSupported("drain")
	}
	s.Operator.drain()
	return nil
}

// Timeline returns the events after a time that the recorder still has, oldest first.
func (s *daemonService) Timeline(_ context.Context, payload *daemon.TimelinePayload) (*daemon.TimelineResult, error) {
	since := recorder.Time{Wall: payload.SinceWall, Counter: payload.SinceCounter}
	events := s.recorder.Since(since)
	response := &daemon.TimelineResult{
		Source: string(s.holder.Current().View.Self), Events: []*daemon.TimelineEvent{}, More: len(events) > payload.Limit,
	}
	for _, e := range events[:min(len(events), payload.Limit)] {
		response.Events = append(response.Events, wireEvent(e))
	}
	return response, nil
}

func wireEvent(e recorder.Event) *daemon.TimelineEvent {
	wire := &daemon.TimelineEvent{
		Time: &types.HybridTime{Wall: e.Time.Wall, Counter: e.Time.Counter}, Kind: string(e.Kind), Source: e.Source,
		Domain: optional(e.Domain), Group: optional(e.Group), Instance: optional(e.Instance), Daemon: optional(e.Daemon),
		Request: optional(e.Request), Detail: optional(e.Detail),
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
	wire := &types.ManifestRecord{Version: uint64(r.Version), Digest: r.Digest, PushID: optional(r.PushID), Author: optional(r.Author)}
	if r.PushedAt != 0 {
		wire.PushedAt = &r.PushedAt
	}
	return wire
}

func wirePosition(p unit.Position) *types.Position {
	return &types.Position{Term: uint64(p.Term), Index: uint64(p.Index)}
}

// optional returns nil for the empty string, and otherwise a pointer to it.
func optional[S ~string](s S) *string {
	if s == "" {
		return nil
	}
	plain := string(s)
	return &plain
}
