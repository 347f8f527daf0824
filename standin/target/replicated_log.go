package target

import (
	"errors"
	"sort"
	"sync"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// statement is one SQL statement of a write transaction in SQLite's dialect.
type statement struct {
	SQL  string
	Args []any
}

// record is a log record: one committed write transaction. The first record of a
// term has no statements.
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

// span is a contiguous range of log indexes whose records have the same term.
type span struct {
	Term  unit.Term  `json:"term"`
	First unit.Index `json:"first"`
	Last  unit.Index `json:"last"`
}

// follower is the state of a replica as last acknowledged to the primary.
type follower struct {
	instance.Follower
	// confirmed is the latest send time, by the primary's clock, of a frame that the
	// replica has acknowledged, in Unix nanoseconds.
	confirmed int64
}

// freshnessInterval is the minimum interval between pushed reports that differ only
// in their freshness.
const freshnessInterval = time.Second

var (
	errNotPrimary = errors.New("target: instance is not the primary in the transaction's term")
	errTruncated  = errors.New("target: log truncated or advanced during apply")
)

// replicatedLog holds the log, the term and the role of an instance under one lock.
// It survives a crash of the process.
type replicatedLog struct {
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
	freshnessMarks []freshnessMark
	quiescedUntil  time.Time
	followers      map[unit.InstanceName]*follower
	// sourceVersion counts changes of the replication source.
	sourceVersion uint64
	// truncations counts truncations of the log.
	truncations uint64
	lastTime    int64
	// notifiedFreshAt is the value of freshAt when waiters were last notified.
	notifiedFreshAt int64
	changed         chan struct{}
}

// freshnessMark records that every transaction committed before time is visible once
// the record at index is applied.
type freshnessMark struct {
	index unit.Index
	time  int64
}

func newReplicatedLog(name unit.InstanceName, groupSize int) *replicatedLog {
	return &replicatedLog{
		name: name, groupSize: groupSize, now: time.Now, role: instance.Detached,
		followers: map[unit.InstanceName]*follower{}, changed: make(chan struct{}),
	}
}

// start initializes the volatile state for a new incarnation of the process.
func (l *replicatedLog) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boot = max(l.boot+1, uint64(l.now().UnixNano()))
	l.sequence = 0
	l.quiescedUntil = time.Time{}
	l.followers = map[unit.InstanceName]*follower{}
	l.notifyChange()
}

// notifyChange wakes all goroutines that wait for a change. The caller holds the lock.
func (l *replicatedLog) notifyChange() {
	l.notifiedFreshAt = l.freshAt
	close(l.changed)
	l.changed = make(chan struct{})
}

// notifyFreshness wakes waiters if freshAt has advanced by at least
// freshnessInterval since the last notification. The caller holds the lock.
func (l *replicatedLog) notifyFreshness() {
	if l.freshAt-l.notifiedFreshAt >= int64(freshnessInterval) {
		l.notifyChange()
	}
}

// watch returns a channel that is closed on the next change.
func (l *replicatedLog) watch() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// last returns the position of the last record, which is zero for an empty log. The
// caller holds the lock.
func (l *replicatedLog) last() unit.Position {
	return l.positionAt(unit.Index(len(l.records)))
}

func (l *replicatedLog) positionAt(index unit.Index) unit.Position {
	if index == 0 {
		return unit.Position{}
	}
	return l.records[index-1].position()
}

func (l *replicatedLog) currentTerm() unit.Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// appliedPosition returns the current term and the position that reads see.
func (l *replicatedLog) appliedPosition() (unit.Term, unit.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.positionAt(l.applied)
}

func (l *replicatedLog) report() instance.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reportLocked()
}

