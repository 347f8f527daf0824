package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonshed.example/unit"
)

// guaranteedTurn is the number of admissions of which one goes to the ranks that were
// passed over. The highest waiting rank has the others.
const guaranteedTurn = 16

// queue holds the waiting requests in lanes. A lane is served before the next one, except
// that in the ranked order every [guaranteedTurn]-th admission goes to another one.
type queue struct {
	ranked     bool
	lanes      []*lane // In the order of their keys. None is empty.
	byID       map[ID]*waiting
	byCaller   map[unit.CallerName]int // The number of requests of each caller.
	byDeadline []*waiting
	sequence   uint64
	turns      uint64
	passed     int // Admissions since a lane was last served that others pass.
}

// lane holds the waiting requests of one rank, or of one priority if the order isn't
// ranked. Callers are served round-robin.
type lane struct {
	key     laneKey
	size    int
	callers []*callerQueue // In the order in which they are served next. None is empty.
	pace    pace
	turn    uint64 // When the lane was last served, in turns of the queue.
	// late is the number of late requests, and latePace that at which they are admitted.
	late     int
	latePace pace
}

// callerQueue holds the waiting requests of one caller in a lane.
type callerQueue struct {
	caller unit.CallerName
	inTime []*waiting // In the order of byTarget.
	late   []*waiting // In the order of byDeadline.
}

func newQueue(ranked bool) *queue {
	return &queue{ranked: ranked, byID: make(map[ID]*waiting), byCaller: make(map[unit.CallerName]int)}
}

// reordered returns a queue with the same requests and another order.
func (q *queue) reordered(ranked bool) *queue {
	requests := slices.Collect(maps.Values(q.byID))
	slices.SortFunc(requests, func(a, b *waiting) int { return cmp.Compare(a.sequence, b.sequence) })
	other := newQueue(ranked)
	for _, w := range requests {
		other.push(other.newWaiting(w.Request), w.Now)
	}
	return other
}

func (q *queue) size() int { return len(q.byID) }

// newWaiting returns a request that has arrived but isn't in the queue yet. An open
// transaction goes first even if it is late, because it holds locks.
func (q *queue) newWaiting(r Request) *waiting {
	q.sequence++
	hasTarget := q.ranked && r.Priority != OpenTransaction && !r.Target.IsZero()
	return &waiting{Request: r, key: laneOf(r, q.ranked), sequence: q.sequence, hasTarget: hasTarget}
}

func (q *queue) push(w *waiting, now time.Time) {
	w.lane = q.laneFor(w.key, now)
	w.lane.size++
	w.caller = w.lane.callerFor(w.Caller)
	if w.late {
		w.lane.countLate(now)
	}
	w.caller.push(w)
	q.byID[w.ID] = w
	q.byCaller[w.Caller]++
	q.byDeadline = insert(q.byDeadline, w, byDeadline)
}

func (q *queue) remove(w *waiting) {
	if w.late {
		w.lane.late--
	}
	w.caller.remove(w)
	if w.caller.size() == 0 {
		i := slices.Index(w.lane.callers, w.caller)
		w.lane.callers = slices.Delete(w.lane.callers, i, i+1)
	}
	w.lane.size--
	if w.lane.size == 0 {
		i := slices.Index(q.lanes, w.lane)
		q.lanes = slices.Delete(q.lanes, i, i+1)
	}
	delete(q.byID, w.ID)
	q.byCaller[w.Caller]--
	if q.byCaller[w.Caller] == 0 {
		delete(q.byCaller, w.Caller)
	}
	q.byDeadline = remove(q.byDeadline, w, byDeadline)
}

// pop removes and returns the next request, or nil if there is none. If no connection is
// free, it is one of an open transaction. The caller then moves to the end of its lane.
func (q *queue) pop(now time.Time, mean time.Duration, connectionFree bool) *waiting {
	l := q.nextLane(connectionFree)
	if l == nil {
		return nil
	}
	q.turns++
	l.turn = q.turns
	l.pace.admitted(now)
	c := l.callers[0]
	for range c.demote(now.Add(mean)) {
		l.countLate(now)
	}
	w := c.first()
	if w.late {
		l.latePace.admitted(now)
	}
	q.remove(w)
	if c.size() > 0 {
		l.callers = append(l.callers[1:], c)
	}
	return w
}

