package allocator_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/internal/allocator"
)

// firstEphemeralPort is the first port of the ephemeral range on Linux.
const firstEphemeralPort = 32_768

func TestFreeAddress(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 50 {
		address, err := allocator.FreeAddress()
		is.NoErr(err)
		is.True(!seen[address]) // Allocated twice.
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		is.NoErr(err)
		port, err := strconv.Atoi(text)
		is.NoErr(err)
		is.True(port < firstEphemeralPort) // An outgoing connection could use an ephemeral port.
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}
