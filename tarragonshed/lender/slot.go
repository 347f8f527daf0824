package lender

import (
	"time"

	"tarragonshed.example/limiter"
	"tarragonshed.example/result"
)

// Admit requests a slot and, unless the transaction is already open, the right to
// use a connection. The channel receives one value, which is nil on admission. The
// Lender sets the ID of the request and its time.
func (l *Lender[C]) Admit(r limiter.Request) (limiter.ID, <-chan *result.Error) {
	answer := make(chan *result.Error, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	r.ID, r.Now = limiter.ID(l.lastID), time.Now()
	if l.stopped {
		answer <- l.stopErr()
		return r.ID, answer
	}
	l.admitWaiters[r.ID] = answer
	l.applyLimiter(l.limiter.Step(r))
	return r.ID, answer
}

// TryAdmit is like [Lender.Admit] but does not wait. It reports whether the request was
// admitted.
func (l *Lender[C]) TryAdmit(r limiter.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRequest = time.Now()
	return !l.stopped && l.limiter.TryAdmit(r)
}

// Withdraw cancels a request for a slot. It reports whether the request was still
// waiting.
func (l *Lender[C]) Withdraw(id limiter.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.admitWaiters[id]; !waiting {
		return false
	}
	delete(l.admitWaiters, id)
	l.limiter.Step(limiter.Withdraw{ID: id})
	return true
}

// Overdue admits a waiting request of an open transaction beyond the slots. Running
// statements may be waiting for locks of that transaction, so that without this
// rule neither would proceed.
func (l *Lender[C]) Overdue(id limiter.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.admitWaiters[id]; waiting {
		l.applyLimiter(l.limiter.Step(limiter.Overdue{ID: id}))
	}
}

// Finish releases the slot of a statement that took the given time.
func (l *Lender[C]) Finish(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLimiter(l.limiter.Step(limiter.Finished{Now: time.Now(), Took: took}))
}

// Shed releases the slot of a statement that the instance refused because its own
// slots were taken.
func (l *Lender[C]) Shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLimiter(l.limiter.Step(limiter.Shed{Now: time.Now()}))
}

// EndTransaction releases a transaction's right to use a connection.
func (l *Lender[C]) EndTransaction() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLimiter(l.limiter.Step(limiter.TransactionEnded{Now: time.Now()}))
}

// applyLimiter carries out effects of the limiter. After Close nobody waits. The caller must hold the
// lock.
func (l *Lender[C]) applyLimiter(effects []limiter.Effect) {
	if l.stopped {
		return
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limiter.Admit:
			l.admitWaiters[effect.ID] <- nil
			delete(l.admitWaiters, effect.ID)
		case limiter.Refuse:
			l.onRefuse(effect.Reason)
			l.admitWaiters[effect.ID] <- effect.Err
			delete(l.admitWaiters, effect.ID)
		}
	}
}
