// Package recorder keeps a timeline of the events of one process and orders it
// with the events of other processes.
//
// # Clock
//
// Events carry a hybrid logical clock [Time]: wall-clock nanoseconds, raised to
// the highest time received in a message from another process, and a counter. An
// event is therefore ordered after the events that caused it in other processes,
// even when their wall clocks differ.
//
// # Ring
//
// A [Recorder] keeps a bounded ring; the oldest events are overwritten. Events
// serve diagnosis and measurements only. No decision may depend on them.
//
// # Usage
//
//	rec := recorder.New("daemon-1", recorder.WithCapacity(4096))
//	rec.Record(recorder.Event{Kind: recorder.PrimarySuspected, Group: "pulp-ledger-1"})
//	for _, e := range rec.Since(recorder.Time{}) {
//		fmt.Println(e)
//	}
package recorder

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"tarragonshed.example/unit"
)

// Kind names the type of an event in kebab case.
type Kind string

// The kinds of events.
const (
	DaemonStarted       Kind = "daemon-started"
	DaemonDraining      Kind = "daemon-draining"
	DaemonStopped       Kind = "daemon-stopped"
	MemberJoined        Kind = "member-joined"
	MemberSuspected     Kind = "member-suspected"
	MemberRefuted       Kind = "member-refuted"
	MemberLeaving       Kind = "member-leaving"
	MemberDead          Kind = "member-dead"
	ManifestInForce     Kind = "manifest-in-force"
	ManifestPushed      Kind = "manifest-pushed"
	PrimarySuspected    Kind = "primary-suspected"
	TermRequested       Kind = "term-requested"
	TermGranted         Kind = "term-granted"
	PrimaryPromoted     Kind = "primary-promoted"
	PrimaryConfirmed    Kind = "primary-confirmed"
	PrimaryLearned      Kind = "primary-learned"
	PrimaryQuiesced     Kind = "primary-quiesced"
	InstanceFollows     Kind = "instance-follows"
	WriteAcknowledged   Kind = "write-acknowledged"
	WriteUnconfirmed    Kind = "write-unconfirmed"
	RequestRefused      Kind = "request-refused"
	ConnectionOpened    Kind = "connection-opened"
	ConnectionClosed    Kind = "connection-closed"
	ConnectionSilent    Kind = "connection-silent"
	FaultInjected       Kind = "fault-injected"
	PlatformUnreachable Kind = "platform-unreachable"
	PlatformReachable   Kind = "platform-reachable"
)

// Time is a hybrid logical clock value.
type Time struct {
	// Wall is in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Counter orders values of the same Wall.
	Counter uint32 `json:"counter"`
}

// Before reports whether t is ordered before u.
func (t Time) Before(u Time) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Counter < u.Counter
}

// Event is one decision or observation of a process.
type Event struct {
	Time     Time              `json:"time"`
	Kind     Kind              `json:"kind"`
	Source   string            `json:"source"`
	Domain   unit.DomainName   `json:"domain,omitempty"`
	Group    unit.GroupName    `json:"group,omitempty"`
	Instance unit.InstanceName `json:"instance,omitempty"`
	Daemon   unit.DaemonID     `json:"daemon,omitempty"`
	Term     unit.Term         `json:"term,omitempty"`
	Position unit.Position     `json:"position,omitzero"`
	Request  string            `json:"request,omitempty"`
	// Detail is a sentence or fragment of text for operators.
	Detail string `json:"detail,omitempty"`
}

// String formats e as one line.
func (e Event) String() string {
	line := fmt.Sprintf("%s %s %s", time.Unix(0, e.Time.Wall).UTC().Format("15:04:05.000000"), e.Source, e.Kind)
	if e.Group != "" {
		line += " group=" + string(e.Group)
	}
	if e.Instance != "" {
		line += " instance=" + string(e.Instance)
	}
	if e.Daemon != "" {
		line += " daemon=" + string(e.Daemon)
	}
	if e.Term != 0 {
		line += fmt.Sprintf(" term=%d", e.Term)
	}
	if !e.Position.IsZero() {
		line += " position=" + e.Position.String()
	}
	if e.Detail != "" {
		line += ": " + e.Detail
	}
	return line
}

// Sort orders the events of several recorders by their clocks.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		switch {
		case a.Time.Before(b.Time):
			return -1
		case b.Time.Before(a.Time):
			return 1
		default:
			return 0
		}
	})
}

// DefaultCapacity is the number of events that a ring holds by default.
const DefaultCapacity = 4096

// Recorder is a clock and a bounded ring of events. It is safe for concurrent
// use. A nil Recorder drops every event.
type Recorder struct {
	source   string
	capacity int
	now      func() time.Time
	observe  func(Event)

	mu   sync.Mutex
	last Time
	ring []Event
	next int
}

// Option changes a Recorder under construction.
type Option func(*Recorder)

// WithCapacity sets the number of events that the ring holds.
func WithCapacity(events int) Option {
	return func(r *Recorder) { r.capacity = events }
}

// WithNow replaces the wall clock.
func WithNow(now func() time.Time) Option {
	return func(r *Recorder) { r.now = now }
}

// WithObserver sets a function that is called with each event, in order. It runs
// under the recorder's lock, so it must neither block nor call the recorder.
func WithObserver(observe func(Event)) Option {
	return func(r *Recorder) { r.observe = observe }
}

// New returns a Recorder that sets the Source of its events to source.
func New(source string, options ...Option) *Recorder {
	r := &Recorder{source: source, capacity: DefaultCapacity, now: time.Now}
	for _, option := range options {
		option(r)
	}
	return r
}

// Record sets the time and the source of e and adds it to the ring.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.tick()
	e.Source = r.source
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.next] = e
	}
	r.next = (r.next + 1) % r.capacity
	if r.observe != nil {
		r.observe(e)
	}
}

// Now advances the clock and returns its value, to be sent with a message.
func (r *Recorder) Now() Time {
	if r == nil {
		return Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Advance raises the clock to a time received from another process, so that later
// events are ordered after it.
func (r *Recorder) Advance(t Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(t) {
		r.last = t
	}
}

// Since returns the events in the ring that are ordered after t, oldest first.
func (r *Recorder) Since(t Time) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	start := 0
	if len(r.ring) == r.capacity {
		start = r.next
	}
	for i := range r.ring {
		e := r.ring[(start+i)%len(r.ring)]
		if t.Before(e.Time) {
			found = append(found, e)
		}
	}
	return found
}

func (r *Recorder) tick() Time {
	wall := r.now().UnixNano()
	if wall > r.last.Wall {
		r.last = Time{Wall: wall}
	} else {
		r.last.Counter++
	}
	return r.last
}
