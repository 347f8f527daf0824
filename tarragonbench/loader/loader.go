// Package loader generates an open-loop load on a deployment. It measures the latencies
// and outcomes of the requests and checks what the reads return.
//
// # Arrivals
//
// Requests arrive by a seeded Poisson process whose rate follows the phases,
// whether or not earlier requests are answered. Each arrival is queued at one of
// the callers, which executes one request at a time on one connection. Latency
// is measured from the arrival, so that a stall counts for all requests that arrive
// during it (no coordinated omission).
//
// # Classes
//
// A class is a kind of request; for reads, it includes the allowed staleness. Each caller
// has a row of its own, whose value only that caller increments, so that a value read can
// be checked against the acknowledged ones: a [SessionRead] reads the caller's row, a
// [StaleRead] any row with a staleness bound.
//
// # Gap
//
// The failover gap of a group is the longest time between two successive acknowledged
// writes of which the second one is acknowledged after a fault, see [Loader.Gap].
//
// # Usage
//
//	l := loader.New(loader.Settings{Seed: 1, Daemons: daemons, Groups: groups,
//		Phases: []loader.Phase{{Rate: 500}}, Duration: 10 * time.Second})
//	if err := l.Prepare(ctx); err != nil {
//		return err
//	}
//	l.Run(ctx)
//	report, err := l.Verify(ctx)
package loader

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/unit"
)

// Class names a kind of request.
type Class string

// The classes of requests.
const (
	// Write inserts a row or increments the value of the caller's own row.
	Write Class = "write"
	// KeyedWrite inserts a row under a request key and retries while its
	// outcome is unknown.
	KeyedWrite Class = "keyed-write"
	// Transaction inserts two rows between BEGIN and COMMIT.
	Transaction Class = "transaction"
	// SessionRead must see the acknowledged writes of the same caller.
	SessionRead Class = "session-read"
	// StaleRead is a read with a staleness bound.
	StaleRead Class = "stale-read"
)

// Share is the share of a class in the load: its weight over the sum of all weights.
type Share struct {
	Class  Class   `toml:"class" json:"class"`
	Weight float64 `toml:"weight" json:"weight"`
	// Staleness is the staleness bound of a StaleRead.
	Staleness time.Duration `toml:"staleness" json:"staleness,omitempty"`
}

// Phase sets the rate of arrivals from the time After, counted from the start of the load,
// until the next phase.
type Phase struct {
	After time.Duration `toml:"after" json:"after"`
	// Rate is the number of requests a second, over all groups.
	Rate float64 `toml:"rate" json:"rate"`
	// Writes, if not zero, multiplies the weight of all classes that write.
	Writes float64 `toml:"writes" json:"writes,omitempty"`
}

// Settings describe a load. A zero field has a default where there is one.
type Settings struct {
	Seed    uint64
	Callers int
	Daemons []historian.Daemon
	Groups  []unit.GroupName
	Phases  []Phase
	Mix     []Share
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Roam is the share of requests before which the caller reconnects to a daemon
	// chosen at random.
	Roam float64
	// Queue is the capacity of each caller's queue. Requests that arrive while it is full
	// are shed.
	Queue int
	// Timeout bounds the execution of a request; the time in the queue is not included.
	Timeout time.Duration
}

