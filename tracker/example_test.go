package tracker_test

import (
	"fmt"

	"tarragonshed.example/tracker"
	"tarragonshed.example/unit"
)

// A new session takes a read index: the highest position among a majority of the
// instances, reported after the read arrived. One round serves all waiting reads.
func Example() {
	var session tracker.Session
	if _, ok := session.Floor(0); ok {
		return
	}
	indexer := tracker.NewIndexer(3)
	var round tracker.Round
	for _, effect := range indexer.Handle(tracker.Arrived{Read: 17}) {
		if request, ok := effect.(tracker.RequestReports); ok {
			round = request.Round
		}
	}
	indexer.Handle(tracker.Reported{Round: round, Instance: "b", Last: unit.Position{Term: 1, Index: 4}})
	for _, effect := range indexer.Handle(tracker.Reported{Round: round, Instance: "c", Last: unit.Position{Term: 1, Index: 6}}) {
		if serve, ok := effect.(tracker.Serve); ok {
			session.Initialize(serve.Index)
		}
	}
	fmt.Println(session.Position())
	// Output:
	// 1/6
}
