package platform

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// faults holds the faults to inject into calls.
type faults struct {
	mu    sync.Mutex
	down  bool
	delay time.Duration
	share float64
	rng   *rand.Rand
}

// Down sets whether every call fails as unavailable.
func (f *faults) Down(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Slow delays every call by d. Zero ends the delay.
func (f *faults) Slow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseAnswers closes the connection in place of the answers to a share of the
// writes, from 0 to 1, chosen at random from the seed. The writes take effect.
func (f *faults) LoseAnswers(share float64, seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
	f.rng = rand.New(rand.NewPCG(seed, seed))
}

func (f *faults) sample(write bool) (down bool, delay time.Duration, lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lose = write && f.share > 0 && f.rng.Float64() < f.share
	return f.down, f.delay, lose
}

// inject applies the faults to the calls of next.
func (f *faults) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write := r.Method != http.MethodGet
		down, delay, lose := f.sample(write)
		if down {
			http.Error(w, "platform is unavailable", http.StatusServiceUnavailable)
			return
		}
		response := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
		if write {
			body, ok := readAll(w, r)
			if !ok {
				return
			}
			r.Body = body
			time.Sleep(delay)
		}
		next.ServeHTTP(response, r)
		if !write {
			time.Sleep(delay)
		}
		if lose {
			panic(http.ErrAbortHandler)
		}
		response.send(w)
	})
}

// bufferedResponse holds a response back until the faults have been applied.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements [http.ResponseWriter].
func (a *bufferedResponse) Header() http.Header { return a.header }

// WriteHeader implements [http.ResponseWriter].
func (a *bufferedResponse) WriteHeader(status int) { a.status = status }

// Write implements [http.ResponseWriter].
func (a *bufferedResponse) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *bufferedResponse) send(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}
