package engine

import (
	"context"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/limiter"
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
	// Connect opens a connection on behalf of the caller, which is empty if no caller is
	// known. If via isn't empty, the connection goes through the daemon at that address.
	// The error has code ConnectionsExhausted if the instance is
	// reachable but has too many connections.
	Connect(ctx context.Context, group unit.GroupName, i manifest.Instance, caller unit.CallerName, via string) (Conn, *result.Error)
	// Fits reports whether a request is within the size limit of the protocol.
	Fits(Request) bool
	// Status decodes the reply to [Status] or [StepDown].
	Status(Reply) (InstanceStatus, error)
}

// RateLimits admits the operations of callers within their rate limits, which count on all
// daemons together. It is safe for concurrent use.
type RateLimits interface {
	// Admit counts one operation of the caller. The error has code RateLimited if the limit
	// is used up; its detail states when to try again.
	Admit(ctx context.Context, caller unit.CallerName) *result.Error
}

// Forwarder forwards statements to other daemons. It is safe for concurrent use.
type Forwarder interface {
	// Lease returns a lease of the instance through the daemon at the address. Nothing is
	// sent before the first call of Run. A lost connection to the daemon gives the error
	// HomeUnreachable if the daemon can't have received the statement, else HomeLost.
	Lease(ctx context.Context, address string, r LeaseRequest) Lease
	// Available reports whether the daemon at the address has not failed recently.
	Available(address string) bool
	// Position requests the position of the group's primary from the daemon at the address.
	// It is a position of a primary that had been confirmed when it replied. It includes every
	// write acknowledged before the returned age, counted back from the time of the call.
	Position(ctx context.Context, address string, group unit.GroupName, maxAge time.Duration) (unit.Position, time.Duration, *result.Error)
}

// LeaseRequest describes on whose behalf and how urgently an instance is used.
type LeaseRequest struct {
	Group       unit.GroupName
	Instance    unit.InstanceName
	Incarnation unit.Incarnation
	Caller      unit.CallerName
	Priority    limiter.Priority
	Rank        limiter.Rank
	// Deadline is the time by which the first statement must be sent to the instance.
	Deadline time.Time
	// Target is the time by which the operation should have ended. It is zero if the route
	// has no target latency.
	Target time.Time
}

// Lease is the use of an instance by one statement or by one transaction. Its methods must
// not be called concurrently.
type Lease interface {
	// Run runs one statement. The first one waits for a slot and a connection, later ones
	// for a slot. If the error is not nil, no complete reply was received, and only End may
	// be called. A reply with an error is that of the instance.
	Run(c Call, deadline time.Time) (Reply, *result.Error)
	// End ends the use. It rolls back an open transaction. It does not wait.
	End()
}

// Call is one statement with the session state that it needs.
type Call struct {
	// ID is the ID of the caller's request. It is empty for the engine's own statements.
	ID        unit.RequestID
	Statement Statement
	// Definition is set for [Execute] only.
	Definition Definition
	// Values are the session's values.
	Values map[string]string
	// After is the position that the instance must have reached. Zero means any position.
	After unit.Position

	digest digest // Of Definition, once the call runs over this daemon's own connections.
}

// Local serves the statements that other daemons forward to this one.
type Local interface {
	// Lease returns a lease of the instance over this daemon's own connections. The error
	// has code InstanceUnreachable if no such incarnation is known.
	Lease(ctx context.Context, r LeaseRequest) (Lease, *result.Error)
	// Position returns the position of the group's primary and its age, which is at most
	// maxAge. It asks the primary only if no such position is known. The error has code
	// InstanceUnreachable if this daemon doesn't reach the primary. See [Forwarder].
	Position(ctx context.Context, group unit.GroupName, maxAge time.Duration) (unit.Position, time.Duration, *result.Error)
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
