package home

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/acknowledger"
	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// A read that may have seen what no majority holds is withheld, whatever the
// entry took the instance for.
func TestReadsThatAreNoCopyAreWithheld(t *testing.T) {
	for name, copied := range map[string]bool{"copy": true, "replaced primary": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := 0
			r := &relay{
				class: peer.Class_CLASS_READ, safe: func(unit.Position) bool { return true },
				copied:  func(seen) bool { return copied },
				confirm: func(seen) *result.Error { return result.New(result.NotPrimary, "replaced") },
				send:    func(*peer.CarryResponse) error { sent++; return nil },
				events:  make(chan event, eventRoom),
			}
			is.NoErr(r.take(&pgproto3.ParameterStatus{Name: positionParameter, Value: "4:4:531"}, false))
			is.NoErr(r.take(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, false))
			is.NoErr(r.take(&pgproto3.ReadyForQuery{TxStatus: 'I'}, true))
			s := (<-r.events).(settlement)
			is.Equal(s.doubtful, !copied)
			is.NoErr(r.take(&pgproto3.DataRow{Values: [][]byte{make([]byte, chunkSize)}}, false))
			if copied {
				is.Equal(sent, 1)
				return
			}
			_, dropped := (<-r.events).(violation)
			is.True(dropped)
			is.Equal(sent, 0)
		})
	}
}

// A primary that was replaced and follows shows its tail until it has reached the
// new primary. What it had as a replica, or a majority has, is safe.
func TestTailOfAReplacedPrimaryIsNotSafe(t *testing.T) {
	is := is.New(t)
	at := func(term unit.Term, index unit.Index) unit.Position { return unit.Position{Term: term, Index: index} }
	a := &target{name: "a", group: &group{core: acknowledger.New(3), instances: 3}, reported: make(chan struct{})}
	report := func(sequence uint64, role instance.Role, term unit.Term, last unit.Position, followers ...instance.Follower) {
		a.receive(instance.Report{Instance: "a", Sequence: sequence, Role: role, Term: term, Last: last, Applied: last, Followers: followers})
	}
	report(1, instance.Replica, 1, at(1, 5))
	is.True(a.isSafe(at(1, 5)))
	report(2, instance.Primary, 2, at(2, 8), instance.Follower{Instance: "b", Term: 2, Last: at(2, 7)})
	report(3, instance.Replica, 3, at(2, 8))
	is.True(a.isSafe(at(2, 7)))
	is.True(!a.isSafe(at(2, 8)))
	is.True(!a.isCopied(seen{term: 2, position: at(2, 8)}))
}