// nextLane returns the lane that is served next, or nil.
func (q *queue) nextLane(connectionFree bool) *lane {
	if len(q.lanes) == 0 {
		return nil
	}
	first := q.lanes[0]
	if first.key.priority == OpenTransaction {
		return first
	}
	if !connectionFree {
		return nil
	}
	if !q.ranked || len(q.lanes) == 1 {
		return first
	}
	q.passed++
	if q.passed < guaranteedTurn {
		return first
	}
	q.passed = 0
	return slices.MinFunc(q.lanes[1:], func(a, b *lane) int { return cmp.Compare(a.turn, b.turn) })
}

// ahead returns the number of queued requests that go before w, if no others arrive.
func (q *queue) ahead(w *waiting) int {
	n := 0
	for _, l := range q.lanes {
		switch order := l.key.compare(w.key); {
		case order < 0 || order == 0 && !q.ranked:
			n += l.size
		case order == 0:
			n += l.ahead(w)
		}
	}
	return n
}

// pacedWait returns the expected wait of w by the pace at which requests of its kind have
// been admitted recently. It is zero if no other requests may pass w.
func (q *queue) pacedWait(w *waiting, now time.Time) time.Duration {
	l := q.findLane(w.key)
	if l == nil || !q.ranked {
		return 0
	}
	wait := time.Duration(0)
	if q.passable(l) {
		wait = l.pace.wait(l.ahead(w), now)
	}
	if w.late && l.late > 0 {
		wait = max(wait, l.latePace.wait(l.lateAhead(w), now))
	}
	return wait
}

// passable reports whether a lane of a higher rank has requests.
func (q *queue) passable(l *lane) bool {
	first := q.lanes[0]
	if first.key.priority == OpenTransaction && len(q.lanes) > 1 {
		first = q.lanes[1]
	}
	return l.key.priority != OpenTransaction && l != first
}

// earliestDeadline returns the request with the earliest deadline, or nil.
func (q *queue) earliestDeadline() *waiting {
	if len(q.byDeadline) == 0 {
		return nil
	}
	return q.byDeadline[0]
}

// last returns the last request of the caller with the most requests in the last lane. The
// queue must not be empty.
func (q *queue) last() *waiting {
	return q.lanes[len(q.lanes)-1].largest().last()
}

// loser returns the request that is refused because the queue is full: the new request w
// or one of the queue. Those of open transactions stay, because they hold locks.
func (q *queue) loser(w *waiting, limit int) (*waiting, Reason) {
	if limit <= 0 {
		return w, QueueFull
	}
	if last := q.lastOfLargest(limit); last != nil && last.Caller != w.Caller {
		return last, CallerShare
	}
	last := q.last()
	switch {
	case last.Priority == OpenTransaction:
		return w, QueueFull
	case w.goesBefore(last):
		return last, Displaced
	case last.key == w.key && last.caller.size() > w.callerSize(last.lane)+1:
		return last, CallerShare
	case q.byCaller[w.Caller] > limit/2 && len(q.byCaller) > 1:
		return w, CallerShare
	}
	return w, QueueFull
}

// lastOfLargest returns the last request of the caller that has more than half of the
// queue, or nil.
func (q *queue) lastOfLargest(limit int) *waiting {
	for caller, n := range q.byCaller {
		if n <= limit/2 {
			continue
		}
		for _, l := range slices.Backward(q.lanes) {
			if c := l.findCaller(caller); c != nil && l.key.priority != OpenTransaction {
				return c.last()
			}
		}
	}
	return nil
}

// callerSize returns the number of requests that the caller of w has in the lane.
func (w *waiting) callerSize(l *lane) int {
	if c := l.findCaller(w.Caller); c != nil {
		return c.size()
	}
	return 0
}

// findLane returns the lane with the key, or nil.
func (q *queue) findLane(key laneKey) *lane {
	i, found := slices.BinarySearchFunc(q.lanes, key, func(l *lane, k laneKey) int { return l.key.compare(k) })
	if !found {
		return nil
	}
	return q.lanes[i]
}

// laneFor returns the lane with the key. It adds one if there is none.
func (q *queue) laneFor(key laneKey, now time.Time) *lane {
	i, found := slices.BinarySearchFunc(q.lanes, key, func(l *lane, k laneKey) int { return l.key.compare(k) })
	if !found {
		q.lanes = slices.Insert(q.lanes, i, &lane{key: key, turn: q.turns, pace: pace{since: now}})
	}
	return q.lanes[i]
}

