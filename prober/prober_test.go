package prober_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonshed.example/member"
	"tarragonshed.example/prober"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

const tickInterval = 100 * time.Millisecond

// network runs probers on a simulated clock and delivers their messages without delay.
type network struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	order   []unit.DaemonID
	nodes   map[unit.DaemonID]*prober.Prober
	stopped map[unit.DaemonID]bool
	// blocked reports whether messages from one daemon to another are lost.
	blocked     func(from, to unit.DaemonID) bool
	lossRate    float64
	eventCounts map[recorder.Kind]int
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		nodes: make(map[unit.DaemonID]*prober.Prober), stopped: make(map[unit.DaemonID]bool),
		blocked: func(unit.DaemonID, unit.DaemonID) bool { return false }, eventCounts: make(map[recorder.Kind]int),
	}
}

func daemon(id unit.DaemonID, incarnation unit.Incarnation, domain unit.DomainName) member.Daemon {
	return member.Daemon{ID: id, Incarnation: incarnation, Domain: domain, State: member.Live, PeerAddress: string(id) + ":1"}
}

// add starts a daemon to which the platform's list shows the known daemons only.
func (n *network) add(d member.Daemon, known ...member.Daemon) {
	if _, exists := n.nodes[d.ID]; !exists {
		n.order = append(n.order, d.ID)
	}
	n.nodes[d.ID] = prober.New(d, n.now, rand.New(rand.NewPCG(n.rng.Uint64(), 2)))
	delete(n.stopped, d.ID)
	if len(known) > 0 {
		n.step(d.ID, prober.Listed{Now: n.now, Revision: 1, VMs: known})
	}
}

// addDaemons starts count daemons in three failure domains and runs them for 10 s. Each of
// them knows only the first one at its start.
func (n *network) addDaemons(count int) {
	first := daemon("d00", 1, "x0")
	for i := range count {
		id := unit.DaemonID(fmt.Sprintf("d%02d", i))
		n.add(daemon(id, 1, unit.DomainName(fmt.Sprintf("x%d", i%3))), first)
	}
	n.run(10 * time.Second)
}

func (n *network) delivers(from, to unit.DaemonID) bool {
	return n.nodes[to] != nil && !n.stopped[to] && !n.blocked(from, to) && n.rng.Float64() >= n.lossRate
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(tickInterval) {
		for _, id := range n.order {
			if !n.stopped[id] {
				n.step(id, prober.Tick{Now: n.now})
			}
		}
	}
}

func (n *network) step(id unit.DaemonID, e prober.Event) {
	for _, effect := range n.nodes[id].Step(e) {
		switch effect := effect.(type) {
		case prober.RecordEvent:
			n.eventCounts[effect.Event.Kind]++
		case prober.Probe:
			if n.call(id, effect.To.ID, false) {
				n.step(id, prober.ProbeSucceeded{Now: n.now, Sequence: effect.Sequence})
			}
		case prober.ProbeIndirect:
			via := effect.Via.ID
			if n.call(id, via, false) && n.call(via, effect.Target.ID, false) && n.delivers(via, id) {
				n.step(id, prober.ProbeSucceeded{Now: n.now, Sequence: effect.Sequence})
			}
		case prober.Exchange:
			n.call(id, effect.To.ID, true)
		}
	}
}

// call delivers a request and its response and reports whether both arrived.
func (n *network) call(from, to unit.DaemonID, exchange bool) bool {
	if !n.delivers(from, to) {
		return false
	}
	a, b := n.nodes[from], n.nodes[to]
	digest := a.Digest()
	n.step(to, prober.Received{Now: n.now, Sender: a.Self(), Entries: a.Updates(to)})
	if !n.delivers(to, from) {
		return false
	}
	entries := b.Updates(from)
	if exchange {
		entries = append(entries, b.Differing(digest)...)
	}
	n.step(from, prober.Received{Now: n.now, Sender: b.Self(), Entries: entries})
	return true
}

// assertState fails the test unless all other running daemons see id in the state.
func (n *network) assertState(id unit.DaemonID, state member.State) {
	n.t.Helper()
	for _, observer := range n.order {
		if observer == id || n.stopped[observer] {
			continue
		}
		d, ok := n.nodes[observer].View().Find(id)
		if !ok || d.State != state {
			n.t.Fatalf("%s sees %s as %q (known: %v), want %q", observer, id, d.State, ok, state)
		}
	}
}

func (n *network) assertAllLive() {
	n.t.Helper()
	for _, id := range n.order {
		if !n.stopped[id] {
			n.assertState(id, member.Live)
		}
	}
}

