// Package dialer defines the function with which a daemon opens all of its outgoing
// connections: to targets, to other daemons and to the platform. Tests replace it to
// simulate latency and partitions.
package dialer

import (
	"context"
	"net"
)

// Func opens a connection like [net.Dialer.DialContext].
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Default opens connections with a zero [net.Dialer].
var Default Func = (&net.Dialer{}).DialContext
