package engine

import (
	"context"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Conn is a connection to an instance in the protocol that the instance speaks.
// Requests are answered in the order in which they were sent.
type Conn interface {
	// Send sends the requests at once.
	Send(requests ...Request) error
	// Receive returns the next reply. It is called by one goroutine, beside
	// Send, and fails once the connection is closed.
	Receive() (Reply, error)
	Close()
}

// Connector opens connections to instances.
type Connector interface {
	// Connect opens a connection. The error is of code ConnectionsExhausted if
	// the instance is there but has too many connections.
	Connect(ctx context.Context, group unit.GroupName, i manifest.Instance) (Conn, *result.Error)
	// Status decodes the reply to [Status], [StepDown] or [Pause].
	Status(Reply) (InstanceStatus, error)
}

// Authority tells which primary may be used. It is safe for concurrent use.
type Authority interface {
	// Primary returns the primary of the group if its answers may be used now.
	Primary(unit.GroupName) (authorizer.Leadership, bool)
	// Holds reports whether an answer of the primary that came in just now may
	// be used.
	Holds(authorizer.Leadership) bool
	// Changed returns a channel that is closed when a primary may have become
	// usable.
	Changed() <-chan struct{}
}
