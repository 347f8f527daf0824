package operator

import (
	"context"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/placer"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/operator/gen/group"
)

// groupService implements the service "group".
type groupService struct{ *Operator }

// List returns the groups of the manifest in force.
func (s *groupService) List(context.Context) (*group.ListResult, error) {
	response := &group.ListResult{Groups: []*group.Group{}}
	now := s.holder.Current()
	if now.Manifest == nil {
		return nil, refusal(result.New(result.NoManifest, "no manifest is in force on this daemon"))
	}
	for _, g := range now.Manifest.Groups {
		response.Groups = append(response.Groups, s.describe(now.View, g))
	}
	return response, nil
}

// describe returns the group with its watchers, its instances and their homes, the
// daemons that own the connections to an instance. The primary is the instance that
// reports this role in the highest term.
func (s *groupService) describe(view member.View, g manifest.Group) *group.Group {
	wire := &group.Group{Name: string(g.Name), Watchers: daemonIDs(placer.Watchers(view, g.Name, s.watchers)), Instances: []*group.GroupInstance{}}
	for _, i := range g.Instances {
		homes := placer.Homes(view, i, placer.HomeCount(g, i))
		described := &group.GroupInstance{
			Name: string(i.Name), Domain: string(i.Domain), Address: i.Address, Slots: i.Slots, Connections: i.Connections,
			Leaving: i.Leaving, Homes: daemonIDs(homes),
		}
		if report, ok := s.report(g.Name, i.Name); ok {
			addReport(described, report)
			if report.Role == instance.Primary && uint64(report.Term) > wire.Term {
				wire.Primary, wire.Term = string(i.Name), uint64(report.Term)
			}
		}
		wire.Instances = append(wire.Instances, described)
	}
	return wire
}

// addReport sets the fields of described that come from an instance's report.
func addReport(described *group.GroupInstance, report instance.Report) {
	role, term := string(report.Role), uint64(report.Term)
	staleness := report.Staleness(time.Now()).Milliseconds()
	described.Known = true
	described.Role, described.Term = &role, &term
	described.Last, described.Applied = wirePosition(report.Last), wirePosition(report.Applied)
	described.StalenessMilliseconds = &staleness
}

// ChangePrimary changes the primary of a group to the requested instance, or to the
// best one if none is requested.
func (s *groupService) ChangePrimary(ctx context.Context, payload *group.ChangePrimaryPayload) (*group.ChangePrimaryResult, error) {
	if s.changePrimary == nil {
		return nil, notSupported("change of primary")
	}
	var to unit.InstanceName
	if payload.To != nil {
		to = unit.InstanceName(*payload.To)
	}
	primary, err := s.changePrimary(ctx, unit.GroupName(payload.Group), to)
	if err != nil {
		return nil, refusal(err)
	}
	return &group.ChangePrimaryResult{Primary: string(primary)}, nil
}

// daemonIDs returns the ids of daemons.
func daemonIDs(daemons []member.Daemon) []string {
	ids := make([]string, 0, len(daemons))
	for _, d := range daemons {
		ids = append(ids, string(d.ID))
	}
	return ids
}
