package target

import (
	"errors"
	"sort"
	"sync"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// statement is one SQL statement of a write transaction in sqlite's dialect.
type statement struct {
	SQL  string
	Args []any
}

// record is one write transaction of the log. The first record of a term has no
// statements.
type record struct {
	Term        unit.Term
	Index       unit.Index
	Statements  []statement
	CommittedAt int64

	receivedAt time.Time
}

func (r record) position() unit.Position {
	return unit.Position{Term: r.Term, Index: r.Index}
}

// span is a range of the log's indexes with one term.
type span struct {
	Term  unit.Term  `json:"term"`
	First unit.Index `json:"first"`
	Last  unit.Index `json:"last"`
}

// follower is what a primary knows of a replica.
type follower struct {
	instance.Follower
	// confirmed is the primary's time in the last frame that the replica answered.
	confirmed int64
}

// freshnessInterval is how often a report is pushed in which only the freshness is
// new.
const freshnessInterval = time.Second

var (
	errNotPrimary = errors.New("target: not primary in the transaction's term")
	errTruncated  = errors.New("target: the log was truncated")
)

// ledger is the log, the term and the role of an instance under one lock. It
// survives a crash of the process.
type ledger struct {
	name      unit.InstanceName
	groupSize int
	now       func() time.Time

	mu             sync.Mutex
	boot           uint64
	sequence       uint64
	role           instance.Role
	term           unit.Term
	grantedTo      string
	primary        unit.InstanceName
	primaryAddress string
	records        []record
	applied        unit.Index
	freshAt        int64
	marks          []mark
	quiescedUntil  time.Time
	followers      map[unit.InstanceName]*follower
	// source counts changes of what the instance replicates from.
	source uint64
	// truncations counts tails dropped.
	truncations uint64
	lastTime    int64
	// toldFresh is freshAt when waiters were last woken.
	toldFresh int64
	changed   chan struct{}
}

// mark says that everything committed before time is visible once index is applied.
type mark struct {
	index unit.Index
	time  int64
}

func newLedger(name unit.InstanceName, groupSize int) *ledger {
	return &ledger{
		name: name, groupSize: groupSize, now: time.Now, role: instance.Detached,
		followers: map[unit.InstanceName]*follower{}, changed: make(chan struct{}),
	}
}

// start begins a new life of the process.
func (l *ledger) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boot = max(l.boot+1, uint64(l.now().UnixNano()))
	l.sequence = 0
	l.quiescedUntil = time.Time{}
	l.followers = map[unit.InstanceName]*follower{}
	l.announce()
}

// announce wakes all who wait for a change. The caller holds the lock.
func (l *ledger) announce() {
	l.toldFresh = l.freshAt
	close(l.changed)
	l.changed = make(chan struct{})
}

// announceFreshness wakes waiters for a change of freshAt alone, once an interval.
// The caller holds the lock.
func (l *ledger) announceFreshness() {
	if l.freshAt-l.toldFresh >= int64(freshnessInterval) {
		l.announce()
	}
}

// watch returns a channel that is closed at the next change.
func (l *ledger) watch() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// last returns the position of the last record. The caller holds the lock.
func (l *ledger) last() unit.Position {
	return l.positionAt(unit.Index(len(l.records)))
}

func (l *ledger) positionAt(index unit.Index) unit.Position {
	if index == 0 {
		return unit.Position{}
	}
	return l.records[index-1].position()
}

func (l *ledger) currentTerm() unit.Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// standing returns the current term and the position that reads see.
func (l *ledger) standing() (unit.Term, unit.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.positionAt(l.applied)
}

func (l *ledger) report() instance.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reportLocked()
}

func (l *ledger) reportLocked() instance.Report {
	l.sequence++
	r := instance.Report{
		Instance: l.name, Boot: l.boot, Sequence: l.sequence, Role: l.role, Term: l.term,
		GrantedTo: l.grantedTo, Last: l.last(), Applied: l.positionAt(l.applied),
		FreshAt: l.freshAt, Primary: l.primary, Quiesced: l.quiesced(),
	}
	if l.role != instance.Primary {
		return r
	}
	r.FreshAt = l.confirmedTime()
	for _, f := range l.followers {
		r.Followers = append(r.Followers, f.Follower)
	}
	sort.Slice(r.Followers, func(i, j int) bool { return r.Followers[i].Instance < r.Followers[j].Instance })
	return r
}

func (l *ledger) quiesced() bool {
	return l.role == instance.Primary && l.now().Before(l.quiescedUntil)
}

