package engine

import (
	"context"
	"time"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Reach tells what the engine knows about its way to an instance.
type Reach struct {
	// Known tells that the manifest in force has the instance.
	Known bool
	// Incarnation is the life of the instance that the manifest names.
	Incarnation unit.Incarnation
	Leaving     bool
	// Unreachable tells that the instance answers no probe, or refuses them.
	Unreachable bool
	// Tunneled tells that it is reached through another daemon nevertheless.
	Tunneled bool
}

// Reach returns what is known about an instance.
func (e *Engine) Reach(group unit.GroupName, name unit.InstanceName) Reach {
	g, ok := e.current.Load().groups[group]
	if !ok {
		return Reach{}
	}
	t, ok := g.find(name)
	if !ok {
		return Reach{}
	}
	h := t.health(time.Now())
	return Reach{Known: true, Incarnation: t.instance.Incarnation, Leaving: h.leaving, Unreachable: h.cut, Tunneled: h.cut && !h.unreachable}
}

// Status asks an instance about itself.
func (e *Engine) Status(ctx context.Context, group unit.GroupName, name unit.InstanceName) (InstanceStatus, error) {
	return e.ask(ctx, group, name, Status{})
}

// StepDown tells an instance that it is no primary below the term.
func (e *Engine) StepDown(ctx context.Context, group unit.GroupName, name unit.InstanceName, term unit.Term) (InstanceStatus, error) {
	return e.ask(ctx, group, name, StepDown{Term: term})
}

func (e *Engine) ask(ctx context.Context, group unit.GroupName, name unit.InstanceName, st Statement) (InstanceStatus, error) {
	g, ok := e.current.Load().groups[group]
	if !ok {
		return InstanceStatus{}, result.New(result.InstanceUnreachable, "no group %s is known", group)
	}
	t, ok := g.find(name)
	if !ok {
		return InstanceStatus{}, result.New(result.InstanceUnreachable, "group %s has no instance %s", group, name)
	}
	return t.status(ctx, st)
}
