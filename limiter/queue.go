package limiter

import "tarragonshed.example/unit"

// queue holds the waiting requests of one priority. Callers are served round-robin. The
// requests of one caller keep their order.
type queue struct {
	size    int
	callers []callerQueue // In the order in which they are served next.
}

// callerQueue holds the waiting requests of one caller. It is never empty.
type callerQueue struct {
	caller   unit.CallerName
	requests []Request
}

func (q *queue) push(r Request) {
	q.size++
	for i := range q.callers {
		if q.callers[i].caller == r.Caller {
			q.callers[i].requests = append(q.callers[i].requests, r)
			return
		}
	}
	q.callers = append(q.callers, callerQueue{caller: r.Caller, requests: []Request{r}})
}

// pop removes and returns the next request of the first caller. The caller then moves to
// the end if it has further requests.
func (q *queue) pop() Request {
	q.size--
	c := q.callers[0]
	r := c.requests[0]
	c.requests = c.requests[1:]
	q.callers = q.callers[1:]
	if len(c.requests) > 0 {
		q.callers = append(q.callers, c)
	}
	return r
}

// remove removes and returns the matching requests.
func (q *queue) remove(match func(Request) bool) []Request {
	var removed []Request
	remaining := q.callers[:0]
	for _, c := range q.callers {
		var kept []Request
		for _, r := range c.requests {
			if match(r) {
				removed = append(removed, r)
			} else {
				kept = append(kept, r)
			}
		}
		if len(kept) > 0 {
			remaining = append(remaining, callerQueue{caller: c.caller, requests: kept})
		}
	}
	q.callers = remaining
	q.size -= len(removed)
	return removed
}
