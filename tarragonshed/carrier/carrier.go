// Package carrier opens streams from the daemon that holds a caller's session to a
// home of an instance, which is a daemon that owns connections to the instance.
//
// # Streams
//
// A [Stream] serves one transaction at a time and any number of transactions in
// succession. It is a connect-go stream to another daemon, or an in-process pipe of
// package home when this daemon is the home. Both carry the messages of wire/peer.
//
// # Usage
//
//	stream, err := carrier.Open(ctx, "pulp-ledger-1-a")
//	if err != nil {
//		return err // With result.HomeUnreachable nothing has run.
//	}
//	defer stream.Close()
//	stream.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Open{Open: open}})
//	stream.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Batch{Batch: batch}})
//	for {
//		response, err := stream.Receive()
//		...
//	}
package carrier

import (
	"context"

	"tarragonshed.example/instance"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// Stream carries transactions to one instance. One goroutine may call Send while
// another calls Receive.
type Stream interface {
	// Send sends one message. After an error the stream is broken, and the
	// message may have arrived.
	Send(*peer.CarryRequest) error
	// Receive returns the next message. After an error the stream is broken.
	Receive() (*peer.CarryResponse, error)
	// Close ends the stream. The home rolls back an open transaction.
	Close()
}

// Carrier opens streams to the homes of instances and requests reports from them.
type Carrier interface {
	// Open returns a stream to a home of the instance. It may reuse an idle
	// stream that was passed to [Carrier.Release].
	Open(ctx context.Context, name unit.InstanceName) (Stream, error)
	// Release returns an idle stream for reuse by a transaction of any session.
	Release(name unit.InstanceName, stream Stream)
	// Report returns a report that the instance makes after the call. Concurrent
	// calls for one instance share a request, but a call never joins a request
	// that was sent before it.
	Report(ctx context.Context, name unit.InstanceName) (instance.Report, error)
	// Last returns the latest report received from the instance.
	Last(name unit.InstanceName) (instance.Report, bool)
}
