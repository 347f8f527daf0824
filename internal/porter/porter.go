// Package porter finds free addresses of loopback for processes that are started
// later.
//
// The ports are below those that systems give to outgoing connections, so that no
// connection takes one before the process listens. A process never gets the same
// port twice, and processes that run at the same time begin at different ports.
//
// # Usage
//
//	address, err := porter.Free()
package porter

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The range of ports that are given out.
const (
	firstPort = 10_240
	ports     = 20_480
)

// stride is how many ports apart processes with neighbouring ids begin.
const stride = 331

var given atomic.Int64

// errNone says that no port of the range is free.
var errNone = errors.New("porter: no port is free")

// FreeAddress returns a free address of 127.0.0.1 as host:port.
func FreeAddress() (string, error) {
	for range ports {
		port := firstPort + (int64(os.Getpid())*stride+given.Add(1))%ports
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10)))
		if err != nil {
			continue // In use.
		}
		return l.Addr().String(), l.Close()
	}
	return "", errNone
}
