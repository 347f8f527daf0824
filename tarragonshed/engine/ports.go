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
	// Connect opens a connection, through the daemon at the address via unless
	// that is empty. The error is of code ConnectionsExhausted if the instance is
	// there but has too many connections.
	Connect(ctx context.Context, group unit.GroupName, i manifest.Instance, via string) (Conn, *result.Error)
	// Status decodes the reply to [Status] or [StepDown].
	Status(Reply) (InstanceStatus, error)
}

// Peers tells which other daemons reach an instance. It is safe for concurrent
// use.
type Peers interface {
	// Reaching returns the addresses of daemons that say that they reach the
	// instance, the nearest first.
	Reaching(ctx context.Context, group unit.GroupName, name unit.InstanceName) []string
}

// Authority tells which primary may be used. It is safe for concurrent use.
type Authority interface {
	// Primary returns the primary of the group if its answers may be used now.
	Primary(unit.GroupName) (authorizer.Leadership, bool)
	// Holds reports whether an answer of the primary that came in just now may
	// be used.
	Holds(authorizer.Leadership) bool
	// Active reports whether the daemon may use primaries at all. It can't tell
	// when it may again: it is cut off from the store and from other daemons.
	Active() bool
	// Changed returns a channel that is closed when a primary may have become
	// usable.
	Changed() <-chan struct{}
}
