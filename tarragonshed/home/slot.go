package home

import (
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// admit asks for a slot, and for the right to a connection unless the
// transaction is open. The channel receives one value, nil for admission.
func (t *target) admit(caller unit.CallerName, p limiter.Priority, deadline time.Time) (limiter.ID, <-chan *result.Error) {
	answer := make(chan *result.Error, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	id := limiter.ID(t.next)
	if t.stopped {
		answer <- t.givenUp()
		return id, answer
	}
	t.admits[id] = answer
	t.limit(t.limiter.Step(limiter.Request{ID: id, Caller: caller, Priority: p, Now: time.Now(), Deadline: deadline}))
	return id, answer
}

// tryAdmit is admit for a request that does not have to wait.
func (t *target) tryAdmit(p limiter.Priority) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used = time.Now()
	return !t.stopped && t.limiter.Try(p)
}

// withdraw takes a request for a slot back. It reports whether the request was
// still waiting.
func (t *target) withdraw(id limiter.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, waiting := t.admits[id]; !waiting {
		return false
	}
	delete(t.admits, id)
	t.limiter.Step(limiter.Withdraw{ID: id})
	return true
}

// overdue lets a request of an open transaction pass, because what runs may wait
// for its locks.
func (t *target) overdue(id limiter.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, waiting := t.admits[id]; waiting {
		t.limit(t.limiter.Step(limiter.Overdue{ID: id}))
	}
}

// finish gives a slot back.
func (t *target) finish(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit(t.limiter.Step(limiter.Finished{Now: time.Now(), Took: took}))
}

// endTransaction gives the right to a connection back.
func (t *target) endTransaction() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit(t.limiter.Step(limiter.TransactionEnded{Now: time.Now()}))
}

// limit carries out effects of the limiter. The lock is held.
func (t *target) limit(effects []limiter.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.Admit:
			t.admits[effect.ID] <- nil
			delete(t.admits, effect.ID)
		case limiter.Refuse:
			t.admits[effect.ID] <- effect.Err
			delete(t.admits, effect.ID)
		}
	}
}
