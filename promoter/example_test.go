package promoter_test

import (
	"fmt"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/promoter"
)

func Example() {
	members := []promoter.Member{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}, {Name: "c", Address: "c:1"}}
	p := promoter.New("daemon-1/8f3a", members)
	now := time.Unix(0, 0)
	handle := func(event promoter.Event) {
		for _, effect := range p.Handle(event) {
			switch e := effect.(type) {
			case promoter.Grant:
				fmt.Println("ask", e.Instance, "to grant term", e.Term)
			case promoter.Promote:
				fmt.Println("promote", e.Instance, "in term", e.Term)
			}
		}
	}
	report := func(r instance.Report) {
		handle(promoter.Reported{Moment: promoter.Moment{At: now}, Call: promoter.ProbeCall, Report: r})
	}

	report(instance.Report{Instance: "a", Sequence: 1, Role: instance.Primary, Term: 1, Primary: "a"})
	report(instance.Report{Instance: "b", Sequence: 1, Role: instance.Replica, Term: 1, Primary: "a"})
	report(instance.Report{Instance: "c", Sequence: 1, Role: instance.Replica, Term: 1, Primary: "a"})
	handle(promoter.Failed{Moment: promoter.Moment{At: now}, Instance: "a", Call: promoter.ProbeCall, Cause: promoter.Refused})
	report(instance.Report{Instance: "b", Sequence: 2, Role: instance.Detached, Term: 2, GrantedTo: "daemon-1/8f3a"})
	report(instance.Report{Instance: "c", Sequence: 2, Role: instance.Detached, Term: 2, GrantedTo: "daemon-1/8f3a"})
	// Output:
	// ask b to grant term 2
	// ask c to grant term 2
	// promote b in term 2
}
