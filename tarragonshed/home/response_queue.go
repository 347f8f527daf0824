package home

// pendingResponse is a response that the instance has yet to send to one message.
type pendingResponse struct {
	// kind is the type of the message: one of P, B, D, E, C, S, Q, F.
	kind byte
	// discard reports whether the response belongs to a message that the home added
	// and is not forwarded.
	discard bool
	// name is the prepared statement that a message of type P or C refers to.
	name string
}

// responseQueue is the queue of pending responses of one connection.
type responseQueue struct {
	queue []pendingResponse
	first int
	// skipping reports whether the instance skips messages until the next Sync.
	skipping bool
}

func (q *responseQueue) empty() bool { return q.first == len(q.queue) }

// push adds a response. It returns false, and adds nothing, if the instance skips the
// message.
func (q *responseQueue) push(r pendingResponse) bool {
	if q.skipping && r.kind != 'S' {
		return false
	}
	if r.kind == 'S' {
		q.skipping = false
	}
	if q.empty() {
		q.queue, q.first = q.queue[:0], 0
	}
	q.queue = append(q.queue, r)
	return true
}

// head returns the next response.
func (q *responseQueue) head() (pendingResponse, bool) {
	if q.empty() {
		return pendingResponse{}, false
	}
	return q.queue[q.first], true
}

func (q *responseQueue) pop() { q.first++ }

// fail drops and returns the responses, up to the next Sync, that the instance skips
// because of an error. A simple query ends with its own ReadyForQuery, so nothing is
// dropped for it.
func (q *responseQueue) fail() []pendingResponse {
	start := q.first
	if head, ok := q.head(); !ok || head.kind == 'Q' || head.kind == 'F' {
		return nil
	}
	for !q.empty() && q.queue[q.first].kind != 'S' {
		q.first++
	}
	q.skipping = q.empty()
	return q.queue[start:q.first]
}
