package lender

import (
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Admit asks for a slot, and for the right to a connection unless the
// transaction is open. The channel receives one value, nil for admission.
func (l *Lender[C]) Admit(caller unit.CallerName, p limiter.Priority, deadline time.Time) (limiter.ID, <-chan *result.Error) {
	answer := make(chan *result.Error, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	id := limiter.ID(l.next)
	if l.stopped {
		answer <- l.stopErr()
		return id, answer
	}
	l.admits[id] = answer
	l.limit(l.limiter.Step(limiter.Request{ID: id, Caller: caller, Priority: p, Now: time.Now(), Deadline: deadline}))
	return id, answer
}

// TryAdmit is Admit for a request that does not have to wait.
func (l *Lender[C]) TryAdmit(p limiter.Priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = time.Now()
	return !l.stopped && l.limiter.TryAdmit(p)
}

// Withdraw takes a request for a slot back. It reports whether the request was
// still waiting.
func (l *Lender[C]) Withdraw(id limiter.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.admits[id]; !waiting {
		return false
	}
	delete(l.admits, id)
	l.limiter.Step(limiter.Withdraw{ID: id})
	return true
}

// Overdue lets a request of an open transaction pass, because what runs may wait
// for its locks.
func (l *Lender[C]) Overdue(id limiter.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.admits[id]; waiting {
		l.limit(l.limiter.Step(limiter.Overdue{ID: id}))
	}
}

// Finish gives a slot back.
func (l *Lender[C]) Finish(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit(l.limiter.Step(limiter.Finished{Now: time.Now(), Took: took}))
}

// Shed gives a slot back because the instance had none for the statement.
func (l *Lender[C]) Shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit(l.limiter.Step(limiter.Shed{Now: time.Now()}))
}

// EndTransaction gives the right to a connection back.
func (l *Lender[C]) EndTransaction() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit(l.limiter.Step(limiter.TransactionEnded{Now: time.Now()}))
}

// limit carries out effects of the limiter. The lock is held.
func (l *Lender[C]) limit(effects []limiter.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.Admit:
			l.admits[effect.ID] <- nil
			delete(l.admits, effect.ID)
		case limiter.Refuse:
			l.admits[effect.ID] <- effect.Err
			delete(l.admits, effect.ID)
		}
	}
}
