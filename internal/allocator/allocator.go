// Package allocator finds free loopback addresses for processes that are started later.
//
// The ports are below the ephemeral range of common systems, so that no outgoing
// connection takes one before the process listens on it. A process never gets the same
// port twice, and the searches of concurrent processes start at different ports.
//
// # Usage
//
//	address, err := allocator.FreeAddress()
package allocator

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The range of ports that are allocated.
const (
	firstPort = 10_240
	portCount = 20_480
)

// stride is the distance between the first ports of processes with consecutive ids.
const stride = 331

var allocated atomic.Int64

var errNoFreePort = errors.New("allocator: no port is free")

// FreeAddress returns an address with a free port of 127.0.0.1, in the form host:port. It
// fails if no port of the range is free.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*stride+allocated.Add(1))%portCount
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10)))
		if err != nil {
			continue // In use.
		}
		return l.Addr().String(), l.Close()
	}
	return "", errNoFreePort
}
