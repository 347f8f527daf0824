package limiter

import "tarragonshed.example/unit"

// queue holds the waiting requests of one priority. Callers take turns; the
// requests of one caller keep their order.
type queue struct {
	size  int
	turns []turn
}

// turn holds the waiting requests of one caller. It is never empty.
type turn struct {
	caller   unit.CallerName
	requests []Request
}

func (q *queue) push(r Request) {
	q.size++
	for i := range q.turns {
		if q.turns[i].caller == r.Caller {
			q.turns[i].requests = append(q.turns[i].requests, r)
			return
		}
	}
	q.turns = append(q.turns, turn{caller: r.Caller, requests: []Request{r}})
}

// pop takes the next request of the caller whose turn it is, who then goes to
// the end.
func (q *queue) pop() Request {
	q.size--
	t := q.turns[0]
	r := t.requests[0]
	t.requests = t.requests[1:]
	q.turns = q.turns[1:]
	if len(t.requests) > 0 {
		q.turns = append(q.turns, t)
	}
	return r
}

// remove takes out the requests that match.
func (q *queue) remove(match func(Request) bool) []Request {
	var removed []Request
	turns := q.turns[:0]
	for _, t := range q.turns {
		var kept []Request
		for _, r := range t.requests {
			if match(r) {
				removed = append(removed, r)
			} else {
				kept = append(kept, r)
			}
		}
		if len(kept) > 0 {
			turns = append(turns, turn{caller: t.caller, requests: kept})
		}
	}
	q.turns = turns
	q.size -= len(removed)
	return removed
}
