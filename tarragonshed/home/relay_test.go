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

// A primary that was replaced and follows the new one still shows its unreplicated
// tail until it has caught up. Only positions that it held as a replica, or that a
// majority holds, are safe to return.
func TestTailOfReplacedPrimaryIsNotSafe(t *testing.T) {
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
	for value, unconfirmed := range map[string]bool{"2:2:7": false, "2:2:8": true} {
		r := &relay{class: peer.Class_CLASS_READ, transaction: &transaction{target: a}, events: make(chan event, eventCapacity)}
		is.NoErr(r.handle(&pgproto3.ParameterStatus{Name: positionParameter, Value: value}, false))
		is.NoErr(r.handle(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, false))
		is.NoErr(r.handle(&pgproto3.ReadyForQuery{TxStatus: 'I'}, true))
		is.Equal((<-r.events).(settlement).unconfirmed, unconfirmed) // An unconfirmed read waits for a majority.
	}
}

// An instance that has restarted and lags behind may accept connections before its
// first report, so a read with a staleness bound must be refused until then.
func TestStalenessNeedsAReport(t *testing.T) {
	is := is.New(t)
	a := &target{name: "a", control: &control{}, reported: make(chan struct{})}
	eligible := func(staleness uint64) *result.Error {
		request := &peer.Open{Class: peer.Class_CLASS_READ, MaxStalenessMicroseconds: staleness}
		return (&transaction{target: a, request: request}).eligible(t.Context())
	}
	is.Equal(eligible(0), nil)
	refused := eligible(1)
	is.True(refused != nil && refused.Code == result.InstanceUnreachable)
}
