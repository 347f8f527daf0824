package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/unit"
)

func at(index unit.Index) unit.Position {
	return unit.Position{Term: 1, Index: index}
}

func TestSession(t *testing.T) {
	is := is.New(t)
	var s Session
	_, ok := s.Floor(0)
	is.True(!ok) // A new session needs a read index.
	_, ok = s.Floor(time.Second)
	is.True(ok) // A read with a staleness bound does not.
	is.True(s.Raise(at(5)))
	_, ok = s.Floor(0)
	is.True(!ok) // The answer to a read does not cover the writes of other sessions.
	is.True(!s.Initialize(at(3)))
	floor, ok := s.Floor(0)
	is.True(ok)
	is.Equal(floor, at(5))
	is.True(s.Raise(unit.Position{Term: 2, Index: 1}))
	is.Equal(s.Position(), unit.Position{Term: 2, Index: 1})
}

func TestIndexer(t *testing.T) {
	t.Run("serves only reads that arrived before the round began", func(t *testing.T) {
		is := is.New(t)
		x := NewIndexer(3)
		is.Equal(x.Handle(Arrived{Read: 1}), []Effect{RequestReports{Round: 1}})
		is.Equal(len(x.Handle(Arrived{Read: 2})), 0)
		is.Equal(len(x.Handle(Reported{Round: 1, Instance: "a", Last: at(7)})), 0)
		is.Equal(len(x.Handle(Reported{Round: 1, Instance: "a", Last: at(6)})), 0) // Each instance counts once.
		is.Equal(x.Handle(Reported{Round: 1, Instance: "b", Last: at(4)}),
			[]Effect{Serve{Reads: []ReadID{1}, Index: at(7)}, EndRound{Round: 1}, RequestReports{Round: 2}})
		is.Equal(len(x.Handle(Reported{Round: 1, Instance: "c", Last: at(9)})), 0) // A late answer.
		is.Equal(len(x.Handle(Reported{Round: 2, Instance: "c", Last: at(9)})), 0)
		is.Equal(x.Handle(Reported{Round: 2, Instance: "b", Last: at(4)}),
			[]Effect{Serve{Reads: []ReadID{2}, Index: at(9)}, EndRound{Round: 2}})
	})
	t.Run("an abandoned round ends", func(t *testing.T) {
		is := is.New(t)
		x := NewIndexer(3)
		x.Handle(Arrived{Read: 1})
		x.Handle(Arrived{Read: 2})
		is.Equal(x.Handle(Abandoned{Read: 1}), []Effect{EndRound{Round: 1}, RequestReports{Round: 2}})
		is.Equal(x.Handle(Abandoned{Read: 2}), []Effect{EndRound{Round: 2}})
	})
}
