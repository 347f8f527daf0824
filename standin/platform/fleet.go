package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/platform/gen/database"
	"tarragonshed.example/wire/platform/gen/fleet"
)

// maxHistory bounds the number of earlier VM lists that are kept.
const maxHistory = 1024

// listing is the VM list as it has been since a time.
type listing struct {
	at       time.Time
	revision uint64
	vms      map[string]fleet.VM
}

// fleetService holds the VM list and its earlier states.
type fleetService struct {
	mu      sync.Mutex
	lag     time.Duration
	history []listing
}

// List returns the VM list as it was before the lag, or the oldest one that is kept.
func (s *fleetService) List(context.Context) (*fleet.ListResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) == 0 {
		return &fleet.ListResult{Vms: []*fleet.VM{}}, nil
	}
	horizon := time.Now().Add(-s.lag)
	lagging := s.history[0]
	for _, l := range s.history {
		if l.at.After(horizon) {
			break
		}
		lagging = l
	}
	vms := make([]*fleet.VM, 0, len(lagging.vms))
	for _, vm := range lagging.vms {
		vms = append(vms, &vm)
	}
	slices.SortFunc(vms, func(a, b *fleet.VM) int { return strings.Compare(a.ID, b.ID) })
	return &fleet.ListResult{Vms: vms, Revision: lagging.revision}, nil
}

func (s *fleetService) change(edit func(map[string]fleet.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := listing{at: time.Now(), vms: make(map[string]fleet.VM)}
	if len(s.history) > 0 {
		last := s.history[len(s.history)-1]
		next.revision = last.revision + 1
		next.vms = maps.Clone(last.vms)
	}
	edit(next.vms)
	s.history = append(s.history, next)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// ListLag makes the platform serve the VM list as it was d ago.
func (p *Platform) ListLag(d time.Duration) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.lag = d
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(id unit.DaemonID) {
	p.fleet.change(func(vms map[string]fleet.VM) { delete(vms, string(id)) })
}

// MarkLeaving marks a VM of the list as leaving.
func (p *Platform) MarkLeaving(id unit.DaemonID) {
	p.fleet.change(func(vms map[string]fleet.VM) {
		if vm, ok := vms[string(id)]; ok {
			vm.State = string(member.Leaving)
			vms[string(id)] = vm
		}
	})
}

func vmOf(d member.Daemon) fleet.VM {
	state := member.Live
	if d.State == member.Leaving {
		state = member.Leaving
	}
	return fleet.VM{
		ID:              string(d.ID),
		Incarnation:     uint64(d.Incarnation),
		Domain:          string(d.Domain),
		State:           string(state),
		PeerAddress:     d.PeerAddress,
		OperatorAddress: &d.OperatorAddress,
		CallerAddress:   &d.CallerAddress,
	}
}

// databaseService holds the database groups.
type databaseService struct {
	mu     sync.Mutex
	groups []*database.DatabaseGroup
}

// List returns the database groups.
func (s *databaseService) List(context.Context) (*database.ListResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &database.ListResult{Groups: s.groups}, nil
}

func (s *databaseService) set(groups []manifest.Group) {
	listed := make([]*database.DatabaseGroup, 0, len(groups))
	for _, g := range groups {
		entry := &database.DatabaseGroup{Name: string(g.Name)}
		for _, i := range g.Instances {
			entry.Instances = append(entry.Instances, &database.DatabaseInstance{
				Name: string(i.Name), Domain: string(i.Domain), Address: i.Address, Slots: i.Slots, Connections: i.Connections,
			})
		}
		listed = append(listed, entry)
	}
	slices.SortFunc(listed, func(a, b *database.DatabaseGroup) int { return strings.Compare(a.Name, b.Name) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = listed
}
