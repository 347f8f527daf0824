package platform

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// faults are the switches of the platform's faults.
type faults struct {
	mu    sync.Mutex
	down  bool
	delay time.Duration
	share float64
	rng   *rand.Rand
}

// Down makes every call fail as unavailable, or ends that.
func (f *faults) Down(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Slow delays every call by d. Zero ends it.
func (f *faults) Slow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseAnswers makes a share of the writes, from 0 to 1 and chosen by the seed,
// take effect without an answer: the connection breaks.
func (f *faults) LoseAnswers(share float64, seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
	f.rng = rand.New(rand.NewPCG(seed, seed))
}

func (f *faults) draw(write bool) (down bool, delay time.Duration, lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lose = write && f.share > 0 && f.rng.Float64() < f.share
	return f.down, f.delay, lose
}

// inject applies the faults to the calls of next.
func (f *faults) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write := r.Method != http.MethodGet
		down, delay, lose := f.draw(write)
		if down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		answer := &answer{header: make(http.Header), status: http.StatusOK}
		if write {
			body, ok := readAll(w, r)
			if !ok {
				return
			}
			r.Body = body
			time.Sleep(delay)
		}
		next.ServeHTTP(answer, r)
		if !write {
			time.Sleep(delay)
		}
		if lose {
			panic(http.ErrAbortHandler)
		}
		answer.send(w)
	})
}

// answer holds a response until the faults let it go.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements [http.ResponseWriter].
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements [http.ResponseWriter].
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements [http.ResponseWriter].
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *answer) send(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}
