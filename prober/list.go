package prober

import (
	"time"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// list takes the platform's list. It adds daemons, marks those that are leaving, and
// takes a daemon that was listed before and is no longer for leaving.
func (p *Prober) list(e Listed) {
	if e.Revision < p.listRevision || len(e.VMs) == 0 {
		return // An older or empty list tells nothing.
	}
	p.listRevision = e.Revision
	listed := make(map[unit.DaemonID]unit.Incarnation, len(e.VMs))
	for _, vm := range e.VMs {
		listed[vm.ID] = vm.Incarnation
		p.mergeListed(e.Now, vm)
	}
	for id, incarnation := range p.listed {
		if _, still := listed[id]; !still {
			p.unlist(e.Now, id, incarnation)
		}
	}
	p.listed = listed
}

func (p *Prober) mergeListed(now time.Time, vm member.Daemon) {
	k, ok := p.entries[vm.ID]
	leaving := vm.State == member.Leaving
	if ok && k.Incarnation > vm.Incarnation {
		return // The list lags behind.
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

func (p *Prober) unlist(now time.Time, id unit.DaemonID, incarnation unit.Incarnation) {
	k, ok := p.entries[id]
	if !ok || k.Incarnation != incarnation {
		return
	}
	marked := k.Entry
	marked.Leaving = true
	p.merge(now, marked)
}
