package daemon

import (
	"context"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/operator"
	"tarragonshed.example/tarragonshed/watcher"
	"tarragonshed.example/unit"
)

// drainTimeout limits a drain requested over the operator API.
const drainTimeout = 60 * time.Second

// operatorAPI returns the operator API of the daemon.
func (d *Daemon) operatorAPI() *operator.Operator {
	return operator.New(d.holder, d.rec,
		operator.WithToken(d.settings.Operator.Token),
		operator.WithVersion(Version),
		operator.WithPlatform(d.platform),
		operator.WithManifest(d.gossip.Manifest),
		operator.WithSessions(d.sessions),
		operator.WithDrain(d.drain),
		operator.WithReports(d.report),
		operator.WithChangePrimary(d.watch.ChangePrimary),
		operator.WithWatcherCount(watcher.DefaultWatchers),
	)
}

// drain starts a drain requested over the operator API, without waiting for its end.
func (d *Daemon) drain() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		if err := d.Shutdown(ctx); err != nil {
			d.logger.Error("drain failed", "err", err)
		}
	}()
}

// report returns the latest report of an instance that the daemon has received
// through its watcher or its carrier.
func (d *Daemon) report(group unit.GroupName, name unit.InstanceName) (instance.Report, bool) {
	last, found := d.carrier.Last(name)
	for _, r := range d.watch.Reports(group) {
		if r.Instance == name && (!found || r.Supersedes(last)) {
			last, found = r, true
		}
	}
	return last, found
}

// sessions returns the callers' sessions.
func (d *Daemon) sessions() []operator.Session {
	var sessions []operator.Session
	for _, s := range d.entry.Sessions() {
		state := operator.StateActive
		if s.Idle {
			state = operator.StateIdle
		}
		sessions = append(sessions, operator.Session{
			ID: s.ID, Caller: s.Caller, Group: s.Group, Address: s.Address, State: state, Since: s.Since,
		})
	}
	return sessions
}
