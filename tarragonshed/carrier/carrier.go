// Package carrier opens lanes from the daemon that holds a caller's session to a
// home of an instance.
//
// # Lanes
//
// A [Stream] serves one transaction at a time and any number one after the other.
// It is a connect-go stream to another daemon, or a pipe when this daemon is
// the home. Both carry the messages of wire/peer.
//
// # Usage
//
//	lane, err := carrier.Open(ctx, "pulp-ledger-1-a")
//	if err != nil {
//		return err // result.HomeUnreachable: not run.
//	}
//	defer lane.Close()
//	lane.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: open}})
//	lane.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: batch}})
//	for {
//		response, err := lane.Receive()
//		...
//	}
package carrier

import (
	"context"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// Stream carries transactions to one instance. Send and Receive may be used by
// two goroutines.
type Stream interface {
	// Send sends one message. An error means that the lane is broken; the
	// message may have arrived.
	Send(*peer.CarryRequest) error
	// Receive returns the next message. An error means that the lane is
	// broken.
	Receive() (*peer.CarryResponse, error)
	// Close ends the lane. An open transaction is rolled back by the home.
	Close()
}

// Carrier reaches the homes of instances.
type Carrier interface {
	// Open returns a lane to a home of the instance. It may hand out a lane
	// that an earlier transaction left idle by [Carrier.Release].
	Open(ctx context.Context, name unit.InstanceName) (Stream, error)
	// Release keeps an idle lane for the next transaction of any session.
	Release(name unit.InstanceName, lane Stream)
	// Report asks the instance for its report after the call. Calls for one
	// instance that overlap share questions, but never one asked before.
	Report(ctx context.Context, name unit.InstanceName) (instance.Report, error)
	// Last returns the latest report that has been seen of the instance.
	Last(name unit.InstanceName) (instance.Report, bool)
}
