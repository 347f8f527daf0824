package home

// owed is an answer that the instance owes to one message.
type owed struct {
	// kind is the type of the message: one of P, B, D, E, C, S, Q, F.
	kind byte
	// swallow tells that the answer is to a message of the home's own.
	swallow bool
	// name is the prepared statement that a P or C is about.
	name string
}

// expected is the queue of owed answers of one connection.
type expected struct {
	queue []owed
	first int
	// skipping tells that the instance skips messages until the next Sync.
	skipping bool
}

func (e *expected) empty() bool { return e.first == len(e.queue) }

// push adds an answer. It reports whether the instance will give it.
func (e *expected) push(o owed) bool {
	if e.skipping && o.kind != 'S' {
		return false
	}
	if o.kind == 'S' {
		e.skipping = false
	}
	if e.empty() {
		e.queue, e.first = e.queue[:0], 0
	}
	e.queue = append(e.queue, o)
	return true
}

// head returns the answer that comes next.
func (e *expected) head() (owed, bool) {
	if e.empty() {
		return owed{}, false
	}
	return e.queue[e.first], true
}

func (e *expected) pop() { e.first++ }

// fail drops the answers that an error makes the instance skip and returns
// them: up to the next Sync. A simple query is ended by its own ReadyForQuery.
func (e *expected) fail() []owed {
	start := e.first
	if head, ok := e.head(); !ok || head.kind == 'Q' || head.kind == 'F' {
		return nil
	}
	for !e.empty() && e.queue[e.first].kind != 'S' {
		e.first++
	}
	e.skipping = e.empty()
	return e.queue[start:e.first]
}
