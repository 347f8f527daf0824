package platformer

import (
	"errors"
	"sync"

	goa "goa.design/goa/v3/pkg"
)

// Parameters of the retry budget, in retries. The deposit limits retries to a tenth
// of the calls; maxBudget limits the burst of retries after calls without failures.
const (
	depositPerCall = 0.1
	maxBudget      = 10
)

// budget limits retries to a ratio of the calls, so that they don't multiply the load
// on a platform that is failing. The zero budget is empty.
type budget struct {
	mu      sync.Mutex
	balance float64
}

// deposit adds the share of one call to the budget.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+depositPerCall, maxBudget)
}

// withdraw takes one retry from the budget and reports whether there was one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// classify joins the error of a generated client with the corresponding error of this
// package, [ErrUnavailable] by default.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var service *goa.ServiceError
	if errors.As(err, &service) {
		switch service.Name {
		case "conflict":
			return errors.Join(ErrConflict, err)
		case "not-found":
			return errors.Join(ErrNotFound, err)
		}
	}
	return errors.Join(ErrUnavailable, err)
}
