package overseer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/replacer"
	"tarragonshed.example/tarragonshed/engine"
	"tarragonshed.example/unit"
)

// strainedGroup is a group of the instances a, the primary in term 1, and b. It implements
// Instances and Platform.
type strainedGroup struct {
	mu       sync.Mutex
	statuses map[unit.InstanceName]engine.InstanceStatus
	promoted []unit.InstanceName
}

var errNoInstance = errors.New("no such instance")

// newStrainedGroup returns a group whose replica has received the log up to an index. The
// primary's log ends at index 10.
func newStrainedGroup(received unit.Index) *strainedGroup {
	return &strainedGroup{statuses: map[unit.InstanceName]engine.InstanceStatus{
		"a": {Primary: true, Term: 1, Received: unit.Position{Term: 1, Index: 10}},
		"b": {Term: 1, Received: unit.Position{Term: 1, Index: received}},
	}}
}

func (g *strainedGroup) Manifest() *manifest.Manifest {
	return &manifest.Manifest{Groups: []manifest.Group{{
		Name: "g", Instances: []manifest.Instance{{Name: "a", Incarnation: 1, ReportsPrimary: true}, {Name: "b", Incarnation: 1}},
	}}}
}

func (*strainedGroup) Verify(context.Context, unit.GroupName, unit.InstanceName) bool { return true }

func (g *strainedGroup) Reach(_ unit.GroupName, name unit.InstanceName) engine.Reach {
	return engine.Reach{Known: true, Incarnation: 1, Strained: name == "a"}
}

func (g *strainedGroup) Status(_ context.Context, _ unit.GroupName, name unit.InstanceName) (engine.InstanceStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.statuses[name]
	if !ok {
		return s, errNoInstance
	}
	return s, nil
}

func (g *strainedGroup) StepDown(_ context.Context, _ unit.GroupName, name unit.InstanceName, term unit.Term) (engine.InstanceStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.statuses[name]
	s.Primary = s.Primary && s.Term >= term
	g.statuses[name] = s
	return s, nil
}

func (g *strainedGroup) StatusAt(ctx context.Context, group unit.GroupName, i manifest.Instance) (engine.InstanceStatus, error) {
	return g.Status(ctx, group, i.Name)
}

func (g *strainedGroup) Acknowledged(unit.GroupName) unit.Position { return unit.Position{} }

func (g *strainedGroup) Promote(_ context.Context, _ unit.GroupName, name unit.InstanceName, _ authorizer.Duty) replacer.PromotionResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoted = append(g.promoted, name)
	s := g.statuses[name]
	s.Primary, s.Term = true, 2
	g.statuses[name] = s
	return replacer.Accepted
}

// overseen returns an overseer of the group that has read the row of its primary.
func overseen(t *testing.T, g *strainedGroup) (*Overseer, *memoryStore) {
	t.Helper()
	is := is.New(t)
	store := &memoryStore{}
	o := served(t, "d", store)
	o.platform = g
	var instances Instances = g
	o.instances.Store(&instances)
	is.NoErr(o.read())
	row := authorizer.Leadership{Group: "g", State: authorizer.Leading, Primary: "a", Incarnation: 1, Term: 1}
	_, err := store.Commit(t.Context(), Transaction{Puts: []Put{encode(groupKey("g"), row), epochPut()}})
	is.NoErr(err)
	is.NoErr(o.read())
	return o, store
}

// rowOf returns the known row of the group.
func (o *Overseer) rowOf(g unit.GroupName) authorizer.Leadership {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.auth.View().Leaderships[g]
}

// TestStrainedPrimaryIsRelieved checks that a replica takes over from a primary that has to
// serve all reads, provided that no write is lost.
func TestStrainedPrimaryIsRelieved(t *testing.T) {
	t.Run("a replica that receives the log takes over", func(t *testing.T) {
		is := is.New(t)
		g := newStrainedGroup(10)
		o, _ := overseen(t, g)
		for o.rowOf("g").Primary != "b" {
			o.watch()
			time.Sleep(time.Millisecond)
			is.NoErr(o.read())
		}
		is.Equal(g.promoted, []unit.InstanceName{"b"})
		is.Equal(o.rowOf("g").Term, unit.Term(2))
	})
	t.Run("a replica that does not receive the log", func(t *testing.T) {
		is := is.New(t)
		g := newStrainedGroup(9)
		o, _ := overseen(t, g)
		is.True(!o.hasSuccessor(g.Manifest().Groups[0], o.rowOf("g")))
	})
	t.Run("the primary stays in use while a successor is sought", func(t *testing.T) {
		is := is.New(t)
		o, _ := overseen(t, newStrainedGroup(9))
		o.beginChange(o.manifest().Groups[0], o.rowOf("g"), &fault{reason: strained, queriedAt: time.Now()})
		for running := true; running; {
			_, usable := o.Primary("g")
			is.True(usable)
			time.Sleep(time.Millisecond)
			o.mu.Lock()
			running = o.changes["g"]
			o.mu.Unlock()
		}
	})
	t.Run("a primary that does not lead its term", func(t *testing.T) {
		is := is.New(t)
		g := newStrainedGroup(10)
		o, _ := overseen(t, g)
		row := o.rowOf("g")
		row.Term = 2
		is.True(!o.hasSuccessor(g.Manifest().Groups[0], row))
	})
}