// ahead returns the number of requests of the lane that go before w.
func (l *lane) ahead(w *waiting) int {
	own := 0
	if c := l.findCaller(w.Caller); c != nil {
		own = c.ahead(w)
	}
	return l.countByTurns(w.Caller, own, (*callerQueue).size)
}

// lateAhead returns the number of late requests of the lane that go before the late
// request w.
func (l *lane) lateAhead(w *waiting) int {
	own := 0
	if c := l.findCaller(w.Caller); c != nil {
		own = countBefore(c.late, w, byDeadline)
	}
	return l.countByTurns(w.Caller, own, func(c *callerQueue) int { return len(c.late) })
}

// countByTurns returns how many requests go before the next one of a caller that has the
// given number before it. Each other caller has at most as many turns.
func (l *lane) countByTurns(caller unit.CallerName, own int, size func(*callerQueue) int) int {
	n := own
	for _, c := range l.callers {
		if c.caller != caller {
			n += min(size(c), own+1)
		}
	}
	return n
}

// countLate counts one more late request.
func (l *lane) countLate(now time.Time) {
	if l.late == 0 {
		l.latePace = pace{since: now}
	}
	l.late++
}

// largest returns the caller with the most requests.
func (l *lane) largest() *callerQueue {
	return slices.MaxFunc(l.callers, func(a, b *callerQueue) int { return cmp.Compare(a.size(), b.size()) })
}

// findCaller returns the queue of a caller, or nil.
func (l *lane) findCaller(caller unit.CallerName) *callerQueue {
	for _, c := range l.callers {
		if c.caller == caller {
			return c
		}
	}
	return nil
}

// callerFor returns the queue of a caller. It adds one if there is none.
func (l *lane) callerFor(caller unit.CallerName) *callerQueue {
	if c := l.findCaller(caller); c != nil {
		return c
	}
	c := &callerQueue{caller: caller}
	l.callers = append(l.callers, c)
	return c
}

func (c *callerQueue) size() int { return len(c.inTime) + len(c.late) }

func (c *callerQueue) push(w *waiting) {
	if w.late {
		c.late = insert(c.late, w, byDeadline)
	} else {
		c.inTime = insert(c.inTime, w, byTarget)
	}
}

func (c *callerQueue) remove(w *waiting) {
	if w.late {
		c.late = remove(c.late, w, byDeadline)
	} else {
		c.inTime = remove(c.inTime, w, byTarget)
	}
}

// demote moves the requests that miss their target if they end at the given time behind
// the others, and returns their number.
func (c *callerQueue) demote(end time.Time) int {
	n := 0
	for len(c.inTime) > 0 && c.inTime[0].missesTarget(end) {
		w := c.inTime[0]
		c.inTime = c.inTime[1:]
		w.late = true
		c.push(w)
		n++
	}
	return n
}

// first returns the request that is served next.
func (c *callerQueue) first() *waiting {
	if len(c.inTime) > 0 {
		return c.inTime[0]
	}
	return c.late[0]
}

// last returns the request that is served last.
func (c *callerQueue) last() *waiting {
	if len(c.late) > 0 {
		return c.late[len(c.late)-1]
	}
	return c.inTime[len(c.inTime)-1]
}

// ahead returns the number of requests of the caller that go before w.
func (c *callerQueue) ahead(w *waiting) int {
	if !w.late {
		return countBefore(c.inTime, w, byTarget)
	}
	return len(c.inTime) + countBefore(c.late, w, byDeadline)
}

// countBefore returns the number of requests in the sorted list that are before w.
func countBefore(list []*waiting, w *waiting, compare func(a, b *waiting) int) int {
	i, _ := slices.BinarySearchFunc(list, w, compare)
	return i
}

// insert adds w to the sorted list.
func insert(list []*waiting, w *waiting, compare func(a, b *waiting) int) []*waiting {
	return slices.Insert(list, countBefore(list, w, compare), w)
}

// remove removes w from the sorted list, which contains it.
func remove(list []*waiting, w *waiting, compare func(a, b *waiting) int) []*waiting {
	i := countBefore(list, w, compare)
	return slices.Delete(list, i, i+1)
}
