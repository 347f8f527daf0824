// Package translator converts positions, settings and reports to and from their wire types.
//
// # Usage
//
//	response.Position = translator.ToPosition(position)
//	report := translator.FromReport(response.Report)
package translator

import (
	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// ToPosition returns the wire form of p. The zero position becomes nil.
func ToPosition(p unit.Position) *peer.Position {
	if p.IsZero() {
		return nil
	}
	return &peer.Position{Term: uint64(p.Term), Index: uint64(p.Index)}
}

// FromPosition returns the position that p represents. A nil p becomes the zero position.
func FromPosition(p *peer.Position) unit.Position {
	return unit.Position{Term: unit.Term(p.GetTerm()), Index: unit.Index(p.GetIndex())}
}

// ToSettings returns the wire form of the settings of a session. Their values need not be UTF-8.
func ToSettings(settings map[string]string) map[string][]byte {
	if len(settings) == 0 {
		return nil
	}
	wire := make(map[string][]byte, len(settings))
	for name, value := range settings {
		wire[name] = []byte(value)
	}
	return wire
}

// FromSettings returns the settings that the wire form represents, never nil.
func FromSettings(wire map[string][]byte) map[string]string {
	settings := make(map[string]string, len(wire))
	for name, value := range wire {
		settings[name] = string(value)
	}
	return settings
}

// ToReport returns the wire form of r. A report without an instance name becomes nil.
func ToReport(r instance.Report) *peer.InstanceReport {
	if r.Instance == "" {
		return nil
	}
	report := &peer.InstanceReport{
		Instance: string(r.Instance), Boot: r.Boot, Sequence: r.Sequence, Role: string(r.Role),
		Term: uint64(r.Term), GrantedTo: r.GrantedTo, Last: ToPosition(r.Last), Applied: ToPosition(r.Applied),
		FreshAt: r.FreshAt, Primary: string(r.Primary), Quiesced: r.Quiesced,
	}
	for _, f := range r.Followers {
		report.Followers = append(report.Followers, &peer.FollowerReport{
			Instance: string(f.Instance), Term: uint64(f.Term), Last: ToPosition(f.Last),
		})
	}
	return report
}

// FromReport returns the report that r represents. A nil r becomes the zero report.
func FromReport(r *peer.InstanceReport) instance.Report {
	report := instance.Report{
		Instance: unit.InstanceName(r.GetInstance()), Boot: r.GetBoot(), Sequence: r.GetSequence(), Role: instance.Role(r.GetRole()),
		Term: unit.Term(r.GetTerm()), GrantedTo: r.GetGrantedTo(), Last: FromPosition(r.GetLast()), Applied: FromPosition(r.GetApplied()),
		FreshAt: r.GetFreshAt(), Primary: unit.InstanceName(r.GetPrimary()), Quiesced: r.GetQuiesced(),
	}
	for _, f := range r.GetFollowers() {
		report.Followers = append(report.Followers, instance.Follower{
			Instance: unit.InstanceName(f.GetInstance()), Term: unit.Term(f.GetTerm()), Last: FromPosition(f.GetLast()),
		})
	}
	return report
}
