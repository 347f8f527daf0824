package overseer

import (
	"context"
	"sync"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
)

// establish asks the instances of a group whose primary is not known since the store was
// restored, and writes the row of the one that leads. It returns false if that is uncertain:
// then a change of the primary is needed.
func (o *Overseer) establish(g manifest.Group, row authorizer.Leadership) bool {
	statuses := o.statusOfAll(g)
	leader, ok := leaderOf(g, statuses)
	if !ok || statuses[leader].Term < row.Term {
		o.logger.Info("primary not established: the instances do not show which one leads", "group", g.Name, "responses", len(statuses))
		return false
	}
	established := authorizer.Leadership{
		Group: g.Name, State: authorizer.Leading, Primary: leader, Incarnation: o.reach(g.Name, leader).Incarnation,
		Term: statuses[leader].Term, Fence: row.Fence,
	}
	o.mu.Lock()
	tx := Transaction{
		Era:      o.table.era,
		Expected: []Expectation{o.table.expect(groupKey(g.Name)), o.table.expect(memberKey(o.self.Daemon))},
		Puts:     []Put{encode(groupKey(g.Name), established), epochPut()},
	}
	unchanged := o.auth.View().Leaderships[g.Name] == row && o.auth.IsListed()
	o.mu.Unlock()
	if !unchanged {
		return true // Another daemon has established the primary.
	}
	ctx, stop := context.WithTimeout(o.ctx, callTimeout)
	defer stop()
	_, err := o.commit(ctx, tx)
	o.logger.Info("primary established after a restore of the store", "group", g.Name, "primary", leader, "term", established.Term, "cause", err)
	o.announceToPeers()
	return true
}

// statusOfAll queries the status of all instances of the group at the same time. Those that do
// not respond are missing.
func (o *Overseer) statusOfAll(g manifest.Group) map[unit.InstanceName]engine.InstanceStatus {
	ctx, stop := context.WithTimeout(o.ctx, callTimeout)
	defer stop()
	statuses := make(map[unit.InstanceName]engine.InstanceStatus)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, i := range g.Instances {
		wg.Go(func() {
			status, err := o.instanceStatus(ctx, g.Name, i.Name)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[i.Name] = status
		})
	}
	wg.Wait()
	return statuses
}

// leaderOf returns the instance that leads the group: the primary of the highest term that any
// instance has seen. It returns false unless all instances have responded, and if two report that they are
// the primary of that term: one that was replaced may report the newest term that it knows.
func leaderOf(g manifest.Group, statuses map[unit.InstanceName]engine.InstanceStatus) (leader unit.InstanceName, ok bool) {
	highest := unit.Term(0)
	for _, i := range g.Instances {
		status, responded := statuses[i.Name]
		if !responded {
			return "", false
		}
		highest = max(highest, status.Term)
	}
	for _, i := range g.Instances {
		if status := statuses[i.Name]; !status.Primary || status.Term < highest {
			continue
		}
		if ok {
			return "", false
		}
		leader, ok = i.Name, true
	}
	return leader, ok
}
