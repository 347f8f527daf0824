package engine

import (
	"context"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Conn is a connection to an instance in the protocol of the instance. Requests are
// answered in the order in which they were sent.
type Conn interface {
	// Send sends the requests without waiting for the replies. The error is a
	// [*result.Error] if a request can't be encoded. Then nothing has been sent.
	Send(requests ...Request) error
	// Receive returns the next reply. It is called by one goroutine, concurrently with
	// Send, and fails once the connection is closed.
	Receive() (Reply, error)
	Close()
}

// Connector opens connections to instances.
type Connector interface {
	// Connect opens a connection. If via isn't empty, the connection goes through the
	// daemon at that address. The error has code ConnectionsExhausted if the instance is
	// reachable but has too many connections.
	Connect(ctx context.Context, group unit.GroupName, i manifest.Instance, via string) (Conn, *result.Error)
	// Fits reports whether a request is within the size limit of the protocol.
	Fits(Request) bool
	// Status decodes the reply to [Status] or [StepDown].
	Status(Reply) (InstanceStatus, error)
}

// Peers reports which other daemons reach an instance. It is safe for concurrent use.
type Peers interface {
	// Reaching returns the addresses of the daemons that report that they reach the
	// instance, nearest first.
	Reaching(ctx context.Context, group unit.GroupName, name unit.InstanceName) []string
}

// Authority reports which primaries may be used. It is safe for concurrent use.
type Authority interface {
	// Primary returns the leadership of the group's primary. The result is false if its
	// replies must not be used now.
	Primary(unit.GroupName) (authorizer.Leadership, bool)
	// Holds reports whether a reply that has just arrived from the primary may be used.
	Holds(authorizer.Leadership) bool
	// Active reports whether the daemon may use any primary. If it is false, the daemon is
	// cut off from the store and from other daemons, and it is unknown when that ends.
	Active() bool
	// Changed returns a channel that is closed when a primary may have become usable.
	Changed() <-chan struct{}
}