func (l *replicatedLog) reportLocked() instance.Report {
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

func (l *replicatedLog) quiesced() bool {
	return l.role == instance.Primary && l.now().Before(l.quiescedUntil)
}

// confirmedTime returns the latest time at which a majority of the group is known to
// have been in the primary's term, in Unix nanoseconds. The caller holds the lock.
func (l *replicatedLog) confirmedTime() int64 {
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

// nextTimestamp returns the current time in Unix nanoseconds, advanced if needed so
// that timestamps increase strictly.
func (l *replicatedLog) nextTimestamp() int64 {
	l.lastTime = max(l.lastTime+1, l.now().UnixNano())
	return l.lastTime
}

// grant grants term to proposer if it is higher than the current one. It reports
// whether the term changed.
func (l *replicatedLog) grant(term unit.Term, proposer string) (instance.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	granted := term > l.term
	if granted {
		l.term, l.grantedTo = term, proposer
		l.role, l.primary, l.primaryAddress = instance.Detached, "", ""
		l.resetRole()
	}
	return l.reportLocked(), granted
}

// promote makes the instance the primary in term if term is granted to proposer and
// the instance does not already follow another primary in it. It reports whether the
// instance was promoted.
func (l *replicatedLog) promote(term unit.Term, proposer string) (instance.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	promoted := term > 0 && l.term == term && l.grantedTo == proposer && l.role == instance.Detached
	if promoted {
		l.becomePrimary()
	}
	return l.reportLocked(), promoted
}

// becomePrimary makes the instance the primary of the current term and appends the
// term's first record. The caller holds the lock.
func (l *replicatedLog) becomePrimary() {
	l.role, l.primary, l.primaryAddress = instance.Primary, l.name, ""
	l.resetRole()
	l.records = append(l.records, record{Term: l.term, Index: unit.Index(len(l.records) + 1), CommittedAt: l.nextTimestamp()})
}

// resetRole clears the state that belongs to the previous role. The caller holds the
// lock.
func (l *replicatedLog) resetRole() {
	l.sourceVersion++
	l.quiescedUntil = time.Time{}
	l.followers = map[unit.InstanceName]*follower{}
	l.freshnessMarks = nil
	l.notifyChange()
}

// follow makes the instance a replica of primary in term. It reports whether the
// instance changed the primary that it follows.
func (l *replicatedLog) follow(term unit.Term, primary unit.InstanceName, address string) (instance.Report, bool) {
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
	l.resetRole()
	return l.reportLocked(), true
}

// quiesce rejects new write transactions until the given time if the instance is the
// primary in term. It reports whether the instance is.
func (l *replicatedLog) quiesce(term unit.Term, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term {
		return false
	}
	l.quiescedUntil = until
	l.notifyChange()
	return true
}

// writable returns the term in which a new write transaction may run, or
// errNotPrimary if the instance is not a primary or is quiesced.
func (l *replicatedLog) writable() (unit.Term, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.quiesced() {
		return 0, errNotPrimary
	}
	return l.term, nil
}

func (l *replicatedLog) isPrimary() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role == instance.Primary
}

// caughtUp reports whether all records are applied.
func (l *replicatedLog) caughtUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.applied) == len(l.records)
}

// commit appends the record of a write transaction that began in term. It calls
// visible to make the transaction visible and appends nothing if visible fails.
func (l *replicatedLog) commit(term unit.Term, statements []statement, visible func(unit.Position) error) (unit.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != instance.Primary || l.term != term {
		return unit.Position{}, errNotPrimary
	}
	r := record{Term: term, Index: unit.Index(len(l.records) + 1), Statements: statements, CommittedAt: l.nextTimestamp()}
	if err := visible(r.position()); err != nil {
		return unit.Position{}, err
	}
	l.records = append(l.records, r)
	l.applied = r.Index
	l.notifyChange()
	return r.position(), nil
}

// pending returns up to limit records that are not yet applied, and the number of
// truncations at that time, which apply compares.
func (l *replicatedLog) pending(limit int) ([]record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := int(l.applied)
	to := min(from+limit, len(l.records))
	return append([]record(nil), l.records[from:to]...), l.truncations
}

// apply calls visible to make the records up to index visible and then advances the
// applied index. It returns errTruncated if the log was truncated since pending.
func (l *replicatedLog) apply(index unit.Index, truncations uint64, visible func() error) error {
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
	l.advanceFreshness()
	l.notifyChange()
	return nil
}

func (l *replicatedLog) advanceFreshness() {
	for len(l.freshnessMarks) > 0 && l.freshnessMarks[0].index <= l.applied {
		l.freshAt = max(l.freshAt, l.freshnessMarks[0].time)
		l.freshnessMarks = l.freshnessMarks[1:]
	}
}

// history returns the index range of each term in the log, in log order.
func (l *replicatedLog) history() []span {
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
