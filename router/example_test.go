package router_test

import (
	"fmt"
	"time"

	"tarragonshed.example/instance"
	"tarragonshed.example/router"
	"tarragonshed.example/unit"
)

// A read goes to a replica that has applied the position that the read requires.
func Example() {
	at := func(name unit.InstanceName, role instance.Role, index unit.Index) router.Candidate {
		p := unit.Position{Term: 1, Index: index}
		return router.Candidate{
			Instance: name, Slots: 3, Known: true,
			Report: instance.Report{Instance: name, Role: role, Term: 1, Last: p, Applied: p, Primary: "a"},
		}
	}
	candidates := []router.Candidate{
		at("a", instance.Primary, 9), at("b", instance.Replica, 9), at("c", instance.Replica, 4),
	}
	request := router.Request{Floor: unit.Position{Term: 1, Index: 9}, Now: time.Unix(1, 0)}
	if use, ok := router.Choose(request, candidates).(router.Use); ok {
		fmt.Println("read:", use.Instance, "primary:", use.Primary)
	}
	request.Write = true
	if use, ok := router.Choose(request, candidates).(router.Use); ok {
		fmt.Println("write:", use.Instance, "primary:", use.Primary)
	}
	// Output:
	// read: b primary: false
	// write: a primary: true
}