// heldGroup is a strainedGroup whose platform promotes when it is released.
type heldGroup struct {
	*strainedGroup
	requested, released chan struct{}
}

func (g heldGroup) Promote(ctx context.Context, group unit.GroupName, name unit.InstanceName, d authorizer.Duty) replacer.PromotionResult {
	g.requested <- struct{}{}
	<-g.released
	return g.strainedGroup.Promote(ctx, group, name, d)
}

// TestChangeIsFinished guards against a group without a primary for seconds, because the daemon that
// changed it ended before it was through (issue 34).
func TestChangeIsFinished(t *testing.T) {
	is := is.New(t)
	g := heldGroup{strainedGroup: newStrainedGroup(10), requested: make(chan struct{}), released: make(chan struct{})}
	o, _ := overseen(t, g.strainedGroup)
	o.platform = g
	for begun := false; !begun; {
		o.watch()
		is.NoErr(o.read())
		select {
		case <-g.requested:
			begun = true
		case <-time.After(time.Millisecond):
		}
	}
	ended, end := context.WithCancel(t.Context())
	end()
	is.True(errors.Is(o.FinishChanges(ended), context.Canceled))
	finished := make(chan error)
	go func() { finished <- o.FinishChanges(t.Context()) }()
	select {
	case <-finished:
		t.Fatal("the change was still running")
	case <-time.After(10 * time.Millisecond):
	}
	close(g.released)
	is.NoErr(<-finished)
	is.NoErr(o.read())
	is.Equal(o.rowOf("g").Primary, unit.InstanceName("b"))
	o.beginChange(o.manifest().Groups[0], o.rowOf("g"), &fault{reason: leaving, queriedAt: time.Now()})
	is.Equal(o.runningChanges(), 0)
}

// groupWithDark is a strainedGroup with another instance, dark, that never responds.
type groupWithDark struct{ *strainedGroup }

func (g groupWithDark) Status(ctx context.Context, group unit.GroupName, name unit.InstanceName) (engine.InstanceStatus, error) {
	if name == "dark" {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return engine.InstanceStatus{}, ctx.Err()
	}
	return g.strainedGroup.Status(ctx, group, name)
}

// TestDarkReplicaHidesNoSuccessor guards against a primary that was never relieved: the replicas
// were asked one after the other, and one that did not respond used up the time for all.
func TestDarkReplicaHidesNoSuccessor(t *testing.T) {
	is := is.New(t)
	g := newStrainedGroup(10)
	o, _ := overseen(t, g)
	var instances Instances = groupWithDark{g}
	o.instances.Store(&instances)
	group := g.Manifest().Groups[0]
	group.Instances = []manifest.Instance{{Name: "a"}, {Name: "dark"}, {Name: "b"}}
	is.True(o.hasSuccessor(group, o.rowOf("g")))
}

// TestReliefMayBegin checks that a strained primary stays in use if its relief could take
// longer than the strain costs.
func TestReliefMayBegin(t *testing.T) {
	is := is.New(t)
	f := &fault{reason: strained}
	is.True(!f.mayBegin(time.Hour)) // The other daemons have not been queried.
	f.queriedAt = time.Now()
	is.True(f.mayBegin(time.Hour))
	is.True(!f.mayBegin(minReliefInterval - time.Millisecond))
	f.querying = true
	is.True(!f.mayBegin(time.Hour))
	f.querying, f.isolated = false, true
	is.True(!f.mayBegin(time.Hour))
}

// TestClaimOfChangedRow guards against a claim over another daemon's: two daemons had seen
// the same strained primary, and the second one, which was slower to find a successor, put
// its own claim over the first one's change while that was under way.
func TestClaimOfChangedRow(t *testing.T) {
	is := is.New(t)
	g := newStrainedGroup(10)
	o, store := overseen(t, g)
	before := o.rowOf("g")
	claimed := before
	claimed.State, claimed.Fence, claimed.Changer = authorizer.Changing, 1, "other"
	_, err := store.Commit(t.Context(), Transaction{Puts: []Put{encode(groupKey("g"), claimed), epochPut()}})
	is.NoErr(err)
	is.NoErr(o.read())
	_, ok := o.claim("g", before, &fault{reason: strained})
	is.True(!ok)
	is.NoErr(o.read())
	is.Equal(o.rowOf("g"), claimed)
}
