package placer_test

import (
	"fmt"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/placer"
)

// The homes of an instance are daemons of its failure domain. Every daemon computes
// the same homes from the same view.
func Example() {
	view := member.View{Daemons: []member.Daemon{
		{ID: "labasa-loft-1", Domain: "labasa-loft", State: member.Live},
		{ID: "lautoka-shed-1", Domain: "lautoka-shed", State: member.Live},
		{ID: "lautoka-shed-2", Domain: "lautoka-shed", State: member.Leaving},
	}}
	i := manifest.Instance{Name: "pulp-ledger-1-a", Domain: "lautoka-shed"}
	for _, home := range placer.Homes(view, i, 2) {
		fmt.Println(home.ID)
	}
	// Output:
	// lautoka-shed-1
}

// A fast VM becomes the home of more instances than a slow one.
func ExampleAssign() {
	daemons := []placer.Candidate{
		{ID: "fast", Domain: "lautoka-shed", Weight: 0.8},
		{ID: "slow", Domain: "lautoka-shed", Weight: 0.2},
	}
	instances := []manifest.Instance{{Name: "a", Domain: "lautoka-shed"}, {Name: "b", Domain: "lautoka-shed"}}
	for name, homes := range placer.Assign(daemons, instances, nil, 1) {
		fmt.Println(name, homes[0])
	}
	// Unordered output:
	// a fast
	// b fast
}
