package translator_test

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
)

func TestReportRoundTrip(t *testing.T) {
	is := is.New(t)
	r := instance.Report{
		Instance: "a", Boot: 1, Sequence: 2, Role: instance.Primary, Term: 3, GrantedTo: "d", Last: unit.Position{Term: 3, Index: 4},
		Applied: unit.Position{Term: 3, Index: 5}, FreshAt: 6, Primary: "a", Quiesced: true,
		Followers: []instance.Follower{{Instance: "b", Term: 3, Last: unit.Position{Term: 2, Index: 7}}},
	}
	is.Equal(translator.FromReport(translator.ToReport(r)), r)
}
