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
