package porter_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/internal/porter"
)

// lowestOutgoing is the first port that systems give to outgoing connections.
const lowestOutgoing = 32_768

func TestFree(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 50 {
		address, err := porter.FreeAddress()
		is.NoErr(err)
		is.True(!seen[address]) // Given twice.
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		is.NoErr(err)
		port, err := strconv.Atoi(text)
		is.NoErr(err)
		is.True(port < lowestOutgoing) // An outgoing connection could take it.
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}
