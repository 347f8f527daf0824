package entry

import (
	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// reportOf returns a report that came over the wire.
func reportOf(r *peer.InstanceReport) instance.Report {
	report := instance.Report{
		Instance:  unit.InstanceName(r.Instance),
		Boot:      r.Boot,
		Sequence:  r.Sequence,
		Role:      instance.Role(r.Role),
		Term:      unit.Term(r.Term),
		GrantedTo: r.GrantedTo,
		Last:      positionOf(r.Last),
		Applied:   positionOf(r.Applied),
		FreshAt:   r.FreshAt,
		Primary:   unit.InstanceName(r.Primary),
		Quiesced:  r.Quiesced,
	}
	for _, f := range r.Followers {
		report.Followers = append(report.Followers, instance.Follower{
			Instance: unit.InstanceName(f.Instance),
			Term:     unit.Term(f.Term),
			Last:     positionOf(f.Last),
		})
	}
	return report
}

func positionOf(p *peer.Position) unit.Position {
	return unit.Position{Term: unit.Term(p.GetTerm()), Index: unit.Index(p.GetIndex())}
}
