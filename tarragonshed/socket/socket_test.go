package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connected returns both ends of a TCP connection.
func connected(t *testing.T) (server, client net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	server, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = server.Close()
		_ = client.Close()
	})
	return server, client
}

// TestLastMessageIsNotReset checks that the last message arrives although the other end has sent bytes
// that nobody has read.
func TestLastMessageIsNotReset(t *testing.T) {
	is := is.New(t)
	server, client := connected(t)
	_, err := io.WriteString(client, "unread")
	is.NoErr(err)
	for Unread(server) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(Unread(server), len("unread"))
	is.NoErr(SendLast(server, []byte("last")))
	done := make(chan struct{})
	go func() {
		Linger(server, time.Minute)
		_ = server.Close()
		close(done)
	}()
	text, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(string(text), "last")
	_ = client.Close()
	<-done
}

func TestPipe(t *testing.T) {
	is := is.New(t)
	server, client := net.Pipe()
	go func() { _ = SendLast(server, []byte("last")) }()
	text := make([]byte, len("last"))
	_, err := io.ReadFull(client, text)
	is.NoErr(err)
	Linger(server, time.Minute) // It returns at once.
	is.Equal(Unread(server)+Unsent(server), 0)
}
