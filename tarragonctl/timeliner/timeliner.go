// Package timeliner merges the timelines of daemons, which are the events that each of
// them recorded, in the order of their hybrid logical clocks.
//
// # Order
//
// Messages between daemons carry the hybrid logical clock. An event is therefore placed
// after the event that caused it, even if the wall clocks of their daemons differ.
//
// # Usage
//
//	t := timeliner.New(timeliner.Filter{Group: "pulp-ledger-1"})
//	for {
//		for _, e := range t.Merge(replies) {
//			fmt.Println(timeliner.Line(e))
//		}
//		time.Sleep(time.Second) // Then fetch the events after t.Since(address).
//	}
package timeliner

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/printer"
	"tarragonshed.example/wire/operator/gen/daemon"
	"tarragonshed.example/wire/operator/gen/types"
)

// Filter selects events. An empty field selects all. Daemon selects the events that the
// daemon recorded and those that are about it.
type Filter struct {
	Since    time.Time
	Group    string
	Instance string
	Daemon   string
	Kinds    []string
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e *daemon.TimelineEvent) bool {
	return e.Time.Wall >= f.sinceNanos() &&
		matches(f.Group, e.Group) && matches(f.Instance, e.Instance) &&
		(f.Daemon == "" || f.Daemon == e.Source || matches(f.Daemon, e.Daemon)) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind))
}

// sinceNanos returns Since in nanoseconds since the Unix epoch. It returns zero for the
// zero time, whose UnixNano is undefined.
func (f Filter) sinceNanos() int64 {
	if f.Since.IsZero() {
		return 0
	}
	return f.Since.UnixNano()
}

// matches reports whether value equals want. An empty want matches any value.
func matches(want string, value *string) bool {
	return want == "" || value != nil && *value == want
}

// Timeliner merges timelines over several rounds of calls to all daemons. It is not safe
// for concurrent use.
type Timeliner struct {
	filter Filter
	// last holds the time of the last event of each daemon, by its operator address.
	last map[string]types.HybridTime
}

// New returns a Timeliner that keeps the events that the filter selects.
func New(filter Filter) *Timeliner {
	return &Timeliner{filter: filter, last: make(map[string]types.HybridTime)}
}

// Since returns the time after which to request events in the next round from the daemon
// with the operator address.
func (t *Timeliner) Since(address string) types.HybridTime {
	if last, ok := t.last[address]; ok {
		return last
	}
	return types.HybridTime{Wall: max(0, t.filter.sinceNanos()-1)}
}

// DaemonEvents holds the events that one daemon returned in a round, oldest first.
type DaemonEvents struct {
	// Address is the host:port of the daemon's operator API.
	Address string
	Events  []*daemon.TimelineEvent
	// More reports whether the daemon has more events than it returned.
	More bool
}

// Merge returns the events of one round that the filter selects, ordered by the hybrid
// logical clock. It skips replies with an error; their daemons are read again from the
// same time in the next round.
func (t *Timeliner) Merge(replies []client.Reply[DaemonEvents]) []*daemon.TimelineEvent {
	var merged []*daemon.TimelineEvent
	for _, r := range replies {
		if r.Err != nil {
			continue
		}
		for _, e := range r.Answer.Events {
			if t.filter.Matches(e) {
				merged = append(merged, e)
			}
		}
		if n := len(r.Answer.Events); n > 0 {
			t.last[r.Answer.Address] = *r.Answer.Events[n-1].Time
		}
	}
	slices.SortStableFunc(merged, func(a, b *daemon.TimelineEvent) int {
		return cmp.Or(cmp.Compare(a.Time.Wall, b.Time.Wall), cmp.Compare(a.Time.Counter, b.Time.Counter), cmp.Compare(a.Source, b.Source))
	})
	return merged
}

// Line formats an event as one line without a newline. Times are in UTC.
func Line(e *daemon.TimelineEvent) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-18s %-20s", time.Unix(0, e.Time.Wall).UTC().Format("15:04:05.000000"), e.Source, e.Kind)
	for _, field := range []struct {
		name  string
		value *string
	}{{"group", e.Group}, {"instance", e.Instance}, {"daemon", e.Daemon}, {"request", e.Request}} {
		if field.value != nil {
			fmt.Fprintf(&b, " %s=%s", field.name, quote(*field.value))
		}
	}
	if e.Term != nil {
		fmt.Fprintf(&b, " term=%d", *e.Term)
	}
	if e.Position != nil {
		fmt.Fprintf(&b, " position=%d/%d", e.Position.Term, e.Position.Index)
	}
	if e.Detail != nil {
		fmt.Fprintf(&b, ": %s", printer.Escape(*e.Detail))
	}
	return strings.TrimRight(b.String(), " ")
}

// quote returns the value of a field, quoted if it could look like several fields or lines.
func quote(value string) string {
	if quoted := strconv.Quote(value); strings.ContainsAny(value, " =") || quoted != `"`+value+`"` {
		return quoted
	}
	return value
}
