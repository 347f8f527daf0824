package forwarder

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTraffic(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const long = time.Hour
	for name, c := range map[string]struct {
		traffic traffic
		now     time.Duration
		want    action
	}{
		"no leases":              {traffic{readAt: at(0), sentAt: at(0)}, long, actionNone},
		"leases since just now":  {traffic{sinceLeases: at(long), readAt: at(0), sentAt: at(0)}, long + pingAfter - 1, actionNone},
		"quiet":                  {traffic{sinceLeases: at(long), readAt: at(0), sentAt: at(long)}, long + pingAfter, actionPing},
		"nothing sent":           {traffic{sinceLeases: at(0), readAt: at(long), sentAt: at(0)}, long, actionPing},
		"busy":                   {traffic{sinceLeases: at(0), readAt: at(long), sentAt: at(long)}, long + 1, actionNone},
		"answer may still come":  {traffic{sinceLeases: at(0), pingedAt: at(1)}, pingTimeout, actionNone},
		"no answer":              {traffic{sinceLeases: at(0), pingedAt: at(1)}, pingTimeout + 1, actionEnd},
		"answered":               {traffic{sinceLeases: at(0), pingedAt: at(1), readAt: at(2), sentAt: at(2)}, 3, actionNone},
		"lease ended since ping": {traffic{pingedAt: at(1)}, long, actionNone},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.traffic.check(at(c.now)), c.want) })
	}
}

func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	p := pace{interval: time.Second, last: start}
	var judged []bool
	for _, second := range []time.Duration{1, 2, 9, 10, 20, 30, 31} {
		judged = append(judged, p.judges(start.Add(second*time.Second)))
	}
	is.New(t).Equal(judged, []bool{true, true, false, true, false, true, true})
}

func TestSilentSender(t *testing.T) {
	is := is.New(t)
	s := NewServer(&countingLocal{})
	st := s.open(t.Context(), nil)
	is.True(!st.silent(time.Now().Add(maxSilence))) // It has no leases.
	is.True(st.add(1, nil))
	is.True(!st.silent(time.Now()))
	is.True(st.silent(time.Now().Add(maxSilence)))
	st.remove(1)
	s.close(st)
}

// TestLongMessageIsNoSilence reads a part of a message.
func TestLongMessageIsNoSilence(t *testing.T) {
	is := is.New(t)
	start := time.Now().Add(-maxSilence)
	body := &transport{ReadCloser: io.NopCloser(strings.NewReader("part of a message")), arrivals: arrivals{base: start}}
	s := NewServer(&countingLocal{})
	st := s.open(context.WithValue(t.Context(), transportKey{}, body), nil)
	is.True(st.add(1, nil))
	st.heardAt = start
	is.True(st.silent(time.Now()))
	_, _ = body.Read(make([]byte, 4))
	is.True(!st.silent(time.Now()))
	is.True(st.silent(time.Now().Add(maxSilence)))
	s.close(st)
}

func TestRemaining(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(remaining(now.Add(time.Second), now, 10*time.Millisecond), int64(990*time.Millisecond))
	is.Equal(remaining(now.Add(time.Second), now, time.Minute), int64(750*time.Millisecond)) // At most a quarter.
	is.Equal(remaining(now.Add(-time.Second), now, 10*time.Millisecond), int64(1))
	is.Equal(after(now, 1<<63-1), now.Add(maxRemaining))
	is.Equal(after(now, -1<<63), now.Add(-maxRemaining))
}
