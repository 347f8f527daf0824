package acknowledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/acknowledger"
	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

var start = time.Unix(1000, 0)

func at(term unit.Term, index unit.Index) unit.Position {
	return unit.Position{Term: term, Index: index}
}

func primary(name unit.InstanceName, last unit.Position, followers ...instance.Follower) acknowledger.Reported {
	return acknowledger.Reported{Report: instance.Report{Instance: name, Role: instance.Primary, Term: last.Term, Last: last, Followers: followers}}
}

func follower(name unit.InstanceName, term unit.Term, last unit.Position) instance.Follower {
	return instance.Follower{Instance: name, Term: term, Last: last}
}

func write(id acknowledger.WaitID, p unit.Position) acknowledger.Await {
	return acknowledger.Await{ID: id, Position: p, Term: p.Term, Wrote: true, Deadline: start.Add(time.Second)}
}

func expect(t *testing.T, a *acknowledger.Acknowledger, event acknowledger.Event, want ...string) {
	t.Helper()
	is := is.New(t)
	got := []string{}
	for _, effect := range a.Step(event) {
		switch effect := effect.(type) {
		case acknowledger.Release:
			got = append(got, fmt.Sprint("release ", effect.ID, " ", effect.Position))
		case acknowledger.Refuse:
			got = append(got, fmt.Sprint("refuse ", effect.ID, " ", effect.Err.Code.Entry().Name))
		case acknowledger.RequestHistory:
			got = append(got, "history "+string(effect.Primary))
		case acknowledger.RequestReports:
			got = append(got, "reports")
		}
	}
	is.Equal(got, append([]string{}, want...))
}

func TestMajority(t *testing.T) {
	t.Run("releases a write that the primary and one follower hold", func(t *testing.T) {
		a := acknowledger.New(3)
		expect(t, a, write(1, at(2, 7)))
		expect(t, a, primary("a", at(2, 7), follower("b", 2, at(2, 6))))
		expect(t, a, primary("a", at(2, 7), follower("b", 2, at(2, 7))), "release 1 2/7")
	})
	t.Run("releases a covered position at once", func(t *testing.T) {
		a := acknowledger.New(3)
		expect(t, a, primary("a", at(2, 9), follower("b", 2, at(2, 9))))
		expect(t, a, write(1, at(2, 8)), "release 1 2/8")
	})
	t.Run("does not count a log of an earlier term with the same index", func(t *testing.T) {
		a := acknowledger.New(3)
		expect(t, a, write(1, at(3, 7)))
		expect(t, a, primary("a", at(3, 7), follower("b", 3, at(2, 7))))
	})
	t.Run("does not count a record held in a later term", func(t *testing.T) {
		a := acknowledger.New(3)
		expect(t, a, write(1, at(2, 7)))
		expect(t, a, primary("a", at(2, 7)))
		expect(t, a, acknowledger.Reported{Report: instance.Report{Instance: "b", Role: instance.Replica, Term: 4, Last: at(2, 7)}}, "reports")
	})
	t.Run("counts a report of a replica like the primary's list of followers", func(t *testing.T) {
		a := acknowledger.New(3)
		expect(t, a, write(1, at(2, 7)))
		expect(t, a, primary("a", at(2, 7)))
		expect(t, a, acknowledger.Reported{Report: instance.Report{Instance: "c", Role: instance.Replica, Term: 2, Last: at(2, 8)}}, "release 1 2/7")
	})
}

func TestFailover(t *testing.T) {
	failOver := func(t *testing.T) *acknowledger.Acknowledger {
		a := acknowledger.New(3)
		expect(t, a, write(1, at(2, 7)))
		expect(t, a, acknowledger.Disconnected{Instance: "a"}, "reports")
		expect(t, a, primary("b", at(3, 8)), "reports")
		expect(t, a, primary("b", at(3, 8), follower("c", 3, at(3, 8))), "history b")
		return a
	}
	t.Run("releases a write that the new term has, with the later position", func(t *testing.T) {
		expect(t, failOver(t), acknowledger.HistoryRead{Extents: []acknowledger.Extent{{2, 1, 7}, {3, 8, 9}}}, "release 1 3/8")
	})
	t.Run("refuses a write that the new term lacks", func(t *testing.T) {
		expect(t, failOver(t), acknowledger.HistoryRead{Extents: []acknowledger.Extent{{2, 1, 6}, {3, 7, 9}}}, "refuse 1 unconfirmed")
	})
	t.Run("ignores a history without the confirmed record", func(t *testing.T) {
		expect(t, failOver(t), acknowledger.HistoryRead{Extents: []acknowledger.Extent{{2, 1, 7}}})
	})
	t.Run("requests the history for a wait that starts after the failover", func(t *testing.T) {
		expect(t, failOver(t), write(2, at(2, 6)), "history b")
	})
}

func TestDeadline(t *testing.T) {
	a := acknowledger.New(3)
	expect(t, a, write(1, at(2, 7)))
	expect(t, a, acknowledger.Await{ID: 2, Position: at(2, 7), Term: 2, Deadline: start.Add(time.Second)})
	expect(t, a, acknowledger.Expire{Now: start})
	expect(t, a, acknowledger.Expire{Now: start.Add(time.Second)}, "refuse 1 unconfirmed", "refuse 2 no-majority")
}

func TestReadOfAnObsoletePrimary(t *testing.T) {
	a := acknowledger.New(3)
	expect(t, a, acknowledger.Await{ID: 1, Position: at(2, 7), Term: 3, Deadline: start}, "refuse 1 not-primary")
}

func ExampleAcknowledger() {
	a := acknowledger.New(3)
	p := unit.Position{Term: 2, Index: 7}
	a.Step(acknowledger.Await{ID: 1, Position: p, Term: 2, Wrote: true})
	effects := a.Step(acknowledger.Reported{Report: instance.Report{
		Instance: "a", Role: instance.Primary, Term: 2, Last: p,
		Followers: []instance.Follower{{Instance: "b", Term: 2, Last: p}},
	}})
	fmt.Println(effects[0].(acknowledger.Release).Position, result.Unconfirmed)
	// Output: 2/7 TS3002
}
