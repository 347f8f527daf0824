package placer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/placer"
	"tarragonshed.example/unit"
)

var domains = []unit.DomainName{"lautoka-shed", "labasa-loft", "suva-office"}

func view(n int) member.View {
	v := member.View{Self: "d0"}
	for i := range n {
		id := unit.DaemonID(fmt.Sprintf("d%d", i))
		v.Daemons = append(v.Daemons, member.Daemon{ID: id, Domain: domains[i%len(domains)], State: member.Live})
	}
	return v
}

func TestHomes(t *testing.T) {
	one := manifest.Instance{Name: "pulp-ledger-1-a", Domain: "labasa-loft"}
	t.Run("are in the instance's domain", func(t *testing.T) {
		is := is.New(t)
		homes := placer.Homes(view(12), one, 2)
		is.Equal(len(homes), 2)
		for _, d := range homes {
			is.Equal(d.Domain, one.Domain)
		}
	})
	t.Run("are in other domains when the domain has no usable daemon", func(t *testing.T) {
		is := is.New(t)
		v := view(12)
		for i := range v.Daemons {
			if v.Daemons[i].Domain == one.Domain {
				v.Daemons[i].State = member.Leaving
			}
		}
		homes := placer.Homes(v, one, 2)
		is.Equal(len(homes), 2)
		is.True(homes[0].Domain != one.Domain)
	})
	t.Run("move only when their daemon is dead", func(t *testing.T) {
		is := is.New(t)
		before, after := view(30), view(30)
		after.Daemons[4].State = member.Dead // It is in labasa-loft.
		moved := 0
		for i := range 300 {
			one := manifest.Instance{Name: unit.InstanceName(fmt.Sprint("i", i)), Domain: "labasa-loft"}
			old, current := placer.Homes(before, one, 1)[0], placer.Homes(after, one, 1)[0]
			if old.ID != current.ID {
				moved++
				is.Equal(old.ID, unit.DaemonID("d4"))
			}
		}
		is.True(moved > 10 && moved < 60) // About a tenth of the instances.
	})
}

func TestStandbyIsTheNextHome(t *testing.T) {
	one := manifest.Instance{Name: "pulp-ledger-1-a", Domain: "labasa-loft"}
	for _, daemons := range []int{3, 12} { // With one daemon in the domain, and with four.
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			is := is.New(t)
			v := view(daemons)
			standby, ok := placer.Standby(v, one, 1)
			is.True(ok)
			home := placer.Homes(v, one, 1)[0]
			for i := range v.Daemons {
				if v.Daemons[i].ID == home.ID {
					v.Daemons[i].State = member.Dead
				}
			}
			is.Equal(placer.Homes(v, one, 1)[0], standby)
		})
	}
}

func TestWatchersInDistinctDomains(t *testing.T) {
	is := is.New(t)
	seen := make(map[unit.DomainName]bool)
	for _, d := range placer.Watchers(view(12), "pulp-ledger-1", 3) {
		seen[d.Domain] = true
	}
	is.Equal(len(seen), 3)
}

func ExampleHomes() {
	one := manifest.Instance{Name: "pulp-ledger-1-a", Domain: "lautoka-shed"}
	fmt.Println(len(placer.Homes(view(12), one, 2)))
	// Output: 2
}