// The defaults of Settings.
const (
	DefaultCallers  = 24
	DefaultRate     = 300
	DefaultDuration = 10 * time.Second
	DefaultQueue    = 1000
	DefaultTimeout  = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Callers == 0 {
		s.Callers = DefaultCallers
	}
	if len(s.Phases) == 0 {
		s.Phases = []Phase{{Rate: DefaultRate}}
	}
	if len(s.Mix) == 0 {
		s.Mix = []Share{{Class: Write, Weight: 3}, {Class: SessionRead, Weight: 4}, {Class: StaleRead, Weight: 3, Staleness: 2 * time.Second}}
	}
	if s.Duration == 0 {
		s.Duration = DefaultDuration
	}
	if s.Queue == 0 {
		s.Queue = DefaultQueue
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	return s
}

// arrival is a request and its time of arrival since the start of the load.
type arrival struct {
	at    time.Duration
	share Share
}

// schedule generates the arrivals in order.
type schedule struct {
	settings Settings
	random   *rand.Rand
	at       time.Duration
}

// phase returns the phase that applies at a time since the start of the load.
func (s Settings) phase(at time.Duration) Phase {
	current := s.Phases[0]
	for _, p := range s.Phases {
		if p.After <= at {
			current = p
		}
	}
	return current
}

// next returns the next arrival. After the last one, ok is false.
func (s *schedule) next() (a arrival, ok bool) {
	phase := s.settings.phase(s.at)
	s.at += time.Duration(s.random.ExpFloat64() / phase.Rate * float64(time.Second))
	if s.at >= s.settings.Duration {
		return arrival{}, false
	}
	return arrival{at: s.at, share: s.draw(phase)}, true
}

// draw chooses a class at random by the weights.
func (s *schedule) draw(p Phase) Share {
	weight := func(share Share) float64 {
		if p.Writes > 0 && share.Class.writes() {
			return share.Weight * p.Writes
		}
		return share.Weight
	}
	sum := 0.0
	for _, share := range s.settings.Mix {
		sum += weight(share)
	}
	pick := s.random.Float64() * sum
	for _, share := range s.settings.Mix {
		if pick -= weight(share); pick < 0 {
			return share
		}
	}
	return s.settings.Mix[len(s.settings.Mix)-1]
}

// writes reports whether requests of the class write.
func (c Class) writes() bool { return c == Write || c == KeyedWrite || c == Transaction }

// The range of recorded latencies in nanoseconds, and the number of significant digits.
// Latencies outside the range are recorded as its bounds.
const (
	shortestLatency = int64(time.Microsecond)
	longestLatency  = int64(2 * time.Minute)
	latencyDigits   = 3
)

// Figures are the measurements of one class.
type Figures struct {
	Arrived int `json:"arrived"`
	Done    int `json:"done"`
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
	Shed    int `json:"shed"`
	// P50 to Max are percentiles and the maximum of the latencies of done requests,
	// measured from the arrival, in milliseconds.
	P50  float64 `json:"p50-ms"`
	P99  float64 `json:"p99-ms"`
	P999 float64 `json:"p99.9-ms"`
	Max  float64 `json:"max-ms"`

	latencies *hdrhistogram.Histogram
}

func newFigures() *Figures {
	return &Figures{latencies: hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)}
}

// Merge adds the measurements of other.
func (f *Figures) Merge(other *Figures) {
	f.Arrived += other.Arrived
	f.Done += other.Done
	f.NotRun += other.NotRun
	f.Unknown += other.Unknown
	f.Shed += other.Shed
	if f.latencies == nil {
		f.latencies = hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)
	}
	if other.latencies != nil {
		f.latencies.Merge(other.latencies)
	}
	f.summarize()
}

// summarize sets the percentiles and the maximum.
func (f *Figures) summarize() {
	percentile := func(percent float64) float64 {
		return float64(f.latencies.ValueAtPercentile(percent)) / float64(time.Millisecond)
	}
	f.P50, f.P99, f.P999, f.Max = percentile(50), percentile(99), percentile(99.9), float64(f.latencies.Max())/float64(time.Millisecond)
}

// Report holds the results of a load.
type Report struct {
	Classes map[Class]*Figures `json:"classes"`
	// Codes counts the requests that are not done, by result code.
	Codes map[string]int `json:"codes"`
	// Goodput is the number of done requests a second, over the load's duration.
	Goodput float64 `json:"goodput"`
	// Violations describe the violated guarantees.
	Violations []string `json:"violations"`
}

// acknowledgements holds the times of a group's acknowledged writes.
type acknowledgements struct {
	mu    sync.Mutex
	times []time.Duration
}

func (a *acknowledgements) add(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, at)
}

// gap returns the bounds of the longest time between two successive acknowledged writes of
// which the second one is acknowledged between from and end. The time from the last write
// until end counts as well.
func (a *acknowledgements) gap(from, end time.Duration) (first, last time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sort.Slice(a.times, func(i, j int) bool { return a.times[i] < a.times[j] })
	previous := time.Duration(0)
	consider := func(t time.Duration) {
		if t-previous > last-first {
			first, last = previous, t
		}
	}
	for _, t := range a.times {
		if t > end {
			break
		}
		if t >= from {
			consider(t)
		}
		previous = t
	}
	consider(end)
	return first, last
}
