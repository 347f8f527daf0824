package replacer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragonshed.example/unit"
)

// defect is a rule of a change that a variant of the model breaks on purpose.
type defect string

const (
	noDefect            defect = ""
	tooFewAnswers       defect = "one answer too few is enough"
	leavingNotAsked     defect = "leaving replicas are left out"
	departedNotCounted  defect = "unlisted replicas are left out"
	forgottenNotCounted defect = "restarted instances speak for their earlier incarnations"
	deadReport          defect = "daemons that do not answer count as having reported nothing"
	reportedEarly       defect = "daemons report before their authority has ended"
	foreignStepDown     defect = "another incarnation of the primary reports what it had"
)

// modelInstance is an instance of the model. Its log is a prefix of the old primary's.
type modelInstance struct {
	name      unit.InstanceName
	received  unit.Index
	deaf      bool
	darkUntil unit.Instant // Until when it answers nothing.
	busyUntil unit.Instant // Until when it has no slot for a request of its status.
	leaving   bool
	unlisted  bool
	leads     bool
}

// model is a group with synchronous replicas, whose old primary is the first instance, and three
// daemons, of which d-1 makes the change.
type model struct {
	random       *rand.Rand
	defect       defect
	instances    []*modelInstance
	synchronous  int
	last         unit.Index // Index of the last write.
	acknowledged unit.Index // Index of the last acknowledged write.
	reports      map[unit.DaemonID]unit.Index
	early        map[unit.DaemonID]unit.Index // The same before the last writes.
	restarted    int                          // Incarnations that have lost their log.
	reborn       bool                         // Whether the old primary has restarted without its log.
	now          unit.Instant
	pending      []modelEvent
	r            *Replacer
}

// modelEvent is an event that reaches the Replacer at a time.
type modelEvent struct {
	at    unit.Instant
	event func() Event
}

// newModel returns the model of a seed after its writes.
func newModel(seed uint64, d defect) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 11)), defect: d, synchronous: 1,
		reports: map[unit.DaemonID]unit.Index{"d-1": 0, "d-2": 0, "d-3": 0},
	}
	for _, name := range []unit.InstanceName{"a", "b", "c", "d"}[:3+m.random.IntN(2)] {
		m.instances = append(m.instances, &modelInstance{name: name, received: 1})
	}
	if len(m.instances) == 4 {
		m.synchronous += m.random.IntN(2)
	}
	m.instances[0].leads = m.random.IntN(3) > 0 // Otherwise a step-down was lost with its response.
	m.last = 1
	writes := 3 + m.random.IntN(12)
	for n := range writes {
		if n == writes/2 {
			m.early = map[unit.DaemonID]unit.Index{"d-1": m.reports["d-1"], "d-2": m.reports["d-2"], "d-3": m.reports["d-3"]}
		}
		m.disturb()
		m.write()
	}
	return m
}

// disturb changes the state of a replica now and then.
func (m *model) disturb() {
	i := m.instances[1+m.random.IntN(len(m.instances)-1)]
	switch m.random.IntN(12) {
	case 0, 1:
		i.deaf = true
	case 2:
		i.deaf = false
	case 3:
		i.leaving = true
	case 4:
		i.unlisted = true
	case 5:
		if m.restarted < 2 {
			i.received, i.deaf = 0, i.deaf || m.random.IntN(2) == 0
			m.restarted++
		}
	}
}

// write writes at the old primary. It is acknowledged through a random daemon if enough replicas
// receive it.
func (m *model) write() {
	m.last++
	m.instances[0].received = m.last
	received := 0
	for _, i := range m.instances[1:] {
		if !i.deaf {
			i.received = m.last
			received++
		}
	}
	if received >= m.synchronous {
		m.acknowledged = m.last
		d := []unit.DaemonID{"d-1", "d-2", "d-3"}[m.random.IntN(3)]
		m.reports[d] = m.last
	}
}

// fail ends the use of the old primary and of some other instances for a while.
func (m *model) fail() {
	for _, i := range m.instances {
		if i == m.instances[0] || m.random.IntN(4) == 0 {
			i.darkUntil = unit.Instant(m.random.Int64N(int64(12 * time.Second)))
		}
		if m.random.IntN(3) == 0 {
			i.busyUntil = unit.Instant(m.random.Int64N(int64(time.Second)))
		}
	}
	if m.random.IntN(6) == 0 { // It has restarted without its log.
		m.instances[0].received, m.reborn = 0, true
		m.instances[0].darkUntil = 0
	}
}

// roster returns the roster as the daemon d-1 sees it.
func (m *model) roster() Roster {
	var r Roster
	for n, i := range m.instances {
		switch {
		case n == 0 && !m.reborn:
		case i.unlisted && m.defect != departedNotCounted:
			r.Departed = append(r.Departed, i.name)
		case i.unlisted:
		case i.leaving && m.defect != leavingNotAsked:
			r.Leaving = append(r.Leaving, i.name)
		case i.leaving:
		default:
			r.Replicas = append(r.Replicas, i.name)
		}
	}
	if m.defect != forgottenNotCounted {
		r.Forgotten = m.restarted
		if m.reborn {
			r.Forgotten++
		}
	}
	return r
}

