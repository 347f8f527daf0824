package acknowledger_test

import (
	"fmt"
	"time"

	"tarragonshed.example/acknowledger"
	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
)

// A write is released when the primary's report shows that one of its two
// replicas holds it in the write's own term.
func Example() {
	write := unit.Position{Term: 2, Index: 7}
	a := acknowledger.New(3)
	a.Step(acknowledger.Await{ID: 1, Position: write, Term: 2, Wrote: true, Deadline: time.Unix(30, 0)})

	report := instance.Report{Instance: "a", Role: instance.Primary, Term: 2, Last: write}
	fmt.Println("alone:", len(a.Step(acknowledger.Reported{Report: report})))

	report.Followers = []instance.Follower{{Instance: "b", Term: 2, Last: write}}
	for _, effect := range a.Step(acknowledger.Reported{Report: report}) {
		if release, ok := effect.(acknowledger.Release); ok {
			fmt.Println("released:", release.ID, release.Position)
		}
	}
	// Output:
	// alone: 0
	// released: 1 2/7
}
