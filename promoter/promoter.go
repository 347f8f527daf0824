// Package promoter decides when a group needs another primary and which
// instance it is.
//
// # Terms
//
// The instances of a group are the acceptors, a [Promoter] is only a proposer.
// It asks the instances to grant it a term above every one it has seen. With the
// grants of a majority it promotes the granter whose log is highest, by the term
// of the last record first and by its index second. It promotes at most one
// instance in a term, and its proposer name is used by no other Promoter, ever.
// So any number of Promoters, late, paused or restarted, can't make two
// primaries in one term or lose an acknowledged write: a duel costs time, never
// safety. Several of them act in the order of their rank, with random delays.
//
// # Detection
//
// A refused connection condemns a primary at once. A primary that misses
// [Timing.MissedProbes] probes in a row is silent; while replicas still report
// fresh data of it, it is given [Timing.AliveDelay] longer. A primary that
// answers but which no majority confirms any more is stalled. A term that was
// granted while nobody became primary in it is recovered after
// [Timing.RecoverDelay]. How long a probe may take is up to a [Detection]. No term is requested
// while a majority of the instances does not answer.
//
// # States
//
//	state       event                               next state   effects
//	watching    report                              watching     Follow for an instance with a lower term or another primary
//	watching    probe due                           watching     Probe
//	watching    primary suspected, delay passed     requesting   Grant T+1 of the others
//	watching    no primary, or a term left behind   requesting   Grant T+1 of all
//	watching    change asked, or primary leaving,
//	            and the candidate follows           quiescing    Quiesce the primary
//	watching    change asked, no candidate in time  watching     ChangeEnded
//	quiescing   primary quiesced, candidate has
//	            its last position                   requesting   Grant T+1 of all
//	quiescing   deadline                            watching     Quiesce for no time, ChangeEnded
//	requesting  majority granted                    promoting    Promote the highest log in T+1
//	requesting  majority impossible without the
//	            suspected primary                   requesting   Grant T+1 of the suspected one too
//	requesting  majority impossible, deadline       watching     none; next attempt after a random delay
//	promoting   candidate is primary in T+1         watching     Follow for all others, ChangeEnded
//	promoting   candidate failed or overtaken       watching     none; next attempt after a random delay
//
// # Usage
//
// A Promoter has no clock, no randomness and no connections. The embedder hands
// it events and carries out the returned effects, answering each call with
// [Reported] or [Failed]:
//
//	p := promoter.New("daemon-1/8f3a", members)
//	effects := p.Handle(promoter.Tick{Moment: promoter.Moment{At: now, Random: rand.Float64()}})
//	for _, effect := range effects {
//		switch e := effect.(type) {
//		case promoter.Probe:
//			go probe(e.Instance, e.Timeout)
//		...
//		}
//	}
//	timer.Reset(p.Next().Sub(now)) // Then hand in the next Tick.
package promoter

import (
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
)

// Member is an instance of the group.
type Member struct {
	Name unit.InstanceName
	// Address is the host:port at which other instances reach it.
	Address string
	// Leaving tells that another instance should be primary.
	Leaving bool
}

// Primary names the primary of a term.
type Primary struct {
	Instance unit.InstanceName
	Term     unit.Term
}

// Promoter is the state machine of one proposer for one group. It is not safe
// for concurrent use.
type Promoter struct {
	proposer string
	timing   Timing
	detect   Detection
	rank     int
	peers    []*peer

	now    time.Time
	random float64
	// effects are collected while an event is handled.
	effects []Effect

	primary   Primary
	confirmed unit.Term
	suspicion suspicion
	attempt   *attempt
	wanted    *wanted
	change    *change
	failures  int
	retryAt   time.Time
	startedAt time.Time
	// leftAt is when a change away from a leaving primary last began.
	leftAt time.Time
}

// pauseLimit is how late an event may come before this process is taken to have
// been paused.
const pauseLimit = 250 * time.Millisecond

// Option changes a Promoter under construction.
type Option func(*Promoter)

// WithTiming replaces [DefaultTiming].
func WithTiming(timing Timing) Option {
	return func(p *Promoter) { p.timing = timing }
}

// WithDetection replaces [DefaultDetection].
func WithDetection(detection Detection) Option {
	return func(p *Promoter) { p.detect = detection }
}

// WithRank sets the initial rank; see [Ranked].
func WithRank(rank int) Option {
	return func(p *Promoter) { p.rank = rank }
}

// New returns a Promoter that acts under the proposer name. The name must be
// used by no other Promoter, also not by an earlier life of the same one.
func New(proposer string, members []Member, options ...Option) *Promoter {
	p := &Promoter{proposer: proposer, timing: DefaultTiming, detect: DefaultDetection}
	for _, option := range options {
		option(p)
	}
	p.configure(members)
	return p
}