func TestMembership(t *testing.T) {
	t.Run("daemons that know one daemon discover all", func(t *testing.T) {
		n := newNetwork(t, 1)
		n.addDaemons(12)
		n.assertAllLive()
	})
	t.Run("no daemon is suspected in ten minutes without faults", func(t *testing.T) {
		n := newNetwork(t, 2)
		n.addDaemons(12)
		n.run(10 * time.Minute)
		is.New(t).Equal(n.eventCounts[recorder.MemberSuspected], 0)
	})
	t.Run("all daemons declare a stopped daemon dead, and no other", func(t *testing.T) {
		n := newNetwork(t, 3)
		n.addDaemons(12)
		n.stopped["d05"] = true
		n.run(30 * time.Second)
		n.assertState("d05", member.Dead)
		n.assertAllLive()
	})
	t.Run("lost messages cause no death", func(t *testing.T) {
		n := newNetwork(t, 4)
		n.addDaemons(12)
		n.lossRate = 0.1
		n.run(5 * time.Minute)
		is.New(t).Equal(n.eventCounts[recorder.MemberDead], 0)
	})
	t.Run("a resumed daemon rejoins and declares no other dead", func(t *testing.T) {
		n := newNetwork(t, 5)
		n.addDaemons(12)
		n.stopped["d03"] = true
		n.run(60 * time.Second)
		n.assertState("d03", member.Dead)
		dead := n.eventCounts[recorder.MemberDead]
		delete(n.stopped, "d03")
		n.run(20 * time.Second)
		n.assertAllLive()
		is.New(t).Equal(n.eventCounts[recorder.MemberDead], dead)
	})
	t.Run("the sides of a healed partition rediscover each other", func(t *testing.T) {
		n := newNetwork(t, 6)
		n.addDaemons(12)
		side := func(id unit.DaemonID) bool { return id == "d00" || id == "d03" || id == "d06" || id == "d09" }
		n.blocked = func(from, to unit.DaemonID) bool { return side(from) != side(to) }
		n.run(60 * time.Second)
		d, _ := n.nodes["d00"].View().Find("d01")
		is.New(t).Equal(d.State, member.Dead)
		n.blocked = func(unit.DaemonID, unit.DaemonID) bool { return false }
		n.run(30 * time.Second)
		n.assertAllLive()
	})
	t.Run("a daemon that rejoins after isolation does not change the state of others in any view", func(t *testing.T) {
		n := newNetwork(t, 8)
		n.addDaemons(6)
		n.blocked = func(from, to unit.DaemonID) bool { return from == "d05" || to == "d05" }
		n.run(60 * time.Second)
		d, _ := n.nodes["d05"].View().Find("d00")
		is.New(t).Equal(d.State, member.Dead)
		n.blocked = func(unit.DaemonID, unit.DaemonID) bool { return false }
		suspected := n.eventCounts[recorder.MemberSuspected] + n.eventCounts[recorder.MemberDead]
		for range 100 {
			n.run(tickInterval)
			for _, observer := range n.order[:5] {
				for _, other := range n.order[:5] {
					if d, _ := n.nodes[observer].View().Find(other); d.State != member.Live {
						t.Fatalf("%s shows %s as %s", observer, other, d.State)
					}
				}
			}
		}
		n.assertAllLive()
		is.New(t).True(n.eventCounts[recorder.MemberSuspected]+n.eventCounts[recorder.MemberDead] > suspected) // Its false suspicions were disseminated.
	})
	t.Run("indirect probes prevent a death when one direction between two daemons is cut", func(t *testing.T) {
		n := newNetwork(t, 7)
		n.addDaemons(12)
		n.blocked = func(from, to unit.DaemonID) bool { return from == "d01" && to == "d02" }
		n.run(2 * time.Minute)
		is.New(t).Equal(n.eventCounts[recorder.MemberDead], 0)
	})
}

func TestLeaving(t *testing.T) {
	t.Run("a leaving mark reaches all daemons within two seconds and is not withdrawn", func(t *testing.T) {
		n := newNetwork(t, 1)
		n.addDaemons(12)
		old := n.nodes["d04"].Self()
		n.step("d04", prober.Leave{Now: n.now})
		n.run(2 * time.Second)
		n.assertState("d04", member.Leaving)
		for _, id := range n.order { // A replayed message.
			n.step(id, prober.Received{Now: n.now, Sender: old})
		}
		n.run(5 * time.Second)
		n.assertState("d04", member.Leaving)
		is.New(t).True(n.nodes["d04"].Self().Leaving)
	})
	t.Run("a leaving mark in the list reaches the daemon itself", func(t *testing.T) {
		n := newNetwork(t, 2)
		n.addDaemons(6)
		marked := daemon("d04", 1, "x1")
		marked.State = member.Leaving
		n.step("d00", prober.Listed{Now: n.now, Revision: 2, VMs: []member.Daemon{daemon("d00", 1, "x0"), marked}})
		n.run(5 * time.Second)
		n.assertState("d04", member.Leaving)
		is.New(t).True(n.nodes["d04"].Self().Leaving)
	})
	t.Run("a later incarnation is not leaving", func(t *testing.T) {
		n := newNetwork(t, 3)
		n.addDaemons(6)
		n.step("d04", prober.Leave{Now: n.now})
		n.run(5 * time.Second)
		n.add(daemon("d04", 2, "x1"), daemon("d00", 1, "x0"))
		n.run(10 * time.Second)
		n.assertState("d04", member.Live)
	})
}

