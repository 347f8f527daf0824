package deployer

import (
	"fmt"
	"time"

	"tarragonshed.example/manifest"
	"tarragonshed.example/standin/shaper"
	"tarragonshed.example/unit"
)

// Latencies holds the one-way latencies of a deployment.
type Latencies struct {
	WithinDomain   time.Duration
	BetweenDomains time.Duration
	BetweenRegions time.Duration
	ToCallers      time.Duration
}

// Profile describes a deployment of the users.
type Profile struct {
	Name    string
	Domains []manifest.Domain
	// GroupPrefix is the prefix of the names of groups, followed by a number.
	GroupPrefix  string
	Groups       int
	Slots        int
	Connections  int
	ConnectDelay time.Duration
	Latencies    Latencies
}

// Trust is the deployment of the Vatukoula Fibre & Paper Cooperative Trust.
func Trust() Profile {
	return Profile{
		Name: "trust",
		Domains: []manifest.Domain{
			{Name: "lautoka-shed", Region: "viti-west"},
			{Name: "labasa-loft", Region: "vanua-north"},
			{Name: "suva-office", Region: "suva-central"},
		},
		GroupPrefix:  "pulp-ledger",
		Groups:       3,
		Slots:        3,
		Connections:  20,
		ConnectDelay: 10 * time.Millisecond,
		Latencies: Latencies{
			WithinDomain:   100 * time.Microsecond,
			BetweenDomains: time.Millisecond,
			BetweenRegions: 8 * time.Millisecond,
			ToCallers:      time.Millisecond,
		},
	}
}

// Umusego is the deployment of Umusego Fibre Works.
func Umusego() Profile {
	return Profile{
		Name: "umusego",
		Domains: []manifest.Domain{
			{Name: "kigali-a", Region: "kigali"},
			{Name: "huye-a", Region: "huye"},
			{Name: "rusizi-a", Region: "rusizi"},
		},
		GroupPrefix:  "kapok-core",
		Groups:       3,
		Slots:        2,
		Connections:  30,
		ConnectDelay: 10 * time.Millisecond,
		Latencies: Latencies{
			WithinDomain:   100 * time.Microsecond,
			BetweenDomains: 500 * time.Microsecond,
			BetweenRegions: 10 * time.Millisecond,
			ToCallers:      3 * time.Millisecond,
		},
	}
}

// ProfileNamed returns the profile with the name.
func ProfileNamed(name string) (Profile, error) {
	for _, p := range []Profile{Trust(), Umusego()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("deployer: unknown deployment %q: want trust or umusego", name)
}

// GroupName returns the name of a group by its number, from 1.
func (p Profile) GroupName(number int) unit.GroupName {
	return unit.GroupName(fmt.Sprintf("%s-%d", p.GroupPrefix, number))
}

// latency returns the profile's latencies as a function for the shaper.
func (p Profile) latency() shaper.Latency {
	regions := make(map[unit.DomainName]unit.RegionName)
	for _, d := range p.Domains {
		regions[d.Name] = d.Region
	}
	return func(from, to shaper.Node) time.Duration {
		switch {
		case from.Name == to.Name:
			return 0
		case from.Kind == shaper.Callers || to.Kind == shaper.Callers:
			return p.Latencies.ToCallers
		case from.Kind == shaper.Platform || to.Kind == shaper.Platform:
			return p.Latencies.BetweenDomains
		case from.Domain == to.Domain:
			return p.Latencies.WithinDomain
		case regions[from.Domain] == regions[to.Domain]:
			return p.Latencies.BetweenDomains
		default:
			return p.Latencies.BetweenRegions
		}
	}
}
