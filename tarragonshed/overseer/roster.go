package overseer

import (
	"context"
	"slices"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/replacer"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
)

// departureMemory is how long an instance that is no longer listed counts as one that may have
// received acknowledged writes. Within this time a group has accepted writes that other replicas
// received together with all earlier ones, or has been without a primary for too long to wait.
const departureMemory = 30 * time.Second

// departure is an incarnation of an instance that is no longer in the manifest, although it may
// still run and may have received acknowledged writes.
type departure struct {
	instance manifest.Instance
	term     unit.Term // The term of the group's row when the instance departed.
	at       time.Time
}

// recordDepartures records which instances of groups with synchronous replicas are missing from a
// new manifest.
func (o *Overseer) recordDepartures(m *manifest.Manifest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m == o.watched {
		return
	}
	o.watched = m
	previous := o.synchronous
	o.synchronous = make(map[unit.GroupName][]manifest.Instance)
	departed := make(map[unit.GroupName][]departure)
	for _, g := range m.Groups {
		if g.Synchronous > 0 {
			o.synchronous[g.Name] = g.Instances
			departed[g.Name] = o.departedFrom(g, previous[g.Name])
		}
	}
	o.departed = departed
}

// departedFrom returns the instances that have departed from the group, given those that were listed
// before. The caller holds mu.
func (o *Overseer) departedFrom(g manifest.Group, previous []manifest.Instance) []departure {
	now := time.Now()
	departed := slices.DeleteFunc(o.departed[g.Name], func(d departure) bool {
		return now.Sub(d.at) > departureMemory || slices.ContainsFunc(g.Instances, d.isAgain)
	})
	term := o.auth.View().Leaderships[g.Name].Term
	for _, i := range previous {
		d := departure{instance: i, term: term, at: now}
		if !slices.ContainsFunc(g.Instances, d.isAgain) && !slices.ContainsFunc(g.Instances, d.isReplacedBy) {
			departed = append(departed, d)
			o.logger.Info("instance departed that may have acknowledged writes", "group", g.Name, "instance", i.Name, "term", term)
		}
	}
	return departed
}

// isAgain reports whether the instance is the departed incarnation.
func (d departure) isAgain(i manifest.Instance) bool {
	return i.Name == d.instance.Name && i.Incarnation == d.instance.Incarnation
}

// isReplacedBy reports whether the instance has received the log of the departed one, which was
// shut down as planned, at its address.
func (d departure) isReplacedBy(i manifest.Instance) bool {
	return d.instance.Leaving && i.Address == d.instance.Address && i.Name != d.instance.Name
}

// departures returns the instances of the group that have departed in the term.
func (o *Overseer) departures(g unit.GroupName, term unit.Term) []departure {
	o.mu.Lock()
	defer o.mu.Unlock()
	var departed []departure
	for _, d := range o.departed[g] {
		if d.term == term && time.Since(d.at) <= departureMemory {
			departed = append(departed, d)
		}
	}
	return departed
}

// requestStatus requests the status of an instance: of one that has departed at its last address.
func (o *Overseer) requestStatus(ctx context.Context, g unit.GroupName, i unit.InstanceName) (engine.InstanceStatus, error) {
	instances := *o.instances.Load()
	if !instances.Reach(g, i).Known {
		o.mu.Lock()
		departed := slices.Clone(o.departed[g])
		o.mu.Unlock()
		for _, d := range departed {
			if d.instance.Name == i {
				return instances.StatusAt(ctx, g, d.instance)
			}
		}
	}
	return instances.Status(ctx, g, i)
}

// roster returns the roster of the group with the given instances.
func (c *primaryChange) roster(instances []manifest.Instance) replacer.Roster {
	var r replacer.Roster
	why := c.fault.reason
	names := make(map[unit.InstanceName]bool, len(instances))
	for _, i := range instances {
		names[i.Name] = true
		isPrimary := i.Name == c.row.Primary && i.Incarnation == c.row.Incarnation
		switch {
		case isPrimary && !why.takesOver():
			continue
		case i.Leaving:
			r.Leaving = append(r.Leaving, i.Name)
		default:
			r.Replicas = append(r.Replicas, i.Name)
		}
		if i.Name == c.row.Primary && !isPrimary {
			r.Forgotten++ // The incarnation that was the primary.
		}
	}
	for _, d := range c.departures(c.row.Group, c.row.Term) {
		switch {
		case d.instance.Name == c.row.Primary:
		case names[d.instance.Name]:
			r.Forgotten++
		default:
			r.Departed = append(r.Departed, d.instance.Name)
		}
	}
	return r
}

// relist returns the roster that follows from the manifest in force. The result is false if it has
// not changed, or if it has no influence on the change.
func (c *primaryChange) relist() (replacer.Relisted, bool) {
	m := c.manifest()
	if m == nil {
		return replacer.Relisted{}, false
	}
	c.recordDepartures(m)
	g, ok := m.Group(c.row.Group)
	if !ok || g.Synchronous == 0 || slices.Equal(g.Instances, c.listed) {
		return replacer.Relisted{}, false
	}
	relisted := replacer.Relisted{Roster: c.roster(g.Instances)}
	for _, i := range g.Instances {
		if slices.ContainsFunc(c.listed, func(earlier manifest.Instance) bool {
			return earlier.Name == i.Name && earlier.Incarnation != i.Incarnation
		}) {
			relisted.Restarted = append(relisted.Restarted, i.Name)
		}
	}
	c.listed = g.Instances
	return relisted, true
}