func TestList(t *testing.T) {
	list := func(count int) []member.Daemon {
		var vms []member.Daemon
		for i := range count {
			vms = append(vms, daemon(unit.DaemonID(fmt.Sprintf("d%02d", i)), 1, unit.DomainName(fmt.Sprintf("x%d", i%3))))
		}
		return vms
	}
	t.Run("a VM that is no longer listed is marked as leaving", func(t *testing.T) {
		n := newNetwork(t, 1)
		n.addDaemons(6)
		n.step("d00", prober.Listed{Now: n.now, Revision: 2, VMs: list(6)})
		n.step("d00", prober.Listed{Now: n.now, Revision: 3, VMs: list(5)})
		n.run(5 * time.Second)
		n.assertState("d05", member.Leaving)
	})
	t.Run("a stale list neither revives a dead daemon nor removes a new one", func(t *testing.T) {
		n := newNetwork(t, 2)
		n.addDaemons(6)
		n.stopped["d05"] = true
		n.add(daemon("d06", 1, "x0"), daemon("d00", 1, "x0"))
		for range 30 {
			n.step("d00", prober.Listed{Now: n.now, Revision: 2, VMs: list(6)})
			n.run(time.Second)
		}
		n.assertState("d05", member.Dead)
		n.assertState("d06", member.Live)
	})
	t.Run("an empty or older list changes nothing", func(t *testing.T) {
		n := newNetwork(t, 3)
		n.addDaemons(6)
		n.step("d00", prober.Listed{Now: n.now, Revision: 5, VMs: list(6)})
		n.step("d00", prober.Listed{Now: n.now, Revision: 6})
		n.step("d00", prober.Listed{Now: n.now, Revision: 4, VMs: list(2)})
		n.run(5 * time.Second)
		n.assertAllLive()
	})
	replace := func(n *network, i int) {
		id := unit.DaemonID(fmt.Sprintf("d%02d", i))
		n.add(daemon(id, 2, unit.DomainName(fmt.Sprintf("x%d", i%3))), daemon("d01", 1, "x1"))
	}
	t.Run("the four VMs of a domain are replaced one by one", func(t *testing.T) {
		n := newNetwork(t, 4)
		n.addDaemons(12)
		for i := 0; i < 12; i += 3 {
			replace(n, i)
			n.run(5 * time.Second)
		}
		n.assertAllLive()
	})
	t.Run("the four VMs of a domain are replaced at once", func(t *testing.T) {
		n := newNetwork(t, 5)
		n.addDaemons(12)
		for i := 0; i < 12; i += 3 {
			replace(n, i)
		}
		n.run(10 * time.Second)
		n.assertAllLive()
		d, _ := n.nodes["d01"].View().Find("d09")
		is.New(t).Equal(d.Incarnation, unit.Incarnation(2))
	})
}

func TestSuperseded(t *testing.T) {
	is := is.New(t)
	p := prober.New(daemon("a", 1, "x"), time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
	p.Step(prober.Received{Sender: prober.Entry{Daemon: daemon("a", 2, "x")}})
	is.True(p.Self().Leaving) // The earlier incarnation takes no new work.
}

func TestEarlierManifest(t *testing.T) {
	is := is.New(t)
	earlier := daemon("a", 1, "x")
	earlier.Manifest = 7
	p := prober.New(daemon("a", 2, "x"), time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
	effects := p.Step(prober.Received{Entries: []prober.Entry{{Daemon: earlier}}})
	is.Equal(effects[0], prober.Effect(prober.EarlierManifest{Version: 7}))
}

func drawEntry(t *rapid.T, label string) prober.Entry {
	n := func(name string, high int) int { return rapid.IntRange(0, high).Draw(t, label+name) }
	d := daemon("a", unit.Incarnation(n("incarnation", 2)), "x")
	d.PeerAddress = fmt.Sprint("p", n("address", 1))
	d.Manifest = unit.ManifestVersion(n("manifest", 3))
	return prober.Entry{
		Daemon: d, Refutation: uint64(n("refutation", 2)), Status: prober.Status(n("status", 2)),
		Leaving: n("leaving", 1) == 1, EarlierManifest: unit.ManifestVersion(n("earlier", 3)),
	}
}

// TestMerge checks that Merge is idempotent, commutative and associative, so that late,
// repeated and reordered messages have no effect.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t, "a"), drawEntry(t, "b"), drawEntry(t, "c")
		if prober.Merge(a, a) != a {
			t.Fatal("not idempotent")
		}
		if prober.Merge(a, b) != prober.Merge(b, a) {
			t.Fatalf("not commutative: %+v and %+v", prober.Merge(a, b), prober.Merge(b, a))
		}
		if prober.Merge(prober.Merge(a, b), c) != prober.Merge(a, prober.Merge(b, c)) {
			t.Fatal("not associative")
		}
	})
}
