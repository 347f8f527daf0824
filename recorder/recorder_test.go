package recorder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"tarragonshed.example/recorder"
)

// frozen returns a recorder whose wall clock always returns wall.
func frozen(wall int64, options ...recorder.Option) *recorder.Recorder {
	now := func() time.Time { return time.Unix(0, wall) }
	return recorder.New("test", append(options, recorder.WithNow(now))...)
}

func kinds(events []recorder.Event) []recorder.Kind {
	var list []recorder.Kind
	for _, e := range events {
		list = append(list, e.Kind)
	}
	return list
}

func TestRecorder(t *testing.T) {
	t.Run("events with equal wall-clock times keep their order", func(t *testing.T) {
		is := is.New(t)
		r := frozen(7)
		r.Record(recorder.Event{Kind: recorder.DaemonStarted})
		r.Record(recorder.Event{Kind: recorder.DaemonStopped})
		events := r.Since(recorder.Time{})
		is.Equal(kinds(events), []recorder.Kind{recorder.DaemonStarted, recorder.DaemonStopped})
		is.True(events[0].Time.Before(events[1].Time))
	})
	t.Run("an event is ordered after its cause in another process", func(t *testing.T) {
		is := is.New(t)
		ahead, behind := frozen(100), frozen(1)
		ahead.Record(recorder.Event{Kind: recorder.TermRequested})
		behind.Advance(ahead.Now())
		behind.Record(recorder.Event{Kind: recorder.TermGranted})
		merged := append(behind.Since(recorder.Time{}), ahead.Since(recorder.Time{})...)
		recorder.Sort(merged)
		is.Equal(kinds(merged), []recorder.Kind{recorder.TermRequested, recorder.TermGranted})
	})
	t.Run("the ring keeps the latest events in order", func(t *testing.T) {
		is := is.New(t)
		r := frozen(7, recorder.WithCapacity(2))
		for _, k := range []recorder.Kind{"one", "two", "three"} {
			r.Record(recorder.Event{Kind: k})
		}
		is.Equal(kinds(r.Since(recorder.Time{})), []recorder.Kind{"two", "three"})
	})
	t.Run("a nil recorder drops events", func(t *testing.T) {
		is := is.New(t)
		var r *recorder.Recorder
		r.Record(recorder.Event{Kind: "one"})
		is.Equal(len(r.Since(recorder.Time{})), 0)
	})
}