func (m *model) find(name unit.InstanceName) *modelInstance {
	n := slices.IndexFunc(m.instances, func(i *modelInstance) bool { return i.name == name })
	return m.instances[n]
}

// after schedules an event.
func (m *model) after(d time.Duration, event func() Event) {
	m.pending = append(m.pending, modelEvent{at: m.now.Add(d), event: event})
}

// apply carries out an effect. It returns whether the change has ended, and a fault if an instance
// is promoted as having every acknowledged write that lacks one.
func (m *model) apply(effect Effect) (ended bool, fault string) {
	delay := time.Duration(m.random.IntN(40)) * time.Millisecond
	switch effect := effect.(type) {
	case Survey:
		for _, name := range effect.Instances {
			i := m.find(name)
			if m.now < i.darkUntil || m.now < i.busyUntil {
				continue
			}
			m.after(delay, func() Event {
				return Surveyed{Status{Instance: name, Primary: i.leads, Term: 3, Received: pos(3, i.received)}}
			})
		}
	case StepDown:
		if i := m.instances[0]; m.now >= i.darkUntil && (!m.reborn || m.defect == foreignStepDown) {
			m.after(delay, func() Event { i.leads = false; return SteppedDown{pos(3, i.received)} })
		}
	case Promote:
		i := m.find(effect.Instance)
		if m.now < i.darkUntil {
			m.after(delay, func() Event { return Promoted{effect.Instance, NotRunning} })
			return false, ""
		}
		if !m.r.Unproven() && i.received < m.acknowledged {
			return true, fmt.Sprintf("%s has %d, acknowledged is %d", i.name, i.received, m.acknowledged)
		}
		return true, ""
	case Stop:
		return true, fmt.Sprintf("no instance was promoted: %v", effect.Err)
	}
	return false, ""
}

// play plays a change to its promotion.
func (m *model) play() (fault string, unproven bool) {
	m.fail()
	change := plan()
	change.Synchronous, change.Roster, change.Acknowledged = m.synchronous, m.roster(), pos(3, m.reports["d-1"])
	if m.defect == tooFewAnswers {
		change.Synchronous++
	}
	for _, d := range []unit.DaemonID{"d-2", "d-3"} {
		dead := m.random.IntN(4) == 0
		switch {
		case dead && m.defect == deadReport:
			m.after(0, func() Event { return Reported{d, unit.Position{}} })
		case !dead && m.defect == reportedEarly:
			m.after(0, func() Event { return Reported{d, pos(3, m.early[d])} })
		case !dead:
			m.after(time.Duration(m.random.IntN(50))*time.Millisecond, func() Event { return Reported{d, pos(3, m.reports[d])} })
		}
		m.after(60*time.Millisecond, func() Event { return Dropped{d} })
	}
	var effects []Effect
	m.r, effects = New(change, 0)
	for {
		for _, e := range effects {
			if ended, fault := m.apply(e); ended {
				return fault, m.r.Unproven()
			}
		}
		m.now = m.now.Add(10 * time.Millisecond)
		effects = m.r.Step(Tick{}, m.now)
		effects = append(effects, m.listAgain()...)
		due := m.pending
		m.pending = nil
		for _, p := range due {
			if p.at > m.now {
				m.pending = append(m.pending, p)
				continue
			}
			effects = append(effects, m.r.Step(p.event(), m.now)...)
		}
	}
}

// listAgain lists an unlisted instance again now and then.
func (m *model) listAgain() []Effect {
	if m.random.IntN(300) > 0 {
		return nil
	}
	for _, i := range m.instances {
		i.unlisted = false
	}
	return m.r.Step(Relisted{Roster: m.roster()}, m.now)
}

// TestSynchronousModel plays random failures of a group with synchronous replicas: no instance is
// promoted as having every acknowledged write that lacks one, and every change promotes an instance.
func TestSynchronousModel(t *testing.T) {
	unproven := 0
	const seeds = 4000
	for seed := range uint64(seeds) {
		fault, without := newModel(seed, noDefect).play()
		if fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
		if without {
			unproven++
		}
	}
	t.Logf("%d of %d changes without proof", unproven, seeds)
}

// TestSynchronousModelFindsDefects checks that the model detects a change that breaks a rule.
func TestSynchronousModelFindsDefects(t *testing.T) {
	for _, d := range []defect{
		tooFewAnswers, leavingNotAsked, departedNotCounted, forgottenNotCounted, deadReport, reportedEarly, foreignStepDown,
	} {
		t.Run(string(d), func(t *testing.T) {
			for seed := range uint64(4000) {
				if fault, _ := newModel(seed, d).play(); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Error("not detected")
		})
	}
}
