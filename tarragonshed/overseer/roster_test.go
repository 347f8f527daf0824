package overseer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/replacer"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
)

// listedGroup is a group with one synchronous replica whose listed instances a test replaces.
type listedGroup struct {
	Instances
	manifest *manifest.Manifest
	askedAt  []string // The addresses at which departed instances were asked.
}

func (g *listedGroup) Manifest() *manifest.Manifest { return g.manifest }

func (*listedGroup) Verify(context.Context, unit.GroupName, unit.InstanceName) bool { return true }

func (g *listedGroup) Reach(_ unit.GroupName, name unit.InstanceName) engine.Reach {
	_, _, known := g.manifest.Instance(name)
	return engine.Reach{Known: known}
}

func (g *listedGroup) StatusAt(_ context.Context, _ unit.GroupName, i manifest.Instance) (engine.InstanceStatus, error) {
	g.askedAt = append(g.askedAt, i.Address)
	return engine.InstanceStatus{Term: 1}, nil
}

// list replaces the listed instances.
func (g *listedGroup) list(instances ...manifest.Instance) *manifest.Manifest {
	g.manifest = &manifest.Manifest{Groups: []manifest.Group{{Name: "g", Synchronous: 1, Instances: instances}}}
	return g.manifest
}

// TestRoster checks which instances may have received acknowledged writes after the list of
// instances has changed.
func TestRoster(t *testing.T) {
	a := manifest.Instance{Name: "a", Incarnation: 1, Address: "a:1"}
	b := manifest.Instance{Name: "b", Incarnation: 1, Address: "b:1"}
	c := manifest.Instance{Name: "c", Incarnation: 1, Address: "c:1"}
	restarted := func(i manifest.Instance) manifest.Instance { i.Incarnation++; return i }
	leaving := func(i manifest.Instance) manifest.Instance { i.Leaving = true; return i }
	replacement := manifest.Instance{Name: "d", Incarnation: 1, Address: "c:1"}
	rosterAfter := func(first, then []manifest.Instance) (*primaryChange, replacer.Roster) {
		g := &listedGroup{}
		o := surveying(g)
		o.recordDepartures(g.list(first...))
		o.recordDepartures(g.list(then...))
		change := &primaryChange{
			Overseer: o, fault: &fault{reason: unreachable},
			row: authorizer.Leadership{Group: "g", Primary: "a", Incarnation: 1},
		}
		return change, change.roster(then)
	}
	expect := func(t *testing.T, first, then []manifest.Instance, want replacer.Roster) {
		t.Helper()
		_, got := rosterAfter(first, then)
		is.New(t).Equal(got, want)
	}
	all := []manifest.Instance{a, b, c}
	t.Run("unchanged", func(t *testing.T) {
		expect(t, all, all, replacer.Roster{Replicas: []unit.InstanceName{"b", "c"}})
	})
	t.Run("an instance is leaving", func(t *testing.T) {
		expect(t, all, []manifest.Instance{a, b, leaving(c)}, replacer.Roster{
			Replicas: []unit.InstanceName{"b"}, Leaving: []unit.InstanceName{"c"},
		})
	})
	t.Run("an entry has lapsed", func(t *testing.T) {
		expect(t, all, []manifest.Instance{a, b}, replacer.Roster{
			Replicas: []unit.InstanceName{"b"}, Departed: []unit.InstanceName{"c"},
		})
	})
	t.Run("the entry of the primary has lapsed", func(t *testing.T) {
		expect(t, all, []manifest.Instance{b, c}, replacer.Roster{Replicas: []unit.InstanceName{"b", "c"}})
	})
	t.Run("a replica has restarted", func(t *testing.T) {
		expect(t, all, []manifest.Instance{a, b, restarted(c)}, replacer.Roster{
			Replicas: []unit.InstanceName{"b", "c"}, Forgotten: 1,
		})
	})
	t.Run("the primary has restarted", func(t *testing.T) {
		expect(t, all, []manifest.Instance{restarted(a), b, c}, replacer.Roster{
			Replicas: []unit.InstanceName{"a", "b", "c"}, Forgotten: 1,
		})
	})
	t.Run("an instance has left and handed its log to another one", func(t *testing.T) {
		expect(t, []manifest.Instance{a, b, leaving(c)}, []manifest.Instance{a, b, replacement}, replacer.Roster{
			Replicas: []unit.InstanceName{"b", "d"},
		})
	})
	t.Run("an instance is listed again", func(t *testing.T) {
		change, _ := rosterAfter(all, []manifest.Instance{a, b})
		change.listed = []manifest.Instance{a, b}
		g := (*change.instances.Load()).(*listedGroup)
		g.list(all...)
		relisted, changed := change.relist()
		is := is.New(t)
		is.True(changed)
		is.Equal(relisted, replacer.Relisted{Roster: replacer.Roster{Replicas: []unit.InstanceName{"b", "c"}}})
		_, changed = change.relist()
		is.True(!changed)
	})
	t.Run("a departed instance is asked at its address", func(t *testing.T) {
		change, _ := rosterAfter(all, []manifest.Instance{a, b})
		_, err := change.instanceStatus(t.Context(), "g", "c")
		is := is.New(t)
		is.NoErr(err)
		is.Equal((*change.instances.Load()).(*listedGroup).askedAt, []string{"c:1"})
	})
	t.Run("a departure is forgotten", func(t *testing.T) {
		change, _ := rosterAfter(all, []manifest.Instance{a, b})
		is := is.New(t)
		is.Equal(len(change.departures("g", 0)), 1)
		is.Equal(len(change.departures("g", 1)), 0) // In a later term.
		change.departed["g"][0].at = time.Now().Add(-departureMemory - time.Second)
		is.Equal(len(change.departures("g", 0)), 0)
	})
}