// Handle takes one event and returns what is to be done, in order.
func (p *Promoter) Handle(event Event) []Effect {
	p.effects = nil
	m := event.moment()
	if p.startedAt.IsZero() {
		p.startedAt = m.At
	}
	if !p.now.IsZero() && m.At.Sub(p.now) > p.timing.ProbeInterval+pauseLimit {
		p.resume(m.At)
	}
	if p.now.Before(m.At) {
		p.now = m.At
	}
	p.random = m.Random
	switch e := event.(type) {
	case Tick:
	case Reported:
		p.reported(e)
	case Failed:
		p.failed(e)
	case Disconnected:
		p.disconnected(e)
	case Ranked:
		p.rank = e.Rank
	case Reconfigured:
		p.configure(e.Members)
	case ChangeRequested:
		p.changeAsked(e)
	}
	p.advance()
	return p.effects
}

// resume forgets what silence may have been this process's own pause.
func (p *Promoter) resume(now time.Time) {
	p.suspicion = suspicion{}
	for _, q := range p.peers {
		q.missed, q.progressAt = 0, now
	}
}

// Primary returns the primary of the highest term that any report names.
func (p *Promoter) Primary() Primary {
	return p.primary
}

// Reports returns the latest report of each instance that has made one.
func (p *Promoter) Reports() []instance.Report {
	var reports []instance.Report
	for _, peer := range p.peers {
		if peer.known {
			reports = append(reports, peer.report)
		}
	}
	return reports
}

// advance does everything that is due.
func (p *Promoter) advance() {
	p.learn()
	p.confirm()
	p.advanceAttempt()
	p.advanceWanted()
	p.advanceChange()
	p.suspect()
	p.tellFollowers()
	p.probe()
}

// learn takes the primary of the highest term from the reports.
func (p *Promoter) learn() {
	for _, peer := range p.peers {
		if !peer.known || peer.report.Primary == "" || peer.report.Term <= p.primary.Term {
			continue
		}
		p.primary = Primary{Instance: peer.report.Primary, Term: peer.report.Term}
		p.suspicion = suspicion{}
		p.emit(recorder.Event{Kind: recorder.PrimaryLearned, Instance: p.primary.Instance, Term: p.primary.Term})
		for _, other := range p.peers {
			other.progressAt = p.now
			other.misledAt = time.Time{}
		}
	}
}

// confirm notices that a majority holds a record of the primary's term.
func (p *Promoter) confirm() {
	primary := p.find(p.primary.Instance)
	if p.confirmed >= p.primary.Term || primary == nil || primary.report.Term != p.primary.Term || primary.report.Role != instance.Primary {
		return
	}
	if held := p.holders(primary.report); held < p.majority() {
		return
	}
	p.confirmed = p.primary.Term
	p.failures = 0
	p.emit(recorder.Event{
		Kind: recorder.PrimaryConfirmed, Instance: p.primary.Instance, Term: p.primary.Term, Position: primary.report.Last,
	})
}

// holders counts the instances that hold any record of the primary's term, by
// the primary's own report or by their own.
func (p *Promoter) holders(primary instance.Report) int {
	record := unit.Position{Term: primary.Term, Index: 1}
	held := 0
	for _, peer := range p.peers {
		holds := peer.known && peer.report.Holds(record)
		for _, f := range primary.Followers {
			holds = holds || f.Instance == peer.Name && f.Holds(record)
		}
		if holds {
			held++
		}
	}
	return held
}

func (p *Promoter) configure(members []Member) {
	peers := make([]*peer, 0, len(members))
	for _, m := range members {
		found := p.find(m.Name)
		if found == nil {
			found = &peer{}
		}
		if m.Leaving && !found.Leaving {
			found.leavingAt = p.now
		}
		found.Member = m
		peers = append(peers, found)
	}
	p.peers = peers
}

func (p *Promoter) find(name unit.InstanceName) *peer {
	for _, peer := range p.peers {
		if peer.Name == name {
			return peer
		}
	}
	return nil
}

func (p *Promoter) majority() int {
	return instance.Majority(len(p.peers))
}

// top returns the highest term that any instance has reported.
func (p *Promoter) top() unit.Term {
	top := p.primary.Term
	for _, peer := range p.peers {
		top = max(top, peer.report.Term)
	}
	return top
}

func (p *Promoter) do(effect Effect) {
	p.effects = append(p.effects, effect)
}

func (p *Promoter) emit(event recorder.Event) {
	p.do(Emit{Event: event})
}

// Settled reports whether the primary and a majority that follows it have
// reported.
func (p *Promoter) Settled() bool {
	primary := p.find(p.primary.Instance)
	if primary == nil || !primary.leads(p.primary) {
		return false
	}
	following := 0
	for _, q := range p.peers {
		if q.alive() && q.follows(p.primary) {
			following++
		}
	}
	return following >= p.majority()
}
