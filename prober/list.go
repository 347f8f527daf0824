package prober

import (
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// applyList applies the platform's list of VMs. It adds new daemons, marks those that the
// list shows as leaving, and marks a daemon as leaving that was listed before and is no
// longer listed.
func (p *Prober) applyList(e Listed) {
	if e.Revision < p.listRevision || len(e.VMs) == 0 {
		return // An older list is stale, and an empty list does not prove that VMs are gone.
	}
	p.listRevision = e.Revision
	listed := make(map[unit.DaemonID]unit.Incarnation, len(e.VMs))
	for _, vm := range e.VMs {
		listed[vm.ID] = vm.Incarnation
		p.mergeListed(e.Now, vm)
	}
	for id, incarnation := range p.listed {
		if _, present := listed[id]; !present {
			p.markUnlisted(e.Now, id, incarnation)
		}
	}
	p.listed = listed
}

func (p *Prober) mergeListed(now time.Time, vm member.Daemon) {
	k, ok := p.entries[vm.ID]
	leaving := vm.State == member.Leaving
	if ok && k.Incarnation > vm.Incarnation {
		return // The list is stale.
	}
	if ok && k.Incarnation == vm.Incarnation {
		if leaving {
			marked := k.Entry
			marked.Leaving = true
			p.merge(now, marked)
		}
		return
	}
	vm.State = member.Live
	vm.Manifest = 0
	entry := Entry{Daemon: vm, Leaving: leaving}
	if entry.Valid() {
		p.merge(now, entry)
	}
}

func (p *Prober) markUnlisted(now time.Time, id unit.DaemonID, incarnation unit.Incarnation) {
	k, ok := p.entries[id]
	if !ok || k.Incarnation != incarnation {
		return
	}
	marked := k.Entry
	marked.Leaving = true
	p.merge(now, marked)
}