// confirmedTime returns the last time at which a majority was in the primary's
// term. The caller holds the lock.
func (l *ledger) confirmedTime() int64 {
	times := []int64{l.now().UnixNano()}
	for _, f := range l.followers {
		if f.Term == l.term {
			times = append(times, f.confirmed)
		}
	}
	majority := instance.Majority(l.groupSize)
	if len(times) < majority {
		return l.freshAt
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	l.freshAt = max(l.freshAt, times[majority-1])
	return l.freshAt
}

// stamp returns the current time, later than all stamps before.
func (l *ledger) stamp() int64 {
	l.lastTime = max(l.lastTime+1, l.now().UnixNano())
	return l.lastTime
}

// grant gives term to proposer if it is above the current one. It reports
// whether the term changed.
func (l *ledger) grant(term unit.Term, proposer string) (instance.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	granted := term > l.term
	if granted {
		l.term, l.grantedTo = term, proposer
		l.role, l.primary, l.primaryAddress = instance.Detached, "", ""
		l.leave()
	}
	return l.reportLocked(), granted
}

// promote makes the instance primary in term if it is granted to proposer and
// the instance does not follow another primary in it already.
func (l *ledger) promote(term unit.Term, proposer string) (instance.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	promoted := term > 0 && l.term == term && l.grantedTo == proposer && l.role == instance.Detached
	if promoted {
		l.lead()
	}
	return l.reportLocked(), promoted
}

// lead becomes primary of the current term. The caller holds the lock.
func (l *ledger) lead() {
	l.role, l.primary, l.primaryAddress = instance.Primary, l.name, ""
	l.leave()
	l.records = append(l.records, record{Term: l.term, Index: unit.Index(len(l.records) + 1), CommittedAt: l.stamp()})
}

// leave ends what belongs to the former role. The caller holds the lock.
func (l *ledger) leave() {
	l.source++
	l.quiescedUntil = time.Time{}
	l.followers = map[unit.InstanceName]*follower{}
	l.marks = nil
	l.announce()
}

// follow makes the instance a replica of primary in term.
func (l *ledger) follow(term unit.Term, primary unit.InstanceName, address string) (instance.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term || primary == l.name || (term == l.term && l.role == instance.Primary) {
		return l.reportLocked(), false
	}
	if term == l.term && l.role == instance.Replica && l.primary == primary && l.primaryAddress == address {
		return l.reportLocked(), false
	}
	if term > l.term {
		l.term, l.grantedTo = term, ""
	}
	l.role, l.primary, l.primaryAddress = instance.Replica, primary, address
	l.leave()
	return l.reportLocked(), true
}

// quiesce admits no new write transaction until the time, if primary in term.
func (l *ledger) quiesce(term unit.Term, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term {
		return false
	}
	l.quiescedUntil = until
	l.announce()
	return true
}

// writable returns the term in which a new write transaction may run.
func (l *ledger) writable() (unit.Term, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.quiesced() {
		return 0, errNotPrimary
	}
	return l.term, nil
}

func (l *ledger) leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role == instance.Primary
}

// caughtUp reports whether all records are applied.
func (l *ledger) caughtUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.applied) == len(l.records)
}

// commit appends the record of a write transaction that began in term. The
// function makes it visible; nothing is appended when it fails.
func (l *ledger) commit(term unit.Term, statements []statement, visible func(unit.Position) error) (unit.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term {
		return unit.Position{}, errNotPrimary
	}
	r := record{Term: term, Index: unit.Index(len(l.records) + 1), Statements: statements, CommittedAt: l.stamp()}
	if err := visible(r.position()); err != nil {
		return unit.Position{}, err
	}
	l.records = append(l.records, r)
	l.applied = r.Index
	l.announce()
	return r.position(), nil
}

// pending returns up to limit records that are not yet applied, and the count of
// truncations that it belongs to.
func (l *ledger) pending(limit int) ([]record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := int(l.applied)
	to := min(from+limit, len(l.records))
	return append([]record(nil), l.records[from:to]...), l.truncations
}

// apply makes records up to index visible by the function, unless a tail was
// dropped since.
func (l *ledger) apply(index unit.Index, truncations uint64, visible func() error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.truncations != truncations {
		return errTruncated
	}
	if err := visible(); err != nil {
		return err
	}
	l.applied = index
	if index > 0 {
		l.freshAt = max(l.freshAt, l.records[index-1].CommittedAt)
	}
	l.passMarks()
	l.announce()
	return nil
}

func (l *ledger) passMarks() {
	for len(l.marks) > 0 && l.marks[0].index <= l.applied {
		l.freshAt = max(l.freshAt, l.marks[0].time)
		l.marks = l.marks[1:]
	}
}

// history returns the index ranges of the log by term.
func (l *ledger) history() []span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return spans(l.records)
}

func spans(records []record) []span {
	list := []span{}
	for _, r := range records {
		if n := len(list); n > 0 && list[n-1].Term == r.Term {
			list[n-1].Last = r.Index
			continue
		}
		list = append(list, span{Term: r.Term, First: r.Index, Last: r.Index})
	}
	return list
}
