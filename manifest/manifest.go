// Package manifest models the manifest, the document in which operators configure
// the failure domains, the database groups with their instances, the accepted
// callers and the staleness that reads may have. [Parse] validates it.
//
// # Format
//
// A manifest is a TOML document with kebab-case names:
//
//	[[domains]]
//	name = "lautoka-shed"
//	region = "viti-west"
//
//	[[callers]]
//	name = "demo"
//	scram-secret = "SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy"
//	groups = ["pulp-ledger-1"]
//
//	[[groups]]
//	name = "pulp-ledger-1"   # Also the database name that callers connect to.
//	homes = 2
//	max-staleness = "0s"     # Zero: every read sees the writes of its session.
//
//	[[groups.instances]]
//	name = "pulp-ledger-1-a"
//	domain = "lautoka-shed"
//	address = "127.0.0.1:5511"
//	slots = 3
//	connections = 20
//
// # Usage
//
//	m, problems := manifest.Parse(document)
//	if err := problems.Err(); err != nil {
//		return err // Lists every problem with its line. Warnings alone give no error.
//	}
package manifest

import (
	"time"

	"tarragonshed.example/unit"
)

// Manifest is one accepted or proposed manifest.
type Manifest struct {
	// Version is zero until the manifest is accepted. It is not part of the
	// document.
	Version unit.ManifestVersion `toml:"-"`
	Domains []Domain             `toml:"domains"`
	Callers []Caller             `toml:"callers"`
	Groups  []Group              `toml:"groups"`
	// Routes is not part of the document.
	Routes []Route `toml:"-"`
	// KeysRequired reports whether callers must present a key, except on public routes.
	// It is not part of the document.
	KeysRequired bool `toml:"-"`
	// TransactionIdle is the time that an open transaction may be idle between
	// two statements. Zero means no limit. It is not part of the document.
	TransactionIdle time.Duration `toml:"-"`
}

// Domain is a failure domain.
type Domain struct {
	Name   unit.DomainName `toml:"name"`
	Region unit.RegionName `toml:"region"`
}

// Caller is an account that callers authenticate as.
type Caller struct {
	Name unit.CallerName `toml:"name"`
	// SCRAMSecret is a SCRAM-SHA-256 verifier in PostgreSQL's format.
	SCRAMSecret string `toml:"scram-secret"`
	// Groups lists the groups that the caller may use. Empty means all.
	Groups []unit.GroupName `toml:"groups"`
	// Keys identify the caller where callers present a key and no password. They are
	// not part of the document.
	Keys []Key `toml:"-"`
	// Priority orders callers under overload. Zero is the highest. It is not part of
	// the document.
	Priority int `toml:"-"`
	// RateLimit limits the operations of the caller on all daemons together. It is nil
	// if there is no limit. It is not part of the document.
	RateLimit *RateLimit `toml:"-"`
}

// RateLimit is a limit of operations. An operation is a statement outside of a
// transaction, or a transaction.
type RateLimit struct {
	// PerSecond is the sustained rate of operations.
	PerSecond float64
	// Burst is the number of operations that may exceed the rate at once.
	Burst float64
}

// Group is a database group: one database and the instances that replicate it.
type Group struct {
	Name unit.GroupName `toml:"name"`
	// Homes is the number of daemons that own the connections to each instance.
	Homes int `toml:"homes"`
	// MaxStaleness is the maximum age of the data that a read outside of a
	// transaction may return if the caller does not set one. Zero requires
	// read-your-writes.
	MaxStaleness Duration   `toml:"max-staleness"`
	Instances    []Instance `toml:"instances"`
	// Synchronous is the number of replicas that receive a write before it is
	// acknowledged, if the instances themselves replicate synchronously. It is
	// not part of the document.
	Synchronous int `toml:"-"`
}

// Instance is one database instance of a group.
type Instance struct {
	Name   unit.InstanceName `toml:"name"`
	Domain unit.DomainName   `toml:"domain"`
	// Address is the host:port of the instance.
	Address string `toml:"address"`
	// Slots is the number of statements that the instance runs concurrently.
	Slots int `toml:"slots"`
	// Connections is the number of connections that the instance accepts.
	Connections int `toml:"connections"`
	// Leaving reports whether the instance must not be given new work.
	Leaving bool `toml:"leaving"`
	// Incarnation distinguishes successive instances with the same name. Zero
	// means unknown. It is not part of the document.
	Incarnation unit.Incarnation `toml:"-"`
	// ReportsPrimary reports whether the instance itself claims to be the
	// primary. It is not part of the document.
	ReportsPrimary bool `toml:"-"`
}

// Duration is a [time.Duration] in the text format "1.5s".
type Duration time.Duration

// UnmarshalText parses the format of [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats d as [time.Duration.String] does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Group returns the group with the name.
func (m *Manifest) Group(name unit.GroupName) (Group, bool) {
	for _, g := range m.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

// Caller returns the caller with the name.
func (m *Manifest) Caller(name unit.CallerName) (Caller, bool) {
	for _, c := range m.Callers {
		if c.Name == name {
			return c, true
		}
	}
	return Caller{}, false
}

// Instance returns the instance with the name and its group.
func (m *Manifest) Instance(name unit.InstanceName) (Instance, Group, bool) {
	for _, g := range m.Groups {
		for _, i := range g.Instances {
			if i.Name == name {
				return i, g, true
			}
		}
	}
	return Instance{}, Group{}, false
}

// MayUse reports whether the caller may use the group.
func (c Caller) MayUse(group unit.GroupName) bool {
	if len(c.Groups) == 0 {
		return true
	}
	for _, g := range c.Groups {
		if g == group {
			return true
		}
	}
	return false
}
