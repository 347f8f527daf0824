// Package timeliner merges the timelines of daemons by the hybrid logical clock.
//
// # Order
//
// An event that another one caused is placed after it, also when the wall clocks of
// their daemons differ, because messages between daemons carry the clock.
//
// # Usage
//
//	t := timeliner.New(timeliner.Filter{Group: "pulp-ledger-1"})
//	for {
//		for _, e := range t.Merge(replies) {
//			fmt.Println(timeliner.Line(e))
//		}
//		time.Sleep(time.Second) // And ask again, from t.Since on.
//	}
package timeliner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/wire/operator/gen/daemon"
	"tarragonshed.example/wire/operator/gen/types"
)

// Filter tells which events are wanted. Empty fields want all.
type Filter struct {
	Since    time.Time
	Group    string
	Instance string
	Daemon   string
	Kinds    []string
}

// Matches reports whether the event is wanted.
func (f Filter) Matches(e *daemon.TimelineEvent) bool {
	return e.Time.Wall >= f.since() &&
		fits(f.Group, e.Group) && fits(f.Instance, e.Instance) &&
		(f.Daemon == "" || f.Daemon == e.Source || fits(f.Daemon, e.Daemon)) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind))
}

// since returns zero for the zero time, whose UnixNano is not defined.
func (f Filter) since() int64 {
	if f.Since.IsZero() {
		return 0
	}
	return f.Since.UnixNano()
}

func fits(want string, have *string) bool {
	return want == "" || have != nil && *have == want
}

// Timeliner merges timelines over several rounds.
type Timeliner struct {
	filter Filter
	last   map[string]types.HybridTime
}

// New returns a Timeliner that keeps the wanted events.
func New(filter Filter) *Timeliner {
	return &Timeliner{filter: filter, last: make(map[string]types.HybridTime)}
}

// Since returns the time after which a daemon, by its operator address, is to be
// asked.
func (t *Timeliner) Since(address string) types.HybridTime {
	if last, ok := t.last[address]; ok {
		return last
	}
	return types.HybridTime{Wall: max(0, t.filter.since()-1)}
}

// DaemonEvents is what one daemon answered.
type DaemonEvents struct {
	Address string
	Events  []*daemon.TimelineEvent
	// More tells that the daemon has more events than it sent.
	More bool
}

// Merge returns the wanted events of one round, ordered by the clock.
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

// Line formats an event as one line.
func Line(e *daemon.TimelineEvent) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-18s %-20s", time.Unix(0, e.Time.Wall).UTC().Format("15:04:05.000000"), e.Source, e.Kind)
	for _, field := range []struct {
		name  string
		value *string
	}{{"group", e.Group}, {"instance", e.Instance}, {"daemon", e.Daemon}, {"request", e.Request}} {
		if field.value != nil {
			fmt.Fprintf(&b, " %s=%s", field.name, *field.value)
		}
	}
	if e.Term != nil {
		fmt.Fprintf(&b, " term=%d", *e.Term)
	}
	if e.Position != nil {
		fmt.Fprintf(&b, " position=%d/%d", e.Position.Term, e.Position.Index)
	}
	if e.Detail != nil {
		fmt.Fprintf(&b, ": %s", *e.Detail)
	}
	return strings.TrimRight(b.String(), " ")
}
