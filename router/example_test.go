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

// The reads leave the failure domain while the instance there has a queue.
func ExampleSpreader() {
	s := router.NewSpreader(router.WithDistanceCosts(15*time.Millisecond, 90*time.Millisecond))
	candidates := []router.ReadCandidate{{Instance: "near"}, {Instance: "far", Distance: router.SameRegion}}
	random, now := 0.5, time.Unix(1, 0)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		s.Observe("near", router.Report{Slots: 4, Running: 4, Queued: 20, Mean: 20 * time.Millisecond}, now)
		s.Observe("far", router.Report{Slots: 4, Running: 1, Mean: 20 * time.Millisecond}, now)
		chosen, _ := s.Choose(candidates, router.ReadRequest{Target: 500 * time.Millisecond}, now, random)
		s.Record(chosen.Instance, router.Outcome{Sent: true}, now)
	}
	fmt.Println(s.Shares(500 * time.Millisecond)["far"] > 0.8)
	// Output: true
}
