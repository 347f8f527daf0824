// Package promoter decides when a group of database instances needs another
// primary and which instance becomes the primary.
//
// # Terms
//
// A term is a numbered period with at most one primary. The instances of a group
// act as the acceptors of a consensus protocol, a [Promoter] is only a proposer.
// It requests that the instances grant it a term above every term it has seen.
// With the grants of a majority it promotes the granter with the highest log,
// compared by the term of the last record first and by its index second. It
// promotes at most one instance in a term, and no other Promoter ever uses its
// proposer name. Therefore Promoters cannot create two primaries in one term or
// lose an acknowledged write, however many there are and even if they are delayed,
// paused or restarted. Competing Promoters delay a promotion but do not make it
// unsafe. To avoid this delay, the Promoters of a group act in the order of their
// rank, with random delays.
//
// # Detection
//
// A primary whose VM refuses a connection is suspected at once. A primary that
// misses [Timing.MissedProbes] probes in a row is unresponsive; while replicas
// still report fresh data from it, it is replaced [Timing.AliveDelay] later. A
// primary that answers but is no longer confirmed by a majority is stalled. A
// granted term without a primary is superseded by a new one after
// [Timing.RecoverDelay]. A [Detection] sets the timeout of probes. No term is
// requested unless a majority of the instances answers.
//
// # States
//
//	state       event                               next state   effects
//	watching    report                              watching     Follow for an instance with a lower term or another primary
//	watching    probe due                           watching     Probe
//	watching    primary suspected, delay passed     requesting   Grant T+1 for all but the suspected one
//	watching    no primary, or a granted term
//	            without one                         requesting   Grant T+1 for all
//	watching    change requested, or primary
//	            leaving, and the target follows     quiescing    Quiesce the primary
//	watching    change requested, target does not
//	            follow in time                      watching     ChangeEnded
//	quiescing   primary quiesced, target has
//	            its last position                   requesting   Grant T+1 for all
//	quiescing   deadline                            watching     Quiesce with a zero period, ChangeEnded
//	requesting  majority granted                    promoting    Promote the highest log in T+1
//	requesting  majority impossible without the
//	            suspected primary                   requesting   Grant T+1 for the suspected one too
//	requesting  majority impossible, deadline       watching     none; next attempt after a random delay
//	promoting   candidate is primary in T+1         watching     Follow for all others, ChangeEnded
//	promoting   candidate failed or superseded      watching     none; next attempt after a random delay
//
// # Usage
//
// A Promoter has no clock, no source of randomness and no connections. Its caller
// passes events in, carries out the returned effects and answers each call with
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
//	timer.Reset(p.Next().Sub(now)) // Passes the next Tick when it fires.
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
	// Leaving reports that the instance is marked as leaving the group: another
	// one should be primary.
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
	proposer  string
	timing    Timing
	detection Detection
	rank      int
	peers     []*peer

	now    time.Time
	random float64
	// effects are collected while an event is handled.
	effects []Effect

	primary Primary
	// confirmed is the latest term of which a majority holds a record.
	confirmed     unit.Term
	suspicion     suspicion
	attempt       *attempt
	pendingChange *pendingChange
	change        *change
	// failures counts the attempts that failed since a primary was last promoted
	// or confirmed. No attempt starts before retryAt.
	failures  int
	retryAt   time.Time
	startedAt time.Time
	// leavingChangeAt is when a change away from a leaving primary last began.
	leavingChangeAt time.Time
}

// pauseLimit is how late after its due time an event may arrive. A later one means
// that this process was paused.
const pauseLimit = 250 * time.Millisecond

// Option configures a Promoter; see [New].
type Option func(*Promoter)

// WithTiming replaces [DefaultTiming].
func WithTiming(timing Timing) Option {
	return func(p *Promoter) { p.timing = timing }
}

// WithDetection replaces [DefaultDetection].
func WithDetection(detection Detection) Option {
	return func(p *Promoter) { p.detection = detection }
}

// WithRank sets the initial rank; see [Ranked].
func WithRank(rank int) Option {
	return func(p *Promoter) { p.rank = rank }
}

// New returns a Promoter that acts under the proposer name. No other Promoter may
// ever use the name, nor an earlier incarnation of the same one: otherwise two
// instances could be promoted in one term.
func New(proposer string, members []Member, options ...Option) *Promoter {
	p := &Promoter{proposer: proposer, timing: DefaultTiming, detection: DefaultDetection}
	for _, option := range options {
		option(p)
	}
	p.configure(members)
	return p
}

// Handle processes one event and returns the effects to carry out, in order.
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
		p.changeRequested(e)
	}
	p.advance()
	return p.effects
}

// resume clears the suspicion, the missed probes and the stall timers after a pause
// of this process, which may have caused them.
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

// advance updates the state from the reports and emits the effects that are due.
func (p *Promoter) advance() {
	p.learn()
	p.confirm()
	p.advanceAttempt()
	p.advancePendingChange()
	p.advanceChange()
	p.suspect()
	p.redirectFollowers()
	p.probe()
}

// learn sets the primary to that of the highest term in the reports.
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
			other.notFollowingSince = time.Time{}
		}
	}
}

// confirm records that a majority holds a record of the primary's term.
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

// configure replaces the members and keeps the state of those that remain.
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

// highestTerm returns the highest term that any instance has reported.
func (p *Promoter) highestTerm() unit.Term {
	highest := p.primary.Term
	for _, peer := range p.peers {
		highest = max(highest, peer.report.Term)
	}
	return highest
}

func (p *Promoter) do(effect Effect) {
	p.effects = append(p.effects, effect)
}

func (p *Promoter) emit(event recorder.Event) {
	p.do(Emit{Event: event})
}

// PrimaryEstablished reports whether the primary and a majority that follows it have
// reported.
func (p *Promoter) PrimaryEstablished() bool {
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
