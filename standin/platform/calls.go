package platform

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// rateWindow is the time over which the rate of calls is measured.
const rateWindow = 10 * time.Second

// calls counts the calls of the platform's API.
type calls struct {
	mu     sync.Mutex
	byPath map[string]uint64
	recent []time.Time
}

// Calls returns the number of calls by HTTP method and path.
func (c *calls) Calls() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byPath)
}

// CallsPerSecond returns the rate of calls over the last 10 s.
func (c *calls) CallsPerSecond() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld(time.Now())
	return float64(len(c.recent)) / rateWindow.Seconds()
}

func (c *calls) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.add(r.Method + " " + r.URL.Path)
		next.ServeHTTP(w, r)
	})
}

func (c *calls) add(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPath == nil {
		c.byPath = make(map[string]uint64)
	}
	c.byPath[path]++
	now := time.Now()
	c.dropOld(now)
	c.recent = append(c.recent, now)
}

func (c *calls) dropOld(now time.Time) {
	old := 0
	for old < len(c.recent) && now.Sub(c.recent[old]) > rateWindow {
		old++
	}
	c.recent = c.recent[old:]
}

// readAll reads the whole body, so that a delayed call takes effect even if the client
// has disconnected in the meantime.
func readAll(w http.ResponseWriter, r *http.Request) (io.ReadCloser, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body is unreadable or too large", http.StatusBadRequest)
		return nil, false
	}
	return io.NopCloser(bytes.NewReader(body)), true
}
