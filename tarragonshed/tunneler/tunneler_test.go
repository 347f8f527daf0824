package tunneler

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonshed/dialer"
)

// echo serves connections and sends every line back.
func echo(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return l
}

func TestTunnel(t *testing.T) {
	is := is.New(t)
	instance := echo(t)
	mux := http.NewServeMux()
	mux.Handle(Path, New(dialer.Default, func(a string) bool { return a == instance.Addr().String() }))
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := server.Listener.Addr().String()

	c, err := Dial(context.Background(), dialer.Default, peer, instance.Addr().String())
	is.NoErr(err)
	lines := bufio.NewReader(c)
	for _, line := range []string{"one\n", "two\n"} {
		fmt.Fprint(c, line)
		got, err := lines.ReadString('\n')
		is.NoErr(err)
		is.Equal(got, line)
	}
	is.NoErr(c.Close())

	_, err = Dial(context.Background(), dialer.Default, peer, "127.0.0.1:1")
	is.True(err != nil) // The handler does not allow the address.
	ended, stop := context.WithCancel(context.Background())
	stop()
	_, err = Dial(ended, dialer.Default, peer, instance.Addr().String())
	is.True(err != nil)
}
