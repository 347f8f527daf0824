package engine

import (
	"context"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Reach describes the path from this daemon to an instance.
type Reach struct {
	// Known is true if the manifest in force has the instance.
	Known bool
	// Incarnation is the incarnation of the instance in the manifest.
	Incarnation unit.Incarnation
	Leaving     bool
	// Unreachable is true if the instance doesn't answer probes or refuses them.
	Unreachable bool
	// Tunneled is true if the instance is unreachable directly but is reached through
	// another daemon.
	Tunneled bool
	// Strained is true if callers are served late or refused while the instance, as the
	// primary of its group, has to serve all reads because the replicas are far behind.
	Strained bool
}

// Reach returns the state of the path to an instance.
func (e *Engine) Reach(group unit.GroupName, name unit.InstanceName) Reach {
	g, ok := e.current.Load().groups[group]
	if !ok {
		return Reach{}
	}
	t, ok := g.find(name)
	if !ok {
		return Reach{}
	}
	now := time.Now()
	h := t.health(now)
	return Reach{
		Known: true, Incarnation: t.instance.Incarnation, Leaving: h.leaving,
		Unreachable: h.noDirectPath, Tunneled: h.noDirectPath && !h.unreachable, Strained: g.strained(t, now),
	}
}

// verifiedFor is how long a reply of an instance shows that the daemon reaches it.
const verifiedFor = time.Second

// Verify reports whether this daemon reaches the instance. If it has had no reply recently,
// because it uses the instance through its home, it opens a connection.
func (e *Engine) Verify(ctx context.Context, group unit.GroupName, name unit.InstanceName) bool {
	t, err := e.findTarget(group, name)
	if err != nil || t.health(time.Now()).noDirectPath {
		return false
	}
	if !t.usesHome() || time.Since(time.Unix(0, t.lastReply.Load())) < verifiedFor {
		return true
	}
	conn, err := t.engine.connector.Connect(ctx, t.group.name, t.instance, "", "")
	if conn != nil {
		conn.Close()
	}
	if err != nil && err.Code != result.ConnectionsExhausted {
		t.suspect(err) // The daemon that is to replace a primary may not be its home.
		return false
	}
	t.lastReply.Store(time.Now().UnixNano())
	return true
}

// Acknowledged returns the highest position of a write to the group that this daemon has seen
// acknowledged, or zero. Once the daemon has no authority over the primary, it includes every
// write that a caller was told of.
func (e *Engine) Acknowledged(group unit.GroupName) unit.Position {
	g, ok := e.current.Load().groups[group]
	if !ok {
		return unit.Position{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acknowledged
}

// Status requests the status of an instance.
func (e *Engine) Status(ctx context.Context, group unit.GroupName, name unit.InstanceName) (InstanceStatus, error) {
	return e.requestStatus(ctx, group, name, Status{})
}

// StatusAt requests the status of an instance that may be missing from the manifest in force, over
// a connection of its own.
func (e *Engine) StatusAt(ctx context.Context, group unit.GroupName, i manifest.Instance) (InstanceStatus, error) {
	conn, failure := e.connector.Connect(ctx, group, i, "", "")
	if failure != nil {
		return InstanceStatus{}, failure
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	if err := conn.Send(Request{Statement: Status{}}); err != nil {
		return InstanceStatus{}, err
	}
	reply, err := conn.Receive()
	if err != nil {
		return InstanceStatus{}, err
	}
	if reply.Err != nil {
		return InstanceStatus{}, reply.Err
	}
	return e.connector.Status(reply)
}

// StepDown makes an instance stop acting as the primary of any term below term.
func (e *Engine) StepDown(ctx context.Context, group unit.GroupName, name unit.InstanceName, term unit.Term) (InstanceStatus, error) {
	return e.requestStatus(ctx, group, name, StepDown{Term: term})
}

func (e *Engine) requestStatus(ctx context.Context, group unit.GroupName, name unit.InstanceName, st Statement) (InstanceStatus, error) {
	t, err := e.findTarget(group, name)
	if err != nil {
		return InstanceStatus{}, err
	}
	return t.status(ctx, st)
}
