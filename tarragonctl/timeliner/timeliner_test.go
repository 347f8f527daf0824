package timeliner_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/timeliner"
	"tarragonshed.example/wire/operator/gen/daemon"
	"tarragonshed.example/wire/operator/gen/types"
)

func event(source, kind string, wall int64, counter uint32) *daemon.TimelineEvent {
	return &daemon.TimelineEvent{Time: &types.HybridTime{Wall: wall, Counter: counter}, Source: source, Kind: kind}
}

func replies(events ...[]*daemon.TimelineEvent) []client.Reply[timeliner.DaemonEvents] {
	var list []client.Reply[timeliner.DaemonEvents]
	for _, e := range events {
		list = append(list, client.Reply[timeliner.DaemonEvents]{Answer: timeliner.DaemonEvents{Address: e[0].Source + ":1", Events: e}})
	}
	return list
}

func kinds(events []*daemon.TimelineEvent) string {
	var names []string
	for _, e := range events {
		names = append(names, e.Kind)
	}
	return strings.Join(names, " ")
}

func TestMerge(t *testing.T) {
	a := []*daemon.TimelineEvent{event("a", "first", 1, 0), event("a", "third", 5, 2)}
	b := []*daemon.TimelineEvent{event("b", "second", 5, 1), event("b", "fourth", 6, 0)}
	t.Run("events are ordered by the hybrid logical clock", func(t *testing.T) {
		is := is.New(t)
		m := timeliner.New(timeliner.Filter{})
		is.Equal(kinds(m.Merge(replies(a, b))), "first second third fourth")
		is.Equal(m.Since("a:1"), types.HybridTime{Wall: 5, Counter: 2})
	})
	t.Run("an error of one daemon keeps the events of the others", func(t *testing.T) {
		is := is.New(t)
		list := append(replies(a), client.Reply[timeliner.DaemonEvents]{Err: errors.New("x")})
		is.Equal(kinds(timeliner.New(timeliner.Filter{}).Merge(list)), "first third")
	})
	t.Run("filters select events", func(t *testing.T) {
		is := is.New(t)
		is.Equal(kinds(timeliner.New(timeliner.Filter{Daemon: "b"}).Merge(replies(a, b))), "second fourth")
		is.Equal(kinds(timeliner.New(timeliner.Filter{Kinds: []string{"third"}}).Merge(replies(a, b))), "third")
		is.Equal(kinds(timeliner.New(timeliner.Filter{Since: time.Unix(0, 6)}).Merge(replies(a, b))), "fourth")
		is.Equal(kinds(timeliner.New(timeliner.Filter{Group: "g"}).Merge(replies(a, b))), "")
	})
}

func TestPage(t *testing.T) {
	is := is.New(t)
	detail := "</script><script>alert(1)</script>"
	e := event("a", "first", 1, 0)
	e.Detail = &detail
	var b bytes.Buffer
	is.NoErr(timeliner.WritePage(&b, timeliner.Timeline{Events: []*daemon.TimelineEvent{e}, Missing: []string{"d2"}}))
	is.True(strings.Contains(b.String(), "first"))
	is.True(strings.Contains(b.String(), "d2"))
	is.True(!strings.Contains(b.String(), detail)) // The details are escaped, so that they cannot end the script.
	is.True(!strings.Contains(b.String(), "src=")) // The page loads no other resource.
}

// TestLineOfOddTexts guards against a value with a line end or a blank that looks like another event
// or field.
func TestLineOfOddTexts(t *testing.T) {
	is := is.New(t)
	e := event("a", "first", 1, 0)
	request, detail := "r\n15:04:05.000000 b promoted group=x", "no primary\r\nforged \x1b[31m"
	e.Request, e.Detail = &request, &detail
	line := timeliner.Line(e)
	is.True(!strings.ContainsAny(line, "\r\n\x1b"))
	is.True(strings.Contains(line, `request="r\n15:04:05.000000 b promoted group=x"`))
	is.True(strings.HasSuffix(line, `: no primary\r\nforged \x1b[31m`))
}
