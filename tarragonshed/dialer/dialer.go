// Package dialer names the function by which a daemon opens every connection of
// its own: to targets, to other daemons and to the platform. Tests replace it to
// put latency and partitions between the ends.
package dialer

import (
	"context"
	"net"
)

// Func opens a connection as [net.Dialer.DialContext] does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Default opens plain connections.
var Default Func = (&net.Dialer{}).DialContext
