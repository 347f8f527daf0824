package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/manifest"
	"tarragonshed.example/placer"
	"tarragonshed.example/unit"
)

var regions = map[unit.DomainName]unit.RegionName{
	"lautoka-shed": "viti", "suva-office": "viti", "labasa-loft": "vanua", "savusavu-loft": "vanua",
}

func candidates(n int, weights ...float64) []placer.Candidate {
	var list []placer.Candidate
	for i := range n {
		c := placer.Candidate{ID: unit.DaemonID(fmt.Sprint("d", i)), Domain: domains[i%len(domains)]}
		if len(weights) > 0 {
			c.Weight = weights[i/len(domains)%len(weights)]
		}
		list = append(list, c)
	}
	return list
}

// instances returns n instances, three for each group, each in another domain.
func instances(n int) []manifest.Instance {
	var list []manifest.Instance
	for i := range n {
		name := unit.InstanceName(fmt.Sprintf("pulp-ledger-%d-%c", i/3, 'a'+i%3))
		list = append(list, manifest.Instance{Name: name, Domain: domains[i%len(domains)]})
	}
	return list
}

// counts returns the number of instances by their first home.
func counts(homes map[unit.InstanceName][]unit.DaemonID) map[unit.DaemonID]int {
	count := make(map[unit.DaemonID]int)
	for _, ids := range homes {
		count[ids[0]]++
	}
	return count
}

func TestInstanceHomes(t *testing.T) {
	one := manifest.Instance{Name: "pulp-ledger-1-a", Domain: "labasa-loft"}
	t.Run("are those of a view for equal weights", func(t *testing.T) {
		is := is.New(t)
		for _, i := range instances(60) {
			homes := placer.Homes(view(30), i, 2)
			is.Equal(placer.InstanceHomes(candidates(30), i, regions, 2), []unit.DaemonID{homes[0].ID, homes[1].ID})
			is.Equal(placer.InstanceHomes(candidates(30, 0.2), i, regions, 2), []unit.DaemonID{homes[0].ID, homes[1].ID})
		}
	})
	t.Run("are in the region if the domain has no daemon, else anywhere", func(t *testing.T) {
		is := is.New(t)
		for domain, want := range map[unit.DomainName]unit.DomainName{"savusavu-loft": "labasa-loft", "unlisted": ""} {
			i := one
			i.Domain = domain
			homes := placer.InstanceHomes(candidates(12), i, regions, 12)
			is.Equal(len(homes), map[bool]int{true: 4, false: 12}[want != ""])
		}
		is.Equal(len(placer.InstanceHomes(nil, one, regions, 1)), 0)
	})
}

func TestAssign(t *testing.T) {
	t.Run("few instances to each daemon", func(t *testing.T) {
		is := is.New(t)
		// The domains have 5, 4 and 4 daemons for 8 instances each.
		for id, n := range counts(placer.Assign(candidates(13), instances(24), regions, 1)) {
			t.Logf("%s: %d", id, n)
			is.True(n <= 2)
		}
	})
	t.Run("instances by the speed of daemons", func(t *testing.T) {
		is := is.New(t)
		list := candidates(78, 0.8, 0.2, 0.2, 0.2, 0.2, 0.2)
		speed := make(map[unit.DaemonID]float64)
		for _, c := range list {
			speed[c.ID] = c.Weight
		}
		for id, n := range counts(placer.Assign(list, instances(240), regions, 1)) {
			is.True(float64(n) <= 10*speed[id]) // 80 instances and a weight of 8.2 in each domain.
		}
	})
	t.Run("the same homes for each order of the lists", func(t *testing.T) {
		is := is.New(t)
		list, all := candidates(31, 0.8, 0.2), instances(48)
		want := placer.Assign(list, all, regions, 3)
		random := rand.New(rand.NewPCG(1, 2))
		for range 10 {
			random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			is.Equal(placer.Assign(list, all, regions, 3), want)
		}
	})
	t.Run("few other homes when a daemon leaves or joins", func(t *testing.T) {
		is := is.New(t)
		list, all := candidates(24, 0.8, 0.4), instances(24)
		before := placer.Assign(list, all, regions, 1)
		moved, lost := 0, 0
		for left := range list {
			after := placer.Assign(append(append([]placer.Candidate{}, list[:left]...), list[left+1:]...), all, regions, 1)
			for name, homes := range before {
				switch {
				case homes[0] == list[left].ID:
					lost++
				case after[name][0] != homes[0]:
					moved++
				}
			}
		}
		t.Logf("%d instances lost their home, %d others moved", lost, moved)
		is.Equal(lost, len(all))
		is.True(moved <= lost/2)
	})
	t.Run("homes elsewhere for a domain without daemons", func(t *testing.T) {
		is := is.New(t)
		all := instances(24)
		for i := range all {
			all[i].Domain = []unit.DomainName{"labasa-loft", "savusavu-loft", "unlisted"}[i%3]
		}
		homes := placer.Assign(candidates(12), all, regions, 2)
		is.Equal(len(homes), 24)
		for id, n := range counts(homes) {
			t.Logf("%s: %d", id, n)
			is.True(n <= 4) // The 16 instances of vanua have 4 daemons there.
		}
		is.Equal(len(placer.Assign(nil, all, regions, 2)), 0)
	})
}

func TestUseHomes(t *testing.T) {
	for _, c := range []struct {
		daemons, connections, accounts int
		want                           bool
	}{
		{4, 22, 0, false},
		{30, 66, 0, false},
		{118, 173, 0, false},
		{79, 46, 0, true},
		{24, 70, 72, true},
		{460, 59, 0, true},
		{24, 70, 2, false},
		{46, 46, 0, false},
		{47, 46, 0, true},
	} {
		t.Run(fmt.Sprintf("%d daemons, %d connections, %d accounts", c.daemons, c.connections, c.accounts), func(t *testing.T) {
			is.New(t).Equal(placer.UseHomes(c.daemons, c.connections, c.accounts), c.want)
		})
	}
}
