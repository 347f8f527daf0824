package platformer

import (
	"errors"
	"sync"

	goa "goa.design/goa/v3/pkg"
)

// Measures of the retry budget, in retries.
const (
	depositPerCall = 0.1
	maxBudget      = 10
)

// budget bounds retries to a share of the calls. The zero budget is empty.
type budget struct {
	mu      sync.Mutex
	balance float64
}

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+depositPerCall, maxBudget)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// classify turns the error of a generated client into one of this package's.
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
